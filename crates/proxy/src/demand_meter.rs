//! Measures demand by client group and route.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use caperworks::facts::Demand;
use caperworks::identifiers::{stable_hash, RouteName};
use caperworks::placement::group_of;
use runtime::http::Peer;
use runtime::locks::locked;

const METER_SHARDS: usize = 8;
/// The window over which demand is averaged.
const METER_WINDOW: Duration = Duration::from_secs(4);

#[derive(Default)]
struct MeterEntry {
    /// Request count by second.
    seconds: VecDeque<(u64, u32)>,
    min_round_trip: Duration,
}

/// Counts requests by client group and route, sharded to reduce lock contention.
#[derive(Default)]
pub struct DemandMeter {
    shards: [Mutex<HashMap<(String, RouteName), MeterEntry>>; METER_SHARDS],
}

impl DemandMeter {
    /// Counts one request and its round-trip time.
    pub fn record_request(&self, now: Duration, peer: &Peer, route: &RouteName) {
        let group = group_of(peer.address.ip());
        let shard = (stable_hash(&group) % METER_SHARDS as u64) as usize;
        let mut meter = locked(&self.shards[shard]);
        let metered = meter.entry((group, route.clone())).or_default();
        let second = now.as_secs();
        match metered.seconds.back_mut() {
            Some(last) if last.0 == second => last.1 += 1,
            _ => metered.seconds.push_back((second, 1)),
        }
        let round_trip = peer.round_trip;
        if !round_trip.is_zero()
            && (metered.min_round_trip.is_zero() || round_trip < metered.min_round_trip)
        {
            metered.min_round_trip = round_trip;
        }
    }

    /// Returns the recent demand: requests per second by client group and route, and the shortest
    /// round-trip time to the group.
    pub fn demand(&self, now: Duration) -> Vec<Demand> {
        let oldest = now.as_secs().saturating_sub(METER_WINDOW.as_secs());
        let mut demand = Vec::new();
        for shard in &self.shards {
            let mut meter = locked(shard);
            meter.retain(|(group, route), metered| {
                while metered
                    .seconds
                    .front()
                    .is_some_and(|first| first.0 < oldest)
                {
                    metered.seconds.pop_front();
                }
                let requests: u32 = metered.seconds.iter().map(|second| second.1).sum();
                if requests > 0 {
                    demand.push(Demand {
                        group: group.clone(),
                        route: route.clone(),
                        requests: requests.div_ceil(METER_WINDOW.as_secs() as u32),
                        distance: metered.min_round_trip,
                    });
                }
                requests > 0
            });
        }
        demand
    }
}
