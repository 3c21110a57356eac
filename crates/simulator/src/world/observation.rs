//! What the observers are shown of the world.

use std::time::Duration;

use crate::observers::attempts::ReceivedAttempt;
use crate::world::events::ScheduledEvent;
use crate::world::nodes::Process;
use crate::world::World;
use caperworks::dispatch::Target;
use caperworks::identifiers::{InstanceId, Region, ServiceName, Version};
use caperworks::map_items::{Route, Service};
use caperworks::replicated_map::MapName;

/// Time after which every proxy must limit its requests to an instance that begins to warm up: as long as earlier
/// reports count as current, and a poll of the agent.
const WARM_UP_NOTICE: Duration = Duration::from_millis(1500);

impl World {
    pub(super) fn record_received_attempt(
        &mut self,
        index: usize,
        request: u64,
        proxy: usize,
        route: &Route,
        target: &Target,
        configuration: Version,
    ) {
        let local = self.local_time(index);
        let Some(Process::Instance(instance)) = &self.nodes[index].process else {
            return;
        };
        let heartbeat = &instance.current_heartbeat(local);
        let Some(configured) = self
            .scenario
            .services
            .iter()
            .find(|service| service.name == heartbeat.service.as_str())
        else {
            return;
        };
        let service = Service {
            keyed: configured.service["keyed"].as_bool().unwrap_or(false),
            key_ranges: 64,
            instance_cap: 64,
            key_cap: 8,
            slow_start_rate_milli: configured.service["gentle_per_second"]
                .as_u32()
                .unwrap_or(6)
                * 1000,
            warm_up_period: Duration::from_millis(
                configured.service["warm_ms"].as_u64().unwrap_or(5000),
            ),
            ..Service::default()
        };
        let has_begun_lately = local < instance.warm_up.since + WARM_UP_NOTICE;
        let is_warming_up =
            local < service.warm_up_period || (local < instance.warm_up.until && !has_begun_lately);
        let unknown_region = Region::new("");
        let proxy_zone = self.nodes[proxy].zone.clone();
        // The scenario's route is used, since a broken proxy may hold a different one.
        let true_route = self
            .scenario
            .routes
            .members()
            .find(|known| known["rule"]["path"].as_str() == Some(&route.path))
            .map_or_else(
                || route.clone(),
                |known| Route {
                    homes: known["rule"]["home"]
                        .as_str()
                        .map(Region::new)
                        .into_iter()
                        .collect(),
                    ..route.clone()
                },
            );
        let received = ReceivedAttempt {
            request,
            instance: heartbeat,
            is_warming_up,
            is_addressee: target.instance == instance.id
                && target.incarnation == instance.incarnation,
            service: &service,
            route: &true_route,
            region: self.regions.get(&heartbeat.zone).unwrap_or(&unknown_region),
            proxy_zone: &proxy_zone,
            proxy_region: self.regions.get(&proxy_zone).unwrap_or(&unknown_region),
            configuration,
            must_follow: self.must_follow(proxy),
        };
        self.observers.attempt_received(self.now, &received);
    }

    pub(super) fn observe(&mut self) {
        self.schedule(
            self.now + super::OBSERVATION_INTERVAL,
            ScheduledEvent::Observe,
        );
        self.record_reachability();
        self.check_lag();
        let mut live: Vec<(&ServiceName, &InstanceId, Vec<u32>, Duration)> = Vec::new();
        for index in 0..self.nodes.len() {
            if let Some(Process::Instance(instance)) = &self.nodes[index].process {
                let local = self.local_time(index);
                let (key_ranges, longest) = instance.held_leases.valid_leases(local);
                if !key_ranges.is_empty() {
                    live.push((&instance.service, &instance.id, key_ranges, longest));
                }
            }
        }
        let now = self.now;
        self.observers.check_leases(now, &live);
        for node in &self.nodes {
            if let Some(Process::Controller(machine)) = &node.process {
                let map = machine.state.map(MapName::Configuration);
                self.observers.check_map(now, &node.name, map);
            }
        }
    }

    pub(super) fn check_final_state(&mut self) {
        let mut maps = Vec::new();
        let mut highest = Version(0);
        for node in &self.nodes {
            if let Some(Process::Controller(machine)) = &node.process {
                let map = machine.state.map(MapName::Configuration).clone();
                highest = highest.max(map.version);
                maps.push((node.name.clone(), map));
            }
        }
        for (name, map) in maps {
            // Only the newest map is checked: a controller that was partitioned until the end may
            // be behind, and it answers no reads while it is.
            if map.version == highest {
                self.observers.check_final_state(self.now, &name, &map);
            }
        }
    }
}
