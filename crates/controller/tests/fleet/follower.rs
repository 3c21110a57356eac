//! A simulated follower: a process that keeps a lease with the controllers and follows the maps.

use std::net::SocketAddr;
use std::time::Duration;

use crate::support::controllers::address;
use caperworks::catch_up::CatchUpRequest;
use caperworks::facts::{Member, Role};
use caperworks::identifiers::{NodeId, Zone};
use caperworks::link::CoreLink;
use caperworks::link::Responder;
use caperworks::messages::{Envelope, Message};
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::MapName;

/// An agent or a directory that follows the controllers.
pub struct FollowerProcess {
    pub address: SocketAddr,
    pub role: Role,
    pub link: CoreLink,
}

impl FollowerProcess {
    pub fn new(index: u16, role: Role, second_map: MapName) -> Self {
        let wants = [MapName::Configuration, second_map, MapName::Membership];
        let seeds = (0..3).map(address).collect();
        let node = NodeId(9000 + u64::from(index));
        Self {
            address: SocketAddr::from(([127, 0, 0, 3], 6500 + index)),
            role,
            link: CoreLink::new(node, &wants, seeds, 0).with_form(FeedForm::Reduced),
        }
    }

    pub fn member(&self, now: Duration) -> Member {
        Member {
            node: NodeId(u64::from(self.address.port())),
            counter: now.as_millis() as u64,
            role: self.role,
            zone: Zone::new("zone-0"),
            control: self.address,
            serving: self.address,
            ready: true,
            capacity: 1,
            demand: Vec::new(),
            versions: self.link.versions(),
            draining: false,
            client_zones: Vec::new(),
            demand_unchanged: false,
            suspected: false,
        }
    }

    /// Returns the messages to send on a tick.
    pub fn tick(&mut self, now: Duration) -> Vec<(SocketAddr, Envelope)> {
        let requests = self.link.tick_catch_up(now);
        let mut sent: Vec<(SocketAddr, Message)> = requests.iter().map(request_message).collect();
        if self.link.check_renewal_due(now) {
            let member = self.member(now);
            sent.push(self.link.renew(now, member));
        }
        self.sealed(now, sent)
    }

    /// Handles a message from a controller, and returns the messages to send.
    pub fn receive(&mut self, now: Duration, envelope: &Envelope) -> Vec<(SocketAddr, Envelope)> {
        self.link.envelope_clock.open(now, envelope);
        let from = envelope.reply_to;
        let requests = match &envelope.message {
            Message::Grant { granted } => {
                let responder = Responder {
                    address: from,
                    incarnation: envelope.sender_incarnation(),
                };
                self.link.handle_grant(now, responder, granted);
                self.link.fetch_in_chunks(now, from, granted)
            }
            Message::ConsensusMessage { message } => {
                let step = self.link.handle_catch_up(now, from, message);
                step.request.into_iter().collect()
            }
            _ => Vec::new(),
        };
        let sent = requests.iter().map(request_message).collect();
        self.sealed(now, sent)
    }

    fn sealed(
        &self,
        now: Duration,
        sent: Vec<(SocketAddr, Message)>,
    ) -> Vec<(SocketAddr, Envelope)> {
        let clock = &self.link.envelope_clock;
        let seal = |(to, message)| (to, clock.seal(now, self.address, to, message));
        sent.into_iter().map(seal).collect()
    }

    pub fn version(&self) -> u64 {
        self.link.versions()[MapName::Configuration.index()].0
    }
}

/// Returns the message that requests a chunk of a map, and its receiver.
fn request_message(request: &CatchUpRequest) -> (SocketAddr, Message) {
    let message = request.message();
    (request.to, Message::ConsensusMessage { message })
}
