//! Replacement of lost controllers: what is logged, and whether it completes while the configuration changes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::{apply, service, service_put, Fleet};
use crate::follower::FollowerProcess;
use crate::restarts::run_with_follower;
use crate::support::controllers::{address, policy, STEP};
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::facts::Role;
use caperworks::identifiers::NodeId;
use caperworks::policy::CorePolicy;
use caperworks::replicated_map::MapName;
use controller::state_machine::event::Event;
use controller::state_machine::input::ControllerInput;
use controller::state_machine::operator_messages::{OperatorCall, OperatorResponse};

/// The shortest `sync_time_s` of the deployments: a successor must be a voter that long after its start.
const SYNC_TIME: Duration = Duration::from_secs(4);

/// Values of `sync_time_s`: less than in any deployment, and those of the deployments.
const SYNC_TIMES: [Duration; 3] = [Duration::from_secs(3), SYNC_TIME, Duration::from_secs(6)];

/// The one-way delay between regions.
const REGION_DELAY: Duration = Duration::from_millis(50);

/// The policy of controllers on the operators' platform.
fn platform_policy() -> CorePolicy {
    let core = CorePolicy {
        collection_period: Duration::from_millis(2200),
        ..policy()
    };
    core.with_sync_time(SYNC_TIME)
}

fn founded_fleet(seed: u64) -> Fleet {
    founded_fleet_with(&platform_policy(), seed)
}

fn founded_fleet_with(core: &CorePolicy, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(std::array::from_fn(|_| core.clone()), seed);
    fleet.run(Duration::from_secs(8));
    assert_eq!(fleet.founded, 1);
    fleet
}

/// Guards against a replacement that stops for reasons that no log line tells.
#[test]
fn candidate_that_cannot_become_voter_is_logged_with_reason() {
    let mut fleet = founded_fleet(400);
    fleet.events.clear();
    fleet.stop(0, true);
    let successor = fleet.add_controller(platform_policy());
    fleet.nodes[successor].disk_hangs = true;
    fleet.run(Duration::from_secs(10));
    let lost = |event: &Event| matches!(event, Event::VoterUnreachable { why } if why.contains("last message 15"));
    let started = |event: &Event| matches!(event, Event::VoterManagementStarted { .. });
    let waiting = |event: &Event| match event {
        Event::CandidateWaiting { why } => why.contains("behind by") && why.contains("Behind"),
        _ => false,
    };
    let count = |predicate: &dyn Fn(&Event) -> bool| {
        let events = fleet.events.iter();
        events.filter(|(_, event)| predicate(event)).count()
    };
    // Each of the other two notices the loss, and one of them manages the voters.
    assert_eq!(count(&lost), 2, "{:?}", fleet.events);
    assert_eq!(count(&started), 1, "{:?}", fleet.events);
    assert!((4..10).contains(&count(&waiting)), "{:?}", fleet.events);
}

/// Guards against a replacement whose steps cannot be dated afterwards.
#[test]
fn replacement_is_logged_step_by_step() {
    let mut fleet = founded_fleet(401);
    fleet.events.clear();
    fleet.stop(0, true);
    let successor = fleet.add_controller(platform_policy());
    fleet.run(Duration::from_secs(10));
    let node = fleet.nodes[successor]
        .machine
        .as_ref()
        .expect("the successor is running")
        .node();
    let voters_of = |index: usize| -> Vec<(usize, bool)> {
        let events = fleet.events.iter();
        let sets = events.filter_map(|(from, event)| match event {
            Event::VotersChanged { voters } if *from == index => {
                Some((voters.len(), voters.contains(&node)))
            }
            _ => None,
        });
        sets.collect()
    };
    // The lost controller is removed before its successor is added.
    assert_eq!(voters_of(1), [(2, false), (3, true)]);
    assert_eq!(voters_of(2), [(2, false), (3, true)]);
}
/// Operators that keep changing services at the controllers that run.
struct SteadyChanges {
    interval: Duration,
    next_at: Duration,
    count: u64,
    /// The item and its version in each change, by the ticket of the call.
    sent: BTreeMap<u64, (String, u64)>,
}

