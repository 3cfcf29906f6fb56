//! Core: ejection of unhealthy upstreams that never leaves a service below its floor (section 5.4 of the
//! design).
//!
//! The arbiter of a service is the VM that holds the lease of the service's partition. It collects the
//! evidence of all VMs and answers each report with the ejections in force. An ejection expires unless
//! the arbiter renews it, so ejections end when the arbiter fails.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::detect::EVIDENCE_WINDOW;
use crate::detect::OUTLIER_GAP;
use crate::detect::Tally;
use crate::detect::TallyWindow;
use crate::detect::median;
use crate::id::DomainName;
use crate::id::UpstreamId;
use crate::id::VmName;

/// An ejection expires after this time unless the arbiter renews it.
pub const EJECTION_TTL: Duration = Duration::from_secs(30);
/// A new arbiter ejects nothing until all ejections of the previous one have expired: [`EJECTION_TTL`]
/// and 2 % for clock drift.
pub const TAKEOVER_WAIT: Duration = Duration::from_millis(30_600);
/// Time between two evaluations of the evidence.
const EVALUATION_PERIOD: Duration = Duration::from_millis(200);
/// How long an upstream stays ejected the first time; each repetition doubles it.
const INITIAL_HOLD_OFF: Duration = Duration::from_secs(10);
/// Upper bound of the hold-off.
const MAX_HOLD_OFF: Duration = Duration::from_secs(300);
/// An upstream that is ejected later than this after its last hold-off gets the initial hold-off
/// again. The time is longer than the ramp of 10 s and the evidence window together.
const HOLD_OFF_RESET: Duration = Duration::from_secs(120);
/// Spans over which evidence is summed: the short ones detect fast, the long one detects small differences.
const EVIDENCE_SPANS: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_secs(3),
    Duration::from_secs(5),
    EVIDENCE_WINDOW,
];
/// Samples that an ejection needs.
const MIN_SAMPLES: f64 = 6.0;
/// Standard errors by which the mean score of an upstream must exceed that of the others for an ejection.
/// If 5 % of the requests are ten times as heavy as usual, a healthy upstream gets 5 heavy ones among 6
/// once in a few hours, which gives 6.6 standard errors; a limit of 6.5 ejected one in 30 min of virtual
/// time. 6 heavy ones among 6 give 7.9.
const MIN_STD_ERRORS: f64 = 7.5;
/// Samples for an upstream whose last hold-off ended less than [`HOLD_OFF_RESET`] ago.
const MIN_SAMPLES_AGAIN: f64 = 3.0;
/// Standard errors for such an upstream.
const MIN_STD_ERRORS_AGAIN: f64 = 4.5;
/// Samples with which a failure domain confirms the evidence of another.
const DOMAIN_MIN_SAMPLES: f64 = 2.0;
/// Standard errors with which a failure domain confirms; one heavy request of two gives less than 3.
const DOMAIN_MIN_STD_ERRORS: f64 = 3.0;
/// VMs that must see the upstream as an outlier; fewer if fewer have traffic to the service.
const MIN_OBSERVERS: usize = 2;
/// Samples with score 0 that are added when the mean of a VM's other upstreams is computed, so that a few
/// samples correct its evidence only a little.
const PRIOR_SAMPLES: f64 = 3.0;

/// Evidence of one VM since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Observer.
    pub vm: VmName,
    /// Failure domain of the observer.
    pub domain: DomainName,
    /// Scores by upstream.
    pub tallies: Vec<(UpstreamId, Tally)>,
}

/// An ejection in force: no VM sends requests to the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The ejected upstream.
    pub upstream: UpstreamId,
    /// Remaining time in milliseconds; the receiver counts it from when it sent its report.
    pub left_ms: u64,
}

/// Capacity of one upstream, for the floor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// Name.
    pub upstream: UpstreamId,
    /// Slots; 0 unless the upstream is announced, ready and warm.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct EjectionState {
    hold_off: Duration,
    hold_off_end: Instant,
    /// Latest time at which a VM may still hold the ejection.
    latest_expiry: Instant,
    /// Whether reports are still answered with the ejection.
    active: bool,
}

struct Observer {
    domain: DomainName,
    windows: BTreeMap<UpstreamId, TallyWindow>,
}

