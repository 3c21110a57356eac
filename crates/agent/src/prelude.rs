//! The one module that each file of this crate imports.

pub use caperworks::prelude::*;

pub(crate) use crate::heartbeats::*;
pub use crate::machine::*;
pub(crate) use crate::proxy_calls::*;
