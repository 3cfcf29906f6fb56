//! Core: scores attempts and collects evidence of gray failure, relative to the other upstreams of a service.
//!
//! The score of an attempt is the logarithm of its latency over the median latency of its route and
//! customer on this VM. It is clamped to a fixed range, so that one heavy request cannot decide. A
//! failure has the largest score, reduced by the usual failure rate of its route and customer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::CustomerId;
use crate::id::RouteId;
use crate::id::UpstreamId;
use crate::stage::AttemptResult;
use crate::stage::Sample;

/// Largest score of an attempt: the logarithm of 4, for four times the usual latency or a failure.
pub const MAX_SCORE: f64 = 1.386;
/// Evidence with a score above this is sent to the arbiter without the usual delay.
pub const URGENT_SCORE: f64 = 0.9;
/// Evidence older than this is dropped.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(10);
/// Length of one bucket of a [`TallyWindow`].
pub const BUCKET_LENGTH: Duration = Duration::from_millis(500);
/// Difference of mean scores above which an upstream is an outlier: 1.8 times the latency of its peers.
pub const OUTLIER_GAP: f64 = 0.6;
/// Samples that a baseline needs before latencies are compared with it.
const MIN_BASELINE_SAMPLES: usize = 8;
/// Number of latest samples from which the median is taken.
const MAX_BASELINE_SAMPLES: usize = 32;
/// Weight of the latest attempt in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.05;
/// No running request is overdue before this time.
const MIN_OVERDUE: Duration = Duration::from_millis(50);
/// A request that runs this many times as long as usual is overdue and counts as evidence before it ends.
const OVERDUE_FACTOR: f64 = 4.0;
/// Samples before a VM suspects an upstream by its own evidence. This and the next two thresholds are low
/// because a suspicion only shifts the traffic of one VM.
const SUSPECT_MIN_SAMPLES: f64 = 3.0;
/// Consecutive failures after which a VM suspects an upstream.
const SUSPECT_FAILURE_RUN: f64 = 3.0;
/// Difference of mean scores times the square root of the samples above which a VM suspects an upstream.
const SUSPECT_MIN_EVIDENCE: f64 = 2.0;
/// Lower bound of the standard deviation of a score.
const MIN_DEVIATION: f64 = 0.3;
/// Evidence that could not be sent for this long is dropped, because the arbiter would count it as new.
const MAX_UNSENT_AGE: Duration = Duration::from_secs(3);

/// Count, sum and sum of squares of scores.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of scores.
    pub count: f64,
    /// Sum of the scores.
    pub sum: f64,
    /// Sum of the squared scores.
    pub square: f64,
}

impl Tally {
    pub fn add(&mut self, score: f64) {
        self.count += 1.0;
        self.sum += score;
        self.square += score * score;
    }

    /// Adds all scores of another tally.
    pub fn merge(&mut self, other: &Tally) {
        self.count += other.count;
        self.sum += other.sum;
        self.square += other.square;
    }

    /// Mean score; 0 without scores.
    pub fn mean(&self) -> f64 {
        if self.count > 0.0 {
            self.sum / self.count
        } else {
            0.0
        }
    }

    /// Standard deviation of the scores, at least `MIN_DEVIATION` because a few scores may be nearly equal.
    pub fn deviation(&self) -> f64 {
        if self.count < 2.0 {
            return MIN_DEVIATION;
        }
        let mean = self.mean();
        let variance = self.square / self.count - mean * mean;
        variance.max(0.0).sqrt().max(MIN_DEVIATION)
    }
}

/// Tallies of the last [`EVIDENCE_WINDOW`] in buckets of [`BUCKET_LENGTH`].
#[derive(Debug, Clone, Default)]
pub struct TallyWindow(VecDeque<(Instant, Tally)>);

impl TallyWindow {
    /// Adds a tally to the current bucket.
    pub fn add(&mut self, now: Instant, tally: &Tally) {
        match self.0.back_mut() {
            Some((start, last)) if now.saturating_duration_since(*start) < BUCKET_LENGTH => last.merge(tally),
            _ => self.0.push_back((now, *tally)),
        }
        self.expire(now);
    }

