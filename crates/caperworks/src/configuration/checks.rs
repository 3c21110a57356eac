//! The check of a change set: everything that would be wrong with the configuration after it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::configuration::route_table::bare_host;
use crate::configuration::{Fault, DEADLINE_MOST, KEYED_DEADLINE_MOST, MOST_BYTES, MOST_ITEMS};
use crate::identifiers::{Region, RouteName, ServiceName};
use crate::map_items::{KeySpace, Route, Service, SplitTarget, Value};
use crate::replicated_map::{Change, Put, ReplicatedMap};
use crate::version_history::{ConfirmedVersion, VersionStatus};

/// Lists all faults of the configuration as it would be after the change; none if it is valid.
///
/// Called by the proposer before a change is proposed. The resulting map is checked and not only the
/// items that are put, since a change may remove what another item needs.
pub fn check_configuration(map: &ReplicatedMap, change: &Change) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_puts(map, change, &mut faults);
    let mut after = map.with_histories_of(change);
    after.apply(change);
    // Histories have a bound of their own: a configuration that fits must not cease to fit because it
    // was changed often.
    after.histories.clear();
    check_size(&after, &mut faults);
    check_routes(&after, &mut faults);
    check_call(map, &after, change, &mut faults);
    check_zones(&after, &mut faults);
    faults
}

/// Checks each put by itself.
fn check_puts(map: &ReplicatedMap, change: &Change, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for put in &change.puts {
        // Under the operators' own versions an item may be named twice: the higher version wins.
        if !seen.insert(put.key.as_str()) && put.written.is_none() {
            faults.push(Fault::new(&put.key, "is named twice in one change set"));
        }
        let (kind, name) = put.key.split_once('/').unwrap_or((&put.key, ""));
        if !is_valid_name(name) {
            let why = "names have 1 to 64 letters, digits, dashes, dots or underscores";
            faults.push(Fault::new(&put.key, why));
        }
        check_put(map, kind, put, faults);
    }
}

/// Checks that the contents of a put are valid and go with its kind, or that a dropped item exists.
///
/// Under the operators' own versions an item that does not exist may be dropped: the drop may arrive
/// before the put that it overtakes.
fn check_put(map: &ReplicatedMap, kind: &str, put: &Put, faults: &mut Vec<Fault>) {
    match (&put.value, kind) {
        (Some(Value::Route { route }), "rule") => check_route(put, route, faults),
        (Some(Value::Service { service }), "pool") => check_service(&put.key, service, faults),
        (Some(Value::Zone { zone }), "area") => {
            if !is_valid_name(zone.region.as_str()) {
                let field = format!("{}.region", put.key);
                faults.push(Fault::new(field, "give a region's name"));
            }
        }
        (Some(Value::Limits { limits }), "limits") => {
            if limits.head_bytes == 0 || limits.header_timeout.is_zero() {
                let why = "a head has some bytes and some time";
                faults.push(Fault::new(&put.key, why));
            }
        }
        (None, "rule" | "pool" | "area" | "limits") if put.written.is_some() => {}
        (None, "rule" | "pool" | "area") => {
            if !map.items.contains_key(&put.key) {
                let why = "cannot be dropped: there is no such item";
                faults.push(Fault::new(&put.key, why));
            }
        }
        _ => faults.push(Fault::new(&put.key, "kind and contents do not go together")),
    }
}

/// Checks the number of items and of bytes.
fn check_size(after: &ReplicatedMap, faults: &mut Vec<Fault>) {
    let items = after.items.len();
    if items > MOST_ITEMS {
        let why = format!("there would be {items} items, {MOST_ITEMS} are the most");
        faults.push(Fault::new("items", why));
    }
    let bytes = encoded_bytes(after);
    if bytes > MOST_BYTES {
        let why = format!("the orders would take {bytes} bytes, {MOST_BYTES} are the most");
        faults.push(Fault::new("items", why));
    }
}

/// Checks what routes refer to, and that no two have the same host and path. Hosts are compared in
/// lower case and without a port, as requests are matched: one of two routes would hide the other.
fn check_routes(after: &ReplicatedMap, faults: &mut Vec<Fault>) {
    let services: BTreeMap<ServiceName, &Service> = after.services().collect();
    let zones = after.zones();
    let regions: BTreeSet<Region> = zones.map(|(_, zone)| zone.region.clone()).collect();
    let mut matches: BTreeMap<(String, &str), RouteName> = BTreeMap::new();
    for (name, route) in after.routes() {
        for service_name in route.services() {
            let service = services.get(service_name);
            check_service_of(&name, route, service_name, service, faults);
        }
        for home in route.homes.iter().filter(|home| !regions.contains(home)) {
            let why = format!("no zone lies in region {home}");
            faults.push(Fault::new(format!("rule/{name}.home"), why));
        }
        let host = bare_host(&route.host);
        if let Some(other) = matches.insert((host, &route.path), name.clone()) {
            let why = format!("has the same host and path as rule {other}");
            faults.push(Fault::new(format!("rule/{name}"), why));
        }
    }
}

