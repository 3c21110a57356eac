//! Measures how soon the controllers notice the loss and the return of a zone of simulated nodes.

use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::scale::options::ScaleOptions;
use crate::simulated_nodes::SimulatedFleet;
use runtime::locks::locked;

/// How long the controllers took to remove the nodes of the lost zone, and to register them again.
pub(crate) type ZoneTimings = Mutex<(Option<Duration>, Option<Duration>)>;

/// How often the controllers are polled for the number of registered nodes.
pub(crate) const ZONE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Silences the simulated nodes of the first zone, and measures when the controllers notice. Never returns.
pub(crate) async fn lose_zone(
    options: &ScaleOptions,
    simulated: &SimulatedFleet,
    counted: &impl AsyncFn() -> (usize, usize),
    timings: &ZoneTimings,
) {
    if options.lose_zone == 0 {
        return std::future::pending().await;
    }
    let all = counted().await;
    let lost_nodes = (0..options.nodes).filter(|number| simulated.is_in_first_zone(*number));
    let lost_instances = (0..options.instances)
        .filter(|number| simulated.is_in_first_zone(number / options.services));
    let remaining = (
        all.0.saturating_sub(lost_nodes.count()),
        all.1.saturating_sub(lost_instances.count()),
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let time_until = async |expected: (usize, usize)| {
        let start = Instant::now();
        while counted().await != expected {
            tokio::time::sleep(ZONE_POLL_INTERVAL).await;
        }
        start.elapsed()
    };
    let partitioned_until = Instant::now() + Duration::from_secs(options.lose_zone);
    simulated
        .first_zone_partitioned
        .store(true, Ordering::SeqCst);
    let removed_after = time_until(remaining).await;
    locked(timings).0 = Some(removed_after);
    tokio::time::sleep_until(partitioned_until.into()).await;
    simulated
        .first_zone_partitioned
        .store(false, Ordering::SeqCst);
    let returned_after = time_until(all).await;
    locked(timings).1 = Some(returned_after);
    std::future::pending().await
}
