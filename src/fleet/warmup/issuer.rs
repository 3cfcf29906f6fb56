//! Core: the leader's side. One token bucket for each cold run of an upstream, from which permits are granted.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::BucketLimit;
use super::MAX_PERMITS;
use super::MAX_WANTED;
use super::Permit;
use super::WarmupBound;
use super::WarmupGrant;
use super::WarmupRequest;
use crate::fleet::discovery::ListedUpstream;
use crate::id::UpstreamId;
use crate::lease::Lease;
use crate::lease::MAX_DRIFT_PERCENT;
use crate::moment::Moment;
use crate::view::Warmup;

/// Levels are counted in billionths of a token.
const UNITS_PER_TOKEN: u64 = 1_000_000_000;
/// A clock that runs 1 % fast must not refill more than the rate allows.
const REFILL_RATIO: f64 = 1.0 - MAX_DRIFT_PERCENT as f64 / 100.0;
/// Time for which the VM must have been suspended for another to be elected meanwhile: below the shortest election
/// timeout (450 ms), above the time that a busy VM may take between reading both clocks.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);
/// Time without grants after a suspension, in which this VM hears of a leader elected meanwhile: a few heartbeats of
/// the leader.
const SUSPENSION_PAUSE: Duration = Duration::from_millis(500);

/// Token bucket of one cold run of an upstream.
#[derive(Debug, Clone)]
struct Bucket {
    /// Billionths of a token.
    level: u64,
    updated_at: Instant,
    granted_at: Option<Instant>,
}

impl Bucket {
    fn refill(&mut self, now: Instant, limit: &BucketLimit) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let added = elapsed * limit.rate * REFILL_RATIO * UNITS_PER_TOKEN as f64;
        let capacity = (limit.burst * UNITS_PER_TOKEN as f64) as u64;
        self.level = self.level.saturating_add(added as u64).min(capacity);
        self.updated_at = self.updated_at.max(now);
    }

    fn take(&mut self, now: Instant) -> bool {
        if self.level < UNITS_PER_TOKEN {
            return false;
        }
        self.level -= UNITS_PER_TOKEN;
        self.granted_at = Some(now);
        true
    }
}

/// A run of an upstream that may be granted in one answer.
struct Candidate<'a> {
    upstream: &'a UpstreamId,
    run_start: u64,
    bucket: Bucket,
    count: u8,
}

/// Grants permits from the buckets while this VM leads.
#[derive(Debug, Default)]
pub struct Issuer {
    bound: WarmupBound,
    /// Beginning of the lease under which the buckets were filled.
    lease_since: Option<Instant>,
    /// When the clocks were last compared.
    observed_at: Option<Moment>,
    paused_until: Option<Instant>,
    buckets: HashMap<UpstreamId, (u64, Bucket)>,
}

impl Issuer {
    /// An issuer without buckets.
    pub fn new(bound: WarmupBound) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Answers a request for the cold upstreams of its service. A permit counts as used when it is granted.
    ///
    /// A new bucket is empty. What was granted to the run before, under an earlier lease or while it was cold
    /// earlier, is unknown, and the sum stays within the bound of one bucket.
    pub fn grant<'a>(
        &mut self,
        now: Moment,
        lease: Lease,
        warmup: Warmup,
        cold: impl Iterator<Item = &'a ListedUpstream>,
        request: &WarmupRequest,
    ) -> WarmupGrant {
        self.observe(now, lease);
        let mut grant = WarmupGrant {
            number: request.number,
            service: request.service.clone(),
            permits: Vec::new(),
        };
        let now = now.monotonic;
        if now >= lease.end || self.paused_until.is_some_and(|until| now < until) {
            return grant;
        }
        let limit = BucketLimit::new(warmup, &self.bound);
        let mut candidates: Vec<Candidate<'_>> = cold.map(|l| self.candidate(now, l, &limit)).collect();
        // The fullest bucket has had the fewest recent grants.
        candidates.sort_by_key(|c| (Reverse(c.bucket.level), c.bucket.granted_at));
        let mut left = usize::from(request.wanted.min(MAX_WANTED)).min(MAX_PERMITS);
        while left > 0 {
            let before = left;
            for candidate in &mut candidates {
                if left > 0 && candidate.bucket.take(now) {
                    candidate.count += 1;
                    left -= 1;
                }
            }
            if left == before {
                break;
            }
        }
        for candidate in candidates {
            let Candidate {
                upstream,
                run_start,
                bucket,
                count,
            } = candidate;
            if count > 0 {
                grant.permits.push(Permit {
                    upstream: upstream.clone(),
                    run_start,
                    count,
                });
            }
            self.buckets.insert(upstream.clone(), (run_start, bucket));
        }
        grant
    }

    /// The refilled bucket of a run; a new one if there is none or it belongs to another run.
    fn candidate<'a>(&self, now: Instant, listed: &'a ListedUpstream, limit: &BucketLimit) -> Candidate<'a> {
        let run_start = listed.report.born;
        let known = self.buckets.get(&listed.report.upstream);
        let mut bucket = match known {
            Some((start, bucket)) if *start == run_start => bucket.clone(),
            _ => Bucket {
                level: 0,
                updated_at: now,
                granted_at: None,
            },
        };
        bucket.refill(now, limit);
        Candidate {
            upstream: &listed.report.upstream,
            run_start,
            bucket,
            count: 0,
        }
    }

    /// Drops all buckets at the beginning of a lease and after a suspension of this VM. While it was suspended, another
    /// VM may have been elected, and this one still takes itself for the leader.
    fn observe(&mut self, now: Moment, lease: Lease) {
        let observed_at = self.observed_at.replace(now);
        let suspended = observed_at.map(|at| now.suspended_since(at));
        if suspended.is_some_and(|time| time >= MIN_SUSPENSION) {
            self.buckets.clear();
            self.paused_until = Some(now.monotonic + SUSPENSION_PAUSE);
        }
        if self.lease_since != Some(lease.since) {
            self.lease_since = Some(lease.since);
            self.buckets.clear();
        }
    }

    /// Drops the buckets of runs that are warm or gone.
    pub fn retain(&mut self, is_cold: impl Fn(&UpstreamId, u64) -> bool) {
        self.buckets.retain(|id, (run_start, _)| is_cold(id, *run_start));
    }

    /// Number of buckets in memory.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no bucket is in memory.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
