//! The follower's side of replication.

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
/// Two leaders can have different bytes for the same index, so parts are only joined if they come
/// from the same replica.
pub(super) struct Incoming {
    from: ReplicaId,
    index: Index,
    term: Term,
    membership: Membership,
    total: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Accepts the sender as the leader of the current term.
    fn follow(&mut self, now: Instant, leader: &Member) {
        if self.role != Role::Follower {
            self.step_down(now);
        }
        self.leader = Some(leader.vm.clone());
        self.heard = Some(now);
        self.reset_deadline(now);
    }

    pub(super) fn on_heartbeat(&mut self, now: Instant, from: Member, commit: Index, round: u64) {
        self.follow(now, &from);
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
        self.follow(now, &from);
        let end = prev + entries.len() as Index;
        // Entries up to the commit index equal the leader's.
        if prev > self.commit && self.log.term(prev) != Some(prev_term) {
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
        self.take_entries(entries);
        self.commit_to(commit.min(end));
        let (matched, index) = (true, end);
        self.send(from, Message::AppendReply { matched, index });
    }

    /// Skips the whole term of a conflicting entry, so that a long divergence takes few messages.
    fn last_possible_match(&self, prev: Index) -> Index {
        if prev > self.log.last() {
            return self.log.last();
        }
        let before = self.log.first_of_term(prev) - 1;
        before.max(self.commit)
    }

    fn take_entries(&mut self, entries: Vec<Entry>) {
        let is_known = |e: &Entry| e.index <= self.commit || self.log.term(e.index) == Some(e.term);
        let known = entries.iter().take_while(|e| is_known(e)).count();
        let new = entries[known..].to_vec();
        let Some(from) = new.first().map(|e| e.index) else {
            return;
        };
        if from <= self.log.last() {
            self.log.truncate(from);
            self.persisted = self.persisted.min(from - 1);
        }
        self.log.append(new.clone());
        self.out.push(Output::Append { from, entries: new });
    }

    pub(super) fn on_chunk(&mut self, now: Instant, from: Member, body: Message) {
        self.follow(now, &from);
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
        if index <= self.commit {
            self.send(from, Message::AppendReply { matched: true, index });
            return;
        }
        let is_next = self
            .incoming
            .as_ref()
            .is_some_and(|i| i.from == from.id && i.index == index && i.total == total);
        if !is_next {
            self.incoming = Some(Incoming {
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
        self.install();
        self.send(from, Message::AppendReply { matched: true, index });
    }

    /// Adds a part if it is the next one; returns the bytes received so far.
    fn add_chunk(&mut self, offset: u64, data: &Bytes) -> u64 {
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install(&mut self) {
        let Some(incoming) = self.incoming.take() else {
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
            // The stored entries after the snapshot belong to another history. They are removed
            // first: after a crash in between they must not follow the snapshot.
            if self.log.last() > index {
                let (from, entries) = (index + 1, Vec::new());
                self.out.push(Output::Append { from, entries });
            }
            self.log.reset(snapshot.clone());
            self.persisted = index;
        }
        self.persisted = self.persisted.max(index);
        self.commit = index;
        self.out.push(Output::SaveSnapshot(snapshot.clone()));
        self.out.push(Output::Restore(snapshot));
    }
}
