//! A day: which deployment, how long, which faults when; read from a file and checked.

use crate::connections::OpeningModel;
use crate::narrow_link::BackgroundLoad;
use crate::narrow_link::LinkFill;
use std::path::{Path, PathBuf};
use std::time::Duration;

use jzon::JsonValue;

use crate::actors::proxy::BrokenProxy;
use crate::observers::Observers;
use crate::world::World;
use caperworks::partition_fallback::BrokenFallback;
use caperworks::policy::CorePolicy;
use controller::fault_injection::FaultInjection;
use runtime::options::{read_json_file, OptionsFault};
use runtime::scenario::Scenario;

#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Kill,
    /// A polite stop, as the platform does before it forces one.
    Stop,
    PowerOff,
    Start,
    Replace,
    Move,
    /// An empty node of the same kind joins at a new address.
    AddAnother,
    Freeze,
    Wake,
    Leave,
    /// Another instance, of this service, takes the address over.
    TakeOver {
        service: String,
    },
    LoseResponses(u32),
    SendGarbage(u32),
    RefuseRequests(u32),
    RefuseDisk,
    MendDisk,
    CutOff {
        one_way: bool,
    },
    /// Nothing gets in here from outside, but out.
    CutInward,
    /// Cut off from these places only.
    CutBetween {
        other: String,
    },
    /// Cut off from the other voters, but not from its followers.
    Part,
    /// Hears no votes and no news of maps, but all else.
    Deafen,
    /// Whatever goes to or comes from here is late by up to this span, and often doubled.
    HttpFault {
        most: Duration,
        doubled_per_thousand: u64,
    },
    /// Its link carries so many bytes a second of what controllers send.
    Narrow {
        bytes_per_second: u64,
    },
    /// Other traffic fills its link both ways.
    Fill(LinkFill),
    Join,
    CloseZone,
    OpenZone,
    /// Lost for good: nothing starts there again.
    Vanish,
    /// The wall clock jumps by so many milliseconds.
    JumpClock(i64),
    /// Instances take so many times as long for their work.
    Slow(u32),
    /// So many more requests a second, all for one key of this service.
    HotKey(u32),
    /// Clients send so many percent of the day's traffic.
    Surge(u32),
    /// Hot keys, surges and slowness end.
    Cool,
}

impl Act {
    /// Whether it is a fault, rather than the end of one.
    fn is_harm(&self) -> bool {
        !matches!(
            self,
            Act::Start
                | Act::Join
                | Act::OpenZone
                | Act::MendDisk
                | Act::Wake
                | Act::Cool
                | Act::AddAnother
        )
    }

