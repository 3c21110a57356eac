//! The one module that each file of these tests imports.

pub use crate::fleet::*;
pub use crate::follower::*;
pub use crate::support::prelude::*;
