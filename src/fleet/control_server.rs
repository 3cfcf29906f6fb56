//! Server of a control VM: serves connections of entry VMs and connects to the other control VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::task;
use log::info;
use log::warn;
use parking_lot::Mutex;

use self::state::Peer;
use self::state::State;
use self::warmup::WarmupLog;
use crate::catalog::Catalog;
use crate::catalog::change::Op;
use crate::catalog::edition::Edition;
use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::discovery::AnnouncedState;
use crate::fleet::discovery::Announcement;
use crate::fleet::link;
use crate::fleet::link::HEARTBEAT_PERIOD;
use crate::fleet::link::Link;
use crate::fleet::link::Reader;
use crate::fleet::message::ControlVm;
use crate::fleet::message::Frame;
use crate::fleet::message::ZERO_EDITION_REVISION;
use crate::fleet::warmup::WarmupBound;
use crate::grant::Excess;
use crate::id::DomainName;
use crate::id::UpstreamId;
use crate::id::VmName;
use crate::job::Jobs;
use crate::replica::Envelope;
use crate::replication::Replication;
use crate::replication::Transport;
use crate::timer::Timer;
use crate::view::View;

mod call;
mod crashes;
mod departures;
mod evacuations;
mod receive;
mod revisions;
mod state;
mod tick;
mod warmup;

/// Time between checks for a new configuration version to push. It is part of the 2 s in which a change must
/// be in force.
const CONFIG_PUSH_PERIOD: Duration = Duration::from_millis(50);
/// Time between reports of retry counts and requests in flight to the entry VMs. Successes, and reports to
/// the other control VMs, go out once in several periods; failures are sent at once.
const REPORT_PERIOD: Duration = Duration::from_millis(150);
/// Time between attempts to connect to the control VMs that are not connected.
const DIAL_PERIOD: Duration = Duration::from_millis(250);
/// Additional attempts to connect after the start, and the pause between them.
const STARTUP_DIALS: u32 = 8;
const STARTUP_DIAL_PAUSE: Duration = Duration::from_millis(40);
/// Shares into which the limit of a customer is divided: one, as the leader grants all tokens.
pub(crate) const TOKEN_SHARES: u8 = 1;
/// Time between checks for expired upstreams and a changed list of entry VMs.
const ENTRY_LIST_PERIOD: Duration = Duration::from_millis(200);

struct Shared {
    local: ControlVm,
    seeds: Vec<VmName>,
    replication: OnceLock<Arc<Replication<Catalog>>>,
    state: Mutex<State>,
    /// Next number of a connection or of a call to the leader.
    next_number: AtomicU64,
    /// Number of connections to control VMs that were lost.
    lost_connections: AtomicU64,
    /// Time over which retries are counted.
    retry_window: Duration,
    /// How far customers may exceed their limits when the leader changes.
    excess: Excess,
    /// The failure domains of the deployment; empty if its settings list none.
    domains: BTreeSet<DomainName>,
    warmup_log: WarmupLog,
}

/// Settings of a control server.
#[derive(Debug, Clone)]
pub struct ControlServerSettings {
    /// This VM.
    pub control: ControlVm,
    /// Control VMs to connect to at the start, by their names, which are their addresses.
    pub seeds: Vec<VmName>,
    /// Time over which retries are counted.
    pub retry_window: Duration,
    /// How far customers may exceed their limits when the leader changes.
    pub excess: Excess,
    /// The failure domains of the deployment; empty if its settings list none.
    pub domains: BTreeSet<DomainName>,
    /// How far the requests to a cold upstream may exceed what it tolerates.
    pub warmup: WarmupBound,
}

/// The server of a control VM; clones share it.
#[derive(Clone)]
pub struct ControlServer {
    shared: Arc<Shared>,
    jobs: Arc<Jobs>,
}

/// Sends the messages of the replicated log over the connections between control VMs.
pub struct MeshTransport(Arc<Shared>);

impl Transport for MeshTransport {
    fn send(&mut self, envelope: Envelope) {
        let to = envelope.to.clone();
        if let Some(link) = self.0.control_link(&to) {
            link.send(&Frame::Replica(envelope));
        }
    }
}

