//! Tokens of one customer that this VM may spend, the requests that wait for one, and the demand estimate.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::grant::MAX_SHARES;
use crate::grant::SpendReport;
use crate::grant::pool::Ticket;
use crate::grant::request_timeout;
use crate::grant::share_count_with_max;
use crate::id::Version;
use crate::id::VmName;
use crate::rendezvous;
use crate::view::Customer;
use crate::view::Limit;

/// Tokens are prefetched for this time of recent demand at most; more would strand tokens on VMs that stop
/// using them.
const MAX_PREFETCH_TIME: Duration = Duration::from_millis(500);
/// Tokens are prefetched for at most 1/4 of the time in which the burst refills: unspent tokens on the VMs
/// count against the burst, and a bucket without free capacity does not refill.
const PREFETCH_REFILL_DIVISOR: f64 = 4.0;
/// A VM has a large part of a customer's load if its demand exceeds 1/8 of the rate: the other VMs may then
/// be too few to request from every share.
const LARGE_LOAD_DIVISOR: f64 = 8.0;
/// Time constant of the exponential average of the demand.
const DEMAND_TIME_CONSTANT_S: f64 = 0.5;
/// After this long without an answer, the tokens of a token request no longer count as requested, so that
/// they are requested from another share as well.
const HEDGE_DELAY: Duration = Duration::from_millis(40);
/// Pause of a share whose token request has failed.
const TIMEOUT_PAUSE: Duration = Duration::from_millis(500);
/// Like [`TIMEOUT_PAUSE`] where one owner grants all tokens.
const SINGLE_OWNER_TIMEOUT_PAUSE: Duration = Duration::from_millis(20);
/// Without an answer of an owner for this long, refusals are not attributed to the customer's rate. While
/// requests are queued, the VM sends several token requests in this time.
const RECENT_ANSWER_TIME: Duration = Duration::from_secs(1);
/// A customer without tokens is removed this long after its last request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Lower bound of the queue limit, whatever the customer's rate.
const MIN_QUEUE_LIMIT: usize = 16;

/// A grant whose tokens this VM may spend.
pub(crate) struct HeldGrant {
    pub(crate) share: u8,
    pub(crate) number: u64,
    pub(crate) tokens: u32,
    pub(crate) spent: u32,
    /// The value of `spent` that the owner was last sent.
    pub(crate) reported: u32,
    pub(crate) report_soon: bool,
    pub(crate) expires: Instant,
    pub(crate) limit: Limit,
    pub(crate) version: Version,
}

impl HeldGrant {
    pub(crate) fn unspent(&self) -> u32 {
        self.tokens - self.spent
    }
}

/// A token request that has not been answered.
#[derive(Clone, Copy)]
pub(crate) struct PendingRequest {
    pub(crate) number: u64,
    pub(crate) sent: Instant,
    pub(crate) tokens: u32,
}

/// State of the token requests to one share.
#[derive(Default, Clone, Copy)]
pub(crate) struct ShareState {
    pub(crate) pending: Option<PendingRequest>,
    /// No tokens are requested from the share before this time.
    pub(crate) paused_until: Option<Instant>,
}

/// Tokens, demand and queued requests of one customer.
pub(crate) struct CustomerPool {
    /// Largest number of shares that the limit is divided into.
    max_shares: u8,
    /// Time of the last answer from a VM that held the lease of a share.
    pub(crate) last_answer: Option<Instant>,
    /// Whether the last token request was answered by a VM without the lease, or timed out.
    pub(crate) is_unowned: bool,
    pub(crate) limit: Limit,
    pub(crate) version: Version,
    /// Exponential average of the requests per second, as of `demand_at`.
    pub(crate) demand: f64,
    pub(crate) demand_at: Instant,
    pub(crate) last_request: Instant,
    pub(crate) grants: Vec<HeldGrant>,
    pub(crate) shares: [ShareState; MAX_SHARES as usize],
    /// Share from which tokens are requested first.
    pub(crate) preferred: u8,
    /// Requests that wait for a token, with their deadlines.
    pub(crate) queue: VecDeque<(Ticket, Instant)>,
}

