//! The directory's state machine: follows the placement and answers from the last mapping.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use caperworks::catch_up::CatchUpRequest;
use caperworks::configuration::RouteTable;
use caperworks::directory_responses::{whereabouts, whereabouts_of_host, Whereabouts};
use caperworks::facts::{GroupStand, Member, Role};
use caperworks::home_bounds::HomeBounds;
use caperworks::identifiers::{Chance, NodeId, Region, RouteName, Version, Zone};
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

/// Of how many groups a directory remembers where they stand.
const MOST_STANDS: usize = 512;

#[derive(Debug, Clone)]
pub struct DirectoryOptions {
    pub control: SocketAddr,
    pub serving: SocketAddr,
    pub zone: Zone,
    pub seeds: Vec<SocketAddr>,
    /// How long a member that says nothing new need not be told again.
    pub member_refresh: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryInput {
    Tick,
    Heard {
        envelope: Envelope,
    },
    /// A connection to a peer was opened, which took so long.
    ConnectionOpened {
        peer: SocketAddr,
        took: Duration,
    },
    /// A connection to a peer was lost, or could not be opened.
    ConnectionLost {
        peer: SocketAddr,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryOutput {
    Send {
        to: SocketAddr,
        message: Message,
    },
    Moved {
        map: MapName,
        version: Version,
    },
    /// There is no lease: what was asked and heard of late.
    ControlLinkSlow {
        figures: LinkFigures,
    },
    /// A piece of a map was refused; nothing of it is kept.
    ChunkRejected {
        refused: RejectedChunk,
        from: SocketAddr,
    },
}

fn request_chunks(
    requests: impl IntoIterator<Item = CatchUpRequest>,
    outputs: &mut Vec<DirectoryOutput>,
) {
    outputs.extend(requests.into_iter().map(|request| DirectoryOutput::Send {
        to: request.to,
        message: Message::ConsensusMessage {
            vote: request.message(),
        },
    }));
}

/// Why the directory cannot say where to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Nowhere {
    NoRoute,
    /// No mapping yet, or nothing in it is alive.
    NoPlace,
}

pub struct DirectoryMachine {
    options: DirectoryOptions,
    node: NodeId,
    link: CoreLink,
    counter: u64,
    table: RouteTable,
    regions: BTreeMap<Zone, Region>,
    /// The proxies as last heard: kept when the core falls silent.
    proxies: Vec<(Zone, SocketAddr)>,
    chance: Chance,
    /// Where groups of clients said that they stand.
    stands: BTreeMap<String, Zone>,
    ready: bool,
}

impl DirectoryMachine {
    pub fn start(options: DirectoryOptions, seed: u64) -> Self {
        let mut chance = Chance::seeded(seed);
        let node = NodeId(chance.draw() >> 1);
        let mut link = CoreLink::new(node, &FOLLOWED, options.seeds.clone(), chance.draw())
            .with_form(FeedForm::Reduced);
        link.members.refresh = options.member_refresh;
        Self {
            options,
            node,
            link,
            counter: 0,
            table: RouteTable::default(),
            regions: BTreeMap::new(),
            proxies: Vec::new(),
            chance,
            stands: BTreeMap::new(),
            ready: true,
        }
    }

    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Makes a message ready to leave for another process.
    pub fn seal(&self, now: Duration, to: SocketAddr, message: Message) -> Envelope {
        let control = self.options.control;
        self.link.envelope_clock.seal(now, control, to, message)
    }

    /// Takes the seeds that the settings name now.
    pub fn follow_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.link.seeds = seeds;
    }

    pub fn shut_down_gracefully(&mut self) {
        self.ready = false;
    }

    pub fn has_mapping(&self) -> bool {
        let placement = self.link.feed_cache.follower().map(MapName::Placement);
        placement.mapping().is_some() && self.ready
    }

    pub fn input(&mut self, now: Duration, input: DirectoryInput) -> Vec<DirectoryOutput> {
        let mut outputs = Vec::new();
        match input {
            DirectoryInput::Tick => self.tick(now, &mut outputs),
            DirectoryInput::Heard { envelope } => self.handle(now, envelope, &mut outputs),
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
        if self.link.due(now) {
            let member = self.member();
            let (to, message) = self.link.renew(now, member);
            outputs.push(DirectoryOutput::Send { to, message });
        }
    }

    /// What this directory says of itself when it renews its lease.
    fn member(&mut self) -> Member {
        self.counter += 1;
        let stands = self.stands.iter().map(|(group, zone)| GroupStand {
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
            same_demand: false,
            silent: false,
            stands: stands.collect(),
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
                let moved = self.link.granted(now, responder, &granted);
                self.maps_moved(moved, outputs);
                let requests = self.link.fetch_in_chunks(now, from, &granted);
                request_chunks(requests, outputs);
                self.heard_members(now, granted.assured);
            }
            Message::ConsensusMessage { vote } => {
                let step = self.link.handle_catch_up(now, from, &vote);
                self.maps_moved(step.moved, outputs);
                request_chunks(step.request, outputs);
                if let Some(refused) = step.refused {
                    outputs.push(DirectoryOutput::ChunkRejected { refused, from });
                }
            }
            // Why nothing: all else is for agents and controllers.
            _ => {}
        }
    }

    fn maps_moved(
        &mut self,
        moved: impl IntoIterator<Item = MapName>,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        for map in moved {
            let follower = self.link.feed_cache.follower();
            if map == MapName::Configuration {
                let configuration = follower.map(map);
                self.table = self.table.after(configuration);
                self.regions = configuration
                    .zones()
                    .map(|(zone, settings)| (zone, settings.region.clone()))
                    .collect();
            }
            let version = follower.map(map).version;
            outputs.push(DirectoryOutput::Moved { map, version });
        }
    }

    /// Why only on an assured answer: while the core is out of reach no proxy's silence means
    /// anything, and the last list is the best there is.
    fn heard_members(&mut self, now: Duration, assured: bool) {
        if assured {
            self.link.members.expire(now);
        }
        let proxies: Vec<(Zone, SocketAddr)> = self
            .link
            .members
            .ready_proxies()
            .map(|member| (member.zone.clone(), member.serving))
            .collect();
        // Why half without assurance: a zone may be lost together with most of the core, but a controller
        // that is cut off itself misses nearly everyone.
        let enough = match assured {
            true => !proxies.is_empty(),
            false => proxies.len() * 2 >= self.proxies.len() && !proxies.is_empty(),
        };
        if enough {
            self.proxies = proxies;
        }
    }

    /// Where a client that stands in a zone should take its requests for a host, by the shares of
    /// all routes of that host together.
    pub fn find_host(
        &mut self,
        host: &str,
        zone: &Zone,
        client: IpAddr,
    ) -> Result<Whereabouts, Nowhere> {
        let group = group_of(client);
        // Why bounded: a directory's memory is small, and the clients that it hears are few.
        if self.stands.len() < MOST_STANDS || self.stands.contains_key(&group) {
            self.stands.insert(group.clone(), zone.clone());
        }
        let draw = self.chance.draw();
        let feed_cache = self.link.feed_cache.follower();
        let routes: Vec<&RouteName> = self.table.of_host(host).map(|(name, _)| name).collect();
        let bounds = HomeBounds::of(self.table.of_host(host).map(|(_, route)| route.as_ref()));
        let client = self.regions.get(zone);
        let may_carry = |proxy: &Zone| bounds.allow(self.regions.get(proxy), client);
        let mapping = feed_cache.map(MapName::Placement).mapping();
        let proxies = &self.proxies;
        whereabouts_of_host(mapping, &routes, &group, zone, proxies, may_carry, draw)
            .ok_or(Nowhere::NoPlace)
    }

    /// Where a client at this address should take a request for this host and path.
    pub fn find(&mut self, host: &str, path: &str, client: IpAddr) -> Result<Whereabouts, Nowhere> {
        let configuration = self.link.feed_cache.follower().map(MapName::Configuration);
        // Why not "no route" before any requests were heard: there may be one for all we know.
        let otherwise = match configuration.version {
            Version(0) => Nowhere::NoPlace,
            _ => Nowhere::NoRoute,
        };
        let (route, _) = self.table.find(host, path).ok_or(otherwise)?;
        let draw = self.chance.draw();
        self.link
            .feed_cache
            .follower()
            .map(MapName::Placement)
            .mapping()
            .and_then(|mapping| {
                whereabouts(
                    mapping,
                    route,
                    &group_of(client),
                    &self.options.zone,
                    &self.proxies,
                    draw,
                )
            })
            .ok_or(Nowhere::NoPlace)
    }
}
