//! Core: how long the previous leader of the control group led.
//!
//! A new leader has no record of the tokens that the previous one granted. It may grant a part of the
//! excess that a deployment allows, which two leaders within one window must not both do.

use std::time::Duration;
use std::time::Instant;

use crate::id::Term;

/// The current leader and the one before, as far as this VM observed them.
#[derive(Debug, Default)]
pub struct LeaderHistory {
    term: Term,
    /// When the term of the current leader was first observed.
    since: Option<Instant>,
    /// How long the previous leader led; `None` if none was observed.
    previous: Option<Duration>,
}

impl LeaderHistory {
    /// Records the term of the current leader.
    pub fn observe(&mut self, now: Instant, term: Term) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.previous = self.since.map(|at| now.saturating_duration_since(at));
        self.since = Some(now);
    }

    /// Whether the previous leader led for at least a window, or none was observed.
    pub fn is_steady(&self, window: Duration) -> bool {
        self.previous.is_none_or(|led| led >= window)
    }
}
