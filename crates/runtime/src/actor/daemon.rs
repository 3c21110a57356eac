//! The threads of a daemon.

use std::future::Future;

/// Runs a daemon on this many threads. With a single one it runs on the calling thread, as passing work
/// between threads would only add cost.
pub fn run_daemon(
    workers: usize,
    daemon: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let mut builder = match workers {
        0 | 1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if workers > 1 {
        builder.worker_threads(workers);
    }
    builder.enable_all().build()?.block_on(daemon)
}
