//! Coordinator of one round of put requests to the holders of an id.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::claim::AttemptId;
use crate::claim::ClaimState;
use crate::claim::PutReply;
use crate::claim::PutRequest;
use crate::claim::ROUND_TIMEOUT;
use crate::claim::ReleaseRequest;
use crate::claim::SEND_WINDOW;
use crate::claim::majority;
use crate::code::Code;
use crate::id::VmName;
use crate::stage::KeptAnswer;

/// Outcome of a round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A majority granted the claim; the request may be sent until the given time.
    Run(Instant),
    /// An earlier request with this id was answered.
    Recorded(KeptAnswer),
    /// The request must not be sent, and another round would not change that.
    Refused(Code),
    /// No attempt is known to have a majority, so another round may succeed after this one is
    /// released. The code is the result if no other round is started.
    Split(Code),
}

/// One round of put requests to the holders of an id.
pub struct ClaimRound {
    request: PutRequest,
    holders: Vec<VmName>,
    started: Instant,
    replies: BTreeMap<VmName, PutReply>,
}

impl ClaimRound {
    /// Starts a round and returns the requests to send, each with its holder.
    pub fn start(
        now: Instant,
        request: PutRequest,
        holders: Vec<VmName>,
    ) -> (Self, Vec<(VmName, PutRequest)>) {
        let puts = holders.iter().map(|h| (h.clone(), request.clone())).collect();
        let round = Self {
            request,
            holders,
            started: now,
            replies: BTreeMap::new(),
        };
        (round, puts)
    }

    /// Counts the reply of a holder; returns `None` while the outcome is open.
    ///
    /// A reply after [`ROUND_TIMEOUT`] does not count. A restarted holder waits for the longer
    /// [`RESTART_WAIT`] before it copies claims, so that every round that counted a grant of its earlier
    /// incarnation has ended by then and the copies include the other grants of that round.
    ///
    /// [`RESTART_WAIT`]: crate::claim::RESTART_WAIT
    pub fn handle_reply(&mut self, now: Instant, from: &VmName, reply: PutReply) -> Option<Decision> {
        if now >= self.started + ROUND_TIMEOUT {
            return Some(self.conclude());
        }
        if !self.holders.contains(from) {
            return None;
        }
        if let Some(decision) = self.earlier_outcome(&reply) {
            return Some(decision);
        }
        self.replies.insert(from.clone(), reply);
        let granted = self.replies.values().filter(|r| **r == PutReply::Granted).count();
        let needed = majority(self.holders.len());
        if granted >= needed {
            return Some(Decision::Run(now + SEND_WINDOW));
        }
        let unanswered = self.holders.len() - self.replies.len();
        (granted + unanswered < needed).then(|| self.conclude())
    }

    /// The outcome if no more replies are counted.
    pub fn conclude(&self) -> Decision {
        // Replies that the id is already claimed, counted by the attempt that claims it.
        let mut claimed_by: BTreeMap<&AttemptId, usize> = BTreeMap::new();
        let mut any_other_digest = false;
        let mut any_stale = false;
        for reply in self.replies.values() {
            if let PutReply::AlreadyClaimed {
                attempt,
                digest,
                stale,
                ..
            } = reply
            {
                *claimed_by.entry(attempt).or_default() += 1;
                any_other_digest |= *digest != self.request.digest;
                any_stale |= *stale;
            }
        }
        let code = match claimed_by.is_empty() {
            true => Code::ClaimUnavailable,
            false if any_other_digest => Code::IdReused,
            false if any_stale => Code::OutcomeUnknown,
            false => Code::InProgress,
        };
        let other_has_majority = claimed_by.values().any(|v| *v >= majority(self.holders.len()));
        let full = self.replies.values().any(|r| *r == PutReply::Full);
        if other_has_majority || (full && claimed_by.is_empty()) {
            return Decision::Refused(code);
        }
        Decision::Split(code)
    }

    /// The request that releases the claim. It goes to all holders, as an unanswered put request may
    /// still arrive at its holder.
    pub fn release_request(&self) -> ReleaseRequest {
        ReleaseRequest {
            id: self.request.id.clone(),
            attempt: self.request.attempt.clone(),
        }
    }

    /// Number of holders that replied that they are full.
    pub fn full_holders(&self) -> usize {
        self.replies.values().filter(|r| **r == PutReply::Full).count()
    }

    /// The outcome if a holder reports that the request has ended. One report is enough, as only an
    /// attempt that had a majority is finished.
    fn earlier_outcome(&self, reply: &PutReply) -> Option<Decision> {
        let PutReply::AlreadyClaimed { digest, state, .. } = reply else {
            return None;
        };
        let same_digest = *digest == self.request.digest;
        match state {
            ClaimState::Running => None,
            _ if !same_digest => Some(Decision::Refused(Code::IdReused)),
            ClaimState::Answered(answer) => Some(Decision::Recorded(answer.clone())),
            ClaimState::Unknown => Some(Decision::Refused(Code::OutcomeUnknown)),
        }
    }
}
