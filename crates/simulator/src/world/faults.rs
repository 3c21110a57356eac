//! Fault injection: applies a day's faults to the nodes and the network.

use crate::network::Network;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::actors::instance::{SimInstance, WarmUp};
use crate::day::{FaultAction, FaultStep};
use crate::network::MessageFault;
use crate::world::events::ScheduledEvent;
use crate::world::nodes::{Node, Process};
use crate::world::World;
use caperworks::identifiers::Zone;

impl World {
    /// Applies a fault.
    pub fn apply_fault(&mut self, fault: &FaultStep) {
        let nodes = self.targets(&fault.target);
        self.record_fault(fault, &nodes);
        match &fault.action {
            FaultAction::Kill => {
                self.on_each(&nodes, |world, index| world.end_process(index, false))
            }
            FaultAction::Stop => self.on_each(&nodes, Self::stop),
            FaultAction::PowerOff => {
                self.on_each(&nodes, |world, index| world.end_process(index, true))
            }
            FaultAction::Start => self.on_each(&nodes, Self::start),
            FaultAction::LoseDisk => self.on_each(&nodes, Self::lose_disk),
            FaultAction::MoveToNewAddress => self.on_each(&nodes, Self::move_to_new_address),
            FaultAction::AddNode => self.on_each(&nodes, Self::add_empty_node),
            FaultAction::LosePermanently => self.on_each(&nodes, Self::lose_permanently),
            FaultAction::ReuseAddress { service } => {
                self.on_each(&nodes, |world, index| world.reuse_address(index, service));
            }
            FaultAction::Freeze => self.on_each(&nodes, Self::freeze),
            FaultAction::Unfreeze => self.on_each(&nodes, Self::unfreeze),
            FaultAction::JumpClock(by) => self.on_nodes(&nodes, |node| node.wall_offset += by),
            FaultAction::FailDiskWrites => {
                self.on_nodes(&nodes, |node| node.disk.fails_writes = true)
            }
            FaultAction::RepairDisk => self.on_nodes(&nodes, |node| node.disk.fails_writes = false),
            FaultAction::Drain => self.on_instances(&nodes, SimInstance::start_draining),
            FaultAction::WarmUp(duration) => {
                self.on_each(&nodes, |world, index| world.start_warm_up(index, *duration));
            }
            FaultAction::Deregister {
                serves_on,
                late_heartbeat,
            } => {
                if let Some(delay) = late_heartbeat {
                    self.on_each(&nodes, |world, index| world.delay_heartbeat(index, *delay));
                }
                self.on_instances(&nodes, |instance| {
                    instance.start_deregistration(*serves_on);
                });
            }
            FaultAction::LoseResponses(count) => {
                self.on_instances(&nodes, |instance| instance.responses_to_lose = *count);
            }
            FaultAction::SendMalformedResponses(count) => {
                self.on_instances(&nodes, |instance| {
                    instance.malformed_responses_to_send = *count
                });
            }
            FaultAction::RejectRequests(count) => {
                self.on_instances(&nodes, |instance| instance.requests_to_reject = *count);
            }
            FaultAction::Partition { one_way } => self.partition_nodes(&nodes, *one_way),
            FaultAction::PartitionInbound => self.partition_inbound(&nodes),
            FaultAction::PartitionBetween { other } => self.partition_between(&nodes, other),
            FaultAction::DelayAndDuplicate {
                max_delay,
                duplicated_per_thousand,
            } => self.network.message_faults.push(MessageFault {
                nodes: nodes.into_iter().collect(),
                max_delay: *max_delay,
                duplicated_per_thousand: *duplicated_per_thousand,
            }),
            FaultAction::LimitBandwidth { bytes_per_second } => {
                self.on_links(&nodes, |network, index| {
                    network.limit_bandwidth(index, *bytes_per_second)
                });
            }
            FaultAction::LoadLink(link_load) => {
                self.on_links(&nodes, |network, index| {
                    network.apply_load(index, link_load)
                });
            }
            FaultAction::IsolateVoter => self.network.isolated_voters.extend(nodes),
            FaultAction::BlockInboundConsensus => {
                self.network.inbound_consensus_blocked.extend(nodes)
            }
            FaultAction::HealNetwork => self.network.heal(),
            FaultAction::SlowInstances(times) => {
                self.observers.load_started(self.now);
                self.on_each(&nodes, |world, index| world.set_slowdown(index, *times));
            }
            FaultAction::HotKey(per_second) => self.start_hot_key(&fault.target, *per_second),
            FaultAction::Surge(percent) => {
                self.observers.load_started(self.now);
                self.surge_percent = u64::from(*percent);
            }
            FaultAction::EndLoad => self.end_load(),
            FaultAction::CloseZone => self.set_zone_closed(&fault.target, true),
            FaultAction::OpenZone => {
                self.observers.zone_reopened(&Zone::new(&fault.target));
                self.set_zone_closed(&fault.target, false);
            }
        }
    }

