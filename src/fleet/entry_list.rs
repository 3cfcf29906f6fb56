//! Core: the entry VMs that an entry VM knows, from the lists of its control VM.

use std::time::Duration;
use std::time::Instant;

use strum::Display;

use crate::fleet::message::EntryVm;
use crate::fleet::stall::Contact;
use crate::fleet::stall::StallDetector;

/// Time for which the list counts after the last message of the control VM that sent it: longer than it takes to find
/// another control VM after one attempt in vain (500 ms, 400 ms and a round trip). See [`entry_vms`](crate::fleet::entry_vms) for the sum of
/// all delays.
pub const LIST_HOLD: Duration = Duration::from_millis(1_200);

/// What callers are told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Naming {
    /// The VMs of the list.
    List,
    /// Only this VM.
    OwnVm,
}

/// The list of all entry VMs, and when a control VM last stood for it.
#[derive(Debug, Default)]
pub struct EntryList {
    entries: Vec<EntryVm>,
    /// Whether the list came on the connection that is used now. Until it does, the messages on this connection say
    /// nothing about the list before.
    is_from_connection: bool,
    contact: Contact,
    heard_at: Option<Instant>,
    /// Whether only this VM was named when [`EntryList::change`] was last called.
    was_alone: bool,
    stall: StallDetector,
}

impl EntryList {
    /// Records that the process runs; returns the length of a pause that has just ended.
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        self.stall.observe(now)
    }

    /// Records that a connection to a control VM is used from now on.
    pub fn connect(&mut self, now: Instant) {
        self.contact = Contact::open(now);
        self.is_from_connection = false;
    }

    /// Replaces the list.
    pub fn set(&mut self, now: Instant, entries: Vec<EntryVm>) {
        self.entries = entries;
        self.is_from_connection = true;
        self.record_message(now);
    }

    /// Records any message of the control VM.
    pub fn record_message(&mut self, now: Instant) {
        let is_recent = self.contact.record(now, &self.stall);
        if is_recent && self.is_from_connection {
            self.heard_at = Some(now);
        }
    }

    /// Time since a control VM last stood for the list; `None` if none did.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.heard_at.map(|at| now.saturating_duration_since(at))
    }

    /// The entry VMs that callers may be told of. Without a control VM for [`LIST_HOLD`] others may have ended
    /// unnoticed, and this VM, `own`, is the only one that is known to run.
    pub fn current(&self, now: Instant, own: &EntryVm) -> Vec<EntryVm> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        match self.is_alone(now) {
            true => vec![own.clone()],
            false => self.entries.clone(),
        }
    }

    /// Whether [`Self::current`] began or ceased to name only this VM since the last call: what it names now.
    pub fn change(&mut self, now: Instant) -> Option<Naming> {
        let is_alone = !self.entries.is_empty() && self.is_alone(now);
        let before = std::mem::replace(&mut self.was_alone, is_alone);
        (before != is_alone).then_some(match is_alone {
            true => Naming::OwnVm,
            false => Naming::List,
        })
    }

    fn is_alone(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= LIST_HOLD)
    }
}
