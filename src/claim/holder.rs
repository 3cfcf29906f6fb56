//! Claims that one holder stores.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;

use crate::claim::AttemptId;
use crate::claim::CLAIM_RETENTION;
use crate::claim::ClaimId;
use crate::claim::ClaimState;
use crate::claim::FinishRequest;
use crate::claim::MAX_RUN_TIME;
use crate::claim::PutReply;
use crate::claim::PutRequest;
use crate::claim::Registry;
use crate::claim::ReleaseRequest;
use crate::claim::copy::CopiedClaim;
use crate::claim::copy::CopyPage;
use crate::claim::copy::CopyRequest;
use crate::claim::copy::CopyTracker;
use crate::id::Incarnation;
use crate::id::VmName;

/// Time for which the release of an attempt is kept, to refuse put requests of the attempt that arrive
/// after it. None arrives later than this.
const RELEASE_RETENTION: Duration = Duration::from_secs(60);
const MAX_RELEASED_ATTEMPTS: usize = 20_000;
/// Claims on a page: few enough not to delay put requests; 100,000 claims take 200 calls.
const PAGE_CLAIM_LIMIT: usize = 500;
/// Claims that are scanned for a page.
const PAGE_SCAN_LIMIT: usize = 5_000;
/// Sum of the answer bodies after which a page ends.
const PAGE_BYTE_LIMIT: usize = 1 << 20;

/// Memory limits of a holder.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Largest number of claims; each takes about 400 bytes without its answer.
    pub max_claims: usize,
    /// Largest sum of the kept answer bodies in bytes; further answers are kept without their bodies.
    pub max_body_bytes: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        // 40 MB and 32 MB of the 128 MB that a VM may use for control data.
        Self {
            max_claims: 100_000,
            max_body_bytes: 32 << 20,
        }
    }
}

struct Entry {
    created: Instant,
    /// Makes the keys of claims with the same `created` distinct in [`ClaimStore::by_age`].
    sequence: u64,
    /// Attempts with the digests of their requests; usually one. Copies may add several attempts of a
    /// split vote. The id stays claimed until all of them are released, as any of them may have got
    /// the majority.
    attempts: Vec<(AttemptId, SmolStr)>,
    state: ClaimState,
}

impl Entry {
    fn is_stale(&self, now: Instant) -> bool {
        self.state == ClaimState::Running && self.created + MAX_RUN_TIME <= now
    }

    fn body_bytes(&self) -> usize {
        body_bytes(&self.state)
    }
}

fn body_bytes(state: &ClaimState) -> usize {
    match state {
        ClaimState::Answered(answer) => answer.body.as_ref().map_or(0, Vec::len),
        _ => 0,
    }
}

/// Claims that one holder stores, within memory limits and for [`CLAIM_RETENTION`].
pub struct ClaimStore {
    limits: StoreLimits,
    entries: BTreeMap<ClaimId, Entry>,
    by_age: BTreeMap<(Instant, u64), ClaimId>,
    released: HashSet<AttemptId>,
    /// When each released attempt is removed, in ascending order.
    release_expiries: VecDeque<(Instant, AttemptId)>,
    body_bytes: usize,
    sequence: u64,
    copies: CopyTracker,
}

