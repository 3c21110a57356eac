//! The shipped runbooks, run against the simulated fleet.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use caperworks::identifiers::Zone;
use runbook_runner::runbook::{Action, Runbook};
use runbook_runner::runner::{NextAction, Observation, Runner};
use simulator::day::{read_deployment, Day, FaultAction, FaultStep, FaultTrigger};
use simulator::world::World;

fn fleet(seed: u64) -> World {
    let path = format!("{}/days/quiet.json", env!("CARGO_MANIFEST_DIR"));
    let mut day = Day::read(Path::new(&path)).expect("day file is valid");
    day.length = Duration::from_secs(400);
    day.traffic_until = day.length;
    let mut world = World::new(
        read_deployment("tallowgum").expect("scenario is valid"),
        day,
        seed,
    );
    world.run_until(Duration::from_secs(10));
    world
}

fn apply_fault(world: &mut World, action: FaultAction, target: &str) {
    world.apply_fault(&FaultStep {
        at: world.now,
        action,
        target: target.to_string(),
        is_major: false,
        blocks_keyed_traffic: false,
        trigger: FaultTrigger::AtTime,
    });
}

/// Runs a runbook; `by_hand` performs the manual steps, by the number of the step.
fn run(
    world: &mut World,
    name: &str,
    inputs: &[(&str, &str)],
    mut by_hand: impl FnMut(&mut World, usize),
) -> Result<(), (usize, String, String)> {
    let path = format!("{}/../../runbooks/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let runbook = Runbook::read(Path::new(&path)).expect("runbook is valid");
    let inputs = inputs
        .iter()
        .map(|(name, value)| ((*name).to_string(), (*value).to_string()))
        .collect();
    let mut runner = Runner::start(runbook, inputs, 7).expect("inputs are valid");
    let mut entered = 0;
    loop {
        let step = runner
            .step()
            .map(|(number, step)| (number, step.action.clone()));
        if let Some((number, action)) = step.filter(|(number, _)| *number > entered) {
            entered = number;
            if matches!(action, Action::ByHand(_)) {
                by_hand(world, number);
            }
        }
        match runner.next() {
            NextAction::Done => return Ok(()),
            NextAction::Stopped { step, why, remedy } => return Err((step, why, remedy)),
            NextAction::Apply { change } => {
                let change = controller::operator_json::read_change(&change.dump())
                    .expect("change is valid");
                let (status, response) = world.apply(change);
                runner.applied(world.now, status, &response);
            }
            NextAction::ApplyFile { file } => {
                let text = std::fs::read_to_string(file).expect("file is readable");
                let change =
                    controller::operator_json::read_change(&text).expect("change is valid");
                let (status, response) = world.apply(change);
                runner.applied(world.now, status, &response);
            }
            NextAction::ReadStatus => {
                let next = world.now + Duration::from_millis(250);
                world.run_until(next);
                let (status, configuration) = world.operator_view();
                let seen = Observation {
                    status: &status,
                    configuration: &configuration,
                };
                runner.observe(world.now, &seen);
            }
        }
    }
}

#[test]
fn zone_is_emptied_and_restored_without_violation() {
    let mut world = fleet(1);
    assert_eq!(
        run(&mut world, "empty-area", &[("area", "east-2")], |_, _| {}),
        Ok(())
    );
    let later = world.now + Duration::from_secs(8);
    world.run_until(later);
    apply_fault(&mut world, FaultAction::Kill, "holder");
    apply_fault(&mut world, FaultAction::Start, "controller");
    let later = world.now + Duration::from_secs(10);
    world.run_until(later);
    world.observers.zone_reopened(&Zone::new("east-2"));
    assert_eq!(
        run(
            &mut world,
            "give-back-area",
            &[("area", "east-2")],
            |_, _| {}
        ),
        Ok(())
    );
    assert_eq!(world.observers.violations, Vec::new());
}

#[test]
fn emptying_zone_stops_without_majority() {
    let mut world = fleet(2);
    for name in ["controller-1", "controller-2", "agent"] {
        apply_fault(&mut world, FaultAction::PowerOff, name);
    }
    let stopped = run(&mut world, "empty-area", &[("area", "east-2")], |_, _| {});
    let (step, why, remedy) = stopped.expect_err("runbook must stop without a majority");
    assert_eq!(step, 1, "{why}");
    assert!(!remedy.is_empty());
}

#[test]
fn lost_controller_is_replaced_with_its_voter() {
    let mut world = fleet(3);
    let lost = world.targets("controller-2")[0];
    let old = world.nodes[lost].address.to_string();
    let index = world.nodes.len();
    let new = SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7000));
    let new = new.to_string();
    let inputs = [("old", old.as_str()), ("new", new.as_str())];
    let ended = run(&mut world, "replace-core-machine", &inputs, |world, _| {
        apply_fault(world, FaultAction::MoveToNewAddress, "controller-2");
    });
    assert_eq!(ended, Ok(()));
    assert_eq!(world.observers.violations, Vec::new());
}

#[test]
fn controllers_are_restarted() {
    let mut world = fleet(4);
    let ended = run(
        &mut world,
        "restart-all",
        &[("proxies", "12")],
        |world, step| {
            let name = format!("controller-{}", step - 1);
            apply_fault(world, FaultAction::Kill, &name);
            let later = world.now + Duration::from_secs(2);
            world.run_until(later);
            apply_fault(world, FaultAction::Start, &name);
        },
    );
    assert_eq!(ended, Ok(()));
    assert_eq!(world.observers.violations, Vec::new());
}

#[test]
fn lost_majority_is_restored() {
    let mut world = fleet(5);
    apply_fault(&mut world, FaultAction::PowerOff, "controller");
    apply_fault(&mut world, FaultAction::PowerOff, "agent");
    let later = world.now + Duration::from_secs(10);
    world.run_until(later);
    let ended = run(&mut world, "core-majority-lost", &[], |world, _| {
        apply_fault(world, FaultAction::Start, "controller");
        apply_fault(world, FaultAction::Start, "agent");
    });
    assert_eq!(ended, Ok(()));
    assert_eq!(world.observers.violations, Vec::new());
}

#[test]
fn rolled_out_change_is_reverted() {
    let mut world = fleet(6);
    let file = std::env::temp_dir().join(format!("caperworks-roll-{}.json", std::process::id()));
    let text = r#"{"id": "roll", "put": [{"kind": "rule", "name": "swell", "rule":
        {"host": "swell.example", "path": "/", "pool": "records", "deadline_ms": 700}}]}"#;
    std::fs::write(&file, text.replace("\"roll\"", "\"first\""))
        .expect("temporary file is written");
    let path = file.display().to_string();
    let change = controller::operator_json::read_change(
        &text.replace("\"roll\"", "\"zero\"").replace("700", "900"),
    );
    assert_eq!(world.apply(change.expect("change is valid")).0, 200);
    let inputs = [("file", path.as_str()), ("item", "rule/swell")];
    assert_eq!(
        run(&mut world, "try-and-take-back", &inputs, |_, _| {}),
        Ok(())
    );
    let (_, configuration) = world.operator_view();
    let item = configuration["items"]
        .members()
        .find(|item| item["name"] == "swell")
        .expect("route is present");
    assert_eq!(item["rule"]["deadline_ms"], 900);
    std::fs::remove_file(&file).expect("temporary file is removed");
}
