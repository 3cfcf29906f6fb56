//! State of the control client: an entry VM's view of the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::channel::oneshot;
use log::info;
use smol_str::SmolStr;

use crate::admission::level::RankTable;
use crate::fleet::control_selector::ControlList;
use crate::fleet::discovery::UpstreamTable;
use crate::fleet::entry_list::EntryList;
use crate::fleet::fallback_bucket::FallbackBucket;
use crate::fleet::fallback_bucket::FallbackShare;
use crate::fleet::health::Health;
use crate::fleet::health::HealthTable;
use crate::fleet::health::HealthUpdate;
use crate::fleet::homes::HomeRules;
use crate::fleet::link::Link;
use crate::fleet::message::ConfigUpdate;
use crate::fleet::message::EntryVm;
use crate::fleet::message::Frame;
use crate::fleet::message::LEAVING_REVISION;
use crate::fleet::message::REVISION;
use crate::fleet::retry_budget::Purpose;
use crate::fleet::retry_budget::RetryBudget;
use crate::fleet::upstream_selector::UpstreamSelector;
use crate::fleet::vm_count::VmCount;
use crate::grant::Excess;
use crate::grant::Grant;
use crate::grant::TokenPool;
use crate::grant::TokenRequest;
use crate::grant::pool::Ticket;
use crate::id::CustomerId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::quarantine;
use crate::quarantine::CrashRecord;
use crate::quarantine::CrashTable;
use crate::stage::AttemptResult;
use crate::view::Customer;
use crate::view::Route;
use crate::view::View;

/// An attempt is overdue at the mean latency plus this many mean deviations.
pub(super) const OVERDUE_DEVIATIONS: f64 = 8.0;

/// Shortest time after which an attempt is overdue, as a part of the route's target latency. The longest is
/// the target itself.
pub(super) const MIN_OVERDUE_RATIO: f64 = 0.6;

/// Moving averages of the latency of a route, in seconds.
#[derive(Clone, Copy)]
pub(super) struct Latency {
    pub(super) mean: f64,
    pub(super) deviation: f64,
}

/// What the control client keeps under its lock.
pub(super) struct State {
    pub(super) entry: EntryVm,
    pub(super) view: Arc<View>,
    /// When a control VM that has a leader last confirmed the configuration.
    pub(super) confirmed_at: Option<Instant>,
    pub(super) upstreams: UpstreamTable,
    pub(super) health: HealthTable,
    pub(super) selector: UpstreamSelector,
    pub(super) homes: HomeRules,
    pub(super) retry_budgets: HashMap<ServiceId, RetryBudget>,
    /// Results since the last report, and when the latest successful request at each upstream was sent.
    pub(super) unsent_results: HashMap<UpstreamId, (HealthUpdate, Instant)>,
    pub(super) token_pool: TokenPool,
    /// Requests that wait for a token.
    pub(super) token_waiters: HashMap<Ticket, oneshot::Sender<()>>,
    pub(super) fallback_buckets: HashMap<CustomerId, FallbackBucket>,
    /// When the last answer of the leader to a token request arrived; refusals of other VMs don't count.
    pub(super) granted_at: Option<Instant>,
    /// All entry VMs, from the last list of the control VM.
    pub(super) entry_list: EntryList,
    /// Number of entry VMs that share limits and budgets.
    pub(super) vm_count: VmCount,
    /// Control VMs, from the lists of the control VM.
    pub(super) controls: ControlList,
    /// Connection to a control VM.
    pub(super) link: Option<Link>,
    /// Revision of the messages of that control VM, from its first heartbeat on.
    pub(super) control_revision: Option<u8>,
    /// Crashes of upstreams by the fingerprint of the request.
    pub(super) crashes: CrashTable,
    /// Latencies by route.
    pub(super) latencies: HashMap<SmolStr, Latency>,
    /// Whether requests compete by rank.
    pub(super) is_ranked: bool,
    pub(super) ranks: RankTable,
    /// When the requests in flight from the other VMs were last reported.
    pub(super) in_flight_at: Option<Instant>,
}

impl State {
    /// First message on a connection, sent again when the description of this VM changes.
    pub(super) fn hello(&self) -> Frame {
        Frame::Entry {
            entry: self.entry.clone(),
            version: self.view.version,
        }
    }

    pub(super) fn heartbeat(&self) -> Frame {
        Frame::Heartbeat {
            is_fresh: true,
            version: self.view.version,
            revision: REVISION,
        }
    }

    /// Sends to the control VM, if one is connected.
    pub(super) fn send(&self, frame: &Frame) {
        if let Some(link) = &self.link {
            link.send(frame);
        }
    }