    /// Sum of the buckets that started within the last `length`.
    pub fn sum(&self, now: Instant, length: Duration) -> Tally {
        let mut sum = Tally::default();
        for (start, tally) in self.0.iter().rev() {
            if now.saturating_duration_since(*start) > length {
                break;
            }
            sum.merge(tally);
        }
        sum
    }

    /// Drops all buckets.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn expire(&mut self, now: Instant) {
        while let Some((start, _)) = self.0.front() {
            if now.saturating_duration_since(*start) <= EVIDENCE_WINDOW {
                return;
            }
            self.0.pop_front();
        }
    }
}

/// Median of the latest samples, in logarithms of seconds.
#[derive(Debug, Clone, Default)]
struct MedianWindow {
    samples: VecDeque<f64>,
}

impl MedianWindow {
    fn add(&mut self, value: f64) {
        if self.samples.len() == MAX_BASELINE_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(value);
    }

    fn value(&self) -> Option<f64> {
        if self.samples.len() < MIN_BASELINE_SAMPLES {
            return None;
        }
        median(self.samples.iter().copied().collect())
    }
}

/// Median of a list, the upper one if the length is even; `None` for an empty list.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Usual latency, duration and failure rate of one kind of request.
#[derive(Debug, Clone, Default)]
struct Baseline {
    /// Time from the first byte sent to the first byte of the answer.
    latency: MedianWindow,
    /// Time from the selection of the upstream to the end of the attempt.
    duration: MedianWindow,
    /// Moving average, from 0 to 1.
    failure_rate: f64,
}

/// Route and customer of requests with comparable latencies. Customers with few requests share the
/// baseline without a customer.
type BaselineKey = (RouteId, Option<CustomerId>);

/// Evidence of one VM about the upstreams of one service.
#[derive(Debug, Default)]
pub struct Detector {
    baselines: HashMap<BaselineKey, Baseline>,
    windows: BTreeMap<UpstreamId, TallyWindow>,
    unsent: BTreeMap<UpstreamId, Tally>,
    /// Consecutive failures.
    failure_runs: HashMap<UpstreamId, f64>,
    unsent_since: Option<Instant>,
    urgent: bool,
    changed: bool,
}

impl Detector {
    /// Records the outcome of an attempt; `duration` is the time from selection to the end.
    ///
    /// `was_overdue` means that the attempt was already recorded as overdue, so it adds no score.
    pub fn record(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        sample: &Sample,
        duration: Duration,
        was_overdue: bool,
    ) {
        let failed = match sample.result {
            AttemptResult::Answered => false,
            AttemptResult::Failed | AttemptResult::Refused | AttemptResult::Cut | AttemptResult::Late => true,
            // A connection that breaks during a request may be the fault of the request (section 5.3).
            AttemptResult::Shed | AttemptResult::Died | AttemptResult::Stale | AttemptResult::Cancelled => {
                return;
            }
        };
        self.changed = true;
        let score = self.score(sample, failed);
        self.update_baseline(sample, failed, duration);
        self.update_failure_run(upstream, failed);
        if was_overdue {
            return;
        }
        if let Some(score) = score {
            self.add_score(now, upstream, score);
        }
    }

    /// Records a request that is still running although it is overdue.
    pub fn record_overdue(&mut self, now: Instant, upstream: &UpstreamId) {
        self.add_score(now, upstream, MAX_SCORE);
    }

    /// Time after which a running request is overdue; `None` without a baseline.
    pub fn overdue_after(&self, route: &RouteId, customer: Option<&CustomerId>) -> Option<Duration> {
        let duration = self.baseline(route, customer)?.duration.value()?;
        Some(Duration::from_secs_f64(duration.exp() * OVERDUE_FACTOR).max(MIN_OVERDUE))
    }

