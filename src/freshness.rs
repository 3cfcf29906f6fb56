//! Core: whether the configuration of this VM is confirmed (section 5.1 of the design).

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::Version;
use crate::id::VmName;
use crate::view::Witnesses;

/// An accepted security change is in force everywhere this long after it was accepted.
pub const FRESH: Duration = Duration::from_secs(3);
/// Clocks of two VMs drift apart by at most 1 % each, so the holder's side counts 2 % less.
const FRESH_HERE: Duration = Duration::from_millis(2_940);
/// A leader that confirmed so recently makes an exchange with the witnesses unnecessary.
const LEADER_RECENT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Confirmation {
    sent: Instant,
    version: Version,
}

/// Confirmations that one VM has collected.
pub struct Freshness {
    vm: VmName,
    version: Version,
    witnesses: Witnesses,
    confirmed: bool,
    leader: Option<Confirmation>,
    replies: HashMap<VmName, Confirmation>,
}

impl Freshness {
    /// The state of a VM that has just started: it confirms nothing and is not fresh.
    pub fn new(vm: VmName) -> Self {
        Self {
            vm,
            version: 0,
            witnesses: Witnesses::default(),
            confirmed: false,
            leader: None,
            replies: HashMap::new(),
        }
    }

    /// Takes the version and witness group that the VM holds now; an older version is ignored.
    pub fn hold(&mut self, version: Version, witnesses: Witnesses, now: Instant) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.witnesses = witnesses;
        self.update(now);
    }

    /// Version that the VM holds.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The control leader, while it held its majority, answered a call made at `sent`.
    pub fn leader_answered(&mut self, sent: Instant, version: Version, now: Instant) {
        if self.leader.is_none_or(|c| c.sent < sent) {
            self.leader = Some(Confirmation { sent, version });
        }
        self.update(now);
    }

    /// A witness answered an exchange that was sent at `sent` with the version it holds.
    pub fn witness_answered(&mut self, witness: &VmName, sent: Instant, version: Version, now: Instant) {
        let earlier = self.replies.get(witness);
        if earlier.is_none_or(|c| c.sent < sent) {
            self.replies
                .insert(witness.clone(), Confirmation { sent, version });
        }
        self.update(now);
    }

    /// The version that this VM states to others, or `None` while its own is unconfirmed.
    pub fn answer(&self) -> Option<Version> {
        self.confirmed.then_some(self.version)
    }

    /// Whether no accepted security change can be missing here.
    pub fn is_fresh(&self, now: Instant) -> bool {
        if self.leader.is_some_and(|c| self.counts(c, now)) {
            return true;
        }
        let groups = [&self.witnesses.current, &self.witnesses.previous];
        !self.witnesses.current.is_empty() && groups.iter().all(|g| g.is_empty() || self.has_majority(g, now))
    }

    /// Witnesses to ask now; none while the leader confirms.
    pub fn to_ask(&self, now: Instant) -> Vec<VmName> {
        let leader = self.leader.filter(|c| self.counts(*c, now));
        if leader.is_some_and(|c| now.saturating_duration_since(c.sent) < LEADER_RECENT) {
            return Vec::new();
        }
        let mut list: Vec<VmName> = self.witnesses.current.clone();
        list.extend(self.witnesses.previous.iter().cloned());
        list.retain(|vm| *vm != self.vm);
        list.sort();
        list.dedup();
        list
    }

    fn update(&mut self, now: Instant) {
        self.confirmed = self.confirmed || self.is_fresh(now);
    }

    fn counts(&self, confirmation: Confirmation, now: Instant) -> bool {
        confirmation.version <= self.version && now.saturating_duration_since(confirmation.sent) < FRESH_HERE
    }

    fn has_majority(&self, group: &[VmName], now: Instant) -> bool {
        let is_member = group.contains(&self.vm);
        let others = group.iter().filter(|vm| **vm != self.vm);
        let answered = others
            .filter(|vm| self.replies.get(*vm).is_some_and(|c| self.counts(*c, now)))
            .count();
        if !is_member {
            return answered > group.len() / 2;
        }
        if self.confirmed {
            return answered + 1 > group.len() / 2;
        }
        // A restarted witness has lost what it acknowledged, so its own vote does not count. A
        // majority of the others meets every majority of the group that it was part of.
        answered > (group.len() - 1) / 2
    }
}
