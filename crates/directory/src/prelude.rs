//! The one module that each file of this crate imports.

pub use caperworks::prelude::*;

pub use crate::machine::*;
