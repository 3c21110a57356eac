//! The controller's state machine: it handles inputs, returns outputs, and does no I/O of its own.
//!
//! Time, randomness, disk and network are provided from outside, so that the same code runs in the daemon
//! and in the seeded simulator. [`startup`] builds the state from the disk's contents, [`dispatch`] passes
//! each message to its handler, [`ticks`] does periodic work, [`storage`] writes to disk and withholds
//! outputs until a write is synced, and [`shutdown`] implements the graceful shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use crate::state::options::ControllerOptions;
use crate::state::ControllerState;
use crate::state_machine::input::ControllerInput;
use crate::state_machine::output::ControllerOutput;
use crate::{agents, deregistrations, instance_calls, operator_calls, reads};
use caperworks::identifiers::NodeId;
use caperworks::messages::{Envelope, Message};
use caperworks::slots::DiskImage;

pub mod dispatch;
pub mod event;
pub mod input;
pub mod operator_messages;
pub mod output;
pub mod shutdown;
pub mod startup;
pub mod storage;
pub mod ticks;

/// Minimum gap between two inputs that counts as a freeze of the process. Ticks arrive far more often.
const FREEZE_GAP: Duration = Duration::from_millis(500);

/// One controller without its I/O.
pub struct ControllerMachine {
    /// The controller's state. Only the handlers of inputs change it.
    pub state: ControllerState,
}

impl ControllerMachine {
    /// Starts from the contents of the disk. The outputs must be carried out before the first input.
    ///
    /// Contents that cannot be read are logged and treated as an empty disk. `seed` must differ at each
    /// start, because the ID of a new node and the incarnation are generated from it.
    pub fn start(
        options: ControllerOptions,
        image: &DiskImage,
        seed: u64,
    ) -> (Self, Vec<ControllerOutput>) {
        let (state, outputs) = startup::start(options, image, seed);
        (Self { state }, outputs)
    }

    /// Returns the ID of this node, which stays the same across restarts as long as its disk is readable.
    pub fn node(&self) -> NodeId {
        self.state.node
    }

    /// Wraps a message in an envelope with sender and timestamps.
    pub fn seal(&self, to: SocketAddr, message: Message) -> Envelope {
        let state = &self.state;
        state
            .envelope_clock
            .seal(state.now, state.options.control, to, message)
    }

    /// Handles one input at the time `now`, and returns the resulting outputs.
    ///
    /// `now` never goes backwards from one input to the next.
    pub fn input(&mut self, now: Duration, input: ControllerInput) -> Vec<ControllerOutput> {
        let state = &mut self.state;
        advance_clock(state, now);
        deregistrations::restore(state);
        match input {
            ControllerInput::Tick => ticks::tick(state),
            ControllerInput::MessageReceived { envelope } => {
                dispatch::handle_message(state, envelope)
            }
            ControllerInput::WriteSynced { ticket } => storage::handle_synced(state, ticket),
            ControllerInput::WriteFailed { ticket } => storage::handle_write_failed(state, ticket),
            ControllerInput::Shutdown => shutdown::begin(state),
            ControllerInput::OperatorCall {
                ticket,
                call,
                received_at,
            } => operator_calls::handle_call(state, ticket, call, received_at),
            ControllerInput::Heartbeat {
                ticket,
                heartbeat,
                echo,
            } => instance_calls::handle_heartbeat(state, ticket, heartbeat, echo),
            ControllerInput::DeregistrationReceived { ticket, id } => {
                instance_calls::handle_deregistration(state, ticket, id);
            }
            ControllerInput::SeedsChanged { seeds } => state.options.seeds = seeds,
        }
        reads::respond_to_reads(state);
        agents::respond_to_pending_confirmations(state);
        operator_calls::respond_to_watchers(state);
        std::mem::take(&mut state.outputs)
    }
}

/// Sets the current time, and records whether this controller has just resumed after a freeze.
fn advance_clock(state: &mut ControllerState, now: Duration) {
    if now.saturating_sub(state.last_input_at) >= FREEZE_GAP {
        state.running_since = now;
    }
    state.last_input_at = now;
    state.now = now;
}
