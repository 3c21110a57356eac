//! A relay between our processes' control ports, so that a cut can be made on one machine.

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

/// One way that is cut: nothing from any of these reaches any of those.
#[derive(Debug, Clone, Default)]
pub struct CutWays {
    pub ways: Vec<(HashSet<SocketAddr>, HashSet<SocketAddr>)>,
}

impl CutWays {
    fn cuts(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.ways
            .iter()
            .any(|(froms, tos)| froms.contains(&from) && tos.contains(&to))
    }
}

fn read_addresses(value: &JsonValue) -> HashSet<SocketAddr> {
    value
        .members()
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect()
}

/// Relays each advertised address to the one listened on, but for what is cut; runs until ended.
pub async fn run(
    serving: SocketAddr,
    pairs: &[(SocketAddr, SocketAddr)],
    http: &[(SocketAddr, SocketAddr)],
) -> anyhow::Result<()> {
    let cut: Arc<Mutex<CutWays>> = Arc::default();
    let modes: HttpModes = Arc::default();
    for (advertised, listened) in http.iter().copied() {
        relay(advertised, listened, modes.clone()).await?;
    }
    for (advertised, listened) in pairs.iter().copied() {
        let cut = cut.clone();
        let way: Arc<Mutex<Option<ControlPort>>> = Arc::default();
        let forwarding = way.clone();
        let port = ControlPort::open(NodeId(0), advertised, advertised, move |envelope| {
            if !locked(&cut).cuts(envelope.reply_to, advertised) {
                if let Some(port) = &*locked(&forwarding) {
                    // The relay stands between, so the answer cannot come back on this connection.
                    let envelope = Envelope {
                        is_bidirectional: false,
                        ..envelope
                    };
                    port.forward(listened, &envelope);
                }
            }
        })
        .await?;
        *locked(&way) = Some(port);
    }
    let listener = listen(serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    serve_http(listener, stop, move |_, request: Request<Incoming>| {
        let (cut, modes) = (cut.clone(), modes.clone());
        async move {
            let path = request.uri().path().to_string();
            let body = read_limited_body(request.into_body(), 1024 * 1024)
                .await
                .unwrap_or_default();
            let value = jzon::parse(&String::from_utf8_lossy(&body)).unwrap_or(JsonValue::Null);
            let mut cut = locked(&cut);
            match path.as_str() {
                "/cut" => cut
                    .ways
                    .push((read_addresses(&value["from"]), read_addresses(&value["to"]))),
                "/join" => {
                    cut.ways.clear();
                    locked(&modes).clear();
                }
                "/http" => {
                    let late = Duration::from_millis(value["late_ms"].as_u64().unwrap_or(0));
                    let mode = HttpMode::read(value["mode"].as_str().unwrap_or_default(), late);
                    let Some(mode) = mode else {
                        return Ok(json_response(400, &jzon::object! { why: "no such mode" }));
                    };
                    let addresses = read_addresses(&value["at"]);
                    let changed = addresses.into_iter().map(|address| (address, mode));
                    locked(&modes).extend(changed);
                }
                _ => {
                    return Ok(json_response(
                        404,
                        &jzon::object! { why: "cut, http or join" },
                    ))
                }
            }
            Ok(json_response(200, &jzon::object! { ways: cut.ways.len() }))
        }
    })
    .await;
    Ok(())
}
