//! Validation of a change set: lists every error that the configuration would have after it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::configuration::route_table::normalized_host;
use crate::configuration::{
    Fault, MAX_CONFIGURATION_BYTES, MAX_CONFIGURATION_ITEMS, MAX_DEADLINE, MAX_KEYED_DEADLINE,
};
use crate::identifiers::{Region, RouteName, ServiceName};
use crate::map_items::{KeySpace, Route, Service, SplitTarget, Value};
use crate::replicated_map::{Change, Put, ReplicatedMap};
use crate::version_history::{ConfirmedVersion, VersionStatus};

/// Returns all errors of the configuration as it would be after the change; none if it is valid.
///
/// Called by the proposer before a change is proposed. The resulting map is checked and not only
/// the items of the change, since a change may remove an item that another one refers to.
pub fn check_configuration(map: &ReplicatedMap, change: &Change) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_puts(map, change, &mut faults);
    let mut after = map.with_histories_of(change);
    after.apply(change);
    // Histories have a limit of their own: a configuration that fits must not stop fitting because
    // it was changed often.
    after.histories.clear();
    check_size(&after, &mut faults);
    check_routes(&after, &mut faults);
    check_call(map, &after, change, &mut faults);
    check_zones(&after, &mut faults);
    faults
}

/// Checks each put on its own.
fn check_puts(map: &ReplicatedMap, change: &Change, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for put in &change.puts {
        // With versions assigned by operators an item may occur twice: the higher version wins.
        if !seen.insert(put.key.as_str()) && put.written.is_none() {
            faults.push(Fault::new(&put.key, "occurs twice in one change set"));
        }
        let (kind, name) = put.key.split_once('/').unwrap_or((&put.key, ""));
        if !is_valid_name(name) {
            let reason = "names have 1 to 64 letters, digits, dashes, dots or underscores";
            faults.push(Fault::new(&put.key, reason));
        }
        check_put(map, kind, put, faults);
    }
}

/// Checks that the value of a put is valid and matches its kind, or that a dropped item exists.
///
/// With versions assigned by operators an item that does not exist may be dropped: the drop may
/// arrive before the put that it supersedes.
fn check_put(map: &ReplicatedMap, kind: &str, put: &Put, faults: &mut Vec<Fault>) {
    match (&put.value, kind) {
        (Some(Value::Route { route }), "rule") => check_route(put, route, faults),
        (Some(Value::Service { service }), "pool") => check_service(&put.key, service, faults),
        (Some(Value::Zone { zone }), "area") => {
            if !is_valid_name(zone.region.as_str()) {
                let field = format!("{}.region", put.key);
                faults.push(Fault::new(field, "give a region name"));
            }
        }
        (Some(Value::Limits { limits }), "limits") => {
            if limits.header_bytes == 0 || limits.header_timeout.is_zero() {
                let reason = "request heads need a size limit and a timeout above 0";
                faults.push(Fault::new(&put.key, reason));
            }
        }
        (None, "rule" | "pool" | "area" | "limits") if put.written.is_some() => {}
        (None, "rule" | "pool" | "area") => {
            if !map.items.contains_key(&put.key) {
                let reason = "cannot be dropped: there is no such item";
                faults.push(Fault::new(&put.key, reason));
            }
        }
        _ => faults.push(Fault::new(
            &put.key,
            "the value does not match the kind of the item",
        )),
    }
}

/// Checks the number of items and the encoded size.
fn check_size(after: &ReplicatedMap, faults: &mut Vec<Fault>) {
    let items = after.items.len();
    if items > MAX_CONFIGURATION_ITEMS {
        let reason = format!(
            "the configuration would have {items} items; the maximum is {MAX_CONFIGURATION_ITEMS}"
        );
        faults.push(Fault::new("items", reason));
    }
    let bytes = encoded_bytes(after);
    if bytes > MAX_CONFIGURATION_BYTES {
        let reason = format!(
            "the configuration would take {bytes} bytes; the maximum is {MAX_CONFIGURATION_BYTES}"
        );
        faults.push(Fault::new("items", reason));
    }
}

