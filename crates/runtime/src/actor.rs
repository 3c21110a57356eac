//! What a daemon needs round its state machine: the actor with its inbox, the callers that wait for its
//! answers, readiness, settings that change, and shutdown.

mod daemon;
mod inbox;
mod machine_actor;
mod readiness;
mod seed;
mod settings;
mod shutdown;
mod tickets;

pub use self::daemon::run_daemon;
pub use self::inbox::Inbox;
pub use self::machine_actor::{spawn_actor, Given, Host, MachineActor};
pub use self::readiness::ReadyUntil;
pub use self::seed::fresh_seed;
pub use self::settings::{follow_settings, ReloadSettings};
pub use self::shutdown::{shut_down_gracefully, shutdown_signal};
pub use self::tickets::Tickets;
