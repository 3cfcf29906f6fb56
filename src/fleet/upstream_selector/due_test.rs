//! Tests of upstreams by idempotent requests: which are due, and which of them is tested.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::UpstreamSelector;
use crate::fleet::discovery::ListedUpstream;
use crate::fleet::health::HealthTable;
use crate::id::UpstreamId;

/// Share of the tests that go to any failure domain although an upstream of the own one is due: a domain whose
/// callers send few requests cannot test all of its upstreams.
const DISTANT_TEST_SHARE: f64 = 0.2;
/// An upstream without results for this long is tested even when the retry budget is used up: one that gets
/// no request for 2 s does not count towards the capacity of its service.
const FORCED_TEST_AFTER: Duration = Duration::from_millis(1_000);
/// Minimum time between two tests of the same upstream by this VM.
const TEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time without tests of an upstream after its second failure. Each further failure adds this time again, up
/// to [`MAX_FAILURE_PAUSES`] times in total. The failures are those that the whole fleet reports, so the
/// pause holds at every VM.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
const MAX_FAILURE_PAUSES: u16 = 4;

impl UpstreamSelector {
    /// A random upstream that is due for a test; most tests go to the own failure domain while one there is due.
    pub(super) fn draw_for_test<'a>(&mut self, due: &[&'a ListedUpstream]) -> Option<&'a ListedUpstream> {
        let is_near = |l: &&&ListedUpstream| l.report.domain == self.domain;
        let near: Vec<&ListedUpstream> = due.iter().filter(is_near).copied().collect();
        match near.is_empty() || self.rng.random_bool(DISTANT_TEST_SHARE) {
            true => self.random(due),
            false => self.random(&near),
        }
    }

    /// Whether an upstream may be tested. One that failed repeatedly is paused after its last failure, unless
    /// it succeeded since.
    pub(super) fn is_test_due(&self, now: Instant, table: &HealthTable, id: &UpstreamId) -> bool {
        let is_over = |at: Instant, pause| now.saturating_duration_since(at) >= pause;
        let tested = self.locals.get(id).and_then(|l| l.tested_at);
        let failed = table.failed_at(id).filter(|_| table.successes(id) == 0);
        // One failure may be a lost answer of a healthy upstream, so it causes no pause.
        let pauses = table.failures(id).saturating_sub(1).min(MAX_FAILURE_PAUSES);
        let pause = FAILURE_PAUSE * pauses.into();
        tested.is_none_or(|at| is_over(at, TEST_INTERVAL)) && failed.is_none_or(|at| is_over(at, pause))
    }
}

/// Whether the fleet has had no result of an upstream for [`FORCED_TEST_AFTER`].
pub(super) fn is_test_overdue(now: Instant, table: &HealthTable, id: &UpstreamId) -> bool {
    let updated = table.updated_at(id);
    updated.is_none_or(|at| now.saturating_duration_since(at) >= FORCED_TEST_AFTER)
}
