//! Core: admission of requests by rank while a service has too little capacity.
//!
//! [`waiting_line`] orders the requests that wait for an upstream, [`level`] derives from the ranks of a service how
//! much load and how many retries each of them may use. The functions here bound the time that a request waits.

use std::time::Duration;

pub mod level;
pub mod waiting_line;

/// Part of its route's target latency that a request may wait. An answer within the target counts in full; the rest
/// of the target is for the upstream.
const TARGET_PART: u32 = 4;
/// Part of the time left that a request may wait on a route without a target latency.
const TIME_LEFT_PART: u32 = 8;
/// Lowest and highest factor of a delay before a retry; callers that were refused together must not return together.
const SPREAD: (f64, f64) = (0.5, 1.5);

/// How much longer a request may wait: `target` is the target latency of its route (zero if none is stated), `waited`
/// the time that it waited for earlier attempts, `left` the time until its deadline, and `usual` the usual latency of
/// its route.
pub fn max_wait(target: Duration, waited: Duration, left: Duration, usual: Duration) -> Duration {
    let whole = match target.is_zero() {
        true => left / TIME_LEFT_PART,
        false => target / TARGET_PART,
    };
    whole.saturating_sub(waited).min(left.saturating_sub(usual))
}

/// A delay before a retry, spread by `point`, which is drawn at random from 0 to 1.
pub fn spread(delay: Duration, point: f64) -> Duration {
    let (lowest, highest) = SPREAD;
    delay.mul_f64(lowest + (highest - lowest) * point.clamp(0.0, 1.0))
}
