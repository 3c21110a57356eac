//! Executable runbooks: the file format and its validation, and a state machine that runs the steps.

pub mod runbook;
pub mod runner;
