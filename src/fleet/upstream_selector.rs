//! Core: selects the upstream for a request.
//!
//! Non-idempotent requests, and all attempts after the first, go to a healthy upstream if there is one.
//! Two in five first attempts of idempotent requests test an upstream whose health is unknown or suspect, if
//! one is due for a test. In a service without idempotent requests, the others are spread over all upstreams
//! that are not suspect, and a few of them, paced over the fleet, test the suspect ones: otherwise the healthy
//! upstreams would become ever fewer and busier.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;

use self::due_test::is_test_overdue;
use self::retest::Retest;
use crate::code::Code;
use crate::fleet::discovery::AnnouncedState;
use crate::fleet::discovery::ListedUpstream;
use crate::fleet::discovery::UpstreamTable;
use crate::fleet::health::Health;
use crate::fleet::health::HealthTable;
use crate::fleet::homes::AllowedRegions;
use crate::fleet::warmup::WarmupBound;
use crate::fleet::warmup::gate::Gate;
use crate::id::DomainName;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VmName;
use crate::moment::Moment;
use crate::view::Evacuation;

mod cold;
mod due_test;
mod retest;

/// Share of the first attempts of idempotent requests that test an upstream.
const TEST_SHARE: f64 = 0.4;
/// Time for which this VM avoids an upstream that shed a request.
const SHED_PAUSE: Duration = Duration::from_millis(150);
/// Time for which this VM avoids an upstream to which no connection could be made. It doubles with each
/// further failure, up to the maximum.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);
const REFUSED_PAUSE_MAX: Duration = Duration::from_secs(6);
/// Time for which this VM sends no idempotent requests to an upstream that did not answer it. While the fleet
/// records no failure there, the network path is presumably at fault, and an idempotent request can test
/// whether it works again.
const NO_ANSWER_PAUSE: Duration = Duration::from_secs(1);
/// The same for non-idempotent requests. It is longer because they must not test the path.
const NO_ANSWER_PAUSE_NON_IDEMPOTENT: Duration = Duration::from_secs(3);
/// Maximum of both pauses, which double with each further request without an answer: about as long as a
/// network failure between two VMs lasts.
const NO_ANSWER_PAUSE_MAX: Duration = Duration::from_secs(8);
/// Maximum number of doublings of a pause; all pauses reach their maximum with fewer.
const MAX_DOUBLINGS: u32 = 8;
/// Cost of an upstream in another failure domain, in units of load: traffic between domains is billed.
const CROSS_DOMAIN_COST: f32 = 0.4;
/// Cost of each second since the last success, for non-idempotent requests. The first request to an upstream
/// whose gray failure has just begun is lost, so fewer are lost if they go to few upstreams that are used
/// often.
const STALENESS_COST_PER_S: f32 = 0.5;
/// A service that got no idempotent request at this VM for this long has none that test its upstreams. Longer
/// than the pauses between those of a VM with little traffic.
const IDEMPOTENT_RECENT: Duration = Duration::from_secs(10);
/// In a service without such tests, gain of each second since the last success of an idle upstream, in units of load.
/// Otherwise the requests would go to ever fewer upstreams, and a sound one that gets none for 2 s does not count
/// towards the capacity of its service.
const IDLE_GAIN_PER_S: f32 = 0.5;
/// Age of the last success from which this gain no longer grows.
const IDLE_MAX: Duration = Duration::from_secs(2);
/// Cost of an upstream that is slow after its start.
const COLD_START_COST: f32 = 0.5;
/// Number of random upstreams that are compared for a request.
const CANDIDATES: usize = 4;

/// Criteria for the upstream of a request.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Service of the request.
    pub service: &'a ServiceId,
    /// Whether the retry budget allows the retry that a failed test needs.
    pub may_test: bool,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Load, in requests in flight per slot, at which an upstream counts as full.
    pub max_load: f32,
    /// Upstreams that earlier attempts of this request used.
    pub tried: &'a [UpstreamId],
    /// Number of entry VMs, which share the tests by non-idempotent requests.
    pub vms: usize,
    /// Failure domains whose upstreams get no requests.
    pub evacuated: &'a [Evacuation],
    /// Regions in which the request may be run.
    pub allowed: AllowedRegions<'a>,
}

