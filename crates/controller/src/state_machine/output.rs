//! Outputs of the controller's state machine: messages, writes, responses and log events for its host.

use std::net::SocketAddr;

use crate::state_machine::event::Event;
use crate::state_machine::operator_messages::OperatorResponse;
use caperworks::messages::Message;
use caperworks::slots::DiskWrite;

/// An action for the host. Outputs are carried out in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a message to another node, or pass it back as an input if it is addressed to this one.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write to disk and sync. The host reports `WriteSynced` or `WriteFailed` with this ticket.
    Write {
        /// Identifies the write.
        ticket: u64,
        /// The writes, in order.
        writes: Vec<DiskWrite>,
    },
    /// Respond to the call with this ticket. Each call gets at most one response.
    Respond {
        /// Identifies the call.
        ticket: u64,
        /// The response.
        response: OperatorResponse,
    },
    /// Write a numbered event to the log.
    LogEvent {
        /// The event.
        event: Event,
    },
    /// The graceful shutdown is complete: the process may exit.
    ShutdownComplete,
}
