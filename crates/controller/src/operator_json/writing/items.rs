//! Writing of the configuration: the complete map, single items, and the values of each kind of item.

use jzon::JsonValue;

use caperworks::identifiers::{Region, Version};
use caperworks::map_items::{KeySpace, RequestKind, Route, Service, Value, ZoneSettings};
use caperworks::replicated_map::ReplicatedMap;

/// Writes the complete configuration with its version.
pub fn map_json(map: &ReplicatedMap) -> JsonValue {
    let items: Vec<JsonValue> = map
        .items
        .iter()
        .map(|(key, item)| item_json(key, item.version, &item.value))
        .collect();
    jzon::object! { edition: map.version.0, items: items }
}

/// Writes one item with its kind, name and version.
pub fn item_json(key: &str, version: Version, value: &Value) -> JsonValue {
    let (kind, name) = key.split_once('/').unwrap_or((key, ""));
    let mut json = jzon::object! { kind: kind, name: name, edition: version.0 };
    json[kind] = value_json(value);
    json
}

/// Writes a value of the configuration in the same form as operators send it. Values of other maps are null.
fn value_json(value: &Value) -> JsonValue {
    match value {
        Value::Route { route } => route_json(route),
        Value::Service { service } => service_json(service),
        Value::Zone { zone } => zone_json(zone),
        _ => JsonValue::Null,
    }
}

fn route_json(route: &Route) -> JsonValue {
    let mut json = jzon::object! {
        host: route.host.as_str(),
        path: route.path.as_str(),
        pool: route.service.as_str(),
        deadline_ms: route.deadline.as_millis() as u64,
        body_limit: route.body_limit,
    };
    match route.homes.as_slice() {
        [] => {}
        [home] => json["home"] = home.as_str().into(),
        homes => {
            let homes: Vec<&str> = homes.iter().map(Region::as_str).collect();
            json["homes"] = homes.into();
        }
    }
    write_optional_fields(route, &mut json);
    if let Some(header) = &route.key_header {
        json["key_header"] = header.as_str().into();
    }
    json
}

/// Writes the optional fields of a route that differ from their defaults.
fn write_optional_fields(route: &Route, json: &mut JsonValue) {
    let kind = match route.kind {
        RequestKind::ByMethod => None,
        RequestKind::Repeatable => Some("repeatable"),
        RequestKind::Once => Some("once"),
        RequestKind::Upload => Some("upload"),
    };
    if let Some(kind) = kind {
        json["kind"] = kind.into();
    }
    if !route.split.is_empty() {
        let parts: Vec<JsonValue> = route
            .split
            .iter()
            .map(|part| jzon::object! { pool: part.service.as_str(), weight: part.weight })
            .collect();
        json["split"] = parts.into();
    }
    if !route.target_latency.is_zero() {
        json["target_latency_ms"] = (route.target_latency.as_millis() as u64).into();
    }
    if route.priority > 0 {
        json["priority"] = route.priority.into();
    }
    if route.max_attempts > 0 {
        json["most_attempts"] = route.max_attempts.into();
    }
}

fn service_json(service: &Service) -> JsonValue {
    jzon::object! {
        keyed: service.keyed,
        slices: service.key_ranges,
        instance_cap: service.instance_cap,
        key_cap: service.key_cap,
        gentle_per_second: service.slow_start_rate(),
        warm_ms: service.warm_up_period.as_millis() as u64,
        key_space: match service.key_space {
            KeySpace::Hashed => "hashed",
            KeySpace::Ranges => "ranges",
        },
        connection_limit: service.connection_limit,
        health_path: service.health_path.as_str(),
    }
}

fn zone_json(zone: &ZoneSettings) -> JsonValue {
    jzon::object! {
        region: zone.region.as_str(),
        closed: zone.closed,
    }
}