/// What a request may reveal about its upstream, and whether others do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// It may run twice, so it may test an upstream.
    Idempotent,
    /// It may run once, and idempotent requests test the upstreams of its service.
    NonIdempotent,
    /// It may run once, and no other requests test the upstreams.
    Untested,
}

/// The selected upstream and why it was selected.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub listed: ListedUpstream,
    /// Its health at the time of the choice.
    pub health: Health,
    /// Whether the request tests the upstream.
    pub test: bool,
    /// Until when the request may be sent, if the upstream is cold and limited.
    pub permit: Option<Moment>,
}

/// What this VM observed itself at one upstream.
#[derive(Debug, Clone, Default)]
struct LocalState {
    in_flight: u32,
    tested_at: Option<Instant>,
    retest: Option<Retest>,
    paused_until: Option<Instant>,
    /// Until when the upstream wants no request from this VM.
    closed_until: Option<Instant>,
    /// Consecutive connections that could not be made.
    refusals: u32,
    /// Consecutive requests without an answer in the usual time, and when the last one was recorded.
    unanswered: u32,
    unanswered_at: Option<Instant>,
}

/// Selects upstreams by the fleet's health records and by what this VM observed itself.
#[derive(Debug)]
pub struct UpstreamSelector {
    domain: DomainName,
    locals: HashMap<UpstreamId, LocalState>,
    /// Requests in flight from the other VMs, as last reported.
    remote_in_flight: HashMap<UpstreamId, f32>,
    /// Runs that stated in an answer that they leave, by their start, which a later run has later.
    leaving: HashMap<UpstreamId, u64>,
    /// When this VM last chose an upstream for an idempotent request, by service.
    idempotent_at: HashMap<ServiceId, Instant>,
    /// Limits on requests to cold upstreams.
    gate: Gate,
    rng: StdRng,
}

impl UpstreamSelector {
    /// Without observations, for a VM in a failure domain.
    pub fn new(domain: DomainName, rng: StdRng) -> Self {
        Self {
            domain,
            locals: HashMap::new(),
            remote_in_flight: HashMap::new(),
            leaving: HashMap::new(),
            idempotent_at: HashMap::new(),
            gate: Gate::new(Moment::now(), VmName::default(), WarmupBound::default(), 0),
            rng,
        }
    }

