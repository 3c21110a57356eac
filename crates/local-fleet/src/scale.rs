//! How a fleet's cost grows: real core processes beside hollow agents and instances, measured.

use crate::prelude::*;

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct ScaleOptions {
    pub nodes: u32,
    pub instances: u32,
    pub routes: u32,
    pub services: u32,
    pub changes: f64,
    pub restarts: f64,
    pub seconds: u64,
    pub zones: u32,
    pub agents: u32,
    pub directories: u32,
    pub threads: usize,
    pub base: u16,
    pub json: Option<PathBuf>,
    pub sweep: bool,
    pub check: bool,
    /// How long the hollow ones of the first zone are silent in the middle of the run.
    pub lose_zone: u64,
}

/// The most processes that a run may start.
const MOST_PROCESSES: u64 = 300;
const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
/// What a real process is estimated to take before it knows anything.
const PROCESS_BYTES: u64 = 16 * MIB;
/// What a hollow agent is estimated to take in our process and at the controllers: sockets, buffers.
const AGENT_BYTES: u64 = 160 * KIB;
/// What a hollow instance is estimated to take: its task, and a heartbeat on its way.
const INSTANCE_BYTES: u64 = 32 * KIB;
/// What one route is estimated to take in each real process, with copies of late and on disk.
const ROUTE_BYTES: u64 = 4 * KIB;
/// What one fact is estimated to take at each hollow agent while a grant is read.
const FACT_BYTES: u64 = 512;
/// Open files of one hollow agent at most: its port, and a way to and from each controller.
const AGENT_FILES: u64 = 7;
/// Open files of our process besides, and of heartbeats under way.
const OTHER_FILES: u64 = 1024;

impl ScaleOptions {
    fn processes(&self) -> u64 {
        3 + 2 * u64::from(self.agents) + u64::from(self.directories)
    }

    /// How much memory the run is estimated to take, by the costs stated above.
    fn memory(&self) -> u64 {
        let (nodes, instances) = (u64::from(self.nodes), u64::from(self.instances));
        let facts = nodes * (nodes + instances) * FACT_BYTES;
        let maps = u64::from(self.routes + self.services) * ROUTE_BYTES * self.processes();
        let hollow = nodes * AGENT_BYTES + instances * INSTANCE_BYTES;
        self.processes() * PROCESS_BYTES + facts + maps + hollow
    }

    /// What is wrong with the sizes on a machine with so much memory and so many open files.
    pub fn faults(&self, memory: u64, files: u64) -> Vec<OptionsFault> {
        let mut faults = Vec::new();
        let mut fault = |field: &str, remedy: String| {
            faults.push(OptionsFault {
                file: "command line".to_string(),
                field: field.to_string(),
                remedy,
            });
        };
        if self.services == 0 || self.routes == 0 || self.zones == 0 || self.seconds == 0 {
            fault(
                "--pools",
                "give at least 1 of services, routes, zones and seconds".to_string(),
            );
            return faults;
        }
        if self.agents < 3 || self.directories == 0 {
            fault(
                "--agents",
                "give at least 3 real agents and 1 directory".to_string(),
            );
        }
        if self.processes() > MOST_PROCESSES {
            let most = (MOST_PROCESSES - 3 - u64::from(self.directories).min(100)) / 2;
            fault(
                "--agents",
                format!(
                    "{} processes, {MOST_PROCESSES} are the most: --agents {most} would fit",
                    self.processes()
                ),
            );
        }
        if self.routes + self.services + self.zones > MOST_ITEMS as u32 {
            let most = (MOST_ITEMS as u32).saturating_sub(self.services + self.zones);
            fault(
                "--routes",
                format!(
                    "the standing orders have at most {MOST_ITEMS} items: --routes {most} would fit"
                ),
            );
        }
        let most_nodes = files.saturating_sub(OTHER_FILES) / AGENT_FILES;
        if u64::from(self.nodes) > most_nodes {
            fault(
                "--nodes",
                format!("{files} files may be open, a node takes {AGENT_FILES}: --nodes {most_nodes} would fit"),
            );
        }
        let budget = memory / 2;
        if self.memory() > budget {
            let told = format!(
                "reckoned at {} MiB, half of the memory is {} MiB",
                self.memory() / MIB,
                budget / MIB
            );
            let fits: Vec<String> = [
                (
                    "--nodes",
                    self.most_that_fits(self.nodes, budget, |options, size| options.nodes = size),
                ),
                (
                    "--instances",
                    self.most_that_fits(self.instances, budget, |options, size| {
                        options.instances = size
                    }),
                ),
                (
                    "--routes",
                    self.most_that_fits(self.routes, budget, |options, size| options.routes = size),
                ),
            ]
            .into_iter()
            .filter_map(|(flag, most)| Some(format!("{flag} {}", most?)))
            .collect();
            let remedy = match fits.is_empty() {
                true => {
                    format!("{told}: make more than one of nodes, instances and routes smaller")
                }
                false => format!("{told}: {} would fit", fits.join(", or ")),
            };
            fault("--nodes", remedy);
        }
        faults
    }

