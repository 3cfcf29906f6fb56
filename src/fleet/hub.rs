//! Control side of a fleet: connections to entry VMs and to the other control VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::net::TcpListener;
use async_std::task;
use futures::channel::oneshot;
use log::info;
use log::warn;

use crate::catalog::Catalog;
use crate::catalog::change::Change;
use crate::catalog::change::Op;
use crate::catalog::edition::Edition;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::budget::Totals;
use crate::fleet::budget::Window;
use crate::fleet::entries::Entries;
use crate::fleet::link;
use crate::fleet::link::BEAT;
use crate::fleet::link::Link;
use crate::fleet::link::Reader;
use crate::fleet::message::ControlVm;
use crate::fleet::message::EntryVm;
use crate::fleet::message::Frame;
use crate::fleet::message::Outcome;
use crate::fleet::message::Sync;
use crate::fleet::outlook::Note;
use crate::fleet::roster;
use crate::fleet::roster::Announcement;
use crate::fleet::roster::Roster;
use crate::fleet::roster::State as Readiness;
use crate::grant::Ask;
use crate::grant::Grant;
use crate::grant::Owner;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::id::VmName;
use crate::job::Jobs;
use crate::kernel::Service;
use crate::lease::Lease;
use crate::replica::Envelope;
use crate::replica::Role;
use crate::replication::Courier;
use crate::replication::Replication;
use crate::timer::Timer;
use crate::view::View;

/// How often a control VM looks for a new version and new results; part of the 2 s in which a change
/// must be in force.
const PUSH_PERIOD: Duration = Duration::from_millis(50);
/// How often successes and requests in flight are passed on; failures go at once.
const NOTES_PERIOD: Duration = Duration::from_millis(150);
/// Every so many of these periods the other control VMs get them too: bytes between failure domains
/// are paid for.
const ABROAD_PERIODS: u64 = 2;
/// Pause before a control VM that could not be reached is tried again.
const DIAL_PERIOD: Duration = Duration::from_millis(250);
/// Attempts after a start, and the pause between them.
const START_DIALS: u32 = 8;
const START_PAUSE: Duration = Duration::from_millis(40);
/// A control VM that nobody is connected to is forgotten after this time.
const KNOWN_LIMIT: Duration = Duration::from_secs(20);
/// A call to the leader is given up after this time: the caller of the operator interface waits 1 s.
const CALL_LIMIT: Duration = Duration::from_millis(900);
/// A call waits this long for a leader to appear.
const LEADER_WAIT: Duration = Duration::from_millis(600);
const POLL: Duration = Duration::from_millis(15);
/// Life of the leader's right to grant tokens, renewed while it leads; the grants of a leader that was
/// cut off end with it.
const LEADER_LEASE: Duration = Duration::from_secs(1);
/// All token buckets belong to the leader, so one partition holds them.
const PARTITION: u32 = 0;
/// The leader grants all tokens, so that each customer has one bucket.
pub(crate) const SHARES: u8 = 1;
/// How often changed lists of entry VMs are sent.
const LIST_PERIOD: Duration = Duration::from_millis(200);

/// An entry VM that is connected.
struct EntryPeer {
    link: Link,
    /// Number of the connection: an earlier one of the same VM must not remove a later one.
    number: u64,
    entry: EntryVm,
    version: Version,
    flying: HashMap<UpstreamId, u16>,
}

/// A control VM that is connected.
struct ControlPeer {
    link: Link,
    number: u64,
    flying: HashMap<UpstreamId, u16>,
}

/// Successes of an upstream, and when the last request of them was sent.
struct Kept {
    note: Note,
    sent: Instant,
}

impl Kept {
    fn note(self, now: Instant) -> Note {
        let age = now.saturating_duration_since(self.sent).as_millis();
        Note {
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            ..self.note
        }
    }
}

