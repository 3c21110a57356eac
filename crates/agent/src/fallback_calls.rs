//! Other agents: what they are asked and told while the core is out of reach.

use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::facts::HeardHeartbeat;
use caperworks::identifiers::Version;
use caperworks::messages::Message;
use caperworks::partition_fallback::{
    BrokenFallback, FallbackRequest, FallbackResponse, FALLBACK_MAPS,
};
use caperworks::replicated_map::MapName;

impl AgentMachine {
    /// Tells another agent what we hold, and what it lacks of it.
    pub(crate) fn handle_fallback_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        ask: &FallbackRequest,
        max_age: Option<Duration>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // Why only with a known age: as for all facts.
        if let Some(max_age) = max_age {
            for heard in &ask.heartbeats {
                self.link
                    .instances
                    .handle(now, &heard.clone().aged(max_age));
            }
        }
        let (feed_cache, limit) = (&self.link.feed_cache, &mut self.agents_limit);
        let updates = FALLBACK_MAPS.iter().filter_map(|name| {
            let held = ask.versions.get(name.index()).copied();
            feed_cache
                .updates_after(*name, held.unwrap_or_default())
                .filter(|updates| limit.admits(now, from, updates))
        });
        let tell = FallbackResponse {
            number: ask.number,
            versions: self.link.versions(),
            updates: updates.collect(),
            qualified_under: self.fallback_quorum.qualified_under(),
            draining: self.link.instances.draining(now),
        };
        let message = Message::FallbackResponse { tell };
        outputs.push(AgentOutput::Send { to: from, message });
        self.fetch_from(now, from, ask, outputs);
    }

    /// Takes another agent's answer.
    pub(crate) fn handle_fallback_response(
        &mut self,
        now: Duration,
        from: SocketAddr,
        tell: &FallbackResponse,
        max_age: Option<Duration>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // Without a known age they may be old, and then their senders count for nothing either.
        let Some(max_age) = max_age else {
            return;
        };
        for heard in &tell.draining {
            self.link
                .instances
                .handle(now, &heard.clone().aged(max_age));
        }
        let pools = self.fallback_quorum.broken != BrokenFallback::IgnoresNewerVersions;
        let moved: Vec<MapName> = tell
            .updates
            .iter()
            .filter(|_| pools)
            .filter_map(|updates| self.link.feed_cache.take(updates))
            .collect();
        self.maps_moved(&moved, outputs);
        // Why looked at first: news of another roster makes what was asked under this void.
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        self.fallback_quorum
            .look(now, membership, self.link.fresh_until());
        let follower = self.link.feed_cache.follower();
        self.fallback_quorum.handle_response(from, tell, follower);
    }

    /// Asks an agent for the maps it has beyond ours, when the core cannot bring them.
    fn fetch_from(
        &mut self,
        now: Duration,
        to: SocketAddr,
        ask: &FallbackRequest,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let versions = self.link.versions();
        let behind = versions[MapName::Membership.index()] == Version(0)
            && ask.versions.get(MapName::Membership.index()) > Some(&Version(0));
        if behind && self.fallback_quorum.fetches(now, self.link.fresh_until()) {
            let ask = FallbackRequest {
                number: 0,
                versions,
                heartbeats: Vec::new(),
            };
            let message = Message::FallbackRequest { ask };
            outputs.push(AgentOutput::Send { to, message });
        }
    }

    /// Asks the other agents what they hold when the core has been silent for a while.
    pub(crate) fn ask_agents(&mut self, now: Duration, outputs: &mut Vec<AgentOutput>) {
        let lease_until = self.link.fresh_until();
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        let Some((number, others)) = self.fallback_quorum.ask(now, membership, lease_until) else {
            return;
        };
        let heartbeats: Vec<HeardHeartbeat> = std::mem::take(&mut self.beaten)
            .iter()
            .filter_map(|id| self.link.instances.heard(now, id))
            .collect();
        for to in others {
            let ask = FallbackRequest {
                number,
                versions: self.link.versions(),
                heartbeats: heartbeats.clone(),
            };
            let message = Message::FallbackRequest { ask };
            outputs.push(AgentOutput::Send { to, message });
        }
    }
}
