//! Graceful shutdown.

use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;

use crate::actor::inbox::Inbox;

/// How long a graceful shutdown may take before the process ends in any case.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the actor the input `stop`, and waits until it reports that it has stopped, or for the timeout.
pub async fn shut_down_gracefully<Input: Send + 'static>(
    inbox: &Inbox<Input>,
    stop: Input,
    stopped: &Notify,
) {
    let _ = inbox.sender.send(stop).await;
    let _ = tokio::time::timeout(STOP_TIMEOUT, stopped.notified()).await;
}

/// Completes when the platform requests a shutdown by `SIGTERM` or `SIGINT`.
pub async fn shutdown_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        std::future::pending::<()>().await;
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
