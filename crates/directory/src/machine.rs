//! The directory's state machine: follows the placement map and responds from the last mapping.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use caperworks::catch_up::CatchUpRequest;
use caperworks::configuration::RouteTable;
use caperworks::directory_responses::{resolve_host, resolve_route, DirectoryResponse};
use caperworks::facts::{GroupZone, Member, Role};
use caperworks::home_bounds::HomeBounds;
use caperworks::identifiers::{NodeId, RandomSource, Region, RouteName, Version, Zone};
use caperworks::link::Responder;
use caperworks::link::{CoreLink, RejectedChunk};
use caperworks::link_figures::LinkFigures;
use caperworks::messages::{Envelope, Message};
use caperworks::placement::group_of;
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::MapName;

/// The maps that a directory follows.
const FOLLOWED: [MapName; 3] = [
    MapName::Configuration,
    MapName::Placement,
    MapName::Membership,
];

/// Maximum number of client groups whose reported zone a directory keeps.
const MAX_CLIENT_ZONES: usize = 512;

/// The options of a directory.
#[derive(Debug, Clone)]
pub struct DirectoryOptions {
    /// The address for control messages.
    pub control: SocketAddr,
    /// The address for HTTP requests of clients.
    pub serving: SocketAddr,
    /// The zone that the directory is in.
    pub zone: Zone,
    /// Addresses of controllers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// How long a member without a change need not be forwarded again.
    pub member_refresh: Duration,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryInput {
    /// The regular tick.
    Tick,
    /// A message was received.
    Received { envelope: Envelope },
    /// A connection to a peer was opened; `took` is how long that took.
    ConnectionOpened { peer: SocketAddr, took: Duration },
    /// A connection to a peer was lost, or could not be opened.
    ConnectionLost { peer: SocketAddr },
}

/// An output of the state machine, for the process to act on.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryOutput {
    /// A message has to be sent.
    Send { to: SocketAddr, message: Message },
    /// The local replica of a map has reached a new version.
    MapUpdated { map: MapName, version: Version },
    /// There is no valid lease; the figures show the recent traffic with the controllers.
    ControlLinkSlow { figures: LinkFigures },
    /// A chunk of a map snapshot was rejected; nothing of it is kept.
    ChunkRejected {
        rejected: RejectedChunk,
        from: SocketAddr,
    },
}

/// Queues the messages that request map chunks.
fn request_chunks(
    requests: impl IntoIterator<Item = CatchUpRequest>,
    outputs: &mut Vec<DirectoryOutput>,
) {
    outputs.extend(requests.into_iter().map(|request| DirectoryOutput::Send {
        to: request.to,
        message: Message::ConsensusMessage {
            message: request.message(),
        },
    }));
}

/// The reason why the directory has no proxy for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResolveError {
    /// No route matches the request.
    NoRoute,
    /// There is no mapping yet, or none of the proxies in it is alive.
    NoProxy,
}

/// The state machine of a directory.
pub struct DirectoryMachine {
    options: DirectoryOptions,
    node: NodeId,
    link: CoreLink,
    counter: u64,
    table: RouteTable,
    regions: BTreeMap<Zone, Region>,
    /// The last known proxies; kept while the controllers do not respond.
    proxies: Vec<(Zone, SocketAddr)>,
    random: RandomSource,
    /// By client group, the zone that its clients reported.
    client_zones: BTreeMap<String, Zone>,
    ready: bool,
}

impl DirectoryMachine {
    /// Creates a directory; `seed` is the seed of its random numbers.
    pub fn start(options: DirectoryOptions, seed: u64) -> Self {
        let mut random = RandomSource::seeded(seed);
        let node = NodeId(random.next_u64() >> 1);
        let mut link = CoreLink::new(node, &FOLLOWED, options.seeds.clone(), random.next_u64())
            .with_form(FeedForm::Reduced);
        link.members.refresh_interval = options.member_refresh;
        Self {
            options,
            node,
            link,
            counter: 0,
            table: RouteTable::default(),
            regions: BTreeMap::new(),
            proxies: Vec::new(),
            random,
            client_zones: BTreeMap::new(),
            ready: true,
        }
    }

    /// Returns the number of this node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Wraps a message in the envelope for another node.
    pub fn seal(&self, now: Duration, to: SocketAddr, message: Message) -> Envelope {
        let control = self.options.control;
        self.link.envelope_clock.seal(now, control, to, message)
    }

