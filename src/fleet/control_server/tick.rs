//! Periodic tasks of the control server.

use std::sync::Arc;
use std::time::Instant;

use log::info;

use super::Shared;
use super::state::ControlPeer;
use super::state::State;
use super::state::send_encoded;
use crate::fleet::discovery::Announcement;
use crate::fleet::health::HealthUpdate;
use crate::fleet::link::Link;
use crate::fleet::message::Frame;
use crate::fleet::message::REVISION;
use crate::fleet::retry_budget::Totals;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::replica::ReplicaStatus;

/// Reports go to the other control VMs once in this many periods, because traffic between failure domains
/// is billed.
pub(super) const CONTROL_REPORT_PERIODS: u64 = 2;
/// The same for reports of upstreams that changed nothing. They only show that the upstream still reports, which need
/// not be known sooner than [`REPLACE_AFTER`](crate::fleet::discovery::REPLACE_AFTER).
const REFRESH_PERIODS: u64 = 20;
/// The same for requests in flight to control VMs of other failure domains, whose entry VMs rarely send requests to
/// the upstreams of this one. A multiple of [`CONTROL_REPORT_PERIODS`].
const DISTANT_REPORT_PERIODS: u64 = 4;

/// A heartbeat that states whether this VM had recent contact with a leader that has a majority.
pub(super) fn heartbeat(status: &ReplicaStatus) -> Frame {
    Frame::Heartbeat {
        is_fresh: status.leader.is_some() && status.is_current,
        version: 0,
        revision: REVISION,
    }
}

/// Sends the reports that changed nothing to the other control VMs, as of now.
fn report_refreshes(now: Instant, state: &mut State) {
    let pending = std::mem::take(&mut state.pending_refreshes);
    let listed = pending.iter().filter_map(|id| state.upstreams.get(id));
    let reports: Vec<Announcement> = listed.map(|l| l.report_at(now)).collect();
    if !reports.is_empty() {
        state.send_to_controls(&Frame::Announcements {
            is_complete: false,
            reports,
        });
    }
}

impl Shared {
    /// Sends a new configuration to the entry VMs that hold an older one.
    pub(super) fn push_config(self: &Arc<Self>) {
        let Some(view) = self.view() else { return };
        let mut state = self.state.lock();
        if view.version <= state.pushed_version {
            return;
        }
        state.pushed_version = view.version;
        state.remove_departed(&view);
        state.apply_warmups(Instant::now(), &view);
        let State {
            upstreams,
            last_failures,
            ..
        } = &mut *state;
        last_failures.retain(|id, _| upstreams.get(id).is_some());
        let mut outdated: Vec<(Link, Version, Option<u8>)> = Vec::new();
        for peer in state.entries.values_mut().filter(|p| p.version < view.version) {
            outdated.push((peer.link.clone(), peer.version, peer.revision));
            peer.version = view.version;
        }
        drop(state);
        for (link, version, revision) in outdated {
            self.send_config(&link, version, revision, &view);
        }
    }

    /// Sends retry counts and requests in flight of the whole fleet to the entry VMs connected here, and once
    /// in [`CONTROL_REPORT_PERIODS`] periods also reports to the other control VMs.
    pub(super) fn send_reports(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.report_periods += 1;
        if state.report_periods % CONTROL_REPORT_PERIODS == 0 {
            self.report_to_controls(&mut state);
        }
        let totals = state.usage.totals(now, self.retry_window);
        let mut all = state.own_in_flight();
        for (id, count) in state.controls.values().flat_map(|c| &c.in_flight) {
            let sum = all.entry(id.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        let all = Frame::InFlight(all.into_iter().collect());
        // Without totals, each entry VM keeps the bound by its own counts.
        if let Some(totals) = totals {
            state.send_to_entries(&Frame::Usage(totals));
        }
        state.send_to_entries(&all);
    }

    /// Sends successes, retry counts and requests in flight of the entry VMs connected here to the other
    /// control VMs, and the successes back to these entry VMs as well.
    pub(super) fn report_to_controls(&self, state: &mut State) {
        let now = Instant::now();
        let updates: Vec<HealthUpdate> = state
            .pending_successes
            .drain()
            .map(|(_, p)| p.into_update(now))
            .collect();
        if !updates.is_empty() {
            state.send_to_all(None, &Frame::Results(updates));
        }
        let usage: Vec<(ServiceId, Totals)> = state.unsent_usage.drain().collect();
        if !usage.is_empty() {
            state.send_to_controls(&Frame::Usage(usage));
        }
        self.report_in_flight(state);
        if state.report_periods % REFRESH_PERIODS == 0 {
            report_refreshes(now, state);
        }
    }

    /// Sends the requests in flight of the entry VMs connected here to the other control VMs, less often to those of
    /// other failure domains.
    fn report_in_flight(&self, state: &mut State) {
        let in_flight: Vec<(UpstreamId, u16)> = state.own_in_flight().into_iter().collect();
        let is_distant_due = state.report_periods % DISTANT_REPORT_PERIODS == 0;
        if is_distant_due {
            state.idle_reports = match in_flight.is_empty() {
                true => state.idle_reports.saturating_add(1),
                false => 0,
            };
        }
        // The first empty report, which all control VMs get, ends the ones before.
        if state.idle_reports > 1 {
            return;
        }
        let is_due = |peer: &&ControlPeer| is_distant_due || peer.domain == self.local.domain;
        let links = state.controls.values().filter(is_due).map(|p| &p.link);
        send_encoded(&Frame::InFlight(in_flight), links);
    }

    /// Updates the lease for granting tokens and sends heartbeats to all VMs.
    pub(super) fn send_heartbeats(self: &Arc<Self>) {
        let now = Instant::now();
        let Ok(replication) = self.replication() else {
            return;
        };
        let status = replication.status();
        let mut state = self.state.lock();
        state.update_lease(now, &status, self.excess);
        state.send_to_all(None, &heartbeat(&status));
    }

    /// Removes expired upstreams and sends the lists that changed.
    pub(super) fn send_lists(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.drop_warm_buckets(now);
        state.observe_running(now);
        let expired = state.upstreams.expire(now);
        if !expired.is_empty() {
            info!("upstreams expired: {expired:?}");
            let frame = Frame::ExpiredUpstreams(expired);
            state.send_to_entries(&frame);
        }
        let own = state.entry_vms.own(now);
        if std::mem::take(&mut state.own_entries_changed) || own != state.sent_own_entries {
            state.send_to_controls(&Frame::Entries(own.clone()));
            state.sent_own_entries = own;
        }
        state.send_entry_list(now);
    }
}
