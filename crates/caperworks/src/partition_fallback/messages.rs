//! The messages between agents, and the members of the fallback quorum.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::consensus::messages::ConsensusMessage;
use crate::facts::ReceivedHeartbeat;
use crate::identifiers::Version;

messages! {
    /// The members of the fallback quorum, by address of the agent: the current ones, and those before the
    /// last change.
    #[derive(Eq)]
    struct FallbackMembers {
        0 members: Vec<SocketAddr>,
        1 previous: Vec<SocketAddr>,
    }

    /// Requests the versions of another agent, and forwards the heartbeats that the sender received.
    struct FallbackRequest {
        0 number: u64,
        1 versions: Vec<Version>,
        2 heartbeats: Vec<ReceivedHeartbeat>,
    }

    /// The response, with the updates that the requester is missing, and the version of the membership under
    /// which this agent's response counts.
    struct FallbackResponse {
        0 number: u64,
        1 versions: Vec<Version>,
        2 updates: Vec<ConsensusMessage>,
        3 qualified_under: Option<Version>,
        /// The draining instances that are known to the sender: an agent that is kept fresh by other agents
        /// must know them as well as one that has a lease of the control plane.
        #[cbor(default)]
        4 draining: Vec<ReceivedHeartbeat>,
    }
}

impl FallbackMembers {
    /// Returns whether enough members of both sets are among these addresses; `required` returns how many
    /// members of a set of a given size are enough.
    pub fn has_enough(
        &self,
        is_among: impl Fn(&SocketAddr) -> bool,
        required: fn(usize) -> usize,
    ) -> bool {
        [&self.members, &self.previous].into_iter().all(|set| {
            let among = set.iter().filter(|address| is_among(address)).count();
            set.is_empty() || among >= required(set.len())
        })
    }

    /// Returns all members, of both sets.
    pub fn all_members(&self) -> BTreeSet<SocketAddr> {
        self.members.iter().chain(&self.previous).copied().collect()
    }
}
