//! Tokens that this VM may spend on requests, and the requests for more tokens.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::grant::Grant;
use crate::grant::MAX_SHARES;
use crate::grant::SpendReport;
use crate::grant::TokenRequest;
use crate::grant::customer_pool::CustomerPool;
use crate::grant::customer_pool::HeldGrant;
use crate::grant::customer_pool::PendingRequest;
use crate::id::CustomerId;
use crate::id::Incarnation;
use crate::id::VmName;
use crate::lease::allow_for_drift;
use crate::view::Customer;

/// Number of a queued request.
pub type Ticket = u64;

/// Result of spending a token on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpendOutcome {
    /// A token was spent.
    Spent,
    /// No token is available; [`TokenPool::receive`] returns the ticket when the request gets one.
    Queued(Ticket),
    /// The queue holds as many requests as the rate serves before their deadlines.
    Refused,
}

/// Granted tokens of all customers on one entry VM, with the requests that wait for a token.
pub struct TokenPool {
    vm: VmName,
    incarnation: Incarnation,
    /// Ordered, to keep simulations deterministic.
    customers: BTreeMap<CustomerId, CustomerPool>,
    /// Last number given to a ticket or a token request.
    last_number: u64,
    max_shares: u8,
}

impl TokenPool {
    /// A pool without tokens.
    pub fn new(vm: VmName, incarnation: Incarnation) -> Self {
        Self::with_shares(vm, incarnation, MAX_SHARES)
    }

