//! The item types of the maps: routes, services, zones, mappings, key ranges, voters and leadership
//! terms.

use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::{
    Epoch, Incarnation, InstanceId, NodeId, Region, RouteName, ServiceName, Zone,
};
use crate::ownership::key_range_of_hash;
use crate::partition_fallback::FallbackMembers;

messages! {
    /// Which requests on a route are idempotent.
    #[derive(Copy, Eq, Default)]
    enum RequestKind {
        /// `GET` and `HEAD` may run more than once, everything else at most once.
        #[default]
        0 ByMethod,
        /// Every request may run more than once.
        1 Repeatable,
        /// Every request may run at most once.
        2 Once,
        /// Every request may run at most once and may have a large body.
        3 Upload,
    }

    /// One of the services that a route's requests are split over.
    #[derive(Eq)]
    struct SplitTarget {
        0 service: ServiceName,
        1 weight: u32,
    }

    /// A route from a host and path to a service.
    #[derive(Eq, Default)]
    struct Route {
        0 host: String,
        1 path: String,
        /// The service that receives its requests when they are not split.
        2 service: ServiceName,
        /// The regions in which its requests may be served; empty means all regions.
        3 homes: Vec<Region>,
        /// The deadline of a request.
        4 deadline: Duration,
        5 body_limit: u64,
        6 key_header: Option<String>,
        7 kind: RequestKind,
        8 split: Vec<SplitTarget>,
        /// The latency target (SLO); zero when there is none.
        9 target_latency: Duration,
        /// Its priority when capacity is insufficient; 0 is highest.
        10 priority: u32,
        /// The maximum number of instances that a request is sent to; zero means the proxy's default.
        11 max_attempts: u32,
    }

    /// How keys are assigned to key ranges.
    #[derive(Copy, Eq, Default)]
    enum KeySpace {
        /// By the hash of any text.
        #[default]
        0 Hashed,
        /// Numbers from 0 to 65535, in contiguous ranges.
        1 Ranges,
    }

    /// The configuration of a service.
    #[derive(Eq, Default)]
    struct Service {
        0 keyed: bool,
        1 key_ranges: u32,
        2 instance_cap: u32,
        3 key_cap: u32,
        /// Slow start: requests per 1000 seconds that a warming-up instance accepts from all proxies
        /// together.
        4 slow_start_rate_milli: u32,
        /// How long an instance is warming up after its start.
        5 warm_up_period: Duration,
        6 key_space: KeySpace,
        /// Connections that an instance accepts from all proxies together; zero when unknown.
        7 connection_limit: u32,
        8 health_path: String,
    }

    /// Limits on what a caller may send, and on how long a request header may take and a connection
    /// may stay idle.
    #[derive(Eq, Default)]
    struct CallerLimits {
        0 header_bytes: u64,
        1 body_bytes: u64,
        2 header_timeout: Duration,
        3 idle_timeout: Duration,
    }

    /// The settings of a zone.
    #[derive(Eq)]
    struct ZoneSettings {
        0 region: Region,
        1 closed: bool,
    }

    /// The share of a client group's traffic that is placed in a zone.
    #[derive(Eq)]
    struct Share {
        0 zone: Zone,
        1 units: u32,
    }

    /// The placement of one client group on one route.
    #[derive(Eq)]
    struct GroupPlacement {
        0 group: String,
        1 route: RouteName,
        2 shares: Vec<Share>,
        3 unplaced: u32,
    }

    /// The mapping of client groups to zones.
    #[derive(Eq)]
    struct Mapping {
        0 epoch: Epoch,
        1 groups: Vec<GroupPlacement>,
        /// The number of proxies that were ready when the mapping was written.
        2 proxies: u32,
    }

    /// The owner of one key range.
    #[derive(Eq)]
    struct KeyRangeOwner {
        0 instance: InstanceId,
        1 incarnation: Incarnation,
        2 epoch: Epoch,
        /// The data that the previous owner handed over.
        3 handover: Option<String>,
    }

    /// The owners of the key ranges of one service.
    #[derive(Eq)]
    struct KeyRangeTable {
        0 epoch: Epoch,
        1 owners: Vec<Option<KeyRangeOwner>>,
    }

    /// One voter: a controller or a witness.
    #[derive(Eq)]
    struct VoterEntry {
        0 node: NodeId,
        1 address: SocketAddr,
        2 zone: Zone,
        3 controller: bool,
    }

    /// The voters of the consensus protocol.
    #[derive(Eq)]
    struct VoterSet {
        0 entries: Vec<VoterEntry>,
    }

    /// The leader of a role, with the epoch of its term.
    #[derive(Eq)]
    struct LeadershipTerm {
        0 leader: NodeId,
        1 epoch: Epoch,
    }

    /// The value of an item.
    #[derive(Eq)]
    enum Value {
        0 Route { 0 route: Route },
        1 Service { 0 service: Service },
        2 Zone { 0 zone: ZoneSettings },
        3 Mapping { 0 mapping: Mapping },
        4 KeyRanges { 0 table: KeyRangeTable },
        5 VoterSet { 0 voters: VoterSet },
        6 Leadership { 0 term: LeadershipTerm },
        7 FallbackMembers { 0 fallback_members: FallbackMembers },
        8 Limits { 0 limits: CallerLimits },
        /// A tombstone: the item was dropped under an operator version, which is still compared.
        9 Dropped,
    }
}

