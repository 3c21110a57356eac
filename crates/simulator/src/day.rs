//! Day files: the deployment, the length and the scheduled faults of one simulated run, read and
//! checked.

use crate::connections::ConnectionModel;
use crate::limited_link::BackgroundLoad;
use crate::limited_link::LinkLoad;
use std::path::{Path, PathBuf};
use std::time::Duration;

use jzon::JsonValue;

use crate::actors::proxy::ProxyFault;
use crate::observers::Observers;
use crate::world::World;
use caperworks::partition_fallback::BrokenFallback;
use caperworks::policy::CorePolicy;
use controller::fault_injection::FaultInjection;
use runtime::options::{read_json_file, OptionsFault};
use runtime::scenario::Scenario;

/// An action that a day file schedules: a fault, or the end of one.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultAction {
    Kill,
    /// Graceful shutdown, as the platform requests before it kills a process.
    Stop,
    PowerOff,
    Start,
    /// Powers the machine off and erases its disk.
    LoseDisk,
    /// Replaces the node permanently by an empty one at a new address.
    MoveToNewAddress,
    /// Adds an empty node of the same kind at a new address.
    AddNode,
    Freeze,
    Unfreeze,
    /// Instances start draining.
    Drain,
    /// Instances begin to warm up again, for this long.
    WarmUp(Duration),
    /// Instances announce their termination, send no more heartbeats, and serve on for a while.
    Deregister {
        serves_on: Duration,
        /// The last heartbeat before is sent just before, and arrives this much later.
        late_heartbeat: Option<Duration>,
    },
    /// Starts an instance of another service at the same address.
    ReuseAddress {
        service: String,
    },
    /// The instance runs this many requests and loses their responses.
    LoseResponses(u32),
    /// The instance sends malformed responses to this many requests.
    SendMalformedResponses(u32),
    /// The instance rejects this many requests.
    RejectRequests(u32),
    FailDiskWrites,
    RepairDisk,
    Partition {
        one_way: bool,
    },
    /// One-way partition: nothing from outside arrives, but messages still leave.
    PartitionInbound,
    /// Partition from these nodes only.
    PartitionBetween {
        other: String,
    },
    /// Partition from the other voters, but not from the followers.
    IsolateVoter,
    /// Consensus messages to the node are dropped; everything else arrives.
    BlockInboundConsensus,
    /// Messages to and from the node are delayed by up to `max_delay`, and some are duplicated.
    DelayAndDuplicate {
        max_delay: Duration,
        duplicated_per_thousand: u64,
    },
    /// Limits the bandwidth at which the node receives messages from controllers.
    LimitBandwidth {
        bytes_per_second: u64,
    },
    /// Loads the node's link with background traffic in both directions.
    LoadLink(LinkLoad),
    HealNetwork,
    CloseZone,
    OpenZone,
    /// Permanent loss: nothing starts on the node again.
    LosePermanently,
    /// Shifts the wall clock by this many milliseconds.
    JumpClock(i64),
    /// Instances take this many times as long for their work.
    SlowInstances(u32),
    /// This many additional requests per second, all for one key of the target service.
    HotKey(u32),
    /// Clients send this many percent of the day's traffic.
    Surge(u32),
    /// Ends hot keys, surges and slowdowns.
    EndLoad,
}

impl FaultAction {
    /// Returns whether this is a fault rather than a recovery.
    fn is_disruptive(&self) -> bool {
        !matches!(
            self,
            FaultAction::Start
                | FaultAction::HealNetwork
                | FaultAction::OpenZone
                | FaultAction::RepairDisk
                | FaultAction::Unfreeze
                | FaultAction::EndLoad
                | FaultAction::AddNode
        )
    }

    /// Returns whether the action applies to no particular node.
    fn is_untargeted(&self) -> bool {
        matches!(
            self,
            FaultAction::HealNetwork | FaultAction::Surge(_) | FaultAction::EndLoad
        )
    }
}

