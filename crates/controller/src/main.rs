//! `controller`: the control plane process.

use std::sync::Arc;

use bpaf::Parser;
use controller::daemon::native_interface;
use runtime::actor::{run_daemon, ReloadSettings};
use runtime::events::start_log;
use runtime::options::{node_flags, read_flags, NodeSettings};

const HELP: &str =
    "The control plane of caperworks: replicates the maps, grants leases, takes leadership roles, \
and serves operators over HTTP";
/// The settings that a controller requires.
const REQUIRED_SETTINGS: [&str; 5] = ["control", "serving", "area", "seeds", "data"];

fn main() -> anyhow::Result<()> {
    let flags = read_flags(&node_flags().to_options().descr(HELP));
    let node_settings = NodeSettings::read_or_exit(&flags, &REQUIRED_SETTINGS);
    start_log()?;
    let reload_settings: ReloadSettings =
        Arc::new(move || NodeSettings::read(&flags, &REQUIRED_SETTINGS).ok());
    run_daemon(node_settings.tuning.workers, async move {
        Ok(controller::daemon::run(node_settings, reload_settings, native_interface()).await?)
    })
}
