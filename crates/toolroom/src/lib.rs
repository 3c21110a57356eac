//! What the caperworks daemons share: circuits between them, HTTP, disk, options, events.

pub mod circuits;
pub mod desk;
pub mod disk;
pub mod events;
pub mod http;
pub mod options;
pub mod prelude;
pub mod scenario;