impl SteadyChanges {
    fn new(interval: Duration) -> Self {
        Self {
            interval,
            next_at: Duration::ZERO,
            count: 0,
            sent: BTreeMap::new(),
        }
    }

    /// Lets the fleet run while changes are sent.
    fn run(&mut self, fleet: &mut Fleet, duration: Duration) {
        let until = fleet.now + duration;
        while fleet.now < until {
            fleet.run(STEP);
            if fleet.now >= self.next_at {
                self.next_at = fleet.now + self.interval;
                self.send(fleet);
            }
        }
    }

    /// Sends the next change to the next controller that runs and is not shutting down.
    fn send(&mut self, fleet: &mut Fleet) {
        let running: Vec<usize> = (0..fleet.nodes.len())
            .filter(|index| {
                let machine = fleet.nodes[*index].machine.as_ref();
                machine.is_some_and(|machine| machine.state.stopping_since.is_none())
            })
            .collect();
        self.count += 1;
        let index = running[self.count as usize % running.len()];
        let service_name = format!("records-{}", self.count % 4);
        let put = service_put(&service_name, self.count, Some(service()));
        let key = put.key.clone();
        let ticket = fleet.call(index, apply(&format!("change-{}", self.count), vec![put]));
        self.sent.insert(ticket, (key, self.count));
    }

    /// Returns the highest acknowledged version of each item.
    fn acknowledged(&self, fleet: &Fleet) -> BTreeMap<String, u64> {
        let mut highest = BTreeMap::new();
        for (ticket, (key, version)) in &self.sent {
            let is_answered = fleet.responses.contains_key(ticket);
            let outcome = is_answered
                .then(|| fleet.proposal_outcome(*ticket))
                .flatten();
            if let Some(ProposalOutcome::Accepted(_) | ProposalOutcome::Repeat(_)) = outcome {
                let known = highest.entry(key.clone()).or_insert(*version);
                *known = (*known).max(*version);
            }
        }
        highest
    }
}

/// The number of changes that operators may have in flight at once.
const CHANGES_IN_FLIGHT: u32 = 8;

/// Intervals between changes, from many within a quorum read to one in several seconds.
const CHANGE_INTERVALS_MS: [u64; 8] = [25, 50, 75, 100, 200, 300, 1000, 3000];

/// Returns whether a node is a voter in the membership of each controller of `observers`.
fn is_voter_at(fleet: &Fleet, node: NodeId, observers: &[usize]) -> bool {
    observers.iter().all(|index| {
        let machine = fleet.nodes[*index].machine.as_ref();
        let voters = machine.and_then(|machine| machine.state.voters());
        voters.is_some_and(|voters| voters.entry(node).is_some())
    })
}

fn node_of(fleet: &Fleet, index: usize) -> NodeId {
    let machine = fleet.nodes[index].machine.as_ref();
    machine.expect("the controller is running").node()
}

/// How a controller is lost for good.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Removal {
    Kill,
    Shutdown,
}

/// Removes a controller for good and starts its successor at the same moment. Returns the successor's index.
fn replace(fleet: &mut Fleet, lost: usize, removal: Removal) -> usize {
    match removal {
        Removal::Kill => fleet.stop(lost, true),
        Removal::Shutdown => fleet.handle_input(lost, ControllerInput::Shutdown),
    }
    let core = fleet.nodes[lost].core.clone();
    fleet.add_controller(core)
}

