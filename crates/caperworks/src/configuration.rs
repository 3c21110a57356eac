//! The configuration: validation of change sets, and the table that finds the route of a request.

use std::time::Duration;

mod checks;
mod route_table;

pub use self::checks::check_configuration;
pub use self::route_table::{NamedRoute, RouteTable};

/// The maximum number of items in the configuration map.
pub const MAX_CONFIGURATION_ITEMS: usize = 20_000;
/// The maximum deadline of a route.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// The maximum deadline of a route to a keyed service: the duration of a key range lease, less the
/// time between two renewals of it.
pub const MAX_KEYED_DEADLINE: Duration = Duration::from_millis(4500);
/// The maximum size in bytes of the encoded configuration map, and of a change set.
pub const MAX_CONFIGURATION_BYTES: usize = 6 * 1024 * 1024;

messages! {
    /// One error in a change set.
    #[derive(Eq)]
    struct Fault {
        /// The item and the field, under the names that the operator documentation uses.
        0 field: String,
        /// What is wrong, or which value is expected.
        1 reason: String,
    }
}

impl Fault {
    /// Creates an error for a field.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}
