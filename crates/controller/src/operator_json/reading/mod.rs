//! Reading of the operators' JSON, with one module for each kind of value.
//!
//! A reader continues after an error, so that one response reports all of them. The value that it returns for
//! a faulty field does not matter: nothing is applied if there was any error.

pub mod change_set;
pub mod fallback_members;
pub mod object_reader;
pub mod repeated_fields;
pub mod route;
pub mod service;
pub mod zone;