    /// Acts that strike no single place.
    fn is_untargeted(&self) -> bool {
        matches!(self, Act::Join | Act::Surge(_) | Act::Cool)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct FaultStep {
    pub at: Duration,
    pub act: Act,
    pub target: String,
    /// After it, most traffic must be served again within the brief's fifteen seconds.
    pub big: bool,
    /// Keyed traffic cannot be served until it is over: holds lapse without their owner manager.
    pub keyed_waits: bool,
    /// Strikes in the instant in which the next change is accepted, and not before `at`.
    pub on_yes: bool,
}

/// What the day's operators want of the core, where it differs from the product's defaults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DayPolicy {
    /// Proxies out of touch go on with what they last knew.
    pub serves_stale: bool,
    pub synced_controllers: Option<usize>,
    pub witness_voters: Option<usize>,
}

impl DayPolicy {
    /// The same for a controller.
    pub fn core(self) -> CorePolicy {
        let usual = CorePolicy::default();
        CorePolicy {
            proxies_serve_stale: self.serves_stale,
            synced_controllers: self.synced_controllers.or(usual.synced_controllers),
            witness_voters: self.witness_voters.unwrap_or(usual.witness_voters),
            ..usual
        }
    }
}

#[derive(Debug, Clone)]
pub struct Day {
    pub deployment: String,
    pub length: Duration,
    pub percent: u64,
    pub traffic_from: Duration,
    pub traffic_until: Duration,
    pub operator_every: Duration,
    pub loss_per_thousand: u64,
    pub swell: u32,
    /// How long a sync usually takes at most.
    pub disk_span: Duration,
    /// Which part of the requests, in percent, must be served over the whole day.
    pub served_at_least: u64,
    /// Which part of each kind of ordinary traffic, in percent, must be served while a hot key, a
    /// surge or a slow instance lasts.
    pub kept_at_least: u64,
    /// How late a follower may hold what was accepted, where that is judged.
    pub most_lag: Option<Duration>,
    /// For how long its path to the core must have been open before a follower's lag counts.
    pub lag_after_path: Duration,
    /// In place of the deployment's own.
    pub proxies_per_zone: Option<u32>,
    /// What the runtime does with connections over narrow links.
    pub opening: OpeningModel,
    pub seeds: Vec<u64>,
    pub faults: Vec<FaultStep>,
    pub broken_controller: FaultInjection,
    pub broken_proxy: BrokenProxy,
    pub broken_fallback: BrokenFallback,
    pub policy: DayPolicy,
    /// Instances heartbeat to the controllers, and not to agents.
    pub heartbeats_to_controllers: bool,
    pub careless_agents: bool,
    pub careless_instances: bool,
    /// Only for proving the observers: clocks stand still while a process is frozen.
    pub clocks_stop_asleep: bool,
    /// Only for proving the observers: whatever comes in counts as sent just now.
    pub undated: bool,
    /// Only for proving the observers: agents do not notice parts of messages.
    pub unreported_progress: bool,
}

fn read_act(item: &JsonValue) -> Option<Act> {
    let count = item["count"].as_u32().unwrap_or(1);
    Some(match item["act"].as_str()? {
        "kill" => Act::Kill,
        "stop" => Act::Stop,
        "power-off" => Act::PowerOff,
        "start" => Act::Start,
        "lose-disk" => Act::Replace,
        "move" => Act::Move,
        "add-another" => Act::AddAnother,
        "freeze" => Act::Freeze,
        "wake" => Act::Wake,
        "leave" => Act::Leave,
        "take-over" => Act::TakeOver {
            service: item["pool"].as_str()?.to_string(),
        },
        "lose-answers" => Act::LoseResponses(count),
        "send-garbage" => Act::SendGarbage(count),
        "refuse-orders" => Act::RefuseRequests(count),
        "refuse-disk" => Act::RefuseDisk,
        "mend-disk" => Act::MendDisk,
        "cut-off" => Act::CutOff { one_way: false },
        "cut-one-way" => Act::CutOff { one_way: true },
        "cut-inward" => Act::CutInward,
        "cut-between" => Act::CutBetween {
            other: item["other"].as_str()?.to_string(),
        },
        "part" => Act::Part,
        "deafen" => Act::Deafen,
        "muddle" => Act::HttpFault {
            most: Duration::from_millis(item["late_ms"].as_u64()?),
            doubled_per_thousand: item["doubled_per_thousand"].as_u64()?,
        },
        "narrow" => Act::Narrow {
            bytes_per_second: item["bytes_per_second"].as_u64()?,
        },
        "fill" => Act::Fill(read_fill(item)?),
        "join" => Act::Join,
        "vanish" => Act::Vanish,
        "jump-clock" => Act::JumpClock(item["by_ms"].as_i64()?),
        "slow" => Act::Slow(count),
        "hot-key" => Act::HotKey(item["per_second"].as_u32()?),
        "surge" => Act::Surge(item["percent"].as_u32()?),
        "cool" => Act::Cool,
        "close-area" => Act::CloseZone,
        "open-area" => Act::OpenZone,
        _ => return None,
    })
}

/// The other traffic of a link; queues are given as the least and the most of their lengths.
fn read_fill(item: &JsonValue) -> Option<LinkFill> {
    let background = item["background_bytes_per_second"].as_u64()?;
    let load = |field: &str| {
        let span = |index: usize| item[field][index].as_u64().map(Duration::from_millis);
        Some(BackgroundLoad {
            bytes_per_second: background,
            queue: (span(0)?, span(1)?),
        })
    };
    Some(LinkFill {
        bytes_per_second: item["bytes_per_second"].as_u64()?,
        inward: load("queue_in_ms")?,
        outward: load("queue_out_ms")?,
    })
}

impl Day {
    /// Reads a day's file; lists every fault in it.
    pub fn read(path: &Path) -> Result<Self, Vec<OptionsFault>> {
        let value = read_json_file(path).map_err(|fault| vec![fault])?;
        let mut wrong = Vec::new();
        let mut fault = |field: String, remedy: String| {
            let file = path.display().to_string();
            wrong.push(OptionsFault {
                file,
                field,
                remedy,
            });
        };
        let known = [
            "deployment",
            "seconds",
            "percent",
            "operator_every_ms",
            "loss_per_thousand",
            "swell",
            "seeds",
            "faults",
            "why",
            "disk_ms",
            "served_at_least",
            "kept_at_least",
            "heartbeats_to",
            "out_of_touch",
            "synced_ledgers",
            "witness_seats",
            "most_lag_ms",
            "lag_after_path_ms",
            "proxies_per_area",
        ];
        let known_of_fault = [
            "at_ms",
            "on_yes_after_ms",
            "act",
            "target",
            "big",
            "keyed_waits",
            "count",
            "pool",
            "late_ms",
            "doubled_per_thousand",
            "by_ms",
            "bytes_per_second",
            "background_bytes_per_second",
            "queue_in_ms",
            "queue_out_ms",
            "per_second",
            "percent",
            "other",
        ];
        for (name, _) in value.entries() {
            if !known.contains(&name) {
                fault(
                    name.to_string(),
                    "is not a known field: remove it".to_string(),
                );
            }
        }
        let number = |name: &str, otherwise: u64| value[name].as_u64().unwrap_or(otherwise);
        let seconds = number("seconds", 40);
        let mut faults = Vec::new();
        for (index, item) in value["faults"].members().enumerate() {
            for (name, _) in item.entries() {
                if !known_of_fault.contains(&name) {
                    fault(
                        format!("faults[{index}].{name}"),
                        "is not a known field: remove it".to_string(),
                    );
                }
            }
            let at = item["at_ms"].as_u64();
            let on_yes = item["on_yes_after_ms"].as_u64();
            match (at.or(on_yes), read_act(item)) {
                (Some(moment), Some(act)) if at.is_none() || on_yes.is_none() => {
                    faults.push(FaultStep {
                        at: Duration::from_millis(moment),
                        act,
                        target: item["target"].as_str().unwrap_or_default().to_string(),
                        big: item["big"].as_bool().unwrap_or(false),
                        keyed_waits: item["keyed_waits"].as_bool().unwrap_or(false),
                        on_yes: on_yes.is_some(),
                    });
                }
                _ => fault(
                    format!("faults[{index}]"),
                    "give at_ms or on_yes_after_ms, and a known act with its numbers".to_string(),
                ),
            }
        }
        let seeds: Vec<u64> = value["seeds"]
            .members()
            .filter_map(JsonValue::as_u64)
            .collect();
        if seeds.is_empty() {
            fault("seeds".to_string(), "list at least one seed".to_string());
        }
        let heartbeats_to = &value["heartbeats_to"];
        if !heartbeats_to.is_null() && heartbeats_to != "controllers" {
            let remedy = "say controllers, or leave it out: then agents hear them".to_string();
            fault("heartbeats_to".to_string(), remedy);
        }
        let out_of_touch = &value["out_of_touch"];
        if !["silent", "serve-on"]
            .iter()
            .any(|known| out_of_touch == *known)
            && !out_of_touch.is_null()
        {
            let remedy = "say silent or serve-on, or leave it out".to_string();
            fault("out_of_touch".to_string(), remedy);
        }
        let deployed = value["deployment"].as_str().unwrap_or("tallowgum");
        match deployment(deployed) {
            Err(remedy) => fault("deployment".to_string(), remedy),
            Ok(scenario) => {
                for (index, fault_step) in faults.iter().enumerate() {
                    if !fault_step.act.is_untargeted() && !is_target(&scenario, &fault_step.target)
                    {
                        fault(
                            format!("faults[{index}].target"),
                            format!(
                                "{} is no node, program or area of {deployed}",
                                fault_step.target
                            ),
                        );
                    }
                    if let Act::CutBetween { other } = &fault_step.act {
                        if !is_target(&scenario, other) {
                            fault(
                                format!("faults[{index}].other"),
                                format!("{other} is no node, program or area of {deployed}"),
                            );
                        }
                    }
                }
            }
        }
        if !wrong.is_empty() {
            return Err(wrong);
        }
        Ok(Self {
            deployment: value["deployment"]
                .as_str()
                .unwrap_or("tallowgum")
                .to_string(),
            length: Duration::from_secs(seconds),
            percent: number("percent", 20),
            traffic_from: Duration::from_secs(6),
            traffic_until: Duration::from_secs(seconds.saturating_sub(4)),
            operator_every: Duration::from_millis(number("operator_every_ms", 1500)),
            loss_per_thousand: number("loss_per_thousand", 2),
            swell: number("swell", 0) as u32,
            disk_span: Duration::from_millis(number("disk_ms", 4)),
            served_at_least: number("served_at_least", 50),
            kept_at_least: number("kept_at_least", 0),
            most_lag: value["most_lag_ms"].as_u64().map(Duration::from_millis),
            lag_after_path: Duration::from_millis(number("lag_after_path_ms", 0)),
            proxies_per_zone: value["proxies_per_area"].as_u32(),
            opening: OpeningModel::default(),
            seeds,
            faults,
            broken_controller: FaultInjection::None,
            broken_proxy: BrokenProxy::Nothing,
            broken_fallback: BrokenFallback::Nothing,
            policy: DayPolicy {
                serves_stale: value["out_of_touch"] == "serve-on",
                synced_controllers: value["synced_ledgers"].as_usize(),
                witness_voters: value["witness_seats"].as_usize(),
            },
            heartbeats_to_controllers: value["heartbeats_to"] == "controllers",
            careless_agents: false,
            careless_instances: false,
            clocks_stop_asleep: false,
            undated: false,
            unreported_progress: false,
        })
    }

