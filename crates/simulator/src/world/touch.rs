//! Which proxies are in touch with the core, as the network and the machines have it.

use crate::observers::lag::FollowerLag;
use crate::world::nodes::Body;
use std::time::Duration;

use crate::world::nodes::Kind;
use crate::world::World;

/// For how long a proxy has to have been in touch before it has to follow the core in time.
const TOUCH_SPAN: Duration = Duration::from_secs(5);

impl World {
    /// Whether this proxy has to follow the core within the bounds of the brief.
    pub(super) fn must_follow(&self, proxy: usize) -> bool {
        if !self.day.policy.serves_stale {
            return true;
        }
        let out_at = self.out_of_touch_at.get(&proxy);
        out_at.is_none_or(|out_at| self.now.saturating_sub(*out_at) >= TOUCH_SPAN)
    }

    /// Notes the proxies that do not run, or that cannot reach the core both ways.
    pub(super) fn record_touch(&mut self) {
        if !self.day.policy.serves_stale {
            return;
        }
        let core = self.connected_controllers();
        for index in 0..self.nodes.len() {
            let Kind::Proxy { agent, .. } = self.nodes[index].kind else {
                continue;
            };
            let is_in_touch = self.runs(index)
                && self.runs(agent)
                && self.is_joined(index, agent)
                && !core.is_empty()
                && core
                    .iter()
                    .all(|controller| self.is_joined(agent, *controller));
            if !is_in_touch {
                self.out_of_touch_at.insert(index, self.now);
            }
        }
    }

    /// Shows the observers how far each follower is whose path to the core is open, and since when.
    pub(super) fn judge_lag(&mut self) {
        let Some(most_lag) = self.day.most_lag else {
            return;
        };
        let core = self.connected_controllers();
        for index in 0..self.nodes.len() {
            let is_joined = |controller: &usize| self.is_joined(index, *controller);
            let is_open = self.runs(index) && !core.is_empty() && core.iter().all(is_joined);
            let held = match &self.nodes[index].body {
                Some(Body::Agent(machine)) => machine.link().versions()[0],
                _ => continue,
            };
            if !is_open {
                self.path_closed_at.insert(index, self.now);
                continue;
            }
            let closed_at = self.path_closed_at.get(&index).copied().unwrap_or_default();
            let open_since = closed_at.max(self.nodes[index].started_at);
            let follower = FollowerLag {
                index,
                name: &self.nodes[index].name,
                held,
                counts_from: open_since + self.day.lag_after_path,
            };
            self.observers.judge_lag(self.now, &follower, most_lag);
        }
    }

    /// The controllers that run and reach more than half of all; none if there are none.
    fn connected_controllers(&self) -> Vec<usize> {
        let is_controller = |index: &usize| matches!(self.nodes[*index].kind, Kind::Controller);
        let all: Vec<usize> = (0..self.nodes.len())
            .filter(is_controller)
            .filter(|index| !self.nodes[*index].left_for_good)
            .collect();
        let running: Vec<usize> = all
            .iter()
            .copied()
            .filter(|index| self.runs(*index))
            .collect();
        let reaches_most = |index: &usize| {
            let reached = running
                .iter()
                .filter(|other| *other == index || self.is_core_joined(*index, **other));
            reached.count() * 2 > all.len()
        };
        running.iter().copied().filter(reaches_most).collect()
    }

    fn runs(&self, index: usize) -> bool {
        self.nodes[index].body.is_some() && !self.nodes[index].frozen
    }

    fn is_joined(&self, one: usize, other: usize) -> bool {
        !self.network.is_cut(one, other) && !self.network.is_cut(other, one)
    }

    /// The same for two controllers, which may be parted from each other alone.
    fn is_core_joined(&self, one: usize, other: usize) -> bool {
        let apart = &self.network.parted;
        self.is_joined(one, other) && !apart.contains(&one) && !apart.contains(&other)
    }
}
