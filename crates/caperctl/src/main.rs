//! `caperctl`: the operators' command line.

mod usage;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{anyhow, bail};
use bpaf::{construct, long, positional, OptionParser, Parser};

use crate::usage::{parse_hour, summed_rows, write_export, HourRange};
use runtime::actor::random_seed;
use runtime::http::{Fetch, Fetched};
use runtime::options::{exit_with_faults, read_flags, OptionsFault};

const HELP: &str =
    "Operates a caperworks fleet: applies change sets, reads and watches resources, \
closes and opens zones, and shows the state of the control plane";

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
        .help("HTTP address of a controller; may be repeated, the controllers are tried in turn")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let file = positional::<PathBuf>("FILE").help("Change set as a JSON file");
    let apply = construct!(Command::Apply { file })
        .to_options()
        .descr("Apply a change set atomically")
        .command("apply");
    let resource = positional::<String>("KIND/NAME")
        .help("Resource to read, such as rule/lookups; all resources if left out")
        .optional();
    let get = construct!(Command::Get { resource })
        .to_options()
        .descr("Read one resource or all resources")
        .command("get");
    let after = long("after")
        .help("Print changes after this version; by default after the current version")
        .argument::<u64>("EDITION")
        .fallback(u64::MAX);
    let watch = construct!(Command::Watch { after })
        .to_options()
        .descr("Print changes as they are committed")
        .command("watch");
    let zone = positional::<String>("AREA");
    let close = construct!(Command::Close { zone })
        .to_options()
        .descr("Close a zone: it gets no requests until it is opened again")
        .command("close");
    let zone = positional::<String>("AREA");
    let open = construct!(Command::Open { zone })
        .to_options()
        .descr("Open a closed zone")
        .command("open");
    let agents = positional::<SocketAddr>("AGENT")
        .help("Control address of an agent that was permanently removed")
        .some("give at least one agent");
    let retire = construct!(Command::Retire { agents })
        .to_options()
        .descr("Remove decommissioned agents from the fallback members")
        .command("retire");
    let agents = long("agent")
        .help("HTTP address of an agent; repeat for every agent")
        .argument::<SocketAddr>("ADDRESS")
        .some("give at least one --agent");
    let hour = |name: &'static str, help: &'static str| {
        long(name).help(help).argument::<String>("HOUR").optional()
    };
    let from = hour(
        "from",
        "First hour to export, such as 2026-12-02T13 (UTC); by default the oldest",
    );
    let to = hour(
        "to",
        "Hour after the last one to export; by default all hours",
    );
    let file =
        positional::<PathBuf>("FILE").help("CSV file to write; the schema is written next to it");
    let usage = construct!(Command::Usage {
        agents,
        from,
        to,
        file
    })
    .to_options()
    .descr("Export requests, outcomes and bytes per hour, route, service and zone as CSV with a schema")
    .command("usage");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Show voters, leadership roles, members, replication lag and unplaced demand")
        .command("status");
    let command = construct!([apply, get, watch, close, open, retire, usage, status]);
    construct!(Flags {
        controllers,
        command
    })
    .to_options()
    .descr(HELP)
}

/// Sends a request to the controllers in turn until one sends a final response.
///
/// A change can safely be sent to the next controller: every attempt carries the same change id, and
/// controllers respond to a repeated id with the first result.
async fn send_to_any(
    controllers: &[SocketAddr],
    new_request: impl Fn(SocketAddr) -> Fetch,
) -> anyhow::Result<Fetched> {
    let mut last_result = None;
    for controller in controllers {
        match new_request(*controller)
            .timeout(Duration::from_secs(35))
            .send()
            .await
        {
            Ok(fetched) if fetched.status == 503 => last_result = Some(Ok(fetched)),
            Ok(fetched) => return Ok(fetched),
            Err(error) => {
                eprintln!("request to controller {controller} failed: {error}");
                last_result = last_result.or(Some(Err(error.into())));
            }
        }
    }
    last_result.unwrap_or_else(|| Err(anyhow!("no controller address was given")))
}

fn print_response(fetched: &Fetched) -> i32 {
    println!("{}", fetched.json().pretty(2));
    match fetched.status {
        200 => 0,
        400 | 404 => 2,
        409 => 3,
        _ => 1,
    }
}

async fn apply(controllers: &[SocketAddr], text: String) -> anyhow::Result<i32> {
    let fetched = send_to_any(controllers, |controller| {
        Fetch::post(controller, "/v1/standing", text.clone())
    })
    .await?;
    Ok(print_response(&fetched))
}

