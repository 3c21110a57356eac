//! Operators: they propose changes and read the configuration.

use std::time::Duration;

use jzon::JsonValue;

use crate::world::events::ScheduledEvent;
use crate::world::nodes::Process;
use crate::world::World;
use caperworks::identifiers::{ChangeId, Region, ServiceName, Version, Zone};
use caperworks::map_items::{Route, Value, ZoneSettings};
use caperworks::replicated_map::{Change, MapName, Put};
use controller::state_machine::input::ControllerInput;
use controller::state_machine::operator_messages::{OperatorCall, OperatorResponse};
use controller::state_machine::output::ControllerOutput;

impl World {
    /// Returns the status and configuration that an operator gets who calls the controllers in
    /// turn.
    pub fn operator_view(&mut self) -> (JsonValue, JsonValue) {
        let mut fallback = (JsonValue::new_object(), JsonValue::new_object());
        for index in self.targets("controller") {
            let local = self.local_time(index);
            let frozen = self.nodes[index].frozen;
            let Some(Process::Controller(machine)) = &mut self.nodes[index].process else {
                continue;
            };
            if frozen {
                continue;
            }
            let mut request = |call: OperatorCall| {
                machine
                    .input(local, operator_input(0, call, local))
                    .into_iter()
                    .find_map(|output| match output {
                        ControllerOutput::Respond { response, .. } => Some(response),
                        _ => None,
                    })
            };
            let Some(OperatorResponse::Status { status }) = request(OperatorCall::Status) else {
                continue;
            };
            let is_current = status.is_current;
            let status = controller::operator_json::status_json(&status);
            // The map is taken directly: a read would wait for a quorum read, and this call takes
            // no simulated time.
            if is_current {
                let map = machine.state.map(MapName::Configuration);
                return (status, controller::operator_json::map_json(map));
            }
            fallback.0 = status;
        }
        fallback
    }

    /// Applies a change set as an operator would, and runs the simulation until the outcome is
    /// known.
    pub fn apply(&mut self, change: Change) -> (u16, JsonValue) {
        let id = change.id.clone();
        self.submit_change(change);
        let until = self.now + Duration::from_secs(4);
        while self.now < until {
            if let Some(proposal_outcome) = self.proposal_outcomes.get(&id) {
                return controller::operator_json::proposal_outcome_json(proposal_outcome);
            }
            let next = self.now + Duration::from_millis(20);
            self.run_until(next);
        }
        (503, JsonValue::new_object())
    }

    /// Lets an operator propose a change, sometimes one that must not take effect.
    pub(super) fn run_operator(&mut self) {
        let interval = self.day.operator_interval;
        // The first configuration may be sent before there is a membership, and is sent until it is accepted.
        let is_configured = !self.known_versions.is_empty();
        let delay = self.random.between(interval / 2, interval * 3 / 2);
        if self.now + delay < self.day.length.saturating_sub(Duration::from_secs(4)) {
            self.schedule(self.now + delay, ScheduledEvent::Operator);
        }
        if !is_configured {
            let text = self.scenario.configuration().dump();
            if let Ok(change) = controller::operator_json::read_change(&text) {
                self.submit_change(change);
            }
            return;
        }
        let routes: Vec<JsonValue> = self.scenario.routes.members().cloned().collect();
        let route = &routes[self.random.below(routes.len() as u64) as usize];
        let number = self.next_call;
        let key = format!("rule/{}", route["name"].as_str().unwrap_or_default());
        let expected = self.known_versions.get(&key).copied();
        let mut put = route.clone();
        put["kind"] = "rule".into();
        put["rule"]["deadline_ms"] = (1500 + self.random.below(400)).into();
        if let Some(expected) = expected {
            put["edition"] = expected.0.into();
        }
        match self.random.below(9) {
            0 | 1 => {
                // Two operators change the same item concurrently through two controllers: one of
                // them must be rejected.
                self.propose(format!("race-{number}-left"), &put);
                self.propose(format!("race-{number}-right"), &put);
            }
            2 => self.propose_dangling(number, put),
            3 => self.propose_twice(number, &put),
            4 if self.day.bulk_change_routes > 0 => self.propose_many(number),
            5 => self.propose_second_step_first(number, expected, &put),
            6 if !self.completed_changes.is_empty() => {
                // An old change set is sent again much later; it must not take effect twice.
                let change = self.random_past_change();
                self.submit_change(change);
            }
            7 if !self.completed_changes.is_empty() => {
                // The id of an old change set is used for a different change.
                let id = self.random_past_change().id.to_string();
                self.propose(id, &put);
            }
            _ => self.propose(format!("tweak-{number}"), &put),
        }
    }

