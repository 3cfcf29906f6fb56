//! Core: the entry VM's side. Permits that this VM holds, and when it asks for more.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;

use super::MAX_PERMITS;
use super::MAX_WANTED;
use super::PERMIT_LIFETIME;
use super::REQUEST_INTERVAL;
use super::WarmupGrant;
use super::WarmupRequest;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VmName;
use crate::moment::Moment;

/// Time over which the requests of a service are counted. Without any in this time no permits are asked for.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Most requests that are counted in that time: more than [`MAX_WANTED`] in each interval change nothing.
const MAX_COUNTED: usize = 640;

/// Why a grant has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Rejected {
    /// No request with its number is open: it is late or repeated.
    Unasked,
    /// Its permits have expired.
    Expired,
    /// It holds more permits than were asked for.
    TooMany,
}

/// A request without an answer.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    number: u64,
    sent: Moment,
    wanted: u16,
}

/// Demand of one service.
#[derive(Debug, Default)]
struct Demand {
    /// When requests came in the last second, at most [`MAX_COUNTED`].
    requests: VecDeque<Instant>,
    open: Option<OpenRequest>,
    asked_at: Option<Moment>,
}

impl Demand {
    fn expire(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= DEMAND_WINDOW;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        self.open = self
            .open
            .filter(|o| now.saturating_duration_since(o.sent.monotonic) < PERMIT_LIFETIME);
    }

    fn is_due(&self, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) < REQUEST_INTERVAL;
        self.open.is_none() && !self.asked_at.is_some_and(is_recent) && !self.requests.is_empty()
    }

    /// Requests that are expected in one [`REQUEST_INTERVAL`].
    fn expected(&self) -> usize {
        let ratio = REQUEST_INTERVAL.as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        (self.requests.len() as f64 * ratio).ceil() as usize
    }
}

/// Permits for one run of an upstream.
#[derive(Debug, Clone)]
struct Held {
    service: ServiceId,
    run_start: u64,
    end: Moment,
    count: u8,
}

/// The permits of this VM, by upstream.
#[derive(Debug)]
pub struct Permits {
    vm: VmName,
    /// Number of the next request.
    next_number: u64,
    demands: HashMap<ServiceId, Demand>,
    held: HashMap<UpstreamId, Vec<Held>>,
}

impl Permits {
    /// Without permits. `first_number` is random, so that an answer to an earlier run of the VM is not taken for one
    /// to this run.
    pub fn new(vm: VmName, first_number: u64) -> Self {
        Self {
            vm,
            next_number: first_number,
            demands: HashMap::new(),
            held: HashMap::new(),
        }
    }

    /// Counts a request of a limited service.
    pub fn count_request(&mut self, now: Instant, service: &ServiceId) {
        let demand = match self.demands.get_mut(service) {
            Some(demand) => demand,
            None => self.demands.entry(service.clone()).or_default(),
        };
        demand.expire(now);
        if demand.requests.len() == MAX_COUNTED {
            demand.requests.pop_front();
        }
        demand.requests.push_back(now);
    }

    /// Whether the demand of a service allows a request to the leader.
    pub fn is_due(&mut self, now: Moment, service: &ServiceId) -> bool {
        let Some(demand) = self.demands.get_mut(service) else {
            return false;
        };
        demand.expire(now.monotonic);
        demand.is_due(now)
    }

    /// The request for permits that is due for a service with cold upstreams, if it needs any.
    pub fn ask(&mut self, now: Moment, service: &ServiceId) -> Option<WarmupRequest> {
        if !self.is_due(now, service) {
            return None;
        }
        self.expire(now);
        let of_service = self.held.values().flatten().filter(|h| h.service == *service);
        let held: usize = of_service.map(|h| usize::from(h.count)).sum();
        let demand = self.demands.get_mut(service)?;
        let missing = demand.expected().saturating_sub(held);
        let wanted = u16::try_from(missing).unwrap_or(u16::MAX).min(MAX_WANTED);
        if wanted == 0 {
            return None;
        }
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        demand.asked_at = Some(now);
        demand.open = Some(OpenRequest {
            number,
            sent: now,
            wanted,
        });
        Some(WarmupRequest {
            vm: self.vm.clone(),
            service: service.clone(),
            wanted,
            number,
        })
    }

    /// Adds the permits of an answer, which expire [`PERMIT_LIFETIME`] after their request was sent. Returns how many
    /// there are.
    ///
    /// # Errors
    /// Why it has no effect.
    pub fn receive(&mut self, now: Moment, grant: WarmupGrant) -> Result<usize, Rejected> {
        let demand = self.demands.get_mut(&grant.service).ok_or(Rejected::Unasked)?;
        let open = demand.open.filter(|o| o.number == grant.number);
        let open = open.ok_or(Rejected::Unasked)?;
        demand.open = None;
        let total: usize = grant.permits.iter().map(|p| usize::from(p.count)).sum();
        if grant.permits.len() > MAX_PERMITS || total > usize::from(open.wanted) {
            return Err(Rejected::TooMany);
        }
        let end = open.sent.after(PERMIT_LIFETIME);
        if !now.is_before(end) {
            return Err(Rejected::Expired);
        }
        for permit in grant.permits.into_iter().filter(|p| p.count > 0) {
            self.held.entry(permit.upstream).or_default().push(Held {
                service: grant.service.clone(),
                run_start: permit.run_start,
                end,
                count: permit.count,
            });
        }
        Ok(total)
    }

    /// Whether a permit for a run of an upstream is held.
    pub fn has(&self, now: Moment, upstream: &UpstreamId, run_start: u64) -> bool {
        let held = self.held.get(upstream);
        held.is_some_and(|held| held.iter().any(|h| h.is_valid(now, run_start)))
    }

    /// Takes the permit for a run of an upstream that expires first; returns its end.
    pub fn take(&mut self, now: Moment, upstream: &UpstreamId, run_start: u64) -> Option<Moment> {
        let held = self.held.get_mut(upstream)?;
        let valid = held.iter_mut().filter(|h| h.is_valid(now, run_start));
        let first = valid.min_by_key(|h| h.end.boot)?;
        first.count -= 1;
        Some(first.end)
    }

    /// Drops expired permits; returns how many.
    pub fn expire(&mut self, now: Moment) -> usize {
        let mut expired = 0;
        self.held.retain(|_, held| {
            held.retain(|h| {
                let is_kept = h.count > 0 && now.is_before(h.end);
                expired += if is_kept { 0 } else { usize::from(h.count) };
                is_kept
            });
            !held.is_empty()
        });
        expired
    }

    /// Services with a request in the last second.
    pub fn services(&mut self, now: Instant) -> Vec<ServiceId> {
        self.demands.retain(|_, demand| {
            demand.expire(now);
            !demand.requests.is_empty() || demand.open.is_some()
        });
        self.demands.keys().cloned().collect()
    }

    /// Forgets the requests whose answers are lost with the connection.
    pub fn disconnect(&mut self) {
        self.demands.values_mut().for_each(|d| d.open = None);
    }
}

impl Held {
    fn is_valid(&self, now: Moment, run_start: u64) -> bool {
        self.count > 0 && self.run_start == run_start && now.is_before(self.end)
    }
}