    /// A pool for owners that divide each limit into at most `max_shares` shares, up to [`MAX_SHARES`].
    pub fn with_shares(vm: VmName, incarnation: Incarnation, max_shares: u8) -> Self {
        Self {
            max_shares: max_shares.clamp(1, MAX_SHARES),
            vm,
            incarnation,
            customers: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Spends a token, or queues the request until the deadline.
    pub fn spend(&mut self, now: Instant, customer: &Customer, deadline: Instant) -> SpendOutcome {
        let (vm, max_shares) = (&self.vm, self.max_shares);
        let pool = self
            .customers
            .entry(customer.id.clone())
            .or_insert_with(|| CustomerPool::new(now, customer, vm, max_shares));
        pool.set_limit(customer);
        pool.record_demand(now);
        if pool.queue.is_empty() && pool.spend(now) {
            return SpendOutcome::Spent;
        }
        if pool.queue.len() >= pool.queue_limit() {
            return SpendOutcome::Refused;
        }
        self.last_number += 1;
        pool.queue.push_back((self.last_number, deadline));
        SpendOutcome::Queued(self.last_number)
    }

    /// Applies changed customer records; drops grants that were made under a higher limit.
    pub fn set_limits(&mut self, customers: &HashMap<CustomerId, Customer>) {
        for (id, pool) in &mut self.customers {
            if let Some(customer) = customers.get(id) {
                pool.set_limit(customer);
            }
        }
    }

    /// Removes a queued request; `false` if it already got its token.
    pub fn cancel(&mut self, customer: &CustomerId, ticket: Ticket) -> bool {
        let Some(pool) = self.customers.get_mut(customer) else {
            return true;
        };
        let before = pool.queue.len();
        pool.queue.retain(|(t, _)| *t != ticket);
        pool.queue.len() < before
    }

    /// Whether an owner of the customer's tokens answered recently, so that a refusal is due to the rate.
    pub fn has_recent_answer(&self, now: Instant, customer: &CustomerId) -> bool {
        self.customers
            .get(customer)
            .is_some_and(|p| p.has_recent_answer(now))
    }

    /// Whether the last token request of the customer found no owner or timed out, or one is overdue.
    pub fn is_unowned(&self, now: Instant, customer: &CustomerId) -> bool {
        self.customers.get(customer).is_some_and(|p| p.is_unowned(now))
    }

    /// Applies an answer; returns the queued requests that got a token.
    ///
    /// Only the first answer to a pending token request counts. The lifetime of its tokens starts when the
    /// request was sent.
    pub fn receive(&mut self, now: Instant, grant: &Grant) -> Vec<Ticket> {
        if grant.incarnation != self.incarnation {
            return Vec::new();
        }
        let Some(pool) = self.customers.get_mut(&grant.customer) else {
            return Vec::new();
        };
        let Some(share) = pool.shares.get_mut(usize::from(grant.share)) else {
            return Vec::new();
        };
        let Some(pending) = share.pending.filter(|p| p.number == grant.number) else {
            return Vec::new();
        };
        share.pending = None;
        // A VM without the lease grants a lifetime of 0.
        pool.is_unowned = grant.life_us == 0;
        if !pool.is_unowned {
            pool.last_answer = Some(now);
        }
        share.paused_until = (grant.retry_us > 0).then(|| now + Duration::from_micros(grant.retry_us));
        if grant.tokens == 0 || pool.is_outdated(grant.limit, grant.version) {
            return Vec::new();
        }
        pool.update_preferred(grant.share);
        pool.grants.push(HeldGrant {
            share: grant.share,
            number: grant.number,
            tokens: grant.tokens,
            spent: 0,
            reported: 0,
            report_soon: grant.report_soon,
            expires: pending.sent + allow_for_drift(Duration::from_micros(grant.life_us)),
            limit: grant.limit,
            version: grant.version,
        });
        pool.serve_queue(now)
    }

    /// The token requests and reports that are due for one customer, after a request or an answer.
    pub fn due_requests(&mut self, now: Instant, customer: &CustomerId) -> Vec<TokenRequest> {
        let mut requests = Vec::new();
        let Some(pool) = self.customers.get_mut(customer) else {
            return requests;
        };
        while let Some(tokens) = Some(pool.shortfall(now)).filter(|t| *t > 0) {
            let Some(share) = pool.choose_share(now) else {
                break;
            };
            self.last_number += 1;
            let number = self.last_number;
            pool.shares[usize::from(share)].pending = Some(PendingRequest {
                number,
                sent: now,
                tokens,
            });
            let reports = pool.take_reports(share);
            requests.push(token_request(
                &self.vm,
                self.incarnation,
                number,
                customer,
                share,
                tokens,
                reports,
            ));
        }
        // The owner's bucket cannot refill the tokens of a grant before it is reported as spent, so a used-up
        // grant that was marked for an early report is reported at once.
        for share in 0..MAX_SHARES {
            if pool.has_used_up_grant(share) {
                self.last_number += 1;
                let (number, reports) = (self.last_number, pool.take_reports(share));
                requests.push(token_request(
                    &self.vm,
                    self.incarnation,
                    number,
                    customer,
                    share,
                    0,
                    reports,
                ));
            }
        }
        requests
    }

    /// Drops expired grants and requests; returns the token requests and reports that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<TokenRequest> {
        let mut requests = Vec::new();
        let mut queued = Vec::new();
        for (customer, pool) in &mut self.customers {
            pool.expire(now);
            if !pool.queue.is_empty() {
                queued.push(customer.clone());
            }
            if pool.grants.is_empty() {
                continue;
            }
            pool.decay_demand(now);
            let keep = 2 * pool.prefetch_target() + 1;
            for share in 0..MAX_SHARES {
                let mut reports = pool.return_unused(share, keep, now);
                if pool.has_urgent_report(share) {
                    reports.extend(pool.take_reports(share));
                }
                if !reports.is_empty() {
                    self.last_number += 1;
                    let number = self.last_number;
                    requests.push(token_request(
                        &self.vm,
                        self.incarnation,
                        number,
                        customer,
                        share,
                        0,
                        reports,
                    ));
                }
            }
        }
        self.customers.retain(|_, p| !p.is_idle(now));
        for customer in queued {
            requests.extend(self.due_requests(now, &customer));
        }
        requests
    }

    /// Number of tokens that may be spent now.
    pub fn available(&self, now: Instant, customer: &CustomerId) -> u32 {
        self.customers.get(customer).map_or(0, |p| p.available(now))
    }

    /// Number of customers in memory.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether no customer is in memory.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

fn token_request(
    spender: &VmName,
    incarnation: Incarnation,
    number: u64,
    customer: &CustomerId,
    share: u8,
    tokens: u32,
    reports: Vec<SpendReport>,
) -> TokenRequest {
    TokenRequest {
        spender: spender.clone(),
        incarnation,
        number,
        customer: customer.clone(),
        share,
        tokens,
        reports,
    }
}
