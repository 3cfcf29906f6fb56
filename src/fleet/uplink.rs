//! Entry side of a fleet: follows one control VM and serves the request path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::task;
use futures::channel::oneshot;
use log::info;
use log::warn;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::budget::Bound;
use crate::fleet::budget::Budget;
use crate::fleet::budget::Purpose;
use crate::fleet::budget::Totals;
use crate::fleet::followed::Followed;
use crate::fleet::followed::Left;
use crate::fleet::hub;
use crate::fleet::link;
use crate::fleet::link::BEAT;
use crate::fleet::link::Link;
use crate::fleet::link::Reader;
use crate::fleet::message::ControlVm;
use crate::fleet::message::EntryVm;
use crate::fleet::message::Frame;
use crate::fleet::message::Sync;
use crate::fleet::outlook::Note;
use crate::fleet::outlook::Outlook;
use crate::fleet::outlook::Standing;
use crate::fleet::roster;
use crate::fleet::roster::Announcement;
use crate::fleet::roster::Roster;
use crate::fleet::steer::Steer;
use crate::fleet::steer::Want;
use crate::grant::Ask;
use crate::grant::Spend;
use crate::grant::Wallet;
use crate::grant::wallet::Ticket;
use crate::id::CustomerId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VmName;
use crate::job::Jobs;
use crate::kernel::Service;
use crate::stage::Attempt;
use crate::stage::ChooseAsk;
use crate::stage::Chooser;
use crate::stage::ClaimAsk;
use crate::stage::Claimed;
use crate::stage::Claims;
use crate::stage::Config;
use crate::stage::Ending;
use crate::stage::Limits;
use crate::stage::Pick;
use crate::stage::Quarantine;
use crate::stage::Sample;
use crate::timer::Timer;
use crate::view::Customer;
use crate::view::Route;
use crate::view::View;

/// Pause after all known control VMs were tried.
const DIAL_PAUSE: Duration = Duration::from_millis(150);
/// A control VM without a leader is left after this time. Together with the time in which a control VM
/// notices that it is cut off, it is part of the 2 s in which a change must be in force.
const STALE_LIMIT: Duration = Duration::from_millis(300);
/// The configuration counts as confirmed for this long after a control VM with a leader was heard.
const FRESH_LIMIT: Duration = Duration::from_millis(1_500);
/// Failures that occur together travel in one message.
const FLUSH_DELAY: Duration = Duration::from_millis(5);
/// How often successes are sent.
const NOTES_PERIOD: Duration = Duration::from_millis(150);
/// Expiry and reports of token grants.
const WALLET_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait for a token; a grant takes two round trips between failure domains.
const TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Without an owner, tokens that were not spent are kept up to this number.
const SPARE_MOST: f64 = 2.0;
/// Connections to one upstream of this VM when the service states no limit.
const CONNECTIONS: usize = 8;
/// Part of an upstream's connections that the fleet uses; the rest is for restarts that overlap.
const CONNECTIONS_USED: f64 = 0.9;
/// Connections broken in mid-request after which a request is taken for the cause.
const CRASHES: u32 = 3;
/// Crashes of one request within this time count together, and block it for this time.
const CRASH_WINDOW: Duration = Duration::from_secs(30);
/// Requests whose crashes are remembered.
const CRASHES_KEPT: usize = 2_000;
/// Memory of the latency estimate, in requests.
const LATENCY_GAIN: f64 = 0.1;
/// Requests in flight at an upstream, as a part of its slots, at which it is full. At twice the slots a
/// request waits for about one other, after which its answer is still in time; beyond that all answers
/// come late. Less urgent requests leave room for urgent ones.
const FULL_URGENT: f32 = 2.0;
const FULL: f32 = 1.6;
/// Longer than any request; see `Chooser::reuse_limit` of the uplink.
const REUSE_LIMIT: Duration = Duration::from_secs(3_600);
/// Patience in mean deviations above the mean, and its bounds as parts of the route's target.
const PATIENCE_DEVIATIONS: f64 = 8.0;
const PATIENCE_LEAST: f64 = 0.6;

