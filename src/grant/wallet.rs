//! Tokens that this VM may spend, and when it asks for more.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::grant::Ask;
use crate::grant::Grant;
use crate::grant::Report;
use crate::grant::SHARES;
use crate::grant::share_count;
use crate::id::CustomerId;
use crate::id::Incarnation;
use crate::id::Version;
use crate::id::VmName;
use crate::lease::shorten;
use crate::rendezvous;
use crate::view::Customer;
use crate::view::Limit;

/// Longest stock, in time of recent demand. Larger stocks leave tokens on VMs that stop using them.
const STOCK: Duration = Duration::from_millis(500);
/// Part of the time in which the burst refills that one stock may cover: tokens on wallets count
/// against the burst, and a bucket without room does not refill.
const STOCK_DIVISOR: f64 = 4.0;
/// A VM has much of a customer's load if it sees more than 1/8 of the rate: then the other VMs
/// together may not reach all shares.
const MUCH_LOAD: f64 = 8.0;
/// Memory of the demand estimate.
const DEMAND_TIME: f64 = 0.5;
/// An ask without an answer for this long does not keep a waiting request from the other shares.
const HEDGE: Duration = Duration::from_millis(40);
/// An ask without an answer for this long is given up, and the share is left alone for a while.
const ASK_LIMIT: Duration = Duration::from_millis(250);
const SILENT_PAUSE: Duration = Duration::from_millis(500);
/// Accounts without tokens and requests for this long are forgotten.
const IDLE: Duration = Duration::from_secs(10);
/// Requests of one customer that may wait on a VM whatever the rate.
const QUEUE_MIN: usize = 16;

/// Number of a waiting request.
pub type Ticket = u64;

/// Answer to a request for one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spend {
    /// A token was spent.
    Taken,
    /// None is held; the ticket is named by [`Wallet::receive`] when it gets one.
    Wait(Ticket),
    /// More requests wait than the rate can serve before they end.
    Refused,
}

struct Held {
    share: u8,
    number: u64,
    tokens: u32,
    spent: u32,
    reported: u32,
    report: bool,
    end: Instant,
    limit: Limit,
    version: Version,
}

impl Held {
    fn left(&self) -> u32 {
        self.tokens - self.spent
    }
}

#[derive(Clone, Copy)]
struct Pending {
    number: u64,
    sent: Instant,
    want: u32,
}

#[derive(Default, Clone, Copy)]
struct Share {
    pending: Option<Pending>,
    quiet_until: Option<Instant>,
}

struct Account {
    limit: Limit,
    version: Version,
    /// Requests per second, an exponential average.
    demand: f64,
    counted: Instant,
    seen: Instant,
    held: Vec<Held>,
    shares: [Share; SHARES as usize],
    preferred: u8,
    waiting: VecDeque<(Ticket, Instant)>,
}

impl Account {
    fn new(now: Instant, customer: &Customer, spender: &VmName) -> Self {
        // VMs start with different shares, so that one share does not get all the asks.
        let hash = rendezvous::hash(&[spender.as_bytes(), customer.id.as_bytes()]);
        let count = u64::from(share_count(customer.limit));
        Self {
            limit: customer.limit,
            version: customer.version,
            demand: 0.0,
            counted: now,
            seen: now,
            held: Vec::new(),
            shares: Default::default(),
            preferred: u8::try_from(hash % count).unwrap_or_default(),
            waiting: VecDeque::new(),
        }
    }

    /// Whether tokens granted under an older record exceed the limit of the newer one.
    fn is_outdated(&self, limit: Limit, version: Version) -> bool {
        version < self.version && (limit.rate > self.limit.rate || limit.burst > self.limit.burst)
    }

    fn set_limit(&mut self, customer: &Customer) {
        if customer.version <= self.version {
            return;
        }
        self.limit = customer.limit;
        self.version = customer.version;
        let mut held = std::mem::take(&mut self.held);
        held.retain(|h| !self.is_outdated(h.limit, h.version));
        self.held = held;
        self.preferred %= share_count(self.limit);
    }

    fn count_demand(&mut self, now: Instant) {
        self.decay(now);
        self.seen = now;
        self.demand += 1.0 / DEMAND_TIME;
    }

