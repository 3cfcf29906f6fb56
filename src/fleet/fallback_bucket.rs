//! Core: tokens of a customer that an entry VM spends while no leader answers it.
//!
//! A leader that this VM has lost, or the next one that it has not found yet, may grant the whole rate to the other VMs.
//! A bucket therefore starts with a part of the allowed excess, and refills only from [`REFILL_DELAY`] on.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::token_lease::LEASE_LENGTH;
use crate::grant::Excess;
use crate::view::Limit;

/// Part of the allowed excess that the buckets of all VMs together start with. The buckets of a new leader may
/// start with as much again.
const INITIAL_RATIO: f64 = 0.4;
/// Part of the allowed excess that the buckets of all VMs together hold at most. A leader that was only cut off
/// has full buckets when it returns, so that these tokens are spent beside a whole burst. The rest of the excess
/// is for the deviation of the random admissions from their mean.
const CAPACITY_RATIO: f64 = 0.6;

/// Time after the last answer of a leader in which a bucket does not refill: its lease may last that long, and by then
/// most VMs have found the next leader.
const REFILL_DELAY: Duration = LEASE_LENGTH;

/// The part of a customer's limit that one VM spends without a leader.
#[derive(Debug, Clone, Copy)]
pub struct FallbackShare {
    /// Tokens per second.
    rate: f64,
    /// Level of a new bucket, in tokens.
    initial: f64,
    /// Largest level, in tokens.
    capacity: f64,
    /// Time after which a bucket that no request used counts as new.
    window: Duration,
}

impl FallbackShare {
    /// The share of one of `vms` VMs.
    pub fn new(limit: Limit, excess: &Excess, vms: usize) -> Self {
        let vms = vms.max(1) as f64;
        let allowed = excess.allowed(limit);
        let capacity = (allowed * CAPACITY_RATIO).min(f64::from(limit.burst)) / vms;
        Self {
            rate: f64::from(limit.rate) / vms,
            initial: (allowed * INITIAL_RATIO / vms).min(capacity),
            capacity,
            window: excess.window,
        }
    }
}

/// Bucket of a customer on one VM. In a large fleet it rarely holds a whole token, so a request takes what there
/// is and is admitted with that probability: over the VMs the sum of the admissions is that of the tokens.
#[derive(Debug, Clone, Copy)]
pub struct FallbackBucket {
    /// Tokens.
    level: f64,
    /// When the level was computed.
    at: Instant,
    /// Requests admitted since [`Self::take_spent`] was called last.
    spent: u32,
}

impl FallbackBucket {
    /// A bucket with the initial level; the last answer of a leader was at `last_answer`.
    pub fn new(share: &FallbackShare, last_answer: Instant) -> Self {
        Self {
            level: share.initial,
            at: last_answer,
            spent: 0,
        }
    }

    /// Number of requests that were admitted since the last call.
    pub fn take_spent(&mut self) -> u32 {
        std::mem::take(&mut self.spent)
    }

    /// Whether a request is admitted; `draw` is a random number from 0 to less than 1. The last answer of a leader was
    /// at `last_answer`.
    pub fn spend(&mut self, now: Instant, share: &FallbackShare, last_answer: Instant, draw: f64) -> bool {
        if now.saturating_duration_since(self.at) >= share.window {
            self.level = self.level.max(share.initial);
        }
        let since = self.at.max(last_answer + REFILL_DELAY);
        let refill = now.saturating_duration_since(since).as_secs_f64() * share.rate;
        self.level = (self.level + refill).min(share.capacity);
        self.at = now;
        let is_admitted = draw < self.level;
        self.level = (self.level - 1.0).max(0.0);
        self.spent += u32::from(is_admitted);
        is_admitted
    }
}
