//! The one module that each file of this program imports.

pub use std::process::{Command, Stdio};

pub use runtime::prelude::*;

pub use crate::drill::Drill;
pub use crate::fit::*;
pub use crate::fleet::*;
pub use crate::flows::*;
pub use crate::hollow::*;
pub use crate::http_relay::*;
pub use crate::scale::*;
pub use crate::{down, judge, status_of, until, up};
