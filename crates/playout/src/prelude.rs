//! The one module that each file of this program imports.

pub use toolroom::prelude::*;

pub use crate::carrier::*;
pub use crate::instance_circuits::*;
pub use crate::passing::*;
