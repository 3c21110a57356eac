//! Events that directories receive, and the outputs of their state machines.

use std::time::Duration;

use crate::world::events::NodeEvent;
use crate::world::nodes::Process;
use crate::world::World;
use directory::machine::{DirectoryInput, DirectoryMachine, DirectoryOutput};

impl World {
    /// Passes an event to a directory's state machine.
    pub(super) fn handle_directory_event(
        &mut self,
        index: usize,
        local: Duration,
        mut machine: Box<DirectoryMachine>,
        event: NodeEvent,
    ) {
        let input = match event {
            NodeEvent::Tick => Some(DirectoryInput::Tick),
            NodeEvent::Control { envelope } => Some(DirectoryInput::Received {
                envelope: *envelope,
            }),
            _ => None,
        };
        let outputs = input
            .map(|input| machine.input(local, input))
            .unwrap_or_default();
        self.nodes[index].process = Some(Process::Directory(machine));
        for output in outputs {
            if let DirectoryOutput::Send { to, message } = output {
                self.send_control(index, to, message);
            }
        }
    }
}
