//! Tests of suspect upstreams in a service without idempotent requests.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::UpstreamSelector;
use crate::fleet::discovery::ListedUpstream;
use crate::fleet::health::Health;
use crate::fleet::health::HealthTable;

/// Time without results after which a suspect upstream is tested by a non-idempotent request.
const RETEST_AFTER: Duration = Duration::from_millis(1_500);
/// The same after a second failure in a row. Gray failures last for many seconds, and each test of one may lose
/// a request.
const RETEST_AFTER_FAILURES: Duration = Duration::from_secs(2);
/// The same after a success, when the upstream has probably recovered.
const RETEST_AFTER_SUCCESS: Duration = Duration::from_millis(200);
/// Mean time until one VM of the fleet starts such a test, and between two of them while none has a result. About
/// as long as the reports of requests in flight take, which keep the other VMs from a second test.
const RETEST_SPACING: Duration = Duration::from_millis(250);

/// State of the tests of a suspect upstream by non-idempotent requests of this VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct Retest {
    /// The last result of the fleet, to which the other fields refer.
    updated: Instant,
    /// Until when this VM has decided whether to test.
    decided: Instant,
    /// Least load since that result: requests that the upstream holds without an answer. A higher load is a
    /// test.
    held_load: f32,
}

impl UpstreamSelector {
    /// A suspect upstream that no request of the fleet tests although it may have recovered. Over the fleet
    /// one test starts in [`RETEST_SPACING`] on average, and none while an earlier one has no result.
    pub(super) fn due_for_retest<'a>(
        &mut self,
        now: Instant,
        table: &HealthTable,
        candidates: &[&'a ListedUpstream],
        vms: usize,
    ) -> Option<&'a ListedUpstream> {
        let spacing = RETEST_SPACING * u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
        let mut due = Vec::new();
        for upstream in candidates.iter().copied() {
            let id = &upstream.report.upstream;
            if table.health(now, id) != Health::Suspect {
                continue;
            }
            let Some(updated) = table.updated_at(id) else {
                continue;
            };
            let pause = match (table.successes(id), table.failures(id)) {
                (1.., _) => RETEST_AFTER_SUCCESS,
                (0, 0..=1) => RETEST_AFTER,
                _ => RETEST_AFTER_FAILURES,
            };
            let load = self.load(upstream);
            let retest = &mut self.locals.entry(id.clone()).or_default().retest;
            let retest = match retest {
                Some(retest) if retest.updated == updated => retest,
                _ => retest.insert(Retest {
                    updated,
                    decided: updated + pause,
                    held_load: load,
                }),
            };
            retest.held_load = retest.held_load.min(load);
            // By the time since the last decision, so that the rate of the fleet's tests depends neither on the
            // number of VMs nor on how many requests each gets.
            let undecided = now.saturating_duration_since(retest.decided);
            retest.decided = retest.decided.max(now);
            let chance = 1.0 - (-undecided.as_secs_f64() / spacing.as_secs_f64()).exp();
            if load <= retest.held_load && self.rng.random_bool(chance) {
                due.push(upstream);
            }
        }
        self.random(&due)
    }
}
