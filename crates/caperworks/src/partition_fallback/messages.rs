//! The messages between agents, and the members of the fallback quorum.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::consensus::messages::ConsensusMessage;
use crate::facts::HeardHeartbeat;
use crate::identifiers::Version;

messages! {
    /// The members of the fallback quorum, by address of the agent: those that count now, and those that
    /// counted before the last change.
    #[derive(Eq)]
    struct FallbackMembers {
        0 members: Vec<SocketAddr>,
        1 before: Vec<SocketAddr>,
    }

    /// One agent asks another for its versions, and forwards the heartbeats that it received itself.
    struct FallbackRequest {
        0 number: u64,
        1 versions: Vec<Version>,
        2 heartbeats: Vec<HeardHeartbeat>,
    }

    /// The answer, with the updates that the asker lacks, and the version of the membership under which
    /// this agent's answer counts.
    struct FallbackResponse {
        0 number: u64,
        1 versions: Vec<Version>,
        2 updates: Vec<ConsensusMessage>,
        3 qualified_under: Option<Version>,
        /// The instances that drain, as far as the sender has heard: whoever is kept fresh by other agents
        /// must know them like one that holds a lease of the core.
        #[cbor(default)]
        4 draining: Vec<HeardHeartbeat>,
    }
}

impl FallbackMembers {
    /// Whether enough of both sets are among these addresses; `required` gives how many of a set of so
    /// many are enough.
    pub fn enough(
        &self,
        is_among: impl Fn(&SocketAddr) -> bool,
        required: fn(usize) -> usize,
    ) -> bool {
        [&self.members, &self.before].into_iter().all(|set| {
            let among = set.iter().filter(|address| is_among(address)).count();
            set.is_empty() || among >= required(set.len())
        })
    }

    /// All members, of both sets.
    pub fn everyone(&self) -> BTreeSet<SocketAddr> {
        self.members.iter().chain(&self.before).copied().collect()
    }
}
