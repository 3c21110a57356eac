//! Requests on their way, and what proxies and instances answer to them.

use std::time::Duration;

use crate::observers::requests::CallerOutcome;
use caperworks::dispatch::{Failure, RequestLifecycle, Target};
use caperworks::identifiers::{InstanceId, Version};
use caperworks::map_items::Route;
use caperworks::messages::Message;

/// A request on its way, as the fleet sees it.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub number: u64,
    pub host: String,
    pub path: String,
    pub write: bool,
    pub key: Option<String>,
    pub sent_at: Duration,
    /// When it was taken in by a proxy, by the world's time.
    pub received_at: Duration,
    /// Which kind of traffic it is; none for the requests of a hot key.
    pub kind: Option<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Opening,
    Sent,
}

#[derive(Debug, Clone)]
pub struct Carried {
    pub request: ClientRequest,
    pub chart: RequestLifecycle,
    pub route: Route,
    pub target: Option<Target>,
    pub stage: Stage,
    pub attempt: u32,
    pub tried: Vec<InstanceId>,
    pub configuration: Version,
}

/// What a proxy wants done.
#[derive(Debug, Clone)]
pub enum ProxyWish {
    Open {
        request: u64,
        attempt: u32,
        target: Target,
    },
    Shoot {
        request: u64,
        attempt: u32,
        target: Target,
        further: bool,
    },
    Respond {
        request: ClientRequest,
        reported: CallerOutcome,
        answered: Option<u64>,
        failure: Option<Failure>,
        /// Refused by the proxy itself, with no instance tried.
        unsent: bool,
    },
    Pull {
        message: Message,
    },
    /// Stopped politely, and nothing is under way any more.
    End,
    WakeAt {
        request: u64,
        at: Duration,
    },
}

/// The answer of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InstanceResponse {
    Ran {
        request: u64,
        load: u32,
    },
    NotRun,
    /// Another life answers here than the one that the request is for.
    Misdirected,
    MalformedResponse,
}