/// Returns the time from the start of the successor until it is a voter, while changes go on; `None` if that
/// takes longer than 30 s.
fn time_to_replacement(
    fleet: &mut Fleet,
    lost: usize,
    removal: Removal,
    interval: Duration,
) -> Option<Duration> {
    let mut changes = SteadyChanges::new(interval);
    changes.run(fleet, Duration::from_secs(2));
    let others: Vec<usize> = (0..fleet.nodes.len())
        .filter(|index| *index != lost)
        .collect();
    let since = fleet.now;
    let successor = replace(fleet, lost, removal);
    let node = node_of(fleet, successor);
    while fleet.now < since + Duration::from_secs(30) {
        changes.run(fleet, STEP);
        if fleet.stopped.remove(&lost) {
            fleet.stop(lost, true);
        }
        if is_voter_at(fleet, node, &others) {
            return Some(fleet.now - since);
        }
    }
    None
}

/// Asserts that the successors of these controllers become voters in time, whatever the interval of changes.
fn assert_replaced_in_time(losses: &[usize], removal: Removal, first_seed: u64) {
    let mut too_late = Vec::new();
    for (number, interval) in CHANGE_INTERVALS_MS.into_iter().enumerate() {
        for lost in losses {
            let mut fleet = founded_fleet(first_seed + number as u64 * 3 + *lost as u64);
            let interval = Duration::from_millis(interval);
            let taken = time_to_replacement(&mut fleet, *lost, removal, interval);
            if taken.is_none_or(|taken| taken > SYNC_TIME) {
                too_late.push((interval, *lost, taken));
            }
        }
    }
    assert!(too_late.is_empty(), "{removal:?}: {too_late:?}");
}

/// Guards against a successor that never becomes a voter because each change makes it behind again.
#[test]
fn successor_becomes_voter_while_configuration_changes() {
    // Controller 0 manages the voters.
    assert_replaced_in_time(&[1, 2], Removal::Kill, 410);
}

/// Guards against steps of a replacement that together take longer than the operators' settings allow.
#[test]
fn successor_of_voter_manager_becomes_voter_within_sync_time() {
    let mut too_late = Vec::new();
    for (number, sync_time) in SYNC_TIMES.into_iter().enumerate() {
        for distant in [None, Some(2)] {
            let core = platform_policy().with_sync_time(sync_time);
            let mut fleet = founded_fleet_with(&core, 480 + number as u64);
            if let Some(distant) = distant {
                fleet.distant.insert(distant, REGION_DELAY);
            }
            let interval = Duration::from_millis(300);
            let taken = time_to_replacement(&mut fleet, 0, Removal::Kill, interval);
            if taken.is_none_or(|taken| taken > sync_time) {
                too_late.push((sync_time, distant, taken));
            }
        }
    }
    assert!(too_late.is_empty(), "{too_late:?}");
}

/// Guards against a replacement that takes longer because the lost controller stopped gracefully.
#[test]
fn successor_of_stopped_controller_becomes_voter_in_time() {
    assert_replaced_in_time(&[0, 1, 2], Removal::Shutdown, 510);
}

/// Two losses in a row: a controller is removed for good, and a while after the start of its successor another
/// loses its disk.
#[derive(Debug, Clone, Copy)]
struct TwoLosses {
    lost: usize,
    removal: Removal,
    /// From the start of the successor to the second loss.
    wiped_after: Duration,
    /// The controller that loses its disk.
    wiped: usize,
    interval: Duration,
    /// A controller in another region.
    distant: Option<usize>,
}

/// How long a controller is down that loses its disk.
const DOWNTIME: Duration = Duration::from_millis(500);
/// How long operators read back the configuration: the shortest `contact_window_s` of the deployments.
const READ_BACK_TIME: Duration = Duration::from_secs(4);

