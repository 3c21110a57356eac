//! Clients of the proxy, each with a socket of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::journal::{Journal, ObservedResponse, SentRequest};
use crate::support::wire::{body_of, chunked_body, Truncated, Wire};
use caperworks::identifiers::RandomSource;
use runtime::http::OUTCOME_HEADER;

/// Uploads are larger than what the proxy buffers.
const UPLOAD_BYTES: usize = 90_000;
/// Longer than any request may take, even on slow machines.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What a client does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientAction {
    Read,
    ReadHead,
    Once,
    OnceInChunks,
    Upload,
    UploadInChunks,
    /// Sends a part of an upload and disconnects.
    AbortedUpload,
    /// Sends a complete request and disconnects.
    DisconnectWhileWaiting,
    /// Sends two requests at once and reads both responses.
    Pipelined,
}

const ACTIONS: [(ClientAction, u64); 9] = [
    (ClientAction::Read, 35),
    (ClientAction::ReadHead, 3),
    (ClientAction::Once, 25),
    (ClientAction::OnceInChunks, 6),
    (ClientAction::Upload, 4),
    (ClientAction::UploadInChunks, 4),
    (ClientAction::AbortedUpload, 4),
    (ClientAction::DisconnectWhileWaiting, 4),
    (ClientAction::Pipelined, 6),
];

fn random_action(random_source: &mut RandomSource) -> ClientAction {
    let total: u64 = ACTIONS.iter().map(|(_, weight)| weight).sum();
    let mut remaining_weight = random_source.below(total);
    for (action, weight) in ACTIONS {
        if remaining_weight < weight {
            return action;
        }
        remaining_weight -= weight;
    }
    ClientAction::Read
}

/// A client with at most one open connection to the proxy.
pub struct Client {
    pub name: String,
    pub proxy: SocketAddr,
    pub journal: Arc<Journal>,
    pub random_source: RandomSource,
    wire: Option<Wire<TcpStream>>,
    sent: u32,
}

/// A request ready to be written.
struct Prepared {
    id: String,
    bytes: Vec<u8>,
}

impl Client {
    pub fn new(
        name: String,
        proxy: SocketAddr,
        journal: Arc<Journal>,
        random_source: RandomSource,
    ) -> Self {
        Self {
            name,
            proxy,
            journal,
            random_source,
            wire: None,
            sent: 0,
        }
    }

    /// Sends this many requests, one after the other.
    pub async fn run(mut self, requests: u32) {
        for _ in 0..requests {
            let action = random_action(&mut self.random_source);
            let performed = tokio::time::timeout(TIMEOUT, self.perform(action)).await;
            if performed.is_err() {
                self.journal
                    .record_violation(format!("{}: request did not finish: {action:?}", self.name));
            }
        }
        self.end().await;
    }

    /// Half-closes the connection; the proxy must send nothing after that.
    async fn end(&mut self) {
        let Some(mut wire) = self.wire.take() else {
            return;
        };
        let _ = wire.reader.shutdown().await;
        let ended = tokio::time::timeout(TIMEOUT, wire.read_to_end()).await;
        if ended.unwrap_or(true) {
            let name = &self.name;
            self.journal
                .record_violation(format!("{name}: received bytes that belong to no request"));
        }
    }

    async fn perform(&mut self, action: ClientAction) {
        match action {
            ClientAction::Read => self.exchange_request("GET", 0, false).await,
            ClientAction::ReadHead => self.exchange_request("HEAD", 0, false).await,
            ClientAction::Once => self.exchange_request("POST", 300, false).await,
            ClientAction::OnceInChunks => self.exchange_request("POST", 300, true).await,
            ClientAction::Upload => self.exchange_request("POST", UPLOAD_BYTES, false).await,
            ClientAction::UploadInChunks => self.exchange_request("POST", UPLOAD_BYTES, true).await,
            ClientAction::AbortedUpload => self.abort_upload().await,
            ClientAction::DisconnectWhileWaiting => self.disconnect().await,
            ClientAction::Pipelined => self.pipeline().await,
        }
    }

