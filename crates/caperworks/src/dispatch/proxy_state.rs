//! The state that a proxy has received from its agent, and the checks before a request is sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{NamedRoute, RouteTable};
use crate::dispatch::{Failure, LinkMonitor, Target};
use crate::facts::{Heartbeat, InstanceState};
use crate::feed::Follower;
use crate::identifiers::{InstanceId, NodeId, Region, ServiceName, Version, Zone};
use crate::map_items::{Route, Service, Value};
use crate::messages::{ProxyPosition, ProxyView};
use crate::policy::ProxyPolicy;
use crate::replicated_map::MapName;

/// The state that a proxy last received from its agent.
///
/// The maps and the route table are shared: most updates concern instances, the proxy copies this
/// state for every update, and a configuration may have many thousand items.
#[derive(Debug, Clone, Default)]
pub struct ProxyState {
    /// The number of the last view applied.
    pub last_view: u64,
    /// Until when the agent guarantees that this state is fresh.
    pub fresh_until: Duration,
    /// Until when the reports of the instances count as current.
    pub reports_current_until: Duration,
    /// The position of this proxy among all proxies, if the controllers report it.
    pub position: Option<ProxyPosition>,
    /// Until when the agent attributes missing responses of the controllers to a slow link.
    pub link_slow_until: Duration,
    /// Whether the link of this machine is congested, as measured by the proxy.
    pub link_monitor: Arc<LinkMonitor>,
    pub maps: Arc<Follower>,
    pub table: Arc<RouteTable>,
    pub instances: BTreeMap<InstanceId, Heartbeat>,
    pub by_service: HashMap<ServiceName, Vec<Heartbeat>>,
    /// Instances without a recent heartbeat, which may still respond to requests.
    pub suspected: BTreeSet<InstanceId>,
    pub closed_zones: BTreeSet<Zone>,
    pub regions: BTreeMap<Zone, Region>,
    /// The number of proxies that share the limits of instances, keys and slow start.
    pub proxies: u32,
    /// The agent, and its offset, up to which the instances are current.
    pub agent: NodeId,
    pub instances_offset: u64,
    pub policy: ProxyPolicy,
    /// Instances in reopened zones, with the counter of the last heartbeat before: until the next
    /// heartbeat it is unknown whether they are warming up.
    pub maybe_warming_up: BTreeMap<InstanceId, u64>,
    /// When owners of keys were first seen draining.
    pub draining: BTreeMap<InstanceId, Duration>,
}

impl ProxyState {
    /// Applies a view that the agent sent in response to a poll at `polled_at`.
    ///
    /// Older views are ignored: a response that was overtaken on its way contains instances that
    /// have left since, and requests would go to them for as long as the newer response keeps this
    /// proxy fresh.
    pub fn apply_view(&mut self, polled_at: Duration, view: &ProxyView) {
        if view.number <= self.last_view {
            return;
        }
        self.last_view = view.number;
        for updates in &view.updates {
            if Arc::make_mut(&mut self.maps).apply_updates(updates) == Some(MapName::Configuration)
            {
                let configuration = self.maps.map(MapName::Configuration);
                self.table = Arc::new(self.table.updated_to(configuration));
                let closed: BTreeSet<Zone> = configuration
                    .zones()
                    .filter(|(_, zone_settings)| zone_settings.closed)
                    .map(|(zone, _)| zone)
                    .collect();
                let reopened: BTreeSet<Zone> =
                    self.closed_zones.difference(&closed).cloned().collect();
                let affected = self.instances.values();
                let affected = affected.filter(|heartbeat| reopened.contains(&heartbeat.zone));
                self.maybe_warming_up
                    .extend(affected.map(|heartbeat| (heartbeat.id.clone(), heartbeat.counter)));
                self.closed_zones = closed;
                self.regions = configuration
                    .zones()
                    .map(|(zone, zone_settings)| (zone, zone_settings.region.clone()))
                    .collect();
            }
        }
        if view.all_instances {
            self.instances.clear();
            self.suspected.clear();
        }
        if view.all_instances || !view.instances.is_empty() {
            let received = view.instances.iter();
            self.instances
                .extend(received.map(|heartbeat| (heartbeat.id.clone(), heartbeat.clone())));
            for heartbeat in &view.instances {
                self.suspected.remove(&heartbeat.id);
            }
            self.suspected.extend(view.suspected.iter().cloned());
            self.by_service.clear();
            for heartbeat in self.instances.values() {
                self.by_service
                    .entry(heartbeat.service.clone())
                    .or_default()
                    .push(heartbeat.clone());
            }
        }
        let is_draining = |heartbeat: &Heartbeat| heartbeat.state == InstanceState::Draining;
        let instances = &self.instances;
        self.draining
            .retain(|id, _| instances.get(id).is_some_and(is_draining));
        for heartbeat in instances
            .values()
            .filter(|heartbeat| is_draining(heartbeat))
        {
            self.draining
                .entry(heartbeat.id.clone())
                .or_insert(polled_at);
        }
        self.agent = view.agent;
        self.instances_offset = view.instances_offset;
        self.proxies = view.proxies.max(1);
        self.position = view.position;
        let reports_left = view.reports_left.unwrap_or(view.left);
        self.reports_current_until = self.reports_current_until.max(polled_at + reports_left);
        let instances = &self.instances;
        self.maybe_warming_up.retain(|id, counter| {
            instances
                .get(id)
                .is_some_and(|heartbeat| heartbeat.counter <= *counter)
        });
        // Both maps must be current: a fresh proxy acts on at least what the agent held when it
        // sent the view.
        self.link_slow_until = polled_at + view.slow_link_remaining;
        let is_caught_up = self.maps.map(MapName::Configuration).version >= view.configuration
            && self.maps.map(MapName::Ownership).version >= view.ownership;
        if is_caught_up {
            self.fresh_until = self.fresh_until.max(polled_at + view.left);
        }
    }

