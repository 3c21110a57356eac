//! Connections between our own processes: frames of `minicbor` over TCP.
//!
//! Messages may be lost, as the machines expect; they are never changed or doubled.

use crate::prelude::*;

const MOST_FRAME: usize = 24 * 1024 * 1024;
const PENDING_FRAMES: usize = 512;
const OPEN_PATIENCE: Duration = Duration::from_millis(300);
const WRITE_PATIENCE: Duration = Duration::from_millis(1500);
const IDLE_SPAN: Duration = Duration::from_secs(30);

/// The frames on their way to one address.
type Way = mpsc::Sender<Arc<Vec<u8>>>;

#[derive(Clone)]
pub struct ControlPort {
    node: NodeId,
    own: SocketAddr,
    ways: Arc<Mutex<HashMap<SocketAddr, Way>>>,
}

impl ControlPort {
    /// Listens on the address and hands every envelope heard to `hear`; others answer to `own`.
    pub async fn open(
        node: NodeId,
        listening: SocketAddr,
        own: SocketAddr,
        hear: impl Fn(Envelope) + Clone + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let listener = listen(listening).await?;
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, from)) => {
                        let hear = hear.clone();
                        tokio::spawn(async move {
                            if let Err(failure) = read_frames(stream, hear).await {
                                event(GARBLED, format!("from {from}: {failure}"));
                            }
                        });
                    }
                    Err(failure) => {
                        event(PORT_FAILURE, failure);
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
            }
        });
        Ok(Self {
            node,
            own,
            ways: Arc::default(),
        })
    }

    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Sends a message that needs no dating.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let envelope = Envelope {
            from: self.node,
            reply_to: self.own,
            message,
            stamp: None,
            echo: None,
        };
        self.forward(to, &envelope);
    }

    /// Sends an envelope as it is, without waiting; what cannot be sent is dropped.
    pub fn forward(&self, to: SocketAddr, envelope: &Envelope) {
        let Ok(bytes) = minicbor::to_vec(envelope) else {
            return;
        };
        let bytes = Arc::new(bytes);
        let mut ways = locked(&self.ways);
        if let Some(way) = ways.get(&to) {
            match way.try_send(bytes.clone()) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(_)) => {
                    ways.remove(&to);
                }
            }
        }
        let (way, frames) = mpsc::channel(PENDING_FRAMES);
        let _ = way.try_send(bytes);
        ways.insert(to, way);
        tokio::spawn(write_frames(to, frames));
    }
}

/// Listens with the address free to be taken over at once after a restart.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket
        .bind(address)
        .with_context(|| format!("cannot listen on {address}: is another process there?"))?;
    Ok(socket.listen(1024)?)
}

async fn read_frames(stream: TcpStream, hear: impl Fn(Envelope)) -> anyhow::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let length = match reader.read_u32().await {
            Ok(length) => length as usize,
            // Why no failure: the other side may close or die between frames.
            Err(_) => return Ok(()),
        };
        if length == 0 || length > MOST_FRAME {
            bail!("a frame of {length} bytes");
        }
        let mut bytes = vec![0; length];
        if reader.read_exact(&mut bytes).await.is_err() {
            return Ok(());
        }
        let mut decoder = minicbor::Decoder::new(&bytes);
        let envelope: Envelope = decoder.decode()?;
        if decoder.position() != length {
            bail!("bytes left over in a frame");
        }
        hear(envelope);
    }
}

/// Writes frames to one address until it fails or falls idle; the next message opens anew.
async fn write_frames(to: SocketAddr, mut frames: mpsc::Receiver<Arc<Vec<u8>>>) {
    let opening = tokio::time::timeout(OPEN_PATIENCE, TcpStream::connect(to)).await;
    let Ok(Ok(mut stream)) = opening else {
        return;
    };
    let _ = stream.set_nodelay(true);
    while let Ok(Some(bytes)) = tokio::time::timeout(IDLE_SPAN, frames.recv()).await {
        let mut framed = BytesMut::with_capacity(bytes.len() + 4);
        framed.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        framed.extend_from_slice(&bytes);
        let written = tokio::time::timeout(WRITE_PATIENCE, stream.write_all(&framed)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