/// Settings of an uplink.
#[derive(Debug, Clone)]
pub struct UplinkSettings {
    /// This VM; it is not ready at the start.
    pub entry: EntryVm,
    /// Control VMs by their names, which are their addresses.
    pub seeds: Vec<VmName>,
    /// Run of this VM.
    pub incarnation: Incarnation,
    /// Bound of repeated sends.
    pub bound: Bound,
}

struct Crash {
    count: u32,
    at: Instant,
}

#[derive(Clone, Copy)]
struct Latency {
    mean: f64,
    deviation: f64,
}

/// Tokens of a customer while no control VM grants any.
struct Spare {
    level: f64,
    at: Instant,
}

struct State {
    entry: EntryVm,
    view: Arc<View>,
    fresh: Option<Instant>,
    roster: Roster,
    outlook: Outlook,
    steer: Steer,
    budgets: HashMap<ServiceId, Budget>,
    /// Results that the others do not know yet, and when the last good one of each upstream was sent.
    notes: HashMap<UpstreamId, (Note, Instant)>,
    wallet: Wallet,
    waiters: HashMap<Ticket, oneshot::Sender<()>>,
    spares: HashMap<CustomerId, Spare>,
    granted: Option<Instant>,
    entries: Vec<EntryVm>,
    controls: Vec<ControlVm>,
    link: Option<Link>,
    crashes: HashMap<SmolStr, Crash>,
    latencies: HashMap<SmolStr, Latency>,
}

struct Shared {
    state: Mutex<State>,
    seeds: Mutex<Vec<VmName>>,
    bound: Bound,
    urgent: Sender<()>,
}

/// A running uplink; clones share it.
#[derive(Clone)]
pub struct Uplink {
    shared: Arc<Shared>,
    jobs: Arc<Jobs>,
}

impl Uplink {
    /// Starts to follow a control VM.
    pub fn spawn(settings: UplinkSettings, seed: u64, timer: &Timer) -> Self {
        let UplinkSettings {
            entry,
            seeds,
            incarnation,
            bound,
        } = settings;
        let (urgent, flush) = channel::bounded(1);
        let state = State {
            view: Arc::default(),
            fresh: None,
            roster: Roster::default(),
            outlook: Outlook::default(),
            steer: Steer::new(entry.domain.clone(), StdRng::seed_from_u64(seed)),
            budgets: HashMap::new(),
            notes: HashMap::new(),
            wallet: Wallet::with_shares(entry.vm.clone(), incarnation, hub::SHARES),
            waiters: HashMap::new(),
            spares: HashMap::new(),
            granted: None,
            entries: Vec::new(),
            controls: Vec::new(),
            link: None,
            crashes: HashMap::new(),
            latencies: HashMap::new(),
            entry,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            seeds: Mutex::new(seeds),
            bound,
            urgent,
        });
        let jobs = Jobs::default();
        let follower = Arc::clone(&shared);
        jobs.spawn(async move { follower.follow().await });
        let flusher = Arc::clone(&shared);
        jobs.spawn(async move { flusher.flush_urgent(flush).await });
        type Work = fn(&Shared);
        let works: [(Duration, Work); 3] = [
            (BEAT, Shared::beat),
            (NOTES_PERIOD, Shared::flush),
            (WALLET_PERIOD, Shared::tick_wallet),
        ];
        for (period, work) in works {
            let (ticks, shared) = (timer.subscribe(period), Arc::clone(&shared));
            jobs.spawn(async move {
                while ticks.next().await.is_some() {
                    work(&shared);
                }
            });
        }
        Self {
            shared,
            jobs: Arc::new(jobs),
        }
    }

    /// Tells the fleet whether callers may be sent to this VM.
    pub fn set_ready(&self, is_ready: bool) {
        let mut state = self.shared.state.lock().unwrap();
        if state.entry.is_ready == is_ready {
            return;
        }
        state.entry.is_ready = is_ready;
        let frame = state.hello();
        if let Some(link) = &state.link {
            link.send(&frame);
        }
    }

    /// Uses other control VMs to find the fleet from now on.
    pub fn set_seeds(&self, seeds: Vec<VmName>) {
        *self.shared.seeds.lock().unwrap() = seeds;
    }

    /// The entry VMs, as the control VM last told.
    pub fn entries(&self) -> Vec<EntryVm> {
        self.shared.state.lock().unwrap().entries.clone()
    }

    /// Whether a configuration is held.
    pub fn is_configured(&self) -> bool {
        self.shared.state.lock().unwrap().view.version > 0
    }
}

