//! The behaviours of the hostile server.

use crate::support::wire::chunked_body;
use caperworks::identifiers::RandomSource;

/// What the server does with one request. All but the first group run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Behaviour {
    /// The request does not run.
    ResetBeforeReading,
    ResetAfterHead,
    Misdirected,
    MisdirectedBeforeBody,
    UnavailableNotRun,
    TooManyRequestsNotRun,
    /// The request runs and a complete response of its own is sent.
    Good,
    GoodLarge,
    GoodInChunks,
    GoodOldProtocol,
    GoodAfterInterim,
    GoodThenClosed,
    GoodThenReset,
    GoodAnnouncingClose,
    GoodAnnouncingCloseKeptOpen,
    GoodZeroKeepAlive,
    GoodThenSurplus,
    GoodThenSurplusLater,
    GoodThenSurplusRefusal,
    GoodThenSurplusWithoutId,
    ServerError,
    /// The request runs, and the response must not reach the client as a success.
    SurplusBeforeOwn,
    SurplusRefusalBeforeOwn,
    WrongRequestId,
    NoRequestId,
    TwoRequestIds,
    NoSeal,
    FalseNotRunStatus,
    SwitchingProtocols,
    TwoLengths,
    NoLength,
    LengthAndChunks,
    NoHttp,
    BrokenChunk,
    TruncatedHead,
    TruncatedFixedLength,
    TruncatedLarge,
    TruncatedChunks,
    ResetMidway,
    ResetAfterRun,
    CloseAfterRun,
    NoResponse,
    StalledMidway,
}

/// Behaviours with their weights in the random choice.
const WEIGHTED: [(Behaviour, u64); 43] = [
    (Behaviour::ResetBeforeReading, 3),
    (Behaviour::ResetAfterHead, 3),
    (Behaviour::Misdirected, 3),
    (Behaviour::MisdirectedBeforeBody, 2),
    (Behaviour::UnavailableNotRun, 3),
    (Behaviour::TooManyRequestsNotRun, 2),
    (Behaviour::Good, 50),
    (Behaviour::GoodLarge, 6),
    (Behaviour::GoodInChunks, 6),
    (Behaviour::GoodOldProtocol, 2),
    (Behaviour::GoodAfterInterim, 4),
    (Behaviour::GoodThenClosed, 4),
    (Behaviour::GoodThenReset, 2),
    (Behaviour::GoodAnnouncingClose, 3),
    (Behaviour::GoodAnnouncingCloseKeptOpen, 2),
    (Behaviour::GoodZeroKeepAlive, 2),
    (Behaviour::GoodThenSurplus, 5),
    (Behaviour::GoodThenSurplusLater, 8),
    (Behaviour::GoodThenSurplusRefusal, 5),
    (Behaviour::GoodThenSurplusWithoutId, 5),
    (Behaviour::ServerError, 3),
    (Behaviour::SurplusBeforeOwn, 5),
    (Behaviour::SurplusRefusalBeforeOwn, 5),
    (Behaviour::WrongRequestId, 4),
    (Behaviour::NoRequestId, 2),
    (Behaviour::TwoRequestIds, 2),
    (Behaviour::NoSeal, 2),
    (Behaviour::FalseNotRunStatus, 3),
    (Behaviour::SwitchingProtocols, 1),
    (Behaviour::TwoLengths, 1),
    (Behaviour::NoLength, 2),
    (Behaviour::LengthAndChunks, 1),
    (Behaviour::NoHttp, 2),
    (Behaviour::BrokenChunk, 2),
    (Behaviour::TruncatedHead, 2),
    (Behaviour::TruncatedFixedLength, 3),
    (Behaviour::TruncatedLarge, 3),
    (Behaviour::TruncatedChunks, 3),
    (Behaviour::ResetMidway, 3),
    (Behaviour::ResetAfterRun, 4),
    (Behaviour::CloseAfterRun, 3),
    (Behaviour::NoResponse, 1),
    (Behaviour::StalledMidway, 1),
];

impl Behaviour {
    pub fn random(random_source: &mut RandomSource) -> Self {
        let total: u64 = WEIGHTED.iter().map(|(_, weight)| weight).sum();
        let mut remaining_weight = random_source.below(total);
        for (behaviour, weight) in WEIGHTED {
            if remaining_weight < weight {
                return behaviour;
            }
            remaining_weight -= weight;
        }
        Behaviour::Good
    }

    /// Returns every behaviour that can be chosen.
    pub fn all() -> impl Iterator<Item = Behaviour> {
        WEIGHTED.iter().map(|(behaviour, _)| *behaviour)
    }

    /// Returns whether the request is rejected, or its connection broken, before it runs.
    pub fn is_rejected_before_run(self) -> bool {
        self < Behaviour::Good
    }

    /// Returns whether a complete head of its own response is sent, whatever follows it.
    pub fn sends_own_head(self) -> bool {
        let truncated_after_head = [
            Behaviour::NoLength,
            Behaviour::LengthAndChunks,
            Behaviour::BrokenChunk,
            Behaviour::TruncatedFixedLength,
            Behaviour::TruncatedLarge,
            Behaviour::TruncatedChunks,
            Behaviour::ResetMidway,
            Behaviour::StalledMidway,
        ];
        self.is_good() || truncated_after_head.contains(&self)
    }

    /// Returns whether a complete response of its own is sent first.
    pub fn is_good(self) -> bool {
        !self.is_rejected_before_run() && self < Behaviour::ServerError
    }
}

pub const SEAL: &str = "Body-Seal: whole";

/// The header line with the request id in a response.
#[derive(Debug, Clone)]
pub struct RequestIdHeader(pub String);

/// Builds the bytes of a response.
pub struct PlannedResponse {
    status: &'static str,
    headers: Vec<String>,
}

impl PlannedResponse {
    /// A successful response with its seal and the id of a request.
    pub fn success(name: &RequestIdHeader) -> Self {
        Self::with_id("200 OK", name).header(SEAL)
    }

    pub fn with_id(status: &'static str, name: &RequestIdHeader) -> Self {
        Self::without_id(status).header(&name.0)
    }

    pub fn without_id(status: &'static str) -> Self {
        Self {
            status,
            headers: Vec::new(),
        }
    }

    pub fn header(mut self, line: &str) -> Self {
        self.headers.push(line.to_string());
        self
    }

    /// Returns the head alone, with this HTTP version.
    pub fn head(&self, version: &str) -> Vec<u8> {
        let mut text = format!("{version} {}\r\n", self.status);
        for line in &self.headers {
            text.push_str(line);
            text.push_str("\r\n");
        }
        text.push_str("\r\n");
        text.into_bytes()
    }

    pub fn with_length(self, body: &[u8]) -> Vec<u8> {
        let length = format!("Content-Length: {}", body.len());
        let mut bytes = self.header(&length).head("HTTP/1.1");
        bytes.extend(body);
        bytes
    }

    pub fn with_chunks(self, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.header("Transfer-Encoding: chunked").head("HTTP/1.1");
        bytes.extend(chunked_body(body, 700));
        bytes
    }
}
