//! Core: the right of the leader of the control group to grant tokens.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::leader_history::LeaderHistory;
use crate::id::Term;
use crate::lease::Lease;
use crate::replica::ReplicaStatus;
use crate::replica::Role;

/// Length of the lease, renewed while this VM leads. The grants of a leader that lost its majority end with it.
pub const LEASE_LENGTH: Duration = Duration::from_secs(1);

/// What an update of the lease changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// This VM leads in a new term, so its buckets start anew.
    Started {
        /// Whether the previous leader led for a whole window, so that the allowed excess may be granted.
        is_steady: bool,
    },
    /// This VM leads again in the same term. No other VM has led meanwhile, so its buckets go on.
    Resumed,
    /// This VM may no longer lead.
    Ended,
    /// The lease was renewed, or this VM still doesn't lead.
    Unchanged,
}

/// The lease of this VM, by its role in the control group.
#[derive(Debug, Default)]
pub struct TokenLease {
    lease: Option<Lease>,
    /// The term in which this VM granted tokens last, and since when.
    granted: Option<(Term, Instant)>,
    history: LeaderHistory,
}

impl TokenLease {
    /// Starts, renews or ends the lease; `window` is the time in which the allowed excess may be granted once.
    pub fn update(&mut self, now: Instant, status: &ReplicaStatus, window: Duration) -> LeaseChange {
        if status.leader.is_some() {
            self.history.observe(now, status.term);
        }
        if status.role != Role::Leader {
            return match self.lease.take() {
                Some(_) => LeaseChange::Ended,
                None => LeaseChange::Unchanged,
            };
        }
        let was_held = self.lease.is_some();
        let resumed = self.granted.filter(|(term, _)| *term == status.term);
        let (_, since) = *self.granted.insert(resumed.unwrap_or((status.term, now)));
        let end = now + LEASE_LENGTH;
        self.lease = Some(Lease { since, end });
        match (resumed, was_held) {
            (None, _) => LeaseChange::Started {
                is_steady: self.history.is_steady(window),
            },
            (Some(_), false) => LeaseChange::Resumed,
            (Some(_), true) => LeaseChange::Unchanged,
        }
    }

    /// The lease, if this VM leads.
    pub fn get(&self) -> Option<Lease> {
        self.lease
    }
}
