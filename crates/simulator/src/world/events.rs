//! The events of the simulation: those that nodes receive, and those that are scheduled.

use crate::connections::Segment;
use std::time::Duration;

use crate::actors::request::{ClientRequest, HealthCheck, InstanceResponse};
use caperworks::dispatch::{AttemptEnd, Target};
use caperworks::envelope_clock::Echo;
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{Incarnation, InstanceId, Version};
use caperworks::map_items::Route;
use caperworks::messages::Envelope;
use caperworks::ownership::TimestampedResponse;

/// An event that a node receives.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    Tick,
    Control {
        envelope: Box<Envelope>,
    },
    /// More bytes of a slow control message arrived, but it is not complete yet.
    ControlProgress,
    WriteDone {
        ticket: u64,
        succeeded: bool,
    },
    RequestArrived {
        request: ClientRequest,
        group: String,
        locality: Duration,
    },
    Connect {
        request: u64,
        attempt: u32,
        proxy: usize,
        proxy_incarnation: u64,
        incarnation: Incarnation,
    },
    Connected {
        request: u64,
        attempt: u32,
    },
    AttemptArrived {
        request: u64,
        attempt: u32,
        proxy: usize,
        proxy_incarnation: u64,
        target: Box<Target>,
        route: Box<Route>,
        configuration: Version,
        remaining: Duration,
    },
    AttemptEnded {
        request: u64,
        attempt: u32,
        end: AttemptEnd,
        response: Option<InstanceResponse>,
    },
    WorkDone {
        work: usize,
    },
    HealthCheckArrived {
        check: Box<HealthCheck>,
        proxy: usize,
        proxy_incarnation: u64,
    },
    /// The response to a health check: how much longer the instance is warming up.
    HealthChecked {
        check: Box<HealthCheck>,
        warm_up_left: Duration,
    },
    RequestTimer {
        request: u64,
        at: Duration,
    },
    /// A graceful shutdown has finished.
    ShutdownFinished,
    HeartbeatArrived {
        heartbeat: Box<Heartbeat>,
        echo: Option<Echo>,
        number: u64,
        instance: usize,
        instance_incarnation: u64,
    },
    HeartbeatResponse {
        number: u64,
        response: Option<TimestampedResponse>,
    },
    /// An instance announces its termination to a controller.
    DeregistrationArrived {
        id: InstanceId,
        instance: usize,
        instance_incarnation: u64,
    },
    DeregistrationAcknowledged,
}

/// An event in the schedule.
pub(crate) enum ScheduledEvent {
    ForNode {
        node: usize,
        incarnation: u64,
        event: NodeEvent,
    },
    ClientTraffic {
        kind: usize,
    },
    HotKeyTraffic,
    Operator,
    Reader,
    Fault {
        index: usize,
    },
    Observe,
    /// Bandwidth-limited links transmit what is queued on them.
    AdvanceLinks,
    /// A segment has arrived at the receiver's link.
    Segment {
        segment: Box<Segment>,
    },
}

/// A received announcement of a termination whose response is pending.
pub(crate) struct DeregistrationTicket {
    pub instance: usize,
    pub instance_incarnation: u64,
}

/// A received heartbeat whose response is pending.
pub(crate) struct HeartbeatTicket {
    pub instance: usize,
    pub instance_incarnation: u64,
    pub number: u64,
    /// Whether the heartbeat announced that the instance is draining.
    pub is_draining: bool,
}