impl ClaimStore {
    /// The empty store of a holder that just started. `claims_lost` is set if an earlier run of the VM
    /// may have stored claims.
    pub fn new(
        now: Instant,
        local_vm: VmName,
        incarnation: Incarnation,
        claims_lost: bool,
        registry: Arc<Registry>,
        limits: StoreLimits,
    ) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            by_age: BTreeMap::new(),
            released: HashSet::new(),
            release_expiries: VecDeque::new(),
            body_bytes: 0,
            sequence: 0,
            copies: CopyTracker::new(now, local_vm, incarnation, claims_lost, registry),
        }
    }

    /// Sets the current registry of VMs.
    pub fn set_registry(&mut self, now: Instant, registry: &Arc<Registry>) {
        self.copies.set_registry(now, registry);
    }

    /// Records a claim if the id has none; the same attempt may repeat its request.
    pub fn put_if_absent(&mut self, now: Instant, request: &PutRequest) -> PutReply {
        self.expire(now);
        if request.registry != self.copies.registry_id() {
            return PutReply::OtherRegistry;
        }
        if self.released.contains(&request.attempt) {
            return PutReply::Released;
        }
        if let Some(entry) = self.entries.get(&request.id) {
            return put_reply(now, entry, request);
        }
        if !self.copies.is_complete(now, &request.id) {
            return PutReply::Copying;
        }
        if self.entries.len() >= self.limits.max_claims {
            return PutReply::Full;
        }
        let attempts = vec![(request.attempt.clone(), request.digest.clone())];
        self.insert(request.id.clone(), now, attempts, ClaimState::Running);
        PutReply::Granted
    }

    /// Records how the request of an attempt ended, also if its put request did not arrive here.
    ///
    /// A request is sent only after a majority granted its claim, so its outcome replaces a claim of
    /// another attempt.
    pub fn finish(&mut self, now: Instant, request: &FinishRequest) {
        self.expire(now);
        if request.state == ClaimState::Running {
            return;
        }
        let created = self.remove(&request.id).map_or(now, |e| e.created);
        if self.entries.len() >= self.limits.max_claims {
            return;
        }
        let attempts = vec![(request.attempt.clone(), request.digest.clone())];
        self.insert(request.id.clone(), created, attempts, request.state.clone());
    }

    /// Removes the claim of an attempt whose request did not run.
    pub fn release(&mut self, now: Instant, request: &ReleaseRequest) {
        self.expire(now);
        if self.released.insert(request.attempt.clone()) {
            self.release_expiries
                .push_back((now + RELEASE_RETENTION, request.attempt.clone()));
        }
        let Some(entry) = self.entries.get_mut(&request.id) else {
            return;
        };
        if entry.state != ClaimState::Running {
            return;
        }
        entry.attempts.retain(|(a, _)| *a != request.attempt);
        if entry.attempts.is_empty() {
            self.remove(&request.id);
        }
    }

    /// A page of the claims of which the requesting VM is also a holder.
    pub fn copy_page(&mut self, now: Instant, request: &CopyRequest) -> CopyPage {
        self.expire(now);
        let mut page = self.copies.empty_page();
        if request.registry != page.registry {
            return page;
        }
        let after = request.after.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let range = self.entries.range((after, Bound::Unbounded));
        for (scanned, (id, entry)) in range.enumerate() {
            if page.claims.len() >= PAGE_CLAIM_LIMIT || scanned >= PAGE_SCAN_LIMIT || bytes >= PAGE_BYTE_LIMIT
            {
                return page;
            }
            // The next page starts after the last claim that was scanned.
            page.next = Some(id.clone());
            if !self.copies.is_holder(id, &request.vm) {
                continue;
            }
            bytes += entry.body_bytes();
            let age = now.saturating_duration_since(entry.created);
            page.claims.push(CopiedClaim {
                id: id.clone(),
                attempts: entry.attempts.clone(),
                state: entry.state.clone(),
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            });
        }
        page.next = None;
        page
    }

    /// The requests for pages that are due, each with its source.
    pub fn tick(&mut self, now: Instant) -> Vec<(VmName, CopyRequest)> {
        self.expire(now);
        self.copies.tick(now)
    }

    /// Records the claims of a page, unless the page is outdated.
    pub fn apply_page(&mut self, now: Instant, from: &VmName, request: &CopyRequest, page: &CopyPage) {
        self.expire(now);
        if !self.copies.accept_page(from, request, page) {
            return;
        }
        for claim in &page.claims {
            if !self.merge(now, claim) {
                // At the limit of claims the copy from this source stays incomplete; it starts again later.
                self.copies.retry_later(now, from);
                return;
            }
        }
        self.copies.advance(now, from, page);
    }

    /// Whether this holder has copied all claims, so that it can grant claims of every id.
    pub fn is_caught_up(&self) -> bool {
        self.copies.is_caught_up()
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a copied claim; returns false if there is no room for it.
    fn merge(&mut self, now: Instant, claim: &CopiedClaim) -> bool {
        let mut attempts = claim.attempts.clone();
        attempts.retain(|(a, _)| !self.released.contains(a));
        let age = Duration::from_millis(claim.age_ms);
        if attempts.is_empty() || age >= CLAIM_RETENTION {
            return true;
        }
        if let Some(entry) = self.entries.get_mut(&claim.id) {
            if entry.state != ClaimState::Running {
                return true;
            }
            if claim.state == ClaimState::Running {
                attempts.retain(|a| !entry.attempts.contains(a));
                entry.attempts.extend(attempts);
                return true;
            }
        } else if self.entries.len() >= self.limits.max_claims {
            return false;
        }
        self.remove(&claim.id);
        let created = now.checked_sub(age).unwrap_or(now);
        self.insert(claim.id.clone(), created, attempts, claim.state.clone());
        true
    }

    fn insert(
        &mut self,
        id: ClaimId,
        created: Instant,
        attempts: Vec<(AttemptId, SmolStr)>,
        mut state: ClaimState,
    ) {
        if let ClaimState::Answered(answer) = &mut state {
            let length = answer.body.as_ref().map_or(0, Vec::len);
            if length > crate::claim::MAX_KEPT_BODY_BYTES
                || self.body_bytes + length > self.limits.max_body_bytes
            {
                answer.body = None;
            }
        }
        self.sequence += 1;
        self.body_bytes += body_bytes(&state);
        self.by_age.insert((created, self.sequence), id.clone());
        let entry = Entry {
            created,
            sequence: self.sequence,
            attempts,
            state,
        };
        self.entries.insert(id, entry);
    }

    fn remove(&mut self, id: &ClaimId) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.by_age.remove(&(entry.created, entry.sequence));
        self.body_bytes -= entry.body_bytes();
        Some(entry)
    }

    fn expire(&mut self, now: Instant) {
        while let Some(((created, _), id)) = self.by_age.first_key_value() {
            if *created + CLAIM_RETENTION > now {
                break;
            }
            let id = id.clone();
            self.remove(&id);
        }
        while let Some((end, _)) = self.release_expiries.front() {
            if *end > now && self.release_expiries.len() <= MAX_RELEASED_ATTEMPTS {
                break;
            }
            if let Some((_, attempt)) = self.release_expiries.pop_front() {
                self.released.remove(&attempt);
            }
        }
    }
}

/// The reply to a put request for a recorded claim.
///
/// `Granted` while the claim belongs to the attempt of the request alone and has not ended; otherwise
/// `AlreadyClaimed` with another attempt, if there is one.
fn put_reply(now: Instant, entry: &Entry, request: &PutRequest) -> PutReply {
    let other = entry.attempts.iter().find(|(a, _)| *a != request.attempt);
    let is_running = entry.state == ClaimState::Running;
    match other.or(entry.attempts.first()) {
        Some((attempt, digest)) if *attempt != request.attempt || !is_running => PutReply::AlreadyClaimed {
            attempt: attempt.clone(),
            digest: digest.clone(),
            state: entry.state.clone(),
            stale: entry.is_stale(now),
        },
        _ => PutReply::Granted,
    }
}
