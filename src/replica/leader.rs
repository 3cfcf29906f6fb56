//! Replication and confirmed reads on the leader.

use std::time::Instant;

use super::Bytes;
use super::Content;
use super::Entry;
use super::Member;
use super::Message;
use super::Output;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::Snapshot;
use crate::id::Index;

/// A message without an answer is sent again after this many heartbeat intervals.
const RESEND_HEARTBEATS: u32 = 2;

/// Number of heartbeat rounds per election timeout whose start is recorded. Reads start rounds as well, so that
/// there can be many more.
const ROUND_RECORDS: u32 = 16;

/// Replication state of another replica, kept by the leader.
pub(super) struct Progress {
    /// Last entry known to be synced on the replica and equal to the leader's.
    pub(super) match_index: Index,
    /// Index of the next entry to send.
    next_index: Index,
    /// When the unanswered message with entries or a part of a snapshot was sent; `None` if there is none.
    sent_at: Option<Instant>,
    /// When the last answer in the current term arrived.
    pub(super) last_contact: Instant,
    /// Last heartbeat round that the replica answered.
    acked_round: u64,
    transfer: Option<SnapshotTransfer>,
}

/// A snapshot that is being sent. A newer snapshot does not replace it: the transfer would start again each
/// time and might never complete.
struct SnapshotTransfer {
    snapshot: Snapshot,
    /// Bytes that the receiver has acknowledged.
    offset: u64,
}

