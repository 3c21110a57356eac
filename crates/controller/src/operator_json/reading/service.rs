//! Reading of a service, which the API calls a pool.

use jzon::JsonValue;

use crate::operator_json::errors::{FormError, FormErrorReason};
use crate::operator_json::reading::object_reader::ObjectReader;
use caperworks::map_items::{KeySpace, Service, Value};

/// Default number of key ranges of a service.
const DEFAULT_KEY_RANGES: u32 = 64;
/// Default maximum number of requests in flight at an instance.
const DEFAULT_INSTANCE_CAP: u32 = 64;
/// Default maximum number of requests in flight for one key.
const DEFAULT_KEY_CAP: u32 = 8;
/// Default request rate of an instance in slow start, in requests per second.
const DEFAULT_SLOW_START_RATE: u32 = 6;
/// Default duration of an instance's slow start, in milliseconds.
const DEFAULT_WARM_UP_MS: u64 = 5000;

/// Reads a service.
pub(super) fn read_service(
    path: &str,
    value: &JsonValue,
    errors: &mut Vec<FormError>,
) -> Option<Value> {
    let mut reader = ObjectReader::new(path, value, errors)?;
    let service = Service {
        keyed: reader.boolean("keyed", errors).unwrap_or(false),
        key_ranges: reader.small_number("slices", DEFAULT_KEY_RANGES, errors),
        instance_cap: reader.small_number("instance_cap", DEFAULT_INSTANCE_CAP, errors),
        key_cap: reader.small_number("key_cap", DEFAULT_KEY_CAP, errors),
        slow_start_rate_milli: reader.thousandths(
            "gentle_per_second",
            DEFAULT_SLOW_START_RATE,
            errors,
        ),
        warm_up_period: reader.milliseconds("warm_ms", DEFAULT_WARM_UP_MS, errors),
        key_space: read_key_space(&mut reader, errors),
        connection_limit: reader.small_number("connection_limit", 0, errors),
        health_path: reader.text("health_path", errors).unwrap_or_default(),
    };
    reader.finish(errors);
    Some(Value::Service { service })
}

/// Reads how keys are mapped to key ranges.
fn read_key_space(reader: &mut ObjectReader<'_>, errors: &mut Vec<FormError>) -> KeySpace {
    match reader.text("key_space", errors).as_deref() {
        None | Some("hashed") => KeySpace::Hashed,
        Some("ranges") => KeySpace::Ranges,
        Some(_) => {
            let reason = FormErrorReason::UnknownKeySpace;
            errors.push(FormError::new(reader.field("key_space"), reason));
            KeySpace::Hashed
        }
    }
}
