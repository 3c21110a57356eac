//! What agents hear, and what they want done.

use crate::prelude::*;

impl World {
    /// Lets an agent take up what happened to it.
    pub(super) fn act_agent(
        &mut self,
        place: usize,
        local: Duration,
        mut machine: Box<AgentMachine>,
        happening: Happening,
    ) {
        let input = match happening {
            Happening::Tick => Some(AgentInput::Tick),
            Happening::Control { envelope } => Some(AgentInput::Heard {
                envelope: *envelope,
            }),
            Happening::HeartbeatTarget {
                heartbeat,
                echo,
                number,
                instance,
                instance_life,
            } => {
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                let owed = HeartbeatTicket {
                    instance,
                    instance_life,
                    number,
                };
                self.tickets.insert((place, ticket), owed);
                Some(AgentInput::Heartbeat {
                    ticket,
                    heartbeat: *heartbeat,
                    echo,
                })
            }
            _ => None,
        };
        let outputs = input
            .map(|input| machine.input(local, input))
            .unwrap_or_default();
        self.nodes[place].body = Some(Body::Agent(machine));
        self.carry_out_agent(place, outputs);
    }

    fn carry_out_agent(&mut self, place: usize, outputs: Vec<AgentOutput>) {
        for output in outputs {
            match output {
                AgentOutput::Send { to, message } => {
                    self.send_control(place, to, message);
                }
                AgentOutput::AnswerHeartbeat { ticket, answer } => {
                    if let Some(owed) = self.tickets.remove(&(place, ticket)) {
                        if self.nodes[owed.instance].life == owed.instance_life {
                            let number = owed.number;
                            self.send(
                                place,
                                owed.instance,
                                Happening::HeartbeatAnswered { number, answer },
                            );
                        }
                    }
                }
                AgentOutput::Stopped => self.end(place, false),
                AgentOutput::Note { .. } | AgentOutput::AnswerUsage { .. } => {}
            }
        }
    }
}