impl Service for Uplink {
    const NAME: &'static str = "uplink";

    async fn stop(&self) {
        self.jobs.stop().await;
        if let Some(link) = self.shared.state.lock().unwrap().link.take() {
            link.close();
        }
    }
}

impl State {
    fn hello(&self) -> Frame {
        Frame::Entry {
            entry: self.entry.clone(),
            version: self.view.version,
        }
    }

    fn send(&self, frame: &Frame) {
        if let Some(link) = &self.link {
            link.send(frame);
        }
    }

    /// Learns how a request ended that was sent at `sent`, and keeps it for the other VMs.
    fn note(&mut self, now: Instant, upstream: &UpstreamId, attempt: Attempt, sent: Instant) {
        let mut one = Note {
            upstream: upstream.clone(),
            ..Note::default()
        };
        match attempt {
            Attempt::Answered => one.good = 1,
            Attempt::Failed | Attempt::Late | Attempt::Stale => one.soft = 1,
            Attempt::Died | Attempt::Cut => one.hard = 1,
            Attempt::Shed | Attempt::Refused | Attempt::Cancelled => return,
        }
        // An upstream that fails new requests still answers those that it runs.
        if one.good > 0 && self.outlook.failed_at(upstream).is_some_and(|at| sent <= at) {
            return;
        }
        one.age_ms = millis(now.saturating_duration_since(sent));
        self.learn(now, &one);
        let kept = self
            .notes
            .entry(upstream.clone())
            .or_insert_with(|| (Note::of(upstream), now));
        kept.0.add(&one);
        if one.good > 0 {
            kept.1 = kept.1.max(sent);
        }
    }

    /// Learns from a note and logs when it changes what this VM believes.
    fn learn(&mut self, now: Instant, note: &Note) {
        let before = self.outlook.standing(now, &note.upstream);
        self.outlook.learn(now, note);
        let after = self.outlook.standing(now, &note.upstream);
        if before == after || (before != Standing::Suspect && after != Standing::Suspect) {
            return;
        }
        let (before, after): (&str, &str) = (before.into(), after.into());
        info!(
            "upstream judged: upstream={} before={before} after={after} good={} soft={} hard={} age_ms={}",
            note.upstream, note.good, note.soft, note.hard, note.age_ms
        );
    }

    fn drop_unlisted(&mut self) {
        let roster = &self.roster;
        self.outlook.retain(|id| roster.get(id).is_some());
        self.steer.retain(|id| roster.get(id).is_some());
        self.notes.retain(|id, _| roster.get(id).is_some());
    }
}

fn millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}

impl Shared {
    /// Connects to one control VM after the other.
    async fn follow(&self) {
        let mut choice = Followed::default();
        loop {
            let Some(vm) = self.candidate(&choice) else {
                task::sleep(DIAL_PAUSE).await;
                choice.start_round();
                continue;
            };
            choice.try_now(&vm);
            let Ok(address) = vm.parse::<SocketAddr>() else {
                warn!("control VM {vm} has no address as its name");
                continue;
            };
            let reason = match link::connect(address).await {
                Ok((link, reader)) => self.stay(&vm, link, reader, &choice).await,
                Err(e) => Left::Failed(e.to_string()),
            };
            warn!("control VM lost: vm={vm} reason=\"{reason}\"");
            choice.leave(&vm, Instant::now(), &reason);
        }
    }

    fn candidate(&self, choice: &Followed) -> Option<VmName> {
        let seeds = self.seeds.lock().unwrap().clone();
        let state = self.state.lock().unwrap();
        choice.next(Instant::now(), &state.entry, &state.controls, &seeds)
    }

