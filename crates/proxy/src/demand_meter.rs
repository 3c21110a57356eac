//! Measures how much is asked for, by group of clients and route.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use caperworks::facts::Demand;
use caperworks::identifiers::{steady_hash, RouteName};
use caperworks::placement::group_of;
use runtime::http::Peer;
use runtime::locks::locked;

const METER_SHARDS: usize = 8;
/// How long the demand meter looks back.
const METER_SPAN: Duration = Duration::from_secs(4);

#[derive(Default)]
struct Metered {
    /// Requests by second.
    seconds: VecDeque<(u64, u32)>,
    nearest: Duration,
}

#[derive(Default)]
pub struct DemandMeter {
    shards: [Mutex<HashMap<(String, RouteName), Metered>>; METER_SHARDS],
}

impl DemandMeter {
    pub fn measure(&self, now: Duration, far_end: &Peer, route: &RouteName) {
        let group = group_of(far_end.address.ip());
        let shard = (steady_hash(&group) % METER_SHARDS as u64) as usize;
        let mut meter = locked(&self.shards[shard]);
        let metered = meter.entry((group, route.clone())).or_default();
        let second = now.as_secs();
        match metered.seconds.back_mut() {
            Some(last) if last.0 == second => last.1 += 1,
            _ => metered.seconds.push_back((second, 1)),
        }
        let round_trip = far_end.round_trip;
        if !round_trip.is_zero() && (metered.nearest.is_zero() || round_trip < metered.nearest) {
            metered.nearest = round_trip;
        }
    }

    /// What was measured of late: requests a second by group and route, and how far the group is.
    pub fn demand(&self, now: Duration) -> Vec<Demand> {
        let oldest = now.as_secs().saturating_sub(METER_SPAN.as_secs());
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
                        requests: requests.div_ceil(METER_SPAN.as_secs() as u32),
                        locality: metered.nearest,
                    });
                }
                requests > 0
            });
        }
        demand
    }
}
