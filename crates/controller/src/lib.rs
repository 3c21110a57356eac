//! The controller: the control plane process of caperworks. It agrees with its peers on the replicated maps,
//! grants leases to followers, takes leadership roles, and serves operators and instances.
//!
//! [`state_machine`] handles inputs and returns outputs without any I/O; [`state`] is its state. Inputs go to
//! modules with one concern each: [`consensus`], [`leadership`], [`renewal`] (leases of followers),
//! [`fact_exchange`] (instances and members among controllers), [`agents`] (fallback members, and the versions
//! that agents have), [`instance_calls`], [`deregistrations`], [`operator_calls`] and [`reads`]. [`daemon`] runs the state machine
//! as a process, and [`operator_json`] reads and writes the JSON of the operators' API.

#![warn(missing_docs)]

pub mod agents;
pub mod consensus;
pub mod daemon;
pub mod deregistrations;
pub mod fact_exchange;
pub mod fault_injection;
pub mod instance_calls;
pub mod leadership;
pub mod operator_calls;
pub mod operator_json;
pub mod reads;
pub mod renewal;
pub mod state;
pub mod state_machine;