    /// Replaces the seeds after a change of the settings.
    pub fn follow_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.link.seeds = seeds;
    }

    /// Starts a graceful shutdown: the directory reports itself as draining and not ready.
    pub fn shut_down_gracefully(&mut self) {
        self.ready = false;
    }

    /// Returns whether the directory has a mapping and is not shutting down.
    pub fn has_mapping(&self) -> bool {
        let placement = self.link.feed_cache.follower().map(MapName::Placement);
        placement.mapping().is_some() && self.ready
    }

    /// Handles an input and returns the resulting outputs.
    pub fn input(&mut self, now: Duration, input: DirectoryInput) -> Vec<DirectoryOutput> {
        let mut outputs = Vec::new();
        match input {
            DirectoryInput::Tick => self.tick(now, &mut outputs),
            DirectoryInput::Received { envelope } => self.handle(now, envelope, &mut outputs),
            DirectoryInput::ConnectionOpened { peer, took } => {
                self.link.connection_opened(now, peer, took);
            }
            DirectoryInput::ConnectionLost { peer } => self.link.controller_lost(peer),
        }
        outputs
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<DirectoryOutput>) {
        let figures = self.link.report(now);
        outputs.extend(figures.map(|figures| DirectoryOutput::ControlLinkSlow { figures }));
        let requests = self.link.tick_catch_up(now);
        request_chunks(requests, outputs);
        if self.link.check_renewal_due(now) {
            let member = self.member();
            let (to, message) = self.link.renew(now, member);
            outputs.push(DirectoryOutput::Send { to, message });
        }
    }

    /// Returns what this directory reports of itself when it renews its lease.
    fn member(&mut self) -> Member {
        self.counter += 1;
        let client_zones = self.client_zones.iter().map(|(group, zone)| GroupZone {
            group: group.clone(),
            zone: zone.clone(),
        });
        Member {
            node: self.node,
            counter: self.counter,
            role: Role::Directory,
            zone: self.options.zone.clone(),
            control: self.options.control,
            serving: self.options.serving,
            ready: self.ready,
            capacity: 0,
            demand: Vec::new(),
            versions: self.link.versions(),
            draining: !self.ready,
            demand_unchanged: false,
            suspected: false,
            client_zones: client_zones.collect(),
        }
    }

    fn handle(&mut self, now: Duration, envelope: Envelope, outputs: &mut Vec<DirectoryOutput>) {
        self.link.envelope_clock.open(now, &envelope);
        let from = envelope.reply_to;
        let responder = Responder {
            address: from,
            incarnation: envelope.sender_incarnation(),
        };
        match envelope.message {
            Message::Grant { granted } => {
                let updated = self.link.handle_grant(now, responder, &granted);
                self.handle_map_updates(updated, outputs);
                let requests = self.link.fetch_in_chunks(now, from, &granted);
                request_chunks(requests, outputs);
                self.update_proxies(now, granted.has_quorum);
            }
            Message::ConsensusMessage { message } => {
                let step = self.link.handle_catch_up(now, from, &message);
                self.handle_map_updates(step.advanced, outputs);
                request_chunks(step.request, outputs);
                if let Some(rejected) = step.rejected {
                    outputs.push(DirectoryOutput::ChunkRejected { rejected, from });
                }
            }
            // All other messages are for agents and controllers.
            _ => {}
        }
    }

    fn handle_map_updates(
        &mut self,
        updated: impl IntoIterator<Item = MapName>,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        for map in updated {
            let follower = self.link.feed_cache.follower();
            if map == MapName::Configuration {
                let configuration = follower.map(map);
                self.table = self.table.updated_to(configuration);
                self.regions = configuration
                    .zones()
                    .map(|(zone, settings)| (zone, settings.region.clone()))
                    .collect();
            }
            let version = follower.map(map).version;
            outputs.push(DirectoryOutput::MapUpdated { map, version });
        }
    }

    /// Updates the list of proxies after a grant.
    ///
    /// Members expire only on a response with a quorum. While the controllers are unreachable, missing
    /// reports of a proxy do not show that it is down, and no better list is available than the last one.
    fn update_proxies(&mut self, now: Duration, has_quorum: bool) {
        if has_quorum {
            self.link.members.expire(now);
        }
        let proxies: Vec<(Zone, SocketAddr)> = self
            .link
            .members
            .ready_proxies()
            .map(|member| (member.zone.clone(), member.serving))
            .collect();
        // Without a quorum the new list replaces the last one only if it has at least half as many proxies:
        // a zone may be lost together with most of the controllers, but the list of a controller that is
        // partitioned itself is missing nearly all proxies.
        let is_plausible = match has_quorum {
            true => !proxies.is_empty(),
            false => proxies.len() * 2 >= self.proxies.len() && !proxies.is_empty(),
        };
        if is_plausible {
            self.proxies = proxies;
        }
    }

    /// Returns the proxies that a client in a zone should use for a host, by the shares of all routes of
    /// that host together.
    pub fn find_host(
        &mut self,
        host: &str,
        zone: &Zone,
        client: IpAddr,
    ) -> Result<DirectoryResponse, ResolveError> {
        let group = group_of(client);
        // The table is bounded, as a directory has little memory and serves few client groups.
        if self.client_zones.len() < MAX_CLIENT_ZONES || self.client_zones.contains_key(&group) {
            self.client_zones.insert(group.clone(), zone.clone());
        }
        let random = self.random.next_u64();
        let feed_cache = self.link.feed_cache.follower();
        let routes: Vec<&RouteName> = self
            .table
            .routes_of_host(host)
            .map(|(name, _)| name)
            .collect();
        let bounds = HomeBounds::of(
            self.table
                .routes_of_host(host)
                .map(|(_, route)| route.as_ref()),
        );
        let client_region = self.regions.get(zone);
        let may_handle = |proxy: &Zone| bounds.allows(self.regions.get(proxy), client_region);
        let mapping = feed_cache.map(MapName::Placement).mapping();
        let proxies = &self.proxies;
        resolve_host(mapping, &routes, &group, zone, proxies, may_handle, random)
            .ok_or(ResolveError::NoProxy)
    }

    /// Returns the proxies that a client at this address should use for a request for this host and path.
    pub fn find(
        &mut self,
        host: &str,
        path: &str,
        client: IpAddr,
    ) -> Result<DirectoryResponse, ResolveError> {
        let configuration = self.link.feed_cache.follower().map(MapName::Configuration);
        // Before the first configuration arrives, it is unknown whether there is a matching route.
        let error_without_route = match configuration.version {
            Version(0) => ResolveError::NoProxy,
            _ => ResolveError::NoRoute,
        };
        let (route, _) = self.table.find(host, path).ok_or(error_without_route)?;
        let random = self.random.next_u64();
        self.link
            .feed_cache
            .follower()
            .map(MapName::Placement)
            .mapping()
            .and_then(|mapping| {
                resolve_route(
                    mapping,
                    route,
                    &group_of(client),
                    &self.options.zone,
                    &self.proxies,
                    random,
                )
            })
            .ok_or(ResolveError::NoProxy)
    }
}
