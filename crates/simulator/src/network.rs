//! The simulated network: delay, loss, partitions and bandwidth-limited links.

use crate::connections::Connections;
use crate::limited_link::LinkLoad;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::limited_link::LimitedLink;
use caperworks::messages::Message;

/// A one-way partition: nothing gets from one set of nodes to the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Partition {
    pub from: BTreeSet<usize>,
    pub to: BTreeSet<usize>,
}

/// Nodes whose messages are delayed, reordered and duplicated.
#[derive(Debug, Clone)]
pub struct MessageFault {
    pub nodes: BTreeSet<usize>,
    pub max_delay: Duration,
    pub duplicated_per_thousand: u64,
}

/// The state of the network between the nodes.
#[derive(Debug, Clone)]
pub struct Network {
    pub same_zone: Duration,
    pub same_region: Duration,
    pub other_region: Duration,
    pub loss_per_thousand: u64,
    pub partitions: Vec<Partition>,
    /// Nodes that receive everything but consensus messages, as when one direction is stuck.
    pub inbound_consensus_blocked: BTreeSet<usize>,
    /// Controllers that exchange no messages with the other voters, but still send grants to their
    /// followers.
    pub isolated_voters: BTreeSet<usize>,
    pub message_faults: Vec<MessageFault>,
    pub limited_links: BTreeMap<usize, LimitedLink>,
    /// The connections of nodes that use bandwidth-limited links.
    pub connections: Connections,
}

impl Network {
    /// Blocks messages from one set of nodes to the other.
    pub fn block(&mut self, from: &BTreeSet<usize>, to: &BTreeSet<usize>) {
        let (from, to) = (from.clone(), to.clone());
        self.partitions.push(Partition { from, to });
    }

    /// Ends all partitions and message faults.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.inbound_consensus_blocked.clear();
        self.isolated_voters.clear();
        self.message_faults.clear();
    }

    pub fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.partitions
            .iter()
            .any(|partition| partition.from.contains(&from) && partition.to.contains(&to))
    }

    /// Limits the bandwidth of a node's link for inbound messages from now on.
    pub fn limit_bandwidth(&mut self, index: usize, bytes_per_second: u64) {
        let link = self.limited_links.entry(index).or_default();
        link.inward.bytes_per_second = Some(bytes_per_second);
    }

    /// Sets the background load of a node's link in both directions.
    pub fn apply_load(&mut self, index: usize, link_load: &LinkLoad) {
        self.limited_links
            .entry(index)
            .or_default()
            .apply_load(link_load);
    }

    /// Returns the message fault between two nodes, if there is one.
    pub fn message_fault(&self, from: usize, to: usize) -> Option<&MessageFault> {
        self.message_faults.iter().find(|message_fault| {
            message_fault.nodes.contains(&from) || message_fault.nodes.contains(&to)
        })
    }

    /// Returns whether a message between voters is dropped because one of them is isolated or its
    /// inbound consensus messages are blocked.
    pub fn drops_message(&self, from: usize, to: usize, message: &Message) -> bool {
        let vote = matches!(message, Message::ConsensusMessage { .. });
        let consensus = vote
            || matches!(
                message,
                Message::QuorumReadRequest { .. }
                    | Message::QuorumReadResponse { .. }
                    | Message::Facts { .. }
                    | Message::ConfirmFact { .. }
                    | Message::FactConfirmed { .. }
            );
        let is_isolated = from != to
            && (self.isolated_voters.contains(&from) || self.isolated_voters.contains(&to));
        (vote && self.inbound_consensus_blocked.contains(&to)) || (consensus && is_isolated)
    }
}
