//! Reading of a route, which the API calls a rule.

use jzon::JsonValue;

use crate::operator_json::errors::{FormError, FormErrorReason};
use crate::operator_json::reading::object_reader::ObjectReader;
use caperworks::identifiers::{Region, ServiceName};
use caperworks::map_items::{RequestKind, Route, SplitTarget, Value};

/// Default limit of a request's body, in bytes.
pub const DEFAULT_BODY_LIMIT: u64 = 64 * 1024 * 1024;
/// Default deadline of a request, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 2000;

/// Reads a route.
pub(super) fn read_route(
    path: &str,
    value: &JsonValue,
    errors: &mut Vec<FormError>,
) -> Option<Value> {
    let mut reader = ObjectReader::new(path, value, errors)?;
    let split = read_split(&mut reader, errors);
    let route = Route {
        host: reader.required_text("host", errors),
        path: reader.required_text("path", errors),
        service: read_service_name(&mut reader, &split, errors),
        homes: read_homes(&mut reader, errors),
        deadline: reader.milliseconds("deadline_ms", DEFAULT_DEADLINE_MS, errors),
        body_limit: reader
            .number("body_limit", errors)
            .unwrap_or(DEFAULT_BODY_LIMIT),
        key_header: reader
            .text("key_header", errors)
            .map(|name| name.to_ascii_lowercase()),
        kind: read_request_kind(&mut reader, errors),
        split,
        target_latency: reader.milliseconds("target_latency_ms", 0, errors),
        priority: reader.small_number("priority", 0, errors),
        max_attempts: reader.small_number("most_attempts", 0, errors),
    };
    reader.finish(errors);
    Some(Value::Route { route })
}

/// Reads the service that receives the requests. It is optional if the route has a split, which names the
/// services.
fn read_service_name(
    reader: &mut ObjectReader<'_>,
    split: &[SplitTarget],
    errors: &mut Vec<FormError>,
) -> ServiceName {
    ServiceName::new(match split.first() {
        Some(first) => reader
            .text("pool", errors)
            .unwrap_or_else(|| first.service.to_string()),
        None => reader.required_text("pool", errors),
    })
}

/// Reads the regions that may serve the route, given as one region, a list, or both.
fn read_homes(reader: &mut ObjectReader<'_>, errors: &mut Vec<FormError>) -> Vec<Region> {
    let home = reader.text("home", errors);
    let homes = reader.texts("homes", errors);
    home.into_iter().chain(homes).map(Region::new).collect()
}

/// Reads the services among which a route's requests are split by weight.
fn read_split(reader: &mut ObjectReader<'_>, errors: &mut Vec<FormError>) -> Vec<SplitTarget> {
    let mut split = Vec::new();
    for (index, item) in reader.list("split", errors).iter().enumerate() {
        let part_path = format!("{}[{index}]", reader.field("split"));
        if let Some(mut part) = ObjectReader::new(part_path, item, errors) {
            split.push(SplitTarget {
                service: ServiceName::new(part.required_text("pool", errors)),
                weight: part.small_number("weight", 0, errors),
            });
            part.finish(errors);
        }
    }
    split
}

/// Reads which of a route's requests may be retried.
fn read_request_kind(reader: &mut ObjectReader<'_>, errors: &mut Vec<FormError>) -> RequestKind {
    match reader.text("kind", errors).as_deref() {
        None => RequestKind::ByMethod,
        Some("repeatable") => RequestKind::Repeatable,
        Some("once") => RequestKind::Once,
        Some("upload") => RequestKind::Upload,
        Some(_) => {
            let reason = FormErrorReason::UnknownRequestKind;
            errors.push(FormError::new(reader.field("kind"), reason));
            RequestKind::ByMethod
        }
    }
}
