//! Reading of a change set: items to put and to drop, each with the version that its writer had read.

use jzon::JsonValue;

use crate::operator_json::errors::{FormError, FormErrorReason};
use crate::operator_json::reading::object_reader::ObjectReader;
use crate::operator_json::reading::route::read_route;
use crate::operator_json::reading::service::read_service;
use crate::operator_json::reading::zone::read_zone;
use caperworks::identifiers::{ChangeId, Version};
use caperworks::map_items::Value;
use caperworks::replicated_map::{Change, Guard, Put, MAP_VERSION_GUARD};

/// Maximum length of a change set's ID, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Reads a change set as far as possible, and returns it with all errors in its form.
///
/// A change with errors must not be applied. It can still be checked further, so that one response reports
/// all errors.
pub fn read_form(text: &str) -> (Change, Vec<FormError>) {
    let mut change = Change {
        id: ChangeId::new(""),
        puts: Vec::new(),
        guards: Vec::new(),
    };
    let value = match jzon::parse(text) {
        Ok(value) => value,
        Err(error) => {
            let reason = FormErrorReason::NotJson(error);
            return (change, vec![FormError::new("body", reason)]);
        }
    };
    let mut errors = Vec::new();
    let Some(mut reader) = ObjectReader::new("", &value, &mut errors) else {
        let reason = FormErrorReason::NotAnObject;
        return (change, vec![FormError::new("body", reason)]);
    };
    let id = reader.required_text("id", &mut errors);
    if id.len() > MAX_ID_BYTES {
        errors.push(FormError::new("id", FormErrorReason::IdTooLong));
    }
    for action in [ItemAction::Put, ItemAction::Drop] {
        let name = action.field_name();
        for (index, item) in reader.list(name, &mut errors).iter().enumerate() {
            let path = format!("{name}[{index}]");
            change
                .puts
                .extend(read_item(&path, item, action, &mut errors));
        }
    }
    let read_version = reader.number("edition", &mut errors).map(Version);
    reader.finish(&mut errors);
    if change.puts.is_empty() && errors.is_empty() {
        errors.push(FormError::new("put", FormErrorReason::EmptyChangeSet));
    }
    change
        .guards
        .extend(guard_of_read_version(&change.puts, read_version));
    change.id = ChangeId::new(id);
    (change, errors)
}

/// Reads a change set. Returns all errors in its form if there are any.
pub fn read_change(text: &str) -> Result<Change, Vec<FormError>> {
    let (change, errors) = read_form(text);
    if errors.is_empty() {
        Ok(change)
    } else {
        Err(errors)
    }
}

/// The action of a change set on an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemAction {
    Put,
    Drop,
}

impl ItemAction {
    /// Returns the field of the change set that lists the items with this action.
    fn field_name(self) -> &'static str {
        match self {
            ItemAction::Put => "put",
            ItemAction::Drop => "drop",
        }
    }
}

/// The kinds of items in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemKind {
    Route,
    Service,
    Zone,
}

impl ItemKind {
    fn of(name: &str) -> Option<Self> {
        [Self::Route, Self::Service, Self::Zone]
            .into_iter()
            .find(|kind| kind.name() == name)
    }

    /// Returns the kind's name in the API, which is also the field that contains the value.
    fn name(self) -> &'static str {
        match self {
            Self::Route => "rule",
            Self::Service => "pool",
            Self::Zone => "area",
        }
    }
}

/// Reads one item to put or to drop. Returns `None` if its value cannot be read.
fn read_item(
    path: &str,
    value: &JsonValue,
    action: ItemAction,
    errors: &mut Vec<FormError>,
) -> Option<Put> {
    let mut reader = ObjectReader::new(path, value, errors)?;
    let kind_name = reader.required_text("kind", errors);
    let name = reader.required_text("name", errors);
    let expected = reader.number("edition", errors).map(Version);
    let kind = ItemKind::of(&kind_name);
    if kind.is_none() {
        let reason = FormErrorReason::UnknownItemKind;
        errors.push(FormError::new(reader.field("kind"), reason));
    }
    let value = match action {
        ItemAction::Put => kind.and_then(|kind| read_value(kind, &mut reader, errors)),
        ItemAction::Drop => None,
    };
    reader.finish(errors);
    let is_usable = action == ItemAction::Drop || value.is_some();
    is_usable.then(|| Put {
        key: format!("{kind_name}/{name}"),
        expected,
        value,
        written: None,
    })
}

/// Reads the value of an item of this kind.
fn read_value(
    kind: ItemKind,
    reader: &mut ObjectReader<'_>,
    errors: &mut Vec<FormError>,
) -> Option<Value> {
    let path = reader.field(kind.name());
    let Some(value) = reader.get(kind.name()) else {
        errors.push(FormError::new(path, FormErrorReason::Missing));
        return None;
    };
    match kind {
        ItemKind::Route => read_route(&path, value, errors),
        ItemKind::Service => read_service(&path, value, errors),
        ItemKind::Zone => read_zone(&path, value, errors),
    }
}

/// Returns the guard that records which version of the map the change set's writer had read.
///
/// No guard is needed if every item has an expected version above zero: an item never returns to an earlier
/// version, so such a change cannot be applied twice. An item that is expected to be absent may have been
/// created and removed meanwhile. The highest expected version of an item counts as well, because its writer
/// had read the map at that version or a later one.
fn guard_of_read_version(puts: &[Put], read: Option<Version>) -> Option<Guard> {
    let seen = |put: &Put| put.expected.filter(|expected| expected.0 > 0);
    if read.is_none() && puts.iter().all(|put| seen(put).is_some()) {
        return None;
    }
    let newest_item = puts.iter().filter_map(seen).max().unwrap_or_default();
    Some(Guard {
        key: MAP_VERSION_GUARD.to_string(),
        expected: newest_item.max(read.unwrap_or_default()),
    })
}
