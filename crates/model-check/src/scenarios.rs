//! The bounds to explore: small ones in CI, and all of them by the program.

use crate::bound::{Bound, MembershipStep, ScriptStep};
use caperworks::identifiers::NodeId;
use caperworks::replicated_map::MapName;

fn nodes(ids: &[u64]) -> Vec<NodeId> {
    ids.iter().copied().map(NodeId).collect()
}

/// Two proposers compete, and a node restarts.
pub fn race() -> Bound {
    Bound {
        writers: nodes(&[1, 2]),
        restarts: 1,
        ..Bound::new("race")
    }
}

/// Two proposers compete with two proposals each.
pub fn long_race() -> Bound {
    Bound {
        configuration_proposals: 2,
        restarts: 0,
        name: "long race",
        ..race()
    }
}

/// One change, with disk syncs as separate events and a restart at any time.
pub fn slow_disks() -> Bound {
    Bound {
        writers: nodes(&[1]),
        configuration_proposals: 2,
        restarts: 1,
        separate_sync: true,
        ..Bound::new("slow disks")
    }
}

fn propose(proposer: u64, map: MapName, voters: &[u64]) -> ScriptStep {
    ScriptStep::Propose {
        proposer: NodeId(proposer),
        map,
        voters: nodes(voters),
    }
}

fn learn_membership(node: u64, source: u64) -> ScriptStep {
    ScriptStep::Learn {
        node: NodeId(node),
        source: NodeId(source),
        map: MapName::Membership,
    }
}

fn replace_first_by_fourth() -> Vec<MembershipStep> {
    vec![
        MembershipStep::Join(NodeId(4)),
        MembershipStep::Leave(NodeId(1)),
    ]
}

/// Only the first two voters have accepted a change; then a fourth node joins and the first leaves.
pub fn replacement() -> Bound {
    Bound {
        spares: 1,
        script: vec![propose(1, MapName::Configuration, &[1, 2])],
        early_writers: nodes(&[1]),
        manager: NodeId(3),
        membership_steps: replace_first_by_fourth(),
        recovery_proposals: 2,
        membership_proposals: 4,
        ..Bound::new("replacement")
    }
}

/// Like [`replacement`], but the first node leaves before the fourth joins, and reports of the voters show
/// that the voters may be changed.
pub fn reported_replacement() -> Bound {
    Bound {
        membership_steps: vec![
            MembershipStep::Leave(NodeId(1)),
            MembershipStep::Join(NodeId(4)),
        ],
        settles_by_reports: true,
        recovery_proposals: 1,
        membership_proposals: 2,
        name: "reported replacement",
        ..replacement()
    }
}

fn report(voter: u64) -> ScriptStep {
    ScriptStep::Report {
        voter: NodeId(voter),
    }
}

fn learn_configuration(node: u64, source: u64) -> ScriptStep {
    ScriptStep::Learn {
        node: NodeId(node),
        source: NodeId(source),
        map: MapName::Configuration,
    }
}

/// The first node was removed after reports of the other two, but has not learned of it and still writes; the
/// fourth joins once they have reported again.
pub fn reported_addition() -> Bound {
    Bound {
        script: vec![
            propose(1, MapName::Configuration, &[1, 2]),
            report(2),
            report(3),
            learn_configuration(2, 1),
            learn_configuration(3, 1),
            report(2),
            report(3),
            ScriptStep::Manage,
            propose(3, MapName::Membership, &[2, 3]),
        ],
        writers: nodes(&[1]),
        configuration_proposals: 2,
        restarts: 1,
        name: "reported addition",
        ..reported_replacement()
    }
}

/// Like [`reported_addition`], but the change that the first two voters accepted has reached no other when the
/// voters are to be changed: only with an injected bug they are.
pub fn early_addition() -> Bound {
    Bound {
        script: vec![
            propose(1, MapName::Configuration, &[1, 2]),
            report(2),
            report(3),
            ScriptStep::Manage,
            propose(3, MapName::Membership, &[2, 3]),
        ],
        writers: Vec::new(),
        restarts: 0,
        name: "early addition",
        ..reported_addition()
    }
}

/// The first node was removed, but has not learned of it; it and the new node compete for the next
/// version.
pub fn removed_writer() -> Bound {
    Bound {
        spares: 1,
        script: vec![
            ScriptStep::Manage,
            propose(4, MapName::Configuration, &[2, 3]),
            propose(4, MapName::Membership, &[2, 3]),
            ScriptStep::Manage,
            propose(4, MapName::Membership, &[2, 3]),
            learn_membership(2, 4),
            learn_membership(3, 4),
            ScriptStep::Manage,
            propose(4, MapName::Configuration, &[2, 3, 4]),
            propose(4, MapName::Membership, &[2, 3, 4]),
            ScriptStep::Manage,
            propose(4, MapName::Membership, &[2, 3, 4]),
        ],
        writers: nodes(&[1, 4]),
        manager: NodeId(4),
        membership_steps: replace_first_by_fourth(),
        recovery_proposals: 4,
        membership_proposals: 4,
        ..Bound::new("removed writer")
    }
}

/// Like [`removed_writer`], but the removed node reads.
pub fn removed_reader() -> Bound {
    Bound {
        writers: nodes(&[4]),
        readers: nodes(&[1]),
        name: "removed reader",
        ..removed_writer()
    }
}

/// A disk that may have one of the two replicas of a change is wiped, and the empty node that replaces
/// it becomes a voter.
pub fn wiped_disk() -> Bound {
    Bound {
        script: vec![propose(1, MapName::Configuration, &[1, 2])],
        early_writers: nodes(&[1]),
        manager: NodeId(3),
        membership_steps: vec![
            MembershipStep::Leave(NodeId(2)),
            MembershipStep::Join(NodeId(12)),
        ],
        recovery_proposals: 2,
        membership_proposals: 4,
        wiped: nodes(&[2]),
        ..Bound::new("wiped disk")
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

/// A proposer restarts during its proposal.
pub fn restarted_proposer() -> Bound {
    Bound {
        writers: nodes(&[1]),
        configuration_proposals: 2,
        restarts: 1,
        ..Bound::new("restarted proposer")
    }
}

/// Like [`replacement`], but without proposals that recover accepted changes.
pub fn replacement_without_recovery() -> Bound {
    Bound {
        recovery_proposals: 0,
        membership_proposals: 2,
        ..replacement()
    }
}

/// Returns all bounds that the program explores.
pub fn large_bounds() -> Vec<Bound> {
    vec![
        race(),
        long_race(),
        slow_disks(),
        restarted_proposer(),
        reads(),
        replacement(),
        reported_replacement(),
        reported_addition(),
        wiped_disk(),
        removed_writer(),
        removed_reader(),
    ]
}