    /// Largest latency among the recent requests of a route, an approximation of its 99th percentile.
    pub fn max_latency(&self, route: &RouteId) -> Option<Duration> {
        let baselines = self.baselines.iter().filter(|((r, _), _)| r == route);
        let longest = baselines
            .flat_map(|(_, b)| b.latency.samples.iter().copied())
            .max_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(longest.exp()))
    }

    /// Upstreams that are outliers or fail repeatedly by the evidence of this VM alone.
    pub fn suspects(&self, now: Instant) -> BTreeSet<UpstreamId> {
        let mut found: BTreeSet<UpstreamId> = self
            .failure_runs
            .iter()
            .filter(|(_, count)| **count >= SUSPECT_FAILURE_RUN)
            .map(|(name, _)| name.clone())
            .collect();
        let sums: Vec<(&UpstreamId, Tally)> = self
            .windows
            .iter()
            .map(|(name, window)| (name, window.sum(now, EVIDENCE_WINDOW)))
            .filter(|(_, t)| t.count > 0.0)
            .collect();
        for (name, own) in &sums {
            // No mean is below -MAX_SCORE, so a smaller one cannot exceed the others by the outlier gap.
            if own.count < SUSPECT_MIN_SAMPLES || own.mean() < OUTLIER_GAP - MAX_SCORE {
                continue;
            }
            let others = sums.iter().filter(|(other, _)| other != name);
            let center = median(others.map(|(_, t)| t.mean()).collect()).unwrap_or(0.0);
            let gap = own.mean() - center;
            if gap > OUTLIER_GAP && own.count.sqrt() * gap > SUSPECT_MIN_EVIDENCE {
                found.insert((*name).clone());
            }
        }
        found
    }

    /// Drops the evidence about an upstream, so that it is not ejected twice for the same requests.
    pub fn clear(&mut self, upstream: &UpstreamId) {
        self.windows.remove(upstream);
        self.unsent.remove(upstream);
        self.failure_runs.remove(upstream);
    }

    /// Whether evidence was added since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether there is unsent evidence with a score above [`URGENT_SCORE`].
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Removes and returns the evidence that was not sent to the arbiter yet.
    pub fn take_unsent(&mut self) -> Vec<(UpstreamId, Tally)> {
        self.urgent = false;
        self.unsent_since = None;
        std::mem::take(&mut self.unsent).into_iter().collect()
    }

    fn score(&self, sample: &Sample, failed: bool) -> Option<f64> {
        let baseline = self.baseline(&sample.route, sample.customer.as_ref())?;
        if failed {
            return Some(MAX_SCORE * (1.0 - baseline.failure_rate));
        }
        let score = log_seconds(sample.latency) - baseline.latency.value()?;
        Some(score.clamp(-MAX_SCORE, MAX_SCORE))
    }

    fn update_baseline(&mut self, sample: &Sample, failed: bool, duration: Duration) {
        let own = (sample.route.clone(), sample.customer.clone());
        let is_rare = self
            .baselines
            .get(&own)
            .is_none_or(|b| b.latency.value().is_none());
        let shared = (sample.route.clone(), None);
        let keys = if is_rare && sample.customer.is_some() {
            vec![own, shared]
        } else {
            vec![own]
        };
        for key in keys {
            let baseline = self.baselines.entry(key).or_default();
            let outcome = if failed { 1.0 } else { 0.0 };
            baseline.failure_rate += FAILURE_RATE_WEIGHT * (outcome - baseline.failure_rate);
            if !failed {
                baseline.latency.add(log_seconds(sample.latency));
                baseline.duration.add(log_seconds(duration));
            }
        }
    }

    fn baseline(&self, route: &RouteId, customer: Option<&CustomerId>) -> Option<&Baseline> {
        let own = self.baselines.get(&(route.clone(), customer.cloned()));
        own.filter(|b| b.latency.value().is_some())
            .or_else(|| self.baselines.get(&(route.clone(), None)))
            .or(own)
    }

    fn update_failure_run(&mut self, upstream: &UpstreamId, failed: bool) {
        if failed {
            *self.failure_runs.entry(upstream.clone()).or_default() += 1.0;
        } else {
            self.failure_runs.remove(upstream);
        }
    }

    fn add_score(&mut self, now: Instant, upstream: &UpstreamId, score: f64) {
        let mut tally = Tally::default();
        tally.add(score);
        self.windows.entry(upstream.clone()).or_default().add(now, &tally);
        let since = *self.unsent_since.get_or_insert(now);
        if now.saturating_duration_since(since) > MAX_UNSENT_AGE {
            self.unsent.clear();
            self.unsent_since = Some(now);
        }
        self.unsent.entry(upstream.clone()).or_default().merge(&tally);
        self.urgent = self.urgent || score > URGENT_SCORE;
        self.changed = true;
    }
}

fn log_seconds(time: Duration) -> f64 {
    // Differences below a millisecond come from the VM, not from the upstream.
    time.as_secs_f64().max(0.001).ln()
}