    /// What is wrong with a run of this day; empty when it was good.
    ///
    /// Why more than the breaches: a run in which nothing was served or accepted proves nothing.
    pub fn judge(&self, observers: &Observers) -> Vec<String> {
        let tally = &observers.tally;
        let mut wrong: Vec<String> = observers
            .breaches
            .iter()
            .map(|breach| format!("{:?} at {:?}: {}", breach.line, breach.at, breach.what))
            .collect();
        if tally.served * 100 < tally.sent * self.served_at_least {
            wrong.push(format!("only {} of {} served", tally.served, tally.sent));
        }
        if tally.accepted == 0 || tally.reads == 0 {
            wrong.push("no change was accepted, or nothing was read".to_string());
        }
        wrong
    }

    /// When the next fault after a moment strikes, or the day ends.
    pub fn next_harm(&self, after: Duration) -> Duration {
        self.faults
            .iter()
            .filter(|fault_step| fault_step.at > after && fault_step.act.is_harm())
            .map(|fault_step| fault_step.at)
            .min()
            .unwrap_or(self.length)
    }

    /// Whether links are narrow or full at some time of the day.
    pub fn narrows_links(&self) -> bool {
        let narrows = |fault: &FaultStep| matches!(fault.act, Act::Narrow { .. } | Act::Fill(_));
        self.faults.iter().any(narrows)
    }

