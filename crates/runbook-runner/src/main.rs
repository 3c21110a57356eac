//! `runbook-runner`: runs written runbooks step by step.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{construct, long, positional, OptionParser, Parser};
use jzon::JsonValue;

use runbook_runner::runbook::{Action, Runbook};
use runbook_runner::runner::{NextAction, Observation, Runner};
use runtime::actor::fresh_seed;
use runtime::clock::Clock;
use runtime::http::Fetch;
use runtime::options::{end_over, read_flags, OptionsFault};

const HELP: &str = "Runs a written runbook step by step: does what each step says, checks that it \
came about, and stops with what to do next when it did not";
const LOOK_PERIOD: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
struct Flags {
    controllers: Vec<SocketAddr>,
    inputs: Vec<String>,
    dry: bool,
    file: PathBuf,
}

fn flags() -> OptionParser<Flags> {
    let controllers = long("ledger")
        .help("HTTP address of a controller; give several and they are tried in turn")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let inputs = long("set")
        .help("An input of the runbook, NAME=VALUE")
        .argument::<String>("NAME=VALUE")
        .many();
    let dry = long("dry")
        .help("Read and check the runbook, say what it would do, and change nothing")
        .switch();
    let file = positional::<PathBuf>("RUNBOOK").help("A runbook's file");
    construct!(Flags {
        controllers,
        inputs,
        dry,
        file
    })
    .to_options()
    .descr(HELP)
}

/// Reads status and configuration at the first controller that can vouch for them.
async fn look(controllers: &[SocketAddr]) -> Option<(JsonValue, JsonValue)> {
    let mut fallback = None;
    for controller in controllers {
        let ask = |path: &'static str| {
            Fetch::get(*controller, path)
                .timeout(Duration::from_secs(2))
                .send()
        };
        let Ok(status) = ask("/v1/status").await else {
            continue;
        };
        let status = status.json();
        match ask("/v1/standing").await {
            Ok(configuration) if configuration.status == 200 => {
                return Some((status, configuration.json()))
            }
            // Why kept: a runbook for a lost majority must see what there is.
            _ => fallback = Some((status, JsonValue::new_object())),
        }
    }
    fallback
}

async fn apply(controllers: &[SocketAddr], change: &str) -> (u16, JsonValue) {
    let mut last = (503, jzon::object! { why: "no controller could be reached" });
    for controller in controllers {
        let sent = Fetch::post(*controller, "/v1/standing", change.to_string())
            .timeout(Duration::from_secs(5))
            .send()
            .await;
        // Why it is safe to go on: a repeat under the same id gets the first answer.
        match sent {
            Ok(fetched) if fetched.status == 503 => last = (503, fetched.json()),
            Ok(fetched) => return (fetched.status, fetched.json()),
            Err(_) => {}
        }
    }
    last
}

fn show_plan(runner: &Runner) {
    for (index, step) in runner.steps().iter().enumerate() {
        println!("{}. {}", index + 1, runner.filled(&step.say));
        match &step.action {
            Action::Nothing => {}
            Action::ByHand(text) => println!("   by hand: {}", runner.filled(text)),
            action => println!("   do: {}", runner.filled(&format!("{action:?}"))),
        }
        for check in &step.checks {
            println!("   check: {}", runner.filled(&format!("{check:?}")));
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let flags = read_flags(&flags());
    let runbook = Runbook::read(&flags.file).unwrap_or_else(|faults| end_over(&faults));
    let on_command_line = |field: &str, remedy: String| OptionsFault {
        file: "command line".to_string(),
        field: field.to_string(),
        remedy,
    };
    let mut inputs = BTreeMap::new();
    for input in &flags.inputs {
        match input.split_once('=') {
            Some((name, value)) => inputs.insert(name.to_string(), value.to_string()),
            None => end_over(&[on_command_line(
                "--set",
                format!("{input}: give NAME=VALUE"),
            )]),
        };
    }
    let name = runbook.name.clone();
    println!("{name}: {}", runbook.about);
    let mut runner = Runner::start(runbook, inputs, fresh_seed()).unwrap_or_else(|wrong| {
        let faults: Vec<OptionsFault> = wrong
            .into_iter()
            .map(|remedy| on_command_line("--set", remedy))
            .collect();
        end_over(&faults)
    });
    if flags.dry {
        show_plan(&runner);
        return Ok(());
    }
    if flags.controllers.is_empty() {
        end_over(&[on_command_line(
            "--ledger",
            "is missing: name at least one".to_string(),
        )]);
    }
    let clock = Clock::start();
    let mut shown = 0;
    loop {
        if let Some((number, step)) = runner.step().filter(|(number, _)| *number > shown) {
            shown = number;
            println!("{number}. {}", runner.filled(&step.say));
            if let Action::ByHand(text) = &step.action {
                println!("   now, by hand: {}", runner.filled(text));
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
                Err(failure) => {
                    let why = jzon::object! { why: format!("{file} cannot be read: {failure}") };
                    runner.applied(clock.now(), 0, &why);
                }
            },
            NextAction::ReadStatus => {
                let nothing = (JsonValue::new_object(), JsonValue::new_object());
                let (status, configuration) = look(&flags.controllers).await.unwrap_or(nothing);
                let seen = Observation {
                    status: &status,
                    configuration: &configuration,
                };
                runner.saw(clock.now(), &seen);
                tokio::time::sleep(LOOK_PERIOD).await;
            }
        }
    }
}