struct State {
    roster: Roster,
    entries: HashMap<VmName, EntryPeer>,
    controls: HashMap<VmName, ControlPeer>,
    known: HashMap<VmName, ControlVm>,
    /// When a known control VM was last connected or named by another.
    named: HashMap<VmName, Instant>,
    lists: Entries,
    own_list_changed: bool,
    lists_changed: bool,
    owner: Owner,
    lease: Option<Lease>,
    calls: HashMap<u64, oneshot::Sender<Outcome>>,
    /// Successes that wait to be passed on.
    notes: HashMap<UpstreamId, Kept>,
    /// When a failure of an upstream was told last.
    failed: HashMap<UpstreamId, Instant>,
    /// Requests and repeats of the fleet.
    usage: HashMap<ServiceId, Window>,
    /// Those of the own entry VMs that the other control VMs don't know yet.
    unsent: HashMap<ServiceId, Totals>,
    /// Periods of `pass_notes` so far.
    periods: u64,
    /// Whether the other control VMs were told of requests in flight last time.
    was_flying: bool,
    /// Version that was sent to the entry VMs.
    pushed: Version,
    /// Entry VMs by the control VMs that they are connected to, as last sent.
    sent: Vec<EntryVm>,
}

impl State {
    /// Keeps the successes of a note for the next tick; returns what must be told at once.
    fn keep_note(&mut self, now: Instant, mut note: Note) -> Option<Note> {
        let age = Duration::from_millis(note.age_ms.into());
        let sent = now.checked_sub(age).unwrap_or(now);
        // Successes of requests that were sent before a failure must not count after it.
        if self.failed.get(&note.upstream).is_some_and(|at| sent <= *at) {
            note.good = 0;
        }
        if note.hard > 0 {
            self.notes.remove(&note.upstream);
            self.failed.insert(note.upstream.clone(), now);
        }
        if note.is_urgent() {
            return Some(note);
        }
        if note.good > 0 {
            let kept = self.notes.entry(note.upstream.clone()).or_insert_with(|| Kept {
                note: Note::of(&note.upstream),
                sent,
            });
            kept.note.add(&note);
            kept.sent = kept.sent.max(sent);
        }
        None
    }

    /// Requests in flight of the entry VMs that are connected here.
    fn own_flying(&self) -> HashMap<UpstreamId, u16> {
        let mut own: HashMap<UpstreamId, u16> = HashMap::new();
        for (id, count) in self.entries.values().flat_map(|e| &e.flying) {
            *own.entry(id.clone()).or_default() += count;
        }
        own
    }

    /// Forgets control VMs that are gone; voters are known from the log.
    fn forget_controls(&mut self, now: Instant) {
        for vm in self.controls.keys() {
            self.named.insert(vm.clone(), now);
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < KNOWN_LIMIT;
        self.named.retain(|_, at| is_recent(at));
        let named = &self.named;
        self.known.retain(|vm, _| named.contains_key(vm));
    }

    fn new() -> Self {
        Self {
            roster: Default::default(),
            entries: Default::default(),
            controls: Default::default(),
            known: Default::default(),
            named: Default::default(),
            lists: Default::default(),
            own_list_changed: Default::default(),
            lists_changed: Default::default(),
            owner: Owner::with_shares(SHARES),
            lease: Default::default(),
            calls: Default::default(),
            notes: Default::default(),
            usage: Default::default(),
            unsent: Default::default(),
            periods: Default::default(),
            was_flying: Default::default(),
            failed: Default::default(),
            pushed: Default::default(),
            sent: Default::default(),
        }
    }
}

struct Shared {
    me: ControlVm,
    seeds: Vec<VmName>,
    replication: OnceLock<Arc<Replication<Catalog>>>,
    state: Mutex<State>,
    numbers: AtomicU64,
    /// Window in which repeats are counted.
    window: Duration,
}

/// The control side of a fleet; clones share it.
#[derive(Clone)]
pub struct Hub {
    shared: Arc<Shared>,
    jobs: Arc<Jobs>,
}

/// Sends the messages of the replicated log over the connections between control VMs.
pub struct MeshCourier(Arc<Shared>);

impl Courier for MeshCourier {
    fn send(&mut self, envelope: Envelope) {
        let to = envelope.to.clone();
        if let Some(link) = self.0.control_link(&to) {
            link.send(&Frame::Replica(envelope));
        }
    }
}

impl Hub {
    /// A hub that knows some control VMs by their names, which are their addresses.
    pub fn new(me: ControlVm, seeds: Vec<VmName>, window: Duration) -> Self {
        let shared = Shared {
            me,
            seeds,
            replication: OnceLock::new(),
            state: Mutex::new(State::new()),
            numbers: AtomicU64::new(1),
            window,
        };
        Self {
            shared: Arc::new(shared),
            jobs: Arc::default(),
        }
    }

