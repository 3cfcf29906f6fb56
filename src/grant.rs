//! Rate limits by token grants.
//!
//! The limit of a customer is divided into shares. The VM that holds the lease of a share's partition is its
//! owner and keeps its token bucket. Each entry VM is a spender: it requests tokens from the owners, spends
//! them on requests and reports what it spent (section 5.2 of the design).

mod customer_pool;
pub mod owner;
pub mod pool;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::CustomerId;
use crate::id::Incarnation;
use crate::id::Version;
use crate::id::VmName;
use crate::rendezvous;
use crate::view::Limit;

pub use owner::Excess;
pub use owner::Owner;
pub use pool::SpendOutcome;
pub use pool::TokenPool;

/// Longest lifetime of a grant, by the clock of the owner.
pub const MAX_GRANT_LIFETIME: Duration = Duration::from_secs(2);
/// A token request that is unanswered for this long has failed; its share is then not used for a pause.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// The same where one owner grants all tokens. There is no other share to use meanwhile, so a lost token request must
/// be repeated before the queued requests reach their deadlines.
const SINGLE_OWNER_REQUEST_TIMEOUT: Duration = Duration::from_millis(120);
/// Largest number of shares of a limit. With three, the loss of one owner pauses a third of the rate.
pub const MAX_SHARES: u8 = 3;

/// Number of shares of a limit: 1 if the rate or the burst is below [`MAX_SHARES`], as a share without
/// rate or burst could never grant a token.
pub fn share_count(limit: Limit) -> u8 {
    share_count_with_max(limit, MAX_SHARES)
}

/// Like [`share_count`] with at most `max_shares` shares.
pub(crate) fn share_count_with_max(limit: Limit, max_shares: u8) -> u8 {
    if limit.burst.min(limit.rate) < u32::from(max_shares) {
        return 1;
    }
    max_shares
}

/// Time after which a token request has failed, for limits of at most `max_shares` shares.
pub(crate) fn request_timeout(max_shares: u8) -> Duration {
    match max_shares {
        1 => SINGLE_OWNER_REQUEST_TIMEOUT,
        _ => REQUEST_TIMEOUT,
    }
}

/// Rate and burst of one share; those of all shares add up to the limit. Zero if the limit has no such share.
pub fn share_limit(limit: Limit, share: u8) -> Limit {
    share_limit_with_max(limit, share, MAX_SHARES)
}

/// Like [`share_limit`] with at most `max_shares` shares.
pub(crate) fn share_limit_with_max(limit: Limit, share: u8, max_shares: u8) -> Limit {
    let count = share_count_with_max(limit, max_shares);
    if share >= count {
        return Limit { rate: 0, burst: 0 };
    }
    Limit {
        rate: split(limit.rate, share, count),
        burst: split(limit.burst, share, count),
    }
}

/// Divides a total into `count` parts that differ by at most 1; returns the part of one share.
fn split(total: u32, share: u8, count: u8) -> u32 {
    let (share, count) = (u32::from(share), u32::from(count));
    total / count + u32::from(share < total % count)
}

/// The partition whose owner grants the tokens of a share.
pub fn partition(customer: &CustomerId, share: u8, partitions: u32) -> u32 {
    let hash = rendezvous::hash(&[b"share", customer.as_bytes(), &[share]]);
    u32::try_from(hash % u64::from(partitions)).unwrap_or_default()
}

/// How much of an earlier grant was spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendReport {
    /// Number of the request that was answered with the grant.
    pub number: u64,
    /// Tokens spent so far.
    pub spent: u32,
    /// Whether the spender will spend no more of the grant; the owner gets the rest back.
    pub closed: bool,
}

/// Requests tokens from the owner of a share, and reports what was spent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// VM that requests the tokens.
    pub spender: VmName,
    /// Incarnation of that VM.
    pub incarnation: Incarnation,
    /// Number of the request, unique within the incarnation.
    pub number: u64,
    /// Customer whose requests spend the tokens.
    pub customer: CustomerId,
    /// Share to take the tokens from.
    pub share: u8,
    /// Number of tokens; 0 in a request that only reports.
    #[serde(rename = "want")]
    pub tokens: u32,
    /// Reports on earlier grants of this share.
    pub reports: Vec<SpendReport>,
}

/// Answer of an owner to a token request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Incarnation of the spender.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub number: u64,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Share of the request.
    pub share: u8,
    /// Number of granted tokens; may be fewer than requested.
    pub tokens: u32,
    /// Lifetime of the tokens from the moment the request was sent, in microseconds; 0 if the answering VM
    /// does not hold the lease.
    pub life_us: u64,
    /// Time after which to request from this share again, in microseconds; 0 if all tokens were granted.
    pub retry_us: u64,
    /// Whether to report spent tokens soon, because unspent grants hold more than half of the share's
    /// burst.
    #[serde(rename = "report")]
    pub report_soon: bool,
    /// Limit under which the tokens were granted.
    pub limit: Limit,
    /// Version of the customer record with that limit.
    pub version: Version,
}

impl TokenRequest {
    /// Answer of a VM that cannot grant tokens of the share, such as one without its lease.
    pub fn refuse(&self, retry_delay: Duration) -> Grant {
        Grant {
            incarnation: self.incarnation,
            number: self.number,
            customer: self.customer.clone(),
            share: self.share,
            tokens: 0,
            life_us: 0,
            retry_us: micros(retry_delay),
            report_soon: false,
            limit: Limit { rate: 0, burst: 0 },
            version: 0,
        }
    }
}

/// Whole microseconds of a duration.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