/// A read index request that waits for the confirmation of leadership.
pub(super) struct PendingRead {
    pub(super) token: u64,
    /// First heartbeat round sent after the request.
    round: u64,
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.settings.vm.clone());
        self.leader_contact = None;
        self.incoming_snapshot = None;
        self.heartbeat_round = 0;
        self.round_starts.clear();
        self.progress.clear();
        self.update_progress(now, self.log.last() + 1);
        self.propose_content(now, Content::Empty);
        self.send_heartbeats(now);
    }

    /// Handles the timers of a leader.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        // A leader without a majority steps down, so that its clients go to another replica.
        if !self.has_active_majority(now) {
            self.step_down(now);
            return;
        }
        self.advance_commit(now);
        if now < self.heartbeat_due {
            return;
        }
        let resend_timeout = self.settings.heartbeat_interval * RESEND_HEARTBEATS;
        for progress in self.progress.values_mut() {
            if progress
                .sent_at
                .is_some_and(|at| now.saturating_duration_since(at) >= resend_timeout)
            {
                progress.sent_at = None;
            }
        }
        self.send_heartbeats(now);
        self.replicate(now);
        self.change_membership(now);
    }

    pub(super) fn propose(&mut self, now: Instant, token: u64, data: Bytes) {
        if self.role != Role::Leader {
            let leader = self.leader.clone();
            self.outputs.push(Output::Rejected { token, leader });
            return;
        }
        let (index, term) = (self.log.last() + 1, self.hard_state.term);
        self.outputs.push(Output::Accepted { token, index, term });
        self.propose_content(now, Content::Data(data));
    }

    pub(super) fn propose_content(&mut self, now: Instant, content: Content) {
        let entry = Entry {
            index: self.log.last() + 1,
            term: self.hard_state.term,
            content,
        };
        let from = entry.index;
        self.log.append(vec![entry.clone()]);
        if matches!(entry.content, Content::Membership(_)) {
            self.update_progress(now, from);
        }
        // Sent before the local append, so that the leader and the followers write to disk in parallel.
        self.replicate(now);
        let entries = vec![entry];
        self.outputs.push(Output::Append { from, entries });
    }

    pub(super) fn request_read_index(&mut self, now: Instant, token: u64) {
        if self.role != Role::Leader {
            let leader = self.leader.clone();
            self.outputs.push(Output::Rejected { token, leader });
            return;
        }
        let round = self.heartbeat_round + 1;
        self.pending_reads.push(PendingRead { token, round });
        self.send_heartbeats(now);
        self.confirm_reads();
    }

    /// Starts a heartbeat round.
    fn send_heartbeats(&mut self, now: Instant) {
        self.heartbeat_round += 1;
        self.heartbeat_due = now + self.settings.heartbeat_interval;
        let round = self.heartbeat_round;
        self.record_round(now, round);
        for member in self.other_members() {
            let matched = self.progress.get(&member.id).map_or(0, |p| p.match_index);
            let commit = self.commit_index.min(matched);
            self.send(member, Message::Heartbeat { commit, round });
        }
    }

    /// Records when a round was sent, once in [`ROUND_RECORDS`]th of the election timeout.
    fn record_round(&mut self, now: Instant, round: u64) {
        let timeout = self.settings.election_timeout;
        let is_due = |(_, at): &(u64, Instant)| now.saturating_duration_since(*at) >= timeout / ROUND_RECORDS;
        if self.round_starts.back().is_none_or(is_due) {
            self.round_starts.push_back((round, now));
        }
        while self
            .round_starts
            .front()
            .is_some_and(|(_, at)| now.saturating_duration_since(*at) >= timeout)
        {
            self.round_starts.pop_front();
        }
    }

    /// Until when no other replica can be elected: an election timeout after the start of the latest round that a
    /// majority has answered, as its replicas grant no pre-vote until then. `None` before the first such round.
    pub(super) fn lease_end(&self, now: Instant) -> Option<Instant> {
        let membership = self.log.membership()?;
        let answered = |id: ReplicaId| {
            if id == self.hard_state.id {
                return Some(now);
            }
            let acked = self.progress.get(&id)?.acked_round;
            let mut starts = self.round_starts.iter().rev();
            starts.find(|(round, _)| *round <= acked).map(|(_, at)| *at)
        };
        let mut starts: Vec<Option<Instant>> = membership.voters.iter().map(|m| answered(m.id)).collect();
        starts.sort_unstable_by(|a, b| b.cmp(a));
        let start = starts.get(membership.majority() - 1).copied().flatten()?;
        Some(start + self.settings.election_timeout)
    }

    /// Sends entries or the next part of a snapshot to each replica that has no unanswered message.
    fn replicate(&mut self, now: Instant) {
        for member in self.other_members() {
            let Some(mut progress) = self.progress.remove(&member.id) else {
                continue;
            };
            if progress.sent_at.is_none() && progress.next_index <= self.log.last() {
                let body = self.next_replication_message(&mut progress);
                progress.sent_at = Some(now);
                self.send(member.clone(), body);
            }
            self.progress.insert(member.id, progress);
        }
    }

    fn next_replication_message(&self, progress: &mut Progress) -> Message {
        let prev = progress.next_index - 1;
        match (self.log.term(prev), self.log.snapshot()) {
            (None, Some(snapshot)) => self.next_chunk(progress, snapshot),
            (prev_term, _) => {
                progress.transfer = None;
                let (count, bytes) = (self.settings.batch_entries, self.settings.batch_bytes);
                Message::Append {
                    prev,
                    prev_term: prev_term.unwrap_or_default(),
                    entries: self.log.batch(progress.next_index, count, bytes),
                    commit: self.commit_index,
                }
            }
        }
    }

    fn next_chunk(&self, progress: &mut Progress, latest: &Snapshot) -> Message {
        let transfer = progress.transfer.get_or_insert_with(|| SnapshotTransfer {
            snapshot: latest.clone(),
            offset: 0,
        });
        let snapshot = &transfer.snapshot;
        let start = transfer.offset as usize;
        let end = snapshot.data.len().min(start + self.settings.chunk_bytes);
        Message::Chunk {
            index: snapshot.index,
            last_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: transfer.offset,
            total: snapshot.data.len() as u64,
            data: snapshot.data[start..end].into(),
        }
    }

    pub(super) fn on_heartbeat_reply(&mut self, now: Instant, from: ReplicaId, round: u64) {
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        progress.acked_round = progress.acked_round.max(round);
        self.confirm_reads();
    }

    pub(super) fn on_append_reply(&mut self, now: Instant, from: ReplicaId, matched: bool, index: Index) {
        let last = self.log.last();
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        if index > last {
            return;
        }
        if matched {
            progress.sent_at = None;
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            let is_done = progress
                .transfer
                .as_ref()
                .is_some_and(|t| t.snapshot.index <= index);
            progress.transfer = progress.transfer.take().filter(|_| !is_done);
        } else {
            let next = (index + 1).max(progress.match_index + 1);
            // The rejection is a duplicate, is older than another reply, or comes from a disk that lost
            // synced entries. An immediate retry could repeat the exchange forever, so the message is
            // sent again after the resend timeout.
            if next >= progress.next_index {
                return;
            }
            progress.next_index = next;
            progress.sent_at = None;
        }
        self.advance_commit(now);
        self.replicate(now);
    }

    pub(super) fn on_chunk_reply(&mut self, now: Instant, from: ReplicaId, index: Index, received: u64) {
        let Some(progress) = self.record_contact(now, from) else {
            return;
        };
        let Some(transfer) = progress.transfer.as_mut().filter(|t| t.snapshot.index == index) else {
            return;
        };
        transfer.offset = received.min(transfer.snapshot.data.len() as u64);
        progress.sent_at = None;
        self.replicate(now);
    }

    /// Records contact with a member; `None` if this replica is not the leader or the sender is no member.
    fn record_contact(&mut self, now: Instant, from: ReplicaId) -> Option<&mut Progress> {
        if self.role != Role::Leader {
            return None;
        }
        let progress = self.progress.get_mut(&from)?;
        progress.last_contact = now;
        Some(progress)
    }

    /// Commits the entries that a majority of the voters and the leader itself have synced. The leader always
    /// counts, so that its state machine is never ahead of its disk.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let synced_index = |r: &Self, id| match id == r.hard_state.id {
            true => r.persisted_index,
            false => r.progress.get(&id).map_or(0, |p| p.match_index),
        };
        let Some(membership) = self.log.membership() else {
            return;
        };
        let mut indexes: Vec<Index> = membership
            .voters
            .iter()
            .map(|m| synced_index(self, m.id))
            .collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let majority_index = indexes[membership.majority() - 1].min(self.persisted_index);
        // An entry of an earlier term that a majority holds can still be replaced, so it is committed only
        // together with an entry of the current term.
        if majority_index <= self.commit_index || self.log.term(majority_index) != Some(self.hard_state.term)
        {
            return;
        }
        self.commit_to(majority_index);
        self.confirm_reads();
        self.change_membership(now);
    }

    /// Outputs the read indexes of the requests whose heartbeat round a majority has answered.
    fn confirm_reads(&mut self) {
        if self.pending_reads.is_empty() || !self.has_committed_own_term() {
            return;
        }
        let Some(membership) = self.log.membership() else {
            return;
        };
        let acked_round = |id| match id == self.hard_state.id {
            true => self.heartbeat_round,
            false => self.progress.get(&id).map_or(0, |p| p.acked_round),
        };
        let mut rounds: Vec<u64> = membership.voters.iter().map(|m| acked_round(m.id)).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed_round = rounds[membership.majority() - 1];
        let index = self.commit_index;
        let pending = std::mem::take(&mut self.pending_reads);
        let (done, pending): (Vec<_>, Vec<_>) = pending.into_iter().partition(|r| r.round <= confirmed_round);
        self.pending_reads = pending;
        let done = done.into_iter().map(|r| Output::ReadConfirmed {
            token: r.token,
            index,
        });
        self.outputs.extend(done);
    }

    /// Whether an entry of the current term is committed. Before that, the commit index can be lower than
    /// that of an earlier leader.
    pub(super) fn has_committed_own_term(&self) -> bool {
        self.log.term(self.commit_index) == Some(self.hard_state.term)
    }

    /// Whether a majority of the voters has answered within the election timeout.
    fn has_active_majority(&self, now: Instant) -> bool {
        let Some(membership) = self.log.membership() else {
            return false;
        };
        let is_active =
            |id| id == self.hard_state.id || self.progress.get(&id).is_some_and(|p| self.is_active(now, p));
        membership.voters.iter().filter(|m| is_active(m.id)).count() >= membership.majority()
    }

    pub(super) fn is_active(&self, now: Instant, progress: &Progress) -> bool {
        now.saturating_duration_since(progress.last_contact) < self.settings.election_timeout
    }

    /// Tracks the progress of exactly the members of the latest membership; new ones receive entries from
    /// `next_index` on.
    fn update_progress(&mut self, now: Instant, next_index: Index) {
        let membership = self.log.membership().cloned().unwrap_or_default();
        self.progress.retain(|&id, _| membership.contains(id));
        for member in membership.members().filter(|m| m.id != self.hard_state.id) {
            self.progress.entry(member.id).or_insert_with(|| Progress {
                match_index: 0,
                next_index,
                sent_at: None,
                last_contact: now,
                acked_round: 0,
                transfer: None,
            });
        }
    }

    fn other_members(&self) -> Vec<Member> {
        let members = self.log.membership().into_iter().flat_map(|m| m.members());
        members.filter(|m| m.id != self.hard_state.id).cloned().collect()
    }
}
