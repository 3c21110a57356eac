//! Reading of a zone, which the API calls an area.

use jzon::JsonValue;

use crate::operator_json::errors::FormError;
use crate::operator_json::reading::object_reader::ObjectReader;
use caperworks::identifiers::Region;
use caperworks::map_items::{Value, ZoneSettings};

/// Reads a zone.
pub(super) fn read_zone(
    path: &str,
    value: &JsonValue,
    errors: &mut Vec<FormError>,
) -> Option<Value> {
    let mut reader = ObjectReader::new(path, value, errors)?;
    let zone = ZoneSettings {
        region: Region::new(reader.required_text("region", errors)),
        closed: reader.boolean("closed", errors).unwrap_or(false),
    };
    reader.finish(errors);
    Some(Value::Zone { zone })
}
