//! Segments in transit: over the sender's link, across the network, over the receiver's link.

use crate::connections::Segment;
use crate::connections::SegmentKind;
use crate::limited_link::LinkOutput;
use crate::limited_link::LINK_STEP;
use crate::world::events::NodeEvent;
use crate::world::events::ScheduledEvent;
use crate::world::nodes::NodeKind;
use crate::world::World;
use caperworks::messages::Envelope;
use std::time::Duration;

impl World {
    /// Returns whether control messages between two nodes go over a bandwidth-limited link.
    fn is_over_link(&self, from: usize, to: usize) -> bool {
        let links = &self.network.limited_links;
        let is_controller = |index: usize| matches!(self.nodes[index].kind, NodeKind::Controller);
        (is_controller(from) || is_controller(to))
            && (links.contains_key(&from) || links.contains_key(&to))
    }

    /// Writes a control message to a connection if it goes over a bandwidth-limited link; otherwise
    /// returns the event.
    pub(super) fn send_on_connection(
        &mut self,
        from: usize,
        to: usize,
        event: NodeEvent,
    ) -> Option<NodeEvent> {
        let sender = (from, self.nodes[from].incarnation);
        let receiver = (to, self.nodes[to].incarnation);
        match event {
            NodeEvent::Control { envelope } if self.is_over_link(from, to) => {
                self.write_control(sender, receiver, envelope);
                None
            }
            NodeEvent::Control { .. } if self.day.limits_links() => {
                if self.nodes[to].process.is_some() && !self.network.is_blocked(from, to) {
                    self.network.connections.record_exchange(sender, receiver);
                }
                Some(event)
            }
            event => Some(event),
        }
    }

    fn write_control(&mut self, from: (usize, u64), to: (usize, u64), envelope: Box<Envelope>) {
        let connections = &mut self.network.connections;
        let segment = connections.send(self.now, from, to, envelope);
        self.transmit_all(segment);
    }

    fn transmit_all(&mut self, segments: impl IntoIterator<Item = Segment>) {
        for segment in segments {
            self.transmit(segment);
        }
    }

    /// Puts a segment onto the sender's link, unless a partition drops it.
    fn transmit(&mut self, segment: Segment) {
        if self.network.is_blocked(segment.from, segment.to) {
            if let SegmentKind::Message { .. } = segment.kind {
                self.network.connections.on_message_dropped(&segment);
            }
            return;
        }
        let link = self.network.limited_links.get_mut(&segment.from);
        match link.filter(|link| !link.outward.is_free()) {
            Some(link) => link.outward.add(self.now, segment),
            None => self.transfer(segment),
        }
    }

    /// Transfers a segment from the sender's link to the receiver's.
    fn transfer(&mut self, segment: Segment) {
        let delay = self.delay(segment.from, segment.to);
        let segment = Box::new(segment);
        self.schedule(self.now + delay, ScheduledEvent::Segment { segment });
    }

    /// Puts a segment onto the receiver's link.
    pub(super) fn enter_receiver_link(&mut self, segment: Segment) {
        let link = self.network.limited_links.get_mut(&segment.to);
        match link.filter(|link| !link.inward.is_free()) {
            Some(link) => link.inward.add(self.now, segment),
            None => self.arrive(segment),
        }
    }

    /// Transmits what is queued on bandwidth-limited links, and schedules the next step.
    pub(super) fn advance_limited_links(&mut self) {
        let now = self.now;
        let attempts = self.network.connections.tick(now);
        self.transmit_all(attempts);
        let mut departures = Vec::new();
        let mut arrivals = Vec::new();
        for (index, link) in &mut self.network.limited_links {
            link.redraw_queues(now, &mut self.random);
            departures.extend(link.outward.advance(now));
            let inward = link.inward.advance(now).into_iter();
            arrivals.extend(inward.map(|output| (*index, output)));
        }
        for output in departures {
            if let LinkOutput::Complete(segment) = output {
                self.transfer(segment);
            }
        }
        for (index, output) in arrivals {
            match output {
                LinkOutput::Complete(segment) => self.arrive(segment),
                LinkOutput::Progress => {
                    self.schedule_for_node(index, Duration::ZERO, NodeEvent::ControlProgress)
                }
            }
        }
        self.schedule(now + LINK_STEP, ScheduledEvent::AdvanceLinks);
    }

    /// Handles a segment that has arrived at its receiver.
    fn arrive(&mut self, segment: Segment) {
        let receiver = &self.nodes[segment.to];
        if receiver.process.is_none() && receiver.powered_off {
            return;
        }
        let sender_incarnation = Some(self.nodes[segment.from].incarnation);
        let has_ended = receiver.process.is_none()
            || segment
                .receiver_incarnation
                .is_some_and(|incarnation| incarnation != receiver.incarnation);
        let incarnation = receiver.incarnation;
        match segment.kind {
            SegmentKind::Reset if has_ended => {}
            _ if has_ended => self.transmit(segment.reset(sender_incarnation)),
            SegmentKind::Syn => self.transmit(Segment {
                connection: segment.connection,
                from: segment.to,
                to: segment.from,
                receiver_incarnation: sender_incarnation,
                kind: SegmentKind::SynAck { incarnation },
            }),
            SegmentKind::SynAck { incarnation } => {
                let queued = self
                    .network
                    .connections
                    .on_established(&segment, incarnation);
                self.transmit_all(queued);
            }
            SegmentKind::Message { envelope } => {
                self.schedule_for_node(segment.to, Duration::ZERO, NodeEvent::Control { envelope });
            }
            SegmentKind::Reset => self.handle_reset(&segment),
        }
    }

    fn handle_reset(&mut self, reset: &Segment) {
        let message_to_resend = self.network.connections.handle_reset(reset);
        if let Some(envelope) = message_to_resend {
            let to = (reset.from, self.nodes[reset.from].incarnation);
            self.write_control((reset.to, self.nodes[reset.to].incarnation), to, envelope);
        }
    }

    /// Resets the accepted connections of a process that ends while its machine goes on running.
    pub(super) fn close_connections(&mut self, index: usize) {
        if self.network.connections.model.detects_resets {
            let resets = self.network.connections.resets_on_exit(index);
            self.transmit_all(resets);
        }
    }
}