/// Decides the ejections of one service while its VM holds the lease of the service's partition.
#[derive(Default)]
pub struct Arbiter {
    observers: BTreeMap<VmName, Observer>,
    /// Sum of the evidence of all observers; rules out outliers at less cost than the comparison by observer.
    totals: BTreeMap<UpstreamId, TallyWindow>,
    states: BTreeMap<UpstreamId, EjectionState>,
    evaluated_at: Option<Instant>,
}

impl Arbiter {
    /// Adds the evidence of a VM.
    pub fn add_evidence(&mut self, now: Instant, evidence: Evidence) {
        let observer = self.observers.entry(evidence.vm).or_insert_with(|| Observer {
            domain: evidence.domain.clone(),
            windows: BTreeMap::new(),
        });
        for (upstream, tally) in evidence.tallies {
            self.totals.entry(upstream.clone()).or_default().add(now, &tally);
            observer.windows.entry(upstream).or_default().add(now, &tally);
        }
    }

    /// Ends and starts ejections; `since` is when this VM got the lease of the partition.
    ///
    /// Returns the upstreams that this call ejected.
    pub fn decide(
        &mut self,
        now: Instant,
        since: Instant,
        capacities: &[Capacity],
        floor: u32,
    ) -> Vec<UpstreamId> {
        self.expire_hold_offs(now);
        self.restore_floor(now, capacities, floor);
        let is_waiting = now.saturating_duration_since(since) < TAKEOVER_WAIT;
        let evaluated_recently = self
            .evaluated_at
            .is_some_and(|at| now.saturating_duration_since(at) < EVALUATION_PERIOD);
        if is_waiting || evaluated_recently {
            return Vec::new();
        }
        self.evaluated_at = Some(now);
        let mut ejected = Vec::new();
        for (upstream, _) in self.outliers(now) {
            if self.is_possibly_ejected(&upstream, now)
                || !self.keeps_floor(&upstream, now, capacities, floor)
            {
                continue;
            }
            self.eject(&upstream, now);
            ejected.push(upstream);
        }
        ejected
    }

    /// The ejections in force; each call renews them for [`EJECTION_TTL`], up to the end of the hold-off.
    pub fn renew_ejections(&mut self, now: Instant) -> Vec<Ejection> {
        let mut list = Vec::new();
        for (upstream, state) in &mut self.states {
            let end = state.hold_off_end.min(now + EJECTION_TTL);
            if !state.active || end <= now {
                continue;
            }
            state.latest_expiry = state.latest_expiry.max(end + drift_margin(end - now));
            let left = u64::try_from((end - now).as_millis()).unwrap_or(0);
            list.push(Ejection {
                upstream: upstream.clone(),
                left_ms: left,
            });
        }
        list
    }

    /// Slots of the upstreams that no VM can still hold ejected.
    pub fn available_slots(&self, now: Instant, capacities: &[Capacity]) -> u32 {
        let is_available = |c: &&Capacity| !self.is_possibly_ejected(&c.upstream, now);
        capacities.iter().filter(is_available).map(|c| c.slots).sum()
    }

    /// Whether some VM may still apply an ejection of the upstream.
    fn is_possibly_ejected(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.states.get(upstream).is_some_and(|s| now < s.latest_expiry)
    }

    fn keeps_floor(&self, upstream: &UpstreamId, now: Instant, capacities: &[Capacity], floor: u32) -> bool {
        let slots = capacities
            .iter()
            .find(|c| c.upstream == *upstream)
            .map_or(0, |c| c.slots);
        let left = self.available_slots(now, capacities).saturating_sub(slots);
        // The last healthy upstream is never ejected, even without a floor.
        left > 0 && left >= floor
    }

    fn eject(&mut self, upstream: &UpstreamId, now: Instant) {
        let previous = self.states.get(upstream);
        let is_repeated =
            previous.is_some_and(|s| now.saturating_duration_since(s.hold_off_end) < HOLD_OFF_RESET);
        let hold_off = match previous {
            Some(state) if is_repeated => (state.hold_off * 2).min(MAX_HOLD_OFF),
            _ => INITIAL_HOLD_OFF,
        };
        let end = now + hold_off.min(EJECTION_TTL);
        let state = EjectionState {
            hold_off,
            hold_off_end: now + hold_off,
            latest_expiry: end + drift_margin(hold_off.min(EJECTION_TTL)),
            active: true,
        };
        self.states.insert(upstream.clone(), state);
        self.totals.remove(upstream);
        for observer in self.observers.values_mut() {
            observer.windows.remove(upstream);
        }
    }

