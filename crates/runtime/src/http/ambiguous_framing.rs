//! Marks requests whose head specifies the length of the body in two ways, so that they are rejected.

use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::Request;
use tokio::net::TcpStream;

use crate::locks::locked;

/// A request extension: the head specified the length of the body in two ways.
///
/// The end of such a request is ambiguous (request smuggling), so it must be rejected.
#[derive(Debug, Clone, Copy)]
pub struct AmbiguousFraming;

/// The maximum number of bytes that are recorded of a head; the HTTP library rejects a longer one.
const RECORDED_HEAD_BYTES: usize = 64 * 1024;

/// The bytes that were read from a connection since the head of a request is expected.
pub(super) struct HeadRecord {
    is_expected: bool,
    bytes: Vec<u8>,
}

impl HeadRecord {
    /// Returns the record of a new connection, shared by its stream and its requests.
    pub(super) fn shared() -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self {
            is_expected: true,
            bytes: Vec::new(),
        }))
    }

    /// Marks a request whose head has been read if its framing is ambiguous, and stops recording.
    pub(super) fn check(&mut self, request: &mut Request<Incoming>) {
        if has_two_lengths(&self.bytes, request) {
            request.extensions_mut().insert(AmbiguousFraming);
        }
        self.bytes.clear();
        self.is_expected = false;
    }

    /// Starts recording when a response is ready: the body has been read or abandoned, so a head comes next.
    ///
    /// A head that arrived earlier was not recorded; its request is rejected if it names a transfer coding.
    pub(super) fn expect_next(&mut self) {
        self.is_expected = true;
    }
}

/// A stream that records what it reads while a request's head is expected.
///
/// The HTTP library silently drops one of two conflicting lengths, so the head has to be checked separately.
pub(super) struct RecordingStream {
    pub(super) inner: TcpStream,
    pub(super) record: Arc<Mutex<HeadRecord>>,
}

impl tokio::io::AsyncRead for RecordingStream {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = std::pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        let mut record = locked(&self.record);
        if record.is_expected && record.bytes.len() < RECORDED_HEAD_BYTES {
            record.bytes.extend_from_slice(&buffer.filled()[before..]);
        }
        drop(record);
        polled
    }
}

impl tokio::io::AsyncWrite for RecordingStream {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Returns whether the head that was read last names both a length and a transfer coding.
///
/// Without a transfer coding there is no second length. If the record does not begin with the head because the
/// rest of an earlier body precedes it, the start of the head is unknown, since a body may contain the same
/// line: then every position that could be the head is checked.
fn has_two_lengths(read: &[u8], request: &Request<Incoming>) -> bool {
    if !request.headers().contains_key("transfer-encoding") {
        return false;
    }
    let text = String::from_utf8_lossy(read);
    let text = text.trim_start_matches(['\r', '\n']);
    let line = format!("{} {} HTTP/1.1", request.method(), request.uri());
    if text.starts_with(&line) {
        return head_names_length(text);
    }
    let mut heads = text.match_indices(&line).peekable();
    heads.peek().is_none() || heads.any(|(start, _)| head_names_length(&text[start..]))
}

/// Returns whether the head at the start of a text names a length.
fn head_names_length(text: &str) -> bool {
    text.lines()
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_once(':'))
        .any(|(name, _)| name.trim().eq_ignore_ascii_case("content-length"))
}
