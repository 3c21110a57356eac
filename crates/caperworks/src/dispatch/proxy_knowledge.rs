//! What a proxy knows of the world, and the last check before a byte is sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{NamedRoute, RouteTable};
use crate::dispatch::{Failure, LinkWatch, Target};
use crate::facts::{Heartbeat, InstanceState};
use crate::feed::Follower;
use crate::identifiers::{InstanceId, NodeId, Region, ServiceName, Version, Zone};
use crate::map_items::{Route, Service, Value};
use crate::messages::ProxyView;
use crate::policy::ProxyPolicy;
use crate::replicated_map::MapName;

/// What a proxy knows of the world, as its agent last told it.
///
/// Why the maps and the table are shared: most news is of instances, and a proxy copies its
/// knowledge for every piece of news; the configuration may be many thousand.
#[derive(Debug, Clone, Default)]
pub struct ProxyKnowledge {
    /// The number of the last answer taken.
    pub last_view: u64,
    pub fresh_until: Duration,
    /// Until when the agent takes the core's silence for a slow link.
    pub link_slow_until: Duration,
    /// Whether this machine's own link is full, as the proxy sees it.
    pub link_watch: Arc<LinkWatch>,
    pub maps: Arc<Follower>,
    pub table: Arc<RouteTable>,
    pub instances: BTreeMap<InstanceId, Heartbeat>,
    pub by_service: HashMap<ServiceName, Vec<Heartbeat>>,
    /// Instances whose heartbeats have stayed away for their span, though they may still answer.
    pub silent: BTreeSet<InstanceId>,
    pub closed: BTreeSet<Zone>,
    pub regions: BTreeMap<Zone, Region>,
    pub proxies: u32,
    /// Up to which place of which agent the instances are held.
    pub agent: NodeId,
    pub instances_offset: u64,
    pub policy: ProxyPolicy,
    /// Instances of zones that were taken back, with the last heartbeat heard before: nobody knows yet
    /// whether they turned cold.
    pub doubtful: BTreeMap<InstanceId, u64>,
    /// When owners of keys were first heard to leave.
    pub draining: BTreeMap<InstanceId, Duration>,
}

impl ProxyKnowledge {
    /// Takes what the agent told in answer to a question asked at `asked_at`.
    ///
    /// Why only news: an answer that was overtaken on its way tells of instances that have left
    /// since, and would be acted on for as long as the newer one keeps this proxy fresh.
    pub fn take(&mut self, asked_at: Duration, view: &ProxyView) {
        if view.number <= self.last_view {
            return;
        }
        self.last_view = view.number;
        for updates in &view.updates {
            if Arc::make_mut(&mut self.maps).take(updates) == Some(MapName::Configuration) {
                let configuration = self.maps.map(MapName::Configuration);
                self.table = Arc::new(self.table.after(configuration));
                let closed: BTreeSet<Zone> = configuration
                    .zones()
                    .filter(|(_, request)| request.closed)
                    .map(|(zone, _)| zone)
                    .collect();
                let reopened: BTreeSet<Zone> = self.closed.difference(&closed).cloned().collect();
                let doubtful = self.instances.values();
                let doubtful = doubtful.filter(|heartbeat| reopened.contains(&heartbeat.zone));
                self.doubtful
                    .extend(doubtful.map(|heartbeat| (heartbeat.id.clone(), heartbeat.counter)));
                self.closed = closed;
                self.regions = configuration
                    .zones()
                    .map(|(zone, request)| (zone, request.region.clone()))
                    .collect();
            }
        }
        if view.all_instances {
            self.instances.clear();
            self.silent.clear();
        }
        if view.all_instances || !view.instances.is_empty() {
            let reported = view.instances.iter();
            self.instances
                .extend(reported.map(|heartbeat| (heartbeat.id.clone(), heartbeat.clone())));
            for heartbeat in &view.instances {
                self.silent.remove(&heartbeat.id);
            }
            self.silent.extend(view.silent.iter().cloned());
            self.by_service.clear();
            for heartbeat in self.instances.values() {
                self.by_service
                    .entry(heartbeat.service.clone())
                    .or_default()
                    .push(heartbeat.clone());
            }
        }
        let leaves = |heartbeat: &Heartbeat| heartbeat.state == InstanceState::Draining;
        let instances = &self.instances;
        self.draining
            .retain(|id, _| instances.get(id).is_some_and(leaves));
        for heartbeat in instances.values().filter(|heartbeat| leaves(heartbeat)) {
            self.draining
                .entry(heartbeat.id.clone())
                .or_insert(asked_at);
        }
        self.agent = view.agent;
        self.instances_offset = view.instances_offset;
        self.proxies = view.proxies.max(1);
        let instances = &self.instances;
        self.doubtful.retain(|id, counter| {
            instances
                .get(id)
                .is_some_and(|heartbeat| heartbeat.counter <= *counter)
        });
        // Why both maps: being fresh means acting on at least what the agent held when it said so.
        self.link_slow_until = asked_at + view.link_slow_for;
        let caught_up = self.maps.map(MapName::Configuration).version >= view.configuration
            && self.maps.map(MapName::Ownership).version >= view.ownership;
        if caught_up {
            self.fresh_until = self.fresh_until.max(asked_at + view.left);
        }
    }

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

