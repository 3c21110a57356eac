//! The one module that each file of these tests imports.

pub use proxy::prelude::*;
pub use tokio::task::JoinSet;

pub use crate::support::behaviour::*;
pub use crate::support::client::*;
pub use crate::support::fixture::*;
pub use crate::support::journal::*;
pub use crate::support::schedule::*;
pub use crate::support::server::*;
pub use crate::support::wire::*;
