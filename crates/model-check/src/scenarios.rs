//! The bounds that are explored: a small one for CI, and a large one by the program.

use crate::prelude::*;

fn nodes(ids: &[u64]) -> Vec<NodeId> {
    ids.iter().copied().map(NodeId).collect()
}

/// Two proposers race, and some node restarts.
pub fn race() -> Bound {
    Bound {
        writers: nodes(&[1, 2]),
        restarts: 1,
        ..Bound::new("race")
    }
}

/// One change, with each sync as an event of its own and a restart at any moment.
pub fn slow_disks() -> Bound {
    Bound {
        writers: nodes(&[1]),
        configuration_ballots: 2,
        restarts: 1,
        separate_sync: true,
        ..Bound::new("slow disks")
    }
}

/// A fourth node joins and the first leaves, while two proposers race.
pub fn replacement() -> Bound {
    Bound {
        spares: 1,
        writers: nodes(&[1, 4]),
        manager: NodeId(3),
        membership_steps: vec![
            MembershipStep::Join(NodeId(4)),
            MembershipStep::Leave(NodeId(1)),
        ],
        settling_ballots: 2,
        membership_ballots: 4,
        ..Bound::new("replacement")
    }
}

/// A disk is wiped, and the empty node in its place is given the vote.
pub fn wiped_disk() -> Bound {
    Bound {
        writers: nodes(&[1]),
        manager: NodeId(3),
        membership_steps: vec![
            MembershipStep::Leave(NodeId(2)),
            MembershipStep::Join(NodeId(12)),
        ],
        settling_ballots: 2,
        membership_ballots: 4,
        wipes: 1,
        ..Bound::new("wiped disk")
    }
}

/// The one that leaves reads while the voters change and others accept a change.
pub fn reads_during_replacement() -> Bound {
    Bound {
        spares: 1,
        writers: nodes(&[4]),
        manager: NodeId(4),
        membership_steps: vec![
            MembershipStep::Join(NodeId(4)),
            MembershipStep::Leave(NodeId(1)),
        ],
        settling_ballots: 3,
        membership_ballots: 4,
        readers: nodes(&[1]),
        ..Bound::new("reads during a replacement")
    }
}

/// Two nodes read while a change is accepted.
pub fn reads() -> Bound {
    Bound {
        writers: nodes(&[1]),
        readers: nodes(&[2, 3]),
        ..Bound::new("reads")
    }
}

/// A proposer restarts in the middle of its ballot.
pub fn restarted_proposer() -> Bound {
    Bound {
        writers: nodes(&[1]),
        configuration_ballots: 2,
        restarts: 1,
        ..Bound::new("restarted proposer")
    }
}

/// The replacement with no ballots to spare: what it takes to see that settling is skipped.
pub fn unsettled_replacement() -> Bound {
    Bound {
        settling_ballots: 0,
        membership_ballots: 2,
        ..replacement()
    }
}

/// The same with a reader.
pub fn unsettled_reads() -> Bound {
    Bound {
        settling_ballots: 0,
        membership_ballots: 2,
        ..reads_during_replacement()
    }
}

/// All bounds, as the program explores them.
pub fn large_bounds() -> Vec<Bound> {
    vec![
        race(),
        slow_disks(),
        restarted_proposer(),
        reads(),
        replacement(),
        wiped_disk(),
        reads_during_replacement(),
    ]
}
