//! `directory`: the directory process.

use std::sync::Arc;

use bpaf::Parser;

use runtime::actor::{run_daemon, ReloadSettings};
use runtime::events::start_log;
use runtime::options::{node_flags, read_flags, NodeSettings};

const HELP: &str =
    "The directory: returns the proxies that a client should use, according to the last placement";
const REQUIRED_SETTINGS: [&str; 4] = ["control", "serving", "area", "seeds"];

fn main() -> anyhow::Result<()> {
    let flags = read_flags(&node_flags().to_options().descr(HELP));
    let node_settings = NodeSettings::read_or_exit(&flags, &REQUIRED_SETTINGS);
    start_log()?;
    let reload_settings: ReloadSettings =
        Arc::new(move || NodeSettings::read(&flags, &REQUIRED_SETTINGS).ok());
    run_daemon(
        node_settings.tuning.workers,
        directory::daemon::run(
            node_settings,
            reload_settings,
            directory::daemon::native_interface(),
        ),
    )
}