    /// The largest size of one dimension that fits with the others held.
    fn most_that_fits(
        &self,
        asked: u32,
        budget: u64,
        resize: impl Fn(&mut Self, u32),
    ) -> Option<u32> {
        let fits = |size: u32| {
            let mut options = self.clone();
            resize(&mut options, size);
            options.memory() <= budget
        };
        if !fits(1) {
            return None;
        }
        let (mut low, mut high) = (1, asked);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if fits(middle) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        Some(low)
    }

    fn zones(&self) -> Vec<String> {
        (0..self.zones)
            .map(|number| format!("zone-{number}"))
            .collect()
    }

    /// The real processes, as a scenario of the fleet.
    fn scenario(&self) -> Scenario {
        // Why zones of their own, first by name: the witness voters must be real agents.
        let zones: Vec<(String, String)> = (0..self.agents)
            .map(|number| (format!("real-{number:03}"), "real".to_string()))
            .collect();
        let named = |number: u32| zones[(number % self.agents) as usize].0.clone();
        Scenario {
            file: PathBuf::new(),
            name: "scale".to_string(),
            controllers: (0..3)
                .map(|number| format!("zone-{}", number % self.zones))
                .collect(),
            proxies_per_zone: 1,
            proxy_capacity: 100,
            directories: (0..self.directories).map(named).collect(),
            services: Vec::new(),
            routes: JsonValue::new_array(),
            traffic: Vec::new(),
            region_distance: Duration::ZERO,
            zones,
        }
    }

    /// Everything that the fleet is told at first, in change sets that are not too large.
    fn first_changes(&self, zones: &[(String, String)]) -> Vec<JsonValue> {
        let mut puts = Vec::new();
        let hollow = (0..self.zones)
            .map(|number| (format!("zone-{number}"), format!("region-{}", number / 4)));
        for (name, region) in zones.iter().cloned().chain(hollow) {
            puts.push(jzon::object! {
                kind: "area", name: name, area: { region: region, closed: false },
            });
        }
        for number in 0..self.services {
            puts.push(jzon::object! {
                kind: "pool", name: service_name(u64::from(number)).as_str(), pool: {},
            });
        }
        for number in 0..self.routes {
            puts.push(self.route_put(number, 2000));
        }
        puts.chunks(500)
            .enumerate()
            .map(|(number, puts)| jzon::object! { id: format!("first-{number}"), put: puts.to_vec() })
            .collect()
    }

    fn route_put(&self, number: u32, deadline: u64) -> JsonValue {
        let service = service_name(u64::from(number % self.services));
        jzon::object! {
            kind: "rule",
            name: route_name(u64::from(number)).as_str(),
            rule: {
                host: format!("tenant-{number}.example"),
                path: "/",
                pool: service.as_str(),
                deadline_ms: deadline,
            },
        }
    }
}

/// What the kernel says of one process.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    seconds: f64,
    memory: u64,
    peak: u64,
    written: u64,
}

impl Sample {
    /// Why all or nothing: a process that ended while it was read has no figures.
    fn of(process: i32) -> Option<Self> {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).ok();
        let stat = read("stat")?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // SAFETY: the call takes a number and touches no memory.
        let per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        let number_after = |text: &str, name: &str| -> Option<u64> {
            let line = text.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        let status = read("status")?;
        Some(Self {
            seconds: ticks as f64 / per_second as f64,
            memory: number_after(&status, "VmRSS:")? * KIB,
            peak: number_after(&status, "VmHWM:")? * KIB,
            written: number_after(&read("io")?, "write_bytes:")?,
        })
    }
}

/// What one role took in a run.
#[derive(Debug, Clone, Default)]
pub struct RoleFigures {
    pub role: String,
    pub processes: usize,
    /// Processor seconds per second, of all its processes together.
    pub processor: f64,
    /// Resident memory, mean and peak of one process, in MiB.
    pub memory: f64,
    pub peak: f64,
    /// Per second, of all its processes together.
    pub written: f64,
    pub messages_in: f64,
    pub messages_out: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
}

