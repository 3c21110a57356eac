//! The common parts of the caperworks daemons: connections between them, HTTP, disk, options and events.

pub mod actor;
pub mod clock;
pub mod connection_opening;
pub mod connections;
pub mod disk;
pub mod events;
pub mod frames;
pub mod freeze_guard;
pub mod http;
pub mod locks;
pub mod options;
pub mod outgoing_queue;
pub mod progress_watch;
pub mod response_watch;
pub mod scenario;
