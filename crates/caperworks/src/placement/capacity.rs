//! Capacity: the sites that may be used, and what the proxies and the instances there can carry.

use std::collections::{BTreeMap, BTreeSet};

use crate::facts::InstanceState;
use crate::identifiers::{ServiceName, Zone};
use crate::placement::problem::ProblemView;

/// A zone with the capacity that one route may use there.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    /// The zone.
    pub zone: Zone,
    /// Units that the proxies there and the instances behind them can carry without help from other
    /// zones.
    pub capacity: u32,
    /// Units that the proxies there can carry when instances of other zones help.
    pub proxy_capacity: u32,
}

/// Returns the capacity of the ready proxies by zone. Zones that are closed, or have no ready proxy
/// because all have crashed or are draining, are left out.
pub(super) fn open_sites(view: &ProblemView<'_>) -> BTreeMap<Zone, u32> {
    let closed: BTreeSet<Zone> = view
        .configuration
        .zones()
        .filter(|(_, settings)| settings.closed)
        .map(|(zone, _)| zone)
        .collect();
    let mut sites: BTreeMap<Zone, u32> = BTreeMap::new();
    for proxy in view.members.ready_proxies() {
        if !closed.contains(&proxy.zone) {
            *sites.entry(proxy.zone.clone()).or_default() += proxy.capacity;
        }
    }
    sites
}

/// Returns the requests a second that the serving instances can carry, by service and zone.
pub(super) fn instance_capacity(view: &ProblemView<'_>) -> BTreeMap<(ServiceName, Zone), u32> {
    let mut capacity: BTreeMap<(ServiceName, Zone), u32> = BTreeMap::new();
    for heartbeat in view.instances.iter() {
        if heartbeat.state == InstanceState::Serving {
            *capacity
                .entry((heartbeat.service.clone(), heartbeat.zone.clone()))
                .or_default() += heartbeat.capacity * view.requests_per_slot;
        }
    }
    capacity
}
