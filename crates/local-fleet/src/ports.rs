//! The ports of a fleet: a block that is free on loopback, reserved while its fleet is started.

use std::net::{SocketAddr, TcpListener};

use thiserror::Error;

/// Number of ports in a block: at most 500 for processes, and as many for the relay in front of them.
const BLOCK_PORTS: u16 = 1000;
/// Ports from here up are used by the system for outgoing connections.
const LAST_FIRST_PORT: u16 = 31_000;

/// The ports of a fleet cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PortsError {
    /// The requested block is in use, perhaps by another fleet.
    #[error(
        "port {port} is in use, by another fleet or program: end it, or leave out --base-port"
    )]
    InUse {
        /// A port of the block that is in use.
        port: u16,
    },
    /// The requested block ends beyond the highest port.
    #[error("--base-port {first} leaves no room for {BLOCK_PORTS} ports")]
    OutOfRange {
        /// The first port of the block.
        first: u16,
    },
    /// No block is free.
    #[error("no block of {BLOCK_PORTS} free ports was found from port {from} up")]
    NoFreeBlock {
        /// The first port that was tried.
        from: u16,
    },
}

/// A block of ports. No process of the fleet listens on its first one: this process does, so that no other
/// `local-fleet` takes the block while the fleet is being started.
#[derive(Debug)]
pub struct PortBlock {
    /// The first port.
    pub first: u16,
    _reservation: TcpListener,
}

fn listen(port: u16) -> Result<TcpListener, PortsError> {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    TcpListener::bind(address).map_err(|_| PortsError::InUse { port })
}

impl PortBlock {
    /// Reserves the requested block, or without a request the first free one from `default` up.
    pub fn reserve(requested: Option<u16>, default: u16) -> Result<Self, PortsError> {
        match requested {
            Some(first) => Self::reserve_at(first),
            None => (default..=LAST_FIRST_PORT)
                .step_by(usize::from(BLOCK_PORTS))
                .find_map(|first| Self::reserve_at(first).ok())
                .ok_or(PortsError::NoFreeBlock { from: default }),
        }
    }

    /// Reserves the block that begins with this port, if all of its ports are free.
    fn reserve_at(first: u16) -> Result<Self, PortsError> {
        let end = first.checked_add(BLOCK_PORTS);
        let end = end.ok_or(PortsError::OutOfRange { first })?;
        let reservation = listen(first)?;
        for port in first + 1..end {
            listen(port)?;
        }
        Ok(Self {
            first,
            _reservation: reservation,
        })
    }
}
