//! Checks whether a request may still be sent, at the moment its first byte is written.
//!
//! The HTTP library writes the head of a request from a task of its own. Between a check made
//! before the request is handed to the library and that write, the process can be paused for any
//! length of time. The check is therefore made in the I/O layer below the library, which also knows
//! whether a byte has been sent.

use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use caperworks::dispatch::Failure;
use runtime::locks::locked;

/// A check that returns an error if the request may no longer be sent.
pub type PreSendCheck = Box<dyn Fn() -> Result<(), Failure> + Send>;

#[derive(Default)]
struct SendGuardState {
    check: Option<PreSendCheck>,
    has_written: bool,
    rejection: Option<Failure>,
    shut_down: bool,
    /// The guarded socket, until it is closed.
    socket: Option<RawFd>,
    closed: bool,
}

impl SendGuardState {
    /// Returns whether the instance has sent no unsolicited bytes and has not closed the
    /// connection.
    fn has_no_unread_data(&self) -> bool {
        !self.closed && self.socket.is_none_or(is_receive_queue_empty)
    }
}

/// Returns whether the kernel has neither bytes nor an end of stream for the socket.
fn is_receive_queue_empty(socket: RawFd) -> bool {
    let mut byte = 0_u8;
    // SAFETY: the kernel writes at most one byte, into a variable of one byte.
    let count = unsafe {
        libc::recv(
            socket,
            std::ptr::from_mut(&mut byte).cast(),
            1,
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    count < 0 && std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock
}

/// Guards the writes of the HTTP library to one socket.
#[derive(Default)]
pub struct SendGuard {
    state: Mutex<SendGuardState>,
}

/// Whether any byte of a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// No byte was sent and none will be; holds the failure if the check rejected the request.
    NotSent(Option<Failure>),
    /// At least one byte was sent.
    Started,
}

impl SendGuard {
    /// Creates a guard for this socket.
    pub fn of(socket: &TcpStream) -> Self {
        let state = SendGuardState {
            socket: Some(socket.as_raw_fd()),
            ..SendGuardState::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Returns whether the instance has sent no unsolicited bytes and has not closed the
    /// connection.
    ///
    /// Asks the kernel, because the HTTP library learns of bytes only once the async runtime has
    /// polled the socket, and would take bytes that it has not seen yet for the response to the
    /// next request.
    pub fn has_no_unread_data(&self) -> bool {
        locked(&self.state).has_no_unread_data()
    }

    /// Records that the socket is about to be closed; its file descriptor must not be used after
    /// that.
    fn record_socket_closed(&self) {
        let mut state = locked(&self.state);
        state.socket = None;
        state.closed = true;
    }

    /// Sets the check for the next request.
    pub fn arm(&self, check: PreSendCheck) {
        let mut state = locked(&self.state);
        state.check = Some(check);
        state.has_written = false;
        state.rejection = None;
    }

    /// Blocks all further writes and returns whether anything was sent.
    pub fn shut_down(&self) -> SendState {
        let mut state = locked(&self.state);
        state.shut_down = true;
        match state.has_written {
            true => SendState::Started,
            false => SendState::NotSent(state.rejection),
        }
    }

    /// Calls `write` if the check allows it.
    fn write_checked(
        &self,
        write: impl FnOnce() -> Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        let mut state = locked(&self.state);
        if state.shut_down {
            return Poll::Ready(Err(std::io::Error::other("send guard is shut down")));
        }
        if state.check.is_some() && !state.has_no_unread_data() {
            // No failure is recorded: nothing was sent, and the request can use another connection.
            state.shut_down = true;
            return Poll::Ready(Err(std::io::Error::other(
                "connection has unsolicited bytes or was closed by the instance",
            )));
        }
        if let Some(failure) = state.check.as_ref().and_then(|check| check().err()) {
            state.rejection = Some(failure);
            state.shut_down = true;
            return Poll::Ready(Err(std::io::Error::other(
                "request rejected by the check before sending",
            )));
        }
        // The write happens under the lock, so that `shut_down` knows of every byte that was sent.
        let written = write();
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            state.check = None;
            state.has_written = true;
        }
        written
    }
}

/// A socket whose writes pass through a send guard.
pub struct GuardedSocket<Socket> {
    pub socket: Socket,
    pub send_guard: Arc<SendGuard>,
}

impl<Socket> Drop for GuardedSocket<Socket> {
    fn drop(&mut self) {
        // This runs before the socket itself is dropped.
        self.send_guard.record_socket_closed();
    }
}

impl<Socket: AsyncRead + Unpin> AsyncRead for GuardedSocket<Socket> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl<Socket: AsyncWrite + Unpin> AsyncWrite for GuardedSocket<Socket> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let send_guard = self.send_guard.clone();
        send_guard.write_checked(|| Pin::new(&mut self.socket).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let send_guard = self.send_guard.clone();
        send_guard
            .write_checked(|| Pin::new(&mut self.socket).poll_write_vectored(context, buffers))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::task::Poll;

    use hyper::Request;
    use hyper_util::rt::TokioIo;
    use tokio::io::AsyncReadExt;

    use crate::send_guard::{GuardedSocket, SendGuard, SendState};
    use caperworks::dispatch::Failure;
    use runtime::http::full_body;

    /// Sends a request through a guard with this check; returns the guard state and how many bytes
    /// were received behind it.
    async fn send_with_check(
        check: impl Fn() -> Result<(), Failure> + Send + 'static,
    ) -> (SendState, usize) {
        let (near, mut far) = tokio::io::duplex(4096);
        let send_guard = Arc::new(SendGuard::default());
        let guarded = GuardedSocket {
            socket: near,
            send_guard: send_guard.clone(),
        };
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(guarded))
            .await
            .expect("a handshake writes nothing");
        let driver = tokio::spawn(connection);
        send_guard.arm(Box::new(check));
        let request = Request::builder()
            .uri("/")
            .body(full_body(""))
            .expect("a valid request");
        let response = sender.try_send_request(request);
        let mut bytes = vec![0; 4096];
        let count = tokio::select! {
            _ = response => 0,
            read = far.read(&mut bytes) => read.unwrap_or(0),
        };
        driver.abort();
        let send_state = send_guard.shut_down();
        // Wait for the driver: bytes that the library wrote after the abort would be seen here.
        drop(driver.await);
        (send_state, count)
    }

    #[tokio::test]
    async fn request_is_not_written_when_the_check_fails() {
        let (send_state, count) = send_with_check(|| Err(Failure::Stale)).await;
        assert_eq!(
            (send_state, count),
            (SendState::NotSent(Some(Failure::Stale)), 0)
        );
    }

    #[tokio::test]
    async fn request_is_written_when_the_check_passes() {
        let (send_state, count) = send_with_check(|| Ok(())).await;
        assert_eq!(send_state, SendState::Started);
        assert!(count > 0);
    }

    #[test]
    fn nothing_is_written_after_shut_down() {
        let send_guard = SendGuard::default();
        send_guard.arm(Box::new(|| Ok(())));
        assert_eq!(send_guard.shut_down(), SendState::NotSent(None));
        let written = send_guard.write_checked(|| Poll::Ready(Ok(7)));
        assert!(matches!(written, Poll::Ready(Err(_))));
    }
}