    /// Follows one control VM until the connection ends or a better one is known.
    async fn stay(&self, vm: &VmName, link: Link, mut reader: Reader, choice: &Followed) -> Left {
        {
            let mut state = self.state.lock().unwrap();
            link.send(&state.hello());
            state.link = Some(link.clone());
        }
        info!("control VM connected: vm={vm}");
        let mut stale: Option<Instant> = None;
        let started = Instant::now();
        let reason = loop {
            let frame = match reader.next().await {
                Ok(frame) => frame,
                Err(e) => break Left::Failed(e.to_string()),
            };
            let now = Instant::now();
            if let Frame::Alive { is_fresh, .. } = frame {
                stale = if is_fresh { None } else { stale.or(Some(now)) };
            }
            self.handle(now, frame);
            if stale.is_some_and(|at| now.saturating_duration_since(at) >= STALE_LIMIT) {
                break Left::Stale;
            }
            let settled = now.saturating_duration_since(started) >= FRESH_LIMIT;
            if settled && stale.is_none() && self.has_nearer(now, vm, choice) {
                break Left::Nearer;
            }
        };
        link.close();
        self.state.lock().unwrap().link = None;
        reason
    }

    /// Whether a control VM of the own failure domain is known while another is followed.
    fn has_nearer(&self, now: Instant, vm: &VmName, choice: &Followed) -> bool {
        let state = self.state.lock().unwrap();
        choice.has_nearer(now, vm, &state.entry, &state.controls)
    }

    fn handle(&self, now: Instant, frame: Frame) {
        let mut state = self.state.lock().unwrap();
        match frame {
            Frame::Alive { is_fresh: true, .. } => state.fresh = Some(now),
            Frame::Controls(controls) => state.controls = controls,
            Frame::Entries(entries) => state.entries = entries,
            Frame::Roster { is_whole, reports } => {
                if is_whole {
                    let kept: std::collections::HashSet<&UpstreamId> =
                        reports.iter().map(|r| &r.upstream).collect();
                    let gone: Vec<UpstreamId> = state
                        .roster
                        .iter()
                        .map(|l| l.report.upstream.clone())
                        .filter(|id| !kept.contains(id))
                        .collect();
                    for id in &gone {
                        state.roster.remove(id);
                    }
                }
                let view = Arc::clone(&state.view);
                let stays = |r: &Announcement| !roster::has_left(&view.departed, r);
                for report in reports.into_iter().filter(stays) {
                    state.roster.announce(now, report);
                }
                state.drop_unlisted();
            }
            Frame::Forgotten(upstreams) => {
                for id in &upstreams {
                    state.roster.remove(id);
                }
                state.drop_unlisted();
            }
            Frame::Notes(notes) => {
                for note in &notes {
                    state.learn(now, note);
                }
            }
            Frame::Flying(flying) => {
                let own: HashMap<UpstreamId, u32> =
                    state.steer.flying().map(|(id, n)| (id.clone(), n)).collect();
                for (id, count) in flying {
                    let others = f32::from(count) - own.get(&id).copied().unwrap_or(0) as f32;
                    state.steer.set_others(&id, others.max(0.0));
                }
            }
            Frame::Usage(usage) => {
                for (service, totals) in usage {
                    state.budgets.entry(service).or_default().set_fleet(now, totals);
                }
            }
            Frame::Config(sync) => state.apply(sync),
            Frame::Grant { grant, .. } => {
                if grant.life_us > 0 {
                    state.granted = Some(now);
                }
                let tickets = state.wallet.receive(now, &grant);
                for ticket in tickets {
                    // A request that no longer waits gives its ticket back itself.
                    let _ = state.waiters.remove(&ticket).map(|w| w.send(()));
                }
                let asks = state.wallet.poll(now, &grant.customer);
                state.ask(asks);
            }
            Frame::Crash { fingerprint } => state.crash(now, fingerprint),
            _ => {}
        }
    }

    async fn flush_urgent(&self, flush: Receiver<()>) {
        while flush.recv().await.is_ok() {
            task::sleep(FLUSH_DELAY).await;
            self.flush();
        }
    }

    /// Sends the results since the last time, and the requests in flight.
    fn flush(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.link.is_none() {
            return;
        }
        let notes: Vec<Note> = state
            .notes
            .drain()
            .map(|(_, (note, sent))| Note {
                age_ms: millis(now.saturating_duration_since(sent)),
                ..note
            })
            .collect();
        if !notes.is_empty() {
            state.send(&Frame::Notes(notes));
        }
        let usage = state.budgets.iter_mut().map(|(id, b)| (id.clone(), b.report()));
        let usage: Vec<(ServiceId, Totals)> = usage.filter(|(_, t)| *t != Totals::default()).collect();
        if !usage.is_empty() {
            state.send(&Frame::Usage(usage));
        }
        let flying = state.steer.flying().filter(|(_, n)| *n > 0);
        let flying = flying.map(|(id, n)| (id.clone(), u16::try_from(n).unwrap_or(u16::MAX)));
        let flying: Vec<(UpstreamId, u16)> = flying.collect();
        state.send(&Frame::Flying(flying));
    }

