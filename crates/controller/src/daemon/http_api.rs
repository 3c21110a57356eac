//! The controller's native HTTP API for operators and instances.
//!
//! Paths and field names (`standing`, `beats`, `edition`) are part of the API and must not change.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use thiserror::Error;

use crate::daemon::handle::ControllerHandle;
use crate::operator_json::reading::change_set::read_form;
use crate::operator_json::reading::fallback_members::read_removed_agents;
use crate::operator_json::writing::changes::changes_json;
use crate::operator_json::writing::items::{item_json, map_json};
use crate::operator_json::writing::outcome::proposal_outcome_json;
use crate::operator_json::writing::status::status_json;
use crate::state_machine::operator_messages::{OperatorCall, OperatorResponse};
use caperworks::configuration::{Fault, MAX_CONFIGURATION_BYTES};
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::envelope_clock::Echo;
use caperworks::facts::Heartbeat;
use caperworks::identifiers::Version;
use caperworks::replicated_map::ReplicatedMap;
use runtime::http::heartbeats::{self, HeartbeatError};
use runtime::http::{json_response, read_limited_body, ready_response, Body, BodyError};

/// Maximum size of a body that is not a change set.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// Maximum time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// The reason why the body of a change set cannot be read.
#[derive(Debug, PartialEq, Eq, Error)]
enum ChangeSetBodyError {
    #[error("a change set must not be larger than {MAX_CONFIGURATION_BYTES} bytes")]
    TooLarge,
    #[error("the connection failed before the complete body arrived")]
    Interrupted,
}

/// The reason why a heartbeat cannot be read.
#[derive(Debug, PartialEq, Eq, Error)]
enum HeartbeatBodyError {
    #[error("the body is too large or incomplete")]
    Body,
    #[error("{0}")]
    Form(HeartbeatError),
}