    fn expire_hold_offs(&mut self, now: Instant) {
        for state in self.states.values_mut() {
            state.active = state.active && now < state.hold_off_end;
        }
        self.states.retain(|_, s| {
            now.saturating_duration_since(s.hold_off_end) < HOLD_OFF_RESET || now < s.latest_expiry
        });
    }

    /// Ends ejections early if the loss of other upstreams leaves less than the floor.
    fn restore_floor(&mut self, now: Instant, capacities: &[Capacity], floor: u32) {
        let active: BTreeSet<UpstreamId> = self
            .states
            .iter()
            .filter(|(_, s)| s.active)
            .map(|(name, _)| name.clone())
            .collect();
        let in_service = |c: &&Capacity| !active.contains(&c.upstream);
        let mut slots: u32 = capacities.iter().filter(in_service).map(|c| c.slots).sum();
        for capacity in capacities.iter().filter(|c| active.contains(&c.upstream)) {
            if slots > 0 && slots >= floor {
                return;
            }
            if let Some(state) = self.states.get_mut(&capacity.upstream) {
                state.active = false;
                state.hold_off_end = now;
                slots += capacity.slots;
            }
        }
    }

    /// Outliers over any of the spans, with the largest gap first.
    fn outliers(&self, now: Instant) -> Vec<(UpstreamId, f64)> {
        let mut found: BTreeMap<UpstreamId, f64> = BTreeMap::new();
        for span in EVIDENCE_SPANS {
            if !self.may_have_outlier(now, span) {
                continue;
            }
            let rows = self.relative_rows(now, span);
            for (upstream, gap) in self.outliers_in(&rows, now) {
                let worst = found.entry(upstream).or_insert(gap);
                *worst = worst.max(gap);
            }
        }
        let mut list: Vec<(UpstreamId, f64)> = found.into_iter().collect();
        list.sort_by(|a, b| b.1.total_cmp(&a.1));
        list
    }

    /// Whether the totals allow an outlier; `false` saves the comparison by observer.
    fn may_have_outlier(&self, now: Instant, span: Duration) -> bool {
        let sums: Vec<Tally> = self.totals.values().map(|w| w.sum(now, span)).collect();
        let center = median(sums.iter().filter(|t| t.count > 0.0).map(Tally::mean).collect());
        let min_mean = center.unwrap_or(0.0).min(0.0) + OUTLIER_GAP / 2.0;
        sums.iter()
            .any(|t| t.count >= MIN_SAMPLES_AGAIN && t.mean() > min_mean)
    }

    /// Sums of the span by observer and upstream, relative to the observer's other upstreams.
    fn relative_rows(&self, now: Instant, span: Duration) -> Vec<EvidenceRow> {
        let mut rows = Vec::new();
        for (vm, observer) in &self.observers {
            let sums: Vec<(&UpstreamId, Tally)> = observer
                .windows
                .iter()
                .map(|(name, window)| (name, window.sum(now, span)))
                .filter(|(_, t)| t.count > 0.0)
                .collect();
            let mut all = Tally::default();
            for (_, tally) in &sums {
                all.merge(tally);
            }
            for (upstream, tally) in sums {
                // For a VM with a bad network path all upstreams are slow, so its mean score of the
                // other upstreams is subtracted.
                let others_mean = (all.sum - tally.sum) / (all.count - tally.count + PRIOR_SAMPLES);
                let shift = others_mean.max(0.0) * tally.count;
                rows.push(EvidenceRow {
                    vm: vm.clone(),
                    domain: observer.domain.clone(),
                    upstream: upstream.clone(),
                    tally: Tally {
                        sum: tally.sum - shift,
                        ..tally
                    },
                });
            }
        }
        rows
    }

