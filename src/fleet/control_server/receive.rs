//! Handling of the messages that the control server receives.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use log::info;

use super::Shared;
use super::state::ControlPeer;
use super::state::EntryPeer;
use super::state::Peer;
use super::state::State;
use super::tick::heartbeat;
use crate::catalog::Catalog;
use crate::catalog::delta::Delta;
use crate::error::Result;
use crate::fleet::discovery;
use crate::fleet::discovery::Announcement;
use crate::fleet::health::HealthUpdate;
use crate::fleet::link::Link;
use crate::fleet::message::CallOutcome;
use crate::fleet::message::ConfigUpdate;
use crate::fleet::message::ControlVm;
use crate::fleet::message::EntryVm;
use crate::fleet::message::Frame;
use crate::fleet::message::PLACEMENT_REVISION;
use crate::fleet::retry_budget::Totals;
use crate::fleet::warmup::arrivals::Arrivals;
use crate::grant::Grant;
use crate::grant::TokenRequest;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::quarantine::CrashRecord;
use crate::replica::Role;
use crate::view::View;

/// The leader holds all token buckets, in one partition.
pub(super) const TOKEN_PARTITION: u32 = 0;

/// Delay after which an entry VM repeats a token request that no leader answered; short compared with the
/// time for which a caller's request waits for a token.
const NO_LEADER_RETRY: Duration = Duration::from_millis(60);

/// Runs a call of another control VM in a task of its own, and replies with its outcome.
fn spawn_reply(link: &Link, number: u64, work: impl Future<Output = Result<CallOutcome>> + Send + 'static) {
    let link = link.clone();
    task::spawn(async move {
        let outcome = work
            .await
            .unwrap_or_else(|e| CallOutcome::Failed(e.code.number()));
        link.send(&Frame::Reply { number, outcome });
    });
}

impl Shared {
    /// Handles one message of connection `number`; `dialed` if this VM opened it. `peer` is the VM at the
    /// other end, set by its first message.
    pub(super) fn handle_frame(
        self: &Arc<Self>,
        link: &Link,
        number: u64,
        dialed: bool,
        peer: &mut Option<Peer>,
        frame: Frame,
    ) {
        let now = Instant::now();
        self.state.lock().record_message(now, peer.as_ref(), number);
        match frame {
            Frame::Entry { entry, version } => {
                let vm = entry.vm.clone();
                self.register_entry(link, number, entry, version);
                *peer = Some(Peer::Entry(vm));
            }
            Frame::Control(other) => {
                let vm = other.vm.clone();
                self.register_control(link, number, dialed, other);
                *peer = Some(Peer::Control(vm));
            }
            Frame::Heartbeat {
                version, revision, ..
            } => {
                if let Some(Peer::Entry(vm)) = peer
                    && let Some(entry) = self.state.lock().entries.get_mut(vm)
                {
                    entry.version = entry.version.max(version);
                }
                self.set_revision(peer.as_ref(), number, revision);
            }
            Frame::Replica(envelope) => {
                if let Ok(replication) = self.replication() {
                    replication.receive(envelope);
                }
            }
            Frame::Announcements { reports, .. } => {
                for report in reports {
                    self.apply_announcement(now, report, false);
                }
            }
            Frame::Results(updates) => self.forward_results(peer.as_ref(), updates),
            Frame::InFlight(in_flight) => self.record_in_flight(peer.as_ref(), in_flight),
            Frame::Usage(usage) => self.record_usage(peer.as_ref(), usage),
            Frame::Entries(entries) => {
                if let Some(Peer::Control(vm)) = peer {
                    let is_used = self.state.lock().entry_vms.set(now, vm, number, entries);
                    if !is_used {
                        info!(
                            "list of entry VMs ignored: control={vm} reason=\"its connection was replaced\""
                        );
                    }
                }
            }
            Frame::TokenRequest(request) => self.answer_token_request(link, request),
            Frame::Grant { spender, grant } => {
                let state = self.state.lock();
                if let Some(entry) = state.entries.get(&spender) {
                    entry.link.send(&Frame::Grant { spender, grant });
                }
            }
            Frame::Crash { fingerprint } => {
                let crash = CrashRecord::of_crash(&fingerprint, rand::random());
                self.record_crashes(peer.as_ref(), vec![crash]);
            }
            Frame::CrashRecords(records) => self.record_crashes(peer.as_ref(), records),
            Frame::CrashTakenBack { fingerprint, crash } => {
                self.take_back_crash(peer.as_ref(), &fingerprint, crash);
            }
            Frame::Leaving { upstream, run_start } => self.record_leaving(peer.as_ref(), upstream, run_start),
            Frame::Propose { number, data } => {
                let shared = Arc::clone(self);
                spawn_reply(link, number, async move {
                    shared
                        .replication()?
                        .propose(data)
                        .await
                        .map(CallOutcome::Applied)
                });
            }
            Frame::ReadIndex { number } => {
                let shared = Arc::clone(self);
                spawn_reply(link, number, async move {
                    shared
                        .replication()?
                        .read_index()
                        .await
                        .map(CallOutcome::ReadIndex)
                });
            }
            Frame::Reply { number, outcome } => {
                let call = self.state.lock().pending_calls.remove(&number);
                // Sending fails if the call has timed out.
                let _ = call.map(|c| c.send(outcome));
            }
            Frame::Controls(controls) => self.merge_controls(controls),
            Frame::WarmupRequest(request) => self.handle_warmup_request(peer.as_ref(), link, request),
            Frame::WarmupGrant { vm, grant } => self.forward_warmup_grant(peer.as_ref(), vm, grant),
            Frame::ExpiredUpstreams(_) | Frame::Config(_) => {}
        }
    }

