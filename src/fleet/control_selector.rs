//! Core: selects the control VM that an entry VM connects to.
//!
//! Control VMs of the own failure domain come first, because traffic between domains is billed. One that
//! was cut off from the others, or did not answer, comes last for a while: an entry VM that returned to it
//! would miss the changes that the others accept. Those connected to one that was cut off come just before.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::fleet::message::ControlVm;
use crate::fleet::message::EntryVm;
use crate::id::VmName;
use crate::rendezvous;

/// A control VM that failed comes last for this long: about as long as a network failure lasts.
pub const FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// A control VM that is missing in the lists is kept for this long: longer than most cuts of the core.
pub const MISSING_RETENTION: Duration = Duration::from_secs(20);

/// The control VMs that an entry VM knows from the lists of the one that it is connected to.
#[derive(Debug, Default)]
pub struct ControlList {
    /// The last list: the control VM and those connected to it.
    listed: Vec<ControlVm>,
    /// Those that the last list lacks, and since when. A control VM that is cut off lists only its own side.
    missing: Vec<(ControlVm, Instant)>,
}

impl ControlList {
    /// Replaces the last list.
    pub fn update(&mut self, now: Instant, listed: Vec<ControlVm>) {
        let former = std::mem::replace(&mut self.listed, listed);
        self.missing.extend(former.into_iter().map(|c| (c, now)));
        let listed = &self.listed;
        self.missing.retain(|(control, since)| {
            let is_recent = now.saturating_duration_since(*since) < MISSING_RETENTION;
            is_recent && !listed.iter().any(|c| c.vm == control.vm)
        });
    }

    /// The control VMs of the last list.
    pub fn listed(&self) -> &[ControlVm] {
        &self.listed
    }

    /// The control VMs of the last list, and those that it lacks.
    pub fn all(&self) -> Vec<ControlVm> {
        let missing = self.missing.iter().map(|(control, _)| control);
        self.listed.iter().chain(missing).cloned().collect()
    }
}

/// Why an entry VM left a control VM.
#[derive(Debug, Display)]
pub enum LeaveReason {
    /// The connection ended or could not be opened.
    #[display("{_0}")]
    Failed(String),
    /// The control VM reported no leader for too long.
    #[display("it hears no leader")]
    Stale,
    /// Another control VM is in the own failure domain, and this one is not.
    #[display("another is nearer")]
    Nearer,
}

/// Selects control VMs by failure domain and by their recent failures.
#[derive(Debug, Default)]
pub struct ControlSelector {
    /// Tried in this round.
    tried: HashSet<VmName>,
    failed_at: HashMap<VmName, Instant>,
    /// When a control VM was last listed as connected to one that heard no leader.
    cut_off_at: HashMap<VmName, Instant>,
}

impl ControlSelector {
    /// The control VM to try next; `None` if all were tried in this round.
    pub fn next(
        &self,
        now: Instant,
        local: &EntryVm,
        controls: &[ControlVm],
        seeds: &[VmName],
    ) -> Option<VmName> {
        // Each entry VM has an order of its own, so that they spread over the control VMs.
        let mut names: Vec<&VmName> = controls.iter().map(|c| &c.vm).chain(seeds).collect();
        names.sort_unstable();
        names.dedup();
        let key: &[&[u8]] = &[b"follow", local.vm.as_bytes()];
        let mut ranked = rendezvous::ranked(key, names.iter().copied());
        let domain = |vm: &VmName| controls.iter().find(|c| c.vm == *vm).map(|c| &c.domain);
        ranked.sort_by_key(|vm| {
            // Seeds that were never listed come after the listed control VMs, as they may have been replaced.
            let is_unlisted = domain(vm).is_none();
            let cut_off = is_recent(now, self.cut_off_at.get(*vm));
            let far = domain(vm) != Some(&local.domain);
            (self.failed_recently(now, vm), is_unlisted, cut_off, far)
        });
        ranked.into_iter().find(|vm| !self.tried.contains(*vm)).cloned()
    }

    /// Starts a round in which all control VMs may be tried again.
    pub fn start_round(&mut self) {
        self.tried.clear();
    }

    /// Records that a control VM is tried in this round.
    pub fn mark_tried(&mut self, vm: &VmName) {
        self.tried.insert(vm.clone());
    }

    /// Records why the entry VM left a control VM.
    pub fn record_leave(&mut self, vm: &VmName, now: Instant, reason: &LeaveReason) {
        match reason {
            LeaveReason::Failed(_) | LeaveReason::Stale => drop(self.failed_at.insert(vm.clone(), now)),
            LeaveReason::Nearer => self.start_round(),
        }
        self.failed_at.retain(|_, at| is_recent(now, Some(at)));
        self.cut_off_at.retain(|_, at| is_recent(now, Some(at)));
    }

    /// Records the control VMs that one without a leader is connected to. If the control group is cut in two, they
    /// are on its side, and a leader is among the others.
    pub fn record_cut_off(&mut self, now: Instant, connected: &[ControlVm]) {
        self.cut_off_at
            .extend(connected.iter().map(|c| (c.vm.clone(), now)));
    }

    /// Whether `vm` is in another failure domain although one of the own domain did not fail recently.
    pub fn has_nearer(&self, now: Instant, vm: &VmName, local: &EntryVm, controls: &[ControlVm]) -> bool {
        let mut near = controls
            .iter()
            .filter(|c| c.domain == local.domain)
            .map(|c| &c.vm);
        let is_near = near.clone().any(|c| c == vm);
        !is_near && near.any(|c| !self.failed_recently(now, c))
    }

    fn failed_recently(&self, now: Instant, vm: &VmName) -> bool {
        is_recent(now, self.failed_at.get(vm))
    }
}

fn is_recent(now: Instant, at: Option<&Instant>) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < FAILURE_BACKOFF)
}
