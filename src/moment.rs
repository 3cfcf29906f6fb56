//! A point in time on the monotonic clock and on the boot-time clock.
//!
//! The monotonic clock, which [`Instant`] reads, stops while the host suspends the VM; the boot-time clock goes on.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A point in time on both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// On the monotonic clock.
    pub monotonic: Instant,
    /// Time since the VM booted, including the time in which it was suspended.
    pub boot: Duration,
}

impl Moment {
    /// The present.
    pub fn now() -> Self {
        let boot = clock_gettime(ClockId::Boottime);
        Self {
            monotonic: Instant::now(),
            boot: Duration::new(
                u64::try_from(boot.tv_sec).unwrap_or_default(),
                u32::try_from(boot.tv_nsec).unwrap_or_default(),
            ),
        }
    }

    /// The point in time after a duration.
    pub fn after(self, time: Duration) -> Self {
        Self {
            monotonic: self.monotonic + time,
            boot: self.boot + time,
        }
    }

    /// Whether this point lies before another on both clocks.
    pub fn is_before(self, end: Self) -> bool {
        self.monotonic < end.monotonic && self.boot < end.boot
    }

    /// Time since an earlier point, by the clock on which more has passed.
    pub fn since(self, earlier: Self) -> Duration {
        let boot = self.boot.saturating_sub(earlier.boot);
        boot.max(self.monotonic.saturating_duration_since(earlier.monotonic))
    }

    /// How long the VM was suspended since an earlier point.
    pub fn suspended_since(self, earlier: Self) -> Duration {
        let boot = self.boot.saturating_sub(earlier.boot);
        boot.saturating_sub(self.monotonic.saturating_duration_since(earlier.monotonic))
    }
}
