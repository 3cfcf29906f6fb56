//! The stages of the request path that a control client implements.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use futures::channel::oneshot;
use log::info;

use super::CONFIG_FRESH_TIME;
use super::ControlClient;
use super::STARTUP_POLL_PERIOD;
use super::state::Latency;
use super::state::State;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::health;
use crate::fleet::message::Frame;
use crate::fleet::retry_budget::Purpose;
use crate::fleet::upstream_selector::Criteria;
use crate::grant::SpendOutcome;
use crate::id::CustomerId;
use crate::id::Rank;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::notice::Notice;
use crate::quarantine;
use crate::quarantine::CrashRecord;
use crate::stage::AttemptResult;
use crate::stage::Block;
use crate::stage::ChoiceCriteria;
use crate::stage::Chooser;
use crate::stage::ChosenUpstream;
use crate::stage::ClaimOutcome;
use crate::stage::ClaimRequest;
use crate::stage::Claimed;
use crate::stage::Claims;
use crate::stage::Config;
use crate::stage::Limits;
use crate::stage::Quarantine;
use crate::stage::Retry;
use crate::stage::Room;
use crate::stage::RunState;
use crate::stage::Sample;
use crate::stage::Standing;
use crate::view::Customer;
use crate::view::Route;
use crate::view::View;

/// Longest wait of a request for a token; a grant takes two round trips between failure domains.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);

/// Connections of this VM to one upstream when the service states no limit.
const DEFAULT_CONNECTIONS: usize = 8;

/// Part of an upstream's connection limit that the fleet uses; the rest is for connections of old and new
/// processes that overlap at restarts.
const USED_CONNECTION_RATIO: f64 = 0.9;

/// Weight of a new sample in the moving averages of the latency.
const LATENCY_GAIN: f64 = 0.1;

/// Load, in requests in flight per slot, at which an upstream is full for urgent requests. At twice the slots
/// a request waits for about one other and its answer is still in time; beyond that all answers are late.
const URGENT_LOAD_LIMIT: f32 = 2.0;

/// The same for less urgent requests; the difference is left for urgent ones.
const ORDINARY_LOAD_LIMIT: f32 = 1.6;

/// Part of the pause that an upstream asked for by which a VM prolongs it at most.
const CLOSED_SPREAD: f64 = 0.2;

/// Longer than any request, so that it has no effect; see `Chooser::reuse_timeout` below.
const REUSE_TIMEOUT: Duration = Duration::from_secs(3_600);

impl Config for ControlClient {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.shared.state.lock().view)
    }

    /// A VM that has just started gets its configuration within a few hundred milliseconds. Refusing requests
    /// until then would use up the last attempts of callers whose other addresses are down.
    async fn wait_initial(&self) {
        while !self.is_confirmed() && self.is_starting() {
            task::sleep(STARTUP_POLL_PERIOD).await;
        }
    }

    /// Whether refusals by this configuration can be trusted. Requests that it allows are served in any case,
    /// so that a long outage of the control VMs doesn't stop the service.
    fn is_fresh(&self, now: Instant) -> bool {
        let state = self.shared.state.lock();
        if state.view.version == 0 {
            return false;
        }
        state
            .confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONFIG_FRESH_TIME)
    }

    /// A process that has just started may have got its configuration from a control VM that missed the withdrawal
    /// of a key, so one that was never confirmed admits nothing.
    fn admits_stale(&self) -> bool {
        self.is_confirmed()
    }
}

