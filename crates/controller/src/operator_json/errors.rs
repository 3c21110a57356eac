//! Errors in the form of an operator's JSON.

use thiserror::Error;

use caperworks::configuration::Fault;

/// An error in the form of a field.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct FormError {
    /// The path of the field from the root of the body, such as `put[0].rule.host`.
    pub field: String,
    /// What is wrong with the field.
    pub reason: FormErrorReason,
}

impl FormError {
    /// Returns an error for a field.
    pub fn new(field: impl Into<String>, reason: FormErrorReason) -> Self {
        Self {
            field: field.into(),
            reason,
        }
    }
}

impl From<FormError> for Fault {
    fn from(error: FormError) -> Self {
        Self::new(error.field, error.reason.to_string())
    }
}

/// What is wrong with a field. The texts are part of the operators' interface.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FormErrorReason {
    /// The body cannot be parsed.
    #[error("is not valid JSON: {0}")]
    NotJson(jzon::Error),
    /// The value is not an object.
    #[error("must be an object")]
    NotAnObject,
    /// The value is not a string.
    #[error("must be a string")]
    NotAString,
    /// The value is not a list.
    #[error("must be a list")]
    NotAList,
    /// The value is not a boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// The value is not a non-negative integer.
    #[error("must be a non-negative integer")]
    NotAnInteger,
    /// The value is not a non-negative number within the supported range.
    #[error("must be a non-negative number")]
    NotANumber,
    /// The number is larger than the field supports.
    #[error("is too large")]
    TooLarge,
    /// A required field is missing.
    #[error("is missing")]
    Missing,
    /// The field is not known.
    #[error("is not a known field")]
    UnknownField,
    /// No kind of item has this name.
    #[error("must be rule, service or zone")]
    UnknownItemKind,
    /// No kind of request has this name.
    #[error("must be repeatable, once or upload")]
    UnknownRequestKind,
    /// No key space has this name.
    #[error("must be hashed or ranges")]
    UnknownKeySpace,
    /// The ID of a change set is too long.
    #[error("must not be longer than 128 characters")]
    IdTooLong,
    /// The change set changes nothing.
    #[error("the change set is empty")]
    EmptyChangeSet,
    /// The text is not an address of an agent.
    #[error("must be the IP address and control port of an agent")]
    NotAnAgentAddress,
    /// The call names no agent.
    #[error("must name at least one agent")]
    NoAgents,
}
