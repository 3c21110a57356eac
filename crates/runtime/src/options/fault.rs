//! Faults in what the operator gave us.

use std::path::Path;

use jzon::JsonValue;
use thiserror::Error;

/// A fault in the operator's options: which file, which field, and how to correct it.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{file}: {field}: {remedy}")]
pub struct OptionsFault {
    /// The file, or `flags`.
    pub file: String,
    /// The field, or `file` when it is about the file itself.
    pub field: String,
    /// What is wrong and what to do about it.
    pub remedy: String,
}

/// The exit status after faulty options.
const EXIT_USAGE: i32 = 2;

/// Prints the faults and ends the process with status 2.
pub fn exit_with_faults(faults: &[OptionsFault]) -> ! {
    for fault in faults {
        eprintln!("{fault}");
    }
    std::process::exit(EXIT_USAGE);
}

/// Reads a JSON file of the operator's.
pub fn read_json_file(path: &Path) -> Result<JsonValue, OptionsFault> {
    let fault = |remedy: String| OptionsFault {
        file: path.display().to_string(),
        field: "file".to_string(),
        remedy,
    };
    let text = std::fs::read_to_string(path).map_err(|failure| {
        fault(format!(
            "cannot be read ({failure}): give a file that exists"
        ))
    })?;
    jzon::parse(&text).map_err(|failure| fault(format!("is no JSON ({failure}): correct it")))
}