    fn beat(&self) {
        let state = self.state.lock().unwrap();
        let version = state.view.version;
        state.send(&Frame::Alive {
            is_fresh: true,
            version,
        });
    }

    fn tick_wallet(&self) {
        let mut state = self.state.lock().unwrap();
        let asks = state.wallet.tick(Instant::now());
        state.ask(asks);
    }
}

impl State {
    fn apply(&mut self, sync: Sync) {
        let before = self.view.version;
        match sync {
            Sync::Whole(view) if view.version > before => self.view = Arc::new(*view),
            Sync::Whole(_) => {}
            Sync::Changes(changes) => {
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
        self.wallet.set_limits(&view.customers);
        self.roster.depart(&view.departed);
        self.drop_unlisted();
    }

    fn ask(&self, asks: Vec<Ask>) {
        for ask in asks {
            self.send(&Frame::Ask(ask));
        }
    }

    fn crash(&mut self, now: Instant, fingerprint: SmolStr) {
        let is_old = |c: &Crash| now.saturating_duration_since(c.at) >= CRASH_WINDOW;
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.retain(|_, c| !is_old(c));
        }
        if self.crashes.len() >= CRASHES_KEPT {
            return;
        }
        let crash = self
            .crashes
            .entry(fingerprint)
            .or_insert(Crash { count: 0, at: now });
        if is_old(crash) {
            crash.count = 0;
        }
        crash.count += 1;
        crash.at = now;
    }

    /// How long a request of a route with a target in seconds takes at most at a sound upstream, or so.
    fn patience(&self, route: &RouteId, target: f64) -> Duration {
        let usual = self.latencies.get(route);
        let usual = usual.map(|l| l.mean + PATIENCE_DEVIATIONS * l.deviation);
        let wait = usual.unwrap_or(target);
        Duration::from_secs_f64(wait.clamp(target * PATIENCE_LEAST, target))
    }

    /// Whether an upstream has more requests than slots.
    fn is_queueing(&self, id: &UpstreamId) -> bool {
        let listed = self.roster.get(id);
        listed.is_some_and(|l| self.steer.load(l) > 1.0)
    }

    /// Target of a route in seconds, 0 if it has none.
    fn target(&self, route: &RouteId) -> f64 {
        let found = self.view.routes.iter().find(|r| r.id == *route);
        found.map_or(0.0, |r| Duration::from_millis(r.target_ms).as_secs_f64())
    }

    fn purpose(&self, route: &Route) -> Purpose {
        let same = |r: &&Route| r.services().any(|s| *s == route.service);
        let least = self.view.routes.iter().filter(same).map(|r| r.priority).min();
        match least.is_some_and(|least| route.priority > least) {
            true => Purpose::Ordinary,
            false => Purpose::Urgent,
        }
    }

    /// Spends a token of the share of this VM, which it has while no owner answers.
    fn spend_spare(&mut self, now: Instant, customer: &Customer) -> bool {
        let vms = self.entries.len().max(1) as f64;
        let rate = f64::from(customer.limit.rate) / vms;
        let start = self.granted.unwrap_or(now);
        let spare = self.spares.entry(customer.id.clone()).or_insert(Spare {
            level: 0.0,
            at: start,
        });
        spare.at = spare.at.max(start);
        let elapsed = now.saturating_duration_since(spare.at).as_secs_f64();
        spare.level = (spare.level + elapsed * rate).min(SPARE_MOST);
        spare.at = now;
        if spare.level < 1.0 {
            return false;
        }
        spare.level -= 1.0;
        true
    }
}

impl Config for Uplink {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.shared.state.lock().unwrap().view)
    }

    /// Whether refusals by this configuration can be trusted. Requests that it allows are served in any
    /// case: callers must be served through a long outage of control.
    fn is_fresh(&self, now: Instant) -> bool {
        let state = self.shared.state.lock().unwrap();
        if state.view.version == 0 {
            return false;
        }
        state
            .fresh
            .is_some_and(|at| now.saturating_duration_since(at) < FRESH_LIMIT)
    }

    fn admits_stale(&self) -> bool {
        self.is_configured()
    }
}