    /// Adds an entry VM that has just connected and sends it the state of the fleet, or updates the
    /// description of one that is connected.
    pub(super) fn register_entry(&self, link: &Link, number: u64, entry: EntryVm, version: Version) {
        let view = self.view();
        let now = Instant::now();
        let mut state = self.state.lock();
        state.own_entries_changed = true;
        if state.entries.get(&entry.vm).is_some_and(|p| p.number == number) {
            state.entry_vms.connect_entry(now, number, entry);
            return;
        }
        info!("entry VM connected: vm={} version={version}", entry.vm);
        let vm = entry.vm.clone();
        state.entry_vms.connect_entry(now, number, entry);
        let reports = state.upstreams.iter().map(|l| l.report_at(now)).collect();
        link.send(&Frame::Controls(self.control_list(&state)));
        link.send(&Frame::Announcements {
            is_complete: true,
            reports,
        });
        // All connected VMs get the list that this one gets, so that the next change reaches all of them.
        state.send_entry_list(now);
        link.send(&Frame::Entries(state.sent_entries.clone()));
        if let Some(view) = &view {
            self.send_config(link, version, None, view);
        }
        // The entry VM admits requests once its configuration is confirmed.
        if let Ok(replication) = self.replication() {
            link.send(&heartbeat(&replication.status()));
        }
        let peer = EntryPeer {
            link: link.clone(),
            number,
            version: version.max(view.map_or(0, |v| v.version)),
            revision: None,
            in_flight: HashMap::new(),
            arrivals: Arrivals::default(),
        };
        state.entries.insert(vm, peer);
    }

    /// Adds a control VM that has just connected and sends it the upstreams and entry VMs, unless another
    /// connection to it is kept.
    pub(super) fn register_control(&self, link: &Link, number: u64, dialed: bool, other: ControlVm) {
        if !dialed {
            link.send(&Frame::Control(self.local.clone()));
        }
        let mut state = self.state.lock();
        let now = Instant::now();
        if let Some(known) = state.controls.get(&other.vm).filter(|p| p.number != number) {
            if known.is_preferred(now, &self.local.vm, &other.vm, dialed) {
                link.close();
                return;
            }
            known.link.close();
        }
        info!("control VM connected: vm={} domain={}", other.vm, other.domain);
        let reports: Vec<Announcement> = state
            .upstreams
            .iter()
            .filter(|l| now.saturating_duration_since(l.received) < discovery::REPLACE_AFTER)
            .map(|l| l.report_at(now))
            .collect();
        link.send(&Frame::Announcements {
            is_complete: false,
            reports,
        });
        link.send(&Frame::Entries(state.entry_vms.own(now)));
        state.entry_vms.connect_control(now, &other.vm, number);
        state.known_controls.insert(other.vm.clone(), other.clone());
        let peer = ControlPeer {
            domain: other.domain,
            link: link.clone(),
            number,
            dialed,
            last_received: now,
            revision: None,
            in_flight: HashMap::new(),
        };
        state.controls.insert(other.vm, peer);
        let controls = Frame::Controls(self.control_list(&state));
        state.send_to_all(None, &controls);
    }

    /// Adds the control VMs that another one lists, so that a VM that was given only some of the addresses
    /// is connected to all.
    pub(super) fn merge_controls(&self, controls: Vec<ControlVm>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        for other in controls.into_iter().filter(|c| c.vm != self.local.vm) {
            state.last_seen.insert(other.vm.clone(), now);
            state.known_controls.entry(other.vm.clone()).or_insert(other);
        }
    }

    /// This control VM and those connected to it.
    pub(super) fn control_list(&self, state: &State) -> Vec<ControlVm> {
        let connected = state
            .controls
            .keys()
            .filter_map(|vm| state.known_controls.get(vm));
        let mut controls: Vec<ControlVm> = connected.cloned().collect();
        controls.push(self.local.clone());
        controls
    }

