//! Hybrid logical clock: wall-clock time that never runs behind a message that was received.
//!
//! Every call between processes carries a stamp, so a cause has a smaller stamp than its effect
//! although the clocks of the VMs differ.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since 1970 in the upper 48 bits, a counter in the lower 16.
pub type Stamp = u64;

const COUNTER_BITS: u32 = 16;

// Stamps order the events of a whole process, so the clock is global like the logger.
static LAST: AtomicU64 = AtomicU64::new(0);

/// A stamp that is larger than all earlier ones of this process.
pub fn stamp() -> Stamp {
    let wall = wall_millis() << COUNTER_BITS;
    let last = LAST.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |last| {
        Some(wall.max(last + 1))
    });
    let last = last.unwrap_or_default();
    wall.max(last + 1)
}

/// Advances the clock to a stamp from another process, so that later stamps are larger.
///
/// A stamp more than [`MAX_SKEW_MS`] ahead is ignored, so that one VM with a wrong clock does not
/// move the clocks of all others.
pub fn observe(other: Stamp) {
    if millis(other) <= wall_millis() + MAX_SKEW_MS {
        LAST.fetch_max(other, Ordering::SeqCst);
    }
}

/// How far a received stamp may be ahead of the wall clock of this VM, in milliseconds.
pub const MAX_SKEW_MS: u64 = 60_000;

/// Milliseconds since 1970 of a stamp.
pub fn millis(stamp: Stamp) -> u64 {
    stamp >> COUNTER_BITS
}

/// Milliseconds since 1970 by the wall clock of this VM.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX >> COUNTER_BITS)
}