impl TwoLosses {
    /// Plays the losses while changes go on, and returns what is wrong with the configuration that is read back.
    fn play(self, seed: u64) -> Option<String> {
        let mut fleet = founded_fleet(seed);
        let distant = self.distant.map(|index| (index, REGION_DELAY));
        fleet.distant.extend(distant);
        let mut changes = SteadyChanges::new(self.interval);
        changes.run(&mut fleet, Duration::from_secs(2));
        replace(&mut fleet, self.lost, self.removal);
        let until = fleet.now + self.wiped_after;
        while fleet.now < until {
            changes.run(&mut fleet, STEP);
            if fleet.stopped.remove(&self.lost) {
                fleet.stop(self.lost, true);
            }
        }
        fleet.stop(self.wiped, true);
        changes.run(&mut fleet, DOWNTIME);
        fleet.start(self.wiped);
        changes.run(&mut fleet, Duration::from_secs(1));
        let acknowledged = changes.acknowledged(&fleet);
        assert!(!acknowledged.is_empty(), "{self:?}");
        match read_back(&mut fleet) {
            None => Some(format!("{self:?}: nothing is read back")),
            Some(read) if is_older(&read, &acknowledged) => Some(format!(
                "{self:?}: read {read:?}, acknowledged {acknowledged:?}"
            )),
            Some(_) => None,
        }
    }
}

/// Returns the version of each item that a controller reads within [`READ_BACK_TIME`].
fn read_back(fleet: &mut Fleet) -> Option<BTreeMap<String, u64>> {
    let until = fleet.now + READ_BACK_TIME;
    while fleet.now < until {
        for index in 0..fleet.nodes.len() {
            let ticket = fleet.call(index, OperatorCall::Read);
            fleet.run(STEP * 4);
            if let Some(OperatorResponse::Configuration { map }) = fleet.responses.get(&ticket) {
                let items = map.items.iter();
                let written = items
                    .filter_map(|(key, item)| Some((key.clone(), item.written.as_ref()?.version)));
                return Some(written.collect());
            }
        }
    }
    None
}

/// Returns whether an item is older than it was acknowledged.
fn is_older(read: &BTreeMap<String, u64>, acknowledged: &BTreeMap<String, u64>) -> bool {
    acknowledged
        .iter()
        .any(|(key, version)| read.get(key).is_none_or(|read| read < version))
}

/// Plays all orders of two losses with these intervals between changes and these times past the bound.
fn assert_read_back(intervals_ms: &[u64], extra_ms: &[u64], distant: Option<usize>) {
    let mut failures = Vec::new();
    let mut seed = 600;
    for removal in [Removal::Kill, Removal::Shutdown] {
        for (lost, wiped) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
            for interval in intervals_ms {
                for extra in extra_ms {
                    seed += 1;
                    let losses = TwoLosses {
                        lost,
                        removal,
                        wiped_after: SYNC_TIME + Duration::from_millis(*extra),
                        wiped,
                        interval: Duration::from_millis(*interval),
                        distant,
                    };
                    failures.extend(losses.play(seed));
                }
            }
        }
    }
    let count = failures.len();
    assert!(failures.is_empty(), "{count} failed: {}", failures[0]);
}

/// Guards against a majority that is lost for good because the second of two losses came before the first was
/// made up for, though later than the operators' settings ask to bear.
#[test]
fn configuration_is_read_back_after_second_loss_past_sync_time() {
    let intervals_ms = [25, 50, 75, 100, 300, 1000, 3000];
    assert_read_back(&intervals_ms, &[0, 200, 500, 1000, 3500], None);
}

/// Guards against the same loss of the majority where one of the controllers is in another region.
#[test]
fn configuration_is_read_back_after_second_loss_across_regions() {
    for distant in 0..3 {
        assert_read_back(&[75, 300], &[0, 500], Some(distant));
    }
}

/// Guards against a planned replacement after which the next loss, right after the stop, leaves no majority.
#[test]
fn stopping_controller_gives_its_vote_to_its_successor() {
    for interval in CHANGE_INTERVALS_MS {
        for lost in 0..3 {
            let mut fleet = founded_fleet(700 + interval + lost as u64);
            let mut changes = SteadyChanges::new(Duration::from_millis(interval));
            let successor = fleet.add_controller(platform_policy());
            changes.run(&mut fleet, SYNC_TIME);
            fleet.handle_input(lost, ControllerInput::Shutdown);
            let until = fleet.now + Duration::from_secs(2);
            while fleet.now < until && !fleet.stopped.contains(&lost) {
                changes.run(&mut fleet, STEP);
            }
            assert!(fleet.stopped.contains(&lost), "{interval} ms, {lost}");
            fleet.stop(lost, true);
            let others: Vec<usize> = (0..4).filter(|index| *index != lost).collect();
            let node = node_of(&fleet, successor);
            assert!(is_voter_at(&fleet, node, &others), "{interval} ms, {lost}");
        }
    }
}

