//! The answers to heartbeats: which key ranges an instance leases, and which it must release.

use std::net::SocketAddr;
use std::time::Duration;

use crate::envelope_clock::Stamp;
use crate::identifiers::Epoch;

messages! {
    /// One key range in the answer to a heartbeat.
    struct KeyRangeLease {
        0 key_range: u32,
        /// The epoch of the owner's lease. It is the fencing token of the key range.
        1 epoch: Epoch,
        /// How long the lease lives from when the instance sent its heartbeat; zero for a release.
        2 left: Duration,
        /// What the owner before handed over; for the one that takes the key range up.
        3 handover: Option<String>,
    }

    /// An epoch of a key range that an instance has released for good; without an epoch the one that
    /// it held last. What it hands over is for the next owner.
    #[derive(Eq)]
    struct ReleasedKeyRange { 0 key_range: u32, 1 epoch: Option<Epoch>, 2 handover: Option<String> }

    /// The answer to a heartbeat: the leases of the instance, and what it must release.
    #[derive(Default)]
    struct HeartbeatResponse {
        0 leases: Vec<KeyRangeLease>,
        1 release: Vec<KeyRangeLease>,
        /// Whether the owner manager itself answers, so that a key range which is not named is not
        /// owned.
        2 by_owner_manager: bool,
        /// The control address of the owner manager, as far as it is known.
        3 owner_manager: Option<SocketAddr>,
        /// The highest epoch of the service: its fencing epoch.
        4 fence: Epoch,
    }

    /// The answer as the instance gets it from whoever it sends heartbeats to: with a stamp to return
    /// with its next heartbeat. `again` when the heartbeat had none of ours, so that its age is not
    /// known.
    struct TimestampedResponse {
        0 response: HeartbeatResponse,
        1 stamp: Stamp,
        2 again: bool,
    }
}