    fn propose(&mut self, id: String, put: &JsonValue) {
        if let Some(change) = change_of(id, put) {
            self.submit_change(change);
        }
    }

    /// Proposes a route to a service that does not exist: no part of the change set may take
    /// effect.
    fn propose_dangling(&mut self, number: u64, mut put: JsonValue) {
        put["rule"]["pool"] = "nowhere".into();
        if let Some(mut change) = change_of(format!("dangling-{number}"), &put) {
            change.puts.push(Put {
                key: format!("area/part-{number}"),
                expected: None,
                value: Some(Value::Zone {
                    zone: ZoneSettings {
                        region: Region::new("east"),
                        closed: false,
                    },
                }),
                written: None,
            });
            self.submit_change(change);
        }
    }

    /// Proposes the same change twice, as after a lost response.
    fn propose_twice(&mut self, number: u64, put: &JsonValue) {
        if let Some(change) = change_of(format!("again-{number}"), put) {
            self.submit_change(change.clone());
            self.submit_change(change);
        }
    }

    /// Proposes the second of two dependent changes before the first, possibly at different
    /// controllers.
    fn propose_second_step_first(
        &mut self,
        number: u64,
        expected: Option<Version>,
        put: &JsonValue,
    ) {
        let next = expected.map_or(1, |version| version.0 + 1);
        let mut second = put.clone();
        second["edition"] = next.into();
        self.propose(format!("step-{number}-second"), &second);
        self.propose(format!("step-{number}-first"), put);
    }

    /// Proposes many routes in one change set.
    fn propose_many(&mut self, number: u64) {
        let service = ServiceName::new(&self.scenario.services[0].name);
        let puts = (0..self.day.bulk_change_routes)
            .map(|index| Put {
                key: format!("rule/swell-{number}-{index}"),
                expected: None,
                value: Some(Value::Route {
                    route: Route {
                        host: format!("swell-{number}-{index}.example"),
                        path: "/".to_string(),
                        service: service.clone(),
                        homes: Vec::new(),
                        deadline: Duration::from_secs(1),
                        body_limit: 1000,
                        key_header: None,
                        ..Route::default()
                    },
                }),
                written: None,
            })
            .collect();
        self.submit_change(Change {
            id: ChangeId::new(format!("swell-{number}")),
            puts,
            guards: Vec::new(),
        });
    }

    /// Returns a random change set that was completed.
    fn random_past_change(&mut self) -> Change {
        let index = self.random.below(self.completed_changes.len() as u64) as usize;
        self.completed_changes[index].clone()
    }

    /// Lets an operator read the configuration at a random controller.
    pub(super) fn run_reader(&mut self) {
        self.schedule(self.now + super::READ_INTERVAL, ScheduledEvent::Reader);
        let controllers = self.live_controllers();
        if controllers.is_empty() {
            return;
        }
        let index = controllers[self.random.below(controllers.len() as u64) as usize];
        self.next_call += 1;
        let ticket = self.next_call;
        self.pending_reads.insert(ticket, self.now);
        self.call(index, ticket, OperatorCall::Read);
    }

    /// Submits a change to a random live controller.
    pub fn submit_change(&mut self, change: Change) {
        let controllers = self.live_controllers();
        self.next_call += 1;
        if controllers.is_empty() {
            return;
        }
        let index = controllers[self.random.below(controllers.len() as u64) as usize];
        let ticket = self.next_call;
        self.observers.proposed(&change);
        self.operator_calls.insert(ticket, change.clone());
        self.call(index, ticket, OperatorCall::Apply { change });
    }

    pub(super) fn set_zone_closed(&mut self, name: &str, closed: bool) {
        let Some(region) = self.regions.get(&Zone::new(name)).cloned() else {
            return;
        };
        let number = self.next_call;
        let change = Change {
            id: ChangeId::new(format!("turn-{name}-{closed}-{number}")),
            puts: vec![Put {
                key: format!("area/{name}"),
                expected: None,
                value: Some(Value::Zone {
                    zone: ZoneSettings { region, closed },
                }),
                written: None,
            }],
            guards: Vec::new(),
        };
        self.submit_change(change);
    }
}

/// Returns the change set of one put.
fn change_of(id: String, put: &JsonValue) -> Option<Change> {
    let text = jzon::object! { id: id, put: [put.clone()] }.dump();
    controller::operator_json::read_change(&text).ok()
}

/// Returns an operator's call whose request header was read at `received_at`.
pub fn operator_input(ticket: u64, call: OperatorCall, received_at: Duration) -> ControllerInput {
    ControllerInput::OperatorCall {
        ticket,
        call,
        received_at,
    }
}
