//! Control client of an entry VM: keeps a connection to one control VM at a time and implements the stages of
//! the request path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::task;
use log::info;
use log::warn;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::state::State;
use self::state::millis;
use crate::admission::level::RankTable;
use crate::component::Component;
use crate::fleet::control_selector::ControlList;
use crate::fleet::control_selector::ControlSelector;
use crate::fleet::control_selector::LeaveReason;
use crate::fleet::control_server;
use crate::fleet::crash_policy;
use crate::fleet::discovery::Announcement;
use crate::fleet::discovery::UpstreamTable;
use crate::fleet::entry_list::EntryList;
use crate::fleet::health::HealthTable;
use crate::fleet::health::HealthUpdate;
use crate::fleet::homes::HomeRules;
use crate::fleet::homes::Regions;
use crate::fleet::link;
use crate::fleet::link::HEARTBEAT_PERIOD;
use crate::fleet::link::Link;
use crate::fleet::link::Reader;
use crate::fleet::message::EntryVm;
use crate::fleet::message::Frame;
use crate::fleet::retry_budget::RetryBound;
use crate::fleet::retry_budget::RetryBudget;
use crate::fleet::retry_budget::Totals;
use crate::fleet::upstream_selector::UpstreamSelector;
use crate::fleet::vm_count::VmCount;
use crate::fleet::warmup::WarmupBound;
use crate::fleet::warmup::gate::Gate;
use crate::grant::Excess;
use crate::grant::TokenPool;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VmName;
use crate::job::Jobs;
use crate::moment::Moment;
use crate::quarantine::CrashRecord;
use crate::quarantine::CrashTable;
use crate::timer::Timer;

pub use self::stages::NoClaims;

mod directory;
mod homes;
mod ranks;
mod stages;
mod state;
mod warmup;

/// Pause after all known control VMs were tried once, before they are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// The client leaves a control VM that reports no leader for this time. This time and the time in which a
/// control VM detects that it is cut off are part of the 2 s in which a change must be in force.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// The configuration counts as confirmed for this time after a heartbeat of a control VM that has a leader.
/// A connection to a control VM is also kept at least for this time before the client moves to a nearer one.
const CONFIG_FRESH_TIME: Duration = Duration::from_millis(1_500);
/// Delay of a report of failures, so that those that occur together go into one message.
const URGENT_FLUSH_DELAY: Duration = Duration::from_millis(5);
/// Requests wait for the configuration until this time after the start of the process, which covers an
/// election of the control group and a few round trips. Later requests are refused at once.
const STARTUP_WAIT: Duration = Duration::from_millis(500);
/// Time between checks while the process is starting.
const STARTUP_POLL_PERIOD: Duration = Duration::from_millis(10);
/// Time between reports of results, retry counts and requests in flight; failures are sent at once.
const REPORT_PERIOD: Duration = Duration::from_millis(150);
/// Time between checks for token grants that expire or are to be reported.
const TOKEN_PERIOD: Duration = Duration::from_millis(100);

/// Settings of a control client.
#[derive(Debug, Clone)]
pub struct ControlClientSettings {
    /// This VM; it is not ready at the start.
    pub entry: EntryVm,
    /// Control VMs to connect to at the start, by their names, which are their addresses.
    pub seeds: Vec<VmName>,
    /// Distinguishes this run of the VM from earlier ones, for token requests.
    pub incarnation: Incarnation,
    /// Bound on retries.
    pub retry_bound: RetryBound,
    /// How far customers may exceed their limits while no control VM grants tokens.
    pub excess: Excess,
    /// How far the requests to a cold upstream may exceed what it tolerates.
    pub warmup: WarmupBound,
    /// Whether requests compete for the room of a service by rank.
    pub is_ranked: bool,
    /// Region of each failure domain.
    pub regions: Regions,
}

struct Shared {
    state: Mutex<State>,
    seeds: Mutex<Vec<VmName>>,
    retry_bound: RetryBound,
    excess: Excess,
    started: Instant,
    /// Wakes the task that sends a report before the next period.
    flush_requests: Sender<()>,
}

/// A running control client; clones share it.
#[derive(Clone)]
pub struct ControlClient {
    shared: Arc<Shared>,
    jobs: Arc<Jobs>,
}

