//! The `proxy` program.

use std::sync::Arc;

use bpaf::Parser;

use proxy::protocol_adapter::ProtocolAdapter;
use runtime::actor::{run_daemon, ReloadSettings};
use runtime::events::start_log;
use runtime::options::{node_flags, read_flags, NodeSettings};

const HELP: &str =
    "The proxy: forwards client requests to instances, as configured through its agent";
const NEEDS: [&str; 4] = ["control", "serving", "area", "agent"];

fn main() -> anyhow::Result<()> {
    let flags = read_flags(&node_flags().to_options().descr(HELP));
    let node_settings = NodeSettings::read_or_exit(&flags, &NEEDS);
    start_log()?;
    let reload_settings: ReloadSettings = Arc::new(move || NodeSettings::read(&flags, &NEEDS).ok());
    run_daemon(
        node_settings.tuning.workers,
        proxy::daemon::run(node_settings, reload_settings, ProtocolAdapter::native()),
    )
}
