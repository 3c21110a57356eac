//! Clients that speak to the proxy over a socket of their own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::journal::{Journal, ObservedResponse, SentRequest};
use crate::support::wire::{body_of, in_chunks, Cut, Wire};
use caperworks::identifiers::RandomSource;
use runtime::http::OUTCOME_HEADER;

/// Uploads are longer than what the proxy holds whole.
const UPLOAD: usize = 90_000;
/// Longer than any request may take, however slow the machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What a client does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientMove {
    Read,
    ReadHead,
    Once,
    OnceInChunks,
    Upload,
    UploadInChunks,
    /// Sends half of an upload and goes away.
    BrokenUpload,
    /// Sends a whole request and goes away.
    GoneWaiting,
    /// Sends two requests at once and reads both answers.
    Pipelined,
}

const MOVES: [(ClientMove, u64); 9] = [
    (ClientMove::Read, 35),
    (ClientMove::ReadHead, 3),
    (ClientMove::Once, 25),
    (ClientMove::OnceInChunks, 6),
    (ClientMove::Upload, 4),
    (ClientMove::UploadInChunks, 4),
    (ClientMove::BrokenUpload, 4),
    (ClientMove::GoneWaiting, 4),
    (ClientMove::Pipelined, 6),
];

fn draw_move(chance: &mut RandomSource) -> ClientMove {
    let total: u64 = MOVES.iter().map(|(_, weight)| weight).sum();
    let mut drawn = chance.below(total);
    for (client_move, weight) in MOVES {
        if drawn < weight {
            return client_move;
        }
        drawn -= weight;
    }
    ClientMove::Read
}

/// A client with at most one open connection to the proxy.
pub struct Client {
    pub name: String,
    pub proxy: SocketAddr,
    pub journal: Arc<Journal>,
    pub chance: RandomSource,
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
        chance: RandomSource,
    ) -> Self {
        Self {
            name,
            proxy,
            journal,
            chance,
            wire: None,
            sent: 0,
        }
    }

    /// Sends this many requests, one after the other.
    pub async fn run(mut self, requests: u32) {
        for _ in 0..requests {
            let client_move = draw_move(&mut self.chance);
            let moved = tokio::time::timeout(TIMEOUT, self.make(client_move)).await;
            if moved.is_err() {
                self.journal
                    .breach(format!("{}: no end to {client_move:?}", self.name));
            }
        }
        self.end().await;
    }

    /// Says that nothing more will be sent; nothing more may come then.
    async fn end(&mut self) {
        let Some(mut wire) = self.wire.take() else {
            return;
        };
        let _ = wire.reader.shutdown().await;
        let ended = tokio::time::timeout(TIMEOUT, wire.read_to_end()).await;
        if ended.unwrap_or(true) {
            let name = &self.name;
            self.journal
                .breach(format!("{name}: bytes came that belong to no request"));
        }
    }

    async fn make(&mut self, client_move: ClientMove) {
        match client_move {
            ClientMove::Read => self.ask("GET", 0, false).await,
            ClientMove::ReadHead => self.ask("HEAD", 0, false).await,
            ClientMove::Once => self.ask("POST", 300, false).await,
            ClientMove::OnceInChunks => self.ask("POST", 300, true).await,
            ClientMove::Upload => self.ask("POST", UPLOAD, false).await,
            ClientMove::UploadInChunks => self.ask("POST", UPLOAD, true).await,
            ClientMove::BrokenUpload => self.break_off().await,
            ClientMove::GoneWaiting => self.go_away().await,
            ClientMove::Pipelined => self.pipeline().await,
        }
    }

    /// A new request, told to the journal.
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
            payload = in_chunks(&body, 5000);
        } else if has_body {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let request = SentRequest {
            method,
            path,
            body,
            repeatable: !has_body,
            streams: is_chunked || length >= UPLOAD,
        };
        self.journal.send(&id, request);
        let bytes = [text.into_bytes(), payload].concat();
        Prepared { id, bytes }
    }

    /// The open connection, or a new one.
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

    /// Sends one request and waits for its answer.
    async fn ask(&mut self, method: &'static str, length: usize, is_chunked: bool) {
        let prepared = self.prepare(method, length, is_chunked);
        let wire = self.connected().await;
        let (seen, wire) = exchange(wire, method, &prepared.bytes).await;
        self.journal.see(&prepared.id, seen);
        // Why not after an upload: the proxy may have answered before it had read all of it.
        self.wire = wire.filter(|_| length < UPLOAD && !is_chunked);
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
            None => ObservedResponse::GaveUp,
        };
        self.journal.see(&second.id, seen);
    }

    async fn break_off(&mut self) {
        let is_chunked = self.chance.below(2) == 0;
        let prepared = self.prepare("POST", UPLOAD, is_chunked);
        let mut wire = self.connected().await;
        let part = self.chance.below(prepared.bytes.len() as u64) as usize;
        let _ = wire.reader.write_all(&prepared.bytes[..part]).await;
        self.journal.see(&prepared.id, ObservedResponse::GaveUp);
    }

    async fn go_away(&mut self) {
        let prepared = self.prepare("POST", 300, false);
        let mut wire = self.connected().await;
        let _ = wire.reader.write_all(&prepared.bytes).await;
        for _ in 0..self.chance.below(30) {
            tokio::task::yield_now().await;
        }
        self.journal.see(&prepared.id, ObservedResponse::GaveUp);
    }
}

/// Writes a request while its answer is awaited; gives the connection back if it is still good.
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
    // Why its failure is ignored: the proxy may answer and close before it has read everything.
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

/// Reads one answer; says also whether the connection may be used on.
async fn read_response<Reader: AsyncRead + Unpin>(
    wire: &mut Wire<Reader>,
    method: &str,
) -> (ObservedResponse, bool) {
    let head = loop {
        match wire.read_head().await {
            Ok(head) if head.second_word().starts_with('1') => {}
            Ok(head) => break head,
            Err(Cut) => return (ObservedResponse::Nothing, false),
        }
    };
    let body = match method {
        "HEAD" => Ok(Vec::new()),
        _ => wire.read_body(&head).await,
    };
    let Ok(body) = body else {
        return (ObservedResponse::CutBody, false);
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

/// Sends one request as it stands on a connection of its own, and waits for its answer.
pub async fn ask_alone(proxy: SocketAddr, method: &str, bytes: &[u8]) -> ObservedResponse {
    let stream = TcpStream::connect(proxy).await;
    let wire = Wire::over(stream.expect("the proxy listens"));
    let exchanged = tokio::time::timeout(TIMEOUT, exchange(wire, method, bytes)).await;
    exchanged.expect("an answer or an end").0
}

/// The status of a whole answer.
pub fn status_of(seen: &ObservedResponse) -> Option<u16> {
    match seen {
        ObservedResponse::Complete { status, .. } => Some(*status),
        _ => None,
    }
}
