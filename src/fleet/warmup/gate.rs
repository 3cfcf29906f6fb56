//! Core: which upstreams of limited services this entry VM may send to.

use std::collections::BTreeMap;

use super::WarmupBound;
use super::contact::Contact;
use super::pace::Pace;
use super::permits::Permits;
use crate::fleet::discovery::ListedUpstream;
use crate::id::ServiceId;
use crate::id::VmName;
use crate::moment::Moment;
use crate::view::Warmup;

/// What a request to an upstream needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    Nothing,
    /// The upstream is cold.
    Permit,
    /// The upstream may be cold, as this VM has no control VM since then.
    Pace(Moment),
}

/// Limits, permits and contact of this VM.
#[derive(Debug)]
pub struct Gate {
    bound: WarmupBound,
    limits: BTreeMap<ServiceId, Warmup>,
    /// The permits.
    pub permits: Permits,
    /// Contact to the control VMs.
    pub contact: Contact,
    pace: Pace,
    /// Time of the present choice, and the number of entry VMs.
    present: Option<(Moment, usize)>,
}

impl Gate {
    /// Without limits, so that all upstreams are allowed.
    pub fn new(now: Moment, vm: VmName, bound: WarmupBound, seed: u64) -> Self {
        Self {
            bound,
            limits: BTreeMap::new(),
            permits: Permits::new(vm, seed),
            contact: Contact::new(now),
            pace: Pace::new(seed),
            present: None,
        }
    }

    /// Replaces the limits by those of a configuration.
    pub fn set_limits(&mut self, limits: &BTreeMap<ServiceId, Warmup>) {
        self.limits.clone_from(limits);
    }

    /// Whether the cold upstreams of a service are limited.
    pub fn is_limited(&self, service: &ServiceId) -> bool {
        self.limits.contains_key(service)
    }

    /// Sets the time of the choices that follow, and the number of entry VMs.
    pub fn begin(&mut self, now: Moment, vms: usize) {
        self.present = Some((now, vms));
    }

    /// Whether a request may be sent to an upstream now.
    pub fn admits(&self, upstream: &ListedUpstream) -> bool {
        if !self.is_limited(&upstream.report.service) {
            return true;
        }
        let Some((now, vms)) = self.present else {
            return false;
        };
        let id = &upstream.report.upstream;
        match self.need(now, upstream) {
            Need::Nothing => true,
            Need::Permit => self.permits.has(now, id, upstream.report.born),
            Need::Pace(since) => {
                let interval = self.bound.isolated_interval(vms);
                interval.is_some_and(|interval| self.pace.allows(now, since, interval, id))
            }
        }
    }

    /// Whether an upstream is cold and limited, and a permit for it is held.
    pub fn has_permit(&self, upstream: &ListedUpstream) -> bool {
        let Some((now, _)) = self.present.filter(|_| self.is_limited(&upstream.report.service)) else {
            return false;
        };
        self.need(now, upstream) == Need::Permit && self.admits(upstream)
    }

    /// Takes what a request to an upstream that [`Gate::admits`] needs; returns until when it may be sent.
    pub fn take(&mut self, upstream: &ListedUpstream) -> Option<Moment> {
        let (now, _) = self.present?;
        let id = &upstream.report.upstream;
        match self.need(now, upstream) {
            Need::Nothing => None,
            Need::Permit => self.permits.take(now, id, upstream.report.born),
            Need::Pace(_) => {
                self.pace.record(now, id);
                Some(now.after(super::PERMIT_LIFETIME))
            }
        }
    }

    /// Whether a request may still be sent: the upstream may have turned cold or the contact ended since it was chosen.
    pub fn may_send(&self, now: Moment, upstream: &ListedUpstream, permit: Option<Moment>) -> bool {
        permit.is_some_and(|end| now.is_before(end)) || self.need(now, upstream) == Need::Nothing
    }

    /// Drops what has expired; returns the number of unused permits.
    pub fn expire(&mut self, now: Moment, vms: usize) -> usize {
        if let Some(interval) = self.bound.isolated_interval(vms) {
            self.pace.expire(now, interval);
        }
        self.permits.expire(now)
    }

    fn need(&self, now: Moment, upstream: &ListedUpstream) -> Need {
        if !self.is_limited(&upstream.report.service) {
            return Need::Nothing;
        }
        if upstream.is_cold(now.monotonic) {
            return Need::Permit;
        }
        match self.contact.lost_since(now) {
            Some(since) => Need::Pace(since),
            None => Need::Nothing,
        }
    }
}
