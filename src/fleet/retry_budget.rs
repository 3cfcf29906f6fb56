//! Core: retry budget of a service.
//!
//! The bound holds over the whole fleet, in every window. VMs report their counts and receive those of
//! the fleet; without recent counts of the fleet, each VM keeps the bound by itself: a ratio of its own
//! requests, and its share of a fixed allowance that is withheld for a window after the counts were lost.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::admission::level::Level;
use crate::id::ServiceId;

/// Steps into which a window is divided; the counts of its oldest step expire together.
const WINDOW_STEPS: u32 = 20;
/// Share of the bound that is used. The rest is a margin, because the steps of the VMs and the windows of an
/// external measurement begin at different times.
const USABLE_SHARE: f64 = 0.9;
/// Share of the fixed allowance that is used when the counts of the fleet are known. The rest covers the
/// retries that other VMs have not reported yet.
const USABLE_SLACK_SHARE: f64 = 0.4;
/// Counts of the fleet older than this are not used.
const FLEET_TOTALS_TTL: Duration = Duration::from_secs(1);
/// Window of an additional bound at each VM, which keeps the unreported retries of all VMs few; longer than a
/// report takes.
const RECENT_WINDOW: Duration = Duration::from_secs(1);
/// Retries allowed for each request of this VM in [`RECENT_WINDOW`].
const RECENT_RATIO: f64 = 0.5;
/// Retries of this VM that are always allowed in [`RECENT_WINDOW`].
const RECENT_RETRIES_MIN: f64 = 2.0;

/// Bound on the retries of a service, set by the deployment.
#[derive(Debug, Clone, Copy)]
pub struct RetryBound {
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Further retries allowed in each window, for the whole fleet.
    pub slack: f64,
}

/// What a retry is for. When half of the upstreams of a service shed load, the budget is too small for all
/// retries, and other requests must not use up those of urgent ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request of the most urgent routes of its service.
    Urgent,
    /// Any other request.
    Ordinary,
    /// A request that tests an upstream and has to be retried if the test fails.
    Test,
    /// A request that competes with others by rank.
    Ranked(Level),
}

impl Purpose {
    /// Share of the bound that may be used.
    fn share(self) -> f64 {
        match self {
            Purpose::Urgent => 1.0,
            Purpose::Ordinary => 0.9,
            Purpose::Test => 0.55,
            Purpose::Ranked(level) => level.retry_share(),
        }
    }
}

/// Counts of requests and retries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests from callers.
    pub requests: u32,
    /// Retries: sends beyond the first of each request.
    pub repeats: u32,
}

impl Totals {
    /// Adds counts; those of a faulty peer may be of any size.
    pub fn add(&mut self, other: Totals) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
    }
}

/// Counts over a sliding window.
#[derive(Debug, Default)]
pub struct Window {
    steps: VecDeque<(Instant, Totals)>,
}

impl Window {
    /// Adds counts to the current step.
    pub fn add(&mut self, now: Instant, length: Duration, counts: Totals) {
        self.expire(now, length);
        let step = length / WINDOW_STEPS;
        let is_current = |at: Instant| now.saturating_duration_since(at) < step;
        if !self.steps.back().is_some_and(|(at, _)| is_current(*at)) {
            self.steps.push_back((now, Totals::default()));
        }
        if let Some((_, totals)) = self.steps.back_mut() {
            totals.add(counts);
        }
    }

    /// The counts in the window.
    pub fn totals(&mut self, now: Instant, length: Duration) -> Totals {
        self.expire(now, length);
        let mut sum = Totals::default();
        self.steps.iter().for_each(|(_, totals)| sum.add(*totals));
        sum
    }

    fn expire(&mut self, now: Instant, length: Duration) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= length;
        while self.steps.front().is_some_and(|(at, _)| is_old(*at)) {
            self.steps.pop_front();
        }
    }
}

/// Counts of the fleet at a control VM, by service.
#[derive(Debug)]
pub struct FleetUsage {
    /// When this VM began to count.
    since: Instant,
    windows: HashMap<ServiceId, Window>,
}

impl FleetUsage {
    /// No counts; the VM starts to count now.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            windows: HashMap::new(),
        }
    }

    /// Adds counts of a service.
    pub fn add(&mut self, now: Instant, length: Duration, service: &ServiceId, counts: Totals) {
        let window = self.windows.entry(service.clone()).or_default();
        window.add(now, length, counts);
    }

    /// The counts in the window; `None` until this VM has counted for a whole one. With the counts since a
    /// restart, the fleet would spend the fixed allowance again in the same window.
    pub fn totals(&mut self, now: Instant, length: Duration) -> Option<Vec<(ServiceId, Totals)>> {
        if now.saturating_duration_since(self.since) < length {
            return None;
        }
        let totals = self
            .windows
            .iter_mut()
            .map(|(service, window)| (service.clone(), window.totals(now, length)));
        Some(totals.collect())
    }
}