impl RoleFigures {
    /// The figures by name, in the order of the table.
    fn named(&self) -> [(&'static str, f64); 8] {
        [
            ("processor", self.processor),
            ("memory_mib", self.memory),
            ("peak_mib", self.peak),
            ("disk_bytes", self.written),
            ("messages_in", self.messages_in),
            ("messages_out", self.messages_out),
            ("bytes_in", self.bytes_in),
            ("bytes_out", self.bytes_out),
        ]
    }

    fn json(&self) -> JsonValue {
        let mut json = jzon::object! { role: self.role.as_str(), processes: self.processes };
        for (name, value) in self.named() {
            json[name] = rounded(value).into();
        }
        json
    }
}

/// Why rounded: a file of results is read by people too.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// What a run gave.
#[derive(Debug, Clone)]
pub struct Report {
    pub options: ScaleOptions,
    pub roles: Vec<RoleFigures>,
    /// Messages that one hollow node sent and got, per minute.
    pub node_messages: f64,
    pub node_bytes: f64,
    pub members_counted: usize,
    pub instances_counted: usize,
    pub hollow_voters: usize,
    /// The core counted every one before the measuring began.
    pub settled: bool,
    /// What the operator's tool was sent for its changes, a second, and for one look at the status.
    pub operator_bytes: f64,
    pub status_bytes: usize,
    /// How long after a zone fell silent the core counted it out, and in after it came back.
    pub zone_out: Option<Duration>,
    pub zone_back: Option<Duration>,
    pub restarted: u64,
    pub offered: u64,
    pub accepted: u64,
    pub unheld: u64,
    /// From the yes until the last hollow node held it.
    pub delays: Vec<Duration>,
}

impl Report {
    fn json(&self) -> JsonValue {
        let options = &self.options;
        let delay = |percent: usize| -> JsonValue {
            percentile(&self.delays, percent).map_or(JsonValue::Null, |delay| {
                rounded(delay.as_secs_f64() * 1000.0).into()
            })
        };
        jzon::object! {
            nodes: options.nodes,
            instances: options.instances,
            routes: options.routes,
            pools: options.services,
            changes_per_second: options.changes,
            restarts_per_minute: options.restarts,
            seconds: options.seconds,
            zones: options.zones,
            roles: self.roles.iter().map(RoleFigures::json).collect::<Vec<JsonValue>>(),
            node_messages_per_minute: rounded(self.node_messages),
            node_bytes_per_second: rounded(self.node_bytes),
            members_counted: self.members_counted,
            instances_counted: self.instances_counted,
            hollow_seats: self.hollow_voters,
            settled: self.settled,
            operator_bytes_per_second: rounded(self.operator_bytes),
            status_bytes: self.status_bytes,
            zone_counted_out_ms: self.zone_out.map(|span| span.as_millis() as u64),
            zone_counted_back_ms: self.zone_back.map(|span| span.as_millis() as u64),
            restarted: self.restarted,
            changes_offered: self.offered,
            changes_accepted: self.accepted,
            changes_not_held_by_all: self.unheld,
            change_held_ms: { median: delay(50), p99: delay(99), most: delay(100) },
        }
    }

