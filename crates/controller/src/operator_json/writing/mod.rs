//! Writing of the operators' JSON, with one module for each kind of response.

pub mod changes;
pub mod items;
pub mod outcome;
pub mod status;
