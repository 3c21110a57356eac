//! A stand-in for an instance that does to each request what it draws for it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::support::behaviour::{Behaviour, NameLine, PlannedResponse, SEAL};
use crate::support::fixture::Manner;
use crate::support::journal::Journal;
use crate::support::wire::{body_of, Cut, Wire, WireHead};
use caperworks::identifiers::{mix, stable_hash, RandomSource};

const LARGE: usize = 100_000;
const SMALL: usize = 900;

/// What may come next on a connection to the server.
enum Next {
    AnotherRequest,
    Close,
}

/// The request that a path stands for: its last part, without the query.
fn id_in(path: &str) -> String {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default().to_string()
}

/// Says what to do with a request, by its head.
pub type Script = fn(&WireHead) -> Behaviour;

/// A server on the loopback that draws a behaviour for each request.
pub struct HostileServer {
    seed: u64,
    manner: Manner,
    journal: Arc<Journal>,
    /// What it does with each request, in place of drawing.
    script: Option<Script>,
    pub connections: AtomicU32,
}

/// One connection to the server.
struct ServerConnection {
    server: Arc<HostileServer>,
    wire: Wire<TcpStream>,
    /// The requests that came on it before.
    earlier: Vec<Asked>,
}

/// A request as the server knows it.
#[derive(Debug, Clone)]
struct Asked {
    id: String,
    /// By which answers to it are known.
    name: NameLine,
}

impl HostileServer {
    pub fn new(
        seed: u64,
        manner: Manner,
        journal: Arc<Journal>,
        script: Option<Script>,
    ) -> Arc<Self> {
        Arc::new(Self {
            seed,
            manner,
            journal,
            script,
            connections: AtomicU32::new(0),
        })
    }

    /// Serves until the task is ended; its connections are ended with it.
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

    /// Why by request and arrival: the same seed then does the same whatever the timing.
    fn chance_for(&self, id: &str, arrival: u32) -> RandomSource {
        RandomSource::seeded(mix(self.seed ^ stable_hash(id) ^ u64::from(arrival) << 32))
    }
}

impl ServerConnection {
    async fn serve(mut self) {
        while let Ok(Next::AnotherRequest) = self.serve_one().await {}
    }

