//! A reader of JSON objects that collects all errors in their form.

use std::collections::BTreeSet;
use std::time::Duration;

use jzon::JsonValue;

use crate::operator_json::errors::{FormError, FormErrorReason};

/// Reads the fields of one object and records which fields are known.
///
/// Each method adds the errors that it finds to `errors` and continues. Finally, [`ObjectReader::finish`]
/// reports the unknown fields.
pub struct ObjectReader<'value> {
    path: String,
    value: &'value JsonValue,
    known: BTreeSet<&'static str>,
}

impl<'value> ObjectReader<'value> {
    /// Returns a reader of the value at this path. Adds an error and returns `None` if it is not an object.
    pub fn new(
        path: impl Into<String>,
        value: &'value JsonValue,
        errors: &mut Vec<FormError>,
    ) -> Option<Self> {
        let path = path.into();
        if !value.is_object() {
            errors.push(FormError::new(path, FormErrorReason::NotAnObject));
            return None;
        }
        Some(Self {
            path,
            value,
            known: BTreeSet::new(),
        })
    }

    /// Returns the path of a field from the root of the body.
    pub fn field(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn error(&self, name: &str, reason: FormErrorReason) -> FormError {
        FormError::new(self.field(name), reason)
    }

    /// Returns a field of any type, or `None` if it is absent or null.
    pub fn get(&mut self, name: &'static str) -> Option<&'value JsonValue> {
        self.known.insert(name);
        let value = &self.value[name];
        (!value.is_null()).then_some(value)
    }

    /// Reads an optional string.
    pub fn text(&mut self, name: &'static str, errors: &mut Vec<FormError>) -> Option<String> {
        let value = self.get(name)?;
        let text = value.as_str();
        if text.is_none() {
            errors.push(self.error(name, FormErrorReason::NotAString));
        }
        text.map(str::to_string)
    }

    /// Reads a required string.
    pub fn required_text(&mut self, name: &'static str, errors: &mut Vec<FormError>) -> String {
        if self.get(name).is_none() {
            errors.push(self.error(name, FormErrorReason::Missing));
        }
        self.text(name, errors).unwrap_or_default()
    }

    /// Reads an optional integer.
    pub fn number(&mut self, name: &'static str, errors: &mut Vec<FormError>) -> Option<u64> {
        let value = self.get(name)?;
        let number = value.as_u64();
        if number.is_none() {
            errors.push(self.error(name, FormErrorReason::NotAnInteger));
        }
        number
    }

    /// Reads a 32-bit integer, or returns the default if it is absent.
    pub fn small_number(
        &mut self,
        name: &'static str,
        default: u32,
        errors: &mut Vec<FormError>,
    ) -> u32 {
        match self.number(name, errors).map(u32::try_from) {
            Some(Ok(number)) => number,
            Some(Err(_)) => {
                errors.push(self.error(name, FormErrorReason::TooLarge));
                default
            }
            None => default,
        }
    }

    /// Reads a decimal number and returns it in thousandths. `default` is in whole units.
    pub fn thousandths(
        &mut self,
        name: &'static str,
        default: u32,
        errors: &mut Vec<FormError>,
    ) -> u32 {
        let Some(value) = self.get(name) else {
            return default * 1000;
        };
        match value.as_f64().map(|number| (number * 1000.0).round()) {
            Some(number) if (0.0..=MAX_THOUSANDTHS).contains(&number) => number as u32,
            _ => {
                errors.push(self.error(name, FormErrorReason::NotANumber));
                default * 1000
            }
        }
    }

    /// Reads a duration in milliseconds, or returns the default if it is absent.
    pub fn milliseconds(
        &mut self,
        name: &'static str,
        default: u64,
        errors: &mut Vec<FormError>,
    ) -> Duration {
        Duration::from_millis(self.number(name, errors).unwrap_or(default))
    }

    /// Reads an optional boolean.
    pub fn boolean(&mut self, name: &'static str, errors: &mut Vec<FormError>) -> Option<bool> {
        let value = self.get(name)?;
        let boolean = value.as_bool();
        if boolean.is_none() {
            errors.push(self.error(name, FormErrorReason::NotABoolean));
        }
        boolean
    }

    /// Reads a list, which is empty if the field is absent.
    pub fn list(&mut self, name: &'static str, errors: &mut Vec<FormError>) -> &'value [JsonValue] {
        match self.get(name) {
            None => &[],
            Some(JsonValue::Array(items)) => items,
            Some(_) => {
                errors.push(self.error(name, FormErrorReason::NotAList));
                &[]
            }
        }
    }

    /// Reads a list of strings.
    pub fn texts(&mut self, name: &'static str, errors: &mut Vec<FormError>) -> Vec<String> {
        let mut texts = Vec::new();
        for (index, item) in self.list(name, errors).iter().enumerate() {
            match item.as_str() {
                Some(text) => texts.push(text.to_string()),
                None => {
                    let field = format!("{}[{index}]", self.field(name));
                    errors.push(FormError::new(field, FormErrorReason::NotAString));
                }
            }
        }
        texts
    }

    /// Adds an error for every unknown field.
    pub fn finish(self, errors: &mut Vec<FormError>) {
        for (name, _) in self.value.entries() {
            if !self.known.contains(name) {
                errors.push(self.error(name, FormErrorReason::UnknownField));
            }
        }
    }
}

/// The largest accepted number in thousandths, which fits into 32 bits.
const MAX_THOUSANDTHS: f64 = 4_000_000_000.0;
