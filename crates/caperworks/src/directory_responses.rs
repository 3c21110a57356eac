//! Responses of a directory: the proxies that a client should use, chosen at random with the shares of
//! the mapping as weights.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::{mix, RouteName, Zone};
use crate::map_items::Mapping;
use crate::placement::{LIST_LENGTH, UNSEEN_GROUP};

/// How long a response of the directory is valid.
pub const RESPONSE_LIFETIME: Duration = Duration::from_millis(2000);

/// One response of the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectoryResponse {
    /// The route that it is for; in a response for a host, the host's first route.
    pub route: RouteName,
    /// The proxies to use, in order.
    pub addresses: Vec<SocketAddr>,
    /// How long it is valid.
    pub lifetime: Duration,
}

/// Chooses one of the zones at random, weighted by their units; `None` if there are no units.
fn weighted_zone<'zones>(units: &[(&'zones Zone, u64)], random: u64) -> Option<&'zones Zone> {
    let total: u64 = units.iter().map(|(_, units)| units).sum();
    let mut point = random % total.max(1);
    for (zone, units) in units {
        if point < *units {
            return Some(zone);
        }
        point -= units;
    }
    None
}

/// Returns the response for a host with these routes: the proxies of one zone, chosen at random with the
/// units of all its routes as weights; without a mapping those of the client's own zone, or else all.
///
/// There is a response even without any mapping or route, as every live proxy can at least reject the
/// client. Only proxies in zones that `may_handle` accepts for this client are listed; returns `None`
/// when there is none.
pub fn resolve_host(
    mapping: Option<&Mapping>,
    routes: &[&RouteName],
    group: &str,
    client_zone: &Zone,
    proxies: &[(Zone, SocketAddr)],
    may_handle: impl Fn(&Zone) -> bool,
    random: u64,
) -> Option<DirectoryResponse> {
    let mut units: BTreeMap<&Zone, u64> = BTreeMap::new();
    for placement in mapping.iter().flat_map(|mapping| &mapping.groups) {
        if placement.group == group && routes.contains(&&placement.route) {
            for share in &placement.shares {
                *units.entry(&share.zone).or_default() += u64::from(share.units);
            }
        }
    }
    let is_usable =
        |zone: &Zone| may_handle(zone) && proxies.iter().any(|(known, _)| known == zone);
    let placed: Vec<(&Zone, u64)> = units
        .into_iter()
        .filter(|(zone, units)| *units > 0 && is_usable(zone))
        .collect();
    let chosen = weighted_zone(&placed, random);
    // A near proxy is rarely a bad choice for a client group that was not measured.
    let chosen = chosen.or_else(|| Some(client_zone).filter(|zone| is_usable(zone)));
    let addresses: Vec<SocketAddr> = proxies
        .iter()
        .filter(|(zone, _)| chosen.is_none_or(|chosen| chosen == zone) && may_handle(zone))
        .map(|(_, address)| *address)
        .collect();
    (!addresses.is_empty()).then(|| DirectoryResponse {
        route: routes
            .first()
            .map_or(RouteName::new(""), |route| (*route).clone()),
        addresses,
        lifetime: RESPONSE_LIFETIME,
    })
}

/// Returns the response for a route, from the last mapping and the known proxies: first those of a
/// randomly chosen zone, then those of the other zones. Returns `None` when no proxy is known.
pub fn resolve_route(
    mapping: &Mapping,
    route: &RouteName,
    group: &str,
    own_zone: &Zone,
    proxies: &[(Zone, SocketAddr)],
    random: u64,
) -> Option<DirectoryResponse> {
    let find = |wanted: &str| {
        mapping
            .groups
            .iter()
            .find(|placement| placement.group == wanted && placement.route == *route)
    };
    let placement = find(group).or_else(|| find(UNSEEN_GROUP))?;
    let is_unseen = placement.group == UNSEEN_GROUP;
    let units: Vec<(&Zone, u64)> = placement
        .shares
        .iter()
        .map(|share| (&share.zone, u64::from(share.units)))
        .collect();
    let mut zones: Vec<&Zone> = weighted_zone(&units, random).into_iter().collect();
    for share in &placement.shares {
        if !zones.contains(&&share.zone) {
            zones.push(&share.zone);
        }
    }
    // A client of a group that was not measured has sent its request to a directory near it.
    if is_unseen && proxies.iter().any(|(zone, _)| zone == own_zone) && zones.contains(&own_zone) {
        zones.retain(|zone| *zone != own_zone);
        zones.insert(0, own_zone);
    }
    let mut addresses = Vec::new();
    for zone in zones {
        let in_zone: Vec<SocketAddr> = proxies
            .iter()
            .filter(|(known, _)| known == zone)
            .map(|(_, address)| *address)
            .collect();
        let start = (mix(random) % in_zone.len().max(1) as u64) as usize;
        addresses.extend(
            in_zone
                .iter()
                .cycle()
                .skip(start)
                .take(in_zone.len())
                .copied(),
        );
    }
    addresses.truncate(LIST_LENGTH);
    (!addresses.is_empty()).then(|| DirectoryResponse {
        route: route.clone(),
        addresses,
        lifetime: RESPONSE_LIFETIME,
    })
}