impl Limits for Uplink {
    async fn take(&self, customer: &Customer, deadline: Instant) -> Result<()> {
        if customer.limit.is_none() {
            return Ok(());
        }
        let now = Instant::now();
        let deadline = deadline.min(now + TOKEN_WAIT);
        let (ticket, mut receiver) = {
            let mut state = self.shared.state.lock().unwrap();
            let spend = state.wallet.spend(now, customer, deadline);
            let asks = state.wallet.poll(now, &customer.id);
            state.ask(asks);
            match spend {
                Spend::Taken => return Ok(()),
                Spend::Refused => return self.refuse(&mut state, customer),
                Spend::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let wait = deadline.saturating_duration_since(now);
        if matches!(future::timeout(wait, &mut receiver).await, Ok(Ok(()))) {
            return Ok(());
        }
        let mut state = self.shared.state.lock().unwrap();
        // The token may have come between the timeout and this point.
        let is_waiting = state.waiters.remove(&ticket).is_some();
        state.wallet.cancel(&customer.id, ticket);
        match is_waiting {
            true => self.refuse(&mut state, customer),
            false => Ok(()),
        }
    }
}

impl Uplink {
    fn refuse(&self, state: &mut State, customer: &Customer) -> Result<()> {
        let now = Instant::now();
        if state.wallet.has_owner(now, &customer.id) {
            return Err(Code::OverRate.into());
        }
        match state.spend_spare(now, customer) {
            true => Ok(()),
            false => Err(Code::LimitUnavailable.into()),
        }
    }
}

impl Chooser for Uplink {
    fn choose(&self, ask: &ChooseAsk<'_>) -> Result<Pick> {
        let now = Instant::now();
        let mut guard = self.shared.state.lock().unwrap();
        let state = &mut *guard;
        let vms = state.entries.len();
        let budget = state.budgets.entry(ask.service.clone()).or_default();
        let want = Want {
            full: match ask.urgent {
                true => FULL_URGENT,
                false => FULL,
            },
            may_test: ask.idempotent && budget.allows(now, &self.shared.bound, vms, Purpose::Test),
            service: ask.service,
            tried: ask.avoid,
        };
        let choice = state.steer.choose(now, &state.roster, &state.outlook, &want);
        let choice = choice.map_err(|code| Error::new(code, code.text()))?;
        let report = choice.listed.report;
        let stated = state.view.services.get(ask.service).map_or(0, |s| s.connections);
        let share = f64::from(stated) * CONNECTIONS_USED / state.entries.len().max(1) as f64;
        Ok(Pick {
            service: report.service,
            upstream: report.upstream,
            address: report.address,
            connections: match stated {
                0 => CONNECTIONS,
                _ => (share as usize).max(1),
            },
            reason: match choice.test {
                true => "test",
                false => choice.standing.into(),
            },
        })
    }

    fn finish(&self, pick: Pick, sample: Sample) {
        let now = Instant::now();
        let mut state = self.shared.state.lock().unwrap();
        let mut is_slow = false;
        match sample.attempt {
            Attempt::Shed => state.steer.shed(now, &pick.upstream),
            Attempt::Refused => state.steer.refuse(now, &pick.upstream),
            Attempt::Cancelled => {}
            Attempt::Answered => {
                state.steer.reached(&pick.upstream);
                let target = state.target(&sample.route);
                // An answer that came after the patience was noted when the patience ended.
                is_slow = target > 0.0 && sample.latency >= state.patience(&sample.route, target);
                let seconds = sample.latency.as_secs_f64();
                let latency = state.latencies.entry(sample.route).or_insert(Latency {
                    mean: seconds,
                    deviation: seconds / 2.0,
                });
                let error = seconds - latency.mean;
                latency.mean += LATENCY_GAIN * error;
                latency.deviation += LATENCY_GAIN * (error.abs() - latency.deviation);
            }
            _ => state.steer.reached(&pick.upstream),
        }
        let queued = sample.attempt == Attempt::Late && state.is_queueing(&pick.upstream);
        state.steer.end(&pick.upstream);
        if !is_slow && !queued {
            let sent = now.checked_sub(sample.latency).unwrap_or(now);
            state.note(now, &pick.upstream, sample.attempt, sent);
        }
        let is_urgent = state
            .notes
            .get(&pick.upstream)
            .is_some_and(|(n, _)| n.is_urgent());
        drop(state);
        if is_urgent {
            // A full channel means that a flush is due anyway.
            let _ = self.shared.urgent.try_send(());
        }
    }

    fn reconnects(&self) -> bool {
        false
    }

    fn frees_unsent(&self) -> bool {
        true
    }

    fn queues(&self) -> bool {
        false
    }

    fn is_urgent(&self, route: &Route) -> bool {
        self.shared.state.lock().unwrap().purpose(route) == Purpose::Urgent
    }

    fn allows_retry(&self, route: &Route) -> bool {
        let mut state = self.shared.state.lock().unwrap();
        let (vms, purpose) = (state.entries.len(), state.purpose(route));
        let budget = state.budgets.entry(route.service.clone()).or_default();
        budget.allows(Instant::now(), &self.shared.bound, vms, purpose)
    }

    fn take_retry_of(&self, route: &Route) -> bool {
        let mut state = self.shared.state.lock().unwrap();
        let (vms, purpose) = (state.entries.len(), state.purpose(route));
        let budget = state.budgets.entry(route.service.clone()).or_default();
        budget.take(Instant::now(), &self.shared.bound, vms, purpose)
    }

    fn take_retry(&self, service: &ServiceId) -> bool {
        let mut state = self.shared.state.lock().unwrap();
        let vms = state.entries.len();
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.take(Instant::now(), &self.shared.bound, vms, Purpose::Ordinary)
    }

    fn suspect(&self, pick: &Pick) {
        let mut state = self.shared.state.lock().unwrap();
        // A queue explains the wait: no sign of a gray failure.
        if state.is_queueing(&pick.upstream) {
            return;
        }
        let now = Instant::now();
        state.note(now, &pick.upstream, Attempt::Late, now);
        drop(state);
        // A full channel means that a flush is due anyway.
        let _ = self.shared.urgent.try_send(());
    }

    fn count(&self, service: &ServiceId) {
        let mut state = self.shared.state.lock().unwrap();
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.count(Instant::now(), &self.shared.bound);
    }

    fn patience(&self, route: &Route) -> Option<Duration> {
        let target = Duration::from_millis(route.target_ms).as_secs_f64();
        if target == 0.0 {
            return None;
        }
        let state = self.shared.state.lock().unwrap();
        Some(state.patience(&route.id, target))
    }

    /// A silent reused connection ends with the patience for the upstream.
    fn reuse_limit(&self, _route: &RouteId) -> Duration {
        REUSE_LIMIT
    }
}

impl Quarantine for Uplink {
    fn is_blocked(&self, fingerprint: &str, now: Instant) -> bool {
        let state = self.shared.state.lock().unwrap();
        state
            .crashes
            .get(fingerprint)
            .is_some_and(|c| c.count >= CRASHES && now.saturating_duration_since(c.at) < CRASH_WINDOW)
    }

    fn clear(&self, fingerprint: &str) {
        self.shared.state.lock().unwrap().crashes.remove(fingerprint);
    }

    async fn report(&self, fingerprint: &str) {
        let mut state = self.shared.state.lock().unwrap();
        let fingerprint = SmolStr::from(fingerprint);
        state.crash(Instant::now(), fingerprint.clone());
        state.send(&Frame::Crash { fingerprint });
    }
}

/// Claims of a deployment whose callers give each try an id of its own, so that there is nothing that a
/// second try could meet.
pub struct NoClaims;

impl Claims for NoClaims {
    type Ticket = ();

    async fn claim(&self, ask: &ClaimAsk, _deadline: Instant) -> Result<Claimed<()>> {
        let id: &RequestId = &ask.request;
        Err(Error::new(
            Code::ClaimUnavailable,
            format!("request {id}: this fleet keeps no claims"),
        ))
    }

    fn is_valid(&self, _ticket: &(), _now: Instant) -> bool {
        true
    }

    async fn finish(&self, _ticket: (), _ending: Ending) {}
}