impl ControlClient {
    /// Starts the tasks that keep a connection to a control VM.
    pub fn spawn(settings: ControlClientSettings, seed: u64, timer: &Timer) -> Self {
        let ControlClientSettings {
            entry,
            seeds,
            incarnation,
            retry_bound,
            excess,
            warmup,
            is_ranked,
            regions,
        } = settings;
        let (flush_requests, requests) = channel::bounded(1);
        let mut selector = UpstreamSelector::new(entry.domain.clone(), StdRng::seed_from_u64(seed));
        selector.set_gate(Gate::new(Moment::now(), entry.vm.clone(), warmup, rand::random()));
        let mut state = State {
            view: Arc::default(),
            confirmed_at: None,
            upstreams: UpstreamTable::default(),
            health: HealthTable::default(),
            selector,
            homes: HomeRules::new(regions),
            retry_budgets: HashMap::new(),
            unsent_results: HashMap::new(),
            token_pool: TokenPool::with_shares(entry.vm.clone(), incarnation, control_server::TOKEN_SHARES),
            token_waiters: HashMap::new(),
            fallback_buckets: HashMap::new(),
            granted_at: None,
            entry_list: EntryList::default(),
            vm_count: VmCount::default(),
            controls: ControlList::default(),
            link: None,
            control_revision: None,
            crashes: CrashTable::new(crash_policy::ENTRY),
            latencies: HashMap::new(),
            is_ranked,
            ranks: RankTable::default(),
            in_flight_at: None,
            entry,
        };
        state.observe_running(Instant::now());
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            seeds: Mutex::new(seeds),
            retry_bound,
            excess,
            started: Instant::now(),
            flush_requests,
        });
        let jobs = Jobs::default();
        let connector = Arc::clone(&shared);
        jobs.spawn(async move { connector.keep_connected().await });
        let flusher = Arc::clone(&shared);
        jobs.spawn(async move { flusher.flush_on_request(requests).await });
        type PeriodicTask = fn(&Shared);
        let tasks: [(Duration, PeriodicTask); 3] = [
            (HEARTBEAT_PERIOD, Shared::send_heartbeat),
            (REPORT_PERIOD, Shared::flush_reports),
            (TOKEN_PERIOD, Shared::refresh_tokens),
        ];
        for (period, run) in tasks {
            let (ticks, shared) = (timer.subscribe(period), Arc::clone(&shared));
            jobs.spawn(async move {
                while ticks.next().await.is_some() {
                    run(&shared);
                }
            });
        }
        Self {
            shared,
            jobs: Arc::new(jobs),
        }
    }

    /// Announces whether the address of this VM may be given to callers.
    pub fn set_ready(&self, is_ready: bool) {
        let mut state = self.shared.state.lock();
        if state.entry.is_ready == is_ready {
            return;
        }
        state.entry.is_ready = is_ready;
        let frame = state.hello();
        if let Some(link) = &state.link {
            link.send(&frame);
        }
    }

    /// Replaces the control VMs given at the start.
    pub fn set_seeds(&self, seeds: Vec<VmName>) {
        *self.shared.seeds.lock() = seeds;
    }

    /// Whether requests may still wait for the configuration and the list of entry VMs.
    fn is_starting(&self) -> bool {
        self.shared.started.elapsed() < STARTUP_WAIT
    }

    /// Whether a configuration has been received and, since this process started, a control VM that has a leader
    /// has confirmed it.
    pub fn is_confirmed(&self) -> bool {
        let state = self.shared.state.lock();
        state.view.version > 0 && state.confirmed_at.is_some()
    }
}

impl Component for ControlClient {
    const NAME: &'static str = "uplink";

    async fn stop(&self) {
        self.jobs.stop().await;
        if let Some(link) = self.shared.state.lock().link.take() {
            link.close();
        }
    }
}

