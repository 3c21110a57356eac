//! Grants a lease on the basis of a quorum read, and finds the next leader of a role when the current one is
//! suspected.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::feed::Follower;
use caperworks::identifiers::{NodeId, Version, Zone};
use caperworks::leadership::{first_in_order, Liveness};
use caperworks::leases::{LeaseHolder, QuorumReads};
use caperworks::map_items::{VoterEntry, VoterSet};
use caperworks::replicated_map::ALL_MAPS;

fn main() {
    // The controller: only a quorum read with responses of a majority justifies a grant.
    let mut quorum_reads = QuorumReads::default();
    let number = quorum_reads.begin(Duration::from_millis(0));
    let versions = vec![Version(0); ALL_MAPS.len()];
    quorum_reads.handle_response(NodeId(1), number, versions.clone(), 2);
    assert!(quorum_reads.latest(Duration::from_millis(1)).is_none());
    quorum_reads.handle_response(NodeId(2), number, versions, 2);
    let quorum_read = quorum_reads
        .latest(Duration::from_millis(1))
        .expect("two of three")
        .clone();

    // The lease holder: the lease is valid only if the local replicas have the versions of the grant.
    let mut lease = LeaseHolder::default();
    let follower = Follower::default();
    let renewal = lease.renew(Duration::from_millis(5));
    lease.apply_grant(renewal, Duration::from_millis(4), quorum_read.versions);
    println!(
        "lease valid until {:?}",
        lease.fresh_until(&follower, &ALL_MAPS)
    );

    // The leadership role: its next leader is the first live controller in the order of voters.
    let entries = (1..=3)
        .map(|number| VoterEntry {
            node: NodeId(number),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
            zone: Zone::new("e1"),
            controller: true,
        })
        .collect();
    let voters = VoterSet { entries };
    let mut liveness = Liveness::default();
    for step in 0..20 {
        liveness.handle(Duration::from_millis(200 * step), NodeId(2));
        liveness.handle(Duration::from_millis(200 * step), NodeId(3));
    }
    let now = Duration::from_millis(3900);
    let next = first_in_order(now, &voters, &liveness, Some(NodeId(1)));
    println!("next leader: {next:?}");
    assert_eq!(next, Some(NodeId(2)));
}