async fn set_zone_closed(
    controllers: &[SocketAddr],
    zone: &str,
    closed: bool,
) -> anyhow::Result<i32> {
    let path = format!("/v1/standing/area/{zone}");
    let current_response = send_to_any(controllers, |controller| {
        Fetch::get(controller, path.clone())
    })
    .await?;
    if current_response.status != 200 {
        return Ok(print_response(&current_response));
    }
    let json = current_response.json();
    let mut request = json["area"].clone();
    request["closed"] = closed.into();
    let verb = if closed { "close" } else { "open" };
    let put = jzon::object! {
        kind: "area",
        name: zone,
        edition: json["edition"].as_u64(),
        area: request,
    };
    let change = jzon::object! {
        id: format!("{verb}-{zone}-{:x}", random_seed()),
        put: [put],
    };
    apply(controllers, change.dump()).await
}

async fn watch(controllers: &[SocketAddr], after: u64) -> anyhow::Result<i32> {
    let mut after = after;
    if after == u64::MAX {
        let latest = send_to_any(controllers, |controller| {
            Fetch::get(controller, "/v1/standing")
        })
        .await?;
        if latest.status != 200 {
            return Ok(print_response(&latest));
        }
        after = latest.json()["edition"].as_u64().unwrap_or(0);
    }
    loop {
        let path = format!("/v1/changes?after={after}&wait_ms=20000");
        let fetched = match send_to_any(controllers, |controller| {
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
        // The version never goes back: this controller may lag behind the one that responded before.
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

/// Requests the usage counts from every agent and writes the export.
async fn export_usage(
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
    let parse_hour_flag =
        |field: &str, text: Option<&str>, default_hour: u64| match text.map(parse_hour) {
            None => default_hour,
            Some(Ok(hour)) => hour,
            Some(Err(reason)) => exit_with_faults(&[fault(field, reason)]),
        };
    let range = HourRange {
        from: parse_hour_flag("--from", from, 0),
        to: parse_hour_flag("--to", to, u64::MAX),
    };
    if range.from >= range.to {
        exit_with_faults(&[fault("--to", "must be later than --from".to_string())]);
    }
    let mut responses = Vec::new();
    for agent in agents {
        let fetched = Fetch::get(*agent, "/usage").send().await;
        match fetched {
            Ok(fetched) if fetched.status == 200 => responses.push(fetched.json()),
            // Fails as a whole: an export that lacks one machine's counts would look like a
            // complete one.
            Ok(fetched) => bail!(
                "{agent} responded with status {}: no file was written",
                fetched.status
            ),
            Err(error) => bail!("request to {agent} failed: {error}: no file was written"),
        }
    }
    let rows = summed_rows(&responses, range);
    if let Err(error) = write_export(file, &rows) {
        let remedy = format!("cannot be written ({error}): give a writable path");
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
            remedy: "give at least one controller address".to_string(),
        }]);
    }
    let code = match &flags.command {
        Command::Apply { file } => match std::fs::read_to_string(file) {
            Ok(text) => apply(controllers, text).await?,
            Err(error) => exit_with_faults(&[OptionsFault {
                file: file.display().to_string(),
                field: "file".to_string(),
                remedy: format!("cannot be read ({error}): give a file that exists"),
            }]),
        },
        Command::Get { resource } => {
            let path = match resource {
                Some(resource) => format!("/v1/standing/{resource}"),
                None => "/v1/standing".to_string(),
            };
            print_response(
                &send_to_any(controllers, |controller| {
                    Fetch::get(controller, path.clone())
                })
                .await?,
            )
        }
        Command::Watch { after } => watch(controllers, *after).await?,
        Command::Close { zone } => set_zone_closed(controllers, zone, true).await?,
        Command::Open { zone } => set_zone_closed(controllers, zone, false).await?,
        Command::Retire { agents } => {
            let dropped: Vec<String> = agents.iter().map(ToString::to_string).collect();
            let body = jzon::object! { drop: dropped }.dump();
            print_response(
                &send_to_any(controllers, |controller| {
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
        } => export_usage(agents, from.as_deref(), to.as_deref(), file).await?,
        Command::Status => print_response(
            &send_to_any(controllers, |controller| {
                Fetch::get(controller, "/v1/status")
            })
            .await?,
        ),
    };
    std::process::exit(code);
}
