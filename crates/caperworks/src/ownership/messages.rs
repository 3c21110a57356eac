//! The responses to heartbeats: which key ranges an instance leases, and which it must release.

use std::net::SocketAddr;
use std::time::Duration;

use crate::envelope_clock::Stamp;
use crate::identifiers::Epoch;

messages! {
    /// One key range in the response to a heartbeat.
    struct KeyRangeLease {
        0 key_range: u32,
        /// The epoch of the owner's lease. It is the fencing token of the key range.
        1 epoch: Epoch,
        /// The lease duration, from when the instance sent its heartbeat; zero for a release.
        2 duration: Duration,
        /// What the previous owner handed over; present until the new owner has accepted the key range.
        3 handover: Option<String>,
    }

    /// A key range that an instance has released for good, up to this epoch; without an epoch, the one
    /// of its last lease. The handover is for the next owner.
    #[derive(Eq)]
    struct ReleasedKeyRange { 0 key_range: u32, 1 epoch: Option<Epoch>, 2 handover: Option<String> }

    /// The response to a heartbeat: the leases of the instance, and what it must release.
    #[derive(Default)]
    struct HeartbeatResponse {
        0 leases: Vec<KeyRangeLease>,
        1 release: Vec<KeyRangeLease>,
        /// Whether the owner manager itself responds, so that the instance does not own any key range
        /// that is not listed.
        2 by_owner_manager: bool,
        /// The control address of the owner manager, if it is known.
        3 owner_manager: Option<SocketAddr>,
        /// The highest epoch of the service: its fencing epoch.
        4 fence: Epoch,
    }

    /// The response as an instance receives it, with a stamp to return with its next heartbeat. `again`
    /// is set when the heartbeat had no stamp of this node, so that its age is unknown.
    struct TimestampedResponse {
        0 response: HeartbeatResponse,
        1 stamp: Stamp,
        2 resend: bool,
    }
}