    fn decay(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.counted).as_secs_f64();
        self.demand *= (-gap / DEMAND_TIME).exp();
        self.counted = now;
    }

    fn spend(&mut self, now: Instant) -> bool {
        // The grant that ends first is used first.
        let usable = self.held.iter_mut().filter(|h| h.end > now && h.left() > 0);
        let Some(held) = usable.min_by_key(|h| h.end) else {
            return false;
        };
        held.spent += 1;
        true
    }

    fn available(&self, now: Instant) -> u32 {
        let live = self.held.iter().filter(|h| h.end > now);
        live.map(Held::left).sum()
    }

    /// Tokens to hold for the requests of the next moments.
    fn stock(&self) -> u32 {
        let refill = f64::from(self.limit.burst) / f64::from(self.limit.rate.max(1));
        let time = STOCK.as_secs_f64().min(refill / STOCK_DIVISOR);
        // One request is no rate yet, and the rest is rounded down: a VM with little demand asks when
        // a request comes, because a token in stock would mostly expire.
        ((self.demand - 1.0 / DEMAND_TIME).max(0.0) * time) as u32
    }

    /// Requests that may wait: as many as the whole rate serves in the longest wait of 250 ms.
    fn queue_limit(&self) -> usize {
        (self.limit.rate as usize / 4).max(QUEUE_MIN)
    }

    fn serve(&mut self, now: Instant) -> Vec<Ticket> {
        let mut served = Vec::new();
        while let Some((ticket, deadline)) = self.waiting.front().copied() {
            if deadline > now {
                if !self.spend(now) {
                    break;
                }
                served.push(ticket);
            }
            self.waiting.pop_front();
        }
        served
    }

    fn expire(&mut self, now: Instant) {
        self.held.retain(|h| h.end > now);
        self.waiting.retain(|(_, deadline)| *deadline > now);
        for share in &mut self.shares {
            if share.pending.is_some_and(|p| p.sent + ASK_LIMIT <= now) {
                share.pending = None;
                share.quiet_until = Some(now + SILENT_PAUSE);
            }
        }
    }

    /// Tokens missing from stock and for waiting requests, less those already asked for.
    fn missing(&self, now: Instant) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let stock = self.stock();
        let available = self.available(now);
        if waiting == 0 && available > stock / 2 {
            return 0;
        }
        let pending = self.shares.iter().filter_map(|s| s.pending);
        let asked: u32 = pending.filter(|p| p.sent + HEDGE > now).map(|p| p.want).sum();
        (waiting + stock).saturating_sub(available + asked)
    }

    fn choose(&self, now: Instant) -> Option<u8> {
        let count = share_count(self.limit);
        (0..count).map(|i| (self.preferred + i) % count).find(|s| {
            let share = &self.shares[usize::from(*s)];
            share.pending.is_none() && share.quiet_until.is_none_or(|q| q <= now)
        })
    }

    fn reports(&mut self, share: u8) -> Vec<Report> {
        let mut reports = Vec::new();
        for held in self.held.iter_mut().filter(|h| h.share == share) {
            if held.spent > held.reported || held.left() == 0 {
                held.reported = held.spent;
                reports.push(Report {
                    number: held.number,
                    spent: held.spent,
                    closed: held.left() == 0,
                });
            }
        }
        self.held.retain(|h| h.share != share || h.left() > 0);
        reports
    }

    /// Gives up the grants of a share that recent demand will not use.
    fn give_back(&mut self, share: u8, keep: u32, now: Instant) -> Vec<Report> {
        let mut excess = self.available(now).saturating_sub(keep);
        let mut reports = Vec::new();
        self.held.retain(|h| {
            if h.share != share || h.left() == 0 || h.left() > excess {
                return true;
            }
            excess -= h.left();
            reports.push(Report {
                number: h.number,
                spent: h.spent,
                closed: true,
            });
            false
        });
        reports
    }

    /// Where to ask next: the share that granted tokens, whose reports then need no extra message.
    ///
    /// A VM with much of the customer's load goes on to the next share instead, because a share that
    /// nobody asks fills up and loses its refill.
    fn prefer(&mut self, share: u8) {
        let much = self.demand * MUCH_LOAD > f64::from(self.limit.rate);
        self.preferred = (share + u8::from(much)) % share_count(self.limit);
    }

    fn is_used_up(&self, share: u8) -> bool {
        let mut held = self.held.iter().filter(|h| h.share == share && h.report);
        held.any(|h| h.left() == 0)
    }

    fn wants_report(&self, share: u8) -> bool {
        let mut held = self.held.iter().filter(|h| h.share == share && h.report);
        held.any(|h| h.spent > h.reported)
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.held.is_empty()
            && self.waiting.is_empty()
            && self.shares.iter().all(|s| s.pending.is_none())
            && self.seen + IDLE <= now
    }
}

/// The spender of one entry VM.
pub struct Wallet {
    me: VmName,
    incarnation: Incarnation,
    /// Ordered, so that equal inputs give equal outputs in the same order.
    accounts: BTreeMap<CustomerId, Account>,
    numbers: u64,
}

