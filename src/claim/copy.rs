//! Claims that a holder must copy from other holders before it grants claims: all of its claims after
//! a restart, and those of the ids that a change of the registry assigned to it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::claim::AttemptId;
use crate::claim::CLAIM_RETENTION;
use crate::claim::COLD_START_WAIT;
use crate::claim::ClaimId;
use crate::claim::ClaimState;
use crate::claim::HOLDER_COUNT;
use crate::claim::RESTART_WAIT;
use crate::claim::Registry;
use crate::claim::majority;
use crate::id::Incarnation;
use crate::id::VmName;

/// Maximum number of VMs from which pages are requested at the same time; requests to further VMs wait.
const MAX_PARALLEL_COPIES: usize = 4;
/// A page is requested again if no reply arrived within this time. A source that was not ready is
/// queried again after the same time.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of replaced registries that are kept until their claims are copied. Beyond it the oldest
/// is dropped, and its claims are no longer waited for. The first start of a fleet of 48 VMs passes through
/// 48 registries.
const MAX_PREVIOUS_REGISTRIES: usize = 64;

/// Request for a page of the claims of which the requesting VM is also a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// Requesting VM.
    pub vm: VmName,
    /// Incarnation of that VM: one lifetime of its process. Pages that an earlier one requested are outdated.
    pub incarnation: Incarnation,
    /// Id of that VM's registry: the hash of the registered VMs and their failure domains.
    pub registry: u64,
    /// Where the previous page ended.
    pub after: Option<ClaimId>,
}

/// Claim on a copied page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedClaim {
    /// Claimed id.
    pub id: ClaimId,
    /// Attempts that are not released, with the digests of their requests.
    pub attempts: Vec<(AttemptId, SmolStr)>,
    /// State of the request.
    pub state: ClaimState,
    /// Age of the claim in milliseconds.
    pub age_ms: u64,
}

/// One page of claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyPage {
    /// Id of the source's registry; if it differs from the requested one, the page has no claims.
    pub registry: u64,
    /// Incarnation of the source.
    pub incarnation: Incarnation,
    /// Whether the source itself lost its claims and has not copied all of them yet.
    pub lost: bool,
    /// Whether the source may still lack claims of ids that a change of the registry assigned to it.
    pub moving: bool,
    /// The claims, in order of their ids.
    pub claims: Vec<CopiedClaim>,
    /// Where the next page starts; `None` after the last.
    pub next: Option<ClaimId>,
}

/// State of the copy from one source.
struct Progress {
    after: Option<ClaimId>,
    /// Incarnation of the source that sent the pages so far.
    incarnation: Option<Incarnation>,
    in_flight: bool,
    /// Earliest time of the next request; while one is in flight, the time at which it is repeated.
    next_request: Instant,
}

/// A registry that was replaced.
struct PreviousRegistry {
    registry: Arc<Registry>,
    replaced_at: Instant,
}

/// Tracks for which ids this holder has all claims that a majority of holders may have granted.
pub(crate) struct CopyTracker {
    local_vm: VmName,
    incarnation: Incarnation,
    started: Instant,
    /// Whether claims of an earlier incarnation were lost and are not all copied yet.
    claims_lost: bool,
    registry: Arc<Registry>,
    /// Registries whose holders may have claims that are not copied yet.
    previous: Vec<PreviousRegistry>,
    /// Sources copied in full since the start of the process. A source that was itself still copying claims
    /// after a change of the registry does not count.
    copied_since_start: HashSet<VmName>,
    /// Sources copied in full since the registry last changed; they grant no more claims under the old one.
    copied_since_change: HashSet<VmName>,
    /// VMs that reported that they lost their claims too.
    lost_sources: HashSet<VmName>,
    progress: HashMap<VmName, Progress>,
}

impl CopyTracker {
    pub(crate) fn new(
        now: Instant,
        local_vm: VmName,
        incarnation: Incarnation,
        claims_lost: bool,
        registry: Arc<Registry>,
    ) -> Self {
        // On its first start a VM becomes a holder of ids that the registry without it assigned to others.
        let initial = PreviousRegistry {
            registry: Arc::new(registry.without(&local_vm)),
            replaced_at: now,
        };
        let mut tracker = Self {
            local_vm,
            incarnation,
            started: now,
            claims_lost,
            registry,
            previous: if claims_lost { Vec::new() } else { vec![initial] },
            copied_since_start: HashSet::new(),
            copied_since_change: HashSet::new(),
            lost_sources: HashSet::new(),
            progress: HashMap::new(),
        };
        tracker.clear_completed(now);
        tracker
    }

