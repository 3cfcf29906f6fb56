//! Core: selects an upstream for each request of one service (section 5.4 of the design).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::code::Code;
use crate::detect::Detector;
use crate::ejection::HeldEjections;
use crate::error::Error;
use crate::error::Result;
use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::RouteId;
use crate::id::UpstreamId;
use crate::member::Announcement;
use crate::member::UPSTREAM_TIMEOUT;
use crate::member::UpstreamState;
use crate::stage::AttemptResult;
use crate::stage::ChoiceCriteria;
use crate::stage::ChosenUpstream;
use crate::stage::Sample;

/// Share of its usual traffic that an upstream gets while it is cold or suspected, and when it is reinstated.
pub const MIN_SHARE: f64 = 0.05;
/// Time after which the ramp of a healthy upstream doubles, until it reaches 1.
pub const RAMP_PERIOD: Duration = Duration::from_secs(2);
/// Suspects are computed again after this time even without new evidence, because evidence expires.
const SUSPECT_PERIOD: Duration = Duration::from_secs(1);
/// Retries that each request adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Upper bound of the retry budget.
const MAX_RETRIES: f64 = 10.0;
/// Retry budget of a new service.
const INITIAL_RETRIES: f64 = 3.0;
/// Multiplicative decrease of the share of an upstream that sheds load.
const SHED_FACTOR: f64 = 0.5;
/// Shortest time between two of these decreases.
const SHED_PERIOD: Duration = Duration::from_millis(100);
/// Additive increase with which that share recovers.
const RECOVERY_STEP: f64 = 0.05;
/// Time between two of these increases.
const RECOVERY_PERIOD: Duration = Duration::from_secs(1);
/// The weight of a reported load falls linearly to 0 over this time.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Lower bound of the cap on the requests that one VM has in flight at an upstream.
const MIN_IN_FLIGHT_CAP: usize = 2;
/// Part of an upstream's connections that all VMs together may use.
const CONNECTION_SHARE: f64 = 0.75;
/// Lower bound of the wait for the first byte on a reused connection.
pub(crate) const MIN_REUSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The same wait as a multiple of the largest recent latency of the route.
const REUSE_FACTOR: u32 = 4;

/// A request at an upstream.
struct InFlight {
    route: RouteId,
    customer: Option<CustomerId>,
    started: Instant,
    /// Whether it was recorded as overdue.
    is_overdue: bool,
}

struct UpstreamEntry {
    announcement: Announcement,
    announced_at: Instant,
    in_flight: Vec<InFlight>,
    /// Requests in flight that the upstream reported, and when.
    load: Option<(u32, Instant)>,
    /// Share that load shedding leaves, from [`MIN_SHARE`] to 1.
    shed_share: f64,
    shed_share_changed: Instant,
    /// Share of an upstream that is cold, suspected or reinstated, from [`MIN_SHARE`] to 1.
    ramp: f64,
    ramp_changed: Instant,
    /// Whether it was ejected at the last tick.
    ejected: bool,
    /// Whether it was suspected at the last tick.
    suspect: bool,
}

/// A change in how a VM uses an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The VM suspects it by its own evidence and reduces its share.
    Shifted,
    /// The arbiter ejected it.
    Ejected,
    /// The ejection ended; it gets [`MIN_SHARE`].
    Reinstated,
}

/// Upstreams of one service and the load that this VM puts on them.
pub struct Balancer {
    domain: DomainName,
    vms: usize,
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    /// Evidence that this VM collected.
    pub detector: Detector,
    /// Ejections that this VM applies.
    pub ejections: HeldEjections,
    /// Failure domains whose upstreams get no requests.
    evacuated: Vec<DomainName>,
    suspects: BTreeSet<UpstreamId>,
    suspects_at: Option<Instant>,
    retry_tokens: f64,
    random: SmallRng,
}

impl Balancer {
    /// A balancer without upstreams, for a VM in the failure domain `domain`.
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            domain,
            vms: 1,
            entries: BTreeMap::new(),
            detector: Detector::default(),
            ejections: HeldEjections::default(),
            evacuated: Vec::new(),
            suspects: BTreeSet::new(),
            suspects_at: None,
            retry_tokens: INITIAL_RETRIES,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the number of live VMs, over which slots and connections are divided.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Sets the failure domains whose upstreams get no requests.
    pub fn set_evacuated(&mut self, domains: Vec<DomainName>) {
        self.evacuated = domains;
    }

