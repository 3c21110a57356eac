//! What the hostile server may do with a request.

use crate::support::wire::in_chunks;
use caperworks::identifiers::RandomSource;

/// What the server does with one request. All but the first group run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Behaviour {
    /// The request does not run.
    ResetBeforeReading,
    ResetAfterHead,
    Misdirected,
    MisdirectedBeforeBody,
    FullWithWord,
    TooManyWithWord,
    /// The request runs and a whole answer of its own comes.
    Good,
    GoodLarge,
    GoodInChunks,
    GoodOldProtocol,
    GoodAfterInterim,
    GoodThenClosed,
    GoodThenReset,
    GoodAnnouncingClose,
    GoodAnnouncingCloseKeptOpen,
    GoodShortKeepAlive,
    GoodThenSurplus,
    GoodThenSurplusLater,
    GoodThenSurplusRefusal,
    GoodThenUnnamedSurplus,
    OwnFailure,
    /// The request runs and what comes back must not reach the client as a success.
    SurplusBeforeOwn,
    SurplusRefusalBeforeOwn,
    AnotherName,
    NoName,
    TwoNames,
    NoSeal,
    FalsePromise,
    SwitchingProtocols,
    TwoLengths,
    NoLength,
    LengthAndChunks,
    NoHttp,
    BrokenChunk,
    CutHead,
    CutLength,
    CutLarge,
    CutChunks,
    ResetMidway,
    ResetAfterRun,
    CloseAfterRun,
    Silence,
    SilenceMidway,
}

/// Behaviours with how often they are drawn.
const WEIGHTED: [(Behaviour, u64); 43] = [
    (Behaviour::ResetBeforeReading, 3),
    (Behaviour::ResetAfterHead, 3),
    (Behaviour::Misdirected, 3),
    (Behaviour::MisdirectedBeforeBody, 2),
    (Behaviour::FullWithWord, 3),
    (Behaviour::TooManyWithWord, 2),
    (Behaviour::Good, 50),
    (Behaviour::GoodLarge, 6),
    (Behaviour::GoodInChunks, 6),
    (Behaviour::GoodOldProtocol, 2),
    (Behaviour::GoodAfterInterim, 4),
    (Behaviour::GoodThenClosed, 4),
    (Behaviour::GoodThenReset, 2),
    (Behaviour::GoodAnnouncingClose, 3),
    (Behaviour::GoodAnnouncingCloseKeptOpen, 2),
    (Behaviour::GoodShortKeepAlive, 2),
    (Behaviour::GoodThenSurplus, 5),
    (Behaviour::GoodThenSurplusLater, 8),
    (Behaviour::GoodThenSurplusRefusal, 5),
    (Behaviour::GoodThenUnnamedSurplus, 5),
    (Behaviour::OwnFailure, 3),
    (Behaviour::SurplusBeforeOwn, 5),
    (Behaviour::SurplusRefusalBeforeOwn, 5),
    (Behaviour::AnotherName, 4),
    (Behaviour::NoName, 2),
    (Behaviour::TwoNames, 2),
    (Behaviour::NoSeal, 2),
    (Behaviour::FalsePromise, 3),
    (Behaviour::SwitchingProtocols, 1),
    (Behaviour::TwoLengths, 1),
    (Behaviour::NoLength, 2),
    (Behaviour::LengthAndChunks, 1),
    (Behaviour::NoHttp, 2),
    (Behaviour::BrokenChunk, 2),
    (Behaviour::CutHead, 2),
    (Behaviour::CutLength, 3),
    (Behaviour::CutLarge, 3),
    (Behaviour::CutChunks, 3),
    (Behaviour::ResetMidway, 3),
    (Behaviour::ResetAfterRun, 4),
    (Behaviour::CloseAfterRun, 3),
    (Behaviour::Silence, 1),
    (Behaviour::SilenceMidway, 1),
];

impl Behaviour {
    pub fn draw(chance: &mut RandomSource) -> Self {
        let total: u64 = WEIGHTED.iter().map(|(_, weight)| weight).sum();
        let mut drawn = chance.below(total);
        for (behaviour, weight) in WEIGHTED {
            if drawn < weight {
                return behaviour;
            }
            drawn -= weight;
        }
        Behaviour::Good
    }

    /// Every behaviour that can be drawn.
    pub fn all() -> impl Iterator<Item = Behaviour> {
        WEIGHTED.iter().map(|(behaviour, _)| *behaviour)
    }

    /// Whether the request is turned away, or its connection broken, before it runs.
    pub fn runs_nothing(self) -> bool {
        self < Behaviour::Good
    }

    /// Whether a whole head of the request's own comes, with whatever behind it.
    pub fn gives_own_head(self) -> bool {
        let cut_behind_head = [
            Behaviour::NoLength,
            Behaviour::LengthAndChunks,
            Behaviour::BrokenChunk,
            Behaviour::CutLength,
            Behaviour::CutLarge,
            Behaviour::CutChunks,
            Behaviour::ResetMidway,
            Behaviour::SilenceMidway,
        ];
        self.is_good() || cut_behind_head.contains(&self)
    }

    /// Whether a whole answer of the request's own comes first.
    pub fn is_good(self) -> bool {
        !self.runs_nothing() && self < Behaviour::OwnFailure
    }
}

pub const SEAL: &str = "Body-Seal: whole";

/// The header by which an answer names its request.
#[derive(Debug, Clone)]
pub struct NameLine(pub String);

/// Answers as bytes.
pub struct PlannedResponse {
    status: &'static str,
    headers: Vec<String>,
}

impl PlannedResponse {
    /// A success with its seal, in the name of a request.
    pub fn success(name: &NameLine) -> Self {
        Self::named("200 OK", name).header(SEAL)
    }

    pub fn named(status: &'static str, name: &NameLine) -> Self {
        Self::unnamed(status).header(&name.0)
    }

    pub fn unnamed(status: &'static str) -> Self {
        Self {
            status,
            headers: Vec::new(),
        }
    }

    pub fn header(mut self, line: &str) -> Self {
        self.headers.push(line.to_string());
        self
    }

    /// The head alone, in this version of the protocol.
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
        bytes.extend(in_chunks(body, 700));
        bytes
    }
}
