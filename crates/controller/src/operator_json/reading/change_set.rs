//! Reading of a change set: items to put and to drop, each with the version that its writer saw.

use jzon::JsonValue;

use crate::operator_json::errors::{FormError, FormErrorReason};
use crate::operator_json::reading::object_reader::ObjectReader;
use crate::operator_json::reading::route::read_route;
use crate::operator_json::reading::service::read_service;
use crate::operator_json::reading::zone::read_zone;
use caperworks::identifiers::{ChangeId, Version};
use caperworks::map_items::Value;
use caperworks::replicated_map::{Change, Guard, Put, MAP_VERSION_GUARD};

/// The most bytes of a change set's id.
const MOST_ID_BYTES: usize = 128;

/// Reads a change set as far as it can be read, with every error of its form.
///
/// The change is meant to be checked further even when there are errors of form, so that one response
/// names all that is wrong; it must not be applied then.
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
    if id.len() > MOST_ID_BYTES {
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

/// Reads a change set whose form is without error. Gives all errors of form when there are any.
pub fn read_change(text: &str) -> Result<Change, Vec<FormError>> {
    let (change, errors) = read_form(text);
    if errors.is_empty() {
        Ok(change)
    } else {
        Err(errors)
    }
}

/// What a change set does with an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemAction {
    Put,
    Drop,
}

impl ItemAction {
    /// The field of the change set that lists the items.
    fn field_name(self) -> &'static str {
        match self {
            ItemAction::Put => "put",
            ItemAction::Drop => "drop",
        }
    }
}

/// The kinds of items, by the names that operators give them.
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

    /// The operators' name, which is also the field that holds the value.
    fn name(self) -> &'static str {
        match self {
            Self::Route => "rule",
            Self::Service => "pool",
            Self::Zone => "area",
        }
    }
}

/// Reads one item to put or to drop; nothing when it has no value that could be put.
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

/// The guard that tells how old a change set is: which version of the map its writer had read.
///
/// None is needed where each item's version is given and above zero: an item never comes back to a
/// version, so such a change can't be applied twice. An item that must be absent may have come and gone.
/// The highest version of an item counts too: whoever saw it had read the map at that version or later.
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
