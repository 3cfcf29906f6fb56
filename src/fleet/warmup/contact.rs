//! Core: whether an entry VM hears of the upstreams that turn cold.

use std::time::Duration;

use crate::moment::Moment;

/// Time without a control VM that has a leader after which a VM may not know which upstreams are cold.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until an old connection counts again after such a gap. The messages of the gap, which come first, say
/// nothing of the present; they are read in a few milliseconds.
const BACKLOG_TIME: Duration = Duration::from_millis(500);

/// Contact of this VM to the control VMs, on both clocks, as a suspended VM must not take an old message for a new one.
#[derive(Debug)]
pub struct Contact {
    started_at: Moment,
    connected_at: Option<Moment>,
    heard_at: Option<Moment>,
    /// The last time without contact.
    gap: Option<Gap>,
}

#[derive(Debug, Clone, Copy)]
struct Gap {
    began: Moment,
    ends: Moment,
}

impl Contact {
    /// Of a VM that has started.
    pub fn new(started_at: Moment) -> Self {
        Self {
            started_at,
            connected_at: None,
            heard_at: None,
            gap: None,
        }
    }

    /// Records a new connection, on which no old messages are waiting.
    pub fn connected(&mut self, now: Moment) {
        self.connected_at = Some(now);
    }

    /// Records a heartbeat of a control VM that has a leader.
    pub fn heard(&mut self, now: Moment) {
        let last = self.heard_at.replace(now);
        if last.is_some_and(|at| now.since(at) < CONTACT_TIMEOUT) {
            return;
        }
        let connected = self.connected_at.take();
        let is_new = connected.is_some_and(|at| now.since(at) < CONTACT_TIMEOUT);
        self.gap = Some(Gap {
            began: last.map_or(self.started_at, |at| at.after(CONTACT_TIMEOUT)),
            ends: if is_new { now } else { now.after(BACKLOG_TIME) },
        });
    }

    /// Since when this VM has no contact; `None` while it has.
    pub fn lost_since(&self, now: Moment) -> Option<Moment> {
        let Some(heard) = self.heard_at else {
            return Some(self.started_at);
        };
        if now.since(heard) >= CONTACT_TIMEOUT {
            return Some(heard.after(CONTACT_TIMEOUT));
        }
        let gap = self.gap.filter(|gap| now.is_before(gap.ends));
        gap.map(|gap| gap.began)
    }
}
