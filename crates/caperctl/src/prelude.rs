//! The one module that each file of this program imports.

pub use chrono::{DateTime, NaiveDateTime};
pub use runtime::prelude::*;

pub use crate::usage::*;
