//! Instances that announce their termination and serve on for a while.

use std::time::Duration;

use crate::actors::instance::SimInstance;
use crate::world::events::{DeregistrationTicket, NodeEvent};
use crate::world::nodes::Process;
use crate::world::World;
use caperworks::envelope_clock::Echo;
use controller::state_machine::operator_messages::OperatorResponse;

/// How long an instance waits for the acknowledgement before it calls another controller.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

impl World {
    /// Returns the next call by which an instance announces its termination, if one is due, and the
    /// controller that it goes to.
    pub(super) fn next_deregistration(
        &mut self,
        index: usize,
        local: Duration,
        instance: &mut SimInstance,
    ) -> Option<(usize, NodeEvent)> {
        let deregistration = instance.deregistration.as_mut()?;
        if deregistration.is_acknowledged || local < deregistration.next_call {
            return None;
        }
        deregistration.next_call = local + CALL_TIMEOUT;
        let controllers = self.live_controllers();
        let chosen = self.random.below(controllers.len().max(1) as u64) as usize;
        let call = NodeEvent::DeregistrationArrived {
            id: instance.id.clone(),
            instance: index,
            instance_incarnation: self.nodes[index].incarnation,
        };
        controllers
            .get(chosen)
            .map(|controller| (*controller, call))
    }

    /// Records that an instance's call awaits a response; returns its ticket.
    pub(super) fn register_deregistration(
        &mut self,
        index: usize,
        pending: DeregistrationTicket,
    ) -> u64 {
        self.next_ticket += 1;
        self.deregistration_tickets
            .insert((index, self.next_ticket), pending);
        self.next_ticket
    }

    /// Forwards a controller's response to the instance that announced its termination; returns whether it is an
    /// acknowledgement.
    pub(super) fn take_deregistration_response(
        &mut self,
        index: usize,
        pending: &DeregistrationTicket,
        response: &OperatorResponse,
    ) -> bool {
        if !matches!(response, OperatorResponse::Heartbeat { .. }) {
            return false;
        }
        if let Some(Process::Instance(instance)) = &self.nodes[pending.instance].process {
            let heartbeat = instance.current_heartbeat(self.now);
            self.observers.draining_received(self.now, &heartbeat);
        }
        if self.nodes[pending.instance].incarnation == pending.instance_incarnation {
            self.send(
                index,
                pending.instance,
                NodeEvent::DeregistrationAcknowledged,
            );
        }
        true
    }

    /// Sends a heartbeat of an instance to each controller that arrives only after this delay.
    pub(super) fn delay_heartbeat(&mut self, index: usize, delay: Duration) {
        let local = self.local_time(index);
        let Some(Process::Instance(instance)) = &mut self.nodes[index].process else {
            return;
        };
        let heartbeat = instance.heartbeat(local);
        let stamps = instance.stamps.clone();
        for (controller, (stamp, since)) in stamps {
            let echo = Echo {
                stamp,
                held: local.saturating_sub(since),
            };
            let late = NodeEvent::HeartbeatArrived {
                number: heartbeat.counter,
                heartbeat: Box::new(heartbeat.clone()),
                echo: Some(echo),
                instance: index,
                instance_incarnation: self.nodes[index].incarnation,
            };
            self.schedule_for_node(controller, delay, late);
        }
    }

    /// Lets an instance whose announcement was acknowledged serve on for a while, and then end.
    pub(super) fn finish_deregistration(&mut self, index: usize, instance: &mut SimInstance) {
        let Some(deregistration) = &mut instance.deregistration else {
            return;
        };
        if !deregistration.is_acknowledged {
            deregistration.is_acknowledged = true;
            let serves_on = deregistration.serves_on;
            self.schedule_for_node(index, serves_on, NodeEvent::ShutdownFinished);
        }
    }
}
