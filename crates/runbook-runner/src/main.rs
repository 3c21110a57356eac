//! `runbook-runner`: executes runbook files step by step against a running fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{construct, long, positional, OptionParser, Parser};
use jzon::JsonValue;

use runbook_runner::runbook::{Action, Runbook};
use runbook_runner::runner::{NextAction, Observation, Runner};
use runtime::actor::random_seed;
use runtime::clock::Clock;
use runtime::http::Fetch;
use runtime::options::{exit_with_faults, read_flags, OptionsFault};

const HELP: &str =
    "Executes a runbook file step by step: performs the action of each step, waits for \
its checks to hold, and stops with instructions for the operator when they do not";
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
struct Flags {
    controllers: Vec<SocketAddr>,
    inputs: Vec<String>,
    dry: bool,
    file: PathBuf,
}

fn flags() -> OptionParser<Flags> {
    let controllers = long("ledger")
        .help("HTTP address of a controller; may be repeated, addresses are tried in order")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let inputs = long("set")
        .help("Value of a runbook input; may be repeated")
        .argument::<String>("NAME=VALUE")
        .many();
    let dry = long("dry")
        .help("Validate the runbook and print its steps without executing them")
        .switch();
    let file = positional::<PathBuf>("RUNBOOK").help("Runbook file");
    construct!(Flags {
        controllers,
        inputs,
        dry,
        file
    })
    .to_options()
    .descr(HELP)
}

/// Reads status and configuration from the first controller that returns both.
///
/// If no controller returns its configuration, the result is the last status that was read, with an
/// empty configuration.
async fn read_fleet_state(controllers: &[SocketAddr]) -> Option<(JsonValue, JsonValue)> {
    let mut fallback = None;
    for controller in controllers {
        let fetch = |path: &'static str| {
            Fetch::get(*controller, path)
                .timeout(Duration::from_secs(2))
                .send()
        };
        let Ok(status) = fetch("/v1/status").await else {
            continue;
        };
        let status = status.json();
        match fetch("/v1/standing").await {
            Ok(configuration) if configuration.status == 200 => {
                return Some((status, configuration.json()))
            }
            // Controllers without a majority return only their status, and the runbook for a lost
            // majority needs it.
            _ => fallback = Some((status, JsonValue::new_object())),
        }
    }
    fallback
}

/// Posts a change set to the controllers in order until one of them accepts or rejects it.
async fn apply(controllers: &[SocketAddr], change: &str) -> (u16, JsonValue) {
    let mut last = (503, jzon::object! { why: "no controller is reachable" });
    for controller in controllers {
        let response = Fetch::post(*controller, "/v1/standing", change.to_string())
            .timeout(Duration::from_secs(5))
            .send()
            .await;
        // Retrying at the next controller is safe: a change set with a known id is not applied again,
        // and the controller returns the result of the first attempt.
        match response {
            Ok(fetched) if fetched.status == 503 => last = (503, fetched.json()),
            Ok(fetched) => return (fetched.status, fetched.json()),
            Err(_) => {}
        }
    }
    last
}

fn print_steps(runner: &Runner) {
    for (index, step) in runner.steps().iter().enumerate() {
        println!("{}. {}", index + 1, runner.substitute(&step.say));
        match &step.action {
            Action::Nothing => {}
            Action::ByHand(text) => println!("   manual action: {}", runner.substitute(text)),
            action => println!("   action: {}", runner.substitute(&format!("{action:?}"))),
        }
        for check in &step.checks {
            println!("   check: {}", runner.substitute(&format!("{check:?}")));
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let flags = read_flags(&flags());
    let runbook = Runbook::read(&flags.file).unwrap_or_else(|faults| exit_with_faults(&faults));
    let command_line_fault = |field: &str, remedy: String| OptionsFault {
        file: "command line".to_string(),
        field: field.to_string(),
        remedy,
    };
    let mut inputs = BTreeMap::new();
    for input in &flags.inputs {
        match input.split_once('=') {
            Some((name, value)) => inputs.insert(name.to_string(), value.to_string()),
            None => exit_with_faults(&[command_line_fault(
                "--set",
                format!("{input} has no '=': expected NAME=VALUE"),
            )]),
        };
    }
    let name = runbook.name.clone();
    println!("{name}: {}", runbook.about);
    let mut runner = Runner::start(runbook, inputs, random_seed()).unwrap_or_else(|input_faults| {
        let faults: Vec<OptionsFault> = input_faults
            .into_iter()
            .map(|remedy| command_line_fault("--set", remedy))
            .collect();
        exit_with_faults(&faults)
    });
    if flags.dry {
        print_steps(&runner);
        return Ok(());
    }
    if flags.controllers.is_empty() {
        exit_with_faults(&[command_line_fault(
            "--ledger",
            "is missing: give the address of at least one controller".to_string(),
        )]);
    }
    let clock = Clock::start();
    let mut last_shown_step = 0;
    loop {
        if let Some((number, step)) = runner
            .step()
            .filter(|(number, _)| *number > last_shown_step)
        {
            last_shown_step = number;
            println!("{number}. {}", runner.substitute(&step.say));
            if let Action::ByHand(text) = &step.action {
                println!("   manual action: {}", runner.substitute(text));
            }
        }
        match runner.next() {
            NextAction::Done => {
                println!("{name}: done");
                return Ok(());
            }
            NextAction::Stopped { step, why, remedy } => {
                eprintln!("{name}: stopped at step {step}: {why}");
                eprintln!("what to do: {remedy}");
                std::process::exit(1);
            }
            NextAction::Apply { change } => {
                let (status, response) = apply(&flags.controllers, &change.dump()).await;
                runner.applied(clock.now(), status, &response);
            }
            NextAction::ApplyFile { file } => match std::fs::read_to_string(&file) {
                Ok(text) => {
                    let (status, response) = apply(&flags.controllers, &text).await;
                    runner.applied(clock.now(), status, &response);
                }
                Err(error) => {
                    let why =
                        jzon::object! { why: format!("cannot read change set {file}: {error}") };
                    runner.applied(clock.now(), 0, &why);
                }
            },
            NextAction::ReadStatus => {
                let no_state = (JsonValue::new_object(), JsonValue::new_object());
                let (status, configuration) = read_fleet_state(&flags.controllers)
                    .await
                    .unwrap_or(no_state);
                let observation = Observation {
                    status: &status,
                    configuration: &configuration,
                };
                runner.observe(clock.now(), &observation);
                tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            }
        }
    }
}