    /// Whether the failure domain of an upstream is evacuated; also of an upstream that is not known any more, while any
    /// domain is.
    pub fn is_evacuated(&self, upstream: &UpstreamId) -> bool {
        match self.entries.get(upstream) {
            Some(entry) => self.evacuated.contains(&entry.announcement.domain),
            None => !self.evacuated.is_empty(),
        }
    }

    /// Applies the latest announcement of an upstream, made at `announced_at`.
    pub fn update(&mut self, announcement: &Announcement, announced_at: Instant, now: Instant) {
        let Some(entry) = self.entries.get_mut(&announcement.upstream) else {
            let entry = UpstreamEntry::new(announcement.clone(), announced_at, now);
            self.entries.insert(announcement.upstream.clone(), entry);
            return;
        };
        if entry.announcement.address != announcement.address {
            self.detector.clear(&announcement.upstream);
        }
        if announcement.state == UpstreamState::Cold {
            entry.reset_ramp(now);
        }
        entry.announcement = announcement.clone();
        entry.announced_at = announced_at;
    }

    /// Records overdue requests, applies ejections and advances shares; returns the transitions.
    pub fn tick(&mut self, now: Instant) -> Vec<(UpstreamId, Transition)> {
        let mut transitions = Vec::new();
        self.record_overdue(now);
        let is_due = self
            .suspects_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SUSPECT_PERIOD);
        if self.detector.take_changed() || is_due {
            self.suspects = self.detector.suspects(now);
            self.suspects_at = Some(now);
        }
        for (name, entry) in &mut self.entries {
            let is_ejected = self.ejections.is_ejected(name, now);
            if is_ejected && !entry.ejected {
                self.detector.clear(name);
            }
            let transition = entry.tick(now, self.suspects.contains(name), is_ejected);
            transitions.extend(transition.map(|t| (name.clone(), t)));
        }
        let is_kept = |e: &UpstreamEntry| !e.in_flight.is_empty() || e.is_announced(now) || e.ejected;
        self.entries.retain(|_, e| is_kept(e));
        transitions
    }

    /// Selects the less loaded of two random candidates, one in the failure domain of this VM and one in
    /// another.
    ///
    /// # Errors
    /// `NoUpstream` if the service has none, `Overloaded` if all are at their cap.
    pub fn choose(&mut self, now: Instant, criteria: &ChoiceCriteria<'_>) -> Result<ChosenUpstream> {
        if criteria.tried.is_empty() {
            self.retry_tokens = (self.retry_tokens + RETRIES_PER_REQUEST).min(MAX_RETRIES);
        }
        let usable: Vec<(UpstreamId, f64)> = self.usable(now, criteria);
        if usable.is_empty() {
            return Err(Error::new(
                Code::NoUpstream,
                format!("service {}: no usable upstream", criteria.service),
            ));
        }
        let free: Vec<&(UpstreamId, f64)> = usable
            .iter()
            .filter(|(name, _)| self.entries[name].in_flight.len() < self.in_flight_cap(&self.entries[name]))
            .collect();
        if free.is_empty() {
            return Err(Error::new(
                Code::Overloaded,
                format!("service {}: all upstreams are at their cap", criteria.service),
            ));
        }
        let is_near = |name: &UpstreamId| self.entries[name].announcement.domain == self.domain;
        let (near, far): (Vec<_>, Vec<_>) = free.iter().copied().partition(|(name, _)| is_near(name));
        let near_draw = draw_weighted(if near.is_empty() { &free } else { &near }, &mut self.random);
        let far_draw = draw_weighted(if far.is_empty() { &free } else { &far }, &mut self.random);
        let near_load = self.relative_load(&near_draw, now);
        let far_load = self.relative_load(&far_draw, now);
        // Ties are broken at random, so that each upstream also gets requests from other failure
        // domains: an ejection needs observers in two of them.
        let name = if far_load < near_load || (near_load == far_load && self.random.random_bool(0.5)) {
            far_draw
        } else {
            near_draw
        };
        Ok(self.start(&name, now, criteria))
    }

    /// Ends an attempt at a selected upstream and records its outcome.
    pub fn finish(&mut self, now: Instant, chosen: &ChosenUpstream, sample: &Sample) {
        let Some(entry) = self.entries.get_mut(&chosen.upstream) else {
            return;
        };
        let request = entry.remove_in_flight(now, sample);
        if let Some(load) = sample.load {
            entry.load = Some((load, now));
        }
        if sample.result == AttemptResult::Shed {
            entry.shed(now);
        }
        let (duration, was_overdue) = request.map_or((sample.latency, false), |r| {
            (now.saturating_duration_since(r.started), r.is_overdue)
        });
        self.detector
            .record(now, &chosen.upstream, sample, duration, was_overdue);
    }

    /// Takes one retry from the budget; `false` if less than one is left.
    pub fn take_retry(&mut self) -> bool {
        if self.retry_tokens < 1.0 {
            return false;
        }
        self.retry_tokens -= 1.0;
        true
    }

    /// Requests of this VM in flight at all upstreams of the service.
    pub fn in_flight(&self) -> usize {
        self.entries.values().map(|e| e.in_flight.len()).sum()
    }

    /// Longest wait for the first byte on a reused connection before a new one is tried.
    pub fn reuse_timeout(&self, route: &RouteId) -> Duration {
        let latency = self.detector.max_latency(route).unwrap_or_default();
        MIN_REUSE_TIMEOUT.max(latency * REUSE_FACTOR)
    }

    /// Whether the upstream is ejected on this VM.
    pub fn is_ejected(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.ejections.is_ejected(upstream, now)
    }

    /// Share of its usual traffic that an upstream gets, from 0 to 1.
    pub fn share(&self, upstream: &UpstreamId, now: Instant) -> f64 {
        let entry = self.entries.get(upstream);
        entry
            .filter(|e| e.is_usable(now) && !self.ejections.is_ejected(upstream, now))
            .filter(|e| !self.evacuated.contains(&e.announcement.domain))
            .map_or(0.0, UpstreamEntry::weight)
    }

    fn usable(&self, now: Instant, criteria: &ChoiceCriteria<'_>) -> Vec<(UpstreamId, f64)> {
        let all: Vec<(UpstreamId, f64, bool)> = self
            .entries
            .iter()
            .filter(|(name, e)| e.is_usable(now) && !self.ejections.is_ejected(name, now))
            .filter(|(_, e)| !self.evacuated.contains(&e.announcement.domain))
            .filter(|(name, _)| !criteria.tried.contains(name))
            .map(|(name, e)| (name.clone(), e.weight(), e.ramp >= 1.0))
            .collect();
        // Only idempotent requests go to an upstream with a reduced ramp, unless there is no other.
        let only_ramped_up = !criteria.idempotent && all.iter().any(|(_, _, ramped_up)| *ramped_up);
        all.into_iter()
            .filter(|(_, _, ramped_up)| *ramped_up || !only_ramped_up)
            .map(|(name, weight, _)| (name, weight))
            .collect()
    }

    fn relative_load(&self, name: &UpstreamId, now: Instant) -> f64 {
        let entry = &self.entries[name];
        let reported = entry.load.map_or(0.0, |(load, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64() / MAX_LOAD_AGE.as_secs_f64();
            f64::from(load) * (1.0 - age).max(0.0)
        });
        // An upstream that sheds load has few requests in flight; without the division by its share it
        // would attract more.
        (entry.in_flight.len() as f64 + reported)
            / (f64::from(entry.announcement.slots.max(1)) * entry.shed_share)
    }

    /// Twice the slots that one VM gets if the live VMs divide them equally.
    fn in_flight_cap(&self, entry: &UpstreamEntry) -> usize {
        MIN_IN_FLIGHT_CAP.max(2 * entry.announcement.slots as usize / self.vms)
    }

    fn start(&mut self, name: &UpstreamId, now: Instant, criteria: &ChoiceCriteria<'_>) -> ChosenUpstream {
        let entry = self.entries.get_mut(name).expect("selected from the entries");
        entry.in_flight.push(InFlight {
            route: criteria.route.clone(),
            customer: criteria.customer.cloned(),
            started: now,
            is_overdue: false,
        });
        let connections = f64::from(entry.announcement.connections) * CONNECTION_SHARE;
        ChosenUpstream {
            service: criteria.service.clone(),
            upstream: name.clone(),
            run_start: 0,
            domain: entry.announcement.domain.clone(),
            address: entry.announcement.address,
            connections: (connections as usize / self.vms).max(1),
            reason: "balance",
            permit: None,
        }
    }

    fn record_overdue(&mut self, now: Instant) {
        for (name, entry) in &mut self.entries {
            for request in entry.in_flight.iter_mut().filter(|r| !r.is_overdue) {
                let limit = self
                    .detector
                    .overdue_after(&request.route, request.customer.as_ref());
                if limit.is_some_and(|l| now.saturating_duration_since(request.started) > l) {
                    request.is_overdue = true;
                    self.detector.record_overdue(now, name);
                }
            }
        }
    }
}

