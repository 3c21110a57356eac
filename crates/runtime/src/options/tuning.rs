//! Settings that have defaults, and may be tuned.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::policy::{CorePolicy, ProxyPolicy};

/// Settings of a process that have defaults, and may be tuned.
#[derive(Debug, Clone)]
pub struct TuningOptions {
    /// The settings of controllers.
    pub core: CorePolicy,
    /// The settings of a proxy.
    pub proxy: ProxyPolicy,
    /// The number of worker threads.
    pub workers: usize,
    /// The interval at which a proxy polls its agent for updates.
    pub poll_interval: Duration,
    /// Request bodies up to this size in bytes are buffered completely, so that the request can be retried.
    pub max_buffered_body: u64,
    /// The interval between ticks of the state machine.
    pub tick: Duration,
    /// For how long a proxy that is shutting down still accepts requests.
    pub shutdown_grace_period: Duration,
    /// For how long of that it accepts requests whatever their deadline; later ones must end before it does.
    pub unbounded_request_period: Duration,
    /// For how long it then waits for the requests in flight.
    pub max_drain_wait: Duration,
    /// A second address for readiness checks.
    pub readiness: Option<SocketAddr>,
}

impl Default for TuningOptions {
    fn default() -> Self {
        Self {
            core: CorePolicy::default(),
            proxy: ProxyPolicy::default(),
            workers: 2,
            poll_interval: Duration::from_millis(150),
            max_buffered_body: 64 * 1024,
            tick: Duration::from_millis(25),
            // Responses of directories that name a proxy are valid for two seconds.
            shutdown_grace_period: Duration::from_millis(2600),
            unbounded_request_period: Duration::from_millis(2600),
            max_drain_wait: Duration::from_secs(10),
            readiness: None,
        }
    }
}

impl TuningOptions {
    /// Sets whether proxies that are partitioned from the control plane serve stale state or reject requests.
    pub fn set_serves_stale(&mut self, serves_stale: bool) {
        self.core.proxies_serve_stale = serves_stale;
        self.proxy.serves_stale = serves_stale;
    }
}
