//! The one module that each file of this crate imports.

pub use std::path::{Path, PathBuf};

pub use agent::machine::*;
pub use caperworks::prelude::*;
pub use controller::controller_state::*;
pub use controller::machine::*;
pub use directory::machine::*;
pub use jzon::JsonValue;
pub use runtime::options::{read_json_file, OptionsFault};
pub use runtime::scenario::*;

pub use crate::actors::*;
pub use crate::day::*;
pub use crate::network::*;
pub use crate::observers::*;
pub use crate::world::*;
