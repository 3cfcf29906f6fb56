//! State of the control server: its connections and its view of the fleet.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use futures::channel::oneshot;
use log::error;
use log::info;
use log::warn;

use super::TOKEN_SHARES;
use crate::fleet::crash_policy;
use crate::fleet::discovery::UpstreamTable;
use crate::fleet::entry_vms::EntryVms;
use crate::fleet::health::HealthUpdate;
use crate::fleet::link;
use crate::fleet::link::HEARTBEAT_PERIOD;
use crate::fleet::link::Link;
use crate::fleet::message::CallOutcome;
use crate::fleet::message::ControlVm;
use crate::fleet::message::EntryVm;
use crate::fleet::message::Frame;
use crate::fleet::retry_budget::FleetUsage;
use crate::fleet::retry_budget::Totals;
use crate::fleet::token_lease::LeaseChange;
use crate::fleet::token_lease::TokenLease;
use crate::fleet::warmup::WarmupBound;
use crate::fleet::warmup::arrivals::Arrivals;
use crate::fleet::warmup::issuer::Issuer;
use crate::grant::Excess;
use crate::grant::Owner;
use crate::id::DomainName;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::id::VmName;
use crate::quarantine::CrashTable;
use crate::replica::ReplicaStatus;
use crate::view::Evacuation;

/// Time after which a control VM that is neither connected here nor listed by another control VM is no longer
/// known.
pub(super) const CONTROL_RETENTION: Duration = Duration::from_secs(20);

/// A connection counts as live for this many heartbeat periods after its last message.
const LIVE_HEARTBEATS: u32 = 2;

/// A connected entry VM.
pub(super) struct EntryPeer {
    pub(super) link: Link,
    /// Number of the connection, so that the end of an earlier one doesn't remove a later one of the same VM.
    pub(super) number: u64,
    /// Version of the configuration that it holds or was sent.
    pub(super) version: Version,
    /// Revision of its messages, from its first heartbeat on.
    pub(super) revision: Option<u8>,
    /// Its requests in flight, by upstream.
    pub(super) in_flight: HashMap<UpstreamId, u16>,
    /// Its requests for permits.
    pub(super) arrivals: Arrivals,
}

/// A connected control VM.
pub(super) struct ControlPeer {
    /// Its failure domain.
    pub(super) domain: DomainName,
    pub(super) link: Link,
    /// Number of the connection, as in [`EntryPeer`].
    pub(super) number: u64,
    /// Whether this VM opened the connection.
    pub(super) dialed: bool,
    /// When the last message arrived.
    pub(super) last_received: Instant,
    /// Revision of its messages, from its first heartbeat on.
    pub(super) revision: Option<u8>,
    /// Requests in flight of the entry VMs that are connected to it, by upstream.
    pub(super) in_flight: HashMap<UpstreamId, u16>,
}

/// Successful requests at one upstream that are to be forwarded.
pub(super) struct PendingSuccesses {
    pub(super) update: HealthUpdate,
    /// When the latest of the requests was sent.
    pub(super) last_sent: Instant,
}

impl ControlPeer {
    /// Whether this connection is kept and a later one to the same VM is closed. When two VMs dial each other
    /// at once, both keep the connection opened by the VM whose name sorts first; without this order, each
    /// could close the connection that the other keeps.
    pub(super) fn is_preferred(&self, now: Instant, local: &VmName, remote: &VmName, dialed: bool) -> bool {
        let is_live = now.saturating_duration_since(self.last_received) < LIVE_HEARTBEATS * HEARTBEAT_PERIOD;
        let is_opened_by_first = |dialed: bool| dialed == (local < remote);
        is_live && is_opened_by_first(self.dialed) && !is_opened_by_first(dialed)
    }
}

impl PendingSuccesses {
    pub(super) fn into_update(self, now: Instant) -> HealthUpdate {
        let age = now.saturating_duration_since(self.last_sent).as_millis();
        HealthUpdate {
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            ..self.update
        }
    }
}

