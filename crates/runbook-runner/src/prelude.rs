//! The one module that each file of this crate imports.

pub use runtime::prelude::*;

pub use crate::runbook::*;
pub use crate::runner::*;