    /// The transport for the replicated log.
    pub fn courier(&self) -> MeshCourier {
        MeshCourier(Arc::clone(&self.shared))
    }

    /// Starts to connect and to accept connections.
    ///
    /// # Errors
    /// `Bind` if the address cannot be bound, `Kernel` if the hub was started before.
    pub async fn start(
        &self,
        address: SocketAddr,
        replication: Arc<Replication<Catalog>>,
        timer: &Timer,
    ) -> Result<()> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|e| Error::new(Code::Bind, format!("{address}: {e}")))?;
        if self.shared.replication.set(replication).is_err() {
            return Err(Error::new(Code::Kernel, "the hub runs already"));
        }
        let shared = Arc::clone(&self.shared);
        self.jobs.spawn(async move { shared.accept(listener).await });
        let starter = Arc::clone(&self.shared);
        self.jobs.spawn(async move {
            // Processes that start together find each other as soon as the last one listens.
            for _ in 0..START_DIALS {
                starter.dial();
                task::sleep(START_PAUSE).await;
            }
        });
        type Work = fn(&Arc<Shared>);
        let works: [(Duration, Work); 5] = [
            (PUSH_PERIOD, Shared::push),
            (NOTES_PERIOD, Shared::pass_notes),
            (BEAT, Shared::beat),
            (LIST_PERIOD, Shared::pass_lists),
            (DIAL_PERIOD, Shared::dial),
        ];
        for (period, work) in works {
            let (ticks, shared) = (timer.subscribe(period), Arc::clone(&self.shared));
            self.jobs.spawn(async move {
                while ticks.next().await.is_some() {
                    work(&shared);
                }
            });
        }
        Ok(())
    }

    /// Takes a report of an upstream. A report that it leaves, or has left, is durable on a majority
    /// of the control VMs when this returns.
    ///
    /// # Errors
    /// `NotLeader`, `NoQuorum` or `Timeout`: it is not known whether all VMs will learn that the upstream leaves.
    pub async fn announce(&self, report: Announcement) -> Result<()> {
        if report.state == Readiness::Draining {
            let upstream = report.upstream.clone();
            return self.depart(upstream, report.born).await;
        }
        self.shared.hear(Instant::now(), report, true);
        Ok(())
    }

    /// Records that a run of an upstream leaves.
    ///
    /// # Errors
    /// As for `announce`.
    pub async fn depart(&self, upstream: UpstreamId, born: u64) -> Result<()> {
        let shared = &self.shared;
        let is_known = shared.replication()?.read(|c| {
            let view = c.view();
            view.departed
                .iter()
                .any(|d| d.upstream == upstream && d.born >= born)
        });
        // What this replica has applied is committed already.
        if is_known {
            return Ok(());
        }
        info!("upstream leaves: upstream={upstream} born={born}");
        shared.change(Op::Depart { upstream, born }).await.map(drop)
    }

    /// The start of the listed run of an upstream, for a report that does not say it.
    pub fn born(&self, upstream: &UpstreamId) -> Option<u64> {
        let state = self.shared.state.lock().unwrap();
        state.roster.get(upstream).map(|l| l.report.born)
    }

    /// Replaces the configuration by an edition that was checked, unless a later one is held.
    ///
    /// # Errors
    /// `BadParams` if it contradicts itself, otherwise as for `announce`.
    pub async fn replace(&self, edition: Edition) -> Result<()> {
        let number = edition.number;
        edition
            .check()
            .map_err(|fault| Error::new(Code::BadParams, fault.detail))?;
        let held = self.shared.replication()?.read(|c| c.view().edition);
        if held >= number {
            info!("configuration not newer: number={number} held={held}");
            return Ok(());
        }
        let outcome = self.shared.change(Op::Replace(Arc::new(edition))).await?;
        info!(
            "configuration accepted: number={number} version={}",
            outcome.version
        );
        match outcome.fault {
            Some(fault) => Err(Error::new(fault.code(), fault.detail)),
            None => Ok(()),
        }
    }

    /// The edition in force, read after the leader confirmed that it leads; `None` before the first.
    ///
    /// # Errors
    /// As for `announce`.
    pub async fn edition(&self) -> Result<Option<Arc<Edition>>> {
        let shared = &self.shared;
        let replication = shared.replication()?;
        let end = Instant::now() + CALL_LIMIT;
        let index = match shared.leader(end).await? {
            Leader::Me => replication.barrier().await?,
            Leader::Other(link) => match shared.call(&link, end, |number| Frame::Fence { number }).await? {
                Outcome::Fenced(index) => index,
                Outcome::Failed(code) => return Err(code_error(code)),
                Outcome::Applied(_) => return Err(Code::BadAnswer.into()),
            },
        };
        while replication.status().applied < index {
            if Instant::now() >= end {
                return Err(Error::new(Code::Timeout, "this replica is behind the leader"));
            }
            task::sleep(POLL).await;
        }
        Ok(replication.read(Catalog::edition))
    }

    /// The entry VMs.
    pub fn entries(&self) -> Vec<EntryVm> {
        self.shared.state.lock().unwrap().lists.all()
    }

    /// The control VMs that are connected, in failure domains by name.
    pub fn connected(&self) -> usize {
        self.shared.state.lock().unwrap().controls.len()
    }
}

