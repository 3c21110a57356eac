//! Inputs of the controller's state machine: everything that can change its state.

use std::net::SocketAddr;
use std::time::Duration;

use crate::state_machine::operator_messages::OperatorCall;
use caperworks::envelope_clock::Echo;
use caperworks::facts::Heartbeat;
use caperworks::identifiers::InstanceId;
use caperworks::messages::Envelope;

/// An input. Each input is handled completely before the next, at the time that the host passes with it.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerInput {
    /// Time passed: the periodic work that is due is done. The host sends a tick every few milliseconds.
    Tick,
    /// A message arrived from another node, or from this one through the host.
    MessageReceived {
        /// The message with its sender and timestamps.
        envelope: Envelope,
    },
    /// The write with this ticket, and every write before it, is synced to disk.
    WriteSynced {
        /// The ticket of the write output.
        ticket: u64,
    },
    /// The write with this ticket failed: outputs that wait for a write must not be sent.
    WriteFailed {
        /// The ticket of the write output.
        ticket: u64,
    },
    /// A call of an operator over HTTP.
    OperatorCall {
        /// Identifies the call in the output that responds to it.
        ticket: u64,
        /// The call.
        call: OperatorCall,
        /// When the head of the request was read, on the clock of the inputs.
        received_at: Duration,
    },
    /// The platform requests a graceful shutdown.
    Shutdown,
    /// A heartbeat that an instance sent directly to this controller.
    Heartbeat {
        /// Identifies the call in the output that responds to it.
        ticket: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// The last timestamp that the instance received from this controller. The age of the heartbeat is
        /// computed from it.
        echo: Option<Echo>,
    },
    /// An instance reports that this incarnation of it has ended.
    DeregistrationReceived {
        /// Identifies the call in the output that responds to it.
        ticket: u64,
        /// The instance.
        id: InstanceId,
    },
    /// The settings were reloaded.
    SeedsChanged {
        /// The addresses of the initial controllers in the new settings.
        seeds: Vec<SocketAddr>,
    },
}
