//! The one module that each file of this crate imports.

pub use std::path::{Path, PathBuf};

pub use caperworks::prelude::*;
pub use cuesheet::machine::*;
pub use jzon::JsonValue;
pub use ledger::blackboard::*;
pub use ledger::machine::*;
pub use mentor::machine::*;
pub use toolroom::options::{read_json_file, OptionsFault};
pub use toolroom::scenario::*;

pub use crate::actors::*;
pub use crate::day::*;
pub use crate::network::*;
pub use crate::observers::*;
pub use crate::world::*;
