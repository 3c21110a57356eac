//! Addresses, policy and disks of controllers in memory.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::policy::CorePolicy;
use caperworks::slots::{DiskImage, DiskWrite};

/// How often a controller ticks.
pub const STEP: Duration = Duration::from_millis(25);

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16))
}

/// Three voters on disks of their own, of which two must have synced a change.
pub fn policy() -> CorePolicy {
    CorePolicy {
        proxies_serve_stale: true,
        synced_controllers: Some(2),
        controller_voters: 3,
        witness_voters: 0,
        stamped_heartbeats: false,
        ..CorePolicy::default()
    }
}

/// Carries a write out on a disk.
pub fn lay(image: &mut DiskImage, write: &DiskWrite) {
    let (part, offset, bytes) = match write {
        DiskWrite::Slot { second, bytes } => (&mut image.slots[usize::from(*second)], 0, bytes),
        DiskWrite::Log { offset, bytes } => (&mut image.log, *offset as usize, bytes),
    };
    let end = offset + bytes.len();
    if part.len() < end {
        part.resize(end, 0);
    }
    part[offset..end].copy_from_slice(bytes);
}
