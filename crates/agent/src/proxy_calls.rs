//! The proxy beside this agent: what it is told, and what it says that it carried.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{RouteName, ServiceName};
use caperworks::messages::{Message, ProxyView, Pull, UsageLine};
use caperworks::replicated_map::MapName;

/// How soon the proxy is told a whole map again.
///
/// Why sooner than other followers: it asks ten times a second on the same machine, and carries
/// nothing before it has the map.
pub(crate) const PROXY_MAP_PERIOD: Duration = Duration::from_millis(300);
/// For how many hours usage is remembered.
const USAGE_HOURS: u64 = 48;

impl AgentMachine {
    /// Answers the proxy that asks what the world is like.
    pub(crate) fn handle_pull(
        &mut self,
        now: Duration,
        from: SocketAddr,
        pull: Pull,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let view = self.view(now, from, &pull);
        self.count_usage(&pull);
        self.proxy = Some((now, pull));
        let message = Message::View { view };
        outputs.push(AgentOutput::Send { to: from, message });
    }

    fn view(&mut self, now: Duration, proxy: SocketAddr, pull: &Pull) -> ProxyView {
        let is_same_incarnation =
            matches!(&self.proxy, Some((_, last)) if last.incarnation == pull.incarnation);
        if !is_same_incarnation {
            self.proxy_limit.reset(proxy);
        }
        let (feed_cache, limit) = (&self.link.feed_cache, &mut self.proxy_limit);
        let updates = [
            (MapName::Configuration, pull.configuration),
            (MapName::Ownership, pull.ownership),
        ]
        .into_iter()
        .filter_map(|(name, after)| feed_cache.updates_after(name, after))
        .filter(|updates| limit.admits(now, proxy, updates))
        .collect();
        let follower = feed_cache.follower();
        let all = pull.agent != self.node || pull.instances_offset < self.link.instances.removed();
        let instances: Vec<Heartbeat> = match all {
            true => self.link.instances.iter().cloned().collect(),
            false => {
                let changed = self.link.instances.after(now, pull.instances_offset);
                changed.into_iter().map(|heard| heard.heartbeat).collect()
            }
        };
        let silent = instances
            .iter()
            .map(|heartbeat| &heartbeat.id)
            .filter(|id| self.link.instances.is_silent(id))
            .cloned()
            .collect();
        let heard = self.link.proxies() as usize;
        // Why the whole roster out of the core's reach: who of it still serves cannot be told, and
        // what is shared among the proxies must not be shared among fewer than there are.
        let fallback_members = follower.map(MapName::Membership).fallback_members();
        let alone = now >= self.link.fresh_until();
        let listed = fallback_members
            .filter(|_| alone)
            .map_or(0, |fallback_members| fallback_members.members.len());
        let proxies = heard.max(listed) as u32;
        ProxyView {
            number: pull.number,
            left: self.fresh_until().saturating_sub(now),
            updates,
            instances,
            silent,
            agent: self.node,
            instances_offset: self.link.instances.learned(),
            all_instances: all,
            proxies: proxies.max(1),
            configuration: follower.map(MapName::Configuration).version,
            ownership: follower.map(MapName::Ownership).version,
            link_slow_for: self.link.slow_for(now),
        }
    }

    /// Remembers what the proxy says it carried.
    ///
    /// Why here: a proxy may die at any time, and its counts need not die with it.
    fn count_usage(&mut self, pull: &Pull) {
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
        self.usage.retain(|key, _| key.1 + USAGE_HOURS >= latest);
    }

    /// What was carried beside this agent, by hour, route and service.
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
