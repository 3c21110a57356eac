//! What the observers are shown of the world.

use std::time::Duration;

use crate::observers::attempts::Reached;
use crate::world::events::Due;
use crate::world::nodes::Body;
use crate::world::World;
use caperworks::identifiers::{InstanceId, Region, ServiceName, Version};
use caperworks::map_items::{Route, Service};
use caperworks::replicated_map::MapName;

impl World {
    pub(super) fn record_reached(
        &mut self,
        index: usize,
        request: u64,
        proxy: usize,
        route: &Route,
        configuration: Version,
    ) {
        let local = self.local(index);
        let Some(Body::Instance(instance)) = &self.nodes[index].body else {
            return;
        };
        let heartbeat = &instance.says(local);
        let Some(plan) = self
            .scenario
            .services
            .iter()
            .find(|service| service.name == heartbeat.service.as_str())
        else {
            return;
        };
        let service = Service {
            keyed: plan.service["keyed"].as_bool().unwrap_or(false),
            key_ranges: 64,
            instance_cap: 64,
            key_cap: 8,
            slow_start_rate_milli: plan.service["gentle_per_second"].as_u32().unwrap_or(6) * 1000,
            warm_up_period: Duration::from_millis(plan.service["warm_ms"].as_u64().unwrap_or(5000)),
            ..Service::default()
        };
        let nowhere = Region::new("");
        let proxy_zone = self.nodes[proxy].zone.clone();
        // Why the true route: a broken proxy may have another idea of it.
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
        let reached = Reached {
            request,
            instance: heartbeat,
            cold: heartbeat.is_warming_up(service.warm_up_period),
            service: &service,
            route: &true_route,
            region: self.regions.get(&heartbeat.zone).unwrap_or(&nowhere),
            proxy_zone: &proxy_zone,
            proxy_region: self.regions.get(&proxy_zone).unwrap_or(&nowhere),
            configuration,
            follows: self.must_follow(proxy),
        };
        self.observers.reached(self.now, &reached);
    }

    pub(super) fn observe(&mut self) {
        self.push(self.now + super::OBSERVE_PERIOD, Due::Observe);
        self.record_touch();
        self.judge_lag();
        let mut live: Vec<(&ServiceName, &InstanceId, Vec<u32>, Duration)> = Vec::new();
        for index in 0..self.nodes.len() {
            if let Some(Body::Instance(instance)) = &self.nodes[index].body {
                let local = self.local(index);
                let (key_ranges, longest) = instance.held_leases.valid_leases(local);
                if !key_ranges.is_empty() {
                    live.push((&instance.service, &instance.id, key_ranges, longest));
                }
            }
        }
        let now = self.now;
        self.observers.held_leases(now, &live);
        for node in &self.nodes {
            if let Some(Body::Controller(machine)) = &node.body {
                let map = machine.state.map(MapName::Configuration);
                self.observers.held_map(now, &node.name, map);
            }
        }
    }

    pub(super) fn read_back(&mut self) {
        let mut maps = Vec::new();
        let mut highest = Version(0);
        for node in &self.nodes {
            if let Some(Body::Controller(machine)) = &node.body {
                let map = machine.state.map(MapName::Configuration).clone();
                highest = highest.max(map.version);
                maps.push((node.name.clone(), map));
            }
        }
        for (name, map) in maps {
            // Why only the newest: a controller that was cut off to the end may be behind, and it
            // does not answer reads for as long as it is.
            if map.version == highest {
                self.observers.read_back(self.now, &name, &map);
            }
        }
    }
}
