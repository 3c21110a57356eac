//! Detection of objects in which a field is repeated. The JSON parser silently keeps only the last one.

use jzon::JsonValue;

/// Returns the number of fields in a value, including those of nested objects.
fn count_fields(value: &JsonValue) -> usize {
    let of_entries: usize = value
        .entries()
        .map(|(_, inner)| 1 + count_fields(inner))
        .sum();
    of_entries + value.members().map(count_fields).sum::<usize>()
}

/// Returns the number of fields in a JSON text, which is the number of colons outside of strings.
fn count_fields_in_text(text: &str) -> usize {
    let mut fields = 0;
    let mut in_string = false;
    let mut is_escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            b':' if !in_string => fields += 1,
            _ => {}
        }
    }
    fields
}

/// Returns whether any object in a JSON text has two fields of the same name.
pub fn has_repeated_fields(text: &str, parsed: &JsonValue) -> bool {
    count_fields_in_text(text) != count_fields(parsed)
}