    /// Ends the connection so that the far end sees a reset.
    fn reset(&self) {
        let _ = self.wire.reader.set_zero_linger();
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Cut> {
        self.wire.reader.write_all(bytes).await.map_err(|_| Cut)
    }

    async fn serve_one(&mut self) -> Result<Next, Cut> {
        let head = self.wire.read_head().await?;
        let journal = self.server.journal.clone();
        let id = id_in(head.second_word());
        let header = self.server.manner.name_header();
        let named = head.header(header).unwrap_or("none");
        let asked = Asked {
            id: id.clone(),
            name: NameLine(format!("{header}: {named}")),
        };
        let arrival = journal.arrive(&id);
        let mut chance = self.server.chance_for(&id, arrival);
        let drawn = Behaviour::draw(&mut chance);
        let behaviour = self.server.script.map_or(drawn, |script| script(&head));
        journal.behave(&id, behaviour);
        match behaviour {
            Behaviour::ResetBeforeReading | Behaviour::ResetAfterHead => {
                self.reset();
                return Ok(Next::Close);
            }
            Behaviour::MisdirectedBeforeBody => {
                let misdirected = PlannedResponse::named("421 Misdirected Request", &asked.name);
                self.write(&misdirected.with_length(b"")).await?;
                return Ok(Next::Close);
            }
            _ => {}
        }
        let body = self.wire.read_body(&head).await?;
        if behaviour.runs_nothing() {
            self.turn_away(behaviour, &asked).await?;
        } else {
            journal.run(&id, &head, &body);
            let answered = self.respond(behaviour, &asked, &mut chance).await;
            if let Next::Close = answered? {
                return Ok(Next::Close);
            }
        }
        self.earlier.push(asked);
        Ok(Next::AnotherRequest)
    }

    async fn turn_away(&mut self, behaviour: Behaviour, asked: &Asked) -> Result<(), Cut> {
        let response = match behaviour {
            Behaviour::FullWithWord => self.refusal("503 Service Unavailable", asked),
            Behaviour::TooManyWithWord => self.refusal("429 Too Many Requests", asked),
            _ => PlannedResponse::named("421 Misdirected Request", &asked.name),
        };
        self.write(&response.with_length(b"turned away")).await
    }

    /// The instance's word that it ran nothing of a request.
    fn refusal(&self, status: &'static str, asked: &Asked) -> PlannedResponse {
        PlannedResponse::named(status, &asked.name).header(self.server.manner.refusal())
    }

    /// A request that came before on this connection, or else any other.
    fn earlier_than(&self, id: &str, chance: &mut RandomSource) -> Asked {
        let drawn = chance.below(self.earlier.len() as u64) as usize;
        if let Some(earlier) = self.earlier.get(drawn) {
            return earlier.clone();
        }
        let other = self.server.journal.another_than(id, chance);
        let header = self.server.manner.name_header();
        Asked {
            name: NameLine(format!("{header}: {other}")),
            id: other,
        }
    }

    /// An answer without a seal or a name: a whole one only where neither is asked for.
    fn respond_plainly(&self, id: &str) {
        if self.server.manner == Manner::Own {
            self.server.journal.respond_completely(id);
        }
    }

    /// What comes back for a request that ran.
    async fn respond(
        &mut self,
        behaviour: Behaviour,
        asked: &Asked,
        chance: &mut RandomSource,
    ) -> Result<Next, Cut> {
        if behaviour.is_good() {
            return self.respond_well(behaviour, asked, chance).await;
        }
        let Asked { id, name } = asked;
        let other = self.earlier_than(id, chance);
        let length = chance.below(SMALL as u64) as usize;
        let body = body_of(id, length);
        let own = PlannedResponse::success(name);
        let other_response =
            PlannedResponse::success(&other.name).with_length(&body_of(&other.id, length));
        match behaviour {
            Behaviour::OwnFailure => {
                self.server.journal.respond_with_failure(id);
                let failure = PlannedResponse::named("500 Internal Server Error", name);
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
                let refusal = self.refusal("503 Service Unavailable", &other);
                self.write(&[refusal.with_length(b""), own.with_length(&body)].concat())
                    .await?;
                return Ok(Next::AnotherRequest);
            }
            Behaviour::AnotherName => self.write(&other_response).await?,
            Behaviour::NoName => {
                self.respond_plainly(id);
                let unnamed = PlannedResponse::unnamed("200 OK").header(SEAL);
                self.write(&unnamed.with_length(&body)).await?;
            }
            Behaviour::TwoNames => {
                let named = own.header(&other.name.0);
                self.write(&named.with_length(&body)).await?;
            }
            Behaviour::NoSeal => {
                self.respond_plainly(id);
                self.write(&PlannedResponse::named("200 OK", name).with_length(&body))
                    .await?;
            }
            Behaviour::FalsePromise => {
                let statuses = [
                    "503 Service Unavailable",
                    "429 Too Many Requests",
                    "408 Request Timeout",
                ];
                let status = statuses[chance.below(3) as usize];
                self.server.journal.respond_with_failure(id);
                self.write(&PlannedResponse::named(status, name).with_length(&body))
                    .await?;
            }
            Behaviour::SwitchingProtocols => {
                let switching = PlannedResponse::named("101 Switching Protocols", name);
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
            Behaviour::Silence => {
                self.wire.read_to_end().await;
                return Ok(Next::Close);
            }
            _ => return self.break_off(behaviour, own, &body_of(id, LARGE)).await,
        }
        Ok(Next::AnotherRequest)
    }

    /// Ends the connection before the answer is whole.
    async fn break_off(
        &mut self,
        behaviour: Behaviour,
        own: PlannedResponse,
        large: &[u8],
    ) -> Result<Next, Cut> {
        let small = &large[..SMALL];
        match behaviour {
            Behaviour::CutHead => self.write(&own.head("HTTP/1.1")[..30]).await?,
            Behaviour::CutLength => {
                let bytes = own.with_length(small);
                self.write(&bytes[..bytes.len() - 100]).await?;
            }
            Behaviour::CutLarge => {
                let bytes = own.with_length(large);
                self.write(&bytes[..bytes.len() - 100]).await?;
            }
            Behaviour::CutChunks => {
                let bytes = own.with_chunks(small);
                self.write(&bytes[..bytes.len() - 5]).await?;
            }
            Behaviour::ResetMidway => {
                let bytes = own.with_length(large);
                self.write(&bytes[..bytes.len() / 2]).await?;
                self.reset();
            }
            Behaviour::SilenceMidway => {
                let bytes = own.with_chunks(small);
                self.write(&bytes[..bytes.len() - 5]).await?;
                self.wire.read_to_end().await;
            }
            Behaviour::ResetAfterRun => self.reset(),
            _ => {}
        }
        Ok(Next::Close)
    }

    /// A whole answer of the request's own, and whatever comes behind it.
    async fn respond_well(
        &mut self,
        behaviour: Behaviour,
        asked: &Asked,
        chance: &mut RandomSource,
    ) -> Result<Next, Cut> {
        let Asked { id, name } = asked;
        self.server.journal.respond_completely(id);
        let other = self.earlier_than(id, chance);
        let body = body_of(id, chance.below(SMALL as u64) as usize);
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
            Behaviour::GoodShortKeepAlive => {
                let kept = own.header("Keep-Alive: timeout=0");
                self.write(&kept.with_length(&body)).await?;
            }
            Behaviour::GoodThenSurplus => {
                self.write(&[own.with_length(&body), surplus].concat())
                    .await?;
            }
            Behaviour::GoodThenSurplusLater => {
                self.write(&own.with_length(&body)).await?;
                for _ in 0..chance.below(20) {
                    tokio::task::yield_now().await;
                }
                self.write(&surplus).await?;
            }
            Behaviour::GoodThenSurplusRefusal => {
                self.write(&own.with_length(&body)).await?;
                tokio::task::yield_now().await;
                let refusal = self.refusal("503 Service Unavailable", &other);
                self.write(&refusal.with_length(b"")).await?;
            }
            Behaviour::GoodThenUnnamedSurplus => {
                self.write(&own.with_length(&body)).await?;
                for _ in 0..chance.below(20) {
                    tokio::task::yield_now().await;
                }
                let unnamed = PlannedResponse::unnamed("200 OK").header(SEAL);
                self.write(&unnamed.with_length(&body_of(&other.id, 10)))
                    .await?;
            }
            _ => self.write(&own.with_length(&body)).await?,
        }
        Ok(Next::AnotherRequest)
    }
}
