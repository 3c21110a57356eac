//! The control port of a process: connections between our own processes.
//!
//! Messages may be lost, which the state machines tolerate; they are never altered or duplicated. A connection
//! carries messages both ways: a response is sent on the connection on which its request arrived, so that over
//! a slow link it needs no connection of its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Context;
use caperworks::identifiers::NodeId;
use caperworks::messages::{Envelope, Message};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::connection_opening::{open_connection, OpenedConnection};
use crate::events::{event, PORT_FAILURE, PROTOCOL_ERROR};
use crate::frames::{read_frames, write_frame, FrameRead};
use crate::locks::locked;
use crate::outgoing_queue::{Frame, OutgoingQueue};
use crate::response_watch::ResponseWatch;

/// A connection on which nothing is sent for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long to wait after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const LISTEN_BACKLOG: u32 = 1024;

/// An event at a control port.
#[derive(Debug)]
pub enum PortEvent {
    Received(Box<Envelope>),
    /// Bytes arrived of a message that is still incomplete some time after its first byte: the sender is
    /// alive, and the link is slow.
    Partial,
    /// A connection to a peer was opened; `took` is how long that took.
    Opened {
        peer: SocketAddr,
        took: Duration,
    },
    /// A connection to a peer was reset, was closed or could not be opened; the last messages sent on it may be
    /// lost.
    Lost {
        peer: SocketAddr,
    },
}

/// Handles the events of a control port.
type EventHandler = Arc<dyn Fn(PortEvent) + Send + Sync>;

/// The connection on which messages are sent to one peer.
#[derive(Clone)]
struct PeerConnection {
    queue: Arc<OutgoingQueue>,
    /// Set for a connection that this process opened.
    watch: Option<Arc<ResponseWatch>>,
}

impl PeerConnection {
    fn outgoing() -> Self {
        Self {
            queue: Arc::default(),
            watch: Some(Arc::default()),
        }
    }

    /// Returns whether this process opened the connection and the peer has responded on it.
    fn has_responded(&self) -> bool {
        self.watch
            .as_ref()
            .is_some_and(|watch| watch.has_responded())
    }

    fn incoming() -> Self {
        Self {
            queue: Arc::default(),
            watch: None,
        }
    }
}

/// The control port of a process.
#[derive(Clone)]
pub struct ControlPort {
    node: NodeId,
    advertised: SocketAddr,
    peers: Arc<Mutex<HashMap<SocketAddr, PeerConnection>>>,
    handler: EventHandler,
}

impl ControlPort {
    /// Listens on the address and calls `on_envelope` with every envelope received; peers send responses to the
    /// advertised address.
    pub async fn open(
        node: NodeId,
        listening: SocketAddr,
        advertised: SocketAddr,
        on_envelope: impl Fn(Envelope) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let handler = move |event| {
            if let PortEvent::Received(envelope) = event {
                on_envelope(*envelope);
            }
        };
        Self::open_with_events(node, listening, advertised, handler).await
    }