impl Wallet {
    /// A wallet without tokens.
    pub fn new(me: VmName, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            accounts: BTreeMap::new(),
            numbers: 0,
        }
    }

    /// Spends a token, or queues the request until the deadline.
    pub fn spend(&mut self, now: Instant, customer: &Customer, deadline: Instant) -> Spend {
        let me = &self.me;
        let account = self
            .accounts
            .entry(customer.id.clone())
            .or_insert_with(|| Account::new(now, customer, me));
        account.set_limit(customer);
        account.count_demand(now);
        if account.waiting.is_empty() && account.spend(now) {
            return Spend::Taken;
        }
        if account.waiting.len() >= account.queue_limit() {
            return Spend::Refused;
        }
        self.numbers += 1;
        account.waiting.push_back((self.numbers, deadline));
        Spend::Wait(self.numbers)
    }

    /// Applies changed customer records; tokens of a higher limit are dropped.
    pub fn set_limits(&mut self, customers: &HashMap<CustomerId, Customer>) {
        for (id, account) in &mut self.accounts {
            if let Some(customer) = customers.get(id) {
                account.set_limit(customer);
            }
        }
    }

    /// Removes a waiting request; `false` if it already got its token.
    pub fn cancel(&mut self, customer: &CustomerId, ticket: Ticket) -> bool {
        let Some(account) = self.accounts.get_mut(customer) else {
            return true;
        };
        let before = account.waiting.len();
        account.waiting.retain(|(t, _)| *t != ticket);
        account.waiting.len() < before
    }

    /// Takes an answer and returns the waiting requests that got a token.
    ///
    /// Only the first answer to a pending ask counts. Its life runs from when the ask was sent.
    pub fn receive(&mut self, now: Instant, grant: &Grant) -> Vec<Ticket> {
        if grant.incarnation != self.incarnation {
            return Vec::new();
        }
        let Some(account) = self.accounts.get_mut(&grant.customer) else {
            return Vec::new();
        };
        let Some(share) = account.shares.get_mut(usize::from(grant.share)) else {
            return Vec::new();
        };
        let Some(pending) = share.pending.filter(|p| p.number == grant.number) else {
            return Vec::new();
        };
        share.pending = None;
        share.quiet_until = (grant.retry_us > 0).then(|| now + Duration::from_micros(grant.retry_us));
        if grant.tokens == 0 || account.is_outdated(grant.limit, grant.version) {
            return Vec::new();
        }
        account.prefer(grant.share);
        account.held.push(Held {
            share: grant.share,
            number: grant.number,
            tokens: grant.tokens,
            spent: 0,
            reported: 0,
            report: grant.report,
            end: pending.sent + shorten(Duration::from_micros(grant.life_us)),
            limit: grant.limit,
            version: grant.version,
        });
        account.serve(now)
    }

    /// The asks and reports that are due for one customer, after a request or an answer.
    pub fn poll(&mut self, now: Instant, customer: &CustomerId) -> Vec<Ask> {
        let mut asks = Vec::new();
        let Some(account) = self.accounts.get_mut(customer) else {
            return asks;
        };
        while let Some(want) = Some(account.missing(now)).filter(|w| *w > 0) {
            let Some(share) = account.choose(now) else { break };
            self.numbers += 1;
            let number = self.numbers;
            account.shares[usize::from(share)].pending = Some(Pending {
                number,
                sent: now,
                want,
            });
            let reports = account.reports(share);
            asks.push(ask(
                &self.me,
                self.incarnation,
                number,
                customer,
                share,
                want,
                reports,
            ));
        }
        // A used-up grant of a nearly empty bucket is reported at once: until then its tokens keep
        // the bucket from refilling.
        for share in 0..SHARES {
            if account.is_used_up(share) {
                self.numbers += 1;
                let (number, reports) = (self.numbers, account.reports(share));
                asks.push(ask(
                    &self.me,
                    self.incarnation,
                    number,
                    customer,
                    share,
                    0,
                    reports,
                ));
            }
        }
        asks
    }

    /// Expires tokens and asks, and returns the asks and reports that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Ask> {
        let mut asks = Vec::new();
        let mut due = Vec::new();
        for (customer, account) in &mut self.accounts {
            account.expire(now);
            if !account.waiting.is_empty() {
                due.push(customer.clone());
            }
            if account.held.is_empty() {
                continue;
            }
            account.decay(now);
            let keep = 2 * account.stock() + 1;
            for share in 0..SHARES {
                let mut reports = account.give_back(share, keep, now);
                if account.wants_report(share) {
                    reports.extend(account.reports(share));
                }
                if !reports.is_empty() {
                    self.numbers += 1;
                    let number = self.numbers;
                    asks.push(ask(
                        &self.me,
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
        self.accounts.retain(|_, a| !a.is_idle(now));
        for customer in due {
            asks.extend(self.poll(now, &customer));
        }
        asks
    }

    /// Tokens that may be spent now.
    pub fn available(&self, now: Instant, customer: &CustomerId) -> u32 {
        self.accounts.get(customer).map_or(0, |a| a.available(now))
    }

    /// Number of customers in memory.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no customer is in memory.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

fn ask(
    spender: &VmName,
    incarnation: Incarnation,
    number: u64,
    customer: &CustomerId,
    share: u8,
    want: u32,
    reports: Vec<Report>,
) -> Ask {
    Ask {
        spender: spender.clone(),
        incarnation,
        number,
        customer: customer.clone(),
        share,
        want,
        reports,
    }
}
