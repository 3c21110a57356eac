//! Requests in flight, and the responses of proxies and instances.

use std::time::Duration;

use crate::observers::requests::ClientOutcome;
use caperworks::dispatch::{Failure, RequestLifecycle, Target};
use caperworks::identifiers::{InstanceId, Version};
use caperworks::map_items::Route;
use caperworks::messages::Message;

/// A client's request.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub number: u64,
    pub host: String,
    pub path: String,
    pub write: bool,
    pub key: Option<String>,
    pub sent_at: Duration,
    /// When a proxy received it, in world time.
    pub received_at: Duration,
    /// The kind of traffic, or `None` for the requests of a hot key.
    pub kind: Option<usize>,
}

/// The stage of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Connecting,
    Sent,
}

/// A request that a proxy is handling.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    pub request: ClientRequest,
    pub lifecycle: RequestLifecycle,
    pub route: Route,
    pub target: Option<Target>,
    pub stage: Stage,
    pub attempt: u32,
    pub tried: Vec<InstanceId>,
    pub configuration: Version,
}

/// An action of a proxy, executed by the world.
#[derive(Debug, Clone)]
pub enum ProxyAction {
    Connect {
        request: u64,
        attempt: u32,
        target: Target,
    },
    SendAttempt {
        request: u64,
        attempt: u32,
        target: Target,
        is_retry: bool,
    },
    Respond {
        request: ClientRequest,
        reported: ClientOutcome,
        response_for: Option<u64>,
        failure: Option<Failure>,
        /// Rejected by the proxy before any attempt.
        unsent: bool,
    },
    Pull {
        message: Message,
    },
    CheckHealth {
        check: HealthCheck,
    },
    /// The graceful shutdown is complete, and no request is in flight.
    Stopped,
    SetTimer {
        request: u64,
        at: Duration,
    },
}

/// A health check of an instance.
#[derive(Debug, Clone)]
pub struct HealthCheck {
    pub target: Target,
    /// When it was sent, by the clock of the proxy.
    pub sent_at: Duration,
}

/// The response of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InstanceResponse {
    Ran {
        request: u64,
        load: u32,
    },
    NotRun,
    /// The request is for another incarnation than the one at this address.
    Misdirected,
    MalformedResponse,
}
