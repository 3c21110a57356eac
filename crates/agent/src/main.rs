//! `agent`: the agent that runs beside a proxy.

use std::sync::Arc;

use bpaf::Parser;

use runtime::actor::{run_daemon, ReloadSettings};
use runtime::events::start_log;
use runtime::options::{node_flags, read_flags, NodeSettings};

const HELP: &str =
    "The agent beside each proxy: maintains the link to the controllers, receives the \
heartbeats of instances over HTTP, and supplies the proxy over loopback";
const NEEDS: [&str; 4] = ["control", "serving", "area", "seeds"];

fn main() -> anyhow::Result<()> {
    let flags = read_flags(&node_flags().to_options().descr(HELP));
    let node_settings = NodeSettings::read_or_exit(&flags, &NEEDS);
    start_log()?;
    let reload_settings: ReloadSettings = Arc::new(move || NodeSettings::read(&flags, &NEEDS).ok());
    run_daemon(
        node_settings.tuning.workers,
        agent::daemon::run(node_settings, reload_settings, true),
    )
}
