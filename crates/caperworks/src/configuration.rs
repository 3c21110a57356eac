//! The configuration: the check of a change set, and the table by which requests find their route.

use std::time::Duration;

mod checks;
mod route_table;

pub use self::checks::check_configuration;
pub use self::route_table::{NamedRoute, RouteTable};

/// The most items of the configuration map.
pub const MAX_CONFIGURATION_ITEMS: usize = 20_000;
/// The longest deadline of a route.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// The longest deadline for keyed services: a lease on a key range, less the time between two renewals
/// of it.
pub const KEYED_DEADLINE_MOST: Duration = Duration::from_millis(4500);
/// The most bytes of the encoded configuration map, and of a change set.
pub const MOST_BYTES: usize = 6 * 1024 * 1024;

messages! {
    /// One fault in a change set.
    #[derive(Eq)]
    struct Fault {
        /// The item and the field, as the operators' pages name them.
        0 field: String,
        /// What is wrong, or what to give instead.
        1 why: String,
    }
}

impl Fault {
    /// A fault in a field.
    pub fn new(field: impl Into<String>, why: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            why: why.into(),
        }
    }
}