impl VoterSet {
    /// Returns how many voters form a majority.
    pub fn majority(&self) -> usize {
        self.entries.len() / 2 + 1
    }

    /// Returns the entry of a voter; `None` for a node that is not a voter.
    pub fn entry(&self, node: NodeId) -> Option<&VoterEntry> {
        self.entries.iter().find(|entry| entry.node == node)
    }
}

impl Route {
    /// Returns the services that its requests may be sent to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let unsplit = self.split.is_empty().then_some(&self.service);
        unsplit
            .into_iter()
            .chain(self.split.iter().map(|part| &part.service))
    }

    /// Returns the service for one request, chosen by a random value according to the weights.
    pub fn service_for(&self, random_value: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut point = random_value % total.max(1);
        for part in &self.split {
            if point < u64::from(part.weight) {
                return &part.service;
            }
            point -= u64::from(part.weight);
        }
        &self.service
    }

    /// Returns whether its requests may be served in a region.
    pub fn allows_region(&self, region: Option<&Region>) -> bool {
        self.homes.is_empty() || region.is_some_and(|region| self.homes.contains(region))
    }

    /// Returns whether a request may run more than once; `reads` is whether its method only reads.
    pub fn is_idempotent(&self, reads: bool) -> bool {
        match self.kind {
            RequestKind::ByMethod => reads,
            RequestKind::Repeatable => true,
            RequestKind::Once | RequestKind::Upload => false,
        }
    }
}

impl Service {
    /// Returns the requests per second that a warming-up instance accepts from all proxies together.
    pub fn slow_start_rate(&self) -> f64 {
        f64::from(self.slow_start_rate_milli) / 1000.0
    }

    /// Returns the key range of a key; `None` if the key is not valid for this service.
    pub fn key_range_of(&self, key: &str) -> Option<u32> {
        match self.key_space {
            KeySpace::Hashed => Some(key_range_of_hash(key, self.key_ranges)),
            KeySpace::Ranges => {
                let number: u16 = key.parse().ok()?;
                Some((u64::from(number) * u64::from(self.key_ranges) / KEY_COUNT) as u32)
            }
        }
    }

    /// Returns the first and the last key of a key range, for a service with [`KeySpace::Ranges`].
    pub fn key_bounds(&self, key_range: u32) -> (u32, u32) {
        let key_ranges = u64::from(self.key_ranges.max(1));
        let first = (u64::from(key_range) * KEY_COUNT).div_ceil(key_ranges);
        let after = (u64::from(key_range + 1) * KEY_COUNT).div_ceil(key_ranges);
        (first as u32, (after - 1) as u32)
    }
}

/// The number of keys in [`KeySpace::Ranges`].
pub const KEY_COUNT: u64 = 65_536;