impl Service for Hub {
    const NAME: &'static str = "hub";

    async fn stop(&self) {
        self.jobs.stop().await;
        let mut state = self.shared.state.lock().unwrap();
        for (_, peer) in state.entries.drain() {
            peer.link.close();
        }
        for (_, peer) in state.controls.drain() {
            peer.link.close();
        }
    }
}

enum Leader {
    Me,
    Other(Link),
}

fn code_error(code: u16) -> Error {
    Code::from_number(code).unwrap_or(Code::BadAnswer).into()
}

impl Shared {
    fn replication(&self) -> Result<&Arc<Replication<Catalog>>> {
        let replication = self.replication.get();
        replication.ok_or_else(|| Error::new(Code::NotLeader, "the replica is starting"))
    }

    fn control_link(&self, vm: &VmName) -> Option<Link> {
        let state = self.state.lock().unwrap();
        state.controls.get(vm).map(|p| p.link.clone())
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (link, reader) = link::spawn(stream);
                    let shared = Arc::clone(&self);
                    task::spawn(async move { shared.serve(link, reader, false).await });
                }
                Err(e) => {
                    warn!("connection not accepted: {e}");
                    task::sleep(DIAL_PERIOD).await;
                }
            }
        }
    }

    /// Connects to the control VMs that are known and not connected.
    fn dial(self: &Arc<Self>) {
        let Ok(replication) = self.replication() else {
            return;
        };
        let members = replication.status().membership;
        let mut names: Vec<VmName> = members.members().map(|m| m.vm.clone()).collect();
        names.extend(self.seeds.iter().cloned());
        {
            let mut state = self.state.lock().unwrap();
            state.lists.expire(Instant::now());
            state.forget_controls(Instant::now());
            names.extend(state.known.keys().cloned());
            names.sort_unstable();
            names.dedup();
            names.retain(|n| *n != self.me.vm);
            replication.set_peers(names.clone());
            names.retain(|n| !state.controls.contains_key(n));
        }
        for name in names {
            let Ok(address) = name.parse::<SocketAddr>() else {
                warn!("control VM {name} has no address as its name");
                continue;
            };
            let shared = Arc::clone(self);
            task::spawn(async move {
                // A VM that is down is tried again with the next tick.
                if let Ok((link, reader)) = link::connect(address).await {
                    shared.serve(link, reader, true).await;
                }
            });
        }
    }

    /// Serves one connection until it ends.
    async fn serve(self: Arc<Self>, link: Link, mut reader: Reader, dialed: bool) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        if dialed {
            link.send(&Frame::Control(self.me.clone()));
        }
        let mut peer = None;
        let reason = loop {
            match reader.next().await {
                Ok(frame) => self.handle(&link, number, dialed, &mut peer, frame),
                Err(e) => break e,
            }
        };
        link.close();
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        match peer {
            Some(Peer::Entry(vm)) if state.entries.get(&vm).is_some_and(|p| p.number == number) => {
                state.entries.remove(&vm);
                state.own_list_changed = true;
                info!("entry VM lost: vm={vm} reason=\"{reason}\"");
            }
            Some(Peer::Control(vm)) if state.controls.get(&vm).is_some_and(|p| p.number == number) => {
                state.controls.remove(&vm);
                state.lists.lose(now, &vm);
                warn!("control VM lost: vm={vm} reason=\"{reason}\"");
            }
            _ => {}
        }
    }

    fn handle(
        self: &Arc<Self>,
        link: &Link,
        number: u64,
        dialed: bool,
        peer: &mut Option<Peer>,
        frame: Frame,
    ) {
        match frame {
            Frame::Entry { entry, version } => {
                let vm = entry.vm.clone();
                self.meet_entry(link, number, entry, version);
                *peer = Some(Peer::Entry(vm));
            }
            Frame::Control(other) => {
                let vm = other.vm.clone();
                self.meet_control(link, number, dialed, other);
                *peer = Some(Peer::Control(vm));
            }
            Frame::Alive { version, .. } => {
                if let Some(Peer::Entry(vm)) = peer
                    && let Some(entry) = self.state.lock().unwrap().entries.get_mut(vm)
                {
                    entry.version = entry.version.max(version);
                }
            }
            Frame::Replica(envelope) => {
                if let Ok(replication) = self.replication() {
                    replication.receive(envelope);
                }
            }
            Frame::Roster { reports, .. } => {
                let now = Instant::now();
                for report in reports {
                    self.hear(now, report, false);
                }
            }
            Frame::Notes(notes) => self.learn(peer.as_ref(), notes),
            Frame::Flying(flying) => self.count_flying(peer.as_ref(), flying),
            Frame::Usage(usage) => self.count_usage(peer.as_ref(), usage),
            Frame::Entries(entries) => {
                if let Some(Peer::Control(vm)) = peer {
                    let mut state = self.state.lock().unwrap();
                    state.lists.set(vm, entries);
                    state.lists_changed = true;
                }
            }
            Frame::Ask(ask) => self.ask(link, ask),
            Frame::Grant { spender, grant } => {
                let state = self.state.lock().unwrap();
                if let Some(entry) = state.entries.get(&spender) {
                    entry.link.send(&Frame::Grant { spender, grant });
                }
            }
            Frame::Crash { .. } => self.pass_on(peer.as_ref(), &frame),
            Frame::Propose { number, data } => {
                let (shared, link) = (Arc::clone(self), link.clone());
                task::spawn(async move {
                    let outcome = match shared.replication() {
                        Ok(replication) => replication.propose(data).await.map(Outcome::Applied),
                        Err(e) => Err(e),
                    };
                    let outcome = outcome.unwrap_or_else(|e| Outcome::Failed(e.code.number()));
                    link.send(&Frame::Reply { number, outcome });
                });
            }
            Frame::Fence { number } => {
                let (shared, link) = (Arc::clone(self), link.clone());
                task::spawn(async move {
                    let outcome = match shared.replication() {
                        Ok(replication) => replication.barrier().await.map(Outcome::Fenced),
                        Err(e) => Err(e),
                    };
                    let outcome = outcome.unwrap_or_else(|e| Outcome::Failed(e.code.number()));
                    link.send(&Frame::Reply { number, outcome });
                });
            }
            Frame::Reply { number, outcome } => {
                let call = self.state.lock().unwrap().calls.remove(&number);
                // A caller that no longer waits has given the call up.
                let _ = call.map(|c| c.send(outcome));
            }
            Frame::Controls(controls) => self.meet_others(controls),
            Frame::Forgotten(_) | Frame::Config(_) => {}
        }
    }

    fn meet_entry(&self, link: &Link, number: u64, entry: EntryVm, version: Version) {
        let view = self.view();
        let mut state = self.state.lock().unwrap();
        state.own_list_changed = true;
        if let Some(known) = state.entries.get_mut(&entry.vm).filter(|p| p.number == number) {
            known.entry = entry;
            return;
        }
        info!("entry VM connected: vm={} version={version}", entry.vm);
        let reports = state.roster.iter().map(|l| l.report.clone()).collect();
        link.send(&Frame::Controls(self.controls(&state)));
        link.send(&Frame::Roster {
            is_whole: true,
            reports,
        });
        link.send(&Frame::Entries(state.lists.all()));
        if let Some(view) = &view {
            self.sync(link, version, view);
        }
        let peer = EntryPeer {
            link: link.clone(),
            number,
            version: version.max(view.map_or(0, |v| v.version)),
            flying: HashMap::new(),
            entry,
        };
        state.entries.insert(peer.entry.vm.clone(), peer);
    }

    fn meet_control(&self, link: &Link, number: u64, dialed: bool, other: ControlVm) {
        if !dialed {
            link.send(&Frame::Control(self.me.clone()));
        }
        let mut state = self.state.lock().unwrap();
        info!("control VM connected: vm={} domain={}", other.vm, other.domain);
        let now = Instant::now();
        let reports: Vec<Announcement> = state
            .roster
            .iter()
            .filter(|l| now.saturating_duration_since(l.heard) < roster::REPLACE_AFTER)
            .map(|l| l.report.clone())
            .collect();
        link.send(&Frame::Roster {
            is_whole: false,
            reports,
        });
        link.send(&Frame::Entries(own_list(&state)));
        state.known.insert(other.vm.clone(), other.clone());
        let peer = ControlPeer {
            link: link.clone(),
            number,
            flying: HashMap::new(),
        };
        state.controls.insert(other.vm, peer);
        let controls = Frame::Controls(self.controls(&state));
        send_all(&state, None, &controls);
    }

    /// Learns the names of control VMs that others know, so that a VM that knows only some of them is
    /// found by all.
    fn meet_others(&self, controls: Vec<ControlVm>) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        for other in controls.into_iter().filter(|c| c.vm != self.me.vm) {
            state.named.insert(other.vm.clone(), now);
            state.known.entry(other.vm.clone()).or_insert(other);
        }
    }

    fn controls(&self, state: &State) -> Vec<ControlVm> {
        let connected = state.controls.keys().filter_map(|vm| state.known.get(vm));
        let mut controls: Vec<ControlVm> = connected.cloned().collect();
        controls.push(self.me.clone());
        controls
    }

    fn view(&self) -> Option<Arc<View>> {
        self.replication.get().map(|r| r.read(Catalog::view))
    }

    /// Sends the changes after a version.
    fn sync(&self, link: &Link, version: Version, view: &Arc<View>) {
        if version >= view.version {
            return;
        }
        let changes = self
            .replication
            .get()
            .and_then(|r| r.read(|c| c.changes(version)));
        let sync = match changes.filter(|_| version > 0) {
            Some(changes) => Sync::Changes(changes),
            None => Sync::Whole(Box::new(View::clone(view))),
        };
        link.send(&Frame::Config(sync));
    }

    /// Takes a report of an upstream, from itself or from another control VM.
    fn hear(&self, now: Instant, report: Announcement, is_own: bool) {
        let Some(view) = self.view() else { return };
        if roster::has_left(&view.departed, &report) {
            return;
        }
        let mut state = self.state.lock().unwrap();
        let change = state.roster.announce(now, report.clone());
        if change == roster::Change::Outdated {
            return;
        }
        let frame = Frame::Roster {
            is_whole: false,
            reports: vec![report.clone()],
        };
        if is_own {
            for peer in state.controls.values() {
                peer.link.send(&frame);
            }
        }
        if change == roster::Change::Changed {
            info!(
                "upstream listed: upstream={} service={} address={} state={} born={} sequence={}",
                report.upstream, report.service, report.address, report.state, report.born, report.sequence
            );
            for peer in state.entries.values() {
                peer.link.send(&frame);
            }
        }
    }

    /// Passes failures on at once and keeps successes for the next tick.
    fn learn(&self, from: Option<&Peer>, notes: Vec<Note>) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        match from {
            Some(Peer::Entry(vm)) => {
                let mut urgent = Vec::new();
                for note in notes {
                    urgent.extend(state.keep_note(now, note));
                }
                if !urgent.is_empty() {
                    send_all(&state, Some(vm), &Frame::Notes(urgent));
                }
            }
            Some(Peer::Control(_)) => {
                let frame = Frame::Notes(notes);
                for peer in state.entries.values() {
                    peer.link.send(&frame);
                }
            }
            None => {}
        }
    }

    fn count_flying(&self, from: Option<&Peer>, flying: Vec<(UpstreamId, u16)>) {
        let mut state = self.state.lock().unwrap();
        let flying = flying.into_iter().collect();
        match from {
            Some(Peer::Entry(vm)) => {
                if let Some(peer) = state.entries.get_mut(vm) {
                    peer.flying = flying;
                }
            }
            Some(Peer::Control(vm)) => {
                if let Some(peer) = state.controls.get_mut(vm) {
                    peer.flying = flying;
                }
            }
            None => {}
        }
    }

    fn count_usage(&self, from: Option<&Peer>, usage: Vec<(ServiceId, Totals)>) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        for (service, totals) in &usage {
            let window = state.usage.entry(service.clone()).or_default();
            window.add(now, self.window, *totals);
        }
        if matches!(from, Some(Peer::Entry(_))) {
            for (service, totals) in usage {
                let sum = state.unsent.entry(service).or_default();
                sum.requests += totals.requests;
                sum.repeats += totals.repeats;
            }
        }
    }

    fn pass_on(&self, from: Option<&Peer>, frame: &Frame) {
        let state = self.state.lock().unwrap();
        match from {
            Some(Peer::Entry(vm)) => send_all(&state, Some(vm), frame),
            _ => {
                for peer in state.entries.values() {
                    peer.link.send(frame);
                }
            }
        }
    }

    fn push(self: &Arc<Self>) {
        let Some(view) = self.view() else { return };
        let mut state = self.state.lock().unwrap();
        if view.version <= state.pushed {
            return;
        }
        state.pushed = view.version;
        state.roster.depart(&view.departed);
        let State { roster, failed, .. } = &mut *state;
        failed.retain(|id, _| roster.get(id).is_some());
        let mut behind: Vec<(Link, Version)> = Vec::new();
        for peer in state.entries.values_mut().filter(|p| p.version < view.version) {
            behind.push((peer.link.clone(), peer.version));
            peer.version = view.version;
        }
        drop(state);
        for (link, version) in behind {
            self.sync(&link, version, &view);
        }
    }

    fn pass_notes(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.periods += 1;
        if state.periods.is_multiple_of(ABROAD_PERIODS) {
            self.pass_abroad(&mut state);
        }
        let window = self.window;
        let totals = state
            .usage
            .iter_mut()
            .map(|(id, w)| (id.clone(), w.totals(now, window)));
        let totals = Frame::Usage(totals.collect());
        let mut all = state.own_flying();
        for (id, count) in state.controls.values().flat_map(|c| &c.flying) {
            *all.entry(id.clone()).or_default() += count;
        }
        let all = Frame::Flying(all.into_iter().collect());
        for peer in state.entries.values() {
            peer.link.send(&totals);
            peer.link.send(&all);
        }
    }

    /// Sends successes, retry counts and requests in flight to the other control VMs, and the successes
    /// to the own entry VMs.
    fn pass_abroad(&self, state: &mut State) {
        let now = Instant::now();
        let notes: Vec<Note> = state.notes.drain().map(|(_, k)| k.note(now)).collect();
        if !notes.is_empty() {
            send_all(state, None, &Frame::Notes(notes));
        }
        let usage: Vec<(ServiceId, Totals)> = state.unsent.drain().collect();
        let flying: Vec<(UpstreamId, u16)> = state.own_flying().into_iter().collect();
        let is_idle = usage.is_empty() && flying.is_empty() && !state.was_flying;
        state.was_flying = !flying.is_empty();
        if is_idle {
            return;
        }
        let (usage, flying) = (Frame::Usage(usage), Frame::Flying(flying));
        for peer in state.controls.values() {
            peer.link.send(&usage);
            peer.link.send(&flying);
        }
    }

    fn beat(self: &Arc<Self>) {
        let now = Instant::now();
        let Ok(replication) = self.replication() else {
            return;
        };
        let status = replication.status();
        let mut state = self.state.lock().unwrap();
        state.lease = match (status.role, state.lease) {
            (Role::Leader, Some(lease)) if now < lease.end => Some(Lease {
                end: now + LEADER_LEASE,
                ..lease
            }),
            (Role::Leader, _) => Some(Lease {
                since: now,
                end: now + LEADER_LEASE,
            }),
            _ => None,
        };
        let is_fresh = status.leader.is_some() && status.is_current;
        let alive = Frame::Alive { is_fresh, version: 0 };
        send_all(&state, None, &alive);
    }

    fn pass_lists(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let forgotten = state.roster.expire(now);
        if !forgotten.is_empty() {
            info!("upstreams forgotten: {forgotten:?}");
            let frame = Frame::Forgotten(forgotten);
            for peer in state.entries.values() {
                peer.link.send(&frame);
            }
        }
        if std::mem::take(&mut state.own_list_changed) {
            let own = own_list(&state);
            state.lists.set(&self.me.vm, own.clone());
            let frame = Frame::Entries(own);
            for peer in state.controls.values() {
                peer.link.send(&frame);
            }
        }
        let all = state.lists.all();
        if all != state.sent {
            let frame = Frame::Entries(all.clone());
            for peer in state.entries.values() {
                peer.link.send(&frame);
            }
            state.sent = all;
        }
    }

    /// Answers an ask for tokens, or passes it on to the leader.
    fn ask(&self, link: &Link, ask: Ask) {
        let Ok(replication) = self.replication() else {
            return;
        };
        let status = replication.status();
        if status.role != Role::Leader {
            let leader = status.leader.and_then(|vm| self.control_link(&vm));
            match leader {
                Some(leader) => leader.send(&Frame::Ask(ask)),
                None => {
                    let spender = ask.spender.clone();
                    let grant = ask.refuse(LEADER_WAIT);
                    link.send(&Frame::Grant { spender, grant });
                }
            }
            return;
        }
        let now = Instant::now();
        let view = replication.read(Catalog::view);
        let spender = ask.spender.clone();
        let mut state = self.state.lock().unwrap();
        let lease = state.lease.filter(|l| now < l.end);
        let grant: Grant = match (lease, view.customers.get(&ask.customer)) {
            (Some(lease), Some(customer)) => state.owner.ask(now, lease, PARTITION, customer, &ask),
            _ => ask.refuse(LEADER_WAIT),
        };
        drop(state);
        link.send(&Frame::Grant { spender, grant });
    }

    async fn change(&self, op: Op) -> Result<crate::catalog::change::Outcome> {
        let change = Change {
            id: Default::default(),
            expect: 0,
            op,
        };
        let data = serde_json::to_vec(&change).map_err(|e| Error::new(Code::BadParams, e.to_string()))?;
        let end = Instant::now() + CALL_LIMIT;
        let result = match self.leader(end).await? {
            Leader::Me => self.replication()?.propose(data).await?,
            Leader::Other(link) => {
                let outcome = self
                    .call(&link, end, |number| Frame::Propose { number, data })
                    .await?;
                match outcome {
                    Outcome::Applied(result) => result,
                    Outcome::Failed(code) => return Err(code_error(code)),
                    Outcome::Fenced(_) => return Err(Code::BadAnswer.into()),
                }
            }
        };
        serde_json::from_slice(&result).map_err(|e| Error::new(Code::BadAnswer, e.to_string()))
    }

    /// The leader, waiting a little for one.
    async fn leader(&self, end: Instant) -> Result<Leader> {
        let until = end.min(Instant::now() + LEADER_WAIT);
        loop {
            let status = self.replication()?.status();
            if status.role == Role::Leader {
                return Ok(Leader::Me);
            }
            if let Some(link) = status.leader.and_then(|vm| self.control_link(&vm)) {
                return Ok(Leader::Other(link));
            }
            if Instant::now() >= until {
                return Err(Error::new(Code::NotLeader, "no leader is known"));
            }
            task::sleep(POLL).await;
        }
    }

    async fn call(&self, link: &Link, end: Instant, frame: impl FnOnce(u64) -> Frame) -> Result<Outcome> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.state.lock().unwrap().calls.insert(number, sender);
        link.send(&frame(number));
        let left = end.saturating_duration_since(Instant::now());
        let answer = future::timeout(left, receiver).await;
        self.state.lock().unwrap().calls.remove(&number);
        match answer {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(Error::new(Code::Timeout, "the leader did not answer")),
        }
    }
}

/// The other side of a connection.
enum Peer {
    Entry(VmName),
    Control(VmName),
}

fn own_list(state: &State) -> Vec<EntryVm> {
    state.entries.values().map(|p| p.entry.clone()).collect()
}

/// Sends to all control VMs and all entry VMs but one.
fn send_all(state: &State, without: Option<&VmName>, frame: &Frame) {
    let bytes = match link::encode(frame) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!("message not sent: {e}");
            return;
        }
    };
    for peer in state.controls.values() {
        peer.link.send_bytes(bytes.clone());
    }
    for (vm, peer) in &state.entries {
        if Some(vm) != without {
            peer.link.send_bytes(bytes.clone());
        }
    }
}