impl UpstreamEntry {
    fn new(announcement: Announcement, announced_at: Instant, now: Instant) -> Self {
        let is_cold = announcement.state == UpstreamState::Cold;
        Self {
            announcement,
            announced_at,
            in_flight: Vec::new(),
            load: None,
            shed_share: 1.0,
            shed_share_changed: now,
            ramp: if is_cold { MIN_SHARE } else { 1.0 },
            ramp_changed: now,
            ejected: false,
            suspect: false,
        }
    }

    fn is_announced(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.announced_at) < UPSTREAM_TIMEOUT
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.announcement.state != UpstreamState::Draining && self.is_announced(now)
    }

    fn weight(&self) -> f64 {
        (self.shed_share * self.ramp).max(MIN_SHARE)
    }

    fn reset_ramp(&mut self, now: Instant) {
        self.ramp = MIN_SHARE;
        self.ramp_changed = now;
    }

    fn tick(&mut self, now: Instant, is_suspect: bool, is_ejected: bool) -> Option<Transition> {
        let transition = match (self.ejected, is_ejected) {
            (false, true) => Some(Transition::Ejected),
            (true, false) => Some(Transition::Reinstated),
            _ if is_suspect && !self.suspect && !is_ejected => Some(Transition::Shifted),
            _ => None,
        };
        self.ejected = is_ejected;
        self.suspect = is_suspect;
        if is_suspect || is_ejected {
            self.reset_ramp(now);
        } else if self.ramp < 1.0 && now.saturating_duration_since(self.ramp_changed) >= RAMP_PERIOD {
            self.ramp = (self.ramp * 2.0).min(1.0);
            self.ramp_changed = now;
        }
        if self.shed_share < 1.0 && now.saturating_duration_since(self.shed_share_changed) >= RECOVERY_PERIOD
        {
            self.shed_share = (self.shed_share + RECOVERY_STEP).min(1.0);
            self.shed_share_changed = now;
        }
        transition
    }

    fn shed(&mut self, now: Instant) {
        // Several sheds within a short time reduce the share only once.
        if self.shed_share < 1.0 && now.saturating_duration_since(self.shed_share_changed) < SHED_PERIOD {
            return;
        }
        self.shed_share = (self.shed_share * SHED_FACTOR).max(MIN_SHARE);
        self.shed_share_changed = now;
    }

    /// Removes the request that the sample is about. A sample does not identify its request, so this is the
    /// one of the same route and customer whose elapsed time is closest to the latency.
    fn remove_in_flight(&mut self, now: Instant, sample: &Sample) -> Option<InFlight> {
        let difference = |r: &InFlight| {
            let elapsed = now.saturating_duration_since(r.started);
            elapsed.abs_diff(sample.latency)
        };
        let is_match = |r: &InFlight| r.route == sample.route && r.customer == sample.customer;
        let found = self
            .in_flight
            .iter()
            .enumerate()
            .filter(|(_, r)| is_match(r))
            .min_by_key(|(_, r)| difference(r))
            .map(|(n, _)| n)?;
        Some(self.in_flight.swap_remove(found))
    }
}

/// Draws a name at random, with a probability proportional to its weight.
fn draw_weighted(from: &[&(UpstreamId, f64)], random: &mut SmallRng) -> UpstreamId {
    let total: f64 = from.iter().map(|(_, weight)| weight).sum();
    let mut rest = random.random_range(0.0..total);
    for (name, weight) in from {
        rest -= weight;
        if rest <= 0.0 {
            return name.clone();
        }
    }
    from[from.len() - 1].0.clone()
}