    /// Returns the settings of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        match &self
            .maps
            .map(MapName::Configuration)
            .items
            .get(&format!("pool/{name}"))?
            .value
        {
            Value::Service { service } => Some(service),
            _ => None,
        }
    }

    /// Returns whether the instance may be warming up.
    pub(crate) fn is_warming_up(&self, heartbeat: &Heartbeat, service: &Service) -> bool {
        heartbeat.is_warming_up(service.warm_up_period)
            || self.maybe_warming_up.contains_key(&heartbeat.id)
    }

    /// Returns whether keys may still go to an owner that may be draining.
    pub(crate) fn owner_serves(&self, now: Duration, heartbeat: &Heartbeat) -> bool {
        if heartbeat.state != InstanceState::Draining {
            return true;
        }
        let since = self.draining.get(&heartbeat.id);
        since.is_some_and(|since| now < *since + self.policy.draining_owner)
    }

    /// Returns whether the proxy may act on this state.
    ///
    /// Over a slow link even a proxy that serves stale may not: only a partitioned proxy may use an
    /// old configuration, while one that receives updates late has to follow them in time.
    pub fn is_usable(&self, now: Duration) -> bool {
        let has_configuration = self.maps.map(MapName::Configuration).version > Version(0);
        let is_partitioned = now >= self.link_slow_until && !self.link_monitor.is_congested(now);
        now < self.fresh_until || (self.policy.serves_stale && has_configuration && is_partitioned)
    }

    /// Returns the route for a host and path.
    pub fn find(&self, now: Duration, host: &str, path: &str) -> Result<NamedRoute, Failure> {
        // A stale proxy does not respond "no route": the route may have been added since its last
        // update.
        let failure = if !self.is_usable(now) {
            Failure::Stale
        } else {
            Failure::NoRoute
        };
        self.table.find(host, path).cloned().ok_or(failure)
    }

    /// Returns an error if this proxy may not handle requests of the route now.
    pub fn check_admission(
        &self,
        now: Duration,
        own_zone: &Zone,
        route: &Route,
    ) -> Result<(), Failure> {
        if !self.is_usable(now) {
            return Err(Failure::Stale);
        }
        if self.closed_zones.contains(own_zone) && !self.policy.closed_zone_forwards {
            return Err(Failure::ZoneClosed);
        }
        if !self.policy.forwards_to_home && !route.allows_region(self.regions.get(own_zone)) {
            return Err(Failure::OutsideHomeRegion);
        }
        Ok(())
    }

    /// Checks right before the first byte is sent that the request may still go to the target.
    pub fn check_before_send(
        &self,
        now: Duration,
        own_zone: &Zone,
        route: &Route,
        target: &Target,
    ) -> Result<(), Failure> {
        self.check_admission(now, own_zone, route)?;
        let is_current = self
            .instances
            .get(&target.instance)
            .is_some_and(|heartbeat| {
                heartbeat.incarnation == target.incarnation
                    && heartbeat.address == target.address
                    && (heartbeat.state != InstanceState::Draining
                        || (target.key_range.is_some() && self.owner_serves(now, heartbeat)))
            });
        if !is_current || self.closed_zones.contains(&target.zone) {
            return Err(Failure::NoInstance);
        }
        if let Some((key_range, epoch)) = target.key_range {
            let is_owner = self
                .maps
                .map(MapName::Ownership)
                .key_ranges(&target.service)
                .and_then(|table| table.owners.get(key_range as usize)?.as_ref())
                .is_some_and(|owner| owner.epoch == epoch && owner.instance == target.instance);
            if !is_owner {
                return Err(Failure::NoOwner);
            }
        }
        Ok(())
    }
}
