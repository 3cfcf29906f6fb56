//! The log entries that a replica keeps in memory, with the latest snapshot and the membership changes.

use super::message::Content;
use super::message::Entry;
use super::message::Membership;
use super::message::Snapshot;
use crate::id::Index;
use crate::id::Term;

/// A membership and the index from which it is in effect.
struct MembershipChange {
    index: Index,
    membership: Membership,
}

/// The entries after the compacted prefix of the log.
#[derive(Default)]
pub(super) struct Log {
    /// Last compacted entry; the first of `entries` follows it.
    base: Index,
    base_term: Term,
    entries: Vec<Entry>,
    snapshot: Option<Snapshot>,
    /// The first change is in effect at `base`, the last one at the end of the log, committed or not.
    changes: Vec<MembershipChange>,
}

impl Log {
    pub(super) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        log.append(entries);
        log
    }

    pub(super) fn last(&self) -> Index {
        self.base + self.entries.len() as Index
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.last() == 0
    }

    /// Term of an entry, or `None` if it is compacted or not appended yet.
    pub(super) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(super) fn get(&self, index: Index) -> Option<&Entry> {
        let position = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Entries from `from` on: at most `count` entries with `bytes` bytes of commands, but at least one.
    pub(super) fn batch(&self, from: Index, count: usize, bytes: usize) -> Vec<Entry> {
        let start = (from - self.base - 1) as usize;
        let mut size = 0;
        let mut batch = Vec::new();
        for entry in self.entries[start..].iter().take(count) {
            size += entry.size();
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// First index in memory whose entry has the same term as that at `index`.
    pub(super) fn first_index_of_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > self.base + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// The last entry to compact so that, of the entries up to `index`, at most `count` with `bytes` bytes of
    /// commands stay.
    pub(super) fn retained_base(&self, index: Index, count: u64, bytes: usize) -> Index {
        let mut size = 0;
        let mut base = index;
        while base > self.base && index - base < count {
            size += self.get(base).map_or(0, Entry::size);
            if size > bytes {
                break;
            }
            base -= 1;
        }
        base
    }

    pub(super) fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            debug_assert_eq!(entry.index, self.last() + 1);
            if let Content::Membership(membership) = &entry.content {
                let (index, membership) = (entry.index, membership.clone());
                self.changes.push(MembershipChange { index, membership });
            }
            self.entries.push(entry);
        }
    }

    /// Removes all entries from `from` on.
    pub(super) fn truncate(&mut self, from: Index) {
        self.entries.truncate((from - self.base - 1) as usize);
        self.changes.retain(|c| c.index < from);
    }

    /// Latest membership, committed or not; `None` if the log is empty.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.changes.last().map(|c| &c.membership)
    }

    /// Index of the entry with the latest membership.
    pub(super) fn membership_index(&self) -> Index {
        self.changes.last().map_or(0, |c| c.index)
    }

    pub(super) fn membership_at(&self, index: Index) -> Option<&Membership> {
        let change = self.changes.iter().rev().find(|c| c.index <= index);
        change.map(|c| &c.membership)
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Stores a snapshot of a prefix of this log and removes the entries up to `base`.
    pub(super) fn compact(&mut self, snapshot: Snapshot, base: Index) {
        self.snapshot = Some(snapshot);
        let Some(term) = self.term(base).filter(|_| base > self.base) else {
            return;
        };
        self.entries.drain(..(base - self.base) as usize);
        self.base = base;
        self.base_term = term;
        let first = self.changes.iter().rposition(|c| c.index <= base).unwrap_or(0);
        self.changes.drain(..first);
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn reset(&mut self, snapshot: Snapshot) {
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.changes = vec![MembershipChange {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        }];
        self.snapshot = Some(snapshot);
    }
}
