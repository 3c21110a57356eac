//! Which proxies and followers can reach the controllers, judged by the network and the machines'
//! state.

use crate::observers::lag::FollowerLag;
use crate::world::nodes::Process;
use std::time::Duration;

use crate::world::nodes::NodeKind;
use crate::world::World;

/// How long a proxy must have been connected before it has to follow the controllers in time.
const RECONNECT_GRACE: Duration = Duration::from_secs(5);

impl World {
    /// Returns whether this proxy has to apply updates within the required limits.
    pub(super) fn must_follow(&self, proxy: usize) -> bool {
        if !self.day.policy.serves_stale {
            return true;
        }
        let since = self.disconnected_at.get(&proxy);
        since.is_none_or(|since| self.now.saturating_sub(*since) >= RECONNECT_GRACE)
    }

    /// Records the proxies that are not running or have no two-way connection to the controllers.
    pub(super) fn record_reachability(&mut self) {
        if !self.day.policy.serves_stale {
            return;
        }
        let controllers = self.connected_controllers();
        for index in 0..self.nodes.len() {
            let NodeKind::Proxy { agent, .. } = self.nodes[index].kind else {
                continue;
            };
            let is_reachable = self.is_running(index)
                && self.is_running(agent)
                && self.is_connected(index, agent)
                && !controllers.is_empty()
                && controllers
                    .iter()
                    .all(|controller| self.is_connected(agent, *controller));
            if !is_reachable {
                self.disconnected_at.insert(index, self.now);
            }
        }
    }

    /// Reports to the observers each follower that can reach the controllers, with its version and
    /// since when it can.
    pub(super) fn check_lag(&mut self) {
        let Some(max_lag) = self.day.max_lag else {
            return;
        };
        let controllers = self.connected_controllers();
        for index in 0..self.nodes.len() {
            let is_connected = |controller: &usize| self.is_connected(index, *controller);
            let is_open = self.is_running(index)
                && !controllers.is_empty()
                && controllers.iter().all(is_connected);
            let held = match &self.nodes[index].process {
                Some(Process::Agent(machine)) => machine.link().versions()[0],
                _ => continue,
            };
            if !is_open {
                self.path_lost_at.insert(index, self.now);
                continue;
            }
            let lost_at = self.path_lost_at.get(&index).copied().unwrap_or_default();
            let open_since = lost_at.max(self.nodes[index].started_at);
            let follower = FollowerLag {
                index,
                name: &self.nodes[index].name,
                held,
                measured_from: open_since + self.day.lag_grace,
            };
            self.observers.check_lag(self.now, &follower, max_lag);
        }
    }

    /// Returns the controllers that run and can reach a majority.
    fn connected_controllers(&self) -> Vec<usize> {
        let is_controller = |index: &usize| matches!(self.nodes[*index].kind, NodeKind::Controller);
        let all: Vec<usize> = (0..self.nodes.len())
            .filter(is_controller)
            .filter(|index| !self.nodes[*index].permanently_lost)
            .collect();
        let running: Vec<usize> = all
            .iter()
            .copied()
            .filter(|index| self.is_running(*index))
            .collect();
        let reaches_majority = |index: &usize| {
            let reached = running
                .iter()
                .filter(|other| *other == index || self.are_voters_connected(*index, **other));
            reached.count() * 2 > all.len()
        };
        running.iter().copied().filter(reaches_majority).collect()
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].process.is_some() && !self.nodes[index].frozen
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        !self.network.is_blocked(one, other) && !self.network.is_blocked(other, one)
    }

    /// Like `is_connected` for two controllers, which may also be isolated from the other voters
    /// alone.
    fn are_voters_connected(&self, one: usize, other: usize) -> bool {
        let isolated = &self.network.isolated_voters;
        self.is_connected(one, other) && !isolated.contains(&one) && !isolated.contains(&other)
    }
}
