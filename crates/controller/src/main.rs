//! `controller`: one of the core processes.

use std::sync::Arc;

use bpaf::Parser;
use controller::daemon::own_interface;
use runtime::actor::{run_daemon, ReloadSettings};
use runtime::events::start_log;
use runtime::options::{node_flags, read_flags, NodeSettings};

const HELP: &str =
    "The core of caperworks: keeps the maps, grants leases, does the leadership roles, \
and answers operators over HTTP";
/// The settings without which a controller cannot run.
const NEEDS: [&str; 5] = ["control", "serving", "area", "seeds", "data"];

fn main() -> anyhow::Result<()> {
    let flags = read_flags(&node_flags().to_options().descr(HELP));
    let node_settings = NodeSettings::read_or_exit(&flags, &NEEDS);
    start_log()?;
    let reread: ReloadSettings = Arc::new(move || NodeSettings::read(&flags, &NEEDS).ok());
    run_daemon(node_settings.terms.workers, async move {
        Ok(controller::daemon::run(node_settings, reread, own_interface()).await?)
    })
}
