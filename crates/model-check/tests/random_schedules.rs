//! Long random schedules over the same model, with more nodes, proposals and faults than can be
//! explored exhaustively.

use proptest::prelude::{any, prop, prop_assert, proptest, ProptestConfig};

use caperworks::identifiers::{NodeId, RandomSource};
use model_check::bound::{Bound, InjectedBug, MembershipStep};
use model_check::invariants::Violation;
use model_check::world::World;

/// Five voters of which two leave, two nodes that join, a wipe, restarts, reads and slow disks.
fn large_bound() -> Bound {
    let nodes = |ids: &[u64]| ids.iter().copied().map(NodeId).collect();
    Bound {
        voters: 5,
        spares: 2,
        writers: nodes(&[1, 2, 6]),
        readers: nodes(&[1, 3, 7]),
        manager: NodeId(3),
        membership_steps: vec![
            MembershipStep::Join(NodeId(6)),
            MembershipStep::Leave(NodeId(1)),
            MembershipStep::Join(NodeId(7)),
            MembershipStep::Leave(NodeId(2)),
        ],
        configuration_proposals: 6,
        recovery_proposals: 12,
        membership_proposals: 12,
        quorum_reads: 4,
        restarts: 3,
        wiped: nodes(&[2]),
        lost_replies: 4,
        separate_sync: true,
        ..Bound::new("wide")
    }
}

/// Applies a sequence of events, each chosen by the next number; stops when no event is possible.
fn run_schedule(bound: &Bound, picks: &[u16]) -> Result<World, Violation> {
    let mut world = World::new(bound);
    for pick in picks {
        let actions = world.actions(bound);
        if actions.is_empty() {
            break;
        }
        world = world.after(bound, actions[usize::from(*pick) % actions.len()])?;
    }
    Ok(world)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_in_long_random_schedules(
        picks in prop::collection::vec(any::<u16>(), 50..400),
    ) {
        let result = run_schedule(&large_bound(), &picks);
        prop_assert!(result.is_ok(), "{:?}", result.err());
    }
}

#[test]
fn random_schedules_detect_votes_before_sync() {
    let bound = large_bound().with_injected_bug(InjectedBug::VotesBeforeSync);
    let mut random = RandomSource::seeded(1);
    let found = (0..300).any(|_| {
        let picks: Vec<u16> = (0..400).map(|_| random.next_u64() as u16).collect();
        run_schedule(&bound, &picks).is_err()
    });
    assert!(found);
}
