//! `caperctl`: the operators' command line.

mod usage;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{anyhow, bail};
use bpaf::{construct, long, positional, OptionParser, Parser};

use crate::usage::{read_hour, rows, write, Range};
use runtime::actor::random_seed;
use runtime::http::{Fetch, Fetched};
use runtime::options::{exit_with_faults, read_flags, OptionsFault};

const HELP: &str = "Drives a caperworks fleet: applies change sets, reads and watches resources, \
closes and opens zones, and shows the state of the core";

#[derive(Debug, Clone)]
enum Command {
    Apply {
        file: PathBuf,
    },
    Get {
        resource: Option<String>,
    },
    Watch {
        after: u64,
    },
    Close {
        zone: String,
    },
    Open {
        zone: String,
    },
    Retire {
        agents: Vec<SocketAddr>,
    },
    Usage {
        agents: Vec<SocketAddr>,
        from: Option<String>,
        to: Option<String>,
        file: PathBuf,
    },
    Status,
}

#[derive(Debug, Clone)]
struct Flags {
    controllers: Vec<SocketAddr>,
    command: Command,
}

fn flags() -> OptionParser<Flags> {
    let controllers = long("ledger")
        .help("HTTP address of a controller; give several and they are tried in turn")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let file = positional::<PathBuf>("FILE").help("A change set in JSON");
    let apply = construct!(Command::Apply { file })
        .to_options()
        .descr("Apply a change set, whole or not at all")
        .command("apply");
    let resource = positional::<String>("KIND/NAME")
        .help("Such as rule/lookups")
        .optional();
    let get = construct!(Command::Get { resource })
        .to_options()
        .descr("Read one resource, or all of them")
        .command("get");
    let after = long("after")
        .help("Follow changes after this version; without it, from the present one on")
        .argument::<u64>("EDITION")
        .fallback(u64::MAX);
    let watch = construct!(Command::Watch { after })
        .to_options()
        .descr("Follow accepted changes as they come")
        .command("watch");
    let zone = positional::<String>("AREA");
    let close = construct!(Command::Close { zone })
        .to_options()
        .descr("Empty a zone: no orders go there until it is opened")
        .command("close");
    let zone = positional::<String>("AREA");
    let open = construct!(Command::Open { zone })
        .to_options()
        .descr("Give a zone back")
        .command("open");
    let agents = positional::<SocketAddr>("AGENT")
        .help("Control address of an agent that is gone for good")
        .some("name at least one agent");
    let retire = construct!(Command::Retire { agents })
        .to_options()
        .descr("Take agents that are gone for good off the roster")
        .command("retire");
    let agents = long("agent")
        .help("HTTP address of an agent; give all of them")
        .argument::<SocketAddr>("ADDRESS")
        .some("give at least one --agent");
    let hour = |name: &'static str, help: &'static str| {
        long(name).help(help).argument::<String>("HOUR").optional()
    };
    let from = hour("from", "The first hour, such as 2026-12-02T13 (UTC)");
    let to = hour("to", "The hour after the last");
    let file = positional::<PathBuf>("FILE").help("CSV file to write; its schema goes beside it");
    let usage = construct!(Command::Usage {
        agents,
        from,
        to,
        file
    })
    .to_options()
    .descr("Export orders, outcomes and bytes by hour, rule, service and zone as CSV with a schema")
    .command("usage");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Show voters, leadership roles, members, lag and unplaced demand")
        .command("status");
    let command = construct!([apply, get, watch, close, open, retire, usage, status]);
    construct!(Flags {
        controllers,
        command
    })
    .to_options()
    .descr(HELP)
}

/// Asks the controllers in turn until one gives an answer that settles the matter.
///
/// Why it is safe to send a change to the next: every repeat carries the same change id, and the
/// core answers a repeat with the first answer.
async fn ask(
    controllers: &[SocketAddr],
    make: impl Fn(SocketAddr) -> Fetch,
) -> anyhow::Result<Fetched> {
    let mut last = None;
    for controller in controllers {
        match make(*controller)
            .timeout(Duration::from_secs(35))
            .send()
            .await
        {
            Ok(fetched) if fetched.status == 503 => last = Some(Ok(fetched)),
            Ok(fetched) => return Ok(fetched),
            Err(failure) => {
                eprintln!("{controller}: {failure}");
                last = last.or(Some(Err(failure.into())));
            }
        }
    }
    last.unwrap_or_else(|| Err(anyhow!("no controller was named")))
}

fn show(fetched: &Fetched) -> i32 {
    println!("{}", fetched.json().pretty(2));
    match fetched.status {
        200 => 0,
        400 | 404 => 2,
        409 => 3,
        _ => 1,
    }
}

async fn apply(controllers: &[SocketAddr], text: String) -> anyhow::Result<i32> {
    let fetched = ask(controllers, |controller| {
        Fetch::post(controller, "/v1/standing", text.clone())
    })
    .await?;
    Ok(show(&fetched))
}

