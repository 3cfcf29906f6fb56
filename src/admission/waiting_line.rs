//! Core: the waiting requests of one service and the order in which they get free places.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::id::CustomerId;
use crate::id::Rank;

/// Maximum number of waiting requests of one customer where customers take turns.
pub const MAX_OF_CUSTOMER: usize = 64;
/// Maximum number of waiting requests of a service where ranks decide. A VM gets some tens of requests per second of a
/// service, and each waits for less than a second.
pub const MAX_RANKED: usize = 256;
/// Maximum size of the waiting requests of a service where ranks decide, in bytes; a single one may be larger. The
/// smallest VMs have 112 MB.
pub const MAX_RANKED_BYTES: usize = 8 << 20;
/// Requests of one rank whose latest starts differ by less than this are ordered by customer. Those of one route wait
/// for less than this, so that a customer gains nothing by sending more of them.
pub const START_STEP: Duration = Duration::from_millis(250);
/// One in this many places goes to the customer that has waited longest, of any rank.
pub const TURN_PERIOD: u32 = 8;
/// Time for which the line remembers customers without waiting requests. Longer than the pauses between the requests
/// of a customer whose waits all end without a place.
pub const ACCOUNT_TTL: Duration = Duration::from_secs(10);
/// Maximum number of remembered customers of a line.
const MAX_ACCOUNTS: usize = 1_024;

/// Identifies a waiting request in its line; later ones have larger numbers.
pub type WaiterId = u64;

/// What decides which of the waiting requests gets a free place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Customers take turns, each with its requests in the order of their arrival.
    Customers,
    /// The rank, then the latest start, then the customer that got a place least recently.
    Ranks,
}

/// A request that begins to wait.
#[derive(Debug, Clone)]
pub struct Applicant {
    /// Its rank; 0 is the highest.
    pub rank: Rank,
    /// Its customer; empty if it has none.
    pub customer: CustomerId,
    /// Requests of the same kind fit the same upstreams.
    pub kind: u64,
    /// Until when it may be sent so that it is probably answered in time.
    pub latest_start: Instant,
    /// Until when it may wait.
    pub until: Instant,
    /// Size in bytes.
    pub bytes: usize,
}

/// A waiting request.
#[derive(Debug)]
pub struct Waiter<T> {
    /// Identifies it in its line.
    pub id: WaiterId,
    /// Its properties.
    pub applicant: Applicant,
    /// What the caller of the line keeps with it.
    pub item: T,
}

/// What the line remembers of the requests of one rank and customer.
#[derive(Debug)]
struct Account {
    /// Since when requests have waited without getting a place; `None` after the last one got one.
    since: Option<Instant>,
    /// Number of the last place that it got; 0 for none.
    last_place: u64,
    seen: Instant,
}

/// The waiting requests of a service.
#[derive(Debug)]
pub struct WaitingLine<T> {
    order: Order,
    /// In the order of their arrival.
    waiters: Vec<Waiter<T>>,
    bytes: usize,
    last_id: WaiterId,
    /// Where ranks decide: the customers by rank.
    accounts: HashMap<(Rank, CustomerId), Account>,
    /// Where customers take turns: the number of the next turn of each.
    turns: HashMap<CustomerId, u64>,
    /// Places and turns that were given so far.
    last_number: u64,
    /// Places since the one that last went to the customer that had waited longest.
    since_turn: u32,
}

impl<T> WaitingLine<T> {
    /// An empty line.
    pub fn new(order: Order) -> Self {
        Self {
            order,
            waiters: Vec::new(),
            bytes: 0,
            last_id: 0,
            accounts: HashMap::new(),
            turns: HashMap::new(),
            last_number: 0,
            since_turn: 0,
        }
    }

