//! The round-trip time of a connection, as measured by the kernel. This is the only unsafe code of the HTTP
//! modules.

use std::os::fd::AsRawFd;
use std::time::Duration;

use tokio::net::TcpStream;

/// Returns the kernel's smoothed round-trip time of a connection, or zero if it has none.
pub(super) fn round_trip(stream: &TcpStream) -> Duration {
    // SAFETY: `tcp_info` has only integer fields, for which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = std::mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `stream` is borrowed, and the kernel writes at most
    // `length` bytes into `info`, which has that size.
    let outcome = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            std::ptr::from_mut(&mut info).cast(),
            &mut length,
        )
    };
    if outcome == 0 {
        Duration::from_micros(u64::from(info.tcpi_rtt))
    } else {
        Duration::ZERO
    }
}