/// Checks the references of routes, and that no two routes have the same host and path. Hosts are
/// compared in lower case and without a port, as in request matching, where one of two such routes
/// would hide the other.
fn check_routes(after: &ReplicatedMap, faults: &mut Vec<Fault>) {
    let services: BTreeMap<ServiceName, &Service> = after.services().collect();
    let zones = after.zones();
    let regions: BTreeSet<Region> = zones.map(|(_, zone)| zone.region.clone()).collect();
    let mut routes_by_path: BTreeMap<(String, &str), RouteName> = BTreeMap::new();
    for (name, route) in after.routes() {
        for service_name in route.services() {
            let service = services.get(service_name);
            check_route_service(&name, route, service_name, service, faults);
        }
        for home in route.homes.iter().filter(|home| !regions.contains(home)) {
            let reason = format!("no zone is in region {home}");
            faults.push(Fault::new(format!("rule/{name}.home"), reason));
        }
        let host = normalized_host(&route.host);
        if let Some(other) = routes_by_path.insert((host, &route.path), name.clone()) {
            let reason = format!("has the same host and path as rule {other}");
            faults.push(Fault::new(format!("rule/{name}"), reason));
        }
    }
}

/// Returns the routes of a change with versions assigned by operators that were not confirmed
/// before; for each name the one with the highest version.
///
/// A version that was confirmed before is acknowledged again, whether or not the services that it
/// names still exist.
fn unconfirmed_routes<'change>(
    map: &ReplicatedMap,
    change: &'change Change,
) -> BTreeMap<&'change str, (ConfirmedVersion, &'change Route)> {
    let mut routes: BTreeMap<&str, (ConfirmedVersion, &Route)> = BTreeMap::new();
    for put in &change.puts {
        let (Some(operator_version), Some(Value::Route { route })) =
            (put.operator_version(), &put.value)
        else {
            continue;
        };
        let is_highest = routes
            .get(put.key.as_str())
            .is_none_or(|(other, _)| other.version < operator_version.version);
        if is_highest
            && map.history(&put.key).status_of(operator_version) != VersionStatus::Confirmed
        {
            routes.insert(&put.key, (operator_version, route));
        }
    }
    routes
}

/// Lists the errors of the routes of a call on their own, even where a later version of a route is
/// in force and the call changes nothing: an invalid call is rejected, not acknowledged without
/// effect.
fn check_call(
    map: &ReplicatedMap,
    after: &ReplicatedMap,
    change: &Change,
    faults: &mut Vec<Fault>,
) {
    let mut routes_by_path: BTreeMap<(String, &str), (&str, bool)> = BTreeMap::new();
    for (key, (operator_version, route)) in unconfirmed_routes(map, change) {
        let is_superseded =
            map.history(key).status_of(operator_version) == VersionStatus::Superseded;
        // A superseded route may name a service that was dropped after its operator sent it.
        let service_exists = |name: &ServiceName| match after.items.get(&format!("pool/{name}")) {
            Some(item) => is_superseded || item.value != Value::Dropped,
            None => false,
        };
        let split_services = route.split.iter().map(|part| &part.service);
        for name in split_services
            .chain([&route.service])
            .filter(|name| !service_exists(name))
        {
            let reason = format!("there is no service {name}");
            let fault = Fault::new(format!("{key}.pool"), reason);
            if !faults.contains(&fault) {
                faults.push(fault);
            }
        }
        let host_and_path = (normalized_host(&route.host), route.path.as_str());
        match routes_by_path.insert(host_and_path, (key, is_superseded)) {
            // Two routes that both take effect are reported by the check of the resulting map.
            Some((other, other_is_superseded)) if is_superseded || other_is_superseded => {
                let reason = format!("has the same host and path as {other} of this call");
                faults.push(Fault::new(key, reason));
            }
            _ => {}
        }
    }
}

/// A writer that only counts bytes.
#[derive(Default)]
struct ByteCount(usize);