    fn print(&self) {
        let options = &self.options;
        println!(
            "{} nodes, {} instances, {} routes, {} pools, {} changes/s, {} restarts/min, {} s",
            options.nodes,
            options.instances,
            options.routes,
            options.services,
            options.changes,
            options.restarts,
            options.seconds
        );
        println!(
            "{:<10}{:>5}{:>10}{:>10}{:>10}{:>12}{:>11}{:>11}{:>13}{:>13}",
            "role",
            "count",
            "cpu s/s",
            "MiB each",
            "peak MiB",
            "disk B/s",
            "msgs in/s",
            "msgs out/s",
            "bytes in/s",
            "bytes out/s"
        );
        for role in &self.roles {
            println!(
                "{:<10}{:>5}{:>10.4}{:>10.1}{:>10.1}{:>12.0}{:>11.1}{:>11.1}{:>13.0}{:>13.0}",
                role.role,
                role.processes,
                role.processor,
                role.memory,
                role.peak,
                role.written,
                role.messages_in,
                role.messages_out,
                role.bytes_in,
                role.bytes_out
            );
        }
        let delay = |percent: usize| {
            percentile(&self.delays, percent).map_or("none".to_string(), |delay| {
                format!("{} ms", delay.as_millis())
            })
        };
        println!(
            "a node: {:.1} messages a minute, {:.0} bytes a second; the core counts {} members and \
             {} instances; {} restarted",
            self.node_messages, self.node_bytes, self.members_counted, self.instances_counted,
            self.restarted
        );
        if options.lose_zone > 0 {
            let span = |span: Option<Duration>| {
                span.map_or("never".to_string(), |span| {
                    format!("after {} ms", span.as_millis())
                })
            };
            println!(
                "a zone silent for {} s: counted out {}, back {}",
                options.lose_zone,
                span(self.zone_out),
                span(self.zone_back)
            );
        }
        println!(
            "changes: {} offered, {} accepted, {} not held by all at the end; from yes to the last \
             hollow node: median {}, p99 {}, most {}",
            self.offered, self.accepted, self.unheld, delay(50), delay(99), delay(100)
        );
    }
}

/// Ends the fleet's processes however the run ends.
struct EndsFleet(Fleet);

impl Drop for EndsFleet {
    fn drop(&mut self) {
        for hand in &self.0.hands {
            hand.signal(libc::SIGKILL);
        }
    }
}

/// Asks controllers in turn until one answers well.
async fn ask_any(controllers: &[ControllerPlace], path: &str) -> Option<JsonValue> {
    for controller in controllers {
        let fetched = Fetch::get(controller.serving, path).patience(Duration::from_secs(5));
        if let Ok(fetched) = fetched.send().await {
            if fetched.status == 200 {
                return Some(fetched.json());
            }
        }
    }
    None
}

async fn wait_until(
    what: &str,
    span: Duration,
    test: impl AsyncFn() -> bool,
) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < span {
        if test().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    bail!("{what}: not within {span:?}")
}

/// A change that was told yes: its version, and when.
type Accepted = Arc<Mutex<Vec<(Version, Duration)>>>;

/// Offers changes at a steady rate, each answered by itself.
async fn keep_changing(
    options: ScaleOptions,
    controllers: Vec<ControllerPlace>,
    clock: Clock,
    flows: Arc<Flows>,
    accepted: Accepted,
    offered: Arc<AtomicU64>,
) {
    if options.changes <= 0.0 {
        return std::future::pending().await;
    }
    let mut turn = tokio::time::interval(Duration::from_secs_f64(1.0 / options.changes));
    loop {
        turn.tick().await;
        let number = offered.fetch_add(1, Ordering::SeqCst);
        let put = options.route_put(
            (number % u64::from(options.routes)) as u32,
            2001 + number % 5000,
        );
        let read = locked(&accepted).last().map_or(0, |last| last.0 .0);
        let id = format!("change-{number}");
        let body = jzon::object! { id: id, edition: read, put: [put] }.dump();
        let to = controllers[(number % controllers.len() as u64) as usize].serving;
        let (accepted, flows) = (accepted.clone(), flows.clone());
        tokio::spawn(async move {
            flows.count(
                Part::Operator,
                Part::Controller,
                request_bytes("/v1/standing", to, body.len()),
            );
            let Ok(fetched) = Fetch::post(to, "/v1/standing", body).send().await else {
                return;
            };
            let now = clock.now();
            flows.count(Part::Controller, Part::Operator, response_bytes(&fetched));
            if fetched.status == 200 {
                let version = Version(fetched.json()["edition"].as_u64().unwrap_or(0));
                locked(&accepted).push((version, now));
            }
        });
    }
}

/// Restarts hollow agents and instances in turn at a steady rate.
async fn keep_restarting(
    rate: f64,
    agents: &[HollowAgent],
    instances: &[HollowInstance],
    restarted: &AtomicU64,
) {
    if rate <= 0.0 {
        return std::future::pending().await;
    }
    let mut turn = tokio::time::interval(Duration::from_secs_f64(60.0 / rate));
    loop {
        turn.tick().await;
        let number = restarted.fetch_add(1, Ordering::SeqCst) as usize;
        if number.is_multiple_of(2) && !agents.is_empty() {
            agents[number / 2 % agents.len()].restart();
        } else if !instances.is_empty() {
            instances[number / 2 % instances.len()].restart();
        }
    }
}

/// How long after its yes each change was held by the last hollow node; and how many were not.
fn held_delays(accepted: &[(Version, Duration)], agents: &[HollowAgent]) -> (Vec<Duration>, u64) {
    let held: Vec<Vec<(Version, Duration)>> = agents
        .iter()
        .map(|agent| locked(&agent.held_since).clone())
        .collect();
    let mut unheld = 0;
    let mut delays = Vec::new();
    for (version, told) in accepted {
        let last = held
            .iter()
            .map(|moves| {
                moves
                    .iter()
                    .find(|(moved, _)| moved >= version)
                    .map(|(_, at)| *at)
            })
            .collect::<Option<Vec<Duration>>>();
        match last {
            Some(last) => {
                let last = last.into_iter().max().unwrap_or_default();
                delays.push(last.saturating_sub(*told));
            }
            None => unheld += 1,
        }
    }
    (delays, unheld)
}

/// Tells the fleet everything that it is told at first.
async fn tell_first(
    options: &ScaleOptions,
    zones: &[(String, String)],
    controllers: &[ControllerPlace],
) -> anyhow::Result<()> {
    for change in options.first_changes(zones) {
        let body = change.dump();
        let said = Mutex::new(String::new());
        let told = wait_until(
            "the first configuration",
            Duration::from_secs(30),
            async || {
                let fetched = Fetch::post(controllers[0].serving, "/v1/standing", body.clone())
                    .send()
                    .await;
                let good = fetched.as_ref().is_ok_and(|fetched| fetched.status == 200);
                *locked(&said) = fetched.map_or_else(
                    |failure| failure.to_string(),
                    |fetched| fetched.json().dump(),
                );
                good
            },
        );
        told.await.with_context(|| locked(&said).clone())?;
    }
    Ok(())
}

/// Runs one size, from the first process to the last.
async fn run_size(options: &ScaleOptions, folder: &Path) -> anyhow::Result<Report> {
    let folder = folder.join("scale");
    // Why anew: a fleet that finds the maps of an earlier run is not the one that was asked for.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let scenario = options.scenario();
    let mut fleet = Fleet::plan(&scenario, &folder, options.base);
    fleet.put_relay(options.base, Relayed::Messages);
    // Why out of the fleet: this process is the relay itself, for it counts what passes.
    fleet.hands.remove(0);
    let mut addresses = HashMap::new();
    let mut pairs = Vec::new();
    let mut controllers = Vec::new();
    for hand in &fleet.hands {
        let (Some(part), Some(advertised)) = (Part::of_program(&hand.program), hand.advertise)
        else {
            continue;
        };
        let listened: SocketAddr = hand.arguments[1].parse()?;
        addresses.insert(advertised, part);
        pairs.push((advertised, listened));
        if part == Part::Controller {
            controllers.push(ControllerPlace {
                advertised,
                listened,
                serving: hand.serving,
            });
        }
    }
    let addresses: Addresses = Arc::new(addresses);
    let flows: Arc<Flows> = Arc::default();
    count_between(&pairs, &addresses, &flows).await?;
    let mut fleet = EndsFleet(fleet);
    for place in 0..fleet.0.hands.len() {
        fleet.0.start(place)?;
    }
    let span = Duration::from_secs(60);
    // Why before any hollow agent comes: the witness voters are the real ones.
    wait_until("five voters", span, async || {
        let status = ask_any(&controllers, "/v1/status").await;
        status.is_some_and(|status| {
            status["seats"].len() == 5
                && status["members"].len() >= (options.agents + options.directories) as usize
        })
    })
    .await?;
    tell_first(options, &scenario.zones, &controllers).await?;
    let clock = Clock::start();
    let hollow = Arc::new(HollowFleet {
        clock,
        controllers: controllers.clone(),
        zones: options.zones(),
        services: options.services,
        routes: options.routes,
        spread: Duration::from_millis(300 + u64::from(options.nodes)),
        first_zone_silent: AtomicBool::new(false),
        addresses,
        flows: flows.clone(),
    });
    let mut agents = Vec::new();
    for number in 0..options.nodes {
        agents.push(start_agent(&hollow, number, options.base).await?);
    }
    let instances: Vec<HollowInstance> = (0..options.instances)
        .map(|number| start_instance(&hollow, number))
        .collect();
    let members = (options.nodes + options.agents + options.directories) as usize;
    let counted = async || {
        let status = ask_any(&controllers, "/v1/status")
            .await
            .unwrap_or(JsonValue::Null);
        (status["members"].len(), status["instances"].len())
    };
    // Why gone on all the same: a core that cannot count so many is a result too.
    let settled = wait_until(
        "the core counts everyone",
        Duration::from_secs(30),
        async || counted().await == (members, instances.len()),
    );
    let settled = settled.await;
    if let Err(why) = &settled {
        println!("{why}");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let samples = |fleet: &Fleet| -> Vec<Option<Sample>> {
        fleet
            .hands
            .iter()
            .map(|hand| Sample::of(hand.process))
            .collect()
    };
    let (accepted, offered) = (Accepted::default(), Arc::new(AtomicU64::new(0)));
    let restarted = AtomicU64::new(0);
    let spans = ZoneSpans::default();
    let before = (Instant::now(), samples(&fleet.0), flows.so_far());
    tokio::select! {
        () = tokio::time::sleep(Duration::from_secs(options.seconds)) => {}
        () = keep_changing(
            options.clone(), controllers.clone(), clock, flows.clone(), accepted.clone(), offered.clone(),
        ) => {}
        () = keep_restarting(options.restarts, &agents, &instances, &restarted) => {}
        () = lose_zone(options, &hollow, &counted, &spans) => {}
    }
    let took = before.0.elapsed().as_secs_f64();
    let (after, went) = (samples(&fleet.0), flows.so_far().since(&before.2));
    let status = ask_any(&controllers, "/v1/status")
        .await
        .unwrap_or(JsonValue::Null);
    let (zone_out, zone_back) = *locked(&spans);
    // Why wait: the last changes are still on their way.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let accepted = locked(&accepted).clone();
    let (delays, unheld) = held_delays(&accepted, &agents);
    let roles = ["controller", "agent", "proxy", "directory"]
        .map(|role| role_figures(role, &fleet.0, &before.1, &after, &went, took));
    let nodes = f64::from(options.nodes.max(1));
    let (sent, got) = (
        went.sent_by(Part::HollowAgent),
        went.received_by(Part::HollowAgent),
    );
    Ok(Report {
        options: options.clone(),
        roles: roles.to_vec(),
        node_messages: (sent.messages + got.messages) as f64 / nodes / took * 60.0,
        node_bytes: (sent.bytes + got.bytes) as f64 / nodes / took,
        members_counted: status["members"].len(),
        instances_counted: status["instances"].len(),
        hollow_voters: hollow_voters(&status, &pairs),
        settled: settled.is_ok(),
        operator_bytes: went.received_by(Part::Operator).bytes as f64 / took,
        status_bytes: status.dump().len(),
        zone_out,
        zone_back,
        restarted: restarted.load(Ordering::SeqCst),
        offered: offered.load(Ordering::SeqCst),
        accepted: accepted.len() as u64,
        unheld,
        delays,
    })
}

/// How many voters are held by others than real processes: such a run measures something else.
fn hollow_voters(status: &JsonValue, pairs: &[(SocketAddr, SocketAddr)]) -> usize {
    status["seats"]
        .members()
        .filter_map(|voter| voter["address"].as_str()?.parse::<SocketAddr>().ok())
        .filter(|address| !pairs.iter().any(|(advertised, _)| advertised == address))
        .count()
}

/// How long the core took to count a lost zone out, and to count it in again.
type ZoneSpans = Mutex<(Option<Duration>, Option<Duration>)>;

/// How often the core is asked whether it has counted a zone out or in.
const ZONE_ASK_PERIOD: Duration = Duration::from_millis(50);

/// Silences the hollow ones of the first zone for a while, and sees when the core notices.
async fn lose_zone(
    options: &ScaleOptions,
    hollow: &HollowFleet,
    counted: &impl AsyncFn() -> (usize, usize),
    spans: &ZoneSpans,
) {
    if options.lose_zone == 0 {
        return std::future::pending().await;
    }
    let all = counted().await;
    let lost_nodes = (0..options.nodes).filter(|number| hollow.in_first_zone(*number));
    let lost_instances =
        (0..options.instances).filter(|number| hollow.in_first_zone(number / options.services));
    let left = (
        all.0.saturating_sub(lost_nodes.count()),
        all.1.saturating_sub(lost_instances.count()),
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let reaches = async |awaited: (usize, usize)| {
        let start = Instant::now();
        while counted().await != awaited {
            tokio::time::sleep(ZONE_ASK_PERIOD).await;
        }
        start.elapsed()
    };
    let silent_until = Instant::now() + Duration::from_secs(options.lose_zone);
    hollow.first_zone_silent.store(true, Ordering::SeqCst);
    let out = reaches(left).await;
    locked(spans).0 = Some(out);
    tokio::time::sleep_until(silent_until.into()).await;
    hollow.first_zone_silent.store(false, Ordering::SeqCst);
    let back = reaches(all).await;
    locked(spans).1 = Some(back);
    std::future::pending().await
}

fn role_figures(
    role: &str,
    fleet: &Fleet,
    before: &[Option<Sample>],
    after: &[Option<Sample>],
    went: &FlowCounts,
    took: f64,
) -> RoleFigures {
    let pairs: Vec<(Sample, Sample)> = fleet
        .hands
        .iter()
        .zip(before.iter().zip(after))
        .filter(|(hand, _)| hand.program == role)
        .filter_map(|(_, (before, after))| Some(((*before)?, (*after)?)))
        .collect();
    let count = pairs.len().max(1) as f64;
    let sum = |figure: fn(&(Sample, Sample)) -> f64| pairs.iter().map(figure).sum::<f64>();
    let (amount_in, amount_out) = match Part::of_program(role) {
        Some(part) => (went.received_by(part), went.sent_by(part)),
        None => Default::default(),
    };
    RoleFigures {
        role: role.to_string(),
        processes: pairs.len(),
        processor: sum(|(before, after)| after.seconds - before.seconds) / took,
        memory: sum(|(_, after)| after.memory as f64) / count / MIB as f64,
        peak: sum(|(_, after)| after.peak as f64) / count / MIB as f64,
        written: sum(|(before, after)| (after.written - before.written) as f64) / took,
        messages_in: amount_in.messages as f64 / took,
        messages_out: amount_out.messages as f64 / took,
        bytes_in: amount_in.bytes as f64 / took,
        bytes_out: amount_out.bytes as f64 / took,
    }
}

/// Runs one size in a runtime of its own, so that all of its ports are free again afterwards.
fn run_apart(options: &ScaleOptions, folder: &Path) -> anyhow::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            report = run_size(options, folder) => report,
            () = asked_to_stop() => Err(anyhow!("interrupted: every process of the run was ended")),
        }
    });
    runtime.shutdown_timeout(Duration::from_secs(3));
    outcome
}