    /// Sends the changes after a version, or the whole configuration if they are no longer held, if the version is 0,
    /// which stands for no configuration, or if a VM with this revision may not be able to read the changes.
    pub(super) fn send_config(&self, link: &Link, version: Version, revision: Option<u8>, view: &Arc<View>) {
        if version >= view.version {
            return;
        }
        let changes = self
            .replication
            .get()
            .and_then(|r| r.read(|c| c.deltas_after(version)));
        let reads_all = revision.is_some_and(|r| r >= PLACEMENT_REVISION);
        let is_readable =
            |changes: &Vec<Delta>| reads_all || changes.iter().all(Delta::is_known_before_revision_3);
        let update = match changes.filter(|changes| version > 0 && is_readable(changes)) {
            Some(changes) => ConfigUpdate::Changes(changes),
            None => ConfigUpdate::Full(Box::new(View::clone(view))),
        };
        link.send(&Frame::Config(update));
    }

    /// Applies a report of an upstream and forwards it if it is new; `is_from_upstream` is false for reports
    /// that another control VM forwarded.
    pub(super) fn apply_announcement(&self, now: Instant, report: Announcement, is_from_upstream: bool) {
        let Some(view) = self.view() else { return };
        if view.has_departed(&report.upstream, report.born) {
            return;
        }
        let mut state = self.state.lock();
        let change = state.upstreams.announce(now, report.clone());
        if change == discovery::Change::Outdated {
            return;
        }
        state.departed_here.remove(&report.upstream);
        if change == discovery::Change::Refreshed {
            if is_from_upstream {
                state.pending_refreshes.insert(report.upstream);
            }
            return;
        }
        info!(
            "upstream listed: upstream={} service={} address={} state={} born={} sequence={} \
             cold_ms={}",
            report.upstream,
            report.service,
            report.address,
            report.state,
            report.born,
            report.sequence,
            report.cold_ms
        );
        let frame = Frame::Announcements {
            is_complete: false,
            reports: vec![report],
        };
        if is_from_upstream {
            state.send_to_controls(&frame);
        }
        state.send_to_entries(&frame);
    }

    /// Forwards results. Of those of an entry VM, failures are forwarded at once and successes with the next
    /// report; those of a control VM go to the entry VMs connected here.
    pub(super) fn forward_results(&self, from: Option<&Peer>, updates: Vec<HealthUpdate>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        match from {
            Some(Peer::Entry(vm)) => {
                let mut urgent = Vec::new();
                for update in updates {
                    urgent.extend(state.queue_results(now, update));
                }
                if !urgent.is_empty() {
                    state.send_to_all(Some(vm), &Frame::Results(urgent));
                }
            }
            Some(Peer::Control(_)) => {
                let frame = Frame::Results(updates);
                state.send_to_entries(&frame);
            }
            None => {}
        }
    }

    /// Stores the requests in flight that a VM reported.
    pub(super) fn record_in_flight(&self, from: Option<&Peer>, in_flight: Vec<(UpstreamId, u16)>) {
        let mut state = self.state.lock();
        let in_flight = in_flight.into_iter().collect();
        match from {
            Some(Peer::Entry(vm)) => {
                if let Some(peer) = state.entries.get_mut(vm) {
                    peer.in_flight = in_flight;
                }
            }
            Some(Peer::Control(vm)) => {
                if let Some(peer) = state.controls.get_mut(vm) {
                    peer.in_flight = in_flight;
                }
            }
            None => {}
        }
    }

    /// Counts requests and retries; those of entry VMs are also reported to the other control VMs.
    pub(super) fn record_usage(&self, from: Option<&Peer>, usage: Vec<(ServiceId, Totals)>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        for (service, totals) in &usage {
            state.usage.add(now, self.retry_window, service, *totals);
        }
        if matches!(from, Some(Peer::Entry(_))) {
            for (service, totals) in usage {
                let sum = state.unsent_usage.entry(service).or_default();
                sum.add(totals);
            }
        }
    }

    /// Answers a token request, or forwards it to the leader if another VM leads.
    pub(super) fn answer_token_request(&self, link: &Link, request: TokenRequest) {
        let Ok(replication) = self.replication() else {
            return;
        };
        let status = replication.status();
        if status.role != Role::Leader {
            let leader = status.leader.and_then(|vm| self.control_link(&vm));
            match leader {
                Some(leader) => leader.send(&Frame::TokenRequest(request)),
                None => {
                    let spender = request.spender.clone();
                    let grant = request.refuse(NO_LEADER_RETRY);
                    link.send(&Frame::Grant { spender, grant });
                }
            }
            return;
        }
        let now = Instant::now();
        let view = replication.read(Catalog::view);
        let spender = request.spender.clone();
        let mut state = self.state.lock();
        state.update_lease(now, &status, self.excess);
        let grant: Grant = match (state.lease.get(), view.customers.get(&request.customer)) {
            (Some(lease), Some(customer)) => {
                state.owner.grant(now, lease, TOKEN_PARTITION, customer, &request)
            }
            _ => request.refuse(NO_LEADER_RETRY),
        };
        drop(state);
        link.send(&Frame::Grant { spender, grant });
    }
}
