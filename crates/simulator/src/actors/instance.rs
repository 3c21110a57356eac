//! The instances of the simulated fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slab::Slab;

use caperworks::envelope_clock::Stamp;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{Epoch, Incarnation, InstanceId, ServiceName, Zone};
use caperworks::ownership::HeldLeases;

/// A request that an instance works on.
#[derive(Debug, Clone)]
pub struct Work {
    pub request: u64,
    pub attempt: u32,
    pub proxy: usize,
    pub proxy_incarnation: u64,
    pub key_range: Option<(u32, Epoch)>,
    pub service: ServiceName,
    pub from: Duration,
}

/// A warm-up of an instance that has run for a while, by its own clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmUp {
    pub since: Duration,
    pub until: Duration,
}

/// An announced termination of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Deregistration {
    /// When the next call is due, as long as none was acknowledged.
    pub next_call: Duration,
    /// Whether a controller has acknowledged it.
    pub is_acknowledged: bool,
    /// How long the instance serves on after the acknowledgement.
    pub serves_on: Duration,
}

/// A simulated instance of a service.
pub struct SimInstance {
    pub id: InstanceId,
    pub service: ServiceName,
    pub zone: Zone,
    pub address: SocketAddr,
    pub capacity: u32,
    pub work_time: Duration,
    /// Factor by which its work takes longer than usual.
    pub slowdown: u32,
    pub incarnation: Incarnation,
    pub counter: u64,
    pub draining: bool,
    /// The last time that it began to warm up again.
    pub warm_up: WarmUp,
    /// Its announced termination.
    pub deregistration: Option<Deregistration>,
    pub held_leases: HeldLeases,
    /// The agents or controllers that it sends heartbeats to, and the index of the current one.
    pub heartbeat_targets: Vec<usize>,
    pub current_target: usize,
    pub next_heartbeat: Duration,
    /// When and to which node each heartbeat was sent.
    pub heartbeat_sent: HashMap<u64, (Duration, usize)>,
    /// The last stamp received from each of them, and when it was received.
    pub stamps: HashMap<usize, (Stamp, Duration)>,
    pub work: Slab<Work>,
    /// Number of requests whose responses are lost, malformed, or that are rejected.
    pub responses_to_lose: u32,
    pub malformed_responses_to_send: u32,
    pub requests_to_reject: u32,
    /// Runs every request, whatever its headers say.
    pub skips_checks: bool,
}

impl SimInstance {
    /// Sends the next heartbeats to the next target.
    pub fn use_next_target(&mut self) {
        self.current_target = (self.current_target + 1) % self.heartbeat_targets.len();
    }

    /// Sends the next heartbeats to this node, if it is one of the targets.
    pub fn use_target(&mut self, index: usize) {
        let current_target = self
            .heartbeat_targets
            .iter()
            .position(|target| *target == index);
        self.current_target = current_target.unwrap_or(self.current_target);
    }

    /// Starts draining, and announces it at once.
    pub fn start_draining(&mut self) {
        self.draining = true;
        self.next_heartbeat = Duration::ZERO;
    }

    /// Begins to warm up again, and reports it at once.
    pub fn start_warm_up(&mut self, warm_up: WarmUp) {
        self.warm_up = warm_up;
        self.next_heartbeat = Duration::ZERO;
    }

    /// Announces its termination, and sends no heartbeats any more.
    pub fn start_deregistration(&mut self, serves_on: Duration) {
        self.deregistration.get_or_insert(Deregistration {
            next_call: Duration::ZERO,
            is_acknowledged: false,
            serves_on,
        });
    }

    pub fn heartbeat(&mut self, now: Duration) -> Heartbeat {
        self.counter += 1;
        self.current_heartbeat(now)
    }

    /// Returns the content of a heartbeat at this time.
    pub fn current_heartbeat(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            id: self.id.clone(),
            incarnation: self.incarnation,
            counter: self.counter,
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: self.address,
            capacity: self.capacity,
            state: if self.draining {
                InstanceState::Draining
            } else {
                InstanceState::Serving
            },
            load: self.work.len() as u32,
            uptime: now,
            key_ranges_in_use: self.held_leases.key_ranges_in_use(now),
            released: self.held_leases.released_epochs(),
            warm_up_left: self.warm_up.until.saturating_sub(now),
        }
    }
}