/// One dimension of a sweep, and the sizes that it takes while all others are held.
fn dimensions(options: &ScaleOptions) -> Vec<(&'static str, Vec<(f64, ScaleOptions)>)> {
    let with = |size: f64, resize: fn(&mut ScaleOptions, f64)| {
        let mut sized = options.clone();
        resize(&mut sized, size);
        (size, sized)
    };
    let sized = |sizes: [f64; 4], resize: fn(&mut ScaleOptions, f64)| {
        sizes.map(|size| with(size, resize)).to_vec()
    };
    vec![
        (
            "nodes",
            sized([16.0, 32.0, 64.0, 128.0], |options, size| {
                options.nodes = size as u32
            }),
        ),
        (
            "instances",
            sized([50.0, 100.0, 200.0, 400.0], |options, size| {
                options.instances = size as u32
            }),
        ),
        (
            "routes",
            sized([250.0, 1000.0, 2000.0, 4000.0], |options, size| {
                options.routes = size as u32
            }),
        ),
        (
            "changes",
            sized([0.5, 1.0, 2.0, 4.0], |options, size| options.changes = size),
        ),
    ]
}

/// Every figure of a run by name, for a line through several runs.
fn figures(report: &Report) -> Vec<(String, f64)> {
    let mut figures = Vec::new();
    for role in &report.roles {
        for (name, value) in role.named() {
            figures.push((format!("{}.{name}", role.role), value));
        }
    }
    figures.push(("operator.bytes_in".to_string(), report.operator_bytes));
    figures.push((
        "operator.status_bytes".to_string(),
        report.status_bytes as f64,
    ));
    figures.push(("node.messages_per_minute".to_string(), report.node_messages));
    figures.push(("node.bytes_per_second".to_string(), report.node_bytes));
    figures
}

