//! Settings that are reloaded while the process runs.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::signal::unix::{signal, SignalKind};

use crate::events::{event, SETTINGS_FAULTY, SETTINGS_READ};
use crate::options::NodeSettings;

/// Reads a process's settings again. Returns `None` if they are invalid or cannot be read; the process then
/// keeps its current ones.
pub type ReloadSettings = Arc<dyn Fn() -> Option<NodeSettings> + Send + Sync>;

/// Calls `handler` with the seeds each time that the platform reports by `SIGHUP` that the settings have
/// changed.
///
/// The signal handler is installed before the task starts: a signal without a handler ends the process.
pub fn follow_settings(
    reload_settings: ReloadSettings,
    handler: impl Fn(Vec<SocketAddr>) + Send + 'static,
) {
    let Ok(mut changed) = signal(SignalKind::hangup()) else {
        return;
    };
    tokio::spawn(async move {
        while changed.recv().await.is_some() {
            match reload_settings() {
                Some(settings) => {
                    event(SETTINGS_READ, "");
                    handler(settings.seeds);
                }
                None => event(SETTINGS_FAULTY, ""),
            }
        }
    });
}