impl Limits for ControlClient {
    async fn take_token(&self, customer: &Customer, deadline: Instant) -> Result<()> {
        if customer.limit.is_unlimited() {
            return Ok(());
        }
        let now = Instant::now();
        let deadline = deadline.min(now + MAX_TOKEN_WAIT);
        let (ticket, mut receiver) = {
            let mut state = self.shared.state.lock();
            let spend = state.token_pool.spend(now, customer, deadline);
            let requests = state.token_pool.due_requests(now, &customer.id);
            state.send_token_requests(requests);
            match spend {
                SpendOutcome::Spent => return Ok(()),
                SpendOutcome::Refused => return self.spend_without_grant(&mut state, customer),
                SpendOutcome::Queued(ticket)
                    if state.is_unowned(now, customer)
                        && state.spend_fallback(now, customer, &self.shared.excess) =>
                {
                    state.token_pool.cancel(&customer.id, ticket);
                    return Ok(());
                }
                SpendOutcome::Queued(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.token_waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let wait = deadline.saturating_duration_since(now);
        if matches!(future::timeout(wait, &mut receiver).await, Ok(Ok(()))) {
            return Ok(());
        }
        let mut state = self.shared.state.lock();
        // The token may have come between the timeout and this point.
        let is_waiting = state.token_waiters.remove(&ticket).is_some();
        state.token_pool.cancel(&customer.id, ticket);
        match is_waiting {
            true => self.spend_without_grant(&mut state, customer),
            false => Ok(()),
        }
    }
}

impl Chooser for ControlClient {
    fn choose(&self, request: &ChoiceCriteria<'_>) -> Result<ChosenUpstream> {
        let now = Instant::now();
        let mut guard = self.shared.state.lock();
        let state = &mut *guard;
        let view = Arc::clone(&state.view);
        state.drop_old_in_flight(now);
        let rank_limit = state.rank_limit(request, URGENT_LOAD_LIMIT);
        let (budget, vms) = state.retry_budget(request.service);
        let may_test = budget.allows(now, &self.shared.retry_bound, vms, Purpose::Test);
        let moment = state.begin_choice(request.service, vms);
        let criteria = Criteria {
            max_load: rank_limit.unwrap_or(match request.urgent {
                true => URGENT_LOAD_LIMIT,
                false => ORDINARY_LOAD_LIMIT,
            }),
            idempotent: request.idempotent,
            may_test,
            service: request.service,
            tried: request.tried,
            vms,
            evacuated: &view.evacuated,
            allowed: state.homes.allowed(&view.homes, request.route, request.customer),
        };
        let choice = state
            .selector
            .choose(now, &state.upstreams, &state.health, &criteria);
        let choice = choice.map_err(|code| state.no_choice(code, request, &criteria.allowed));
        state.ask_permits(moment, request.service);
        let choice = choice?;
        let report = choice.listed.report;
        let connection_limit = state
            .view
            .services
            .get(request.service)
            .map_or(0, |s| s.connections);
        let share =
            f64::from(connection_limit) * USED_CONNECTION_RATIO / state.vm_count.get(now).max(1) as f64;
        Ok(ChosenUpstream {
            service: report.service,
            upstream: report.upstream,
            run_start: report.born,
            domain: report.domain,
            address: report.address,
            connections: match connection_limit {
                0 => DEFAULT_CONNECTIONS,
                _ => (share as usize).max(1),
            },
            reason: match choice.test {
                true => "test",
                false => choice.health.into(),
            },
            permit: choice.permit,
        })
    }

    fn is_available(&self, chosen: &ChosenUpstream, route: &RouteId, customer: Option<&CustomerId>) -> bool {
        let state = self.shared.state.lock();
        if !state.is_at_home(chosen, route, customer) {
            return false;
        }
        let (id, run_start) = (&chosen.upstream, chosen.run_start);
        let is_current = match state.upstreams.get(id) {
            Some(listed) => {
                listed.report.born == run_start && !state.view.is_evacuated(&listed.report.domain)
            }
            // An upstream may also be missing in the list of a control VM that has just started. Its failure domain is
            // then not known.
            None => !state.view.has_departed(id, run_start) && state.view.evacuated.is_empty(),
        };
        is_current && state.selector.is_available(Instant::now(), id, run_start) && state.may_send(chosen)
    }

    fn run_state(&self, chosen: &ChosenUpstream) -> RunState {
        let state = self.shared.state.lock();
        let (id, run_start) = (&chosen.upstream, chosen.run_start);
        if state.view.has_departed(id, run_start) || state.selector.is_leaving(id, run_start) {
            return RunState::Left;
        }
        match state.upstreams.get(id) {
            Some(listed) if listed.report.born > run_start => RunState::Replaced,
            _ => RunState::Unknown,
        }
    }

    fn finish(&self, chosen: ChosenUpstream, sample: Sample) {
        let now = Instant::now();
        let mut state = self.shared.state.lock();
        let target = state.target_seconds(&sample.route);
        let is_recorded = target > 0.0 && {
            let overdue_after = state.overdue_after(&sample.route, target);
            health::was_overdue(sample.result, sample.latency, overdue_after)
        };
        match sample.result {
            AttemptResult::Shed => state.selector.record_shed(now, &chosen.upstream),
            AttemptResult::Refused => state.selector.record_refused(now, &chosen.upstream),
            AttemptResult::Cancelled => {}
            AttemptResult::Answered => {
                state.selector.record_connected(&chosen.upstream);
                state.selector.record_answer(&chosen.upstream);
                let seconds = sample.latency.as_secs_f64();
                let latency = state.latencies.entry(sample.route).or_insert(Latency {
                    mean: seconds,
                    deviation: seconds / 2.0,
                });
                let error = seconds - latency.mean;
                latency.mean += LATENCY_GAIN * error;
                latency.deviation += LATENCY_GAIN * (error.abs() - latency.deviation);
            }
            _ => state.selector.record_connected(&chosen.upstream),
        }
        let is_queued = sample.result == AttemptResult::Late && state.is_queueing(&chosen.upstream);
        state.selector.finish(&chosen.upstream);
        if !is_recorded && !is_queued && matches!(sample.result, AttemptResult::Late | AttemptResult::Stale) {
            state.selector.record_no_answer(now, &chosen.upstream);
        }
        if !is_recorded && !is_queued {
            let sent = now.checked_sub(sample.latency).unwrap_or(now);
            state.record_attempt(now, &chosen.upstream, sample.result, sent);
        }
        let is_urgent = state
            .unsent_results
            .get(&chosen.upstream)
            .is_some_and(|(update, _)| update.is_urgent());
        drop(state);
        if is_urgent {
            self.shared.request_flush();
        }
    }

    fn reconnects(&self) -> bool {
        false
    }

    fn exempts_unsent(&self) -> bool {
        true
    }

    fn may_queue(&self) -> bool {
        self.is_ranked()
    }

    fn is_ranked(&self) -> bool {
        self.shared.state.lock().is_ranked
    }

    fn standing(&self, route: &Route, customer: Option<&CustomerId>) -> Standing {
        self.shared.state.lock().standing(route, customer)
    }

    fn room(&self, service: &ServiceId, rank: Rank) -> Room {
        let state = self.shared.state.lock();
        state.room(Instant::now(), service, rank, URGENT_LOAD_LIMIT)
    }

    fn is_urgent(&self, route: &Route) -> bool {
        self.shared.state.lock().purpose(route) == Purpose::Urgent
    }

    fn allows_retry(&self, retry: &Retry<'_>) -> bool {
        let mut state = self.shared.state.lock();
        let purpose = state.retry_purpose(retry);
        let (budget, vms) = state.retry_budget(&retry.route.service);
        budget.allows(Instant::now(), &self.shared.retry_bound, vms, purpose)
    }

    fn take_retry_for(&self, retry: &Retry<'_>) -> bool {
        let mut state = self.shared.state.lock();
        let purpose = state.retry_purpose(retry);
        let (budget, vms) = state.retry_budget(&retry.route.service);
        budget.take(Instant::now(), &self.shared.retry_bound, vms, purpose)
    }

    fn take_retry(&self, service: &ServiceId) -> bool {
        let mut state = self.shared.state.lock();
        let (budget, vms) = state.retry_budget(service);
        budget.take(Instant::now(), &self.shared.retry_bound, vms, Purpose::Ordinary)
    }

    fn record_overdue(&self, chosen: &ChosenUpstream) {
        let mut state = self.shared.state.lock();
        // A full upstream answers late because of its queue, which is no sign of a gray failure.
        if state.is_queueing(&chosen.upstream) {
            return;
        }
        let now = Instant::now();
        state.selector.record_no_answer(now, &chosen.upstream);
        state.record_attempt(now, &chosen.upstream, AttemptResult::Late, now);
        drop(state);
        self.shared.request_flush();
    }

    fn record_notice(&self, chosen: &ChosenUpstream, notice: Notice) {
        let now = Instant::now();
        let mut state = self.shared.state.lock();
        match notice {
            Notice::Leaving => {
                if state.selector.record_leaving(&chosen.upstream, chosen.run_start) {
                    info!(
                        "upstream leaves: upstream={} born={} source=answer",
                        chosen.upstream, chosen.run_start
                    );
                    state.send_leaving(&chosen.upstream, chosen.run_start);
                }
            }
            Notice::Pause(pause) => {
                info!(
                    "upstream closed: upstream={} ms={} source=answer",
                    chosen.upstream,
                    pause.as_millis()
                );
                // The VMs that were told the same time must not all return at its end.
                let spread = pause.mul_f64(CLOSED_SPREAD * rand::random::<f64>());
                state
                    .selector
                    .record_closed(now, &chosen.upstream, pause + spread);
            }
            Notice::Cold(left) => state.mark_cold(now, chosen, left),
            Notice::Malformed(_) => {}
        }
    }

    fn count_request(&self, service: &ServiceId) {
        let mut state = self.shared.state.lock();
        let (budget, _) = state.retry_budget(service);
        budget.count_request(Instant::now(), &self.shared.retry_bound);
    }

    fn overdue_after(&self, route: &Route) -> Option<Duration> {
        let target = Duration::from_millis(route.target_ms).as_secs_f64();
        if target == 0.0 {
            return None;
        }
        let state = self.shared.state.lock();
        Some(state.overdue_after(&route.id, target))
    }

    /// Another upstream is tried when an attempt is overdue, so a reused connection without an answer needs
    /// no limit of its own.
    fn reuse_timeout(&self, _route: &RouteId) -> Duration {
        REUSE_TIMEOUT
    }
}

impl Quarantine for ControlClient {
    fn block(&self, fingerprint: &str, now: Instant) -> Option<Block> {
        let state = self.shared.state.lock();
        state.crashes.block(now, fingerprint)
    }

    fn record_answer(&self, fingerprint: &str) {
        let mut state = self.shared.state.lock();
        let Some(crash) = state.crashes.record_answer(Instant::now(), fingerprint) else {
            return;
        };
        info!(
            "crash taken back after an answer: fingerprint={}",
            quarantine::short(fingerprint)
        );
        if state.control_revision.is_some_and(|revision| revision > 0) {
            let fingerprint = fingerprint.into();
            state.send(&Frame::CrashTakenBack { fingerprint, crash });
        }
    }

    async fn report(&self, fingerprint: &str) {
        let crash = CrashRecord::of_crash(fingerprint, rand::random());
        let mut state = self.shared.state.lock();
        state.merge_crashes(Instant::now(), &crash);
        state.send_crash(crash);
    }
}

/// Refuses all claims, for a deployment whose callers give each attempt its own request id: no two attempts
/// would share a claim.
pub struct NoClaims;

impl Claims for NoClaims {
    type Ticket = ();

    async fn claim(&self, request: &ClaimRequest, _deadline: Instant) -> Result<Claimed<()>> {
        let id: &RequestId = &request.request;
        Err(Error::new(
            Code::ClaimUnavailable,
            format!("request {id}: this fleet keeps no claims"),
        ))
    }

    fn is_valid(&self, _ticket: &(), _now: Instant) -> bool {
        true
    }

    async fn finish(&self, _ticket: (), _outcome: ClaimOutcome) {}
}

impl ControlClient {
    /// Decides on a request that got no token from a grant: refused while the leader answers token requests,
    /// otherwise admitted if the fallback bucket has a token.
    fn spend_without_grant(&self, state: &mut State, customer: &Customer) -> Result<()> {
        let now = Instant::now();
        if state.token_pool.has_recent_answer(now, &customer.id) {
            return Err(Code::OverRate.into());
        }
        match state.spend_fallback(now, customer, &self.shared.excess) {
            true => Ok(()),
            false => Err(Code::LimitUnavailable.into()),
        }
    }
}
