//! Shared support for tests with controllers in memory.

pub mod controllers;
