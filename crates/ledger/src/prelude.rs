//! The one module that each file of this crate imports.

pub use caperworks::messages;
pub use caperworks::prelude::*;
pub use jzon::JsonValue;

pub use crate::agents;
pub use crate::blackboard::*;
pub use crate::council;
pub use crate::daemon::{own_interface, CoreDesk, Interface};
pub use crate::duties;
pub use crate::machine::*;
pub use crate::orders::*;
