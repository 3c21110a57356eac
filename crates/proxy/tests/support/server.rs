//! A server in place of an instance that treats each request with a random behaviour.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::support::behaviour::{Behaviour, PlannedResponse, RequestIdHeader, SEAL};
use crate::support::fixture::Protocol;
use crate::support::journal::Journal;
use crate::support::wire::{body_of, Truncated, Wire, WireHead};
use caperworks::identifiers::{mix, stable_hash, RandomSource};

const LARGE: usize = 100_000;
const SMALL: usize = 900;

/// What follows on a connection to the server.
enum Next {
    AnotherRequest,
    Close,
}

/// Returns the request id in a path: its last part, without the query.
fn id_in(path: &str) -> String {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default().to_string()
}

/// Chooses the behaviour for a request by its head.
pub type Script = fn(&WireHead) -> Behaviour;

/// A server on the loopback interface that chooses a behaviour for each request.
pub struct HostileServer {
    seed: u64,
    protocol: Protocol,
    journal: Arc<Journal>,
    /// Chooses the behaviours in place of the random choice.
    script: Option<Script>,
    pub connections: AtomicU32,
}

/// One connection to the server.
struct ServerConnection {
    server: Arc<HostileServer>,
    wire: Wire<TcpStream>,
    /// The earlier requests on this connection.
    earlier: Vec<ReceivedRequest>,
}

/// A request as the server received it.
#[derive(Debug, Clone)]
struct ReceivedRequest {
    id: String,
    /// The request id header of its response.
    name: RequestIdHeader,
}

impl HostileServer {
    pub fn new(
        seed: u64,
        protocol: Protocol,
        journal: Arc<Journal>,
        script: Option<Script>,
    ) -> Arc<Self> {
        Arc::new(Self {
            seed,
            protocol,
            journal,
            script,
            connections: AtomicU32::new(0),
        })
    }

    /// Serves until the task is aborted; its connections end with it.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            self.connections.fetch_add(1, Ordering::SeqCst);
            let connection = ServerConnection {
                server: self.clone(),
                wire: Wire::over(stream),
                earlier: Vec::new(),
            };
            connections.spawn(connection.serve());
        }
    }

    /// Returns the random source for a request and its number of arrival, so that the same seed
    /// acts in the same way whatever the timing.
    fn random_source_for(&self, id: &str, arrival: u32) -> RandomSource {
        RandomSource::seeded(mix(self.seed ^ stable_hash(id) ^ u64::from(arrival) << 32))
    }
}

impl ServerConnection {
    async fn serve(mut self) {
        while let Ok(Next::AnotherRequest) = self.serve_one().await {}
    }

