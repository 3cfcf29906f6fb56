//! Core: the health of each upstream, from the results of the whole fleet's requests.
//!
//! An upstream with a gray failure passes its probes, so only requests show it. Non-idempotent requests are
//! sent where others succeeded recently, and idempotent requests test the upstreams without such results.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoStaticStr;

use crate::id::UpstreamId;
use crate::stage::AttemptResult;

/// An upstream is healthy for this long after a success: shorter than a gray failure, which lasts about
/// 10 s, and long enough for several requests to a healthy upstream.
pub const SUCCESS_TTL: Duration = Duration::from_secs(3);
/// Consecutive successes after a failure before an upstream is healthy again. One that breaks three of four
/// requests reaches this by chance in 1.6 % of the series.
const RECOVERY_SUCCESSES: u16 = 3;
/// A suspect upstream whose last failure is this long ago counts as unknown: longer than a gray failure
/// lasts.
const SUSPECT_TTL: Duration = Duration::from_secs(15);
/// Added to the error score for an error of the upstream or a late answer. Healthy upstreams answer about
/// one request in a hundred with an error, so a single one must not make an upstream suspect.
const SOFT_FAILURE_SCORE: f32 = 1.0;
/// Subtracted from the error score for a success.
const SUCCESS_SCORE: f32 = 0.34;
/// Error score at which an upstream becomes suspect: two errors with few successes between them.
const SUSPECT_SCORE: f32 = 1.5;

/// Results of requests at one upstream since the last update of the same VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthUpdate {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Answers that were not errors.
    pub good: u16,
    /// Errors of the upstream, late answers, and reused connections that ended or were silent.
    pub soft: u16,
    /// Connections that ended before the answer or within it.
    pub hard: u16,
    /// Time since the request of the last good answer was sent, in milliseconds.
    pub age_ms: u16,
}

impl HealthUpdate {
    /// An update without results.
    pub fn empty(upstream: &UpstreamId) -> Self {
        Self {
            upstream: upstream.clone(),
            ..Self::default()
        }
    }

    /// Adds the results of a later update of the same upstream.
    pub fn add(&mut self, later: &HealthUpdate) {
        self.good = self.good.saturating_add(later.good);
        self.soft = self.soft.saturating_add(later.soft);
        self.hard = self.hard.saturating_add(later.hard);
        self.age_ms = later.age_ms;
    }

    /// Whether it holds a failure, and so is sent to the other VMs at once.
    pub fn is_urgent(&self) -> bool {
        self.soft > 0 || self.hard > 0
    }
}

/// Health of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// Requests failed there and too few have succeeded since.
    Suspect,
    /// There are no results, or only old ones.
    Unknown,
    /// Requests succeeded there recently.
    #[strum(serialize = "sound")]
    Healthy,
}

#[derive(Debug, Clone, Default)]
struct Record {
    succeeded_at: Option<Instant>,
    failed_at: Option<Instant>,
    /// Successes since the last failure.
    successes: u16,
    /// Failures since the upstream was healthy.
    failures: u16,
    is_suspect: bool,
    error_score: f32,
}

/// The health records of all upstreams.
#[derive(Debug, Default)]
pub struct HealthTable {
    all: HashMap<UpstreamId, Record>,
}

/// Whether an attempt was already recorded as a failure when it became overdue, at `overdue_after`. An answer
/// after that, or the deadline, adds no information about the upstream.
pub fn was_overdue(attempt: AttemptResult, latency: Duration, overdue_after: Duration) -> bool {
    matches!(attempt, AttemptResult::Answered | AttemptResult::Late) && latency >= overdue_after
}

impl HealthTable {
    /// Applies an update whose `age_ms` is relative to `now`.
    pub fn apply(&mut self, now: Instant, update: &HealthUpdate) {
        let record = self.all.entry(update.upstream.clone()).or_default();
        if update.good > 0 {
            let age = Duration::from_millis(update.age_ms.into());
            record.record_success(now, now.checked_sub(age).unwrap_or(now), update.good);
        }
        if update.soft > 0 {
            record.error_score += f32::from(update.soft) * SOFT_FAILURE_SCORE;
        }
        if update.hard > 0 || record.error_score >= SUSPECT_SCORE {
            record.record_failure(now);
        }
    }

    /// Health of an upstream.
    pub fn health(&self, now: Instant, id: &UpstreamId) -> Health {
        let Some(record) = self.all.get(id) else {
            return Health::Unknown;
        };
        let age = |at: Instant| now.saturating_duration_since(at);
        if record.is_suspect {
            let expired = record.failed_at.is_none_or(|at| age(at) >= SUSPECT_TTL);
            return if expired { Health::Unknown } else { Health::Suspect };
        }
        match record.succeeded_at {
            Some(at) if age(at) < SUCCESS_TTL => Health::Healthy,
            _ => Health::Unknown,
        }
    }

    /// Error score of an upstream, from 0. It is reset when the upstream becomes suspect.
    pub fn error_score(&self, id: &UpstreamId) -> f32 {
        self.all.get(id).map_or(0.0, |r| r.error_score)
    }

    /// Successes since the last failure.
    pub fn successes(&self, id: &UpstreamId) -> u16 {
        self.all.get(id).map_or(0, |r| r.successes)
    }

    /// When the last success or failure was recorded.
    pub fn updated_at(&self, id: &UpstreamId) -> Option<Instant> {
        self.all.get(id).and_then(|r| r.succeeded_at.max(r.failed_at))
    }

    /// When the last success was recorded.
    pub fn succeeded_at(&self, id: &UpstreamId) -> Option<Instant> {
        self.all.get(id).and_then(|r| r.succeeded_at)
    }

    /// Failures since the upstream was healthy.
    pub fn failures(&self, id: &UpstreamId) -> u16 {
        self.all.get(id).map_or(0, |r| r.failures)
    }

    /// When the last failure was recorded.
    pub fn failed_at(&self, id: &UpstreamId) -> Option<Instant> {
        self.all.get(id).and_then(|r| r.failed_at)
    }

    /// Drops the records of upstreams that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.all.retain(|id, _| is_listed(id));
    }
}

impl Record {
    /// Counts successes that are reported now; the last of their requests was sent at `sent`.
    fn record_success(&mut self, now: Instant, sent: Instant, count: u16) {
        // An upstream that fails new requests may still answer those that it was already running.
        if self.failed_at.is_some_and(|failed| sent <= failed) {
            return;
        }
        self.succeeded_at = Some(now);
        self.successes = self.successes.saturating_add(count);
        self.error_score = (self.error_score - SUCCESS_SCORE * f32::from(count)).max(0.0);
        if self.successes >= RECOVERY_SUCCESSES {
            self.is_suspect = false;
            self.failures = 0;
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.successes = 0;
        self.failures = self.failures.saturating_add(1);
        self.error_score = 0.0;
        self.is_suspect = true;
    }
}