impl ControllerHandle {
    /// Responds to a request to the native API.
    pub async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_string();
        let query = request.uri().query().unwrap_or_default().to_string();
        let method = request.method().clone();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&method, segments.as_slice()) {
            (&Method::GET, ["ready"]) => ready_response(self.is_ready()),
            (&Method::POST, ["v1", "standing"]) => self.apply(request).await,
            (&Method::GET, ["v1", "standing"]) => self.read_map().await,
            (&Method::GET, ["v1", "standing", kind, name]) => {
                self.read_item(&format!("{kind}/{name}")).await
            }
            (&Method::POST, ["v1", "roster"]) => self.remove_agents(request).await,
            (&Method::GET, ["v1", "changes"]) => self.watch(&query).await,
            (&Method::GET, ["v1", "status"]) => self.status().await,
            (&Method::POST, ["beats"]) => self.handle_heartbeat(request).await,
            _ => json_response(404, &jzon::object! { why: "there is no such resource" }),
        }
    }

    /// Applies a change set.
    async fn apply(&self, request: Request<Incoming>) -> Response<Body> {
        match read_change_set(request).await {
            Ok(text) => self.apply_text(&text).await,
            Err(error) => {
                let fault = Fault::new("body", error.to_string());
                outcome_response(&ProposalOutcome::Invalid(vec![fault]))
            }
        }
    }

    /// Applies a change set whose form is valid. Otherwise the change is only checked, so that one response
    /// reports the errors in both form and content.
    async fn apply_text(&self, text: &str) -> Response<Body> {
        let (change, errors) = read_form(text);
        let mut faults: Vec<Fault> = errors.into_iter().map(Fault::from).collect();
        let call = if faults.is_empty() {
            OperatorCall::Apply { change }
        } else {
            OperatorCall::Check { change }
        };
        let proposal_outcome = match self.call(call).await {
            Some(OperatorResponse::ProposalOutcome {
                proposal_outcome: ProposalOutcome::Invalid(more),
            }) => {
                faults.extend(more);
                ProposalOutcome::Invalid(faults)
            }
            Some(OperatorResponse::ProposalOutcome { proposal_outcome }) => proposal_outcome,
            Some(OperatorResponse::ShuttingDown) => return shutting_down(),
            // Report only the errors of form: a check against a replica that may be outdated is not reliable.
            Some(OperatorResponse::NotCurrent) if !faults.is_empty() => {
                ProposalOutcome::Invalid(faults)
            }
            Some(OperatorResponse::NotCurrent) => return not_current(),
            _ => ProposalOutcome::Unknown,
        };
        outcome_response(&proposal_outcome)
    }

    /// Removes agents from the fallback members.
    async fn remove_agents(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_limited_body(request.into_body(), MAX_SMALL_BODY_BYTES).await;
        let text = body.unwrap_or_default();
        let proposal_outcome = match read_removed_agents(&String::from_utf8_lossy(&text)) {
            Err(errors) => ProposalOutcome::Invalid(errors.into_iter().map(Fault::from).collect()),
            Ok(agents) => match self.call(OperatorCall::RemoveAgents { agents }).await {
                Some(OperatorResponse::ProposalOutcome { proposal_outcome }) => proposal_outcome,
                Some(OperatorResponse::ShuttingDown) => return shutting_down(),
                _ => ProposalOutcome::Unknown,
            },
        };
        outcome_response(&proposal_outcome)
    }

    async fn read_configuration(&self) -> Option<ReplicatedMap> {
        match self.call(OperatorCall::Read).await {
            Some(OperatorResponse::Configuration { map }) => Some(map),
            _ => None,
        }
    }

    /// Responds with the complete configuration.
    async fn read_map(&self) -> Response<Body> {
        match self.read_configuration().await {
            Some(map) => json_response(200, &map_json(&map)),
            None => not_current(),
        }
    }

    /// Responds with one item of the configuration.
    async fn read_item(&self, key: &str) -> Response<Body> {
        let Some(map) = self.read_configuration().await else {
            return not_current();
        };
        match map.items.get(key) {
            Some(item) => json_response(200, &item_json(key, item.version, &item.value)),
            None => json_response(404, &jzon::object! { why: format!("there is no {key}") }),
        }
    }

    /// Responds with the changes after a version, as soon as there are any or the wait has timed out.
    async fn watch(&self, query: &str) -> Response<Body> {
        let Some(after) = query_number(query, "after").map(Version) else {
            let why =
                "the query needs after=EDITION; to wait for changes, add wait_ms=MILLISECONDS";
            return json_response(400, &jzon::object! { why: why });
        };
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let wait = wait.min(MAX_WATCH_WAIT);
        match self.call(OperatorCall::Watch { after, wait }).await {
            Some(OperatorResponse::Changes {
                version,
                update,
                is_current,
            }) => json_response(200, &changes_json(version, update, is_current)),
            _ => not_current(),
        }
    }

    /// Responds with this controller's view of the fleet.
    async fn status(&self) -> Response<Body> {
        match self.call(OperatorCall::Status).await {
            Some(OperatorResponse::Status { status }) => json_response(200, &status_json(&status)),
            _ => not_current(),
        }
    }

    /// Handles a heartbeat of an instance.
    async fn handle_heartbeat(&self, request: Request<Incoming>) -> Response<Body> {
        match read_heartbeat(request).await {
            Err(error) => json_response(400, &jzon::object! { why: error.to_string() }),
            Ok((heartbeat, echo)) => match self.heartbeat(heartbeat, echo).await {
                Some(response) => json_response(200, &heartbeats::write_with_stamp(&response)),
                None => not_current(),
            },
        }
    }
}

async fn read_change_set(request: Request<Incoming>) -> Result<String, ChangeSetBodyError> {
    match read_limited_body(request.into_body(), MAX_CONFIGURATION_BYTES).await {
        Ok(body) => Ok(String::from_utf8_lossy(&body).into_owned()),
        Err(BodyError::TooLarge) => Err(ChangeSetBodyError::TooLarge),
        Err(BodyError::Interrupted) => Err(ChangeSetBodyError::Interrupted),
    }
}

async fn read_heartbeat(
    request: Request<Incoming>,
) -> Result<(Heartbeat, Option<Echo>), HeartbeatBodyError> {
    let body = read_limited_body(request.into_body(), MAX_SMALL_BODY_BYTES)
        .await
        .map_err(|_| HeartbeatBodyError::Body)?;
    heartbeats::read_with_echo(&String::from_utf8_lossy(&body)).map_err(HeartbeatBodyError::Form)
}

/// Returns a number from a query, if it is present and can be parsed.
fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

fn outcome_response(proposal_outcome: &ProposalOutcome) -> Response<Body> {
    let (status, json) = proposal_outcome_json(proposal_outcome);
    json_response(status, &json)
}

/// Returns the response while this controller is shutting down.
fn shutting_down() -> Response<Body> {
    let why = "this controller is shutting down: try another one; nothing was applied";
    json_response(503, &jzon::object! { outcome: "refused", why: why })
}

/// Returns the response while this controller has no recent contact to a majority.
fn not_current() -> Response<Body> {
    let why = "this controller's state may be outdated: it has no recent contact to a majority";
    json_response(503, &jzon::object! { why: why })
}
