//! The clock of a process.

use std::fmt;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
    interruption: Option<&'static Interruption>,
}

/// An interruption of a process between two steps of its work: it is suspended for some time, or updates
/// arrive. Only for tests, which trigger it at each read of the clock in turn.
pub struct Interruption {
    reads_left: AtomicU32,
    slept_ms: AtomicU64,
    sleep_time: Duration,
    on_trigger: Box<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for Interruption {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reads = self.reads_left.load(Ordering::SeqCst);
        write!(formatter, "an interruption in {reads} clock reads")
    }
}

impl Interruption {
    /// When it is triggered, the clock is advanced by `sleep_time`, and then `on_trigger` is called.
    pub fn new(sleep_time: Duration, on_trigger: impl Fn() + Send + Sync + 'static) -> Self {
        Self {
            reads_left: AtomicU32::new(0),
            slept_ms: AtomicU64::new(0),
            sleep_time,
            on_trigger: Box::new(on_trigger),
        }
    }

    /// Triggers it at the clock read with this number from now on; the next one is number one.
    pub fn trigger_at_read(&self, read: u32) {
        self.reads_left.store(read, Ordering::SeqCst);
    }

    /// Returns whether it has not been triggered yet.
    pub fn is_pending(&self) -> bool {
        self.reads_left.load(Ordering::SeqCst) > 0
    }

    /// Counts a clock read; returns how long the process has been suspended so far.
    fn count_read(&self) -> Duration {
        let counted = |reads: u32| reads.checked_sub(1);
        let reads = self
            .reads_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, counted);
        if reads == Ok(1) {
            let sleep_time = self.sleep_time.as_millis() as u64;
            self.slept_ms.store(sleep_time, Ordering::SeqCst);
            (self.on_trigger)();
        }
        Duration::from_millis(self.slept_ms.load(Ordering::SeqCst))
    }
}

/// Returns the time since the machine was booted, including the time that it was suspended.
///
/// The monotonic clock of the standard library stops while a machine is suspended, and a lease would then
/// still be valid afterwards as if no time had passed.
fn boot_time() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the call only writes to `time`, which is valid until it returns.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    // An invariant: nothing here is safe without this clock, and every kernel since 2.6.39 has it.
    assert_eq!(status, 0, "the machine has no boot-time clock");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Self {
        Self {
            start: boot_time(),
            interruption: None,
        }
    }

    /// Returns the same clock, whose reads trigger an interruption. Only for tests.
    pub fn interrupted_by(self, interruption: &'static Interruption) -> Self {
        Self {
            interruption: Some(interruption),
            ..self
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        let slept = self
            .interruption
            .map_or(Duration::ZERO, Interruption::count_read);
        boot_time().saturating_sub(self.start) + slept
    }
}