    /// Creates a request and records it in the journal.
    fn prepare(&mut self, method: &'static str, length: usize, is_chunked: bool) -> Prepared {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let path = format!("/things/{id}?of={}", self.name);
        let has_body = method == "POST";
        let body = if has_body {
            body_of(&id, length)
        } else {
            Vec::new()
        };
        let mut text =
            format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Name: {id}\r\n");
        let mut payload = body.clone();
        if has_body && is_chunked {
            text.push_str("Transfer-Encoding: chunked\r\n");
            payload = chunked_body(&body, 5000);
        } else if has_body {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let request = SentRequest {
            method,
            path,
            body,
            repeatable: !has_body,
            streams: is_chunked || length >= UPLOAD_BYTES,
        };
        self.journal.send(&id, request);
        let bytes = [text.into_bytes(), payload].concat();
        Prepared { id, bytes }
    }

    /// Returns the open connection, or opens one.
    async fn connected(&mut self) -> Wire<TcpStream> {
        match self.wire.take() {
            Some(wire) => wire,
            None => {
                let stream = TcpStream::connect(self.proxy).await;
                let stream = stream.expect("the proxy listens");
                let _ = stream.set_nodelay(true);
                Wire::over(stream)
            }
        }
    }

    /// Sends one request and waits for its response.
    async fn exchange_request(&mut self, method: &'static str, length: usize, is_chunked: bool) {
        let prepared = self.prepare(method, length, is_chunked);
        let wire = self.connected().await;
        let (seen, wire) = exchange(wire, method, &prepared.bytes).await;
        self.journal.see(&prepared.id, seen);
        // Not reused after an upload: the proxy may have responded before it had read the complete
        // body.
        self.wire = wire.filter(|_| length < UPLOAD_BYTES && !is_chunked);
    }

    async fn pipeline(&mut self) {
        let first = self.prepare("GET", 0, false);
        let second = self.prepare("POST", 50, false);
        let both = [first.bytes, second.bytes].concat();
        let wire = self.connected().await;
        let (seen, wire) = exchange(wire, "GET", &both).await;
        self.journal.see(&first.id, seen);
        let seen = match wire {
            Some(mut wire) => {
                let (seen, open) = read_response(&mut wire, "POST").await;
                self.wire = open.then_some(wire);
                seen
            }
            None => ObservedResponse::Disconnected,
        };
        self.journal.see(&second.id, seen);
    }

    async fn abort_upload(&mut self) {
        let is_chunked = self.random_source.below(2) == 0;
        let prepared = self.prepare("POST", UPLOAD_BYTES, is_chunked);
        let mut wire = self.connected().await;
        let part = self.random_source.below(prepared.bytes.len() as u64) as usize;
        let _ = wire.reader.write_all(&prepared.bytes[..part]).await;
        self.journal
            .see(&prepared.id, ObservedResponse::Disconnected);
    }

    async fn disconnect(&mut self) {
        let prepared = self.prepare("POST", 300, false);
        let mut wire = self.connected().await;
        let _ = wire.reader.write_all(&prepared.bytes).await;
        for _ in 0..self.random_source.below(30) {
            tokio::task::yield_now().await;
        }
        self.journal
            .see(&prepared.id, ObservedResponse::Disconnected);
    }
}

/// Writes a request and reads its response at the same time; returns the connection if it can be
/// reused.
async fn exchange(
    wire: Wire<TcpStream>,
    method: &str,
    bytes: &[u8],
) -> (ObservedResponse, Option<Wire<TcpStream>>) {
    let Wire { reader, buffer } = wire;
    let (reading, mut writing) = reader.into_split();
    let mut incoming = Wire {
        reader: reading,
        buffer,
    };
    // The result of the write is ignored: the proxy may respond and close before it has read
    // everything.
    let (_, (seen, open)) = tokio::join!(
        writing.write_all(bytes),
        read_response(&mut incoming, method)
    );
    let stream = incoming.reader.reunite(writing);
    let wire = stream.ok().map(|reader| Wire {
        reader,
        buffer: incoming.buffer,
    });
    (seen, wire.filter(|_| open))
}

/// Reads one response; also returns whether the connection may be reused.
async fn read_response<Reader: AsyncRead + Unpin>(
    wire: &mut Wire<Reader>,
    method: &str,
) -> (ObservedResponse, bool) {
    let head = loop {
        match wire.read_head().await {
            Ok(head) if head.second_word().starts_with('1') => {}
            Ok(head) => break head,
            Err(Truncated) => return (ObservedResponse::Nothing, false),
        }
    };
    let body = match method {
        "HEAD" => Ok(Vec::new()),
        _ => wire.read_body(&head).await,
    };
    let Ok(body) = body else {
        return (ObservedResponse::TruncatedBody, false);
    };
    let seen = ObservedResponse::Complete {
        status: head.second_word().parse().unwrap_or(0),
        named: head.header("request-name").map(str::to_string),
        outcome: head.header(OUTCOME_HEADER).map(str::to_string),
        sealed: head.header("body-seal").is_some(),
        body,
    };
    (seen, head.header("connection") != Some("close"))
}

/// Sends these bytes as one request on a connection of its own, and waits for the response.
pub async fn send_alone(proxy: SocketAddr, method: &str, bytes: &[u8]) -> ObservedResponse {
    let stream = TcpStream::connect(proxy).await;
    let wire = Wire::over(stream.expect("the proxy listens"));
    let exchanged = tokio::time::timeout(TIMEOUT, exchange(wire, method, bytes)).await;
    exchanged
        .expect("a response or the end of the connection")
        .0
}

/// Returns the status of a complete response.
pub fn status_of(seen: &ObservedResponse) -> Option<u16> {
    match seen {
        ObservedResponse::Complete { status, .. } => Some(*status),
        _ => None,
    }
}