    /// Chooses an upstream; the request counts as in flight until `finish`.
    ///
    /// # Errors
    /// `NoUpstream` if no upstream of the service is ready, untried, outside of evacuated failure domains and in an
    /// allowed region, `Overloaded` if all of them are full, want no request or are cold without a permit; paused ones
    /// count only if all are paused.
    pub fn choose(
        &mut self,
        now: Instant,
        upstreams: &UpstreamTable,
        table: &HealthTable,
        criteria: &Criteria<'_>,
    ) -> Result<Choice, Code> {
        let listed: Vec<&ListedUpstream> = upstreams
            .iter()
            .filter(|l| l.report.service == *criteria.service && l.report.state == AnnouncedState::Ready)
            .filter(|l| criteria.allowed.includes(&l.report.domain))
            .filter(|l| !criteria.tried.contains(&l.report.upstream))
            .filter(|l| criteria.evacuated.iter().all(|e| e.domain != l.report.domain))
            .filter(|l| !self.is_leaving(&l.report.upstream, l.report.born))
            .collect();
        let (closed, listed): (Vec<_>, Vec<_>) = listed
            .into_iter()
            .partition(|l| self.is_closed(now, &l.report.upstream) || !self.gate.admits(l));
        let unpaused: Vec<&ListedUpstream> = listed
            .iter()
            .copied()
            .filter(|l| !self.is_paused(now, &l.report.upstream))
            .filter(|l| !self.is_unresponsive(now, table, &l.report.upstream, criteria.idempotent))
            .collect();
        // Pauses only redirect requests: if all upstreams are paused, the request uses one all the same.
        let candidates = if unpaused.is_empty() { listed } else { unpaused };
        let health = |l: &ListedUpstream| table.health(now, &l.report.upstream);
        let kind = self.kind(now, criteria);
        let is_first_idempotent = criteria.idempotent && criteria.tried.is_empty();
        if is_first_idempotent && self.rng.random_bool(TEST_SHARE) {
            let due_for_test: Vec<&ListedUpstream> = candidates
                .iter()
                .copied()
                .filter(|l| health(l) != Health::Healthy && self.load(l) < criteria.max_load)
                .filter(|l| criteria.may_test || is_test_overdue(now, table, &l.report.upstream))
                .filter(|l| self.is_test_due(now, table, &l.report.upstream))
                .collect();
            if let Some(chosen) = self.draw_for_test(&due_for_test) {
                return Ok(self.assign(now, chosen, health(chosen), true));
            }
        }
        if kind == Kind::Untested
            && criteria.tried.is_empty()
            && let Some(chosen) = self.due_for_retest(now, table, &candidates, criteria.vms)
        {
            return Ok(self.assign(now, chosen, Health::Suspect, true));
        }
        let mut full = !closed.is_empty();
        let tiers: &[&[Health]] = match kind {
            Kind::Untested => &[&[Health::Healthy, Health::Unknown], &[Health::Suspect]],
            _ => &[&[Health::Healthy], &[Health::Unknown], &[Health::Suspect]],
        };
        for tier_health in tiers {
            let tier: Vec<&ListedUpstream> = candidates
                .iter()
                .copied()
                .filter(|l| tier_health.contains(&health(l)))
                .collect();
            let free: Vec<&ListedUpstream> = tier
                .iter()
                .copied()
                .filter(|l| self.load(l) < criteria.max_load)
                .collect();
            full |= free.len() < tier.len();
            let chosen = match tier_health {
                [Health::Suspect] => self.least_recent_failure(table, &free),
                _ => self.lowest_cost(now, table, &free, kind),
            };
            if let Some(chosen) = chosen {
                return Ok(self.assign(now, chosen, health(chosen), false));
            }
        }
        Err(match full {
            true => Code::Overloaded,
            false => Code::NoUpstream,
        })
    }

    /// Load of an upstream: requests in flight from all VMs per slot.
    pub fn load(&self, upstream: &ListedUpstream) -> f32 {
        let id = &upstream.report.upstream;
        let local = self.locals.get(id).map_or(0, |l| l.in_flight) as f32;
        let remote = self.remote_in_flight.get(id).copied().unwrap_or_default();
        (local + remote) / upstream.report.slots.max(1) as f32
    }

    /// The kind of a request. Notes when an idempotent one came, as these test the upstreams of their service.
    fn kind(&mut self, now: Instant, criteria: &Criteria<'_>) -> Kind {
        if criteria.idempotent {
            self.idempotent_at.insert(criteria.service.clone(), now);
            return Kind::Idempotent;
        }
        let last = self.idempotent_at.get(criteria.service);
        match last.is_some_and(|at| now.saturating_duration_since(*at) < IDEMPOTENT_RECENT) {
            true => Kind::NonIdempotent,
            false => Kind::Untested,
        }
    }