/// What the control server keeps under its lock.
pub(super) struct State {
    pub(super) upstreams: UpstreamTable,
    /// Entry VMs connected here.
    pub(super) entries: HashMap<VmName, EntryPeer>,
    /// Control VMs connected here.
    pub(super) controls: HashMap<VmName, ControlPeer>,
    /// Control VMs that were connected here or listed by another control VM.
    pub(super) known_controls: HashMap<VmName, ControlVm>,
    /// When a control VM was last connected here or listed by another.
    pub(super) last_seen: HashMap<VmName, Instant>,
    /// Entry VMs by the control VM that they are connected to.
    pub(super) entry_vms: EntryVms,
    /// Whether the entry VMs connected here have changed since their list was last sent to the control VMs.
    pub(super) own_entries_changed: bool,
    /// The list of the entry VMs connected here that was last sent to the control VMs.
    pub(super) sent_own_entries: Vec<EntryVm>,
    /// Grants tokens from the token buckets while this VM leads.
    pub(super) owner: Owner,
    /// Right to grant tokens.
    pub(super) lease: TokenLease,
    /// Grants permits for cold upstreams while this VM leads.
    pub(super) issuer: Issuer,
    /// Open calls to the leader, by number.
    pub(super) pending_calls: HashMap<u64, oneshot::Sender<CallOutcome>>,
    /// Successes that are forwarded with the next report to the control VMs.
    pub(super) pending_successes: HashMap<UpstreamId, PendingSuccesses>,
    /// When an entry VM connected here last reported a broken connection or cut answer of an upstream.
    pub(super) last_failures: HashMap<UpstreamId, Instant>,
    /// Upstreams that sent a report to this VM that changed nothing, since these were last sent to the control VMs.
    pub(super) pending_refreshes: HashSet<UpstreamId>,
    /// Runs of upstreams whose departure is being recorded.
    pub(super) pending_departures: HashSet<(UpstreamId, u64)>,
    /// Upstreams that were listed here until the run that was listed departed.
    pub(super) departed_here: HashSet<UpstreamId>,
    /// Crashes of upstreams that the fleet reported, by fingerprint.
    pub(super) crashes: CrashTable,
    /// Requests and retries of the fleet in the retry window.
    pub(super) usage: FleetUsage,
    /// Requests and retries of the entry VMs connected here since the last report to the other control VMs.
    pub(super) unsent_usage: HashMap<ServiceId, Totals>,
    /// Number of calls of `send_reports` so far.
    pub(super) report_periods: u64,
    /// Number of successive reports to all control VMs that had no requests in flight.
    pub(super) idle_reports: u64,
    /// Configuration version that was last sent to the entry VMs.
    pub(super) pushed_version: Version,
    /// Evacuated failure domains at that version.
    pub(super) evacuated: Vec<Evacuation>,
    /// The list of all entry VMs that each entry VM connected here was sent last.
    pub(super) sent_entries: Vec<EntryVm>,
}

impl State {
    /// Starts, renews or ends the lease for granting tokens, by the role of this VM.
    pub(super) fn update_lease(&mut self, now: Instant, status: &ReplicaStatus, excess: Excess) {
        let term = status.term;
        match self.lease.update(now, status, excess.window) {
            LeaseChange::Started { is_steady } => {
                info!("tokens granted by this VM: term={term} credit={is_steady}");
                self.owner
                    .set_initial_excess(if is_steady { excess } else { Excess::default() });
            }
            LeaseChange::Resumed => info!("tokens granted again by this VM: term={term}"),
            LeaseChange::Ended => info!("tokens no longer granted by this VM: term={term}"),
            LeaseChange::Unchanged => {}
        }
    }

    /// Returns the report if it holds failures, so that it is forwarded at once; otherwise keeps its
    /// successes for the next report to the control VMs.
    pub(super) fn queue_results(&mut self, now: Instant, mut update: HealthUpdate) -> Option<HealthUpdate> {
        let age = Duration::from_millis(update.age_ms.into());
        let sent = now.checked_sub(age).unwrap_or(now);
        // Successes of requests sent before a failure don't count after it: an upstream that fails new
        // requests may still answer those that it was already running.
        if self
            .last_failures
            .get(&update.upstream)
            .is_some_and(|at| sent <= *at)
        {
            update.good = 0;
        }
        if update.hard > 0 {
            self.pending_successes.remove(&update.upstream);
            self.last_failures.insert(update.upstream.clone(), now);
        }
        if update.is_urgent() {
            return Some(update);
        }
        if update.good > 0 {
            let pending = self
                .pending_successes
                .entry(update.upstream.clone())
                .or_insert_with(|| PendingSuccesses {
                    update: HealthUpdate::empty(&update.upstream),
                    last_sent: sent,
                });
            pending.update.add(&update);
            pending.last_sent = pending.last_sent.max(sent);
        }
        None
    }

