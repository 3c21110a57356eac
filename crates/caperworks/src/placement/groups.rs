//! Client groups: how a client's address maps to a group, and the solver's input for each group.

use std::net::IpAddr;

use crate::identifiers::RouteName;

/// The placeholder group for all clients that no proxy has seen yet.
pub const UNSEEN_GROUP: &str = "*";

/// A client group in the problem: its demand and its preference list.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientGroup {
    /// The name, see [`group_of`].
    pub group: String,
    /// The route that the demand is for.
    pub route: RouteName,
    /// Units of demand: requests a second.
    pub demand: u32,
    /// The truncated preference list: index of a site and its distance in microseconds, nearest
    /// first.
    pub list: Vec<(usize, u32)>,
    /// The sites that the last mapping assigned.
    pub last: Vec<usize>,
}

/// Returns the group of a client's address: its /24 network, or /48 for IPv6.
pub fn group_of(address: IpAddr) -> String {
    match address {
        IpAddr::V4(address) => {
            let [first, second, third, _] = address.octets();
            format!("{first}.{second}.{third}.0/24")
        }
        IpAddr::V6(address) => {
            let segments = address.segments();
            format!("{:x}:{:x}:{:x}::/48", segments[0], segments[1], segments[2])
        }
    }
}