impl CustomerPool {
    pub(crate) fn new(now: Instant, customer: &Customer, spender: &VmName, max_shares: u8) -> Self {
        // VMs start with different shares, to spread the token requests over the owners.
        let hash = rendezvous::hash(&[spender.as_bytes(), customer.id.as_bytes()]);
        let count = u64::from(share_count_with_max(customer.limit, max_shares));
        Self {
            max_shares,
            last_answer: None,
            is_unowned: false,
            limit: customer.limit,
            version: customer.version,
            demand: 0.0,
            demand_at: now,
            last_request: now,
            grants: Vec::new(),
            shares: Default::default(),
            preferred: u8::try_from(hash % count).unwrap_or_default(),
            queue: VecDeque::new(),
        }
    }

    /// Whether a grant was made under an older customer record with a higher limit than the current one.
    pub(crate) fn is_outdated(&self, limit: Limit, version: Version) -> bool {
        version < self.version && (limit.rate > self.limit.rate || limit.burst > self.limit.burst)
    }

    /// Applies a newer customer record, and drops the grants that are outdated by it.
    pub(crate) fn set_limit(&mut self, customer: &Customer) {
        if customer.version <= self.version {
            return;
        }
        self.limit = customer.limit;
        self.version = customer.version;
        let mut grants = std::mem::take(&mut self.grants);
        grants.retain(|g| !self.is_outdated(g.limit, g.version));
        self.grants = grants;
        self.preferred %= share_count_with_max(self.limit, self.max_shares);
    }

    /// Adds one request to the demand estimate.
    pub(crate) fn record_demand(&mut self, now: Instant) {
        self.decay_demand(now);
        self.last_request = now;
        self.demand += 1.0 / DEMAND_TIME_CONSTANT_S;
    }

    /// Brings the demand estimate up to `now`.
    pub(crate) fn decay_demand(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand *= (-gap / DEMAND_TIME_CONSTANT_S).exp();
        self.demand_at = now;
    }

    /// Spends one token; `false` if none is available.
    pub(crate) fn spend(&mut self, now: Instant) -> bool {
        // The grant that expires first is used first.
        let usable = self
            .grants
            .iter_mut()
            .filter(|g| g.expires > now && g.unspent() > 0);
        let Some(grant) = usable.min_by_key(|g| g.expires) else {
            return false;
        };
        grant.spent += 1;
        true
    }

    /// Number of tokens that may be spent now.
    pub(crate) fn available(&self, now: Instant) -> u32 {
        let live = self.grants.iter().filter(|g| g.expires > now);
        live.map(HeldGrant::unspent).sum()
    }

    /// Number of tokens to hold for the requests expected next.
    pub(crate) fn prefetch_target(&self) -> u32 {
        let refill = f64::from(self.limit.burst) / f64::from(self.limit.rate.max(1));
        let time = MAX_PREFETCH_TIME
            .as_secs_f64()
            .min(refill / PREFETCH_REFILL_DIVISOR);
        // A single request does not establish a rate, and the result is rounded down: a VM with little demand
        // requests a token when it needs one, because a prefetched token would usually expire unspent.
        ((self.demand - 1.0 / DEMAND_TIME_CONSTANT_S).max(0.0) * time) as u32
    }

    /// Number of requests that may be queued: as many as the whole rate serves in the longest wait, 250 ms.
    pub(crate) fn queue_limit(&self) -> usize {
        (self.limit.rate as usize / 4).max(MIN_QUEUE_LIMIT)
    }

    /// Spends tokens for queued requests in order; returns the requests that got one. Drops those past their
    /// deadline.
    pub(crate) fn serve_queue(&mut self, now: Instant) -> Vec<Ticket> {
        let mut served = Vec::new();
        while let Some((ticket, deadline)) = self.queue.front().copied() {
            if deadline > now {
                if !self.spend(now) {
                    break;
                }
                served.push(ticket);
            }
            self.queue.pop_front();
        }
        served
    }

    /// Whether the owner of a share answered within [`RECENT_ANSWER_TIME`].
    pub(crate) fn has_recent_answer(&self, now: Instant) -> bool {
        self.last_answer
            .is_some_and(|at| now.saturating_duration_since(at) < RECENT_ANSWER_TIME)
    }

    /// Whether the last token request found no owner or timed out, or one is unanswered for [`HEDGE_DELAY`].
    pub(crate) fn is_unowned(&self, now: Instant) -> bool {
        let is_late = |p: &PendingRequest| p.sent + HEDGE_DELAY <= now;
        self.is_unowned || self.shares.iter().filter_map(|s| s.pending.as_ref()).any(is_late)
    }

