//! Core: discovery of upstreams by their announcements.
//!
//! The latest report of each upstream counts. Reports can arrive repeated and out of order.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::id::DomainName;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::view::Departed;
use crate::view::Evacuation;
use crate::view::View;
use crate::view::Warmup;

/// A run without a report for this long may be replaced by one with an earlier start, because the clock of
/// an upstream can be set back between two runs. Longer than the time after which a control VM passes on a report that
/// changes nothing (3 s), an announcement period and the delay of a report.
pub const REPLACE_AFTER: Duration = Duration::from_secs(6);
/// An upstream without a report for this long is removed. It is long because an upstream that is cut off
/// from the control VMs may still serve; until then requests show whether it does.
pub const EXPIRE_AFTER: Duration = Duration::from_secs(60);

/// Change of the end of an upstream's cold time below which a report of a limited service is no news: more than the
/// delay of a report varies, less than the time in which an upstream gets half of its slack from VMs that take it for
/// warm.
const COLD_TOLERANCE: Duration = Duration::from_millis(200);

/// State that an upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AnnouncedState {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests and accepts no new ones.
    Draining,
}

/// One report of an upstream about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: AnnouncedState,
    /// How long it stays slow after its start, in milliseconds from the report.
    pub cold_ms: u32,
    /// Start of this run in milliseconds since 1970 by the upstream's clock; 0 if it is not known.
    pub born: u64,
    /// Number of the report in this run.
    pub sequence: u64,
}

/// An upstream in the table.
#[derive(Debug, Clone)]
pub struct ListedUpstream {
    /// Its latest report.
    pub report: Announcement,
    /// When that report arrived.
    pub received: Instant,
    /// Until when it counts as cold although that report doesn't say so.
    presumed_cold: Option<Instant>,
    /// End of its cold time as the other VMs know it.
    known_end: Instant,
}

impl ListedUpstream {
    /// The report as the upstream would send it at `now`.
    pub fn report_at(&self, now: Instant) -> Announcement {
        let left = self.cold_end().saturating_duration_since(now).as_millis();
        Announcement {
            cold_ms: u32::try_from(left).unwrap_or(u32::MAX),
            ..self.report.clone()
        }
    }

    /// Whether the upstream is still slow after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_end()
    }

    fn new(received: Instant, report: Announcement) -> Self {
        let known_end = reported_end(received, &report);
        Self {
            report,
            received,
            presumed_cold: None,
            known_end,
        }
    }

    fn cold_end(&self) -> Instant {
        let reported = reported_end(self.received, &self.report);
        self.presumed_cold.map_or(reported, |end| end.max(reported))
    }

    /// Whether other VMs must learn at once that the cold time ends then.
    fn is_cold_news(&self, now: Instant, end: Instant) -> bool {
        let (known, end) = (self.known_end.max(now), end.max(now));
        if known == now {
            return end > now;
        }
        let change = end.saturating_duration_since(known) + known.saturating_duration_since(end);
        change >= COLD_TOLERANCE
    }

    fn presume_cold(&mut self, until: Instant) {
        self.presumed_cold = self.presumed_cold.max(Some(until));
    }
}

/// When the upstream is warm by a report.
fn reported_end(received: Instant, report: &Announcement) -> Instant {
    received + Duration::from_millis(report.cold_ms.into())
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The report is not newer than the known one and was ignored.
    Outdated,
    /// Only the sequence number or `cold_ms` differs from the report before.
    Refreshed,
    /// The upstream is new, another field differs from the report before, or its service limits the requests to cold
    /// upstreams and the others have it wrong whether it is cold.
    Changed,
}

/// The upstreams of all services.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    /// Ordered, so that a choice with a given seed is the same in every process.
    all: BTreeMap<UpstreamId, ListedUpstream>,
    by_address: HashMap<SocketAddr, UpstreamId>,
    /// Limits on cold upstreams, by service.
    warmups: BTreeMap<ServiceId, Warmup>,
}

impl UpstreamTable {
    /// Records a report, unless a later one is known of the upstream or of another one at the same address.
    /// Without a report for [`REPLACE_AFTER`], a known run no longer prevents one with an earlier start.
    pub fn announce(&mut self, now: Instant, report: Announcement) -> Change {
        if let Some(old) = self.all.get_mut(&report.upstream) {
            let order = |a: &Announcement| (a.born, a.sequence);
            let is_silent = now.saturating_duration_since(old.received) >= REPLACE_AFTER;
            let replaces_later_run = report.born < old.report.born && is_silent;
            let end = reported_end(now, &report);
            let is_limited = self.warmups.contains_key(&report.service);
            if order(&report) <= order(&old.report) && !replaces_later_run {
                // The sender presumes that the upstream has turned cold since this report.
                if is_limited && order(&report) == order(&old.report) && end > old.cold_end() {
                    old.presume_cold(end);
                }
                return Change::Outdated;
            }
            let old_refreshed = Announcement {
                sequence: report.sequence,
                cold_ms: report.cold_ms,
                ..old.report.clone()
            };
            let is_refresh = old_refreshed == report && !(is_limited && old.is_cold_news(now, end));
            let known_end = if is_refresh { old.known_end } else { end };
            let listed = ListedUpstream::new(now, report);
            self.insert(ListedUpstream { known_end, ..listed });
            return if is_refresh {
                Change::Refreshed
            } else {
                Change::Changed
            };
        }
        if let Some(other) = self.other_at_address(&report) {
            let recent = now.saturating_duration_since(other.received) < REPLACE_AFTER;
            if recent && other.report.born > report.born {
                return Change::Outdated;
            }
        }
        self.insert(ListedUpstream::new(now, report));
        Change::Changed
    }

