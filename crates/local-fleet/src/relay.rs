//! A relay between the control ports of the fleet's processes, so that network partitions can be simulated
//! on one machine.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::Request;
use jzon::JsonValue;

use crate::http_relay::{relay, HttpMode, HttpModes};
use caperworks::identifiers::NodeId;
use caperworks::messages::Envelope;
use runtime::connections::{listen, ControlPort};
use runtime::http::{json_response, read_limited_body, serve_http};
use runtime::locks::locked;

/// The active partitions. Messages from the first set of addresses of a pair to the second are dropped.
#[derive(Debug, Clone, Default)]
pub struct NetworkPartitions {
    pub directions: Vec<(HashSet<SocketAddr>, HashSet<SocketAddr>)>,
}

impl NetworkPartitions {
    fn drops(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.directions
            .iter()
            .any(|(senders, receivers)| senders.contains(&from) && receivers.contains(&to))
    }
}

fn read_addresses(value: &JsonValue) -> HashSet<SocketAddr> {
    value
        .members()
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect()
}

/// Relays messages from each advertised address to the address listened on, except for those that a
/// partition drops. Serves requests that change partitions and HTTP modes; runs until the process is ended.
pub async fn run(
    serving: SocketAddr,
    pairs: &[(SocketAddr, SocketAddr)],
    http: &[(SocketAddr, SocketAddr)],
) -> anyhow::Result<()> {
    let partitions: Arc<Mutex<NetworkPartitions>> = Arc::default();
    let modes: HttpModes = Arc::default();
    for (advertised, listened) in http.iter().copied() {
        relay(advertised, listened, modes.clone()).await?;
    }
    for (advertised, listened) in pairs.iter().copied() {
        let partitions = partitions.clone();
        let outgoing: Arc<Mutex<Option<ControlPort>>> = Arc::default();
        let forwarding = outgoing.clone();
        let port = ControlPort::open(NodeId(0), advertised, advertised, move |envelope| {
            if !locked(&partitions).drops(envelope.reply_to, advertised) {
                if let Some(port) = &*locked(&forwarding) {
                    // The response cannot come back on this connection, because the relay is in between.
                    let envelope = Envelope {
                        is_bidirectional: false,
                        ..envelope
                    };
                    port.forward(listened, &envelope);
                }
            }
        })
        .await?;
        *locked(&outgoing) = Some(port);
    }
    let listener = listen(serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    serve_http(listener, stop, move |_, request: Request<Incoming>| {
        let (partitions, modes) = (partitions.clone(), modes.clone());
        async move {
            let path = request.uri().path().to_string();
            let body = read_limited_body(request.into_body(), 1024 * 1024)
                .await
                .unwrap_or_default();
            let value = jzon::parse(&String::from_utf8_lossy(&body)).unwrap_or(JsonValue::Null);
            let mut partitions = locked(&partitions);
            match path.as_str() {
                "/cut" => partitions
                    .directions
                    .push((read_addresses(&value["from"]), read_addresses(&value["to"]))),
                "/join" => {
                    partitions.directions.clear();
                    locked(&modes).clear();
                }
                "/http" => {
                    let late = Duration::from_millis(value["late_ms"].as_u64().unwrap_or(0));
                    let mode = HttpMode::read(value["mode"].as_str().unwrap_or_default(), late);
                    let Some(mode) = mode else {
                        return Ok(json_response(400, &jzon::object! { why: "unknown mode" }));
                    };
                    let addresses = read_addresses(&value["at"]);
                    let changed = addresses.into_iter().map(|address| (address, mode));
                    locked(&modes).extend(changed);
                }
                _ => {
                    return Ok(json_response(
                        404,
                        &jzon::object! { why: "unknown path: use /cut, /http or /join" },
                    ))
                }
            }
            Ok(json_response(
                200,
                &jzon::object! { ways: partitions.directions.len() },
            ))
        }
    })
    .await;
    Ok(())
}
