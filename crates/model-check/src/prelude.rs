//! The one module that each file of this crate imports.

pub use std::collections::hash_map::Entry;
pub use std::fmt::Write as FormatWrite;

pub use caperworks::prelude::*;
pub use xxhash_rust::xxh3::Xxh3;

pub use crate::bound::*;
pub use crate::digest::*;
pub use crate::invariants::*;
pub use crate::node::*;
pub use crate::scenarios::*;
pub use crate::search::*;
pub use crate::world::*;
