//! Token buckets of the shares whose leases this VM holds.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::grant::Grant;
use crate::grant::MAX_GRANT_LIFETIME;
use crate::grant::MAX_SHARES;
use crate::grant::SpendReport;
use crate::grant::TokenRequest;
use crate::grant::micros;
use crate::grant::request_timeout;
use crate::grant::share_limit_with_max;
use crate::id::CustomerId;
use crate::id::Incarnation;
use crate::id::VmName;
use crate::lease::Lease;
use crate::lease::MAX_DRIFT_PERCENT;
use crate::view::Customer;
use crate::view::Limit;

/// Levels are counted in billionths of a token, so that rate x nanoseconds needs no rounding.
const UNITS_PER_TOKEN: u64 = 1_000_000_000;
/// A clock that runs 1 % fast must not refill more than the rate allows.
const REFILL_PERCENT: u64 = 100 - MAX_DRIFT_PERCENT as u64;
/// Shortest delay before a spender repeats a request to an empty share; with 48 VMs the owner gets about
/// 500 messages/s.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Part of the allowed excess that a new owner may grant before its buckets have refilled. As much is left
/// for the fallback buckets of VMs that no owner answers, and the remainder for clock differences.
const NEW_OWNER_EXCESS_RATIO: f64 = 0.4;

/// How far a deployment allows a customer to exceed its limit while the owner of its tokens changes. The
/// default is not at all.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Excess {
    /// Time over which the requests of a customer are counted.
    pub window: Duration,
    /// Excess as a ratio of the requests that the limit allows in the window.
    pub ratio: f64,
    /// Further requests that are allowed in the window.
    pub requests: f64,
}

impl Excess {
    /// Number of requests beyond the limit that are allowed in one window.
    pub fn allowed(&self, limit: Limit) -> f64 {
        let within_limit = f64::from(limit.rate) * self.window.as_secs_f64() + f64::from(limit.burst);
        within_limit * self.ratio + self.requests
    }

    /// Initial level of a bucket under a new lease, in billionths of a token.
    fn initial_level(&self, limit: Limit) -> u64 {
        let tokens = (self.allowed(limit) * NEW_OWNER_EXCESS_RATIO).min(f64::from(limit.burst));
        (tokens * UNITS_PER_TOKEN as f64) as u64
    }
}

/// A grant whose tokens the spender may still spend.
struct OutstandingGrant {
    spender: VmName,
    incarnation: Incarnation,
    number: u64,
    unspent: u32,
    tokens: u32,
    expires: Instant,
}

/// Token bucket of one share.
///
/// The level plus the unspent tokens of outstanding grants never exceeds the burst. Therefore the tokens
/// spent in any window are at most burst + rate x window, although a token may be spent up to
/// [`MAX_GRANT_LIFETIME`] after it was granted.
struct Bucket {
    /// Billionths of a token.
    level: u64,
    updated_at: Instant,
    limit: Limit,
    outstanding: Vec<OutstandingGrant>,
}

impl Bucket {
    /// A bucket that had the given level at `since` and was refilled until `now` without a grant.
    fn filled_since(since: Instant, now: Instant, limit: Limit, level: u64) -> Self {
        let mut bucket = Self {
            level,
            updated_at: since,
            limit,
            outstanding: Vec::new(),
        };
        bucket.advance(now);
        bucket
    }

    /// Largest level that the outstanding grants leave room for.
    fn capacity(&self) -> u64 {
        let unspent: u64 = self.outstanding.iter().map(|o| u64::from(o.unspent)).sum();
        u64::from(self.limit.burst).saturating_sub(unspent) * UNITS_PER_TOKEN
    }

    /// Refills the bucket up to `now` and removes expired grants.
    fn advance(&mut self, now: Instant) {
        // An expired grant raises the capacity only from its expiry on, so the refill stops at each expiry.
        while let Some(expiry) = self.next_expiry().filter(|expiry| *expiry <= now) {
            self.refill(expiry);
            self.outstanding.retain(|o| o.expires > expiry);
        }
        self.refill(now);
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.outstanding.iter().map(|o| o.expires).min()
    }

