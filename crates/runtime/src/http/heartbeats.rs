//! The JSON of heartbeats and of the responses to them. The field names are part of the public interface.

use std::time::Duration;

use caperworks::envelope_clock::{Echo, Stamp};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{Epoch, Incarnation, InstanceId, NodeId, ServiceName, Zone};
use caperworks::ownership::{
    HeartbeatResponse, KeyRangeLease, ReleasedKeyRange, TimestampedResponse,
};
use jzon::JsonValue;
use thiserror::Error;

/// Writes a heartbeat.
pub fn write(heartbeat: &Heartbeat) -> JsonValue {
    jzon::object! {
        id: heartbeat.id.as_str(),
        incarnation: heartbeat.incarnation.0,
        counter: heartbeat.counter,
        pool: heartbeat.service.as_str(),
        area: heartbeat.zone.as_str(),
        address: heartbeat.address.to_string(),
        capacity: heartbeat.capacity,
        state: match heartbeat.state {
            InstanceState::Warming => "warming",
            InstanceState::Serving => "serving",
            InstanceState::Draining => "leaving",
        },
        load: heartbeat.load,
        up_ms: heartbeat.uptime.as_millis() as u64,
        warm_up_left_ms: heartbeat.warm_up_left.as_millis() as u64,
        holding: heartbeat.key_ranges_in_use.clone(),
        let_go: heartbeat
            .released
            .iter()
            .map(|released| {
                let mut json = jzon::object! { slice: released.key_range };
                if let Some(epoch) = released.epoch {
                    json["epoch"] = epoch.0.into();
                }
                if let Some(handover) = &released.handover {
                    json["handover"] = handover.as_str().into();
                }
                json
            })
            .collect::<Vec<JsonValue>>(),
    }
}

/// The JSON of a heartbeat is invalid. A retry of the same heartbeat does not help.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeartbeatError {
    /// It is not valid JSON.
    #[error("is not valid JSON: {0}")]
    NotJson(String),
    /// A field is missing or invalid.
    #[error("{field} must be {expected}")]
    Field {
        /// The field.
        field: String,
        /// What it must be.
        expected: &'static str,
    },
    /// A list has an invalid entry.
    #[error("{field} must list {expected}")]
    Entry {
        /// The field.
        field: &'static str,
        /// What it must list.
        expected: &'static str,
    },
}

impl HeartbeatError {
    fn field(field: &str, expected: &'static str) -> Self {
        Self::Field {
            field: field.to_string(),
            expected,
        }
    }
}

fn parse(text: &str) -> Result<JsonValue, HeartbeatError> {
    jzon::parse(text).map_err(|failure| HeartbeatError::NotJson(failure.to_string()))
}

fn read_text(value: &JsonValue, name: &str) -> Result<String, HeartbeatError> {
    match value[name].as_str() {
        Some(text) if !text.is_empty() && text.len() <= 128 => Ok(text.to_string()),
        _ => Err(HeartbeatError::field(
            name,
            "a string of 1 to 128 characters",
        )),
    }
}

fn read_number(value: &JsonValue, name: &str) -> Result<u64, HeartbeatError> {
    let number = value[name].as_u64();
    number.ok_or_else(|| HeartbeatError::field(name, "a whole number"))
}

fn read_small_number(value: &JsonValue, name: &str) -> Result<u32, HeartbeatError> {
    let number = value[name].as_u32();
    number.ok_or_else(|| HeartbeatError::field(name, "a whole number"))
}

fn read_state(value: &JsonValue) -> Result<InstanceState, HeartbeatError> {
    match value["state"].as_str() {
        Some("warming") => Ok(InstanceState::Warming),
        Some("serving") => Ok(InstanceState::Serving),
        Some("leaving") => Ok(InstanceState::Draining),
        _ => Err(HeartbeatError::field(
            "state",
            "warming, serving or leaving",
        )),
    }
}

fn read_held_key_ranges(value: &JsonValue) -> Result<Vec<u32>, HeartbeatError> {
    let not_numbers = HeartbeatError::Entry {
        field: "holding",
        expected: "key range numbers",
    };
    match &value["holding"] {
        JsonValue::Null => Ok(Vec::new()),
        JsonValue::Array(list) => {
            let numbers = list.iter().map(JsonValue::as_u32);
            numbers.collect::<Option<_>>().ok_or(not_numbers)
        }
        _ => Err(HeartbeatError::field("holding", "a list")),
    }
}

fn read_let_go(value: &JsonValue) -> Result<Vec<ReleasedKeyRange>, HeartbeatError> {
    let read = |entry: &JsonValue| {
        Some(ReleasedKeyRange {
            key_range: entry["slice"].as_u32()?,
            epoch: Some(Epoch(entry["epoch"].as_u64()?)),
            handover: entry["handover"].as_str().map(str::to_string),
        })
    };
    let entries = value["let_go"].members().map(read);
    entries.collect::<Option<_>>().ok_or(HeartbeatError::Entry {
        field: "let_go",
        expected: "key ranges with their epochs",
    })
}