/// The figures that only the number of facts told explains, through runs of all dimensions.
const BY_FACTS_TOLD: [&str; 2] = ["controller.processor", "controller.bytes_out"];

fn fits_json(points: &[(f64, Report)], wanted: impl Fn(&str) -> bool) -> JsonValue {
    let mut json = JsonValue::new_object();
    let Some((_, first)) = points.first() else {
        return json;
    };
    for (place, (name, _)) in figures(first).iter().enumerate() {
        if !wanted(name) {
            continue;
        }
        let line: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, report)| (*size, figures(report)[place].1))
            .collect();
        if let Some(fit) = Fit::through(&line) {
            json[name.as_str()] = fit.json();
            let word = if fit.is_straight() {
                ""
            } else {
                "  NOT A STRAIGHT LINE"
            };
            println!(
                "  {name:<28} {:>14.5} each + {:>14.4}  residual {:>5.1} %{word}",
                fit.slope,
                fit.intercept,
                fit.residual * 100.0
            );
        }
    }
    json
}

/// How many facts the core tells and is told in a second, by the sizes alone.
///
/// Why: each node is told of every node and instance again and again, so neither nodes nor
/// instances alone make a straight line.
fn facts_told(options: &ScaleOptions) -> f64 {
    let members = f64::from(options.nodes + options.agents + options.directories);
    let renewals = 1.0 / RENEW_PERIOD.as_secs_f64();
    members * (renewals * members + 2.0 * f64::from(options.instances))
}

