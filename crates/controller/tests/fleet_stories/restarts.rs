//! Stories of controllers that restart at once, with their disks: what they heard before is gone, and their
//! numbering of facts begins anew.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{heartbeat, Fleet};
use crate::follower::FollowerProcess;
use crate::support::controllers::{address, STEP};
use caperworks::facts::Role;
use caperworks::identifiers::InstanceId;
use caperworks::replicated_map::MapName;

/// Less than it takes the others to count a controller as silent.
const DOWN_FOR: Duration = Duration::from_millis(300);
const INSTANCES: u64 = 40;

/// All instances heartbeat to a controller that runs.
fn all_heartbeat(fleet: &mut Fleet, index: usize, counter: u64) {
    for number in 0..INSTANCES {
        let mut beat = heartbeat(&format!("instance-{number}"), counter);
        beat.address = SocketAddr::from(([127, 0, 0, 2], 8000 + number as u16));
        fleet.heartbeats(index, beat);
    }
}

/// Carries messages between a follower and the controllers for a while.
fn follows(fleet: &mut Fleet, follower: &mut FollowerProcess, span: Duration) {
    let until = fleet.now + span;
    while fleet.now < until {
        fleet.runs(STEP);
        let sent = follower.ticks(fleet.now);
        fleet.wire.extend(sent);
        fleet.carries();
        for (to, envelope) in std::mem::take(&mut fleet.to_followers) {
            if to == follower.address {
                let sent = follower.hears(fleet.now, &envelope);
                fleet.wire.extend(sent);
                fleet.carries();
            }
        }
    }
}

/// Which of the controllers a follower asks.
fn asked_by(follower: &FollowerProcess) -> usize {
    let controller = follower.link.controller();
    let is_it = |index: &usize| address(*index) == controller;
    (0..3).find(is_it).expect("it is one of the controllers")
}

#[test]
fn given_a_controller_that_restarts_when_an_instance_ends_meanwhile_then_its_followers_hear_of_it()
{
    for seed in 1..4 {
        let mut fleet = Fleet::founded(seed);
        let mut follower = FollowerProcess::new(0, Role::Proxy, MapName::Ownership);
        // Many heartbeats, so that the controllers' numbering of facts has come far.
        for counter in 1..8 {
            all_heartbeat(&mut fleet, (counter % 3) as usize, counter);
            follows(&mut fleet, &mut follower, Duration::from_millis(500));
        }
        let ended = InstanceId::new("instance-7");
        assert!(follower.link.instances.get(&ended).is_some(), "it is known");
        let restarted = asked_by(&follower);
        let other = (restarted + 1) % 3;
        fleet.stops(restarted, false);
        fleet.wire.clear();
        fleet.ends(other, &ended);
        fleet.runs(DOWN_FOR);
        fleet.starts(restarted);
        fleet.runs(Duration::from_millis(450));
        follows(&mut fleet, &mut follower, Duration::from_millis(700));
        assert!(
            follower.link.instances.has_ended(&ended),
            "seed {seed}: the follower of {restarted}, now of {}, does not know that it ended",
            asked_by(&follower)
        );
    }
}

#[test]
fn given_a_controller_that_restarts_when_an_ended_instance_is_heard_late_then_it_is_not_revived() {
    for seed in 1..4 {
        let mut fleet = Fleet::founded(seed);
        for counter in 1..4 {
            all_heartbeat(&mut fleet, (counter % 3) as usize, counter);
            fleet.runs(Duration::from_millis(500));
        }
        let ended = InstanceId::new("instance-7");
        fleet.ends(0, &ended);
        fleet.runs(Duration::from_millis(500));
        fleet.stops(1, false);
        fleet.wire.clear();
        fleet.runs(DOWN_FOR);
        fleet.starts(1);
        fleet.runs(Duration::from_millis(500));
        all_heartbeat(&mut fleet, 1, 9);
        let listed = fleet.instances(1);
        assert!(
            !listed.contains(&ended.to_string()),
            "seed {seed}: it is listed again"
        );
    }
}

#[test]
fn given_a_stamp_of_a_life_that_is_over_when_it_comes_back_then_it_dates_nothing() {
    let mut fleet = Fleet::founded(1);
    let mut follower = FollowerProcess::new(0, Role::Proxy, MapName::Ownership);
    follows(&mut fleet, &mut follower, Duration::from_secs(2));
    let restarted = asked_by(&follower);
    let controller = address(restarted);
    let member = follower.member(fleet.now);
    let (_, renewal) = follower.link.renew(fleet.now, member);
    let clock = &follower.link.envelope_clock;
    let envelope = clock.seal(fleet.now, follower.address, controller, renewal);
    let echo = envelope.echo.expect("it holds a stamp");
    fleet.stops(restarted, false);
    fleet.starts(restarted);
    let machine = fleet.nodes[restarted].machine.as_ref();
    let machine = machine.expect("it runs");
    let incarnation = machine.state.incarnation;
    assert_eq!(echo.max_age(fleet.now, incarnation), None);
}