    /// Of a few random upstreams, the one whose last failure is longest ago: it is the most likely to have
    /// recovered. The VMs choose among different ones, so that they don't all send to the same upstream.
    fn least_recent_failure<'a>(
        &mut self,
        table: &HealthTable,
        free: &[&'a ListedUpstream],
    ) -> Option<&'a ListedUpstream> {
        let drawn = (0..CANDIDATES).filter_map(|_| self.random(free));
        drawn.min_by_key(|l| table.failed_at(&l.report.upstream))
    }

    /// The upstream with the lowest cost among [`CANDIDATES`] random ones. All but the last are drawn from
    /// the own domain if it has a free one.
    fn lowest_cost<'a>(
        &mut self,
        now: Instant,
        table: &HealthTable,
        free: &[&'a ListedUpstream],
        kind: Kind,
    ) -> Option<&'a ListedUpstream> {
        let near: Vec<&ListedUpstream> = free
            .iter()
            .copied()
            .filter(|l| l.report.domain == self.domain)
            .collect();
        let mut best: Option<(f32, &ListedUpstream)> = None;
        for number in 0..CANDIDATES {
            let from = match near.is_empty() || number + 1 == CANDIDATES {
                true => free,
                false => &near,
            };
            let candidate = self.random(from)?;
            let succeeded = table.succeeded_at(&candidate.report.upstream);
            let age = succeeded.map(|at| now.saturating_duration_since(at));
            let staleness = match kind {
                Kind::Idempotent => 0.0,
                Kind::NonIdempotent => age.unwrap_or_default().as_secs_f32() * STALENESS_COST_PER_S,
                // The result of a request in flight is not known yet.
                Kind::Untested if self.load(candidate) > 0.0 => 0.0,
                Kind::Untested => -age.unwrap_or(IDLE_MAX).min(IDLE_MAX).as_secs_f32() * IDLE_GAIN_PER_S,
            };
            let cost = self.cost(now, table, candidate) + staleness;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, candidate));
            }
        }
        self.prefer_permitted(now, table, free, best)
    }

    /// Cost of a request at an upstream in units of load, without the cost of staleness.
    fn cost(&self, now: Instant, table: &HealthTable, upstream: &ListedUpstream) -> f32 {
        let id = &upstream.report.upstream;
        let distance = if upstream.report.domain == self.domain {
            0.0
        } else {
            CROSS_DOMAIN_COST
        };
        let cold = if upstream.is_cold(now) {
            COLD_START_COST
        } else {
            0.0
        };
        self.load(upstream) + distance + cold + table.error_score(id)
    }

    fn random<'a>(&mut self, from: &[&'a ListedUpstream]) -> Option<&'a ListedUpstream> {
        if from.is_empty() {
            return None;
        }
        Some(from[self.rng.random_range(0..from.len())])
    }

    /// Counts a request as in flight at the chosen upstream.
    fn assign(&mut self, now: Instant, chosen: &ListedUpstream, health: Health, test: bool) -> Choice {
        let local = self.locals.entry(chosen.report.upstream.clone()).or_default();
        local.in_flight += 1;
        if test {
            local.tested_at = Some(now);
        }
        Choice {
            listed: chosen.clone(),
            health,
            test,
            permit: self.gate.take(chosen),
        }
    }

    /// Ends a request that was counted by `choose`.
    pub fn finish(&mut self, id: &UpstreamId) {
        if let Some(local) = self.locals.get_mut(id) {
            local.in_flight = local.in_flight.saturating_sub(1);
        }
    }

    /// Records that an upstream answered this VM.
    pub fn record_answer(&mut self, id: &UpstreamId) {
        if let Some(local) = self.locals.get_mut(id) {
            local.unanswered = 0;
            local.unanswered_at = None;
        }
    }

    /// Records that an upstream did not answer this VM in the time in which a healthy one answers.
    pub fn record_no_answer(&mut self, now: Instant, id: &UpstreamId) {
        let local = self.locals.entry(id.clone()).or_default();
        local.unanswered += 1;
        local.unanswered_at = Some(now);
    }

    /// Records that this VM connected to the upstream, so that the next pause after a refused connection is
    /// the shortest.
    pub fn record_connected(&mut self, id: &UpstreamId) {
        if let Some(local) = self.locals.get_mut(id) {
            local.refusals = 0;
        }
    }

    /// Records that the upstream shed a request.
    pub fn record_shed(&mut self, now: Instant, id: &UpstreamId) {
        self.locals.entry(id.clone()).or_default().paused_until = Some(now + SHED_PAUSE);
    }

    /// Records that no connection could be made from this VM.
    pub fn record_refused(&mut self, now: Instant, id: &UpstreamId) {
        let local = self.locals.entry(id.clone()).or_default();
        let pause = REFUSED_PAUSE * 2_u32.saturating_pow(local.refusals.min(MAX_DOUBLINGS));
        local.refusals += 1;
        local.paused_until = Some(now + pause.min(REFUSED_PAUSE_MAX));
    }

    /// Records that the upstream wants no request from this VM for a while.
    pub fn record_closed(&mut self, now: Instant, id: &UpstreamId, pause: Duration) {
        let local = self.locals.entry(id.clone()).or_default();
        local.closed_until = local.closed_until.max(Some(now + pause));
    }

    /// Records that a run of an upstream leaves; returns whether that is new.
    pub fn record_leaving(&mut self, id: &UpstreamId, run_start: u64) -> bool {
        if self.is_leaving(id, run_start) {
            return false;
        }
        self.leaving.insert(id.clone(), run_start);
        true
    }

    /// Runs that stated that they leave, with their start.
    pub fn leaving(&self) -> impl Iterator<Item = (&UpstreamId, u64)> {
        self.leaving.iter().map(|(id, run_start)| (id, *run_start))
    }

    /// Drops the runs that need not be remembered, as the configuration excludes them.
    pub fn retain_leaving(&mut self, is_needed: impl Fn(&UpstreamId, u64) -> bool) {
        self.leaving.retain(|id, run_start| is_needed(id, *run_start));
    }

    /// Whether requests may be sent to a run of an upstream: it has not stated that it leaves or wants a pause.
    pub fn is_available(&self, now: Instant, id: &UpstreamId, run_start: u64) -> bool {
        !self.is_leaving(id, run_start) && !self.is_closed(now, id)
    }

    /// Sets how many requests the other VMs have in flight.
    pub fn set_remote_in_flight(&mut self, id: &UpstreamId, count: f32) {
        self.remote_in_flight.insert(id.clone(), count);
    }

    /// Drops the counts of the other VMs, which are replaced or too old.
    pub fn clear_remote_in_flight(&mut self) {
        self.remote_in_flight.clear();
    }

    /// Requests in flight from this VM, by upstream.
    pub fn in_flight(&self) -> impl Iterator<Item = (&UpstreamId, u32)> {
        self.locals.iter().map(|(id, l)| (id, l.in_flight))
    }

    /// Drops the state of upstreams that are no longer listed, once this VM has no request in flight there and
    /// may send requests again.
    pub fn retain(&mut self, now: Instant, is_listed: impl Fn(&UpstreamId) -> bool) {
        let is_closed = |l: &LocalState| l.closed_until.is_some_and(|until| now < until);
        self.locals
            .retain(|id, l| l.in_flight > 0 || is_closed(l) || is_listed(id));
        self.remote_in_flight.retain(|id, _| is_listed(id));
    }

    /// Whether a run of an upstream stated that it leaves.
    pub fn is_leaving(&self, id: &UpstreamId, run_start: u64) -> bool {
        self.leaving.get(id).is_some_and(|left| run_start <= *left)
    }

    fn is_closed(&self, now: Instant, id: &UpstreamId) -> bool {
        let closed = self.locals.get(id).and_then(|l| l.closed_until);
        closed.is_some_and(|until| now < until)
    }

    fn is_paused(&self, now: Instant, id: &UpstreamId) -> bool {
        let paused = self.locals.get(id).and_then(|l| l.paused_until);
        paused.is_some_and(|until| now < until)
    }

    /// Whether this VM recently got no answer from an upstream while the fleet recorded no failure there. A
    /// failure recorded since then replaces this observation: the upstream was at fault, not the path.
    fn is_unresponsive(&self, now: Instant, table: &HealthTable, id: &UpstreamId, idempotent: bool) -> bool {
        let Some(local) = self.locals.get(id) else {
            return false;
        };
        let Some(at) = local.unanswered_at else {
            return false;
        };
        if table.failed_at(id).is_some_and(|failed| failed >= at) {
            return false;
        }
        let shortest = match idempotent {
            true => NO_ANSWER_PAUSE,
            false => NO_ANSWER_PAUSE_NON_IDEMPOTENT,
        };
        let doublings = local.unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = shortest * 2_u32.saturating_pow(doublings);
        now.saturating_duration_since(at) < pause.min(NO_ANSWER_PAUSE_MAX)
    }
}