impl Shared {
    /// Connects to one control VM after another, whenever the connection before has ended.
    async fn keep_connected(&self) {
        let mut selector = ControlSelector::default();
        loop {
            let Some(vm) = self.next_candidate(&selector) else {
                task::sleep(ROUND_PAUSE).await;
                selector.start_round();
                continue;
            };
            selector.mark_tried(&vm);
            let Ok(address) = vm.parse::<SocketAddr>() else {
                warn!("control VM {vm} not connected: its name is not an address");
                continue;
            };
            let reason = match link::connect(address).await {
                Ok((link, mut reader)) => {
                    reader.set_idle_timeout(link::ENTRY_IDLE_TIMEOUT);
                    self.use_connection(&vm, link, reader, &selector).await
                }
                Err(e) => LeaveReason::Failed(e.to_string()),
            };
            warn!("control VM lost: vm={vm} reason=\"{reason}\"");
            if matches!(reason, LeaveReason::Stale) {
                selector.record_cut_off(Instant::now(), self.state.lock().controls.listed());
            }
            selector.record_leave(&vm, Instant::now(), &reason);
        }
    }

    /// The control VM to try next; `None` if all were tried in this round.
    fn next_candidate(&self, selector: &ControlSelector) -> Option<VmName> {
        let seeds = self.seeds.lock().clone();
        let state = self.state.lock();
        selector.next(Instant::now(), &state.entry, &state.controls.all(), &seeds)
    }

    /// Uses the connection to a control VM until it ends, the VM reports no leader for [`NO_LEADER_TIMEOUT`],
    /// or a control VM in the own failure domain is available instead.
    async fn use_connection(
        &self,
        vm: &VmName,
        link: Link,
        mut reader: Reader,
        selector: &ControlSelector,
    ) -> LeaveReason {
        {
            let mut state = self.state.lock();
            link.send(&state.hello());
            state.link = Some(link.clone());
            state.selector.gate_mut().contact.connected(Moment::now());
            state.entry_list.connect(Instant::now());
            // States the revision at once, so that the control VM sends its suspects before requests arrive.
            state.send(&state.heartbeat());
        }
        info!("control VM connected: vm={vm}");
        let mut no_leader_since: Option<Instant> = None;
        let started = Instant::now();
        let reason = loop {
            let frame = match reader.next().await {
                Ok(frame) => frame,
                Err(e) => break LeaveReason::Failed(e.to_string()),
            };
            let now = Instant::now();
            if let Frame::Heartbeat { is_fresh, .. } = frame {
                no_leader_since = if is_fresh {
                    None
                } else {
                    no_leader_since.or(Some(now))
                };
            }
            self.handle_frame(now, frame);
            if no_leader_since.is_some_and(|at| now.saturating_duration_since(at) >= NO_LEADER_TIMEOUT) {
                break LeaveReason::Stale;
            }
            let is_settled = now.saturating_duration_since(started) >= CONFIG_FRESH_TIME;
            if is_settled && no_leader_since.is_none() && self.has_nearer(now, vm, selector) {
                break LeaveReason::Nearer;
            }
        };
        link.close();
        let mut state = self.state.lock();
        state.link = None;
        state.control_revision = None;
        state.selector.gate_mut().permits.disconnect();
        state.retry_budgets.values_mut().for_each(RetryBudget::disconnect);
        reason
    }

    /// Whether a control VM of the own failure domain is available while `vm` is in another.
    fn has_nearer(&self, now: Instant, vm: &VmName, selector: &ControlSelector) -> bool {
        let state = self.state.lock();
        selector.has_nearer(now, vm, &state.entry, state.controls.listed())
    }