/// Guards against a vote that is taken from a controller which only restarts.
#[test]
fn restarted_controller_without_spare_keeps_its_vote() {
    for lost in 0..3 {
        let mut fleet = founded_fleet(730 + lost as u64);
        let node = node_of(&fleet, lost);
        fleet.handle_input(lost, ControllerInput::Shutdown);
        fleet.run(Duration::from_secs(1));
        assert!(fleet.stopped.remove(&lost));
        fleet.stop(lost, false);
        fleet.run(Duration::from_secs(4));
        fleet.start(lost);
        fleet.run(Duration::from_secs(4));
        assert!(is_voter_at(&fleet, node, &[0, 1, 2]));
        let machine = fleet.nodes[(lost + 1) % 3].machine.as_ref();
        let state = &machine.expect("the controller is running").state;
        assert!(state.shutting_down.is_empty());
    }
}

/// Guards against a shutdown that hands no role over because each change makes the others behind again.
#[test]
fn shutdown_completes_while_configuration_changes() {
    for (number, interval) in CHANGE_INTERVALS_MS.into_iter().enumerate() {
        let mut fleet = founded_fleet(440 + number as u64);
        let mut changes = SteadyChanges::new(Duration::from_millis(interval));
        changes.run(&mut fleet, Duration::from_secs(2));
        fleet.handle_input(0, ControllerInput::Shutdown);
        changes.run(&mut fleet, Duration::from_secs(2));
        assert!(fleet.stopped.contains(&0), "changes each {interval} ms");
        let incomplete =
            |(_, event): &(usize, Event)| matches!(event, Event::ShutdownIncomplete { .. });
        assert!(!fleet.events.iter().any(incomplete));
    }
}

/// Guards against a fleet that stays without a witness because each change makes the agents behind again.
#[test]
fn agent_becomes_witness_while_configuration_changes() {
    let core = CorePolicy {
        witness_voters: 1,
        ..platform_policy()
    };
    let mut fleet = Fleet::new(std::array::from_fn(|_| core.clone()), 460);
    let mut changes = SteadyChanges::new(STEP);
    changes.run(&mut fleet, Duration::from_secs(8));
    let mut agent = FollowerProcess::new(0, Role::Proxy, MapName::Ownership);
    // It renews its lease at a controller that does not manage the voters.
    agent.link.seeds = vec![address(1)];
    let node = agent.member(fleet.now).node;
    let until = fleet.now + Duration::from_secs(8);
    while fleet.now < until && !is_voter_at(&fleet, node, &[0, 1, 2]) {
        run_with_follower(&mut fleet, &mut agent, STEP);
        for _ in 0..CHANGES_IN_FLIGHT {
            changes.send(&mut fleet);
        }
    }
    assert!(is_voter_at(&fleet, node, &[0, 1, 2]));
}

/// Guards against a controller in another region that may not lead because each change makes it behind again.
#[test]
fn distant_controller_counts_as_up_to_date_while_configuration_changes() {
    let mut fleet = founded_fleet(470);
    fleet.distant.insert(2, REGION_DELAY);
    let distant = node_of(&fleet, 2);
    let mut changes = SteadyChanges::new(REGION_DELAY);
    changes.run(&mut fleet, Duration::from_secs(5));
    for index in [0, 1] {
        let machine = fleet.nodes[index].machine.as_ref();
        let state = &machine.expect("the controller is running").state;
        assert!(!state.liveness.is_behind(distant), "{index}");
    }
}
