//! Core: decides whether the configuration of this VM is confirmed as current (section 5.1 of the design).
//!
//! A security change is accepted after a majority of the witness group holds it. The witness group is a set
//! of entry VMs that the configuration names. A VM is fresh if the control leader, or a majority of the
//! witness group, confirmed recently that its version is not older than theirs.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::Version;
use crate::id::VmName;
use crate::view::Witnesses;

/// Time after the acceptance of a security change from which no VM serves requests without it.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(3);
/// Validity of a confirmation: [`FRESHNESS_LIMIT`] less 2 %, as the clocks of both VMs may drift by 1 %.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2_940);
/// The witnesses are not asked while the latest confirmation of the leader is younger than this.
const RECENT_LEADER_AGE: Duration = Duration::from_secs(1);

/// Version of the control leader or of a witness, and when the VM sent its call.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    sent: Instant,
    version: Version,
}

/// Confirmations that one VM has received.
pub struct Freshness {
    vm: VmName,
    version: Version,
    witnesses: Witnesses,
    /// Whether the VM has been fresh at any time since its start.
    confirmed: bool,
    leader: Option<Confirmation>,
    witness_confirmations: HashMap<VmName, Confirmation>,
}

impl Freshness {
    /// The state of a VM that has just started: it is not fresh and confirms no version to others.
    pub fn new(vm: VmName) -> Self {
        Self {
            vm,
            version: 0,
            witnesses: Witnesses::default(),
            confirmed: false,
            leader: None,
            witness_confirmations: HashMap::new(),
        }
    }

    /// Sets the version and witness group of the VM; an older version is ignored.
    pub fn set_config(&mut self, version: Version, witnesses: Witnesses, now: Instant) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.witnesses = witnesses;
        self.update_confirmed(now);
    }

    /// Version of the VM's configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Records the version of a control leader with a majority, from its answer to a call made at `sent`.
    pub fn record_leader_answer(&mut self, sent: Instant, version: Version, now: Instant) {
        if self.leader.is_none_or(|c| c.sent < sent) {
            self.leader = Some(Confirmation { sent, version });
        }
        self.update_confirmed(now);
    }

    /// Records the version of a witness, from its answer to a call made at `sent`.
    pub fn record_witness_answer(&mut self, witness: &VmName, sent: Instant, version: Version, now: Instant) {
        let previous = self.witness_confirmations.get(witness);
        if previous.is_none_or(|c| c.sent < sent) {
            self.witness_confirmations
                .insert(witness.clone(), Confirmation { sent, version });
        }
        self.update_confirmed(now);
    }

    /// The version that this VM confirms to others; `None` while its own is unconfirmed.
    pub fn confirmed_version(&self) -> Option<Version> {
        self.confirmed.then_some(self.version)
    }

    /// Whether this VM has all security changes that were accepted [`FRESHNESS_LIMIT`] ago or earlier.
    pub fn is_fresh(&self, now: Instant) -> bool {
        if self.leader.is_some_and(|c| self.is_valid(c, now)) {
            return true;
        }
        let groups = [&self.witnesses.current, &self.witnesses.previous];
        !self.witnesses.current.is_empty() && groups.iter().all(|g| g.is_empty() || self.has_majority(g, now))
    }

    /// Witnesses to ask now; none while a recent confirmation of the leader is valid.
    pub fn witnesses_to_ask(&self, now: Instant) -> Vec<VmName> {
        let leader = self.leader.filter(|c| self.is_valid(*c, now));
        if leader.is_some_and(|c| now.saturating_duration_since(c.sent) < RECENT_LEADER_AGE) {
            return Vec::new();
        }
        let mut list: Vec<VmName> = self.witnesses.current.clone();
        list.extend(self.witnesses.previous.iter().cloned());
        list.retain(|vm| *vm != self.vm);
        list.sort();
        list.dedup();
        list
    }

    fn update_confirmed(&mut self, now: Instant) {
        self.confirmed = self.confirmed || self.is_fresh(now);
    }

    fn is_valid(&self, confirmation: Confirmation, now: Instant) -> bool {
        confirmation.version <= self.version
            && now.saturating_duration_since(confirmation.sent) < CONFIRMATION_TTL
    }

    fn has_majority(&self, group: &[VmName], now: Instant) -> bool {
        let is_member = group.contains(&self.vm);
        let others = group.iter().filter(|vm| **vm != self.vm);
        let answered = others
            .filter(|vm| {
                self.witness_confirmations
                    .get(*vm)
                    .is_some_and(|c| self.is_valid(*c, now))
            })
            .count();
        if !is_member {
            return answered > group.len() / 2;
        }
        if self.confirmed {
            return answered + 1 > group.len() / 2;
        }
        // A restarted witness has lost the versions that it acknowledged, so it does not count itself.
        // A majority of the others overlaps with every majority of the group that it was part of.
        answered > (group.len() - 1) / 2
    }
}
