//! Changes that a leader proposes itself.

use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use caperworks::identifiers::Version;
use caperworks::map_items::{LeadershipTerm, Value};
use caperworks::replicated_map::{Change, MapName, Put};

/// Returns a change of one item that applies only while the item has the expected version.
pub(super) fn single_put(
    state: &mut ControllerState,
    what: &str,
    key: String,
    expected: Version,
    value: Value,
) -> Change {
    Change {
        id: state.own_change_id(what),
        puts: vec![Put {
            key,
            expected: Some(expected),
            value: Some(value),
            written: None,
        }],
        guards: Vec::new(),
    }
}

/// Proposes a new term of a role, on condition that its item still has the expected version.
pub(super) fn propose_term(
    state: &mut ControllerState,
    name: &'static str,
    term: LeadershipTerm,
    expected: Version,
) {
    let key = term_key(name);
    let change = single_put(state, name, key, expected, Value::Leadership { term });
    state.propose(
        MapName::Membership,
        ProposalOrigin::Leadership(name),
        change,
    );
}

/// Returns the key of the membership item that names the current leader of a role.
pub(super) fn term_key(name: &str) -> String {
    format!("duty/{name}")
}