    fn refill(&mut self, now: Instant) {
        let added = self.refill_between(self.updated_at, now);
        self.level = self.level.saturating_add(added).min(self.capacity());
        self.updated_at = self.updated_at.max(now);
    }

    /// Refills the bucket up to `now`, then applies the limit.
    ///
    /// The owner sees a changed limit only with the next request, and the moment of the change is unknown.
    /// The bucket is therefore refilled by the lower of both limits since the last request.
    fn update(&mut self, now: Instant, limit: Limit) {
        if self.limit != limit {
            self.limit = Limit {
                rate: self.limit.rate.min(limit.rate),
                burst: self.limit.burst.min(limit.burst),
            };
            self.level = self.level.min(self.capacity());
        }
        self.advance(now);
        self.limit = limit;
    }

    /// Applies the report of a spender on one of its grants.
    fn apply_report(&mut self, request: &TokenRequest, report: &SpendReport) {
        let found = self.outstanding.iter().position(|o| {
            o.number == report.number && o.spender == request.spender && o.incarnation == request.incarnation
        });
        // A repeated or late report finds no grant, so tokens are not returned twice.
        let Some(index) = found else { return };
        let grant = &mut self.outstanding[index];
        grant.unspent = grant.unspent.min(grant.tokens.saturating_sub(report.spent));
        if report.closed {
            let grant = self.outstanding.swap_remove(index);
            let returned = u64::from(grant.unspent) * UNITS_PER_TOKEN;
            self.level = self.level.saturating_add(returned).min(self.capacity());
        }
    }

    /// Takes up to `requested` whole tokens from the bucket; returns how many.
    fn take(&mut self, requested: u32) -> u32 {
        let whole = u32::try_from(self.level / UNITS_PER_TOKEN).unwrap_or(u32::MAX);
        let tokens = requested.min(whole);
        self.level -= u64::from(tokens) * UNITS_PER_TOKEN;
        tokens
    }

    /// Time until the next token, clamped to the retry delays.
    fn retry_delay(&self) -> Duration {
        if self.limit.rate == 0 {
            return MAX_RETRY_DELAY;
        }
        let wait_ns = UNITS_PER_TOKEN.saturating_sub(self.level) / u64::from(self.limit.rate);
        Duration::from_nanos(wait_ns).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Refill at the rate between two moments, in billionths of a token.
    fn refill_between(&self, since: Instant, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(since).as_nanos();
        let added = elapsed * u128::from(self.limit.rate) * u128::from(REFILL_PERCENT) / 100;
        u64::try_from(added).unwrap_or(u64::MAX)
    }

    /// Whether the bucket is full and has no outstanding grant at `now`. Does not change the bucket, as its
    /// limit may have changed since the last request.
    fn is_full(&self, now: Instant) -> bool {
        let last_expiry = self.outstanding.iter().map(|o| o.expires).max();
        let since = last_expiry.map_or(self.updated_at, |e| e.max(self.updated_at));
        let level = self.level.saturating_add(self.refill_between(since, now));
        since <= now && level >= u64::from(self.limit.burst) * UNITS_PER_TOKEN
    }
}

/// Buckets of one partition during one uninterrupted lease.
struct PartitionBuckets {
    lease_since: Instant,
    /// Excess from which the initial level of the buckets follows.
    initial_excess: Excess,
    buckets: HashMap<(CustomerId, u8), Bucket>,
}

/// Grants the tokens of all shares in the partitions that this VM holds.
pub struct Owner {
    partitions: HashMap<u32, PartitionBuckets>,
    max_shares: u8,
    initial_excess: Excess,
}

impl Default for Owner {
    fn default() -> Self {
        Self::with_shares(MAX_SHARES)
    }
}

impl Owner {
    /// An owner without buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// An owner that divides each limit into at most `max_shares` shares, up to [`MAX_SHARES`].
    pub fn with_shares(max_shares: u8) -> Self {
        Self {
            partitions: HashMap::new(),
            max_shares: max_shares.clamp(1, MAX_SHARES),
            initial_excess: Excess::default(),
        }
    }

