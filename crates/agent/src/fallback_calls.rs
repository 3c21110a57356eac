//! Requests to other agents, and their responses, while the control plane is unreachable.

use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::facts::ReceivedHeartbeat;
use caperworks::identifiers::Version;
use caperworks::messages::Message;
use caperworks::partition_fallback::{
    BrokenFallback, FallbackRequest, FallbackResponse, FALLBACK_MAPS,
};
use caperworks::replicated_map::MapName;

impl AgentMachine {
    /// Responds to another agent with the versions here and the updates that it is missing.
    pub(crate) fn handle_fallback_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        request: &FallbackRequest,
        max_age: Option<Duration>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // Facts of unknown age may be old, and are ignored.
        if let Some(max_age) = max_age {
            for heartbeat in &request.heartbeats {
                self.link
                    .instances
                    .handle(now, &heartbeat.clone().aged(max_age));
            }
        }
        let (feed_cache, limit) = (&self.link.feed_cache, &mut self.agent_map_limit);
        let updates = FALLBACK_MAPS.iter().filter_map(|name| {
            let held = request.versions.get(name.index()).copied();
            feed_cache
                .updates_after(*name, held.unwrap_or_default())
                .filter(|updates| limit.admits(now, from, updates))
        });
        let response = FallbackResponse {
            number: request.number,
            versions: self.link.versions(),
            updates: updates.collect(),
            qualified_under: self.fallback_quorum.qualified_under(),
            draining: self.link.instances.draining(now),
        };
        let message = Message::FallbackResponse { response };
        outputs.push(AgentOutput::Send { to: from, message });
        self.request_maps_from(now, from, request, outputs);
    }

    /// Handles the response of another agent.
    pub(crate) fn handle_fallback_response(
        &mut self,
        now: Duration,
        from: SocketAddr,
        response: &FallbackResponse,
        max_age: Option<Duration>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // A response of unknown age may be old, and does not count for the fallback quorum either.
        let Some(max_age) = max_age else {
            return;
        };
        for heartbeat in &response.draining {
            self.link
                .instances
                .handle(now, &heartbeat.clone().aged(max_age));
        }
        let applies_updates = self.fallback_quorum.fault != BrokenFallback::NoPooling;
        let advanced: Vec<MapName> = response
            .updates
            .iter()
            .filter(|_| applies_updates)
            .filter_map(|updates| self.link.feed_cache.apply_updates(updates))
            .collect();
        self.handle_map_updates(&advanced, outputs);
        // This comes first because an update to other fallback members makes the requests in flight void.
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        self.fallback_quorum
            .update_membership(now, membership, self.link.fresh_until());
        let follower = self.link.feed_cache.follower();
        self.fallback_quorum
            .handle_response(from, response, follower);
    }

    /// Requests the maps of an agent that is ahead, when the control plane cannot send them.
    fn request_maps_from(
        &mut self,
        now: Duration,
        to: SocketAddr,
        request: &FallbackRequest,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let versions = self.link.versions();
        let is_behind = versions[MapName::Membership.index()] == Version(0)
            && request.versions.get(MapName::Membership.index()) > Some(&Version(0));
        if is_behind
            && self
                .fallback_quorum
                .should_request_maps(now, self.link.fresh_until())
        {
            let request = FallbackRequest {
                number: 0,
                versions,
                heartbeats: Vec::new(),
            };
            let message = Message::FallbackRequest { request };
            outputs.push(AgentOutput::Send { to, message });
        }
    }

    /// Polls the other agents for their versions when the lease is about to expire.
    pub(crate) fn poll_agents(&mut self, now: Duration, outputs: &mut Vec<AgentOutput>) {
        let lease_until = self.link.fresh_until();
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        let Some((number, others)) =
            self.fallback_quorum
                .next_request(now, membership, lease_until)
        else {
            return;
        };
        let heartbeats: Vec<ReceivedHeartbeat> = std::mem::take(&mut self.unforwarded_heartbeats)
            .iter()
            .filter_map(|id| self.link.instances.heartbeat_with_age(now, id))
            .collect();
        for to in others {
            let request = FallbackRequest {
                number,
                versions: self.link.versions(),
                heartbeats: heartbeats.clone(),
            };
            let message = Message::FallbackRequest { request };
            outputs.push(AgentOutput::Send { to, message });
        }
    }
}