/// Reads how much longer the instance is warming up; not at all if it does not say so.
fn read_warm_up_left(value: &JsonValue) -> Result<Duration, HeartbeatError> {
    let millis = match value["warm_up_left_ms"].is_null() {
        true => 0,
        false => read_number(value, "warm_up_left_ms")?,
    };
    Ok(Duration::from_millis(millis))
}

/// Reads a heartbeat. The fields are read in this order, so the first invalid one is named in the error.
fn read(value: &JsonValue) -> Result<Heartbeat, HeartbeatError> {
    let state = read_state(value)?;
    let key_ranges_in_use = read_held_key_ranges(value)?;
    let let_go = read_let_go(value)?;
    Ok(Heartbeat {
        id: InstanceId::new(read_text(value, "id")?),
        incarnation: Incarnation(read_number(value, "incarnation")?),
        counter: read_number(value, "counter")?,
        service: ServiceName::new(read_text(value, "pool")?),
        zone: Zone::new(read_text(value, "area")?),
        address: read_text(value, "address")?
            .parse()
            .map_err(|_| HeartbeatError::field("address", "an IP address and port"))?,
        capacity: read_small_number(value, "capacity")?,
        state,
        load: read_small_number(value, "load")?,
        uptime: Duration::from_millis(read_number(value, "up_ms")?),
        key_ranges_in_use,
        released: let_go,
        warm_up_left: read_warm_up_left(value)?,
    })
}

/// Reads a heartbeat with the stamp that its instance returns, if it has one.
pub fn read_with_echo(text: &str) -> Result<(Heartbeat, Option<Echo>), HeartbeatError> {
    let value = parse(text)?;
    Ok((read(&value)?, read_echo(&value["stamp"])?))
}

fn read_echo(value: &JsonValue) -> Result<Option<Echo>, HeartbeatError> {
    if value.is_null() {
        return Ok(None);
    }
    let stamp =
        read_stamp(value).ok_or_else(|| HeartbeatError::field("stamp", "returned unchanged"))?;
    let held = value["held_us"]
        .as_u64()
        .ok_or_else(|| HeartbeatError::field("stamp.held_us", "a whole number"))?;
    let held = Duration::from_micros(held);
    Ok(Some(Echo { stamp, held }))
}

/// Writes the stamp that an instance returns, with how long the instance held it.
pub fn write_echo(echo: &Echo) -> JsonValue {
    let mut json = write_stamp(&echo.stamp);
    json["held_us"] = (echo.held.as_micros() as u64).into();
    json
}

fn write_stamp(stamp: &Stamp) -> JsonValue {
    // The node id is text, since it has more digits than JSON numbers can represent.
    jzon::object! { node: stamp.incarnation.to_string(), at_us: stamp.at.as_micros() as u64 }
}

fn read_stamp(value: &JsonValue) -> Option<Stamp> {
    Some(Stamp {
        incarnation: NodeId(value["node"].as_str()?.parse().ok()?),
        at: Duration::from_micros(value["at_us"].as_u64()?),
    })
}

/// Writes the response to a heartbeat.
pub fn write_with_stamp(timestamped: &TimestampedResponse) -> JsonValue {
    let mut json = write_response(&timestamped.response);
    json["stamp"] = write_stamp(&timestamped.stamp);
    json["again"] = timestamped.resend.into();
    json
}

/// Reads the response to a heartbeat; returns `None` if it has no stamp.
pub fn read_timestamped_response(value: &JsonValue) -> Option<TimestampedResponse> {
    Some(TimestampedResponse {
        response: read_response(value),
        stamp: read_stamp(&value["stamp"])?,
        resend: value["again"].as_bool()?,
    })
}

fn key_ranges_json(leases: &[KeyRangeLease]) -> Vec<JsonValue> {
    leases
        .iter()
        .map(|lease| {
            let mut json = jzon::object! {
                slice: lease.key_range,
                epoch: lease.epoch.0,
                left_ms: lease.duration.as_millis() as u64,
            };
            if let Some(handover) = &lease.handover {
                json["handover"] = handover.as_str().into();
            }
            json
        })
        .collect()
}

fn write_response(response: &HeartbeatResponse) -> JsonValue {
    jzon::object! {
        holds: key_ranges_json(&response.leases),
        release: key_ranges_json(&response.release),
    }
}

fn read_response(value: &JsonValue) -> HeartbeatResponse {
    let list = |name: &str| -> Vec<KeyRangeLease> {
        value[name]
            .members()
            .filter_map(|lease| {
                Some(KeyRangeLease {
                    key_range: lease["slice"].as_u32()?,
                    epoch: Epoch(lease["epoch"].as_u64()?),
                    duration: Duration::from_millis(lease["left_ms"].as_u64()?),
                    handover: lease["handover"].as_str().map(str::to_string),
                })
            })
            .collect()
    };
    HeartbeatResponse {
        leases: list("holds"),
        release: list("release"),
        ..HeartbeatResponse::default()
    }
}