impl minicbor::encode::Write for ByteCount {
    type Error = std::convert::Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        self.0 += bytes.len();
        Ok(())
    }
}

/// Returns the encoded size of a map.
fn encoded_bytes(map: &ReplicatedMap) -> usize {
    let mut count = ByteCount::default();
    match minicbor::encode(map, &mut count) {
        Ok(()) => count.0,
        Err(_) => usize::MAX,
    }
}

/// Checks that not every zone is closed.
fn check_zones(after: &ReplicatedMap, faults: &mut Vec<Fault>) {
    let mut zones = after.zones().peekable();
    if zones.peek().is_some() && zones.all(|(_, zone)| zone.closed) {
        faults.push(Fault::new("area", "the change would close every zone"));
    }
}

/// Returns whether this is a valid item name.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 64
        && name
            .chars()
            .all(|character| character.is_ascii_alphanumeric() || "-_.".contains(character))
}

/// Checks the fields of one route.
fn check_route(put: &Put, route: &Route, faults: &mut Vec<Fault>) {
    let key = &put.key;
    let mut fault =
        |field: &str, reason: &str| faults.push(Fault::new(format!("{key}.{field}"), reason));
    if route.host.is_empty() || route.host.len() > 253 {
        fault("host", "give a host name, or * for any");
    }
    if !route.path.starts_with('/') || route.path.len() > 512 {
        fault("path", "give a path prefix that starts with /");
    }
    if route.deadline.is_zero() || route.deadline > MAX_DEADLINE {
        fault("deadline_ms", "give 1 to 600000");
    }
    // With versions assigned by operators a part may have no weight beside others that have some.
    let needs_weight = |part: &SplitTarget| part.weight == 0 && put.written.is_none();
    if route.split.iter().any(needs_weight) {
        fault("split", "every part has a weight of at least 1");
    }
    if route.body_limit == 0 {
        fault("body_limit", "give at least 1");
    }
}

/// Checks the fields of one service.
fn check_service(key: &str, service: &Service, faults: &mut Vec<Fault>) {
    let mut fault =
        |field: &str, reason: &str| faults.push(Fault::new(format!("{key}.{field}"), reason));
    if service.keyed && !(1..=1024).contains(&service.key_ranges) {
        fault("slices", "a keyed service has 1 to 1024 key ranges");
    }
    if service.instance_cap == 0 {
        fault("instance_cap", "give at least 1");
    }
    if service.keyed && service.key_cap == 0 {
        fault("key_cap", "give at least 1");
    }
    if service.slow_start_rate_milli == 0 {
        fault("gentle_per_second", "give at least 1");
    }
    if service.warm_up_period > Duration::from_secs(600) {
        fault("warm_ms", "give at most 600000");
    }
}

/// Checks a route against one of the services that it leads to.
///
/// A keyed service limits the deadline of its routes: the owner starts no request that may outlast
/// its lease, so every request with a longer deadline would be rejected. Where the keys are ranges
/// there is no limit, since the owner itself ends requests that outlast its lease.
fn check_route_service(
    name: &RouteName,
    route: &Route,
    service_name: &ServiceName,
    service: Option<&&Service>,
    faults: &mut Vec<Fault>,
) {
    match service {
        None => {
            let reason = format!("there is no service {service_name}");
            faults.push(Fault::new(format!("rule/{name}.pool"), reason));
        }
        Some(service) if service.keyed && route.key_header.is_none() => {
            let reason = format!("service {service_name} is keyed: name the header with the key");
            faults.push(Fault::new(format!("rule/{name}.key_header"), reason));
        }
        Some(service)
            if service.keyed
                && service.key_space == KeySpace::Hashed
                && route.deadline > MAX_KEYED_DEADLINE =>
        {
            let max_deadline = MAX_KEYED_DEADLINE.as_millis();
            let reason = format!("service {service_name} is keyed: no order may take longer than its owner's hold; give at most {max_deadline}");
            faults.push(Fault::new(format!("rule/{name}.deadline_ms"), reason));
        }
        Some(_) => {}
    }
}
