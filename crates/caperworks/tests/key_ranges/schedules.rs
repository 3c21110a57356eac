//! Random schedules: whatever happens in which order, a key range is leased to one instance at a time.

use std::collections::BTreeSet;
use std::time::Duration;

use caperworks::facts::InstanceState;
use caperworks::identifiers::{InstanceId, RandomSource, Zone};
use caperworks::map_items::KeyRangeTable;
use caperworks::ownership::OwnerManager;

use crate::bench::{millis, seconds, Bench};

#[test]
fn random_schedules_never_lease_a_key_range_twice() {
    let names = ["a", "b", "c", "d"];
    for seed in 0..20 {
        let mut random = RandomSource::seeded(seed);
        let mut bench = Bench::new(8);
        let mut paused = BTreeSet::new();
        for step in 0..400 {
            let now = seconds(1) + millis(250 * step);
            if random.below(20) == 0 {
                let name = names[random.below(4) as usize];
                if !paused.remove(name) {
                    paused.insert(name);
                }
            }
            if random.below(30) == 0 {
                let name = names[random.below(4) as usize];
                let instance = bench.instance(name);
                instance.state = match instance.state {
                    InstanceState::Draining => InstanceState::Serving,
                    _ => InstanceState::Draining,
                };
            }
            for name in names {
                if !paused.contains(name) && random.below(4) > 0 {
                    bench.heartbeat(now, name);
                }
            }
            bench.plan(now);
            bench.assert_no_shared_key_range(now);
        }
    }
}

/// How long an instance that announced its termination serves on.
const SERVES_ON: Duration = Duration::from_secs(5);
/// Length of one step of a schedule.
const STEP: Duration = Duration::from_millis(250);

/// A safeguard that the owner manager lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// An announced termination counts as the end of the instance's leases.
    TerminationEndsLeases,
}

/// A schedule in which instances come, drain, pause, crash, and leave with and without draining, while
/// owner managers follow one another and plans are committed late or not at all.
struct Schedule {
    bench: Bench,
    random: RandomSource,
    fault: Fault,
    now: Duration,
    /// The instances that send heartbeats.
    running: Vec<String>,
    paused: BTreeSet<String>,
    /// The instances that announced their termination, and when each ends.
    serving_on: Vec<(String, Duration)>,
    proposed: Option<KeyRangeTable>,
    started: u32,
}

impl Schedule {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut schedule = Self {
            bench: Bench::new(8),
            random: RandomSource::seeded(seed),
            fault,
            now: seconds(1),
            running: Vec::new(),
            paused: BTreeSet::new(),
            serving_on: Vec::new(),
            proposed: None,
            started: 0,
        };
        let instances = 2 + schedule.random.below(3);
        (0..instances).for_each(|_| schedule.start_instance());
        schedule.start_owner_manager();
        schedule
    }

    fn is_due(&mut self, one_in: u64) -> bool {
        self.random.below(one_in) == 0
    }

    fn start_instance(&mut self) {
        self.started += 1;
        self.running.push(format!("instance-{}", self.started));
    }

    fn start_owner_manager(&mut self) {
        let mut owner_manager = OwnerManager::default();
        owner_manager.start_term(self.now);
        owner_manager.ends_leases_on_termination = self.fault == Fault::TerminationEndsLeases;
        self.bench.owner_manager = owner_manager;
        self.proposed = None;
    }

    fn random_instance(&mut self) -> usize {
        self.random.below(self.running.len() as u64) as usize
    }

    fn pause_or_resume(&mut self) {
        let index = self.random_instance();
        let name = self.running[index].clone();
        if !self.paused.remove(&name) {
            self.paused.insert(name);
        }
    }

    fn drain_or_serve(&mut self) {
        let index = self.random_instance();
        let instance = self.bench.instance(&self.running[index]);
        instance.state = match instance.state {
            InstanceState::Draining => InstanceState::Serving,
            _ => InstanceState::Draining,
        };
    }

    /// An instance announces its termination, which is acknowledged, and serves on without heartbeats.
    fn terminate(&mut self) {
        let index = self.random_instance();
        let name = self.running.swap_remove(index);
        let id = InstanceId::new(&name);
        self.bench.instances.record_deregistration(self.now, &id);
        self.serving_on.push((name, self.now + SERVES_ON));
        self.start_instance();
    }

    /// An instance ends without a word.
    fn crash(&mut self) {
        let index = self.random_instance();
        let name = self.running.swap_remove(index);
        self.bench.simulated_instances.remove(&name);
        self.start_instance();
    }

    fn close_or_open_zone(&mut self) {
        let zone = Zone::new("east-1");
        if !self.bench.closed.remove(&zone) {
            self.bench.closed.insert(zone);
        }
    }

    fn send_heartbeats(&mut self) {
        for name in self.running.clone() {
            if !self.paused.contains(&name) && self.random.below(4) > 0 {
                self.bench.heartbeat(self.now, &name);
            }
        }
    }

    /// Commits or drops what was proposed, or proposes the next plan.
    fn plan(&mut self) {
        match self.proposed.take() {
            Some(_) if self.is_due(4) => {}
            Some(table) => {
                self.bench.commit(table);
            }
            None => self.proposed = self.bench.next_table(self.now),
        }
    }

    /// Runs one step and returns what is wrong after it.
    fn step(&mut self) -> Option<String> {
        self.now += STEP;
        if self.is_due(20) {
            self.pause_or_resume();
        }
        if self.is_due(30) {
            self.drain_or_serve();
        }
        if self.is_due(30) {
            self.terminate();
        }
        if self.is_due(60) {
            self.crash();
        }
        if self.is_due(80) {
            self.close_or_open_zone();
        }
        if self.is_due(100) {
            self.start_owner_manager();
        }
        let now = self.now;
        let ended = self.serving_on.extract_if(.., |(_, end)| *end <= now);
        for (name, _) in ended.collect::<Vec<_>>() {
            self.bench.simulated_instances.remove(&name);
        }
        self.send_heartbeats();
        self.plan();
        self.bench.shared_key_range(now)
    }

    /// Returns what is wrong first in so many steps.
    fn run(&mut self, steps: u32) -> Option<String> {
        (0..steps).find_map(|_| self.step())
    }
}

/// A seed in which an owner renewed its lease while the change of its key ranges was being committed.
const SEED_OF_LATE_RENEWAL: u64 = 431;

/// Guards against key ranges that two instances hold when one leaves in whatever way.
#[test]
fn random_schedules_with_terminations_never_lease_a_key_range_twice() {
    for seed in (0..60).chain([SEED_OF_LATE_RENEWAL]) {
        let mut schedule = Schedule::new(seed, Fault::None);
        assert_eq!(schedule.run(800), None, "seed {seed}");
    }
}

#[test]
fn random_schedules_detect_that_a_termination_ends_leases() {
    let mut found = (0..5).filter_map(|seed| {
        let mut schedule = Schedule::new(seed, Fault::TerminationEndsLeases);
        schedule.run(800)
    });
    assert!(found.next().is_some());
}
