//! The one module that each file of this crate imports.

pub use caperworks::messages;
pub use caperworks::prelude::*;
pub use jzon::JsonValue;

pub use crate::agents;
pub use crate::consensus;
pub use crate::controller_state::*;
pub use crate::daemon::{own_interface, ControllerHandle, Interface};
pub use crate::fact_exchange::{self, FactExchange};
pub use crate::instance_calls::{self, WaitingInstanceCall};
pub use crate::leadership_roles;
pub use crate::machine::*;
pub use crate::operator_calls::{self, UnversionedChange};
pub use crate::operator_json::*;
pub use crate::reads::{self, ReadKind, Reads};
