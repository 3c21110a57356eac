//! The one module that each file of this program imports.

pub use toolroom::prelude::*;

pub use crate::fleet::*;
