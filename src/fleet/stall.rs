//! Core: detects that a process did not run for a while, as when its VM was suspended.
//!
//! A process that goes on reads first what arrived during the pause, which may be old and come from VMs that have ended.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::link;

/// A longer time between two observations is a pause: the other sides of its connections have closed them by then.
const MAX_GAP: Duration = link::IDLE_TIMEOUT;
/// After a pause, messages of a connection count from this time after the first one on. What arrived during the pause, or
/// was held up on the way, is read within milliseconds; a VM that runs sends every 200 ms.
const CATCH_UP: Duration = Duration::from_millis(300);

/// Observes whether the process runs. It has to be called at least every few hundred milliseconds.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_run: Option<Instant>,
    resumed_at: Option<Instant>,
}

impl StallDetector {
    /// Records that the process runs; returns the length of a pause that has just ended.
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        let last = self.last_run.replace(now)?;
        let pause = now.saturating_duration_since(last);
        if pause <= MAX_GAP {
            return None;
        }
        self.resumed_at = Some(now);
        Some(pause)
    }
}

/// Tells by the messages of a connection whether its other side runs.
#[derive(Debug, Default)]
pub struct Contact {
    opened_at: Option<Instant>,
    /// When the first message since the last pause was read.
    first_at: Option<Instant>,
}

impl Contact {
    /// For a connection that is used from now on.
    pub fn open(now: Instant) -> Self {
        Self {
            opened_at: Some(now),
            first_at: None,
        }
    }

    /// Records a message that is read now; returns whether it was sent recently.
    pub fn record(&mut self, now: Instant, stall: &StallDetector) -> bool {
        let Some(resumed_at) = stall.resumed_at else {
            return true;
        };
        // A connection from the time of the pause was closed by its other side, or is silent and closed by this one.
        if self.opened_at.is_some_and(|at| at >= resumed_at + MAX_GAP) {
            return true;
        }
        let first_at = self.first_at.filter(|at| *at >= resumed_at).unwrap_or(now);
        self.first_at = Some(first_at);
        now.saturating_duration_since(first_at) >= CATCH_UP
    }
}
