//! The host of the state machine: passes inputs to it and carries out its outputs.

use std::collections::VecDeque;
use std::sync::{mpsc, Arc};
use std::time::Duration;

use tokio::sync::Notify;

use crate::daemon::events::log_event;
use crate::state_machine::input::ControllerInput;
use crate::state_machine::operator_messages::OperatorResponse;
use crate::state_machine::output::ControllerOutput;
use crate::state_machine::ControllerMachine;
use caperworks::slots::DiskWrite;
use runtime::actor::{Host, ReadyUntil, Tickets};
use runtime::connections::ControlPort;
use runtime::freeze_guard::FreezeGuard;

/// The state machine together with the I/O for its outputs.
pub(super) struct ControllerHost {
    pub(super) machine: ControllerMachine,
    pub(super) port: ControlPort,
    /// The channel to the disk thread, which reports the result of each write as an input.
    pub(super) disk: mpsc::Sender<(u64, Vec<DiskWrite>)>,
    /// HTTP calls that wait for a response.
    pub(super) tickets: Arc<Tickets<OperatorResponse>>,
    /// Until when this controller's state counts as current according to the last quorum read.
    pub(super) ready_until: Arc<ReadyUntil>,
    /// Notified when the graceful shutdown is complete.
    pub(super) stopped: Arc<Notify>,
    pub(super) freeze_guard: Arc<FreezeGuard>,
}

impl ControllerHost {
    /// Carries out outputs. Messages of the controller to itself are added to `next` as inputs.
    pub(super) fn act(
        &mut self,
        outputs: Vec<ControllerOutput>,
        next: &mut VecDeque<ControllerInput>,
    ) {
        for output in outputs {
            match output {
                ControllerOutput::Send { to, message } => {
                    let envelope = self.machine.seal(to, message);
                    if to == self.port.advertised() {
                        next.push_back(ControllerInput::MessageReceived { envelope });
                    } else {
                        self.port.forward(to, &envelope);
                    }
                }
                ControllerOutput::Write { ticket, writes } => {
                    if self.disk.send((ticket, writes)).is_err() {
                        next.push_back(ControllerInput::WriteFailed { ticket });
                    }
                }
                ControllerOutput::Respond { ticket, response } => {
                    self.tickets.respond(ticket, response)
                }
                ControllerOutput::LogEvent { event } => log_event(&event),
                ControllerOutput::ShutdownComplete => self.stopped.notify_one(),
            }
        }
    }
}

impl Host for ControllerHost {
    type Input = ControllerInput;

    fn tick() -> ControllerInput {
        ControllerInput::Tick
    }

    fn handle(&mut self, now: Duration, input: ControllerInput) {
        self.freeze_guard.check(now);
        let mut next = VecDeque::from([input]);
        while let Some(input) = next.pop_front() {
            let outputs = self.machine.input(now, input);
            self.act(outputs, &mut next);
        }
        self.ready_until.set(self.machine.state.current_until());
    }
}