    /// Reports to the observers a major fault, and one that hits the owner manager's controller.
    fn record_fault(&mut self, fault: &FaultStep, nodes: &[usize]) {
        if fault.is_major {
            let next = self.day.next_disruption(self.now);
            self.observers
                .major_fault(self.now, fault.blocks_keyed_traffic, next);
        }
        let stops_controller = matches!(
            fault.action,
            FaultAction::Kill
                | FaultAction::LoseDisk
                | FaultAction::PowerOff
                | FaultAction::Freeze
                | FaultAction::MoveToNewAddress
                | FaultAction::Partition { one_way: false }
        );
        if stops_controller && nodes.iter().any(|index| self.is_owner_manager(*index)) {
            self.observers.owner_manager_lost(self.now);
        }
    }

    fn on_each(&mut self, nodes: &[usize], mut apply: impl FnMut(&mut Self, usize)) {
        for index in nodes {
            apply(self, *index);
        }
    }

    fn on_nodes(&mut self, nodes: &[usize], mut apply: impl FnMut(&mut Node)) {
        for index in nodes {
            apply(&mut self.nodes[*index]);
        }
    }

    fn on_instances(&mut self, nodes: &[usize], mut apply: impl FnMut(&mut SimInstance)) {
        for index in nodes {
            if let Some(Process::Instance(instance)) = &mut self.nodes[*index].process {
                apply(instance);
            }
        }
    }

    /// Changes the links of these nodes; the first change starts the periodic transmission on
    /// links.
    fn on_links(&mut self, nodes: &[usize], mut apply: impl FnMut(&mut Network, usize)) {
        let had_none = self.network.limited_links.is_empty();
        for index in nodes {
            apply(&mut self.network, *index);
        }
        if had_none && !nodes.is_empty() {
            self.schedule(self.now, ScheduledEvent::AdvanceLinks);
        }
    }

    fn freeze(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.frozen && node.process.is_some() {
            node.frozen = true;
            node.frozen_at = self.now;
        }
    }

    fn unfreeze(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.frozen {
            node.frozen_time += self.now.saturating_sub(node.frozen_at);
        }
        node.frozen = false;
        for event in std::mem::take(&mut self.nodes[index].backlog) {
            self.handle_event(index, event);
        }
    }

    /// Returns both sides of a partition: these nodes, and all others.
    fn split_nodes(&self, nodes: &[usize]) -> (BTreeSet<usize>, BTreeSet<usize>) {
        let inside: BTreeSet<usize> = nodes.iter().copied().collect();
        let outside = (0..self.nodes.len())
            .filter(|index| !inside.contains(index))
            .collect();
        (inside, outside)
    }

    fn partition_nodes(&mut self, nodes: &[usize], one_way: bool) {
        let (inside, outside) = self.split_nodes(nodes);
        self.network.block(&inside, &outside);
        if !one_way {
            self.network.block(&outside, &inside);
        }
    }

    fn partition_inbound(&mut self, nodes: &[usize]) {
        let (inside, outside) = self.split_nodes(nodes);
        self.network.block(&outside, &inside);
    }

    fn partition_between(&mut self, nodes: &[usize], other: &str) {
        let one: BTreeSet<usize> = nodes.iter().copied().collect();
        let other: BTreeSet<usize> = self.targets(other).into_iter().collect();
        self.network.block(&one, &other);
        self.network.block(&other, &one);
    }

    /// Starts a hot key: many additional requests per second for one key of a service.
    fn start_hot_key(&mut self, service: &str, per_second: u32) {
        self.observers.load_started(self.now);
        let routes = &self.scenario.routes;
        let kind = self.scenario.traffic.iter().position(|traffic| {
            let path = traffic.path.as_str();
            let route = routes
                .members()
                .find(|route| route["rule"]["path"].as_str() == Some(path));
            route.is_some_and(|route| route["rule"]["pool"] == service)
        });
        let idle = self.hot_key.is_none();
        self.hot_key = kind.map(|kind| (kind, per_second));
        if idle {
            self.schedule(self.now, ScheduledEvent::HotKeyTraffic);
        }
    }

    /// Ends hot keys, surges and slowdowns.
    fn end_load(&mut self) {
        self.observers
            .load_ended(self.now, self.day.min_kept_percent);
        self.hot_key = None;
        self.surge_percent = 100;
        for index in 0..self.nodes.len() {
            self.set_slowdown(index, 1);
        }
    }

    fn start_warm_up(&mut self, index: usize, duration: Duration) {
        let since = self.local_time(index);
        let until = since + duration;
        if let Some(Process::Instance(instance)) = &mut self.nodes[index].process {
            instance.start_warm_up(WarmUp { since, until });
        }
    }

    fn set_slowdown(&mut self, index: usize, times: u32) {
        self.nodes[index].slowdown = times;
        if let Some(Process::Instance(instance)) = &mut self.nodes[index].process {
            instance.slowdown = times;
        }
    }
}
