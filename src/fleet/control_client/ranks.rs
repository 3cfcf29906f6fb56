//! What the control client decides by the rank of a request.

use std::time::Duration;
use std::time::Instant;

use log::warn;

use super::state::State;
use crate::fleet::discovery::AnnouncedState;
use crate::fleet::retry_budget::Purpose;
use crate::id::CustomerId;
use crate::id::Rank;
use crate::id::ServiceId;
use crate::stage::ChoiceCriteria;
use crate::stage::Retry;
use crate::stage::Room;
use crate::stage::Standing;
use crate::view::Route;

/// Age from which the reported requests in flight of the other VMs are not used. They are reported every 150 ms, those
/// of other failure domains every 600 ms; without them a VM knows only its own.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(2);

impl State {
    /// Rank of a request and usual latency of its route.
    pub(super) fn standing(&self, route: &Route, customer: Option<&CustomerId>) -> Standing {
        if !self.is_ranked {
            return Standing::default();
        }
        let customer = customer.and_then(|id| self.view.customers.get(id));
        let usual = self.latencies.get(&route.id).map_or(0.0, |l| l.mean);
        Standing {
            rank: customer.and_then(|c| c.priority).unwrap_or(route.priority),
            usual: Duration::try_from_secs_f64(usual).unwrap_or_default(),
        }
    }

    /// Load limit for the rank of a request, where requests compete by rank; `highest` is that of the highest rank.
    pub(super) fn rank_limit(&self, request: &ChoiceCriteria<'_>, highest: f32) -> Option<f32> {
        let level = || self.ranks.level(request.service, request.rank);
        self.is_ranked.then(|| level().load_limit(highest))
    }

    /// What a further attempt of a request is for.
    pub(super) fn retry_purpose(&self, retry: &Retry<'_>) -> Purpose {
        if !self.is_ranked {
            return self.purpose(retry.route);
        }
        let rank = self.standing(retry.route, retry.customer).rank;
        Purpose::Ranked(self.ranks.level(&retry.route.service, rank))
    }

    /// The room that a rank has at the ready upstreams of a service.
    pub(super) fn room(&self, now: Instant, service: &ServiceId, rank: Rank, highest: f32) -> Room {
        let limit = self.ranks.level(service, rank).load_limit(highest);
        let ready = self
            .upstreams
            .iter()
            .filter(|l| l.report.service == *service && l.report.state == AnnouncedState::Ready);
        // A request fits while the load before it is below the limit.
        let places = ready.map(|l| {
            let free = (limit - self.selector.load(l)) * l.report.slots.max(1) as f32;
            // A rounding error must not add a place.
            (free - 1e-3).max(0.0).ceil() as usize
        });
        Room {
            places: places.sum(),
            report_age: self.in_flight_at.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Notes that the requests in flight of the whole fleet were reported. A report leaves out the upstreams that have
    /// none, so where requests compete by rank, the counts of the one before are dropped.
    pub(super) fn begin_in_flight_report(&mut self, now: Instant) {
        self.in_flight_at = Some(now);
        if self.is_ranked {
            self.selector.clear_remote_in_flight();
        }
    }

    /// Drops the reported requests in flight of the other VMs when they are too old, where requests compete by rank.
    pub(super) fn drop_old_in_flight(&mut self, now: Instant) {
        let is_old = |at: &mut Instant| now.saturating_duration_since(*at) >= IN_FLIGHT_TTL;
        if !self.is_ranked {
            return;
        }
        if let Some(at) = self.in_flight_at.take_if(is_old) {
            let age_ms = now.saturating_duration_since(at).as_millis();
            warn!("requests in flight of other VMs not used: report_age_ms={age_ms}");
            self.selector.clear_remote_in_flight();
        }
    }
}
