//! What directories hear, and what they want done.

use std::time::Duration;

use crate::world::events::Happening;
use crate::world::nodes::Body;
use crate::world::World;
use directory::machine::{DirectoryInput, DirectoryMachine, DirectoryOutput};

impl World {
    /// Lets a directory take up what happened to it.
    pub(super) fn act_directory(
        &mut self,
        index: usize,
        local: Duration,
        mut machine: Box<DirectoryMachine>,
        happening: Happening,
    ) {
        let input = match happening {
            Happening::Tick => Some(DirectoryInput::Tick),
            Happening::Control { envelope } => Some(DirectoryInput::Received {
                envelope: *envelope,
            }),
            _ => None,
        };
        let outputs = input
            .map(|input| machine.input(local, input))
            .unwrap_or_default();
        self.nodes[index].body = Some(Body::Directory(machine));
        for output in outputs {
            if let DirectoryOutput::Send { to, message } = output {
                self.send_control(index, to, message);
            }
        }
    }
}