impl ControlServer {
    /// A server that is not started yet.
    pub fn new(settings: ControlServerSettings) -> Self {
        let shared = Shared {
            local: settings.control,
            seeds: settings.seeds,
            replication: OnceLock::new(),
            state: Mutex::new(State::new(settings.warmup)),
            next_number: AtomicU64::new(1),
            lost_connections: AtomicU64::new(0),
            retry_window: settings.retry_window,
            excess: settings.excess,
            domains: settings.domains,
            warmup_log: WarmupLog::default(),
        };
        Self {
            shared: Arc::new(shared),
            jobs: Arc::default(),
        }
    }

    /// The transport for the replicated log.
    pub fn transport(&self) -> MeshTransport {
        MeshTransport(Arc::clone(&self.shared))
    }

    /// Binds the address and starts the background tasks.
    ///
    /// # Errors
    /// `Bind` if the address cannot be bound, `Kernel` if the server was started before.
    pub async fn start(
        &self,
        address: SocketAddr,
        replication: Arc<Replication<Catalog>>,
        timer: &Timer,
    ) -> Result<()> {
        self.shared.state.lock().observe_running(Instant::now());
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|e| Error::new(Code::Bind, format!("{address}: {e}")))?;
        if self.shared.replication.set(replication).is_err() {
            return Err(Error::new(Code::Kernel, "the control server is already started"));
        }
        let shared = Arc::clone(&self.shared);
        self.jobs.spawn(async move { shared.accept(listener).await });
        let dialer = Arc::clone(&self.shared);
        self.jobs.spawn(async move {
            // When all processes start together, some are not listening at the first attempt.
            for _ in 0..STARTUP_DIALS {
                dialer.dial_controls();
                task::sleep(STARTUP_DIAL_PAUSE).await;
            }
        });
        type PeriodicTask = fn(&Arc<Shared>);
        let tasks: [(Duration, PeriodicTask); 5] = [
            (CONFIG_PUSH_PERIOD, Shared::push_config),
            (REPORT_PERIOD, Shared::send_reports),
            (HEARTBEAT_PERIOD, Shared::send_heartbeats),
            (ENTRY_LIST_PERIOD, Shared::send_lists),
            (DIAL_PERIOD, Shared::dial_controls),
        ];
        for (period, run) in tasks {
            let (ticks, shared) = (timer.subscribe(period), Arc::clone(&self.shared));
            self.jobs.spawn(async move {
                while ticks.next().await.is_some() {
                    run(&shared);
                }
            });
        }
        Ok(())
    }

    /// Applies a report of an upstream. A report that it is draining is durable on a majority of the control
    /// VMs when this returns.
    ///
    /// # Errors
    /// `NotLeader`, `NoQuorum` or `Timeout`: the departure may or may not have been recorded.
    pub async fn announce(&self, report: Announcement) -> Result<()> {
        if report.state == AnnouncedState::Draining {
            let upstream = report.upstream.clone();
            return self.deregister(upstream, Some(report.born)).await;
        }
        self.shared.apply_announcement(Instant::now(), report, true);
        Ok(())
    }

    /// Records in the replicated log that a run of an upstream leaves. `run_start` is its start in milliseconds since
    /// 1970 by its clock, `None` if it doesn't state it.
    ///
    /// # Errors
    /// As for `announce`.
    pub async fn deregister(&self, upstream: UpstreamId, run_start: Option<u64>) -> Result<()> {
        let run_start = match run_start {
            Some(stated) => stated,
            None => self.shared.unstated_start(&upstream).await?,
        };
        self.shared.depart(upstream, run_start).await
    }

    /// Start of the listed run of an upstream, in milliseconds since 1970 by its clock.
    pub fn run_start(&self, upstream: &UpstreamId) -> Option<u64> {
        let state = self.shared.state.lock();
        state.upstreams.get(upstream).map(|l| l.report.born)
    }

    /// Replaces the configuration, unless the one in force has the same or a higher number.
    ///
    /// # Errors
    /// `BadParams` if the edition is inconsistent, `MixedBuilds` if the first edition has the number 0 and a connected
    /// control VM would not apply it, the code of the fault if applying it failed, otherwise as for `announce`.
    pub async fn replace_edition(&self, edition: Edition) -> Result<()> {
        let number = edition.number;
        edition
            .check()
            .map_err(|fault| Error::new(Code::BadParams, fault.detail))?;
        let replication = self.shared.replication()?;
        let (held, is_newer) = replication.read(|c| (c.view().edition, c.is_newer_edition(number)));
        if !is_newer {
            info!("configuration not newer: number={number} held={held}");
            return Ok(());
        }
        if number == 0 {
            self.shared.check_revisions(ZERO_EDITION_REVISION).await?;
        }
        let outcome = self.shared.propose_change(Op::Replace(Arc::new(edition))).await?;
        info!(
            "configuration accepted: number={number} version={}",
            outcome.version
        );
        match outcome.fault {
            Some(fault) => Err(Error::new(fault.code(), fault.detail)),
            None => Ok(()),
        }
    }

    /// The edition in force, read after the leader confirmed that it still leads; `None` before the first
    /// edition.
    ///
    /// # Errors
    /// As for `announce`.
    pub async fn edition(&self) -> Result<Option<Arc<Edition>>> {
        self.shared.catch_up().await?;
        Ok(self.shared.replication()?.read(Catalog::edition))
    }

    /// Number of connected control VMs.
    pub fn connected_controls(&self) -> usize {
        self.shared.state.lock().controls.len()
    }

    /// Number of connections to control VMs that were lost since the start.
    pub fn lost_connections(&self) -> u64 {
        self.shared.lost_connections.load(Ordering::Relaxed)
    }
}

