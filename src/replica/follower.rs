//! Replication on followers and learners.

use std::time::Instant;

use super::Bytes;
use super::Entry;
use super::Member;
use super::Membership;
use super::Message;
use super::Output;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::Snapshot;
use crate::id::Index;
use crate::id::Term;

/// A snapshot that is being received.
///
/// The snapshots of two leaders can differ in their bytes at the same index, so only parts from the same
/// replica are combined.
pub(super) struct IncomingSnapshot {
    from: ReplicaId,
    index: Index,
    term: Term,
    membership: Membership,
    /// Size of the snapshot, in bytes.
    total: u64,
    /// Bytes received so far.
    data: Vec<u8>,
}

impl Replica {
    /// Accepts a replica as the leader of the current term and restarts the election timeout.
    fn accept_leader(&mut self, now: Instant, leader: &Member) {
        if self.role != Role::Follower {
            self.step_down(now);
        }
        self.leader = Some(leader.vm.clone());
        self.leader_contact = Some(now);
        self.reset_deadline(now);
    }

    pub(super) fn on_heartbeat(&mut self, now: Instant, from: Member, commit: Index, round: u64) {
        self.accept_leader(now, &from);
        self.commit_to(commit.min(self.log.last()));
        self.send(from, Message::HeartbeatReply { round });
    }

    pub(super) fn on_append(
        &mut self,
        now: Instant,
        from: Member,
        prev: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        self.accept_leader(now, &from);
        let end = prev + entries.len() as Index;
        // Committed entries are equal on all replicas, so only later ones need the check.
        if prev > self.commit_index && self.log.term(prev) != Some(prev_term) {
            let index = self.last_possible_match(prev);
            self.send(
                from,
                Message::AppendReply {
                    matched: false,
                    index,
                },
            );
            return;
        }
        self.append_new_entries(entries);
        self.commit_to(commit.min(end));
        let (matched, index) = (true, end);
        self.send(from, Message::AppendReply { matched, index });
    }

    /// Last entry at or before `prev` that may match the leader's log. All entries with the term of the
    /// conflicting one are skipped, so that a long divergence needs few messages.
    fn last_possible_match(&self, prev: Index) -> Index {
        if prev > self.log.last() {
            return self.log.last();
        }
        let before = self.log.first_index_of_term(prev) - 1;
        before.max(self.commit_index)
    }

    /// Appends the entries that the log does not have yet; conflicting ones are replaced.
    fn append_new_entries(&mut self, entries: Vec<Entry>) {
        let is_known = |e: &Entry| e.index <= self.commit_index || self.log.term(e.index) == Some(e.term);
        let known = entries.iter().take_while(|e| is_known(e)).count();
        let new = entries[known..].to_vec();
        let Some(from) = new.first().map(|e| e.index) else {
            return;
        };
        if from <= self.log.last() {
            self.log.truncate(from);
            self.persisted_index = self.persisted_index.min(from - 1);
        }
        self.log.append(new.clone());
        self.outputs.push(Output::Append { from, entries: new });
    }

    pub(super) fn on_chunk(&mut self, now: Instant, from: Member, body: Message) {
        self.accept_leader(now, &from);
        let Message::Chunk {
            index,
            last_term: term,
            membership,
            offset,
            total,
            data,
        } = body
        else {
            return;
        };
        if index <= self.commit_index {
            self.send(from, Message::AppendReply { matched: true, index });
            return;
        }
        let continues_incoming = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|i| i.from == from.id && i.index == index && i.total == total);
        if !continues_incoming {
            self.incoming_snapshot = Some(IncomingSnapshot {
                from: from.id,
                index,
                term,
                membership,
                total,
                data: Vec::new(),
            });
        }
        let received = self.add_chunk(offset, &data);
        if received < total {
            self.send(from, Message::ChunkReply { index, received });
            return;
        }
        self.install_snapshot();
        self.send(from, Message::AppendReply { matched: true, index });
    }

    /// Appends a part of a snapshot if it is the next one; returns the bytes received so far.
    fn add_chunk(&mut self, offset: u64, data: &Bytes) -> u64 {
        let Some(incoming) = &mut self.incoming_snapshot else {
            return 0;
        };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install_snapshot(&mut self) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let snapshot = Snapshot {
            index: incoming.index,
            term: incoming.term,
            membership: incoming.membership,
            data: incoming.data.into(),
        };
        let index = snapshot.index;
        if self.log.term(index) == Some(snapshot.term) {
            self.log.compact(snapshot.clone(), index);
        } else {
            // The entries after the snapshot conflict with it. They are removed before it is saved, as
            // otherwise a crash in between would leave them to follow the snapshot on disk.
            if self.log.last() > index {
                let (from, entries) = (index + 1, Vec::new());
                self.outputs.push(Output::Append { from, entries });
            }
            self.log.reset(snapshot.clone());
            self.persisted_index = index;
        }
        self.persisted_index = self.persisted_index.max(index);
        self.commit_index = index;
        self.outputs.push(Output::SaveSnapshot(snapshot.clone()));
        self.outputs.push(Output::Restore(snapshot));
    }
}