    /// Like [`open`](Self::open), for a process that also handles the events of its connections.
    pub async fn open_with_events(
        node: NodeId,
        listening: SocketAddr,
        advertised: SocketAddr,
        handler: impl Fn(PortEvent) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let listener = listen(listening).await?;
        let port = Self {
            node,
            advertised,
            peers: Arc::default(),
            handler: Arc::new(handler),
        };
        tokio::spawn(port.clone().accept(listener));
        Ok(port)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::spawn(self.clone().serve_incoming(stream, from));
                }
                Err(failure) => {
                    event(PORT_FAILURE, failure);
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Returns the advertised address of this port.
    pub fn advertised(&self) -> SocketAddr {
        self.advertised
    }

    /// Sends a message without a stamp.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let envelope = Envelope {
            from: self.node,
            reply_to: self.advertised,
            message,
            stamp: None,
            echo: None,
            is_bidirectional: true,
        };
        self.forward(to, &envelope);
    }

    /// Sends an envelope unchanged and without waiting; it is dropped if it cannot be sent.
    pub fn forward(&self, to: SocketAddr, envelope: &Envelope) {
        let Ok(mut bytes) = minicbor::to_vec(envelope) else {
            return;
        };
        let mut peers = locked(&self.peers);
        if let Some(peer) = peers.get(&to) {
            match peer.queue.push(&envelope.message, bytes) {
                Ok(()) => return self.replace_if_dead(to, peer),
                Err(unsent) => bytes = unsent,
            }
        }
        let peer = PeerConnection::outgoing();
        // A new queue cannot be closed.
        let _ = peer.queue.push(&envelope.message, bytes);
        peers.insert(to, peer.clone());
        tokio::spawn(self.clone().serve_outgoing(to, peer));
    }

    /// Opens a new connection if the current one gets no responses; once it is open it replaces the
    /// current one.
    fn replace_if_dead(&self, to: SocketAddr, peer: &PeerConnection) {
        let Some(watch) = &peer.watch else {
            return;
        };
        if watch.sent(Instant::now()) {
            tokio::spawn(self.clone().replace(to, watch.clone()));
        }
    }

    async fn replace(self, to: SocketAddr, watch: Arc<ResponseWatch>) {
        let Ok(opened) = open_connection(to).await else {
            watch.replacement_failed();
            return;
        };
        let peer = PeerConnection::outgoing();
        if let Some(replaced) = locked(&self.peers).insert(to, peer.clone()) {
            peer.queue.drain_unresponsive(&replaced.queue);
        }
        self.run_connection(to, peer, opened).await;
    }

    /// Makes this the connection on which messages are sent to the peer, and closes the previous one.
    fn install(&self, to: SocketAddr, peer: PeerConnection) {
        let mut peers = locked(&self.peers);
        if let Some(replaced) = peers.insert(to, peer.clone()) {
            peer.queue.drain(&replaced.queue);
        }
    }

    /// Opens a connection for queued messages, and serves it until it ends.
    async fn serve_outgoing(self, to: SocketAddr, peer: PeerConnection) {
        let opening = tokio::select! {
            opening = open_connection(to) => opening,
            // The peer has opened a connection meanwhile, to which the queued messages were moved.
            () = peer.queue.closed() => return,
        };
        let Ok(opened) = opening else {
            let _ = peer.queue.abandon();
            (self.handler)(PortEvent::Lost { peer: to });
            return;
        };
        self.run_connection(to, peer, opened).await;
    }

    /// Sends and receives messages on a connection that this process opened, until it ends.
    async fn run_connection(&self, to: SocketAddr, peer: PeerConnection, opened: OpenedConnection) {
        let OpenedConnection { stream, took } = opened;
        (self.handler)(PortEvent::Opened { peer: to, took });
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        tokio::spawn(write_queue(writer, peer.queue.clone()));
        let received = |frame| {
            if let Some(watch) = &peer.watch {
                watch.received();
            }
            peer.queue.received();
            self.handle(frame);
        };
        if let Err(failure) = read_frames(reader, received).await {
            event(PROTOCOL_ERROR, format!("from {to}: {failure}"));
        }
        let unanswered_request = peer.queue.abandon();
        // The end of a connection that was replaced is not reported.
        if !self.is_current(to, &peer) {
            return;
        }
        (self.handler)(PortEvent::Lost { peer: to });
        // A peer that restarted after a power loss resets the old connections. A request that was in flight is
        // repeated at once on a new connection; only once, since the peer may be down permanently.
        if let Some(request) = unanswered_request.filter(|_| peer.has_responded()) {
            self.repeat_request(to, request);
        }
    }

    fn repeat_request(&self, to: SocketAddr, request: Frame) {
        let peer = PeerConnection::outgoing();
        let mut peers = locked(&self.peers);
        let is_replaced = peers.get(&to).is_some_and(|peer| !peer.queue.is_closed());
        if is_replaced || peer.queue.add(request).is_err() {
            return;
        }
        peers.insert(to, peer.clone());
        tokio::spawn(self.clone().serve_outgoing(to, peer));
    }

    fn is_current(&self, to: SocketAddr, peer: &PeerConnection) -> bool {
        let peers = locked(&self.peers);
        peers
            .get(&to)
            .is_some_and(|current| Arc::ptr_eq(&current.queue, &peer.queue))
    }

    /// Receives messages on a connection that a peer opened, and responds on it if the peer reads from it.
    async fn serve_incoming(self, stream: TcpStream, from: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let mut writer = Some(writer);
        let mut response_connection: Option<PeerConnection> = None;
        let received = |frame| {
            if let FrameRead::Envelope(envelope) = &frame {
                if envelope.is_bidirectional {
                    if let Some(writer) = writer.take() {
                        response_connection =
                            Some(self.respond_on_connection(envelope.reply_to, writer));
                    }
                }
            }
            self.handle(frame);
        };
        if let Err(failure) = read_frames(reader, received).await {
            event(PROTOCOL_ERROR, format!("from {from}: {failure}"));
        }
        if let Some(peer) = response_connection {
            peer.queue.abandon();
        }
    }

    /// Makes the connection that this peer opened the one on which messages are sent to it.
    fn respond_on_connection(
        &self,
        peer_address: SocketAddr,
        writer: OwnedWriteHalf,
    ) -> PeerConnection {
        let peer = PeerConnection::incoming();
        self.install(peer_address, peer.clone());
        tokio::spawn(write_queue(writer, peer.queue.clone()));
        peer
    }

    fn handle(&self, frame: FrameRead) {
        (self.handler)(match frame {
            FrameRead::Envelope(envelope) => PortEvent::Received(envelope),
            FrameRead::Partial => PortEvent::Partial,
        });
    }
}

/// Writes the messages of a queue until the connection fails, becomes idle or is replaced; the next message
/// then opens another one.
async fn write_queue(mut writer: OwnedWriteHalf, queue: Arc<OutgoingQueue>) {
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT, queue.next());
        let bytes = tokio::select! {
            next = next => next,
            () = queue.closed() => return,
        };
        let Ok(bytes) = bytes else {
            break;
        };
        if write_frame(&mut writer, &bytes).await.is_err() {
            break;
        }
    }
    queue.abandon();
}

/// Listens on an address, with `SO_REUSEADDR` so that it can be bound again at once after a restart.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| {
        format!("cannot listen on {address}: it may be in use by another process")
    })?;
    Ok(socket.listen(LISTEN_BACKLOG)?)
}
