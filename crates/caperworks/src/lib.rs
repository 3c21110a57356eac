//! Coordination components for a fleet of many small processes, as state machines without I/O.
//!
//! Every state machine takes inputs (a received message, elapsed time, a completed disk sync) and
//! returns the messages, writes and responses to perform. Time, randomness, disk and network are
//! provided by the caller, so the same code runs in the daemons and in the deterministic simulator.

#[macro_use]
pub mod identifiers;

pub mod catch_up;
pub mod change_check;
pub mod configuration;
pub mod consensus;
pub mod deregistrations;
pub mod directory_responses;
pub mod disk_frame;
pub mod dispatch;
pub mod envelope_clock;
pub mod facts;
pub mod feed;
pub mod home_bounds;
pub mod instances;
pub mod leadership;
pub mod leases;
pub mod link;
pub mod link_figures;
pub mod map_items;
pub mod members;
pub mod messages;
pub mod old_disk_format;
pub mod ownership;
pub mod partition_fallback;
pub mod placement;
pub mod policy;
pub mod poll_pacer;
pub mod reduced_map;
pub mod replicated_map;
pub mod rtt_estimator;
pub mod shared_items;
pub mod slots;
pub mod version_history;
