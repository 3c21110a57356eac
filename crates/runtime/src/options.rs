//! The settings of a process, from an options file, from flags, or from both.

mod fault;
mod flags;
mod node_settings;
mod reader;
mod tuning;

pub use self::fault::{exit_with_faults, read_json_file, OptionsFault};
pub use self::flags::{node_flags, read_flags, NodeFlags};
pub use self::node_settings::NodeSettings;
pub use self::tuning::TuningOptions;
