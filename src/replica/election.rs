//! Elections: pre-votes, votes and changes of term.

use std::time::Instant;

use super::HardState;
use super::Member;
use super::Message;
use super::Output;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::SHORT_TIMEOUT_DIVISOR;
use crate::id::Index;
use crate::id::Term;

impl Replica {
    /// Requests pre-votes. They do not change the term, so that a replica that cannot win an election does
    /// not depose the leader.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        if !self.is_voter() {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes = [self.hard_state.id].into();
        let body = Message::PreVote {
            term: self.hard_state.term + 1,
            last: self.log.last(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&body);
        if self.has_vote_majority() {
            self.start_election(now);
        }
    }

    fn start_election(&mut self, now: Instant) {
        self.role = Role::Candidate;
        self.leader = None;
        self.reset_deadline(now);
        if self.settings.is_dynamic {
            // The pre-vote showed that a majority has no contact with a leader, so after a split vote the
            // next attempt can start early.
            self.shorten_deadline(now, SHORT_TIMEOUT_DIVISOR);
        }
        self.save_hard_state(self.hard_state.term + 1, Some(self.hard_state.id));
        self.votes = [self.hard_state.id].into();
        let body = Message::Vote {
            last: self.log.last(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&body);
        if self.has_vote_majority() {
            self.become_leader(now);
        }
    }

    /// Enters a later term as a follower without a leader.
    pub(super) fn adopt_term(&mut self, now: Instant, term: Term) {
        self.step_down(now);
        self.leader = None;
        self.leader_contact = None;
        self.save_hard_state(term, None);
    }

    /// Becomes a follower in the current term; a former leader rejects the pending reads.
    pub(super) fn step_down(&mut self, now: Instant) {
        let was_leader = self.role == Role::Leader;
        self.role = Role::Follower;
        self.votes.clear();
        if !was_leader {
            return;
        }
        self.leader = None;
        self.progress.clear();
        self.reset_deadline(now);
        for read in std::mem::take(&mut self.pending_reads) {
            let token = read.token;
            self.outputs.push(Output::Rejected { token, leader: None });
        }
    }

    pub(super) fn save_hard_state(&mut self, term: Term, vote: Option<ReplicaId>) {
        self.hard_state = HardState {
            term,
            vote,
            ..self.hard_state
        };
        self.outputs.push(Output::SaveHardState(self.hard_state));
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: Member,
        term: Term,
        last: Index,
        last_term: Term,
    ) {
        let has_leader = self
            .leader_contact
            .is_some_and(|at| now.saturating_duration_since(at) < self.settings.election_timeout);
        let granted = term > self.hard_state.term
            && !has_leader
            && self.role != Role::Leader
            && self.is_up_to_date(last, last_term);
        self.send(from, Message::PreVoteReply { term, granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, now: Instant, from: ReplicaId, term: Term, granted: bool) {
        if self.role != Role::PreCandidate || term != self.hard_state.term + 1 || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_vote_majority() {
            self.start_election(now);
        }
    }

    pub(super) fn on_vote(&mut self, now: Instant, from: Member, term: Term, last: Index, last_term: Term) {
        let can_vote = self.hard_state.vote.is_none_or(|id| id == from.id);
        let granted = term == self.hard_state.term && can_vote && self.is_up_to_date(last, last_term);
        if granted {
            self.reset_deadline(now);
            self.save_hard_state(term, Some(from.id));
        }
        self.send(from, Message::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, now: Instant, from: ReplicaId, term: Term, granted: bool) {
        if self.role != Role::Candidate || term != self.hard_state.term || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_vote_majority() {
            self.become_leader(now);
        }
    }

    /// Raft's comparison of logs: whether a log with this last entry is at least as up to date as the local
    /// one.
    fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    fn has_vote_majority(&self) -> bool {
        let Some(membership) = self.log.membership() else {
            return false;
        };
        let votes = membership.voters.iter().filter(|m| self.votes.contains(&m.id));
        votes.count() >= membership.majority()
    }

    fn send_to_voters(&mut self, body: &Message) {
        let Some(membership) = self.log.membership() else {
            return;
        };
        let others = membership.voters.iter().filter(|m| m.id != self.hard_state.id);
        for member in others.cloned().collect::<Vec<_>>() {
            self.send(member, body.clone());
        }
    }
}