/// A scheduled fault.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultStep {
    pub at: Duration,
    pub action: FaultAction,
    pub target: String,
    /// Most traffic must be served again within 15 s after this fault.
    pub is_major: bool,
    /// Keyed traffic cannot be served until the fault is over, because leases expire without an
    /// owner manager.
    pub blocks_keyed_traffic: bool,
    pub trigger: FaultTrigger,
}

/// When a fault occurs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTrigger {
    /// At the time of its step.
    AtTime,
    /// When the next change is accepted after that time.
    OnAcceptance,
    /// When the next deregistration is acknowledged after that time.
    OnDeregistration,
}

/// Policy settings of the day that differ from the product's defaults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DayPolicy {
    /// Proxies without a valid lease go on serving with the last known state.
    pub serves_stale: bool,
    pub synced_controllers: Option<usize>,
    pub witness_voters: Option<usize>,
    /// The time within which the successor of a lost controller must be a voter.
    pub sync_time: Option<Duration>,
}

impl DayPolicy {
    /// Returns the policy for the controllers.
    pub fn core(self) -> CorePolicy {
        let defaults = CorePolicy::default();
        let core = CorePolicy {
            proxies_serve_stale: self.serves_stale,
            synced_controllers: self.synced_controllers.or(defaults.synced_controllers),
            witness_voters: self.witness_voters.unwrap_or(defaults.witness_voters),
            ..defaults
        };
        match self.sync_time {
            Some(sync_time) => core.with_sync_time(sync_time),
            None => core,
        }
    }
}

/// A day file, together with settings that only tests change.
#[derive(Debug, Clone)]
pub struct Day {
    pub deployment: String,
    pub length: Duration,
    /// Traffic as a percentage of the scenario's.
    pub traffic_percent: u64,
    pub traffic_from: Duration,
    pub traffic_until: Duration,
    /// Mean interval between the changes that operators propose.
    pub operator_interval: Duration,
    pub loss_per_thousand: u64,
    /// Number of routes in a bulk change; no bulk changes if 0.
    pub bulk_change_routes: u32,
    /// Usual upper limit of a disk sync.
    pub max_sync_time: Duration,
    /// Minimum percentage of all requests that must be served over the day.
    pub min_served_percent: u64,
    /// Whether a change must be accepted within the recovery limit after each major fault.
    pub accepts_again: bool,
    /// Minimum percentage of each kind of ordinary traffic that must be served while a hot key, a
    /// surge or a slow instance lasts.
    pub min_kept_percent: u64,
    /// Maximum time after which a follower must have an accepted version; not checked if unset.
    pub max_lag: Option<Duration>,
    /// How long a follower's connection to the controllers must have been up before its lag counts.
    pub lag_grace: Duration,
    /// Replaces the deployment's own number.
    pub proxies_per_zone: Option<u32>,
    /// How the runtime handles connections over bandwidth-limited links.
    pub connection_model: ConnectionModel,
    pub seeds: Vec<u64>,
    pub faults: Vec<FaultStep>,
    pub controller_fault: FaultInjection,
    pub proxy_fault: ProxyFault,
    pub fallback_fault: BrokenFallback,
    pub policy: DayPolicy,
    /// Instances send heartbeats to the controllers instead of to agents.
    pub heartbeats_to_controllers: bool,
    pub agents_ignore_missing_versions: bool,
    pub instances_skip_checks: bool,
    /// Only to test the observers: clocks stop while a process is frozen.
    pub clocks_stop_while_frozen: bool,
    /// Only to test the observers: every received message counts as sent just now.
    pub input_counts_as_fresh: bool,
    /// Only to test the observers: agents ignore the progress of partially received messages.
    pub agents_ignore_progress: bool,
}

/// Reads when a fault occurs: its trigger, and the time in milliseconds.
fn read_trigger(item: &JsonValue) -> Option<(FaultTrigger, u64)> {
    let triggers = [
        ("at_ms", FaultTrigger::AtTime),
        ("on_yes_after_ms", FaultTrigger::OnAcceptance),
        ("on_deregistered_after_ms", FaultTrigger::OnDeregistration),
    ];
    let mut given = triggers
        .into_iter()
        .filter_map(|(name, trigger)| Some((trigger, item[name].as_u64()?)));
    let first = given.next();
    first.filter(|_| given.next().is_none())
}

