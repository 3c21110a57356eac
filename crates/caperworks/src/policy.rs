//! Policies: settings of the controllers and the proxies for which more than one choice is sound.

use std::time::Duration;

use crate::instances::INSTANCE_TIMEOUT;
use crate::leadership::SUSPICION_TIMEOUT;
use crate::members::MEMBER_TIMEOUT;
use crate::ownership::OwnerManagerTimings;
use crate::reduced_map::FeedForm;

/// The policy of the controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CorePolicy {
    /// Whether proxies that are partitioned from the controllers serve stale state; confirmations to
    /// operators then do not wait for agents.
    pub proxies_serve_stale: bool,
    /// Number of controllers that must have synced a change to disk before it is confirmed to operators.
    pub synced_controllers: Option<usize>,
    /// Number of voters that are controllers.
    pub controller_voters: usize,
    /// Number of voters that are witnesses: agents in zones without a controller, which have no disk.
    pub witness_voters: usize,
    /// Whether controllers that all have empty disks may bootstrap a new system.
    pub may_bootstrap: bool,
    /// Whether instances return a stamp by which their heartbeats can be dated.
    pub stamped_heartbeats: bool,
    /// Time without a heartbeat after which an instance is deregistered.
    pub instance_timeout: Duration,
    /// The time bounds of key ownership.
    pub owner_manager: OwnerManagerTimings,
    /// How long a new leader collects heartbeats before it acts on them.
    pub collection_period: Duration,
    /// Requests a second that the solver assumes for each unit of an instance's capacity.
    pub requests_per_slot: u32,
    /// Whether proxies outside a route's home regions accept its requests and forward them home.
    pub forwards_to_home: bool,
    /// How long a heartbeat without a change need not be forwarded to followers.
    pub heartbeat_refresh: Duration,
    /// Whether directories respond per host, so that all routes of a host are placed as one.
    pub by_host: bool,
    /// How long a member without a change need not be forwarded to followers.
    pub member_refresh: Duration,
    /// A member that has renewed its lease at this controller counts as not ready when its next renewal
    /// does not arrive within this time.
    pub member_timeout: Duration,
    /// Time without a message after which a controller that is a voter is replaced by a spare one.
    pub controller_timeout: Duration,
}

impl Default for CorePolicy {
    fn default() -> Self {
        Self {
            proxies_serve_stale: false,
            synced_controllers: None,
            controller_voters: 3,
            witness_voters: 2,
            may_bootstrap: true,
            stamped_heartbeats: true,
            instance_timeout: INSTANCE_TIMEOUT,
            owner_manager: OwnerManagerTimings::default(),
            collection_period: Duration::from_millis(1200),
            requests_per_slot: 1,
            forwards_to_home: false,
            heartbeat_refresh: Duration::ZERO,
            by_host: false,
            member_refresh: Duration::ZERO,
            member_timeout: MEMBER_TIMEOUT,
            controller_timeout: Duration::from_secs(6),
        }
    }
}

/// Time for the changes of voters after a lost controller has timed out: it is removed and its successor added,
/// each after the recovery of all maps.
const VOTER_CHANGE_TIME: Duration = Duration::from_millis(2500);
/// A controller that restarts within this time need not be replaced, if there is time enough.
const MAX_CONTROLLER_TIMEOUT: Duration = Duration::from_millis(2500);

impl CorePolicy {
    /// Sets the time within which the successor of a lost controller must be a voter.
    ///
    /// It counts from the start of the successor. A controller is never lost before others suspect it.
    pub fn with_sync_time(mut self, sync_time: Duration) -> Self {
        self.controller_timeout = sync_time
            .saturating_sub(VOTER_CHANGE_TIME)
            .clamp(SUSPICION_TIMEOUT, MAX_CONTROLLER_TIMEOUT);
        self
    }

    /// Returns the form in which agents follow the maps: complete if one of them may become a witness.
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
    /// Whether a proxy that is partitioned from the controllers serves stale state instead of rejecting
    /// requests.
    pub serves_stale: bool,
    /// Whether the proxies of a closed zone still forward requests to instances of other zones.
    pub closed_zone_forwards: bool,
    /// Whether proxies outside a route's home regions accept its requests and forward them home.
    pub forwards_to_home: bool,
    /// How long requests still go to a draining owner while no other instance owns the key range.
    pub draining_owner: Duration,
    /// Maximum lease duration, for operators who want changes to take effect sooner than
    /// [`LEASE_DURATION`](crate::leases::LEASE_DURATION) allows; `None` for that duration.
    pub lease_duration: Option<Duration>,
    pub slow_start: SlowStartPolicy,
}

/// What an instance in slow start takes in one second from all proxies together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartPolicy {
    /// Requests beyond its slow-start rate.
    pub tolerance: u32,
    /// Percent of its slow-start rate, on top of the rate.
    pub overshoot_percent: u32,
}

impl Default for SlowStartPolicy {
    fn default() -> Self {
        Self {
            tolerance: 4,
            overshoot_percent: 25,
        }
    }
}

impl SlowStartPolicy {
    /// Returns how many requests a proxy may send to an instance after a health check showed that it is not
    /// warming up: its share of what the instance takes in a second if it begins to warm up right after.
    pub fn requests_per_check(&self, rate_per_second: f64, proxies: u32) -> u32 {
        let overshoot = rate_per_second * f64::from(self.overshoot_percent) / 100.0;
        let limit = (rate_per_second + overshoot) as u32 + self.tolerance;
        (limit / proxies.max(1)).max(1)
    }

    /// Returns how many proxies may send to one instance in slow start.
    ///
    /// Each of them may have saved one request, and all of these may come on top of the rate in the same
    /// second. Half of the overshoot is left for requests that were sent over more than a second and arrive
    /// within one.
    pub fn max_senders(&self, rate_per_second: f64) -> u32 {
        let overshoot = rate_per_second * f64::from(self.overshoot_percent) / 200.0;
        (self.tolerance + overshoot as u32).max(1)
    }
}