/// The routes of a change under the operators' own versions that were not confirmed before: of each name
/// the one with the highest version.
///
/// What was confirmed before is acknowledged again, whatever has become of the services that it names.
fn unconfirmed_routes<'change>(
    map: &ReplicatedMap,
    change: &'change Change,
) -> BTreeMap<&'change str, (ConfirmedVersion, &'change Route)> {
    let mut routes: BTreeMap<&str, (ConfirmedVersion, &Route)> = BTreeMap::new();
    for put in &change.puts {
        let (Some(numbered), Some(Value::Route { route })) = (put.numbered(), &put.value) else {
            continue;
        };
        let is_highest = routes
            .get(put.key.as_str())
            .is_none_or(|(other, _)| other.version < numbered.version);
        if is_highest && map.history(&put.key).status_of(numbered) != VersionStatus::Confirmed {
            routes.insert(&put.key, (numbered, route));
        }
    }
    routes
}

/// Lists what is wrong with the routes of a call by themselves, also where a later version of a route
/// stands and the call changes nothing of it: an invalid call is refused, not acknowledged without effect.
fn check_call(
    map: &ReplicatedMap,
    after: &ReplicatedMap,
    change: &Change,
    faults: &mut Vec<Fault>,
) {
    let mut places: BTreeMap<(String, &str), (&str, bool)> = BTreeMap::new();
    for (key, (numbered, route)) in unconfirmed_routes(map, change) {
        let is_overtaken = map.history(key).status_of(numbered) == VersionStatus::Superseded;
        // A route that was overtaken may name a service that was dropped since its operator sent it.
        let is_known = |name: &ServiceName| match after.items.get(&format!("pool/{name}")) {
            Some(item) => is_overtaken || item.value != Value::Dropped,
            None => false,
        };
        let parts = route.split.iter().map(|part| &part.service);
        for name in parts.chain([&route.service]).filter(|name| !is_known(name)) {
            let why = format!("there is no service {name}");
            let fault = Fault::new(format!("{key}.pool"), why);
            if !faults.contains(&fault) {
                faults.push(fault);
            }
        }
        let index = (bare_host(&route.host), route.path.as_str());
        match places.insert(index, (key, is_overtaken)) {
            // Two that both come into force are told of when the map after the change is looked at.
            Some((other, other_is_overtaken)) if is_overtaken || other_is_overtaken => {
                let why = format!("has the same host and path as {other} of this call");
                faults.push(Fault::new(key, why));
            }
            _ => {}
        }
    }
}

/// Counts the bytes that are written to it.
#[derive(Default)]
struct ByteCount(usize);

impl minicbor::encode::Write for ByteCount {
    type Error = std::convert::Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        self.0 += bytes.len();
        Ok(())
    }
}

/// How many bytes a map takes when it is encoded.
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
        faults.push(Fault::new("area", "this would close every zone"));
    }
}

/// Whether it may be the name of an item.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 64
        && name
            .chars()
            .all(|sign| sign.is_ascii_alphanumeric() || "-_.".contains(sign))
}

/// Checks the fields of one route.
fn check_route(put: &Put, route: &Route, faults: &mut Vec<Fault>) {
    let key = &put.key;
    let mut fault = |field: &str, why: &str| faults.push(Fault::new(format!("{key}.{field}"), why));
    if route.host.is_empty() || route.host.len() > 253 {
        fault("host", "give a host name, or * for any");
    }
    if !route.path.starts_with('/') || route.path.len() > 512 {
        fault("path", "give a path prefix that starts with /");
    }
    if route.deadline.is_zero() || route.deadline > DEADLINE_MOST {
        fault("deadline_ms", "give 1 to 600000");
    }
    // Under the operators' own versions a part may have no weight beside others that have some.
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
    let mut fault = |field: &str, why: &str| faults.push(Fault::new(format!("{key}.{field}"), why));
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
/// A keyed service bounds the deadline of its routes: the owner starts nothing that may outlive its
/// lease, so every request with a longer deadline would be refused. Where keys are ranges there is no
/// bound, since the owner itself ends what outlasts its lease.
fn check_service_of(
    name: &RouteName,
    route: &Route,
    service_name: &ServiceName,
    service: Option<&&Service>,
    faults: &mut Vec<Fault>,
) {
    match service {
        None => {
            let why = format!("there is no service {service_name}");
            faults.push(Fault::new(format!("rule/{name}.pool"), why));
        }
        Some(service) if service.keyed && route.key_header.is_none() => {
            let why = format!("service {service_name} is keyed: name the header with the key");
            faults.push(Fault::new(format!("rule/{name}.key_header"), why));
        }
        Some(service)
            if service.keyed
                && service.key_space == KeySpace::Hashed
                && route.deadline > KEYED_DEADLINE_MOST =>
        {
            let most = KEYED_DEADLINE_MOST.as_millis();
            let why = format!(
                "service {service_name} is keyed: no order may take longer than its owner's hold; give at most {most}"
            );
            faults.push(Fault::new(format!("rule/{name}.deadline_ms"), why));
        }
        Some(_) => {}
    }
}
