//! The actor: inputs one at a time, and ticks.

use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use tokio::sync::mpsc;

use crate::clock::Clock;

/// The exit status after an internal fault, as in `sysexits.h`.
const EXIT_SOFTWARE: i32 = 70;

/// What an actor runs: it takes inputs one at a time and carries out what follows from them.
pub trait Host: Send + 'static {
    /// The inputs.
    type Input: Send + 'static;

    /// The input that says that time has passed.
    fn tick() -> Self::Input;
    /// Handles an input that arrived at `now`.
    fn take(&mut self, now: Duration, input: Self::Input);
}

/// The actor round a [`Host`].
pub struct MachineActor<Worker: Host> {
    worker: Worker,
    clock: Clock,
}

/// The message that carries one input to an actor.
pub struct Given<Input>(pub Input);

impl<Worker: Host> kameo::Actor for MachineActor<Worker> {
    type Args = Self;
    type Error = std::convert::Infallible;

    async fn on_start(args: Self, _reference: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(args)
    }
}

impl<Worker: Host> kameo::message::Message<Given<Worker::Input>> for MachineActor<Worker> {
    type Reply = ();

    async fn handle(
        &mut self,
        given: Given<Worker::Input>,
        _context: &mut kameo::message::Context<Self, Self::Reply>,
    ) {
        self.worker.take(self.clock.now(), given.0);
    }
}

/// Spawns the actor, its ticker, and the task that forwards the inbox to it.
///
/// The actor ends only by a broken invariant, which must stop the process: the ticker ends it then.
pub fn spawn_actor<Worker: Host>(
    worker: Worker,
    clock: Clock,
    mut inbox: mpsc::Receiver<Worker::Input>,
    period: Duration,
) {
    let handle = MachineActor::spawn(MachineActor { worker, clock });
    let ticking = handle.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if ticking.tell(Given(Worker::tick())).send().await.is_err() {
                log::error!("the desk has ended");
                std::process::exit(EXIT_SOFTWARE);
            }
        }
    });
    tokio::spawn(async move {
        while let Some(input) = inbox.recv().await {
            if handle.tell(Given(input)).send().await.is_err() {
                break;
            }
        }
    });
}