    /// Plays the day with one seed.
    pub fn play(&self, scenario: &Scenario, seed: u64) -> Observers {
        let mut scenario = scenario.clone();
        if let Some(proxies_per_zone) = self.proxies_per_zone {
            scenario.proxies_per_zone = proxies_per_zone;
        }
        let mut world = World::new(scenario, self.clone(), seed);
        world.run();
        world.observers
    }
}

/// Whether a fault's target names something in a fleet of this scenario.
fn is_target(scenario: &Scenario, target: &str) -> bool {
    let name = target.strip_prefix("any-").unwrap_or(target);
    let programs = [
        "controller",
        "agent",
        "proxy",
        "directory",
        "instance",
        "holder",
        "answering",
        "knowing",
        "unknowing",
    ];
    let parts = name.split('-').next().unwrap_or_default();
    programs.contains(&parts)
        || scenario
            .services
            .iter()
            .any(|service| service.name == parts)
        || scenario
            .zones
            .iter()
            .any(|(zone, region)| zone == name || region == name)
}

/// The scenario file of a deployment, from the workspace's own folder.
pub fn deployment(name: &str) -> Result<Scenario, String> {
    let path = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios"))
        .join(format!("{name}.json"));
    Scenario::read(&path).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        faults.join("; ")
    })
}