fn read_action(item: &JsonValue) -> Option<FaultAction> {
    let count = item["count"].as_u32().unwrap_or(1);
    Some(match item["act"].as_str()? {
        "kill" => FaultAction::Kill,
        "stop" => FaultAction::Stop,
        "power-off" => FaultAction::PowerOff,
        "start" => FaultAction::Start,
        "lose-disk" => FaultAction::LoseDisk,
        "move" => FaultAction::MoveToNewAddress,
        "add-another" => FaultAction::AddNode,
        "freeze" => FaultAction::Freeze,
        "wake" => FaultAction::Unfreeze,
        "leave" => FaultAction::Drain,
        "warm-up" => FaultAction::WarmUp(Duration::from_millis(item["for_ms"].as_u64()?)),
        "deregister" => FaultAction::Deregister {
            serves_on: Duration::from_millis(item["serves_on_ms"].as_u64().unwrap_or(5000)),
            late_heartbeat: item["late_heartbeat_ms"]
                .as_u64()
                .map(Duration::from_millis),
        },
        "take-over" => FaultAction::ReuseAddress {
            service: item["pool"].as_str()?.to_string(),
        },
        "lose-answers" => FaultAction::LoseResponses(count),
        "send-garbage" => FaultAction::SendMalformedResponses(count),
        "refuse-orders" => FaultAction::RejectRequests(count),
        "refuse-disk" => FaultAction::FailDiskWrites,
        "mend-disk" => FaultAction::RepairDisk,
        "cut-off" => FaultAction::Partition { one_way: false },
        "cut-one-way" => FaultAction::Partition { one_way: true },
        "cut-inward" => FaultAction::PartitionInbound,
        "cut-between" => FaultAction::PartitionBetween {
            other: item["other"].as_str()?.to_string(),
        },
        "part" => FaultAction::IsolateVoter,
        "deafen" => FaultAction::BlockInboundConsensus,
        "muddle" => FaultAction::DelayAndDuplicate {
            max_delay: Duration::from_millis(item["late_ms"].as_u64()?),
            duplicated_per_thousand: item["doubled_per_thousand"].as_u64()?,
        },
        "narrow" => FaultAction::LimitBandwidth {
            bytes_per_second: item["bytes_per_second"].as_u64()?,
        },
        "fill" => FaultAction::LoadLink(read_link_load(item)?),
        "join" => FaultAction::HealNetwork,
        "vanish" => FaultAction::LosePermanently,
        "jump-clock" => FaultAction::JumpClock(item["by_ms"].as_i64()?),
        "slow" => FaultAction::SlowInstances(count),
        "hot-key" => FaultAction::HotKey(item["per_second"].as_u32()?),
        "surge" => FaultAction::Surge(item["percent"].as_u32()?),
        "cool" => FaultAction::EndLoad,
        "close-area" => FaultAction::CloseZone,
        "open-area" => FaultAction::OpenZone,
        _ => return None,
    })
}

/// Reads the background load of a link; queue lengths are given as minimum and maximum.
fn read_link_load(item: &JsonValue) -> Option<LinkLoad> {
    let background = item["background_bytes_per_second"].as_u64()?;
    let load = |field: &str| {
        let millis = |index: usize| item[field][index].as_u64().map(Duration::from_millis);
        Some(BackgroundLoad {
            bytes_per_second: background,
            queue_delay: (millis(0)?, millis(1)?),
        })
    };
    Some(LinkLoad {
        bytes_per_second: item["bytes_per_second"].as_u64()?,
        inward: load("queue_in_ms")?,
        outward: load("queue_out_ms")?,
    })
}

