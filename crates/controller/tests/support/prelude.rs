//! The one module that each file of these tests imports.

pub use controller::prelude::*;

pub use crate::support::controllers::*;