async fn turn_zone(controllers: &[SocketAddr], zone: &str, closed: bool) -> anyhow::Result<i32> {
    let path = format!("/v1/standing/area/{zone}");
    let present = ask(controllers, |controller| {
        Fetch::get(controller, path.clone())
    })
    .await?;
    if present.status != 200 {
        return Ok(show(&present));
    }
    let json = present.json();
    let mut request = json["area"].clone();
    request["closed"] = closed.into();
    let word = if closed { "close" } else { "open" };
    let put = jzon::object! {
        kind: "area",
        name: zone,
        edition: json["edition"].as_u64(),
        area: request,
    };
    let change = jzon::object! {
        id: format!("{word}-{zone}-{:x}", random_seed()),
        put: [put],
    };
    apply(controllers, change.dump()).await
}

async fn watch(controllers: &[SocketAddr], after: u64) -> anyhow::Result<i32> {
    let mut after = after;
    if after == u64::MAX {
        let now = ask(controllers, |controller| {
            Fetch::get(controller, "/v1/standing")
        })
        .await?;
        if now.status != 200 {
            return Ok(show(&now));
        }
        after = now.json()["edition"].as_u64().unwrap_or(0);
    }
    loop {
        let path = format!("/v1/changes?after={after}&wait_ms=20000");
        let fetched = match ask(controllers, |controller| {
            Fetch::get(controller, path.clone())
        })
        .await
        {
            Ok(fetched) if fetched.status == 200 => fetched,
            _ => {
                tokio::time::sleep(Duration::from_secs(1)).await;
                continue;
            }
        };
        let json = fetched.json();
        // Why never back: another controller may be a little behind the one that answered before.
        let version = json["edition"].as_u64().unwrap_or(0);
        if version <= after {
            continue;
        }
        after = version;
        if json.has_key("snapshot") {
            println!("{}", json["snapshot"].dump());
        }
        for change in json["changes"].members() {
            println!("{}", change.dump());
        }
    }
}

/// Asks every agent for what was carried beside it, and writes the export.
async fn export(
    agents: &[SocketAddr],
    from: Option<&str>,
    to: Option<&str>,
    file: &Path,
) -> anyhow::Result<i32> {
    let fault = |field: &str, remedy: String| OptionsFault {
        file: "the command line".to_string(),
        field: field.to_string(),
        remedy,
    };
    let read = |field: &str, text: Option<&str>, otherwise: u64| match text.map(read_hour) {
        None => otherwise,
        Some(Ok(hour)) => hour,
        Some(Err(why)) => exit_with_faults(&[fault(field, why)]),
    };
    let range = Range {
        from: read("--from", from, 0),
        to: read("--to", to, u64::MAX),
    };
    if range.from >= range.to {
        exit_with_faults(&[fault("--to", "must be later than --from".to_string())]);
    }
    let mut responses = Vec::new();
    for agent in agents {
        let fetched = Fetch::get(*agent, "/usage").send().await;
        match fetched {
            Ok(fetched) if fetched.status == 200 => responses.push(fetched.json()),
            // Why all or nothing: an export that lacks a machine looks like one that does not.
            Ok(fetched) => bail!("{agent} answered {}: nothing was written", fetched.status),
            Err(failure) => bail!("{agent}: {failure}: nothing was written"),
        }
    }
    let rows = rows(&responses, range);
    if let Err(failure) = write(file, &rows) {
        let remedy = format!("cannot be written ({failure}): give a path that can");
        exit_with_faults(&[fault(&file.display().to_string(), remedy)]);
    }
    println!("{} rows", rows.len());
    Ok(0)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let flags = read_flags(&flags());
    let controllers = &flags.controllers;
    if controllers.is_empty() && !matches!(flags.command, Command::Usage { .. }) {
        exit_with_faults(&[OptionsFault {
            file: "the command line".to_string(),
            field: "--ledger".to_string(),
            remedy: "give at least one".to_string(),
        }]);
    }
    let code = match &flags.command {
        Command::Apply { file } => match std::fs::read_to_string(file) {
            Ok(text) => apply(controllers, text).await?,
            Err(failure) => exit_with_faults(&[OptionsFault {
                file: file.display().to_string(),
                field: "file".to_string(),
                remedy: format!("cannot be read ({failure}): give a file that exists"),
            }]),
        },
        Command::Get { resource } => {
            let path = match resource {
                Some(resource) => format!("/v1/standing/{resource}"),
                None => "/v1/standing".to_string(),
            };
            show(
                &ask(controllers, |controller| {
                    Fetch::get(controller, path.clone())
                })
                .await?,
            )
        }
        Command::Watch { after } => watch(controllers, *after).await?,
        Command::Close { zone } => turn_zone(controllers, zone, true).await?,
        Command::Open { zone } => turn_zone(controllers, zone, false).await?,
        Command::Retire { agents } => {
            let dropped: Vec<String> = agents.iter().map(ToString::to_string).collect();
            let body = jzon::object! { drop: dropped }.dump();
            show(
                &ask(controllers, |controller| {
                    Fetch::post(controller, "/v1/roster", body.clone())
                })
                .await?,
            )
        }
        Command::Usage {
            agents,
            from,
            to,
            file,
        } => export(agents, from.as_deref(), to.as_deref(), file).await?,
        Command::Status => show(
            &ask(controllers, |controller| {
                Fetch::get(controller, "/v1/status")
            })
            .await?,
        ),
    };
    std::process::exit(code);
}