impl Component for ControlServer {
    const NAME: &'static str = "hub";

    async fn stop(&self) {
        self.jobs.stop().await;
        let mut state = self.shared.state.lock();
        for (_, peer) in state.entries.drain() {
            peer.link.close();
        }
        for (_, peer) in state.controls.drain() {
            peer.link.close();
        }
    }
}

impl Shared {
    fn replication(&self) -> Result<&Arc<Replication<Catalog>>> {
        let replication = self.replication.get();
        replication.ok_or_else(|| Error::new(Code::NotLeader, "the replica is starting"))
    }

    fn control_link(&self, vm: &VmName) -> Option<Link> {
        let state = self.state.lock();
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

    /// Connects to the known control VMs that are not connected, after dropping those not seen for too long.
    fn dial_controls(self: &Arc<Self>) {
        let Ok(replication) = self.replication() else {
            return;
        };
        let members = replication.status().membership;
        let mut names: Vec<VmName> = members.members().map(|m| m.vm.clone()).collect();
        names.extend(self.seeds.iter().cloned());
        {
            let mut state = self.state.lock();
            state.expire_controls(Instant::now());
            names.extend(state.known_controls.keys().cloned());
            names.sort_unstable();
            names.dedup();
            names.retain(|n| *n != self.local.vm);
            replication.set_peers(names.clone());
            names.retain(|n| !state.controls.contains_key(n));
        }
        for name in names {
            let Ok(address) = name.parse::<SocketAddr>() else {
                warn!("control VM {name} not connected: its name is not an address");
                continue;
            };
            let shared = Arc::clone(self);
            task::spawn(async move {
                // A VM that is down is tried again in the next period.
                if let Ok((link, reader)) = link::connect(address).await {
                    shared.serve(link, reader, true).await;
                }
            });
        }
    }

    /// Handles the messages of one connection until it ends; `dialed` if this VM opened it.
    async fn serve(self: Arc<Self>, link: Link, mut reader: Reader, dialed: bool) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        if dialed {
            link.send(&Frame::Control(self.local.clone()));
        }
        let mut peer = None;
        let reason = loop {
            match reader.next().await {
                Ok(frame) => self.handle_frame(&link, number, dialed, &mut peer, frame),
                Err(e) => break e,
            }
        };
        link.close();
        let mut state = self.state.lock();
        match peer {
            Some(Peer::Entry(vm)) if state.entries.get(&vm).is_some_and(|p| p.number == number) => {
                state.entries.remove(&vm);
                state.entry_vms.disconnect_entry(&vm, number);
                state.own_entries_changed = true;
                info!("entry VM lost: vm={vm} reason=\"{reason}\"");
            }
            Some(Peer::Control(vm)) if state.controls.get(&vm).is_some_and(|p| p.number == number) => {
                state.controls.remove(&vm);
                self.lost_connections.fetch_add(1, Ordering::Relaxed);
                state.entry_vms.disconnect_control(&vm, number);
                warn!("control VM lost: vm={vm} reason=\"{reason}\"");
                // Entry VMs that leave this one look for a leader among the others.
                let controls = Frame::Controls(self.control_list(&state));
                state.send_to_entries(&controls);
            }
            _ => {}
        }
    }

    fn view(&self) -> Option<Arc<View>> {
        self.replication.get().map(|r| r.read(Catalog::view))
    }
}