    /// Requests in flight of the entry VMs connected here, by upstream.
    pub(super) fn own_in_flight(&self) -> HashMap<UpstreamId, u16> {
        let mut own: HashMap<UpstreamId, u16> = HashMap::new();
        for (id, count) in self.entries.values().flat_map(|e| &e.in_flight) {
            let sum = own.entry(id.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        own
    }

    /// Removes control VMs that were not seen for [`CONTROL_RETENTION`]. The members of the control group are
    /// still dialed, because their names come from the replicated log.
    pub(super) fn expire_controls(&mut self, now: Instant) {
        for vm in self.controls.keys() {
            self.last_seen.insert(vm.clone(), now);
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CONTROL_RETENTION;
        self.last_seen.retain(|_, at| is_recent(at));
        let last_seen = &self.last_seen;
        self.known_controls.retain(|vm, _| last_seen.contains_key(vm));
    }

    pub(super) fn new(warmup: WarmupBound) -> Self {
        Self {
            upstreams: Default::default(),
            entries: Default::default(),
            controls: Default::default(),
            known_controls: Default::default(),
            last_seen: Default::default(),
            entry_vms: Default::default(),
            own_entries_changed: Default::default(),
            sent_own_entries: Default::default(),
            owner: Owner::with_shares(TOKEN_SHARES),
            lease: Default::default(),
            issuer: Issuer::new(warmup),
            pending_calls: Default::default(),
            pending_successes: Default::default(),
            pending_refreshes: Default::default(),
            pending_departures: Default::default(),
            departed_here: Default::default(),
            crashes: CrashTable::new(crash_policy::CONTROL),
            usage: FleetUsage::new(Instant::now()),
            unsent_usage: Default::default(),
            report_periods: Default::default(),
            idle_reports: Default::default(),
            last_failures: Default::default(),
            pushed_version: Default::default(),
            evacuated: Default::default(),
            sent_entries: Default::default(),
        }
    }
}

/// The VM at the other end of a connection.
pub(super) enum Peer {
    Entry(VmName),
    Control(VmName),
}

impl State {
    /// Records that this process runs.
    pub(super) fn observe_running(&mut self, now: Instant) {
        if let Some(pause) = self.entry_vms.observe(now) {
            warn!("process did not run: ms={}", pause.as_millis());
        }
    }

    /// Records a message on connection `number`.
    pub(super) fn record_message(&mut self, now: Instant, peer: Option<&Peer>, number: u64) {
        self.observe_running(now);
        match peer {
            Some(Peer::Entry(vm)) => self.entry_vms.record_entry_message(now, vm, number),
            Some(Peer::Control(vm)) => {
                self.entry_vms.record_control_message(now, vm, number);
                if let Some(control) = self.controls.get_mut(vm).filter(|p| p.number == number) {
                    control.last_received = now;
                }
            }
            None => {}
        }
    }

    /// Sends the list of all entry VMs to those connected here, unless they have it.
    pub(super) fn send_entry_list(&mut self, now: Instant) {
        let all = self.entry_vms.all(now);
        if all != self.sent_entries {
            let frame = Frame::Entries(all.clone());
            self.send_to_entries(&frame);
            let ready = all.iter().filter(|e| e.is_ready).count();
            info!(
                "entry VMs listed: vms={} ready={ready} before={}",
                all.len(),
                self.sent_entries.len()
            );
            self.sent_entries = all;
        }
    }

    /// Sends to all control VMs.
    pub(super) fn send_to_controls(&self, frame: &Frame) {
        send_encoded(frame, self.controls.values().map(|p| &p.link));
    }

    /// Sends to all entry VMs.
    pub(super) fn send_to_entries(&self, frame: &Frame) {
        send_encoded(frame, self.entries.values().map(|p| &p.link));
    }

    /// Sends to all control VMs, and to all entry VMs except one.
    pub(super) fn send_to_all(&self, except: Option<&VmName>, frame: &Frame) {
        let controls = self.controls.values().map(|p| &p.link);
        let entries = self.entries.iter().filter(|(vm, _)| Some(*vm) != except);
        send_encoded(frame, controls.chain(entries.map(|(_, p)| &p.link)));
    }
}

/// Encodes a message once and sends it on all links.
pub(super) fn send_encoded<'a>(frame: &Frame, links: impl Iterator<Item = &'a Link>) {
    match link::encode(frame) {
        Ok(bytes) => links.for_each(|link| link.send_bytes(bytes.clone())),
        Err(e) => error!("message not sent, encoding failed: {e}"),
    }
}