    /// Applies the result of an attempt whose request was sent at `sent`, and adds it to the next report.
    pub(super) fn record_attempt(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        attempt: AttemptResult,
        sent: Instant,
    ) {
        let mut update = HealthUpdate {
            upstream: upstream.clone(),
            ..HealthUpdate::default()
        };
        match attempt {
            AttemptResult::Answered => update.good = 1,
            AttemptResult::Failed | AttemptResult::Late | AttemptResult::Stale => update.soft = 1,
            AttemptResult::Died | AttemptResult::Cut => update.hard = 1,
            AttemptResult::Shed | AttemptResult::Refused | AttemptResult::Cancelled => return,
        }
        // An upstream that fails new requests may still answer those that it was already running.
        if update.good > 0 && self.health.failed_at(upstream).is_some_and(|at| sent <= at) {
            return;
        }
        update.age_ms = millis(now.saturating_duration_since(sent));
        self.apply_results(now, &update);
        let unsent = self
            .unsent_results
            .entry(upstream.clone())
            .or_insert_with(|| (HealthUpdate::empty(upstream), now));
        unsent.0.add(&update);
        if update.good > 0 {
            unsent.1 = unsent.1.max(sent);
        }
    }

    /// Applies results, of this VM or of others, and logs a change to or from suspect.
    pub(super) fn apply_results(&mut self, now: Instant, update: &HealthUpdate) {
        let before = self.health.health(now, &update.upstream);
        self.health.apply(now, update);
        let after = self.health.health(now, &update.upstream);
        if before == after || (before != Health::Suspect && after != Health::Suspect) {
            return;
        }
        let (before, after): (&str, &str) = (before.into(), after.into());
        info!(
            "upstream health: upstream={} before={before} after={after} good={} soft={} hard={} age_ms={}",
            update.upstream, update.good, update.soft, update.hard, update.age_ms
        );
    }

    /// Drops the state of upstreams that are no longer listed.
    pub(super) fn drop_unlisted(&mut self) {
        let upstreams = &self.upstreams;
        self.health.retain(|id| upstreams.get(id).is_some());
        self.selector
            .retain(Instant::now(), |id| upstreams.get(id).is_some());
        self.unsent_results.retain(|id, _| upstreams.get(id).is_some());
    }
}

/// Whole milliseconds, at most `u16::MAX`, as messages hold them in 16 bits.
pub(super) fn millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}

impl State {
    /// Applies the part of a configuration update that is newer than the view.
    pub(super) fn apply_config(&mut self, update: ConfigUpdate) {
        let before = self.view.version;
        let (evacuated, former) = (self.view.evacuated.clone(), self.view.homes.clone());
        match update {
            ConfigUpdate::Full(view) if view.version > before => self.view = Arc::new(*view),
            ConfigUpdate::Full(_) => {}
            ConfigUpdate::Changes(changes) => {
                let view = Arc::make_mut(&mut self.view);
                for delta in changes.iter().filter(|d| d.version > before) {
                    delta.apply(view);
                }
            }
        }
        if self.view.version == before {
            return;
        }
        let view = Arc::clone(&self.view);
        info!(
            "configuration in force: version={} edition={}",
            view.version, view.edition
        );
        self.homes.record_change(Instant::now(), &former, &view);
        self.token_pool.set_limits(&view.customers);
        self.ranks = RankTable::new(&view);
        self.upstreams.remove_departed(&view.departed);
        self.apply_warmups(&evacuated, &view);
        self.selector
            .retain_leaving(|id, run_start| !view.has_departed(id, run_start));
        self.drop_unlisted();
    }

    /// Sends token requests to the control VM.
    pub(super) fn send_token_requests(&self, requests: Vec<TokenRequest>) {
        for request in requests {
            self.send(&Frame::TokenRequest(request));
        }
    }

    /// Sends all known crashes when the control VM has stated its revision: it may have restarted, and reports
    /// may have been lost with the connection before.
    pub(super) fn set_control_revision(&mut self, now: Instant, revision: u8) {
        if self.control_revision.replace(revision).is_some() || revision == 0 {
            return;
        }
        self.selector
            .leaving()
            .for_each(|(id, run_start)| self.send_leaving(id, run_start));
        let records = self.crashes.records(now, 1);
        if !records.is_empty() {
            info!("crashes sent to the control VM: records={}", records.len());
            self.send(&Frame::CrashRecords(records));
        }
    }

    /// Sends a crash to the control VM. One that happens while none is connected, or before its revision is
    /// known, is sent by [`State::set_control_revision`].
    pub(super) fn send_crash(&self, crash: CrashRecord) {
        match self.control_revision {
            None => info!(
                "crash sent later: fingerprint={} reason=\"no control VM is connected\"",
                quarantine::short(&crash.fingerprint)
            ),
            Some(0) => self.send(&Frame::Crash {
                fingerprint: crash.fingerprint,
            }),
            Some(_) => self.send(&Frame::CrashRecords(vec![crash])),
        }
    }

