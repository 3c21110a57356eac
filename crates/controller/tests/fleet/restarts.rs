//! Controllers that restart quickly and keep their disks. A restart loses all received facts, and the
//! numbering of facts starts again.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{heartbeat, Fleet};
use crate::follower::FollowerProcess;
use crate::support::controllers::{address, STEP};
use caperworks::facts::Role;
use caperworks::identifiers::InstanceId;
use caperworks::replicated_map::MapName;

/// Shorter than the timeout after which the others suspect a controller.
const DOWNTIME: Duration = Duration::from_millis(300);
const INSTANCES: u64 = 40;

/// Sends a heartbeat of every instance to a controller.
fn send_all_heartbeats(fleet: &mut Fleet, index: usize, counter: u64) {
    for number in 0..INSTANCES {
        let mut beat = heartbeat(&format!("instance-{number}"), counter);
        beat.address = SocketAddr::from(([127, 0, 0, 2], 8000 + number as u16));
        fleet.send_heartbeat(index, beat);
    }
}

/// Runs the controllers for a while and delivers messages between them and a follower.
pub fn run_with_follower(fleet: &mut Fleet, follower: &mut FollowerProcess, duration: Duration) {
    let until = fleet.now + duration;
    while fleet.now < until {
        fleet.run(STEP);
        let sent = follower.tick(fleet.now);
        fleet.wire.extend(sent);
        fleet.deliver();
        for (to, envelope) in std::mem::take(&mut fleet.to_followers) {
            if to == follower.address {
                let sent = follower.receive(fleet.now, &envelope);
                fleet.wire.extend(sent);
                fleet.deliver();
            }
        }
    }
}

/// Returns which controller a follower sends its requests to.
fn controller_of(follower: &FollowerProcess) -> usize {
    let controller = follower.link.controller();
    let is_followed = |index: &usize| address(*index) == controller;
    (0..3).find(is_followed).expect("one of the controllers")
}

#[test]
fn followers_learn_of_instance_that_ended_during_controller_restart() {
    for seed in 1..4 {
        let mut fleet = Fleet::founded(seed);
        let mut follower = FollowerProcess::new(0, Role::Proxy, MapName::Ownership);
        // Many heartbeats, so that the controllers' fact offsets are well above those after a restart.
        for counter in 1..8 {
            send_all_heartbeats(&mut fleet, (counter % 3) as usize, counter);
            run_with_follower(&mut fleet, &mut follower, Duration::from_millis(500));
        }
        let ended = InstanceId::new("instance-7");
        assert!(
            follower.link.instances.get(&ended).is_some(),
            "the follower does not know the instance"
        );
        let restarted = controller_of(&follower);
        let other = (restarted + 1) % 3;
        fleet.stop(restarted, false);
        fleet.wire.clear();
        fleet.deregister(other, &ended);
        fleet.run(DOWNTIME);
        fleet.start(restarted);
        fleet.run(Duration::from_millis(450));
        run_with_follower(&mut fleet, &mut follower, Duration::from_millis(700));
        assert!(
            follower.link.instances.has_deregistered(&ended),
            "seed {seed}: the follower of {restarted}, now of {}, does not know that the instance ended",
            controller_of(&follower)
        );
    }
}

#[test]
fn late_heartbeat_after_controller_restart_does_not_revive_instance() {
    for seed in 1..4 {
        let mut fleet = Fleet::founded(seed);
        for counter in 1..4 {
            send_all_heartbeats(&mut fleet, (counter % 3) as usize, counter);
            fleet.run(Duration::from_millis(500));
        }
        let ended = InstanceId::new("instance-7");
        fleet.deregister(0, &ended);
        fleet.run(Duration::from_millis(500));
        fleet.stop(1, false);
        fleet.wire.clear();
        fleet.run(DOWNTIME);
        fleet.start(1);
        fleet.run(Duration::from_millis(500));
        send_all_heartbeats(&mut fleet, 1, 9);
        let listed = fleet.instance_ids(1);
        assert!(
            !listed.contains(&ended.to_string()),
            "seed {seed}: the ended instance is listed again"
        );
    }
}

#[test]
fn timestamp_of_previous_incarnation_gives_no_age() {
    let mut fleet = Fleet::founded(1);
    let mut follower = FollowerProcess::new(0, Role::Proxy, MapName::Ownership);
    run_with_follower(&mut fleet, &mut follower, Duration::from_secs(2));
    let restarted = controller_of(&follower);
    let controller = address(restarted);
    let member = follower.member(fleet.now);
    let (_, renewal) = follower.link.renew(fleet.now, member);
    let clock = &follower.link.envelope_clock;
    let envelope = clock.seal(fleet.now, follower.address, controller, renewal);
    let echo = envelope.echo.expect("a timestamp");
    fleet.stop(restarted, false);
    fleet.start(restarted);
    let machine = fleet.nodes[restarted].machine.as_ref();
    let machine = machine.expect("the controller is running");
    let incarnation = machine.state.incarnation;
    assert_eq!(echo.max_age(fleet.now, incarnation), None);
}
