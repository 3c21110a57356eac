//! Settings where more than one way is sound.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::policy::{CorePolicy, ProxyPolicy};

/// How a process works where more than one way is sound.
#[derive(Debug, Clone)]
pub struct TuningOptions {
    /// The settings of controllers.
    pub core: CorePolicy,
    /// The settings of a proxy.
    pub proxy: ProxyPolicy,
    /// How many threads it runs on.
    pub workers: usize,
    /// How often a proxy polls its agent for updates.
    pub pull: Duration,
    /// Bodies of requests up to this size are buffered completely, so that the request can be retried.
    pub max_buffered_body: u64,
    /// The period of ticks of its state machine.
    pub tick: Duration,
    /// For how long a proxy that was asked to stop still takes requests.
    pub linger: Duration,
    /// For how long it then waits for the requests in flight.
    pub max_drain_wait: Duration,
    /// A second address at which readiness is answered.
    pub readiness: Option<SocketAddr>,
}

impl Default for TuningOptions {
    fn default() -> Self {
        Self {
            core: CorePolicy::default(),
            proxy: ProxyPolicy::default(),
            workers: 2,
            pull: Duration::from_millis(150),
            max_buffered_body: 64 * 1024,
            tick: Duration::from_millis(25),
            // Responses of directories that name a proxy are valid for two seconds.
            linger: Duration::from_millis(2600),
            max_drain_wait: Duration::from_secs(10),
            readiness: None,
        }
    }
}

impl TuningOptions {
    /// What proxies do that are partitioned from the core: serve on with stale state, or refuse.
    pub fn set_serves_stale(&mut self, serves_stale: bool) {
        self.core.proxies_serve_stale = serves_stale;
        self.proxy.serves_stale = serves_stale;
    }
}