    /// Makes the connection end with a reset.
    fn reset(&self) {
        let _ = self.wire.reader.set_zero_linger();
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Truncated> {
        self.wire
            .reader
            .write_all(bytes)
            .await
            .map_err(|_| Truncated)
    }

    async fn serve_one(&mut self) -> Result<Next, Truncated> {
        let head = self.wire.read_head().await?;
        let journal = self.server.journal.clone();
        let id = id_in(head.second_word());
        let header = self.server.protocol.request_id_header();
        let named = head.header(header).unwrap_or("none");
        let request = ReceivedRequest {
            id: id.clone(),
            name: RequestIdHeader(format!("{header}: {named}")),
        };
        let arrival = journal.arrive(&id);
        let mut random_source = self.server.random_source_for(&id, arrival);
        let random = Behaviour::random(&mut random_source);
        let behaviour = self.server.script.map_or(random, |script| script(&head));
        journal.behave(&id, behaviour);
        match behaviour {
            Behaviour::ResetBeforeReading | Behaviour::ResetAfterHead => {
                self.reset();
                return Ok(Next::Close);
            }
            Behaviour::MisdirectedBeforeBody => {
                let misdirected =
                    PlannedResponse::with_id("421 Misdirected Request", &request.name);
                self.write(&misdirected.with_length(b"")).await?;
                return Ok(Next::Close);
            }
            _ => {}
        }
        let body = self.wire.read_body(&head).await?;
        if behaviour.is_rejected_before_run() {
            self.reject(behaviour, &request).await?;
        } else {
            journal.run(&id, &head, &body);
            let answered = self.respond(behaviour, &request, &mut random_source).await;
            if let Next::Close = answered? {
                return Ok(Next::Close);
            }
        }
        self.earlier.push(request);
        Ok(Next::AnotherRequest)
    }

    async fn reject(
        &mut self,
        behaviour: Behaviour,
        request: &ReceivedRequest,
    ) -> Result<(), Truncated> {
        let response = match behaviour {
            Behaviour::UnavailableNotRun => {
                self.not_run_response("503 Service Unavailable", request)
            }
            Behaviour::TooManyRequestsNotRun => {
                self.not_run_response("429 Too Many Requests", request)
            }
            _ => PlannedResponse::with_id("421 Misdirected Request", &request.name),
        };
        self.write(&response.with_length(b"turned away")).await
    }

    /// Returns a response which states that the instance ran nothing.
    fn not_run_response(&self, status: &'static str, request: &ReceivedRequest) -> PlannedResponse {
        PlannedResponse::with_id(status, &request.name)
            .header(self.server.protocol.not_run_header())
    }

    /// Returns an earlier request of this connection, or else any other request.
    fn earlier_request(&self, id: &str, random_source: &mut RandomSource) -> ReceivedRequest {
        let index = random_source.below(self.earlier.len() as u64) as usize;
        if let Some(earlier) = self.earlier.get(index) {
            return earlier.clone();
        }
        let other = self.server.journal.other_request(id, random_source);
        let header = self.server.protocol.request_id_header();
        ReceivedRequest {
            name: RequestIdHeader(format!("{header}: {other}")),
            id: other,
        }
    }

    /// Records a response without a seal or a request id; it counts as complete only where the
    /// protocol needs neither.
    fn record_unverified_response(&self, id: &str) {
        if self.server.protocol == Protocol::Native {
            self.server.journal.respond_completely(id);
        }
    }

    /// Sends the response to a request that ran.
    async fn respond(
        &mut self,
        behaviour: Behaviour,
        request: &ReceivedRequest,
        random_source: &mut RandomSource,
    ) -> Result<Next, Truncated> {
        if behaviour.is_good() {
            return self
                .respond_correctly(behaviour, request, random_source)
                .await;
        }
        let ReceivedRequest { id, name } = request;
        let other = self.earlier_request(id, random_source);
        let length = random_source.below(SMALL as u64) as usize;
        let body = body_of(id, length);
        let own = PlannedResponse::success(name);
        let other_response =
            PlannedResponse::success(&other.name).with_length(&body_of(&other.id, length));
        match behaviour {
            Behaviour::ServerError => {
                self.server.journal.respond_with_failure(id);
                let failure = PlannedResponse::with_id("500 Internal Server Error", name);
                self.write(&failure.with_length(&body)).await?;
                return Ok(Next::AnotherRequest);
            }
            Behaviour::SurplusBeforeOwn => {
                self.server.journal.respond_completely(id);
                self.write(&[other_response, own.with_length(&body)].concat())
                    .await?;
                return Ok(Next::AnotherRequest);
            }
            Behaviour::SurplusRefusalBeforeOwn => {
                self.server.journal.respond_completely(id);
                let not_run = self.not_run_response("503 Service Unavailable", &other);
                self.write(&[not_run.with_length(b""), own.with_length(&body)].concat())
                    .await?;
                return Ok(Next::AnotherRequest);
            }
            Behaviour::WrongRequestId => self.write(&other_response).await?,
            Behaviour::NoRequestId => {
                self.record_unverified_response(id);
                let without_id = PlannedResponse::without_id("200 OK").header(SEAL);
                self.write(&without_id.with_length(&body)).await?;
            }
            Behaviour::TwoRequestIds => {
                let named = own.header(&other.name.0);
                self.write(&named.with_length(&body)).await?;
            }
            Behaviour::NoSeal => {
                self.record_unverified_response(id);
                self.write(&PlannedResponse::with_id("200 OK", name).with_length(&body))
                    .await?;
            }
            Behaviour::FalseNotRunStatus => {
                let statuses = [
                    "503 Service Unavailable",
                    "429 Too Many Requests",
                    "408 Request Timeout",
                ];
                let status = statuses[random_source.below(3) as usize];
                self.server.journal.respond_with_failure(id);
                self.write(&PlannedResponse::with_id(status, name).with_length(&body))
                    .await?;
            }
            Behaviour::SwitchingProtocols => {
                let switching = PlannedResponse::with_id("101 Switching Protocols", name);
                self.write(&switching.header("Upgrade: other").head("HTTP/1.1"))
                    .await?;
            }
            Behaviour::TwoLengths => {
                let twice = own.header("Content-Length: 3");
                self.write(&twice.with_length(&body)).await?;
            }
            Behaviour::NoLength => {
                self.write(&[own.head("HTTP/1.1"), body].concat()).await?;
                return Ok(Next::Close);
            }
            Behaviour::LengthAndChunks => {
                let both = own.header("Content-Length: 7");
                self.write(&both.with_chunks(&body)).await?;
            }
            Behaviour::NoHttp => {
                self.write(b"\x16\x03\x01 this is no answer\r\n\r\n")
                    .await?
            }
            Behaviour::BrokenChunk => {
                let head = own.header("Transfer-Encoding: chunked").head("HTTP/1.1");
                let broken = b"5\r\nabcde\r\nzz\r\nrest".to_vec();
                self.write(&[head, broken].concat()).await?;
            }
            Behaviour::NoResponse => {
                self.wire.read_to_end().await;
                return Ok(Next::Close);
            }
            _ => {
                return self
                    .truncate_response(behaviour, own, &body_of(id, LARGE))
                    .await
            }
        }
        Ok(Next::AnotherRequest)
    }

    /// Ends the connection before the response is complete.
    async fn truncate_response(
        &mut self,
        behaviour: Behaviour,
        own: PlannedResponse,
        large: &[u8],
    ) -> Result<Next, Truncated> {
        let small = &large[..SMALL];
        match behaviour {
            Behaviour::TruncatedHead => self.write(&own.head("HTTP/1.1")[..30]).await?,
            Behaviour::TruncatedFixedLength => {
                let bytes = own.with_length(small);
                self.write(&bytes[..bytes.len() - 100]).await?;
            }
            Behaviour::TruncatedLarge => {
                let bytes = own.with_length(large);
                self.write(&bytes[..bytes.len() - 100]).await?;
            }
            Behaviour::TruncatedChunks => {
                let bytes = own.with_chunks(small);
                self.write(&bytes[..bytes.len() - 5]).await?;
            }
            Behaviour::ResetMidway => {
                let bytes = own.with_length(large);
                self.write(&bytes[..bytes.len() / 2]).await?;
                self.reset();
            }
            Behaviour::StalledMidway => {
                let bytes = own.with_chunks(small);
                self.write(&bytes[..bytes.len() - 5]).await?;
                self.wire.read_to_end().await;
            }
            Behaviour::ResetAfterRun => self.reset(),
            _ => {}
        }
        Ok(Next::Close)
    }

    /// Sends a complete response of its own, and whatever the behaviour adds after it.
    async fn respond_correctly(
        &mut self,
        behaviour: Behaviour,
        request: &ReceivedRequest,
        random_source: &mut RandomSource,
    ) -> Result<Next, Truncated> {
        let ReceivedRequest { id, name } = request;
        self.server.journal.respond_completely(id);
        let other = self.earlier_request(id, random_source);
        let body = body_of(id, random_source.below(SMALL as u64) as usize);
        let own = PlannedResponse::success(name);
        let surplus = PlannedResponse::success(&other.name).with_length(&body_of(&other.id, 10));
        match behaviour {
            Behaviour::GoodLarge => {
                self.write(&own.with_length(&body_of(id, LARGE))).await?;
            }
            Behaviour::GoodInChunks => self.write(&own.with_chunks(&body)).await?,
            Behaviour::GoodOldProtocol => {
                let measured = own.header(&format!("Content-Length: {}", body.len()));
                self.write(&[measured.head("HTTP/1.0"), body].concat())
                    .await?;
                return Ok(Next::Close);
            }
            Behaviour::GoodAfterInterim => {
                let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
                self.write(interim).await?;
                tokio::task::yield_now().await;
                self.write(&own.with_length(&body)).await?;
            }
            Behaviour::GoodThenClosed => {
                self.write(&own.with_length(&body)).await?;
                return Ok(Next::Close);
            }
            Behaviour::GoodThenReset => {
                self.write(&own.with_length(&body)).await?;
                self.reset();
                return Ok(Next::Close);
            }
            Behaviour::GoodAnnouncingClose => {
                let closing = own.header("Connection: close");
                self.write(&closing.with_length(&body)).await?;
                return Ok(Next::Close);
            }
            Behaviour::GoodAnnouncingCloseKeptOpen => {
                let closing = own.header("Connection: close");
                self.write(&closing.with_length(&body)).await?;
            }
            Behaviour::GoodZeroKeepAlive => {
                let kept = own.header("Keep-Alive: timeout=0");
                self.write(&kept.with_length(&body)).await?;
            }
            Behaviour::GoodThenSurplus => {
                self.write(&[own.with_length(&body), surplus].concat())
                    .await?;
            }
            Behaviour::GoodThenSurplusLater => {
                self.write(&own.with_length(&body)).await?;
                for _ in 0..random_source.below(20) {
                    tokio::task::yield_now().await;
                }
                self.write(&surplus).await?;
            }
            Behaviour::GoodThenSurplusRefusal => {
                self.write(&own.with_length(&body)).await?;
                tokio::task::yield_now().await;
                let not_run = self.not_run_response("503 Service Unavailable", &other);
                self.write(&not_run.with_length(b"")).await?;
            }
            Behaviour::GoodThenSurplusWithoutId => {
                self.write(&own.with_length(&body)).await?;
                for _ in 0..random_source.below(20) {
                    tokio::task::yield_now().await;
                }
                let without_id = PlannedResponse::without_id("200 OK").header(SEAL);
                self.write(&without_id.with_length(&body_of(&other.id, 10)))
                    .await?;
            }
            _ => self.write(&own.with_length(&body)).await?,
        }
        Ok(Next::AnotherRequest)
    }
}