    /// Whether an instance may be cold, as far as can be told.
    pub(crate) fn is_warming_up(&self, heartbeat: &Heartbeat, service: &Service) -> bool {
        heartbeat.is_warming_up(service.warm_up_period) || self.doubtful.contains_key(&heartbeat.id)
    }

    /// Whether keys may still go to an owner, though it may be leaving.
    pub(crate) fn owner_serves(&self, now: Duration, heartbeat: &Heartbeat) -> bool {
        if heartbeat.state != InstanceState::Draining {
            return true;
        }
        let since = self.draining.get(&heartbeat.id);
        since.is_some_and(|since| now < *since + self.policy.draining_owner)
    }

    /// Whether what is known here may be acted on.
    ///
    /// Why not over a slow link, even by a proxy that serves on: only a proxy that is cut off may
    /// go by an old configuration; one that the core reaches late has to follow it in time.
    pub fn is_usable(&self, now: Duration) -> bool {
        let known = self.maps.map(MapName::Configuration).version > Version(0);
        let cut_off = now >= self.link_slow_until && !self.link_watch.is_full(now);
        now < self.fresh_until || (self.policy.serves_on && known && cut_off)
    }

    /// The route for a host and path.
    pub fn find(&self, now: Duration, host: &str, path: &str) -> Result<NamedRoute, Failure> {
        // Why not "no route" when stale: a route may have come that we have not heard of.
        let otherwise = if !self.is_usable(now) {
            Failure::Stale
        } else {
            Failure::NoRoute
        };
        self.table.find(host, path).cloned().ok_or(otherwise)
    }

    /// Whether this proxy may carry anything for the route now.
    pub fn admits(&self, now: Duration, own_zone: &Zone, route: &Route) -> Result<(), Failure> {
        if !self.is_usable(now) {
            return Err(Failure::Stale);
        }
        if self.closed.contains(own_zone) && !self.policy.closed_zone_carries {
            return Err(Failure::ZoneClosed);
        }
        if !self.policy.carries_home && !route.is_at_home(self.regions.get(own_zone)) {
            return Err(Failure::OutsideHome);
        }
        Ok(())
    }

    /// The last check, at the last moment before the first byte.
    pub fn still_good(
        &self,
        now: Duration,
        own_zone: &Zone,
        route: &Route,
        target: &Target,
    ) -> Result<(), Failure> {
        self.admits(now, own_zone, route)?;
        let is_alive = self
            .instances
            .get(&target.instance)
            .is_some_and(|heartbeat| {
                heartbeat.incarnation == target.incarnation
                    && heartbeat.address == target.address
                    && (heartbeat.state != InstanceState::Draining
                        || (target.key_range.is_some() && self.owner_serves(now, heartbeat)))
            });
        if !is_alive || self.closed.contains(&target.zone) {
            return Err(Failure::NoInstance);
        }
        if let Some((key_range, epoch)) = target.key_range {
            let holds = self
                .maps
                .map(MapName::Ownership)
                .key_ranges(&target.service)
                .and_then(|table| table.owners.get(key_range as usize)?.as_ref())
                .is_some_and(|owner| owner.epoch == epoch && owner.instance == target.instance);
            if !holds {
                return Err(Failure::NoOwner);
            }
        }
        Ok(())
    }
}