    /// Sets the allowed excess from which buckets start under leases that are first seen from now on. Two
    /// owners whose leases begin within one window of the excess must not both use it.
    pub fn set_initial_excess(&mut self, excess: Excess) {
        self.initial_excess = excess;
    }

    /// Answers a request for a share of the partition that is held under the lease.
    ///
    /// Buckets start empty when the lease begins, or with a part of the allowed excess: the grants of the
    /// previous owner ended with its lease, and how much of them was spent is unknown.
    pub fn grant(
        &mut self,
        now: Instant,
        lease: Lease,
        partition: u32,
        customer: &Customer,
        request: &TokenRequest,
    ) -> Grant {
        if now >= lease.end {
            return request.refuse(MAX_RETRY_DELAY);
        }
        let limit = share_limit_with_max(customer.limit, request.share, self.max_shares);
        let max_shares = self.max_shares;
        let bucket = self.bucket(now, lease, partition, limit, request);
        bucket.update(now, limit);
        for report in &request.reports {
            bucket.apply_report(request, report);
        }
        let tokens = bucket.take(request.tokens);
        // A single token is for a request that waits for it: it is spent when the answer arrives, and the spender
        // ignores a later answer. Until it expires it counts against the burst, as most spenders of a large fleet
        // report it with their next request only.
        let max_lifetime = match request.tokens {
            1 => request_timeout(max_shares),
            _ => MAX_GRANT_LIFETIME,
        };
        let lifetime = max_lifetime.min(lease.end - now);
        if tokens > 0 {
            bucket.outstanding.push(OutstandingGrant {
                spender: request.spender.clone(),
                incarnation: request.incarnation,
                number: request.number,
                unspent: tokens,
                tokens,
                expires: now + lifetime,
            });
        }
        let is_partial = tokens < request.tokens;
        Grant {
            incarnation: request.incarnation,
            number: request.number,
            customer: request.customer.clone(),
            share: request.share,
            tokens,
            life_us: micros(lifetime),
            retry_us: if is_partial {
                micros(bucket.retry_delay())
            } else {
                0
            },
            report_soon: bucket.capacity() < u64::from(limit.burst) * UNITS_PER_TOKEN / 2,
            limit: customer.limit,
            version: customer.version,
        }
    }

    fn bucket(
        &mut self,
        now: Instant,
        lease: Lease,
        partition: u32,
        limit: Limit,
        request: &TokenRequest,
    ) -> &mut Bucket {
        let initial_excess = self.initial_excess;
        let new_buckets = || PartitionBuckets {
            lease_since: lease.since,
            initial_excess,
            buckets: HashMap::new(),
        };
        let partition = self.partitions.entry(partition).or_insert_with(new_buckets);
        if partition.lease_since != lease.since {
            *partition = new_buckets();
        }
        let level = partition.initial_excess.initial_level(limit);
        partition
            .buckets
            .entry((request.customer.clone(), request.share))
            .or_insert_with(|| Bucket::filled_since(lease.since, now, limit, level))
    }

    /// Removes the buckets that equal a new one, and those of leases that ended.
    ///
    /// A new bucket holds min(burst, initial level + refill since the beginning of the lease). A used bucket
    /// started from the same level at the same moment and refilled at the same rate, so if it is full and has
    /// no outstanding grant, a new one is full too. This does not hold across a gap in the lease; therefore
    /// `Lease::since` restarts after one.
    pub fn tick(&mut self, now: Instant, lease_of: impl Fn(u32) -> Option<Lease>) {
        self.partitions
            .retain(|id, p| lease_of(*id).is_some_and(|l| l.since == p.lease_since));
        for partition in self.partitions.values_mut() {
            partition.buckets.retain(|_, bucket| !bucket.is_full(now));
        }
    }

    /// Number of buckets in memory.
    pub fn len(&self) -> usize {
        self.partitions.values().map(|p| p.buckets.len()).sum()
    }

    /// Whether no bucket is in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
