//! What operators may want of the core and of proxies where more than one way is sound.

use crate::prelude::*;

/// What operators want of the core where more than one way is sound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CorePolicy {
    /// Proxies out of touch go on with what they last knew: operators' answers wait for no agents.
    pub proxies_serve_on: bool,
    /// On how many ledgers' disks a change must be synced before operators are told yes.
    pub synced_ledgers: Option<usize>,
    /// How many of the seats are ledgers'.
    pub ledger_seats: usize,
    /// How many are agents', in areas without a ledger; they have no disk.
    pub witness_seats: usize,
    /// Whether an empty disk may be the beginning of the whole system.
    pub may_found: bool,
    /// Whether instances can give a stamp back that dates their beats.
    pub stamped_beats: bool,
    /// An instance that has not beaten for so long is gone.
    pub instance_span: Duration,
    pub keeper: KeeperSpans,
    /// How long a new holder of a duty listens before it acts on facts.
    pub listen: Duration,
    /// Requests a second that the solver counts for each unit of an instance's capacity.
    pub requests_per_slot: u32,
    /// Whether proxies outside a route's homes take its requests and send them home.
    pub carries_home: bool,
    /// How long a beat that says nothing new need not be passed on to followers.
    pub beat_refresh: Duration,
    /// Whether directories answer for hosts, so that all routes of a host are placed as one.
    pub by_host: bool,
    /// The same for members.
    pub member_refresh: Duration,
    /// A member that renews its lease here and then not for so long counts as not ready.
    pub member_silence: Duration,
    /// A ledger's seat is given to one that waits after so long a silence.
    pub ledger_lost: Duration,
}

impl Default for CorePolicy {
    fn default() -> Self {
        Self {
            proxies_serve_on: false,
            synced_ledgers: None,
            ledger_seats: 3,
            witness_seats: 2,
            may_found: true,
            stamped_beats: true,
            instance_span: INSTANCE_SPAN,
            keeper: KeeperSpans::default(),
            listen: Duration::from_millis(1200),
            requests_per_slot: 1,
            carries_home: false,
            beat_refresh: Duration::ZERO,
            by_host: false,
            member_refresh: Duration::ZERO,
            member_silence: MEMBER_SPAN,
            ledger_lost: Duration::from_secs(6),
        }
    }
}

/// What operators want of a proxy where more than one way is sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProxyPolicy {
    /// Out of touch with the core, go on with what was last known instead of falling silent.
    pub serves_on: bool,
    /// A closed area's own proxies go on carrying requests to the instances of other areas.
    pub closed_zone_carries: bool,
    /// A proxy outside a route's home regions may take its requests from callers and send them home.
    pub carries_home: bool,
    /// For how long keys still go to an owner that is leaving, until another has them.
    pub leaving_owner: Duration,
}
