//! A TCP relay for HTTP connections that can stall, delay or break them at any time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use runtime::connections::listen;
use runtime::locks::locked;

/// What the relay does with existing and new connections of one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HttpMode {
    #[default]
    Open,
    /// Forwards nothing in either direction, and keeps the connections open.
    Stall,
    /// Forwards requests but no responses.
    StallResponses,
    /// Closes every connection.
    Break,
    /// Delays each forwarded read in both directions by this duration.
    Delay(Duration),
}

impl HttpMode {
    /// Parses the name of a mode; `late` is the duration of a delay.
    pub fn read(mode: &str, late: Duration) -> Option<Self> {
        Some(match mode {
            "open" => HttpMode::Open,
            "stall" => HttpMode::Stall,
            "stall-answers" => HttpMode::StallResponses,
            "break" => HttpMode::Break,
            "delay" => HttpMode::Delay(late),
            _ => return None,
        })
    }
}

/// The mode of each address. An address without an entry is open.
pub type HttpModes = Arc<Mutex<HashMap<SocketAddr, HttpMode>>>;

/// How often a connection checks whether the mode of its address has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until bytes may be forwarded; returns false if the connection has to be closed instead.
async fn wait_until_open(modes: &HttpModes, address: SocketAddr, response: bool) -> bool {
    loop {
        let mode = locked(modes).get(&address).copied().unwrap_or_default();
        match mode {
            HttpMode::Open => return true,
            HttpMode::StallResponses if !response => return true,
            HttpMode::Break => return false,
            HttpMode::Delay(late) => {
                tokio::time::sleep(late).await;
                return true;
            }
            HttpMode::Stall | HttpMode::StallResponses => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Forwards bytes in one direction until it ends; returns whether the relay broke the connection.
async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    modes: HttpModes,
    address: SocketAddr,
    response: bool,
) -> bool {
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let count = tokio::select! {
            read = from.read(&mut bytes) => read.unwrap_or(0),
            // Idle connections are closed as well.
            () = wait_until_broken(&modes, address) => return true,
        };
        if !wait_until_open(&modes, address, response).await {
            return true;
        }
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            return false;
        }
    }
}

/// Waits until the mode of the address becomes `Break`.
async fn wait_until_broken(modes: &HttpModes, address: SocketAddr) {
    while locked(modes).get(&address) != Some(&HttpMode::Break) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Relays connections from the advertised address to the address that the process listens on, until this
/// process exits.
pub async fn relay(
    advertised: SocketAddr,
    listened: SocketAddr,
    modes: HttpModes,
) -> anyhow::Result<()> {
    let listener = listen(advertised).await?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let modes = modes.clone();
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(listened).await else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                // The connection ends as soon as one direction ends.
                tokio::select! {
                    _ = forward(client_read, server_write, modes.clone(), advertised, false) => {}
                    _ = forward(server_read, client_write, modes, advertised, true) => {}
                }
            });
        }
    });
    Ok(())
}