fn sweep(options: &ScaleOptions, folder: &Path) -> anyhow::Result<JsonValue> {
    let mut json = jzon::object! { dimensions: {}, };
    let mut all: Vec<(f64, Report)> = Vec::new();
    for (dimension, sizes) in dimensions(options) {
        let mut points = Vec::new();
        for (size, sized) in sizes {
            let report = run_apart(&sized, folder)?;
            report.print();
            points.push((size, report));
        }
        println!("{dimension}:");
        let fits = fits_json(&points, |_| true);
        let runs: Vec<JsonValue> = points.iter().map(|(_, report)| report.json()).collect();
        json["dimensions"][dimension] = jzon::object! { runs: runs, fits: fits };
        all.extend(
            points
                .into_iter()
                .map(|(_, report)| (facts_told(&report.options), report)),
        );
    }
    println!("facts told in a second, through all runs:");
    json["by_facts_told"] = fits_json(&all, |name| BY_FACTS_TOLD.contains(&name));
    Ok(json)
}

/// The sizes that the check compares, and how many times as much a node of the larger may say and
/// hear: far above what chance does, and far below the three of one that talks to all others.
const CHECKED_NODES: [u32; 2] = [8, 24];
const MOST_GROWTH: f64 = 1.5;

/// Whether the messages of one node stay within the bound from the smaller fleet to the larger.
pub fn growth_is_bounded(smaller: f64, larger: f64) -> bool {
    smaller > 0.0 && larger <= MOST_GROWTH * smaller
}