    pub(crate) fn registry_id(&self) -> u64 {
        self.registry.id()
    }

    pub(crate) fn is_holder(&self, id: &ClaimId, vm: &VmName) -> bool {
        self.registry.holders(id).contains(vm)
    }

    /// Sets the current registry and keeps the old one until its claims are copied.
    ///
    /// A holder refuses put requests under another registry. A source that is copied after it changed
    /// to the new registry therefore grants no more claims under the old one.
    pub(crate) fn set_registry(&mut self, now: Instant, registry: &Arc<Registry>) {
        if self.registry == *registry {
            return;
        }
        if self.previous.len() >= MAX_PREVIOUS_REGISTRIES {
            self.previous.remove(0);
        }
        let old = std::mem::replace(&mut self.registry, Arc::clone(registry));
        if !old.contains(&self.local_vm) {
            // The VM was not registered before, or it started without a configuration.
            self.previous.push(PreviousRegistry {
                registry: Arc::new(registry.without(&self.local_vm)),
                replaced_at: now,
            });
        }
        self.previous.push(PreviousRegistry {
            registry: old,
            replaced_at: now,
        });
        self.copied_since_change.clear();
        self.progress.clear();
        self.clear_completed(now);
    }

    /// Whether this holder has every claim of the id that a majority granted.
    ///
    /// An id has `n` holders in a registry, and `m` of them are the smallest majority. So any `n - m + 1`
    /// holders include one of each majority. A restarted holder leaves itself out of both counts: any
    /// `n - m + 1` of the other `n - 1` holders include one of the other `m - 1`.
    pub(crate) fn is_complete(&self, now: Instant, id: &ClaimId) -> bool {
        if self.claims_lost && !self.is_id_recovered(now, id) {
            return false;
        }
        self.previous.iter().all(|p| {
            let holders = p.registry.holders(id);
            let copied = holders
                .iter()
                .filter(|h| self.counts_as_copied(now, p, h))
                .count();
            holders.contains(&self.local_vm) || copied >= read_quorum(holders.len())
        })
    }

    /// Whether nothing more is to be copied from a holder under an older registry: it was copied since the
    /// last change of the registry, or it is no longer registered and [`COLD_START_WAIT`] has passed since
    /// the older registry was replaced. In the second case its claims may not have been copied.
    fn counts_as_copied(&self, now: Instant, previous: &PreviousRegistry, holder: &VmName) -> bool {
        if self.copied_since_change.contains(holder) {
            return true;
        }
        now >= previous.replaced_at + COLD_START_WAIT && !self.registry.contains(holder)
    }

    fn is_id_recovered(&self, now: Instant, id: &ClaimId) -> bool {
        let holders = self.registry.holders(id);
        if count_in(&holders, &self.copied_since_start) >= read_quorum(holders.len()) {
            return true;
        }
        // If a majority lost its claims, this holder included, no copy can be complete; it is enough to
        // wait until callers no longer resend.
        let lost_holders = count_in(&holders, &self.lost_sources) + 1;
        now >= self.started + COLD_START_WAIT && lost_holders >= majority(holders.len())
    }

    pub(crate) fn is_caught_up(&self) -> bool {
        !self.claims_lost && self.previous.is_empty()
    }

    /// Ends the recovery and drops previous registries once their claims are copied.
    fn clear_completed(&mut self, now: Instant) {
        if self.claims_lost && self.is_recovered(now) {
            self.claims_lost = false;
        }
        let mut previous = std::mem::take(&mut self.previous);
        previous.retain(|p| {
            let others = p.registry.names().filter(|v| **v != self.local_vm);
            let missing = others.filter(|v| !self.counts_as_copied(now, p, v));
            let holder_count = p.registry.names().count().min(HOLDER_COUNT);
            missing.count() >= blocking_count(holder_count)
        });
        self.previous = previous;
    }

    /// Whether the claims of every id are recovered, whichever VMs are its holders.
    fn is_recovered(&self, now: Instant) -> bool {
        if now >= self.started + CLAIM_RETENTION {
            return true;
        }
        // Without a configuration no VM has been queried yet.
        if !self.registry.contains(&self.local_vm) {
            return false;
        }
        let others = self.registry.names().filter(|v| **v != self.local_vm);
        let missing: Vec<_> = others.filter(|v| !self.copied_since_start.contains(*v)).collect();
        let holder_count = self.registry.names().count().min(HOLDER_COUNT);
        // Of the n - 1 other holders of an id, n - m + 1 are needed (see `is_complete`), so m - 2 may be
        // missing. In the worst case all VMs that are not copied yet are holders of the same id.
        if missing.len() + 2 <= majority(holder_count) {
            return true;
        }
        now >= self.started + COLD_START_WAIT && missing.iter().all(|v| self.lost_sources.contains(*v))
    }

