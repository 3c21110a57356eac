//! Policies: what operators may choose of the core and of proxies where more than one way is sound.

use std::time::Duration;

use crate::instances::INSTANCE_SPAN;
use crate::members::MEMBER_SPAN;
use crate::ownership::OwnerManagerSpans;
use crate::reduced_map::FeedForm;

/// The policy of the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CorePolicy {
    /// Proxies that are partitioned from the core serve stale state: confirmations to operators wait
    /// for no agents.
    pub proxies_serve_stale: bool,
    /// On how many controllers' disks a change must be synced before it is confirmed to operators.
    pub synced_controllers: Option<usize>,
    /// How many of the voters are controllers.
    pub controller_voters: usize,
    /// How many are witnesses: agents in zones without a controller, which have no disk.
    pub witness_voters: usize,
    /// Whether controllers that all have empty disks may found a new system.
    pub may_found: bool,
    /// Whether instances can return a stamp that dates their heartbeats.
    pub stamped_heartbeats: bool,
    /// An instance without a heartbeat for so long is deregistered.
    pub instance_timeout: Duration,
    /// The time bounds of key ownership.
    pub owner_manager: OwnerManagerSpans,
    /// How long a new leader collects heartbeats before it acts on them.
    pub listen: Duration,
    /// Requests a second that the solver counts for each unit of an instance's capacity.
    pub requests_per_slot: u32,
    /// Whether proxies outside a route's home regions accept its requests and forward them home.
    pub carries_home: bool,
    /// How long a heartbeat without a change need not be forwarded to followers.
    pub heartbeat_refresh: Duration,
    /// Whether directories answer for hosts, so that all routes of a host are placed as one.
    pub by_host: bool,
    /// How long a member without a change need not be forwarded to followers.
    pub member_refresh: Duration,
    /// A member that renews its lease here and then not for so long counts as not ready.
    pub member_timeout: Duration,
    /// The vote of a controller that was not heard from for so long is given to a spare one.
    pub controller_lost: Duration,
}

impl Default for CorePolicy {
    fn default() -> Self {
        Self {
            proxies_serve_stale: false,
            synced_controllers: None,
            controller_voters: 3,
            witness_voters: 2,
            may_found: true,
            stamped_heartbeats: true,
            instance_timeout: INSTANCE_SPAN,
            owner_manager: OwnerManagerSpans::default(),
            listen: Duration::from_millis(1200),
            requests_per_slot: 1,
            carries_home: false,
            heartbeat_refresh: Duration::ZERO,
            by_host: false,
            member_refresh: Duration::ZERO,
            member_timeout: MEMBER_SPAN,
            controller_lost: Duration::from_secs(6),
        }
    }
}

impl CorePolicy {
    /// The form in which agents follow the maps: complete where one of them may become a witness.
    pub fn agents_feed_form(&self) -> FeedForm {
        match self.witness_voters {
            0 => FeedForm::Reduced,
            _ => FeedForm::Complete,
        }
    }
}

/// The policy of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProxyPolicy {
    /// Partitioned from the core, serve stale state instead of refusing requests.
    pub serves_stale: bool,
    /// The proxies of a closed zone go on forwarding requests to instances of other zones.
    pub closed_zone_carries: bool,
    /// A proxy outside a route's home regions accepts its requests and forwards them home.
    pub carries_home: bool,
    /// For how long requests still go to an owner that is leaving, until another owns the key range.
    pub draining_owner: Duration,
    /// The longest lease, when operators want changes in force sooner than
    /// [`LEASE_SPAN`](crate::leases::LEASE_SPAN) lets them; none for that span.
    pub lease_span: Option<Duration>,
}
