//! The JSON of the operators' API. Requests are read field by field so that every error is reported, and
//! responses use the same representation.
//!
//! Field names (`pool`, `area`, `edition`, `slices`) are part of the API and must not change. Internally the
//! usual terms of the field are used (service, zone, version, key ranges). [`reading`] and [`writing`] have a
//! module for each kind of value.

pub mod errors;
pub mod reading;
pub mod writing;

pub use self::errors::{FormError, FormErrorReason};
pub use self::reading::change_set::{read_change, read_form};
pub use self::reading::fallback_members::read_removed_agents;
pub use self::reading::repeated_fields::has_repeated_fields;
pub use self::writing::changes::changes_json;
pub use self::writing::items::{item_json, map_json};
pub use self::writing::outcome::{faults_json, proposal_outcome_json};
pub use self::writing::status::status_json;
