//! Polls of the proxy beside this agent: the views that it receives, and the usage that it reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{RouteName, ServiceName};
use caperworks::messages::{Message, ProxyView, Pull, UsageLine};
use caperworks::replicated_map::MapName;

/// The interval at which the proxy may be sent a full map again.
///
/// It is shorter than for other followers: the proxy polls ten times a second on the same machine, and serves
/// no requests before it has the map.
pub(crate) const PROXY_MAP_INTERVAL: Duration = Duration::from_millis(300);
/// For how many hours usage is kept.
const USAGE_RETENTION_HOURS: u64 = 48;

impl AgentMachine {
    /// Responds to a poll of the proxy with a view.
    pub(crate) fn handle_pull(
        &mut self,
        now: Duration,
        from: SocketAddr,
        pull: Pull,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let view = self.view(now, from, &pull);
        self.record_usage(&pull);
        self.proxy = Some((now, pull));
        let message = Message::View { view };
        outputs.push(AgentOutput::Send { to: from, message });
    }

    fn view(&mut self, now: Duration, proxy: SocketAddr, pull: &Pull) -> ProxyView {
        let is_same_incarnation =
            matches!(&self.proxy, Some((_, last)) if last.incarnation == pull.incarnation);
        if !is_same_incarnation {
            self.proxy_map_limit.reset(proxy);
        }
        let (feed_cache, limit) = (&self.link.feed_cache, &mut self.proxy_map_limit);
        let updates = [
            (MapName::Configuration, pull.configuration),
            (MapName::Ownership, pull.ownership),
        ]
        .into_iter()
        .filter_map(|(name, after)| feed_cache.updates_after(name, after))
        .filter(|updates| limit.admits(now, proxy, updates))
        .collect();
        let follower = feed_cache.follower();
        let all = pull.agent != self.node
            || pull.instances_offset < self.link.instances.latest_removal_offset();
        let instances: Vec<Heartbeat> = match all {
            true => {
                let known = self.link.instances.iter();
                known.chain(self.owners_serving_on(now)).cloned().collect()
            }
            false => {
                let changed = self.link.instances.after(now, pull.instances_offset);
                changed
                    .into_iter()
                    .map(|reported| reported.heartbeat)
                    .collect()
            }
        };
        let suspected = instances
            .iter()
            .map(|heartbeat| &heartbeat.id)
            .filter(|id| self.link.instances.is_suspected(id))
            .cloned()
            .collect();
        let reported = self.link.proxy_count() as usize;
        // While the control plane is unreachable, all fallback members count: which of them still serve is
        // unknown, and shared limits must not be divided among fewer proxies than there are.
        let fallback_members = follower.map(MapName::Membership).fallback_members();
        let is_partitioned = now >= self.link.fresh_until();
        let listed_members = fallback_members
            .filter(|_| is_partitioned)
            .map_or(0, |fallback_members| fallback_members.members.len());
        let proxies = reported.max(listed_members) as u32;
        ProxyView {
            number: pull.number,
            left: self.fresh_until().saturating_sub(now),
            updates,
            instances,
            suspected,
            agent: self.node,
            instances_offset: self.link.instances.latest_offset(),
            all_instances: all,
            proxies: proxies.max(1),
            configuration: follower.map(MapName::Configuration).version,
            ownership: follower.map(MapName::Ownership).version,
            slow_link_remaining: self.link.slow_link_remaining(now),
            position: self.link.proxy_position(),
            reports_left: Some(self.reports_left(now)),
        }
    }

    /// Returns for how much longer the instances' reports count as current.
    ///
    /// During partition fallback no node receives all reports, and the members' own quorum keeps them fresh.
    fn reports_left(&self, now: Duration) -> Duration {
        let by_fallback = self.fallback_quorum.fresh_until().saturating_sub(now);
        self.link.reports_left(now).max(by_fallback)
    }

    /// Returns the owners of key ranges that announced their termination and may serve on, as draining.
    ///
    /// Nobody else may serve their key ranges before their leases are over.
    fn owners_serving_on(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        let ownership = self.link.feed_cache.follower().map(MapName::Ownership);
        let serving_on = self.link.instances.serving_on(now);
        serving_on.filter(|heartbeat| {
            let table = ownership.key_ranges(&heartbeat.service);
            table.is_some_and(|table| table.has_owner(heartbeat))
        })
    }

    /// Records the usage that the proxy reports.
    ///
    /// It is kept by the agent so that it is not lost when the proxy's process ends unexpectedly.
    fn record_usage(&mut self, pull: &Pull) {
        for line in &pull.usage {
            let key = (
                pull.incarnation,
                line.hour,
                line.route.clone(),
                line.service.clone(),
            );
            self.usage.insert(key, line.clone());
        }
        let latest = self.usage.keys().map(|key| key.1).max().unwrap_or(0);
        self.usage
            .retain(|key, _| key.1 + USAGE_RETENTION_HOURS >= latest);
    }

    /// Returns the usage of the proxy beside this agent, by hour, route and service.
    pub fn usage(&self) -> Vec<UsageLine> {
        let mut sums: BTreeMap<(u64, &RouteName, &ServiceName), UsageLine> = BTreeMap::new();
        for line in self.usage.values() {
            let sum = sums
                .entry((line.hour, &line.route, &line.service))
                .or_insert_with(|| UsageLine {
                    hour: line.hour,
                    route: line.route.clone(),
                    service: line.service.clone(),
                    ..UsageLine::default()
                });
            sum.requests += line.requests;
            sum.served += line.served;
            sum.not_run += line.not_run;
            sum.unknown += line.unknown;
            sum.bytes_in += line.bytes_in;
            sum.bytes_out += line.bytes_out;
        }
        sums.into_values().collect()
    }
}
