//! Settings that are read again while the process runs.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::signal::unix::{signal, SignalKind};

use crate::events::{event, SETTINGS_FAULTY, SETTINGS_READ};
use crate::options::NodeSettings;

/// Reads a process's settings again; nothing when they cannot be read now, and the process goes on with
/// those that it has.
pub type ReloadSettings = Arc<dyn Fn() -> Option<NodeSettings> + Send + Sync>;

/// Passes on the seeds each time that the platform says, by `SIGHUP`, that the settings changed.
///
/// The signal is awaited from now on and not only in the task: one that nobody waits for ends the
/// process.
pub fn follow_settings(reread: ReloadSettings, take: impl Fn(Vec<SocketAddr>) + Send + 'static) {
    let Ok(mut changed) = signal(SignalKind::hangup()) else {
        return;
    };
    tokio::spawn(async move {
        while changed.recv().await.is_some() {
            match reread() {
                Some(index) => {
                    event(SETTINGS_READ, "");
                    take(index.seeds);
                }
                None => event(SETTINGS_FAULTY, ""),
            }
        }
    });
}
