//! Handles through which HTTP calls reach the state machine.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::operator_calls;
use crate::state_machine::input::ControllerInput;
use crate::state_machine::operator_messages::{OperatorCall, OperatorResponse};
use caperworks::envelope_clock::Echo;
use caperworks::facts::Heartbeat;
use caperworks::identifiers::InstanceId;
use caperworks::ownership::TimestampedResponse;
use runtime::actor::{Inbox, ReadyUntil, Tickets};
use runtime::clock::Clock;
use runtime::freeze_guard::FreezeGuard;

/// Passes an HTTP call to the state machine. Each call has its own handle.
#[derive(Clone)]
pub struct ControllerHandle {
    inbox: Inbox<ControllerInput>,
    pub(super) tickets: Arc<Tickets<OperatorResponse>>,
    clock: Clock,
    pub(super) ready_until: Arc<ReadyUntil>,
    pub(super) stopping: Arc<AtomicBool>,
    pub(super) freeze_guard: Arc<FreezeGuard>,
    /// When the head of the request was read.
    received_at: Duration,
    /// Whether the request may have waited in a socket while this process was frozen.
    may_be_old: bool,
}

impl ControllerHandle {
    /// Returns the handle from which the handles of all calls are cloned.
    pub(super) fn new(inbox: Inbox<ControllerInput>, clock: Clock) -> Self {
        Self {
            inbox,
            tickets: Arc::new(Tickets::default()),
            clock,
            ready_until: Arc::new(ReadyUntil::default()),
            stopping: Arc::new(AtomicBool::new(false)),
            freeze_guard: Arc::new(FreezeGuard::start(clock.now())),
            received_at: Duration::ZERO,
            may_be_old: false,
        }
    }

    /// Returns a handle for a call whose head has just been read.
    pub(super) fn for_new_call(&self) -> Self {
        let now = self.clock.now();
        Self {
            received_at: now,
            may_be_old: self.freeze_guard.check(now),
            ..self.clone()
        }
    }

    /// Submits an input and waits for its response. Returns `None` if the inbox is full or the process ends.
    async fn request(
        &self,
        input: impl FnOnce(u64) -> ControllerInput,
    ) -> Option<OperatorResponse> {
        let (ticket, response) = self.tickets.issue();
        if !self.inbox.push(input(ticket)) {
            self.tickets.discard(ticket);
            return None;
        }
        response.await.ok()
    }

    /// Submits an operator's call and waits for its response. Returns `None` if the inbox is full or
    /// the process ends.
    ///
    /// A change without a version that may have waited in a socket for a long time is rejected: its caller may
    /// have switched to another controller since, and may have reverted the change there.
    pub async fn call(&self, call: OperatorCall) -> Option<OperatorResponse> {
        if self.may_be_old && operator_calls::is_unversioned_call(&call) {
            return Some(OperatorResponse::NotCurrent);
        }
        let received_at = self.received_at;
        self.request(|ticket| ControllerInput::OperatorCall {
            ticket,
            call,
            received_at,
        })
        .await
    }

    /// Returns whether this controller has contact to a majority and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.ready_until.is_ready(self.clock.now()) && !self.stopping.load(Ordering::SeqCst)
    }

    /// Returns whether this controller is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Submits a heartbeat. Returns `None` if this controller cannot acknowledge it.
    pub async fn heartbeat(
        &self,
        heartbeat: Heartbeat,
        echo: Option<Echo>,
    ) -> Option<TimestampedResponse> {
        if self.may_be_old {
            return None;
        }
        let input = |ticket| ControllerInput::Heartbeat {
            ticket,
            heartbeat,
            echo,
        };
        match self.request(input).await {
            Some(OperatorResponse::Heartbeat { response }) => Some(response),
            _ => None,
        }
    }

    /// Deregisters an incarnation of an instance that has ended. Returns whether that was acknowledged.
    pub async fn deregister_instance(&self, id: InstanceId) -> bool {
        if self.may_be_old {
            return false;
        }
        let input = |ticket| ControllerInput::DeregistrationReceived { ticket, id };
        matches!(
            self.request(input).await,
            Some(OperatorResponse::Heartbeat { .. })
        )
    }
}
