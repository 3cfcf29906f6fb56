//! Permits for cold upstreams: a control VM passes requests on to the leader, which grants, and the answers back.

use std::sync::Arc;
use std::time::Instant;

use log::info;
use log::warn;

use super::Shared;
use super::state::Peer;
use super::state::State;
use crate::catalog::Catalog;
use crate::evacuation;
use crate::fleet::discovery::AnnouncedState;
use crate::fleet::link::Link;
use crate::fleet::message::Frame;
use crate::fleet::message::PLACEMENT_REVISION;
use crate::fleet::warmup::MAX_PERMITS;
use crate::fleet::warmup::MAX_WANTED;
use crate::fleet::warmup::WarmupGrant;
use crate::fleet::warmup::WarmupRequest;
use crate::fleet::warmup::meter;
use crate::id::VmName;
use crate::logger::LogRateLimit;
use crate::moment::Moment;
use crate::replica::ReplicaStatus;
use crate::replica::Role;
use crate::view::View;

/// Limits the log lines that entry VMs can cause at any rate.
#[derive(Default)]
pub(super) struct WarmupLog {
    refusals: LogRateLimit,
    grants: LogRateLimit,
}

impl WarmupLog {
    fn refuse(&self, request: &WarmupRequest, reason: &str) {
        meter::count_refused(reason);
        if let Some(skipped) = self.refusals.admit(Instant::now()) {
            warn!(
                "request for permits refused: vm={} service={} wanted={} number={} reason={reason} skipped={skipped}",
                request.vm, request.service, request.wanted, request.number
            );
        }
    }
}

impl Shared {
    /// Handles a request for permits: answers it if this VM leads, passes that of an entry VM on to the leader
    /// otherwise. Without an answer the entry VM repeats it.
    pub(super) fn handle_warmup_request(&self, from: Option<&Peer>, link: &Link, request: WarmupRequest) {
        let Ok(replication) = self.replication() else {
            return;
        };
        let now = Moment::now();
        let view = replication.read(Catalog::view);
        let status = replication.status();
        let is_limited = view.warmups.contains_key(&request.service);
        let mut state = self.state.lock();
        let is_from_entry = match from {
            Some(Peer::Entry(vm)) => {
                let Some(peer) = state.entries.get_mut(vm) else {
                    return;
                };
                let admitted = peer.arrivals.admit(now.monotonic, vm, is_limited, &request);
                if let Err(refused) = admitted {
                    return self.warmup_log.refuse(&request, refused.into());
                }
                true
            }
            Some(Peer::Control(_)) if (1..=MAX_WANTED).contains(&request.wanted) => false,
            Some(Peer::Control(_)) => return self.warmup_log.refuse(&request, "wanted"),
            None => return self.warmup_log.refuse(&request, "unknown_sender"),
        };
        if status.role == Role::Leader {
            let vm = request.vm.clone();
            if let Some(grant) = self.grant_permits(now, &status, &view, &mut state, &request) {
                drop(state);
                link.send(&Frame::WarmupGrant { vm, grant });
            }
            return;
        }
        if !is_from_entry {
            // The sender takes this VM for the leader; passing it on could go round in circles.
            return self.warmup_log.refuse(&request, "not_leader");
        }
        let leader = status.leader.and_then(|vm| state.controls.get(&vm));
        match leader {
            Some(peer) if peer.revision.is_some_and(|r| r >= PLACEMENT_REVISION) => {
                peer.link.send(&Frame::WarmupRequest(request));
            }
            Some(_) => self.warmup_log.refuse(&request, "leader_of_older_build"),
            None => self.warmup_log.refuse(&request, "no_leader"),
        }
    }

    /// Grants permits under the lease of this VM.
    fn grant_permits(
        &self,
        now: Moment,
        status: &ReplicaStatus,
        view: &Arc<View>,
        state: &mut State,
        request: &WarmupRequest,
    ) -> Option<WarmupGrant> {
        state.update_lease(now.monotonic, status, self.excess);
        let warmup = *view.warmups.get(&request.service)?;
        let lease = state.lease.get()?;
        let cold = state.upstreams.iter().filter(|l| {
            l.report.service == request.service
                && l.report.state == AnnouncedState::Ready
                && l.is_cold(now.monotonic)
                && !view.is_evacuated(&l.report.domain)
        });
        let grant = state.issuer.grant(now, lease, warmup, cold, request);
        let count: usize = grant.permits.iter().map(|p| usize::from(p.count)).sum();
        meter::count_permits("granted", count);
        if let Some(skipped) = self.warmup_log.grants.admit(now.monotonic) {
            info!(
                "permits granted: vm={} service={} wanted={} granted={count} upstreams={} buckets={} term={} \
                 lease_ms={} skipped={skipped}",
                request.vm,
                request.service,
                request.wanted,
                grant.permits.len(),
                state.issuer.len(),
                status.term,
                now.monotonic.saturating_duration_since(lease.since).as_millis()
            );
        }
        Some(grant)
    }

    /// Passes an answer of the leader on to the entry VM that asked.
    pub(super) fn forward_warmup_grant(&self, from: Option<&Peer>, vm: VmName, grant: WarmupGrant) {
        if !matches!(from, Some(Peer::Control(_))) || grant.permits.len() > MAX_PERMITS {
            meter::count_refused("grant");
            if let Some(skipped) = self.warmup_log.refusals.admit(Instant::now()) {
                warn!(
                    "permits refused: vm={vm} service={} permits={} reason=\"not of a control VM or too many\" \
                     skipped={skipped}",
                    grant.service,
                    grant.permits.len()
                );
            }
            return;
        }
        let state = self.state.lock();
        let entry = state.entries.get(&vm);
        if let Some(entry) = entry.filter(|e| e.revision.is_some_and(|r| r >= PLACEMENT_REVISION)) {
            entry.link.send(&Frame::WarmupGrant { vm, grant });
        }
    }
}

impl State {
    /// Applies the limits on cold upstreams and the evacuations of a new configuration.
    pub(super) fn apply_warmups(&mut self, now: Instant, view: &View) {
        let before = std::mem::replace(&mut self.evacuated, view.evacuated.clone());
        evacuation::record_change(&before, &view.evacuated, |d| self.upstreams.count_in(d));
        self.upstreams.apply_view(now, &before, view);
    }

    /// Drops the buckets of upstreams that are warm or gone.
    pub(super) fn drop_warm_buckets(&mut self, now: Instant) {
        let upstreams = &self.upstreams;
        self.issuer.retain(|id, run_start| {
            let listed = upstreams.get(id).filter(|l| l.report.born == run_start);
            listed.is_some_and(|l| l.is_cold(now))
        });
    }
}