    /// Tells the control VM that a run of an upstream leaves. While none is connected, or before its revision is
    /// known, it is sent by [`State::set_control_revision`].
    pub(super) fn send_leaving(&self, upstream: &UpstreamId, run_start: u64) {
        if self.control_revision.is_some_and(|r| r >= LEAVING_REVISION) {
            let upstream = upstream.clone();
            self.send(&Frame::Leaving { upstream, run_start });
        }
    }

    /// Adds what this VM or another one knows of the crashes that a request caused.
    pub(super) fn merge_crashes(&mut self, now: Instant, record: &CrashRecord) {
        let outcome = self.crashes.merge(now, record);
        let name = quarantine::short(&record.fingerprint);
        if outcome.is_newly_blocked {
            info!(
                "fingerprint blocked: fingerprint={name} crashes={}",
                outcome.crashes
            );
        } else if outcome.is_new && outcome.crashes > 1 {
            info!("crash counted: fingerprint={name} crashes={}", outcome.crashes);
        }
    }

    /// Time without an answer after which an attempt is overdue: a latency that a healthy upstream rarely
    /// exceeds. `target` is the target latency of the route in seconds.
    pub(super) fn overdue_after(&self, route: &RouteId, target: f64) -> Duration {
        let latency = self.latencies.get(route);
        let usual_max = latency.map(|l| l.mean + OVERDUE_DEVIATIONS * l.deviation);
        let seconds = usual_max.unwrap_or(target);
        Duration::from_secs_f64(seconds.clamp(target * MIN_OVERDUE_RATIO, target))
    }

    /// Whether an upstream has more requests in flight than slots.
    pub(super) fn is_queueing(&self, id: &UpstreamId) -> bool {
        let listed = self.upstreams.get(id);
        listed.is_some_and(|l| self.selector.load(l) > 1.0)
    }

    /// Target latency of a route in seconds, 0 if it has none.
    pub(super) fn target_seconds(&self, route: &RouteId) -> f64 {
        let found = self.view.routes.iter().find(|r| r.id == *route);
        found.map_or(0.0, |r| Duration::from_millis(r.target_ms).as_secs_f64())
    }

    /// The retry budget of a service, and the number of VMs that share it.
    pub(super) fn retry_budget(&mut self, service: &ServiceId) -> (&mut RetryBudget, usize) {
        let vms = self.vm_count.get(Instant::now());
        (self.retry_budgets.entry(service.clone()).or_default(), vms)
    }

    /// The purpose of a retry on a route: urgent if no route of its service has a higher priority. 0 is the
    /// highest.
    pub(super) fn purpose(&self, route: &Route) -> Purpose {
        let same_service = |r: &&Route| r.services().any(|s| *s == route.service);
        let priorities = self.view.routes.iter().filter(same_service).map(|r| r.priority);
        let highest = priorities.min();
        match highest.is_some_and(|highest| route.priority > highest) {
            true => Purpose::Ordinary,
            false => Purpose::Urgent,
        }
    }

    /// Applies an answer to a token request: waiting requests get its tokens.
    pub(super) fn apply_grant(&mut self, now: Instant, grant: &Grant) {
        if grant.life_us > 0 {
            self.log_fallback(now, &grant.customer);
            self.granted_at = Some(now);
        }
        for ticket in self.token_pool.receive(now, grant) {
            // Sending fails if the request has timed out; it then cancels its ticket itself.
            let _ = self.token_waiters.remove(&ticket).map(|w| w.send(()));
        }
        let requests = self.token_pool.due_requests(now, &grant.customer);
        self.send_token_requests(requests);
    }

    /// Logs the tokens that this VM has spent of a customer since the leader answered last.
    fn log_fallback(&mut self, now: Instant, customer: &CustomerId) {
        let Some(bucket) = self.fallback_buckets.get_mut(customer) else {
            return;
        };
        let tokens = bucket.take_spent();
        if tokens == 0 {
            return;
        }
        let age = self.granted_at.map(|at| now.saturating_duration_since(at));
        info!(
            "tokens spent without a leader: customer={customer} tokens={tokens} leader_age_ms={} vms={}",
            age.unwrap_or_default().as_millis(),
            self.vm_count.get(now)
        );
    }

    /// Whether no control VM currently grants tokens of the customer.
    pub(super) fn is_unowned(&self, now: Instant, customer: &Customer) -> bool {
        self.link.is_none() || self.token_pool.is_unowned(now, &customer.id)
    }

    /// Whether the fallback bucket of the customer admits a request.
    pub(super) fn spend_fallback(&mut self, now: Instant, customer: &Customer, excess: &Excess) -> bool {
        let vms = self.vm_count.get(now);
        if vms == 0 {
            return false;
        }
        let share = FallbackShare::new(customer.limit, excess, vms);
        let last_answer = self.granted_at.unwrap_or(now);
        let bucket = self
            .fallback_buckets
            .entry(customer.id.clone())
            .or_insert_with(|| FallbackBucket::new(&share, last_answer));
        bucket.spend(now, &share, last_answer, rand::random())
    }
}