    /// Applies the limits on cold upstreams of a configuration. The upstreams of failure domains that were evacuated
    /// before and no longer are count as cold from now on. Returns these domains.
    pub fn apply_view(&mut self, now: Instant, before: &[Evacuation], view: &View) -> Vec<DomainName> {
        self.warmups.clone_from(&view.warmups);
        let restored = before.iter().filter(|e| !view.is_evacuated(&e.domain));
        let restored: Vec<DomainName> = restored.map(|e| e.domain.clone()).collect();
        for domain in &restored {
            self.presume_cold(now, domain);
        }
        restored
    }

    /// Takes the upstreams of a failure domain for cold until a later report, or until the warm-up time of their
    /// service has passed. Only for services with a limit on cold upstreams.
    pub fn presume_cold(&mut self, now: Instant, domain: &DomainName) {
        for listed in self.all.values_mut().filter(|l| l.report.domain == *domain) {
            let Some(warmup) = self.warmups.get(&listed.report.service) else {
                continue;
            };
            let until = now + warmup.length();
            listed.presume_cold(until);
            // The other VMs presume the same.
            listed.known_end = listed.known_end.max(until);
        }
    }

    /// Takes a run of an upstream for cold as it states itself, at most for the warm-up time of its service. Returns
    /// whether it counted as warm before.
    pub fn mark_cold(&mut self, now: Instant, id: &UpstreamId, run_start: u64, left: Duration) -> bool {
        let Some(listed) = self.all.get_mut(id).filter(|l| l.report.born == run_start) else {
            return false;
        };
        let Some(warmup) = self.warmups.get(&listed.report.service) else {
            return false;
        };
        let was_warm = !listed.is_cold(now);
        listed.presume_cold(now + left.min(warmup.length()));
        was_warm
    }

    /// Another upstream that is listed with the address of the report.
    fn other_at_address(&self, report: &Announcement) -> Option<&ListedUpstream> {
        let id = self.by_address.get(&report.address)?;
        self.all.get(id).filter(|l| l.report.upstream != report.upstream)
    }

    fn insert(&mut self, listed: ListedUpstream) {
        let (id, address) = (listed.report.upstream.clone(), listed.report.address);
        if let Some(other) = self.by_address.insert(address, id.clone())
            && other != id
        {
            // The new upstream uses the address, so the one listed there before has ended.
            self.all.remove(&other);
        }
        if let Some(old) = self.all.insert(id.clone(), listed)
            && old.report.address != address
            && self.by_address.get(&old.report.address) == Some(&id)
        {
            self.by_address.remove(&old.report.address);
        }
    }

    /// Removes the upstreams whose listed run has departed, and returns their names.
    pub fn remove_departed(&mut self, departed: &[Departed]) -> Vec<UpstreamId> {
        let mut removed = Vec::new();
        for run in departed {
            let listed = self.all.get(&run.upstream);
            if listed.is_some_and(|l| l.report.born <= run.run_start) {
                self.remove(&run.upstream);
                removed.push(run.upstream.clone());
            }
        }
        removed
    }

    /// Removes the upstreams without a report for [`EXPIRE_AFTER`] and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<UpstreamId> {
        let is_old = |l: &&ListedUpstream| now.saturating_duration_since(l.received) >= EXPIRE_AFTER;
        let old: Vec<UpstreamId> = self
            .all
            .values()
            .filter(is_old)
            .map(|l| l.report.upstream.clone())
            .collect();
        for id in &old {
            self.remove(id);
        }
        old
    }

    /// Removes one upstream.
    pub fn remove(&mut self, id: &UpstreamId) {
        let Some(old) = self.all.remove(id) else { return };
        let address = old.report.address;
        if self.by_address.get(&address) == Some(id) {
            self.by_address.remove(&address);
        }
    }

    /// One upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&ListedUpstream> {
        self.all.get(id)
    }

    /// All upstreams, by their names.
    pub fn iter(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.all.values()
    }

    /// Number of upstreams in a failure domain.
    pub fn count_in(&self, domain: &str) -> usize {
        self.all.values().filter(|l| l.report.domain == domain).count()
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