impl Day {
    /// Reads and checks a day file; on failure returns every fault found in it.
    pub fn read(path: &Path) -> Result<Self, Vec<OptionsFault>> {
        let value = read_json_file(path).map_err(|fault| vec![fault])?;
        let mut problems = Vec::new();
        let mut fault = |field: String, remedy: String| {
            let file = path.display().to_string();
            problems.push(OptionsFault {
                file,
                field,
                remedy,
            });
        };
        let known_fields = [
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
            "accepts_again",
            "heartbeats_to",
            "out_of_touch",
            "synced_ledgers",
            "witness_seats",
            "sync_time_ms",
            "most_lag_ms",
            "lag_after_path_ms",
            "proxies_per_area",
        ];
        let known_fault_fields = [
            "at_ms",
            "on_yes_after_ms",
            "on_deregistered_after_ms",
            "serves_on_ms",
            "late_heartbeat_ms",
            "act",
            "target",
            "big",
            "keyed_waits",
            "count",
            "pool",
            "late_ms",
            "doubled_per_thousand",
            "by_ms",
            "for_ms",
            "bytes_per_second",
            "background_bytes_per_second",
            "queue_in_ms",
            "queue_out_ms",
            "per_second",
            "percent",
            "other",
        ];
        for (name, _) in value.entries() {
            if !known_fields.contains(&name) {
                fault(
                    name.to_string(),
                    "is not a known field: remove it".to_string(),
                );
            }
        }
        let number_field = |name: &str, default: u64| value[name].as_u64().unwrap_or(default);
        let seconds = number_field("seconds", 40);
        let mut faults = Vec::new();
        for (index, item) in value["faults"].members().enumerate() {
            for (name, _) in item.entries() {
                if !known_fault_fields.contains(&name) {
                    fault(
                        format!("faults[{index}].{name}"),
                        "is not a known field: remove it".to_string(),
                    );
                }
            }
            match (read_trigger(item), read_action(item)) {
                (Some((trigger, moment)), Some(action)) => {
                    faults.push(FaultStep {
                        at: Duration::from_millis(moment),
                        action,
                        target: item["target"].as_str().unwrap_or_default().to_string(),
                        is_major: item["big"].as_bool().unwrap_or(false),
                        blocks_keyed_traffic: item["keyed_waits"].as_bool().unwrap_or(false),
                        trigger,
                    });
                }
                _ => fault(
                    format!("faults[{index}]"),
                    "give one of at_ms, on_yes_after_ms and on_deregistered_after_ms, and a known act with \
                     its arguments"
                        .to_string(),
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
            let remedy =
                "set it to controllers, or omit it to send heartbeats to agents".to_string();
            fault("heartbeats_to".to_string(), remedy);
        }
        let out_of_touch = &value["out_of_touch"];
        if !["silent", "serve-on"]
            .iter()
            .any(|known| out_of_touch == *known)
            && !out_of_touch.is_null()
        {
            let remedy = "set it to silent or serve-on, or omit it".to_string();
            fault("out_of_touch".to_string(), remedy);
        }
        let deployment_name = value["deployment"].as_str().unwrap_or("tallowgum");
        match read_deployment(deployment_name) {
            Err(remedy) => fault("deployment".to_string(), remedy),
            Ok(scenario) => {
                for (index, fault_step) in faults.iter().enumerate() {
                    if !fault_step.action.is_untargeted()
                        && !is_known_target(&scenario, &fault_step.target)
                    {
                        fault(
                            format!("faults[{index}].target"),
                            format!(
                                "{} is not a node, program or zone of {deployment_name}",
                                fault_step.target
                            ),
                        );
                    }
                    if let FaultAction::PartitionBetween { other } = &fault_step.action {
                        if !is_known_target(&scenario, other) {
                            fault(
                                format!("faults[{index}].other"),
                                format!(
                                    "{other} is not a node, program or zone of {deployment_name}"
                                ),
                            );
                        }
                    }
                }
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        Ok(Self {
            deployment: value["deployment"]
                .as_str()
                .unwrap_or("tallowgum")
                .to_string(),
            length: Duration::from_secs(seconds),
            traffic_percent: number_field("percent", 20),
            traffic_from: Duration::from_secs(6),
            traffic_until: Duration::from_secs(seconds.saturating_sub(4)),
            operator_interval: Duration::from_millis(number_field("operator_every_ms", 1500)),
            loss_per_thousand: number_field("loss_per_thousand", 2),
            bulk_change_routes: number_field("swell", 0) as u32,
            max_sync_time: Duration::from_millis(number_field("disk_ms", 4)),
            min_served_percent: number_field("served_at_least", 50),
            accepts_again: value["accepts_again"].as_bool().unwrap_or(false),
            min_kept_percent: number_field("kept_at_least", 0),
            max_lag: value["most_lag_ms"].as_u64().map(Duration::from_millis),
            lag_grace: Duration::from_millis(number_field("lag_after_path_ms", 0)),
            proxies_per_zone: value["proxies_per_area"].as_u32(),
            connection_model: ConnectionModel::default(),
            seeds,
            faults,
            controller_fault: FaultInjection::None,
            proxy_fault: ProxyFault::NoFault,
            fallback_fault: BrokenFallback::Nothing,
            policy: DayPolicy {
                serves_stale: value["out_of_touch"] == "serve-on",
                synced_controllers: value["synced_ledgers"].as_usize(),
                witness_voters: value["witness_seats"].as_usize(),
                sync_time: value["sync_time_ms"].as_u64().map(Duration::from_millis),
            },
            heartbeats_to_controllers: value["heartbeats_to"] == "controllers",
            agents_ignore_missing_versions: false,
            instances_skip_checks: false,
            clocks_stop_while_frozen: false,
            input_counts_as_fresh: false,
            agents_ignore_progress: false,
        })
    }

    /// Returns the problems of a run of this day; empty if it passed.
    ///
    /// Besides violations, a run must have served requests and accepted changes: otherwise it
    /// proves nothing.
    pub fn check_run(&self, observers: &Observers) -> Vec<String> {
        let tally = &observers.tally;
        let mut problems: Vec<String> = observers
            .violations
            .iter()
            .map(|violation| {
                format!(
                    "{:?} at {:?}: {}",
                    violation.invariant, violation.at, violation.details
                )
            })
            .collect();
        if tally.served * 100 < tally.sent * self.min_served_percent {
            problems.push(format!(
                "only {} of {} requests were served",
                tally.served, tally.sent
            ));
        }
        if tally.accepted == 0 || tally.reads == 0 {
            problems.push("no change was accepted, or no read completed".to_string());
        }
        problems
    }

    /// Returns when the next disruptive fault after a moment occurs, or the end of the day.
    pub fn next_disruption(&self, after: Duration) -> Duration {
        self.faults
            .iter()
            .filter(|fault_step| fault_step.at > after && fault_step.action.is_disruptive())
            .map(|fault_step| fault_step.at)
            .min()
            .unwrap_or(self.length)
    }

    /// Returns whether links are bandwidth-limited or loaded at some time of the day.
    pub fn limits_links(&self) -> bool {
        let limits = |fault: &FaultStep| {
            matches!(
                fault.action,
                FaultAction::LimitBandwidth { .. } | FaultAction::LoadLink(_)
            )
        };
        self.faults.iter().any(limits)
    }

    /// Runs the day with one seed.
    pub fn play(&self, scenario: &Scenario, seed: u64) -> Observers {
        let mut scenario = scenario.clone();
        if let Some(proxies_per_zone) = self.proxies_per_zone {
            scenario.proxies_per_zone = proxies_per_zone;
        }
        let mut world = World::new(scenario, self.clone(), seed);
        world.run();
        if self.accepts_again {
            let faults = self.faults.iter().filter(|fault| fault.is_major);
            faults.for_each(|fault| world.observers.check_accepts_again(fault.at));
        }
        world.observers
    }
}

/// Returns whether a fault's target exists in a deployment of this scenario.
fn is_known_target(scenario: &Scenario, target: &str) -> bool {
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
    let program = name.split('-').next().unwrap_or_default();
    programs.contains(&program)
        || scenario
            .services
            .iter()
            .any(|service| service.name == program)
        || scenario
            .zones
            .iter()
            .any(|(zone, region)| zone == name || region == name)
}

/// Reads the scenario file of a deployment from the workspace.
pub fn read_deployment(name: &str) -> Result<Scenario, String> {
    let path = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios"))
        .join(format!("{name}.json"));
    Scenario::read(&path).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        faults.join("; ")
    })
}