    /// Adds a request. Returns its id and the requests for which there is no room, maybe the new one itself.
    pub fn enter(&mut self, now: Instant, applicant: Applicant, item: T) -> (WaiterId, Vec<Waiter<T>>) {
        self.last_id += 1;
        let id = self.last_id;
        self.bytes += applicant.bytes;
        let is_full = match self.order {
            Order::Customers => {
                let same = |w: &&Waiter<T>| w.applicant.customer == applicant.customer;
                self.waiters.iter().filter(same).count() >= MAX_OF_CUSTOMER
            }
            Order::Ranks => {
                self.open_account(now, &applicant);
                false
            }
        };
        if !is_full && self.order == Order::Customers && !self.turns.contains_key(&applicant.customer) {
            self.last_number += 1;
            self.turns.insert(applicant.customer.clone(), self.last_number);
        }
        self.waiters.push(Waiter { id, applicant, item });
        let mut displaced = Vec::new();
        if is_full {
            displaced.extend(self.leave(id));
        }
        while self.order == Order::Ranks && self.is_over() {
            let Some(id) = self.least_entitled() else { break };
            displaced.extend(self.leave(id));
        }
        (id, displaced)
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, id: WaiterId) -> Option<Waiter<T>> {
        let index = self.waiters.iter().position(|w| w.id == id)?;
        Some(self.remove(index))
    }

