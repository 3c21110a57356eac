//! The actor that runs a state machine: it handles inputs one at a time, and ticks.

use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use tokio::sync::mpsc;

use crate::clock::Clock;

/// The exit status after an internal fault, as in `sysexits.h`.
const EXIT_SOFTWARE: i32 = 70;

/// The state of an actor: it handles inputs one at a time and carries out their effects.
pub trait Host: Send + 'static {
    /// The type of the inputs.
    type Input: Send + 'static;

    /// Returns the input for a tick of the timer.
    fn tick() -> Self::Input;
    /// Handles an input that arrived at `now`.
    fn handle(&mut self, now: Duration, input: Self::Input);
}

/// The actor that runs a [`Host`].
pub struct HostActor<Worker: Host> {
    worker: Worker,
    clock: Clock,
}

/// The message that carries one input to an actor.
pub struct InputMessage<Input>(pub Input);

impl<Worker: Host> kameo::Actor for HostActor<Worker> {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(args: Self, _reference: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(args)
    }
}

impl<Worker: Host> kameo::message::Message<InputMessage<Worker::Input>> for HostActor<Worker> {
    type Reply = ();

    async fn handle(
        &mut self,
        message: InputMessage<Worker::Input>,
        _context: &mut kameo::message::Context<Self, Self::Reply>,
    ) {
        self.worker.handle(self.clock.now(), message.0);
    }
}

/// Spawns the actor, its timer, and the task that forwards the inbox to it.
///
/// The actor ends only by a panic on a broken invariant. The timer task then exits the process.
pub fn spawn_actor<Worker: Host>(
    worker: Worker,
    clock: Clock,
    mut inbox: mpsc::Receiver<Worker::Input>,
    tick_interval: Duration,
) {
    let handle = HostActor::spawn(HostActor { worker, clock });
    let timer_handle = handle.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(tick_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if timer_handle
                .tell(InputMessage(Worker::tick()))
                .send()
                .await
                .is_err()
            {
                log::error!("the actor has ended unexpectedly; exiting");
                std::process::exit(EXIT_SOFTWARE);
            }
        }
    });
    tokio::spawn(async move {
        while let Some(input) = inbox.recv().await {
            if handle.tell(InputMessage(input)).send().await.is_err() {
                break;
            }
        }
    });
}
