//! The environment of a daemon's state machine: the actor with its inbox, the callers that wait for its
//! responses, readiness, reloading of settings, and shutdown.

mod daemon;
mod host;
mod inbox;
mod readiness;
mod seed;
mod settings;
mod shutdown;
mod tickets;

pub use self::daemon::run_daemon;
pub use self::host::{spawn_actor, Host, HostActor, InputMessage};
pub use self::inbox::Inbox;
pub use self::readiness::ReadyUntil;
pub use self::seed::random_seed;
pub use self::settings::{follow_settings, ReloadSettings};
pub use self::shutdown::{shut_down_gracefully, shutdown_signal};
pub use self::tickets::Tickets;