    fn outliers_in(&self, rows: &[EvidenceRow], now: Instant) -> Vec<(UpstreamId, f64)> {
        let mut totals: BTreeMap<&UpstreamId, Tally> = BTreeMap::new();
        for row in rows {
            totals.entry(&row.upstream).or_default().merge(&row.tally);
        }
        let mut found = Vec::new();
        for (upstream, total) in &totals {
            let (min_samples, min_errors) = self.thresholds(upstream, now);
            if total.count < min_samples || total.mean() < 0.0 {
                continue;
            }
            let others: Vec<&Tally> = totals
                .iter()
                .filter(|(name, _)| *name != upstream)
                .map(|(_, t)| t)
                .collect();
            let Some(center) = median(others.iter().map(|t| t.mean()).collect()) else {
                continue;
            };
            let mut pooled = Tally::default();
            for tally in others {
                pooled.merge(tally);
            }
            let gap = total.mean() - center;
            let errors = gap * total.count.sqrt() / pooled.deviation();
            let is_clear = gap > OUTLIER_GAP && errors > min_errors;
            if is_clear && is_confirmed(rows, upstream, center, pooled.deviation()) {
                found.push(((*upstream).clone(), gap));
            }
        }
        found
    }

    fn thresholds(&self, upstream: &UpstreamId, now: Instant) -> (f64, f64) {
        let is_repeated = self
            .states
            .get(upstream)
            .is_some_and(|s| now.saturating_duration_since(s.hold_off_end) < HOLD_OFF_RESET);
        if is_repeated {
            (MIN_SAMPLES_AGAIN, MIN_STD_ERRORS_AGAIN)
        } else {
            (MIN_SAMPLES, MIN_STD_ERRORS)
        }
    }
}

/// Evidence of one VM about one upstream, relative to the other upstreams of that VM.
struct EvidenceRow {
    vm: VmName,
    domain: DomainName,
    upstream: UpstreamId,
    tally: Tally,
}

/// Whether observers in two failure domains see the outlier, or in the only one with traffic to the service.
fn is_confirmed(rows: &[EvidenceRow], upstream: &UpstreamId, center: f64, deviation: f64) -> bool {
    let mut domains: BTreeMap<&DomainName, Tally> = BTreeMap::new();
    let mut vms: BTreeSet<&VmName> = BTreeSet::new();
    for row in rows.iter().filter(|r| r.upstream == *upstream) {
        domains.entry(&row.domain).or_default().merge(&row.tally);
        if row.tally.mean() - center > OUTLIER_GAP {
            vms.insert(&row.vm);
        }
    }
    let all_vms: BTreeSet<&VmName> = rows.iter().map(|r| &r.vm).collect();
    let all_domains: BTreeSet<&DomainName> = rows.iter().map(|r| &r.domain).collect();
    let agrees = |t: &Tally| {
        let gap = t.mean() - center;
        t.count >= DOMAIN_MIN_SAMPLES
            && gap > OUTLIER_GAP
            && gap * t.count.sqrt() / deviation > DOMAIN_MIN_STD_ERRORS
    };
    // The others together must confirm the failure domain with the most evidence.
    let strongest = domains.iter().max_by(|a, b| a.1.sum.total_cmp(&b.1.sum));
    let Some((strongest, strongest_tally)) = strongest else {
        return false;
    };
    let mut others = Tally::default();
    for (_, tally) in domains.iter().filter(|(name, _)| *name != strongest) {
        others.merge(tally);
    }
    let is_seen = agrees(strongest_tally) && (agrees(&others) || all_domains.len() == 1);
    vms.len() >= MIN_OBSERVERS.min(all_vms.len()) && is_seen
}

/// Margin for two clocks whose rates differ by 2 %.
fn drift_margin(time: Duration) -> Duration {
    time / 50
}

/// Ejections that a VM applies, as the arbiter last sent them.
#[derive(Debug, Default)]
pub struct HeldEjections {
    expiries: BTreeMap<UpstreamId, Instant>,
    /// When the report was sent whose answer was applied last.
    last_sent: Option<Instant>,
}

impl HeldEjections {
    /// Replaces the ejections by those of the arbiter's answer to a report that was sent at `sent`.
    ///
    /// An upstream that is not listed is no longer ejected. A late answer to an earlier report is ignored.
    pub fn apply(&mut self, sent: Instant, ejections: &[Ejection]) {
        if self.last_sent.is_some_and(|last| sent < last) {
            return;
        }
        self.last_sent = Some(sent);
        let end = |e: &Ejection| {
            let left = Duration::from_millis(e.left_ms);
            sent + left - drift_margin(left)
        };
        self.expiries = ejections.iter().map(|e| (e.upstream.clone(), end(e))).collect();
    }

    /// Whether the last answer listed no ejection; expired ones count as listed.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Whether the upstream is ejected on this VM.
    pub fn is_ejected(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.expiries.get(upstream).is_some_and(|end| now < *end)
    }
}
