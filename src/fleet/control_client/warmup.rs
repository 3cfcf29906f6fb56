//! Permits for cold upstreams: what an entry VM asks for, gets and uses.

use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use super::state::State;
use crate::evacuation;
use crate::fleet::discovery::AnnouncedState;
use crate::fleet::discovery::ListedUpstream;
use crate::fleet::message::Frame;
use crate::fleet::message::PLACEMENT_REVISION;
use crate::fleet::warmup::WarmupGrant;
use crate::fleet::warmup::meter;
use crate::fleet::warmup::permits::Rejected;
use crate::id::ServiceId;
use crate::moment::Moment;
use crate::stage::ChosenUpstream;
use crate::view::Evacuation;
use crate::view::View;

impl State {
    /// Applies the limits on cold upstreams and the evacuations of a new configuration.
    pub(super) fn apply_warmups(&mut self, before: &[Evacuation], view: &View) {
        self.selector.gate_mut().set_limits(&view.warmups);
        evacuation::record_change(before, &view.evacuated, |d| self.upstreams.count_in(d));
        self.upstreams.apply_view(Instant::now(), before, view);
    }

    /// Sets the time of a choice, and counts its request if the service limits those to cold upstreams.
    pub(super) fn begin_choice(&mut self, service: &ServiceId, vms: usize) -> Moment {
        let now = Moment::now();
        let gate = self.selector.gate_mut();
        gate.begin(now, vms);
        if gate.is_limited(service) {
            gate.permits.count_request(now.monotonic, service);
        }
        now
    }

    /// Asks for permits for a service if it has cold upstreams and needs any. Only a control VM that knows the message
    /// is asked.
    pub(super) fn ask_permits(&mut self, now: Moment, service: &ServiceId) {
        if self.control_revision.is_none_or(|r| r < PLACEMENT_REVISION) {
            return;
        }
        let permits = &mut self.selector.gate_mut().permits;
        if !permits.is_due(now, service) {
            return;
        }
        let is_usable = |l: &&ListedUpstream| {
            l.report.service == *service
                && l.report.state == AnnouncedState::Ready
                && l.is_cold(now.monotonic)
                && !self.view.is_evacuated(&l.report.domain)
        };
        if !self.upstreams.iter().any(|l| is_usable(&l)) {
            return;
        }
        if let Some(request) = permits.ask(now, service) {
            self.send(&Frame::WarmupRequest(request));
        }
    }

    /// Drops expired permits and asks for those that are due.
    pub(super) fn refresh_permits(&mut self, now: Moment) {
        let vms = self.vm_count.get(now.monotonic);
        let gate = self.selector.gate_mut();
        meter::count_permits("expired", gate.expire(now, vms));
        for service in gate.permits.services(now.monotonic) {
            self.ask_permits(now, &service);
        }
    }

    /// Takes the answer of the leader to a request for permits.
    pub(super) fn receive_permits(&mut self, grant: WarmupGrant) {
        let (service, number) = (grant.service.clone(), grant.number);
        match self.selector.gate_mut().permits.receive(Moment::now(), grant) {
            Ok(count) => meter::count_permits("received", count),
            Err(rejected) => {
                let reason: &'static str = rejected.into();
                meter::count_refused(reason);
                match rejected {
                    Rejected::TooMany => {
                        warn!("permits refused: service={service} number={number} reason={reason}");
                    }
                    Rejected::Unasked | Rejected::Expired => {
                        info!("permits ignored: service={service} number={number} reason={reason}");
                    }
                }
            }
        }
    }

    /// Whether a request may still be sent to an upstream that was chosen for it.
    pub(super) fn may_send(&self, chosen: &ChosenUpstream) -> bool {
        let now = Moment::now();
        let may_send = match self.upstreams.get(&chosen.upstream) {
            Some(listed) => self.selector.gate().may_send(now, listed, chosen.permit),
            // Whether it is cold is as it was when it was chosen.
            None => chosen.permit.is_none_or(|end| now.is_before(end)),
        };
        if !may_send {
            meter::count_refused("late_send");
            info!(
                "permit missing before the request was sent: upstream={} run={} late_ms={}",
                chosen.upstream,
                chosen.run_start,
                chosen.permit.map_or(0, |end| now.since(end).as_millis())
            );
        }
        may_send
    }

    /// Takes a run of an upstream for cold, as it states in an answer.
    pub(super) fn mark_cold(&mut self, now: Instant, chosen: &ChosenUpstream, left: Duration) {
        if self
            .upstreams
            .mark_cold(now, &chosen.upstream, chosen.run_start, left)
        {
            info!(
                "upstream cold: upstream={} born={} ms={} source=answer",
                chosen.upstream,
                chosen.run_start,
                left.as_millis()
            );
        }
    }
}
