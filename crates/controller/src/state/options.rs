//! The options that a controller is started with.

use std::net::SocketAddr;

use crate::fault_injection::FaultInjection;
use caperworks::consensus::proposer::ProposerOptions;
use caperworks::identifiers::Zone;
use caperworks::policy::CorePolicy;

/// The default capacity of a slot, in bytes.
const DEFAULT_SLOT_BYTES: u64 = 16 * 1024 * 1024;
/// The default capacity of the log, in bytes.
const DEFAULT_LOG_BYTES: u64 = 8 * 1024 * 1024;

/// Options of a controller.
#[derive(Debug, Clone)]
pub struct ControllerOptions {
    /// The address at which other nodes reach this controller.
    pub control: SocketAddr,
    /// The failure domain that it runs in.
    pub zone: Zone,
    /// The addresses of the initial controllers, in the same order on all of them.
    pub seeds: Vec<SocketAddr>,
    /// The capacity of each of the two slots on disk, in bytes.
    pub slot_capacity: u64,
    /// The capacity of the log between two slots, in bytes.
    pub log_capacity: u64,
    /// Timeouts and limits of proposals.
    pub proposer: ProposerOptions,
    /// The policy set by the operators.
    pub core: CorePolicy,
    /// The safeguard that a test disables.
    pub fault_injection: FaultInjection,
}

impl ControllerOptions {
    /// Returns options with the default policy and disk capacity.
    pub fn new(control: SocketAddr, zone: Zone, seeds: Vec<SocketAddr>) -> Self {
        Self {
            control,
            zone,
            seeds,
            slot_capacity: DEFAULT_SLOT_BYTES,
            log_capacity: DEFAULT_LOG_BYTES,
            proposer: ProposerOptions::default(),
            core: CorePolicy::default(),
            fault_injection: FaultInjection::None,
        }
    }

    /// Sets the operators' policy.
    pub fn core(mut self, core: CorePolicy) -> Self {
        self.proposer.synced_controllers = core.synced_controllers;
        self.core = core;
        self
    }

    /// Sets the disk capacity, in bytes.
    pub fn disk_capacity(mut self, slot_capacity: u64, log_capacity: u64) -> Self {
        self.slot_capacity = slot_capacity;
        self.log_capacity = log_capacity;
        self
    }
}
