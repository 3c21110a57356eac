//! The instance of the simulated fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slab::Slab;

use caperworks::envelope_clock::Stamp;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{Epoch, Incarnation, InstanceId, ServiceName, Zone};
use caperworks::ownership::HeldLeases;

/// What an instance works on.
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

pub struct SimInstance {
    pub id: InstanceId,
    pub service: ServiceName,
    pub zone: Zone,
    pub address: SocketAddr,
    pub capacity: u32,
    pub work_span: Duration,
    /// How many times as long as usual its work takes.
    pub slowness: u32,
    pub incarnation: Incarnation,
    pub counter: u64,
    pub draining: bool,
    pub held_leases: HeldLeases,
    /// The agents or controllers that hear its heartbeats, and whose turn it is.
    pub heard_by: Vec<usize>,
    pub turn: usize,
    pub next_heartbeat: Duration,
    /// When each heartbeat was sent, and to whom.
    pub heartbeat_sent: HashMap<u64, (Duration, usize)>,
    /// The last stamp of each that heard it, and since when we have it.
    pub stamps: HashMap<usize, (Stamp, Duration)>,
    pub unheard: u32,
    pub work: Slab<Work>,
    /// Answers lost after the work, garbage sent, for as many requests.
    pub loses_responses: u32,
    pub sends_garbage: u32,
    pub refuses: u32,
    /// Works as if every request were for it, whatever its headers say.
    pub skips_checks: bool,
}

impl SimInstance {
    /// Takes its heartbeats to the next that may hear them.
    pub fn turn_to_next(&mut self) {
        self.turn = (self.turn + 1) % self.heard_by.len();
    }

    /// Takes its heartbeats to the one at this place, if it may.
    pub fn turn_to(&mut self, index: usize) {
        let turn = self.heard_by.iter().position(|hearer| *hearer == index);
        self.turn = turn.unwrap_or(self.turn);
    }

    /// Says from now on that it is leaving, and says it at once.
    pub fn leave(&mut self) {
        self.draining = true;
        self.next_heartbeat = Duration::ZERO;
    }

    pub fn heartbeat(&mut self, now: Duration) -> Heartbeat {
        self.counter += 1;
        self.says(now)
    }

    /// What a heartbeat says now.
    pub fn says(&self, now: Duration) -> Heartbeat {
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
            warm_up_left: Duration::ZERO,
        }
    }
}
