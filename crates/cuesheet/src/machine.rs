//! The directory's state machine: follows the placement and answers from the last mapping.

use crate::prelude::*;

/// The books that a directory follows.
const FOLLOWED: [BookName; 3] = [BookName::Standing, BookName::Placement, BookName::Cohort];

/// Of how many groups a directory remembers where they stand.
const MOST_STANDS: usize = 512;

#[derive(Debug, Clone)]
pub struct CuesheetOptions {
    pub control: SocketAddr,
    pub serving: SocketAddr,
    pub area: Area,
    pub seeds: Vec<SocketAddr>,
    /// How long a member that says nothing new need not be told again.
    pub member_refresh: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CuesheetInput {
    Tick,
    Heard { envelope: Envelope },
}

#[derive(Debug, Clone, PartialEq)]
pub enum CuesheetOutput {
    Send { to: SocketAddr, message: Message },
    Moved { book: BookName, edition: Edition },
}

/// Why the directory cannot say where to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Nowhere {
    NoRule,
    /// No mapping yet, or nothing in it is alive.
    NoPlace,
}

pub struct CuesheetMachine {
    options: CuesheetOptions,
    node: NodeId,
    link: CoreLink,
    counter: u64,
    table: RuleTable,
    /// The proxies as last heard: kept when the core falls silent.
    proxies: Vec<(Area, SocketAddr)>,
    chance: Chance,
    /// Where groups of clients said that they stand.
    stands: BTreeMap<String, Area>,
    ready: bool,
}

impl CuesheetMachine {
    pub fn start(options: CuesheetOptions, seed: u64) -> Self {
        let mut chance = Chance::seeded(seed);
        let node = NodeId(chance.draw() >> 1);
        let mut link = CoreLink::new(node, &FOLLOWED, options.seeds.clone(), chance.draw());
        link.members.refresh = options.member_refresh;
        Self {
            options,
            node,
            link,
            counter: 0,
            table: RuleTable::default(),
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
        self.link.post.seal(now, control, to, message)
    }

    /// Takes the seeds that the settings name now.
    pub fn follow_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.link.seeds = seeds;
    }

    pub fn stop_politely(&mut self) {
        self.ready = false;
    }

    pub fn has_mapping(&self) -> bool {
        let placement = self.link.shelf.follower().book(BookName::Placement);
        placement.mapping().is_some() && self.ready
    }

    pub fn input(&mut self, now: Duration, input: CuesheetInput) -> Vec<CuesheetOutput> {
        let mut outputs = Vec::new();
        match input {
            CuesheetInput::Tick => {
                if self.link.due(now) {
                    self.counter += 1;
                    let member = Member {
                        node: self.node,
                        counter: self.counter,
                        role: Role::Directory,
                        area: self.options.area.clone(),
                        control: self.options.control,
                        serving: self.options.serving,
                        ready: self.ready,
                        capacity: 0,
                        demand: Vec::new(),
                        editions: self.link.editions(),
                        leaving: !self.ready,
                        same_demand: false,
                        silent: false,
                        stands: self
                            .stands
                            .iter()
                            .map(|(group, area)| GroupStand {
                                group: group.clone(),
                                zone: area.clone(),
                            })
                            .collect(),
                    };
                    let (to, message) = self.link.renew(now, member);
                    outputs.push(CuesheetOutput::Send { to, message });
                }
            }
            CuesheetInput::Heard { envelope } => {
                self.link.post.open(now, &envelope);
                if let Message::Grant { granted } = envelope.message {
                    for book in self.link.granted(now, envelope.from, &granted) {
                        if book == BookName::Standing {
                            let standing = self.link.shelf.follower().book(book);
                            self.table = RuleTable::of(standing);
                        }
                        let edition = self.link.shelf.follower().book(book).edition;
                        outputs.push(CuesheetOutput::Moved { book, edition });
                    }
                    self.heard_members(now, granted.assured);
                }
            }
        }
        outputs
    }

    /// Why only on an assured answer: while the core is out of reach no proxy's silence means
    /// anything, and the last list is the best there is.
    fn heard_members(&mut self, now: Duration, assured: bool) {
        if assured {
            self.link.members.expire(now);
        }
        let proxies: Vec<(Area, SocketAddr)> = self
            .link
            .members
            .ready_proxies()
            .map(|member| (member.area.clone(), member.serving))
            .collect();
        // Why half without assurance: a zone may be lost together with most of the core, but a ledger
        // that is cut off itself misses nearly everyone.
        let enough = match assured {
            true => !proxies.is_empty(),
            false => proxies.len() * 2 >= self.proxies.len() && !proxies.is_empty(),
        };
        if enough {
            self.proxies = proxies;
        }
    }

    /// Where a client that stands in an area should take its requests for a host, by the shares of
    /// all rules of that host together.
    pub fn find_host(
        &mut self,
        host: &str,
        area: &Area,
        client: IpAddr,
    ) -> Result<Whereabouts, Nowhere> {
        let group = group_of(client);
        // Why bounded: a directory's memory is small, and the clients that it hears are few.
        if self.stands.len() < MOST_STANDS || self.stands.contains_key(&group) {
            self.stands.insert(group.clone(), area.clone());
        }
        let draw = self.chance.draw();
        let shelf = self.link.shelf.follower();
        let rules: Vec<&RuleName> = self.table.of_host(host).map(|(name, _)| name).collect();
        let mapping = shelf.book(BookName::Placement).mapping();
        whereabouts_of_host(mapping, &rules, &group, area, &self.proxies, draw)
            .ok_or(Nowhere::NoPlace)
    }

    /// Where a client at this address should take an order for this host and path.
    pub fn find(&mut self, host: &str, path: &str, client: IpAddr) -> Result<Whereabouts, Nowhere> {
        let standing = self.link.shelf.follower().book(BookName::Standing);
        // Why not "no rule" before any orders were heard: there may be one for all we know.
        let otherwise = match standing.edition {
            Edition(0) => Nowhere::NoPlace,
            _ => Nowhere::NoRule,
        };
        let (rule, _) = self.table.find(host, path).ok_or(otherwise)?;
        let draw = self.chance.draw();
        self.link
            .shelf
            .follower()
            .book(BookName::Placement)
            .mapping()
            .and_then(|mapping| {
                whereabouts(
                    mapping,
                    rule,
                    &group_of(client),
                    &self.options.area,
                    &self.proxies,
                    draw,
                )
            })
            .ok_or(Nowhere::NoPlace)
    }
}
