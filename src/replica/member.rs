//! Membership: the first start of a group, join requests, and changes of one voter at a time through the log.

use std::time::Instant;

use super::Content;
use super::Entry;
use super::Member;
use super::Membership;
use super::Message;
use super::Output;
use super::Replica;
use super::ReplicaId;
use super::leader::Progress;
use crate::id::Index;
use crate::id::Term;
use crate::id::VmName;

/// A voter is removed after this many election timeouts without a message. This exceeds the longest freeze
/// of a VM that must remain a voter, and is below the shortest time between the losses of two VMs that the
/// group must survive.
const REMOVAL_ELECTION_TIMEOUTS: u32 = 6;
/// Smallest group from which a voter is removed, as three voters must remain.
const MIN_REMOVAL_VOTERS: usize = 4;

/// The latest join request from a VM.
pub(super) struct JoinRequest {
    member: Member,
    term: Term,
    received_at: Instant,
    /// Whether the sender has neither log nor snapshot, and addressed this replica by its current identity.
    can_create_group: bool,
}

impl Replica {
    /// Requests membership from all control VMs while there is no contact with a leader.
    pub(super) fn send_join_requests(&mut self, now: Instant) {
        let has_leader = self
            .leader_contact
            .is_some_and(|at| now.saturating_duration_since(at) < self.settings.election_timeout);
        // A replica that is not the leader sends no heartbeats, so join requests use the same timer.
        if has_leader || now < self.heartbeat_due {
            return;
        }
        self.heartbeat_due = now + self.settings.heartbeat_interval;
        let fresh = self.is_fresh();
        let peers: Vec<VmName> = self.peers().cloned().collect();
        for vm in peers {
            let id = self.join_requests.get(&vm).map(|j| j.member.id);
            self.send_to(vm, id, Message::Join { fresh });
        }
        self.try_create_group(now);
    }

    pub(super) fn on_join(
        &mut self,
        now: Instant,
        from: Member,
        to_id: Option<ReplicaId>,
        term: Term,
        fresh: bool,
    ) {
        if !self.settings.is_dynamic && !self.peers().any(|vm| *vm == from.vm) {
            return;
        }
        let request = JoinRequest {
            term,
            received_at: now,
            can_create_group: fresh && to_id == Some(self.hard_state.id),
            member: from,
        };
        self.join_requests.insert(request.member.vm.clone(), request);
        self.try_create_group(now);
    }

    /// Creates the first membership of a group with static membership. Only the first VM by name does so,
    /// and only if every control VM has an empty disk: otherwise a group with data exists, which this
    /// replica joins.
    fn try_create_group(&mut self, now: Instant) {
        if self.settings.is_dynamic || !self.is_fresh() || self.peers().any(|vm| *vm < self.settings.vm) {
            return;
        }
        let requests: Vec<&JoinRequest> = self.peers().filter_map(|vm| self.join_requests.get(vm)).collect();
        if requests.len() != self.peers().count() || !requests.iter().all(|j| j.can_create_group) {
            return;
        }
        let mut voters = vec![self.local_member()];
        voters.extend(requests.iter().map(|j| j.member.clone()));
        // The term must exceed that of an earlier group creation by this VM whose disk was lost before the
        // group was complete. These join requests were sent after that loss and carry the terms of the
        // others.
        let highest = requests.iter().map(|j| j.term).max().unwrap_or_default();
        let term = highest.max(self.hard_state.term) + 1;
        self.save_hard_state(term, Some(self.hard_state.id));
        let learners = Vec::new();
        let entry = Entry {
            index: 1,
            term,
            content: Content::Membership(Membership { voters, learners }),
        };
        self.log.append(vec![entry.clone()]);
        let (from, entries) = (1, vec![entry]);
        self.outputs.push(Output::Append { from, entries });
        self.start_pre_vote(now);
    }

    /// Proposes the next membership change, if one is due and none is in progress.
    pub(super) fn change_membership(&mut self, now: Instant) {
        let can_change = self.log.membership_index() <= self.commit_index && self.has_committed_own_term();
        let Some(current) = self.log.membership().filter(|_| can_change) else {
            return;
        };
        let next = self
            .promotion(now, current)
            .or_else(|| self.removal(now, current))
            .or_else(|| self.admission(now, current));
        if let Some(membership) = next {
            self.join_requests
                .retain(|_, j| !membership.contains(j.member.id));
            self.propose_content(now, Content::Membership(membership));
        }
    }

    /// Promotes a learner that has caught up to a voter. The former identity of its VM is removed first, in
    /// a separate change, so that the majorities before and after each change overlap.
    fn promotion(&self, now: Instant, current: &Membership) -> Option<Membership> {
        let learner = current.learners.iter().find(|m| self.has_caught_up(now, m.id))?;
        let mut next = current.clone();
        if current.voters.iter().any(|m| m.vm == learner.vm) {
            next.voters.retain(|m| m.vm != learner.vm);
            return Some(next);
        }
        next.learners.retain(|m| m.id != learner.id);
        next.voters.push(learner.clone());
        Some(next)
    }

    /// With dynamic membership, removes an unreachable voter from a group of even size: the majority is then
    /// one vote smaller and the group tolerates the same number of failures. The replica can join again.
    fn removal(&self, now: Instant, current: &Membership) -> Option<Membership> {
        let count = current.voters.len();
        if !self.settings.is_dynamic || count % 2 == 1 || count < MIN_REMOVAL_VOTERS {
            return None;
        }
        let timeout = self.settings.election_timeout * REMOVAL_ELECTION_TIMEOUTS;
        let is_unreachable = |p: &Progress| now.saturating_duration_since(p.last_contact) >= timeout;
        let unreachable = current
            .voters
            .iter()
            .find(|m| self.progress.get(&m.id).is_some_and(is_unreachable))?;
        let mut next = current.clone();
        next.voters.retain(|m| m.id != unreachable.id);
        Some(next)
    }

    fn has_caught_up(&self, now: Instant, id: ReplicaId) -> bool {
        let caught_up = |matched: Index| matched >= self.commit_index;
        let progress = self.progress.get(&id);
        progress.is_some_and(|p| caught_up(p.match_index) && self.is_active(now, p))
    }

    /// Adds a replica with a recent join request as a learner; it replaces an earlier learner on its VM.
    fn admission(&self, now: Instant, current: &Membership) -> Option<Membership> {
        let is_pending = |j: &&JoinRequest| {
            let age = now.saturating_duration_since(j.received_at);
            age < self.settings.election_timeout && !current.contains(j.member.id)
        };
        let request = self.join_requests.values().find(is_pending)?;
        let mut next = current.clone();
        next.learners.retain(|m| m.vm != request.member.vm);
        next.learners.push(request.member.clone());
        Some(next)
    }

    /// Whether this replica has neither log nor snapshot.
    fn is_fresh(&self) -> bool {
        self.log.is_empty()
    }

    /// The control VMs in the settings except this one, which `settings.peers` may contain.
    fn peers(&self) -> impl Iterator<Item = &VmName> {
        self.settings.peers.iter().filter(|vm| **vm != self.settings.vm)
    }
}
