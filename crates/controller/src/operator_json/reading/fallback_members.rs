//! Reading of a call that removes agents from the fallback members.

use std::net::SocketAddr;

use crate::operator_json::errors::{FormError, FormErrorReason};
use crate::operator_json::reading::object_reader::ObjectReader;

/// Reads the addresses of the agents to remove. Returns all errors in the form if there are any.
pub fn read_removed_agents(text: &str) -> Result<Vec<SocketAddr>, Vec<FormError>> {
    let value = jzon::parse(text)
        .map_err(|error| vec![FormError::new("body", FormErrorReason::NotJson(error))])?;
    let mut errors = Vec::new();
    let mut removed = Vec::new();
    if let Some(mut reader) = ObjectReader::new("", &value, &mut errors) {
        for (index, item) in reader.list("drop", &mut errors).iter().enumerate() {
            match item.as_str().and_then(|text| text.parse().ok()) {
                Some(address) => removed.push(address),
                None => errors.push(FormError::new(
                    format!("drop[{index}]"),
                    FormErrorReason::NotAnAgentAddress,
                )),
            }
        }
        reader.finish(&mut errors);
    }
    if removed.is_empty() && errors.is_empty() {
        errors.push(FormError::new("drop", FormErrorReason::NoAgents));
    }
    if errors.is_empty() {
        Ok(removed)
    } else {
        Err(errors)
    }
}