    /// Drops expired grants, queued requests past their deadline and unanswered token requests.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.grants.retain(|g| g.expires > now);
        self.queue.retain(|(_, deadline)| *deadline > now);
        let timeout = request_timeout(self.max_shares);
        let pause = match self.max_shares {
            1 => SINGLE_OWNER_TIMEOUT_PAUSE,
            _ => TIMEOUT_PAUSE,
        };
        for share in &mut self.shares {
            if share.pending.is_some_and(|p| p.sent + timeout <= now) {
                share.pending = None;
                share.paused_until = Some(now + pause);
                self.is_unowned = true;
            }
        }
    }

    /// Number of tokens to request for the queue and the prefetch target, less those available or already
    /// requested.
    pub(crate) fn shortfall(&self, now: Instant) -> u32 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let target = self.prefetch_target();
        let available = self.available(now);
        // Tokens are prefetched in batches of at least half the target, not one by one.
        if queued == 0 && available > target / 2 {
            return 0;
        }
        let pending = self.shares.iter().filter_map(|s| s.pending);
        let requested: u32 = pending
            .filter(|p| p.sent + HEDGE_DELAY > now)
            .map(|p| p.tokens)
            .sum();
        (queued + target).saturating_sub(available + requested)
    }

    /// The next share to request tokens from, in order from the preferred one; `None` if all are pending or
    /// paused.
    pub(crate) fn choose_share(&self, now: Instant) -> Option<u8> {
        let count = share_count_with_max(self.limit, self.max_shares);
        (0..count).map(|i| (self.preferred + i) % count).find(|s| {
            let share = &self.shares[usize::from(*s)];
            share.pending.is_none() && share.paused_until.is_none_or(|t| t <= now)
        })
    }

    /// Reports on the grants of a share for its owner; removes the grants that are used up.
    pub(crate) fn take_reports(&mut self, share: u8) -> Vec<SpendReport> {
        let mut reports = Vec::new();
        for grant in self.grants.iter_mut().filter(|g| g.share == share) {
            if grant.spent > grant.reported || grant.unspent() == 0 {
                grant.reported = grant.spent;
                reports.push(SpendReport {
                    number: grant.number,
                    spent: grant.spent,
                    closed: grant.unspent() == 0,
                });
            }
        }
        self.grants.retain(|g| g.share != share || g.unspent() > 0);
        reports
    }

    /// Closes grants of a share that recent demand will not use, down to `keep` available tokens; returns the
    /// reports on them.
    pub(crate) fn return_unused(&mut self, share: u8, keep: u32, now: Instant) -> Vec<SpendReport> {
        let mut excess = self.available(now).saturating_sub(keep);
        let mut reports = Vec::new();
        self.grants.retain(|g| {
            if g.share != share || g.unspent() == 0 || g.unspent() > excess {
                return true;
            }
            excess -= g.unspent();
            reports.push(SpendReport {
                number: g.number,
                spent: g.spent,
                closed: true,
            });
            false
        });
        reports
    }

    /// Prefers the share that granted tokens: the next token request then carries the reports on them.
    ///
    /// A VM with a large part of the customer's load goes on to the next share instead, because the bucket of
    /// a share that no VM requests from fills up and loses its further refill.
    pub(crate) fn update_preferred(&mut self, share: u8) {
        let is_large = self.demand * LARGE_LOAD_DIVISOR > f64::from(self.limit.rate);
        self.preferred = (share + u8::from(is_large)) % share_count_with_max(self.limit, self.max_shares);
    }

    /// Whether a grant that is to be reported soon is used up.
    pub(crate) fn has_used_up_grant(&self, share: u8) -> bool {
        let mut grants = self.grants.iter().filter(|g| g.share == share && g.report_soon);
        grants.any(|g| g.unspent() == 0)
    }

    /// Whether a grant that is to be reported soon has unreported tokens.
    pub(crate) fn has_urgent_report(&self, share: u8) -> bool {
        let mut grants = self.grants.iter().filter(|g| g.share == share && g.report_soon);
        grants.any(|g| g.spent > g.reported)
    }

    /// Whether the state of the customer may be removed.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.grants.is_empty()
            && self.queue.is_empty()
            && self.shares.iter().all(|s| s.pending.is_none())
            && self.last_request + IDLE_TIMEOUT <= now
    }
}