    pub(crate) fn empty_page(&self) -> CopyPage {
        CopyPage {
            registry: self.registry.id(),
            incarnation: self.incarnation,
            lost: self.claims_lost,
            moving: !self.previous.is_empty(),
            claims: Vec::new(),
            next: None,
        }
    }

    /// Returns the requests for pages that are due, to at most [`MAX_PARALLEL_COPIES`] VMs at once.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<(VmName, CopyRequest)> {
        self.clear_completed(now);
        if self.is_caught_up() || (self.claims_lost && now < self.started + RESTART_WAIT) {
            return Vec::new();
        }
        let mut in_flight = self
            .progress
            .values()
            .filter(|p| p.in_flight && p.next_request > now)
            .count();
        let mut requests = Vec::new();
        let names: Vec<_> = self.registry.names().cloned().collect();
        for vm in names {
            if vm == self.local_vm || !self.needs_copy(&vm) || in_flight >= MAX_PARALLEL_COPIES {
                continue;
            }
            let new_progress = || Progress {
                after: None,
                incarnation: None,
                in_flight: false,
                next_request: now,
            };
            let progress = self.progress.entry(vm.clone()).or_insert_with(new_progress);
            if progress.next_request > now {
                continue;
            }
            progress.in_flight = true;
            progress.next_request = now + PAGE_TIMEOUT;
            in_flight += 1;
            let request = CopyRequest {
                vm: self.local_vm.clone(),
                incarnation: self.incarnation,
                registry: self.registry.id(),
                after: progress.after.clone(),
            };
            requests.push((vm, request));
        }
        requests
    }

    fn needs_copy(&self, vm: &VmName) -> bool {
        (self.claims_lost && !self.copied_since_start.contains(vm))
            || (!self.previous.is_empty() && !self.copied_since_change.contains(vm))
    }

    /// Checks that the page answers the last request and comes from the same incarnation of the source as
    /// the previous pages, and returns whether its claims may be recorded. If the incarnation differs, the
    /// copy from this source starts again with the first page.
    pub(crate) fn accept_page(&mut self, from: &VmName, request: &CopyRequest, page: &CopyPage) -> bool {
        let Some(progress) = self.progress.get_mut(from) else {
            return false;
        };
        if request.incarnation != self.incarnation
            || request.registry != self.registry.id()
            || page.registry != request.registry
            || request.after != progress.after
        {
            return false;
        }
        let same_incarnation = progress.incarnation.is_none_or(|i| i == page.incarnation);
        if !same_incarnation {
            progress.after = None;
            progress.incarnation = None;
        }
        same_incarnation
    }

    /// Continues the copy after a page whose claims are recorded.
    pub(crate) fn advance(&mut self, now: Instant, from: &VmName, page: &CopyPage) {
        if page.lost {
            // The claims on the page are recorded, but the source may lack others; it is queried again later.
            self.lost_sources.insert(from.clone());
            self.retry_later(now, from);
            self.clear_completed(now);
            return;
        }
        self.lost_sources.remove(from);
        if page.next.is_none() {
            self.copied_since_change.insert(from.clone());
            self.retry_later(now, from);
            // A source that still copies after a change of the registry may lack claims of ids that were
            // assigned to it, so it does not count for the recovery after a restart.
            if !page.moving {
                self.copied_since_start.insert(from.clone());
            }
            self.clear_completed(now);
            return;
        }
        if let Some(progress) = self.progress.get_mut(from) {
            progress.after = page.next.clone();
            progress.incarnation = Some(page.incarnation);
            progress.in_flight = false;
            progress.next_request = now;
        }
    }

    /// Starts the copy from a source again after [`PAGE_TIMEOUT`].
    pub(crate) fn retry_later(&mut self, now: Instant, from: &VmName) {
        if let Some(progress) = self.progress.get_mut(from) {
            progress.after = None;
            progress.incarnation = None;
            progress.in_flight = false;
            progress.next_request = now + PAGE_TIMEOUT;
        }
    }
}

fn count_in(holders: &[VmName], set: &HashSet<VmName>) -> usize {
    holders.iter().filter(|h| set.contains(*h)).count()
}

/// Smallest number of holders that always include one of every majority.
fn read_quorum(holders: usize) -> usize {
    if holders == 0 {
        return 0;
    }
    holders - majority(holders) + 1
}

/// Smallest number of missing holders with which [`read_quorum`] may be out of reach.
fn blocking_count(holders: usize) -> usize {
    holders - read_quorum(holders) + 1
}