    /// Removes the requests that have waited as long as they may.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiter<T>> {
        let mut expired = Vec::new();
        while let Some(index) = self.waiters.iter().position(|w| w.applicant.until < now) {
            expired.push(self.remove(index));
        }
        let waiters = &self.waiters;
        self.accounts.retain(|(rank, customer), account| {
            let is_its = |w: &Waiter<T>| w.applicant.rank == *rank && w.applicant.customer == *customer;
            now.saturating_duration_since(account.seen) < ACCOUNT_TTL || waiters.iter().any(is_its)
        });
        expired
    }

    /// Removes all requests.
    pub fn take_all(&mut self) -> Vec<Waiter<T>> {
        self.bytes = 0;
        self.turns.clear();
        std::mem::take(&mut self.waiters)
    }

    /// Gives a place to the first request in the order for which `choose` finds one; `None` if there is none. `choose`
    /// also gets the rank by whose load limit it looks for a place.
    pub fn assign<A>(
        &mut self,
        now: Instant,
        mut choose: impl FnMut(&Waiter<T>, Rank) -> Option<A>,
    ) -> Option<(Waiter<T>, A)> {
        // A lower rank would starve if its turn were subject to its own load limit.
        let is_turn = self.order == Order::Ranks && self.since_turn + 1 >= TURN_PERIOD;
        let by_turn = match is_turn {
            true => self.first_fit(Self::longest_waiting, |w| choose(w, 0)),
            false => None,
        };
        if by_turn.is_some() {
            self.since_turn = 0;
        }
        let (index, place) = match by_turn {
            Some(found) => found,
            None => {
                let found = self.first_fit(Self::next, |w| choose(w, w.applicant.rank))?;
                self.since_turn = self.since_turn.saturating_add(1);
                found
            }
        };
        let waiter = self.remove(index);
        self.record_place(now, &waiter.applicant);
        Some((waiter, place))
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Size of the waiting requests in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether no request waits and nothing has to be remembered.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty() && self.accounts.is_empty()
    }

    fn remove(&mut self, index: usize) -> Waiter<T> {
        let waiter = self.waiters.remove(index);
        self.bytes -= waiter.applicant.bytes;
        if self.waiters.is_empty() {
            self.turns.clear();
        }
        waiter
    }

    /// Index and place of the first request for which `choose` finds one, in the order given by `pick`. Requests of a
    /// kind that fits nowhere are passed over.
    fn first_fit<A>(
        &self,
        pick: impl Fn(&Self, &HashSet<u64>) -> Option<usize>,
        mut choose: impl FnMut(&Waiter<T>) -> Option<A>,
    ) -> Option<(usize, A)> {
        let mut unfit = HashSet::new();
        loop {
            let index = pick(self, &unfit)?;
            let waiter = &self.waiters[index];
            if let Some(place) = choose(waiter) {
                return Some((index, place));
            }
            unfit.insert(waiter.applicant.kind);
        }
    }

    fn others(&self, unfit: &HashSet<u64>) -> impl Iterator<Item = (usize, &Waiter<T>)> {
        let waiters = self.waiters.iter().enumerate();
        waiters.filter(|(_, w)| !unfit.contains(&w.applicant.kind))
    }

    /// The next request in the order, without those of the unfit kinds.
    fn next(&self, unfit: &HashSet<u64>) -> Option<usize> {
        if self.order == Order::Customers {
            let turn = |w: &Waiter<T>| self.turns.get(&w.applicant.customer);
            let first = self.others(unfit).min_by_key(|(_, w)| (turn(w), w.id));
            return first.map(|(index, _)| index);
        }
        let rank = self.others(unfit).map(|(_, w)| w.applicant.rank).min()?;
        let of_rank = || self.others(unfit).filter(|(_, w)| w.applicant.rank == rank);
        let first_start = of_rank().map(|(_, w)| w.applicant.latest_start).min()?;
        let last_place = |w: &Waiter<T>| self.account(w).map_or(0, |a| a.last_place);
        let first = of_rank()
            .filter(|(_, w)| w.applicant.latest_start < first_start + START_STEP)
            .min_by_key(|(_, w)| (last_place(w), w.applicant.latest_start, w.id));
        first.map(|(index, _)| index)
    }

    /// The first request of the customer that has waited longest, without those of the unfit kinds.
    fn longest_waiting(&self, unfit: &HashSet<u64>) -> Option<usize> {
        let since = |w: &Waiter<T>| self.account(w).and_then(|a| a.since);
        // Without an account, as one of too many customers, a request comes last.
        let key = |w: &Waiter<T>| (since(w).is_none(), since(w), w.applicant.latest_start, w.id);
        let first = self.others(unfit).min_by_key(|(_, w)| key(w));
        first.map(|(index, _)| index)
    }

    /// Whether the line exceeds its limits.
    fn is_over(&self) -> bool {
        self.len() > MAX_RANKED || (self.bytes > MAX_RANKED_BYTES && self.len() > 1)
    }

    /// The request that is refused first: one of the lowest rank, of its customer with the most requests, the one with
    /// the latest start.
    fn least_entitled(&self) -> Option<WaiterId> {
        let rank = self.waiters.iter().map(|w| w.applicant.rank).max()?;
        let of_rank = || self.waiters.iter().filter(|w| w.applicant.rank == rank);
        let mut counts: HashMap<&CustomerId, usize> = HashMap::new();
        for waiter in of_rank() {
            *counts.entry(&waiter.applicant.customer).or_default() += 1;
        }
        let key = |w: &&Waiter<T>| (counts[&w.applicant.customer], w.applicant.latest_start, w.id);
        of_rank().max_by_key(key).map(|w| w.id)
    }

    fn account(&self, waiter: &Waiter<T>) -> Option<&Account> {
        let applicant = &waiter.applicant;
        self.accounts.get(&(applicant.rank, applicant.customer.clone()))
    }

    fn open_account(&mut self, now: Instant, applicant: &Applicant) {
        let key = (applicant.rank, applicant.customer.clone());
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&key) {
            return;
        }
        let account = self.accounts.entry(key).or_insert(Account {
            since: None,
            last_place: 0,
            seen: now,
        });
        account.since.get_or_insert(now);
        account.seen = now;
    }

    /// Records that a request, which was removed, got a place.
    fn record_place(&mut self, now: Instant, applicant: &Applicant) {
        self.last_number += 1;
        let is_its = |w: &Waiter<T>| w.applicant.customer == applicant.customer;
        if self.order == Order::Customers {
            // Customers whose requests have all left lose their turn when it has come.
            let turn = self.turns.get(&applicant.customer).copied().unwrap_or_default();
            let waiters = &self.waiters;
            self.turns.retain(|customer, number| {
                *number > turn || waiters.iter().any(|w| w.applicant.customer == *customer)
            });
            if self.waiters.iter().any(is_its) {
                self.turns.insert(applicant.customer.clone(), self.last_number);
            }
            return;
        }
        let is_waiting = self
            .waiters
            .iter()
            .any(|w| w.applicant.rank == applicant.rank && is_its(w));
        let key = (applicant.rank, applicant.customer.clone());
        if let Some(account) = self.accounts.get_mut(&key) {
            account.last_place = self.last_number;
            account.since = is_waiting.then_some(now);
            account.seen = now;
        }
    }
}
