//! A day: which deployment, how long, which faults when; read from a file and checked.

use crate::prelude::*;

#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Kill,
    PowerOff,
    Start,
    Replace,
    Move,
    /// An empty node of the same kind joins at a new address.
    AddAnother,
    Freeze,
    Wake,
    Leave,
    /// Another instance, of this pool, takes the address over.
    TakeOver {
        pool: String,
    },
    LoseAnswers(u32),
    SendGarbage(u32),
    RefuseOrders(u32),
    RefuseDisk,
    MendDisk,
    CutOff {
        one_way: bool,
    },
    /// Cut off from the other seats, but not from its followers.
    Part,
    /// Hears no votes and no news of books, but all else.
    Deafen,
    Join,
    CloseArea,
    OpenArea,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Harm {
    pub at: Duration,
    pub act: Act,
    pub target: String,
    /// After it, most traffic must be served again within the brief's fifteen seconds.
    pub big: bool,
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
    /// Which part of the orders, in percent, must be served over the whole day.
    pub served_at_least: u64,
    pub seeds: Vec<u64>,
    pub faults: Vec<Harm>,
    pub broken_ledger: Broken,
    pub broken_proxy: BrokenProxy,
    pub careless_mentors: bool,
    pub careless_instances: bool,
}

fn read_act(text: &str, count: u32, pool: &str) -> Option<Act> {
    Some(match text {
        "kill" => Act::Kill,
        "power-off" => Act::PowerOff,
        "start" => Act::Start,
        "lose-disk" => Act::Replace,
        "move" => Act::Move,
        "add-ledger" => Act::AddAnother,
        "freeze" => Act::Freeze,
        "wake" => Act::Wake,
        "leave" => Act::Leave,
        "take-over" => Act::TakeOver {
            pool: pool.to_string(),
        },
        "lose-answers" => Act::LoseAnswers(count),
        "send-garbage" => Act::SendGarbage(count),
        "refuse-orders" => Act::RefuseOrders(count),
        "refuse-disk" => Act::RefuseDisk,
        "mend-disk" => Act::MendDisk,
        "cut-off" => Act::CutOff { one_way: false },
        "cut-one-way" => Act::CutOff { one_way: true },
        "part" => Act::Part,
        "deafen" => Act::Deafen,
        "join" => Act::Join,
        "close-area" => Act::CloseArea,
        "open-area" => Act::OpenArea,
        _ => return None,
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
        for (place, item) in value["faults"].members().enumerate() {
            let count = item["count"].as_u32().unwrap_or(1);
            let act = item["act"]
                .as_str()
                .and_then(|text| read_act(text, count, item["pool"].as_str().unwrap_or_default()));
            match (item["at_ms"].as_u64(), act) {
                (Some(at), Some(act)) => faults.push(Harm {
                    at: Duration::from_millis(at),
                    act,
                    target: item["target"].as_str().unwrap_or_default().to_string(),
                    big: item["big"].as_bool().unwrap_or(false),
                }),
                _ => fault(
                    format!("faults[{place}]"),
                    "give at_ms and a known act".to_string(),
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
        let deployed = value["deployment"].as_str().unwrap_or("tallowgum");
        match deployment(deployed) {
            Err(remedy) => fault("deployment".to_string(), remedy),
            Ok(scenario) => {
                for (place, harm) in faults.iter().enumerate() {
                    let untargeted = matches!(harm.act, Act::Join);
                    if !untargeted && !is_target(&scenario, &harm.target) {
                        fault(
                            format!("faults[{place}].target"),
                            format!("{} is no node, program or area of {deployed}", harm.target),
                        );
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
            seeds,
            faults,
            broken_ledger: Broken::Nothing,
            broken_proxy: BrokenProxy::Nothing,
            careless_mentors: false,
            careless_instances: false,
        })
    }

    /// Plays the day with one seed.
    pub fn play(&self, scenario: &Scenario, seed: u64) -> Observers {
        let mut world = World::new(scenario.clone(), self.clone(), seed);
        world.run();
        world.observers
    }
}

/// Whether a fault's target names something in a fleet of this scenario.
fn is_target(scenario: &Scenario, target: &str) -> bool {
    let name = target.strip_prefix("any-").unwrap_or(target);
    let programs = ["ledger", "mentor", "playout", "cuesheet", "holder"];
    let parts = name.split('-').next().unwrap_or_default();
    programs.contains(&parts)
        || scenario.pools.iter().any(|pool| pool.name == parts)
        || scenario.areas.iter().any(|(area, _)| area == name)
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
