//! `agent`: the agent beside a proxy.

use std::sync::Arc;

use bpaf::Parser;

use runtime::actor::{run_daemon, ReloadSettings};
use runtime::events::start_log;
use runtime::options::{node_flags, read_flags, NodeSettings};

const HELP: &str = "The agent beside each proxy: holds the link to the core, hears instances' \
heartbeats over HTTP, and feeds the proxy over loopback";
const NEEDS: [&str; 4] = ["control", "serving", "area", "seeds"];

fn main() -> anyhow::Result<()> {
    let flags = read_flags(&node_flags().to_options().descr(HELP));
    let node_settings = NodeSettings::read_or_exit(&flags, &NEEDS);
    start_log()?;
    let reread: ReloadSettings = Arc::new(move || NodeSettings::read(&flags, &NEEDS).ok());
    run_daemon(
        node_settings.terms.workers,
        agent::daemon::run(node_settings, reread, true),
    )
}
