//! A relay between our processes' control ports, so that a cut can be made on one machine.

use crate::prelude::*;

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
pub async fn run(serving: SocketAddr, pairs: &[(SocketAddr, SocketAddr)]) -> anyhow::Result<()> {
    let cut: Arc<Mutex<CutWays>> = Arc::default();
    for (advertised, listened) in pairs.iter().copied() {
        let cut = cut.clone();
        let way: Arc<Mutex<Option<ControlPort>>> = Arc::default();
        let forwarding = way.clone();
        let port = ControlPort::open(NodeId(0), advertised, advertised, move |envelope| {
            if !locked(&cut).cuts(envelope.reply_to, advertised) {
                if let Some(port) = &*locked(&forwarding) {
                    port.forward(listened, &envelope);
                }
            }
        })
        .await?;
        *locked(&way) = Some(port);
    }
    let listener = listen(serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    serve_http(listener, stop, move |_, order: Request<Incoming>| {
        let cut = cut.clone();
        async move {
            let path = order.uri().path().to_string();
            let body = small_body(order.into_body(), 1024 * 1024)
                .await
                .unwrap_or_default();
            let value = jzon::parse(&String::from_utf8_lossy(&body)).unwrap_or(JsonValue::Null);
            let mut cut = locked(&cut);
            match path.as_str() {
                "/cut" => cut
                    .ways
                    .push((read_addresses(&value["from"]), read_addresses(&value["to"]))),
                "/join" => cut.ways.clear(),
                _ => return Ok(json_answer(404, &jzon::object! { why: "cut or join" })),
            }
            Ok(json_answer(200, &jzon::object! { ways: cut.ways.len() }))
        }
    })
    .await;
    Ok(())
}
