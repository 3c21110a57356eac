//! Faults in the operator's options.

use std::path::Path;

use jzon::JsonValue;
use thiserror::Error;

/// A fault in the operator's options: which file, which field, and how to correct it.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{file}: {field}: {remedy}")]
pub struct OptionsFault {
    /// The file, or `flags`.
    pub file: String,
    /// The field, or `file` if the fault concerns the file itself.
    pub field: String,
    /// What is wrong and how to correct it.
    pub remedy: String,
}

/// The exit status for faulty options.
const EXIT_USAGE: i32 = 2;

/// Prints the faults and exits the process with status 2.
pub fn exit_with_faults(faults: &[OptionsFault]) -> ! {
    for fault in faults {
        eprintln!("{fault}");
    }
    std::process::exit(EXIT_USAGE);
}

/// Reads a JSON file of the operator.
pub fn read_json_file(path: &Path) -> Result<JsonValue, OptionsFault> {
    let fault = |remedy: String| OptionsFault {
        file: path.display().to_string(),
        field: "file".to_string(),
        remedy,
    };
    let text = std::fs::read_to_string(path).map_err(|failure| {
        fault(format!(
            "cannot be read ({failure}): specify an existing, readable file"
        ))
    })?;
    jzon::parse(&text)
        .map_err(|failure| fault(format!("is not valid JSON ({failure}): correct it")))
}