    /// Handles one message of the control VM.
    fn handle_frame(&self, now: Instant, frame: Frame) {
        let mut state = self.state.lock();
        state.observe_running(now);
        state.entry_list.record_message(now);
        match frame {
            Frame::Heartbeat {
                is_fresh, revision, ..
            } => {
                if is_fresh {
                    state.confirmed_at = Some(now);
                    state.selector.gate_mut().contact.heard(Moment::now());
                }
                state.set_control_revision(now, revision);
            }
            Frame::Controls(controls) => state.controls.update(now, controls),
            Frame::Entries(entries) => {
                state.vm_count.observe(now, entries.len());
                state.entry_list.set(now, entries);
            }
            Frame::Announcements { is_complete, reports } => {
                if is_complete {
                    let reported: std::collections::HashSet<&UpstreamId> =
                        reports.iter().map(|r| &r.upstream).collect();
                    let gone: Vec<UpstreamId> = state
                        .upstreams
                        .iter()
                        .map(|l| l.report.upstream.clone())
                        .filter(|id| !reported.contains(id))
                        .collect();
                    for id in &gone {
                        state.upstreams.remove(id);
                    }
                }
                let view = Arc::clone(&state.view);
                let not_departed = |r: &Announcement| !view.has_departed(&r.upstream, r.born);
                for report in reports.into_iter().filter(not_departed) {
                    state.upstreams.announce(now, report);
                }
                state.drop_unlisted();
            }
            Frame::ExpiredUpstreams(upstreams) => {
                for id in &upstreams {
                    state.upstreams.remove(id);
                }
                state.drop_unlisted();
            }
            Frame::Results(updates) => {
                for update in &updates {
                    state.apply_results(now, update);
                }
            }
            Frame::InFlight(in_flight) => {
                let own: HashMap<UpstreamId, u32> = state
                    .selector
                    .in_flight()
                    .map(|(id, n)| (id.clone(), n))
                    .collect();
                state.begin_in_flight_report(now);
                for (id, count) in in_flight {
                    let others = f32::from(count) - own.get(&id).copied().unwrap_or(0) as f32;
                    state.selector.set_remote_in_flight(&id, others.max(0.0));
                }
            }
            Frame::Usage(usage) => {
                for (service, totals) in usage {
                    state
                        .retry_budgets
                        .entry(service)
                        .or_default()
                        .set_fleet_totals(now, totals);
                }
            }
            Frame::Config(update) => state.apply_config(update),
            Frame::Grant { grant, .. } => state.apply_grant(now, &grant),
            Frame::Crash { fingerprint } => {
                state.merge_crashes(now, &CrashRecord::of_crash(&fingerprint, rand::random()));
            }
            Frame::CrashTakenBack { fingerprint, crash } => {
                state.crashes.take_back(now, &fingerprint, crash);
            }
            Frame::CrashRecords(records) => {
                for record in &records {
                    state.merge_crashes(now, record);
                }
            }
            Frame::WarmupGrant { grant, .. } => state.receive_permits(grant),
            _ => {}
        }
    }

    /// Requests a report before the next period.
    fn request_flush(&self) {
        // A full channel means that a report is already requested.
        let _ = self.flush_requests.try_send(());
    }

    /// Sends a report [`URGENT_FLUSH_DELAY`] after each call of [`Shared::request_flush`].
    async fn flush_on_request(&self, requests: Receiver<()>) {
        while requests.recv().await.is_ok() {
            task::sleep(URGENT_FLUSH_DELAY).await;
            self.flush_reports();
        }
    }

    /// Sends the results and retry counts since the last report, and the requests in flight.
    fn flush_reports(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.link.is_none() {
            return;
        }
        let updates: Vec<HealthUpdate> = state
            .unsent_results
            .drain()
            .map(|(_, (update, sent))| HealthUpdate {
                age_ms: millis(now.saturating_duration_since(sent)),
                ..update
            })
            .collect();
        if !updates.is_empty() {
            state.send(&Frame::Results(updates));
        }
        let usage = state
            .retry_budgets
            .iter_mut()
            .map(|(id, b)| (id.clone(), b.take_unreported()));
        let usage: Vec<(ServiceId, Totals)> = usage.filter(|(_, t)| *t != Totals::default()).collect();
        if !usage.is_empty() {
            state.send(&Frame::Usage(usage));
        }
        let in_flight = state.selector.in_flight().filter(|(_, n)| *n > 0);
        let in_flight = in_flight.map(|(id, n)| (id.clone(), u16::try_from(n).unwrap_or(u16::MAX)));
        let in_flight: Vec<(UpstreamId, u16)> = in_flight.collect();
        state.send(&Frame::InFlight(in_flight));
    }

    fn send_heartbeat(&self) {
        let mut state = self.state.lock();
        state.observe_running(Instant::now());
        state.send(&state.heartbeat());
    }

    /// Drops expired token grants and permits, and sends the requests for either and the spend reports that are due.
    fn refresh_tokens(&self) {
        let mut state = self.state.lock();
        state.refresh_permits(Moment::now());
        let requests = state.token_pool.tick(Instant::now());
        state.send_token_requests(requests);
    }
}