/// Whether a node says and hears no more in a larger fleet: by counts, whatever the speed.
fn check(options: &ScaleOptions, folder: &Path) -> anyhow::Result<bool> {
    let mut counts = Vec::new();
    for nodes in CHECKED_NODES {
        let sized = ScaleOptions {
            nodes,
            ..options.clone()
        };
        let report = run_apart(&sized, folder)?;
        report.print();
        // Why no proposal outcome: a core that does not count them, or is made of them, shows nothing.
        if !report.settled || report.hollow_voters > 0 || report.accepted == 0 {
            bail!("the core did not count the hollow nodes as any others: nothing was checked");
        }
        counts.push(report.node_messages);
    }
    println!(
        "messages of one node a minute: {:.1} of {} nodes, {:.1} of {}: ratio {:.3}, at most {MOST_GROWTH}",
        counts[0],
        CHECKED_NODES[0],
        counts[1],
        CHECKED_NODES[1],
        counts[1] / counts[0]
    );
    Ok(growth_is_bounded(counts[0], counts[1]))
}

/// The memory of this machine, and how many files a process may have open.
fn machine_limits() -> anyhow::Result<(u64, u64)> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let total = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .context("the machine does not say how much memory it has")?;
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: the call only writes into the place given, which lives until it returns.
    unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) };
    Ok((total * KIB, limit.rlim_cur))
}

/// Does what the options ask for; says whether all was well.
pub fn scale(options: &ScaleOptions, folder: &Path) -> anyhow::Result<bool> {
    let (memory, files) = machine_limits()?;
    let faults = options.faults(memory, files);
    if !faults.is_empty() {
        end_over(&faults);
    }
    if options.check {
        return check(options, folder);
    }
    let json = if options.sweep {
        sweep(options, folder)?
    } else {
        let report = run_apart(options, folder)?;
        report.print();
        report.json()
    };
    if let Some(path) = &options.json {
        std::fs::write(path, json.pretty(1))?;
    }
    Ok(true)
}
