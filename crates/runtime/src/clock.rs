//! The clock that a process works by.

use std::fmt;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Monotonic time since the process began.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
    interruption: Option<&'static Interruption>,
}

/// Something that happens to a process between two steps of its work: it sleeps for a while, or news
/// comes in. Only for tests: it lets them strike at each look at the clock in turn.
pub struct Interruption {
    looks_until: AtomicU32,
    slept_millis: AtomicU64,
    nap: Duration,
    happens: Box<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for Interruption {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let looks = self.looks_until.load(Ordering::SeqCst);
        write!(formatter, "an interruption in {looks} looks")
    }
}

impl Interruption {
    /// Once it strikes, the process has slept for `nap`, and then `happens` is called.
    pub fn new(nap: Duration, happens: impl Fn() + Send + Sync + 'static) -> Self {
        Self {
            looks_until: AtomicU32::new(0),
            slept_millis: AtomicU64::new(0),
            nap,
            happens: Box::new(happens),
        }
    }

    /// Lets it strike at the look of this number from now on; the next one is number one.
    pub fn trigger_at_read(&self, look: u32) {
        self.looks_until.store(look, Ordering::SeqCst);
    }

    /// Whether it is still to strike.
    pub fn is_pending(&self) -> bool {
        self.looks_until.load(Ordering::SeqCst) > 0
    }

    /// Counts a look; says how long the process has slept by now.
    fn look(&self) -> Duration {
        let counted = |looks: u32| looks.checked_sub(1);
        let looks = self
            .looks_until
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, counted);
        if looks == Ok(1) {
            let nap = self.nap.as_millis() as u64;
            self.slept_millis.store(nap, Ordering::SeqCst);
            (self.happens)();
        }
        Duration::from_millis(self.slept_millis.load(Ordering::SeqCst))
    }
}

/// Time since the machine was booted, with all the time that it was suspended.
///
/// Why not the library's monotonic clock: it stands still while a machine sleeps, and a lease or a
/// hold would live on after the nap as if it had not happened.
fn boot_time() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the call only writes into the place given, which lives until it returns.
    let response = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    // Why an invariant: nothing here is safe without a clock, and every kernel since 2.6.39 has it.
    assert_eq!(response, 0, "the machine has no boot-time clock");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: boot_time(),
            interruption: None,
        }
    }

    /// The same clock, whose looks bring an interruption about. Only for tests.
    pub fn interrupted_by(self, interruption: &'static Interruption) -> Self {
        Self {
            interruption: Some(interruption),
            ..self
        }
    }

    /// The time since the process began.
    pub fn now(&self) -> Duration {
        let slept = self.interruption.map_or(Duration::ZERO, Interruption::look);
        boot_time().saturating_sub(self.start) + slept
    }
}