/// Retry budget of one service, by the counts of this VM and of the fleet.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Counts of this VM in the window of the bound.
    window: Window,
    /// Counts of this VM in [`RECENT_WINDOW`].
    recent: Window,
    /// Counts of this VM since its last report to the fleet.
    unreported: Totals,
    /// Last reported counts of the fleet in the window of the bound, and when they arrived.
    fleet: Option<(Instant, Totals)>,
    /// Whether the connection that brought them has ended.
    is_disconnected: bool,
}

impl RetryBudget {
    /// Counts a request from a caller.
    pub fn count_request(&mut self, now: Instant, bound: &RetryBound) {
        let one = Totals {
            requests: 1,
            repeats: 0,
        };
        self.add(now, bound, one);
    }

    /// Whether one more retry is within the share of the bound that its purpose may use.
    pub fn allows(&mut self, now: Instant, bound: &RetryBound, vms: usize, purpose: Purpose) -> bool {
        let share = purpose.share();
        let Some(fleet) = self.recent_fleet(now) else {
            let own = self.window.totals(now, bound.window);
            let slack = self.isolated_slack(now, bound) / vms.max(1) as f64;
            let allowed = f64::from(own.requests) * bound.ratio * USABLE_SHARE + slack;
            return f64::from(own.repeats) + 1.0 <= allowed * share;
        };
        let recent = self.recent.totals(now, RECENT_WINDOW);
        let recent_max = (f64::from(recent.requests) * RECENT_RATIO).max(RECENT_RETRIES_MIN);
        let requests = fleet.requests + self.unreported.requests;
        let retries = f64::from(fleet.repeats + self.unreported.repeats);
        let allowed = fleet_allowance(requests, bound);
        retries + 1.0 <= allowed * share && f64::from(recent.repeats) + 1.0 <= recent_max
    }

    /// Counts one more retry if it is within the bound.
    pub fn take(&mut self, now: Instant, bound: &RetryBound, vms: usize, purpose: Purpose) -> bool {
        let allowed = self.allows(now, bound, vms, purpose);
        if allowed {
            let one = Totals {
                requests: 0,
                repeats: 1,
            };
            self.add(now, bound, one);
        }
        allowed
    }

    fn recent_fleet(&self, now: Instant) -> Option<Totals> {
        let (at, totals) = self.fleet.filter(|_| !self.is_disconnected)?;
        (now.saturating_duration_since(at) < FLEET_TOTALS_TTL).then_some(totals)
    }

    /// Part of the fixed allowance that all VMs together may use without counts of the fleet. In the window after
    /// they were lost it covers what the fleet had used and not reported, and retries beyond the allowance are
    /// made up for.
    fn isolated_slack(&self, now: Instant, bound: &RetryBound) -> f64 {
        match self.fleet {
            Some((at, fleet)) if now.saturating_duration_since(at) < bound.window + FLEET_TOTALS_TTL => {
                (fleet_allowance(fleet.requests, bound) - f64::from(fleet.repeats)).min(0.0)
            }
            _ => bound.slack * USABLE_SHARE,
        }
    }

    fn add(&mut self, now: Instant, bound: &RetryBound, counts: Totals) {
        self.window.add(now, bound.window, counts);
        self.recent.add(now, RECENT_WINDOW, counts);
        self.unreported.add(counts);
    }

    /// Returns the counts that were not reported to the fleet yet, and resets them.
    pub fn take_unreported(&mut self) -> Totals {
        std::mem::take(&mut self.unreported)
    }

    /// Stops using the counts of the fleet, whose connection has ended.
    pub fn disconnect(&mut self) {
        self.is_disconnected = true;
    }

    /// Sets the counts of the whole fleet in the window.
    pub fn set_fleet_totals(&mut self, now: Instant, totals: Totals) {
        self.fleet = Some((now, totals));
        self.is_disconnected = false;
    }
}

/// Retries that the fleet may make for its requests in the window.
fn fleet_allowance(requests: u32, bound: &RetryBound) -> f64 {
    f64::from(requests) * bound.ratio * USABLE_SHARE + bound.slack * USABLE_SLACK_SHARE
}
