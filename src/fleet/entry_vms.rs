//! Core: the list of entry VMs, and which of their addresses a caller gets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::fleet::homes::Regions;
use crate::fleet::link;
use crate::fleet::message::EntryVm;
use crate::fleet::stall::Contact;
use crate::fleet::stall::StallDetector;
use crate::id::RegionName;
use crate::id::VmName;

/// Time for which the list of a control VM counts after its last message: until the connection to a lost one is closed
/// (900 ms), and its entry VMs are connected to another one.
pub const LIST_TTL: Duration = Duration::from_millis(2_000);
/// Time for which an entry VM counts as running after its last message; its connection is closed then.
const ENTRY_TTL: Duration = link::IDLE_TIMEOUT;
/// Callers get addresses of their own failure domain only while the number of ready VMs there is at least
/// this share of the average number of VMs in a domain.
const OWN_DOMAIN_SHARE: f64 = 0.6;

/// An entry VM that is connected to this control VM.
struct Connected {
    entry: EntryVm,
    /// Number of its connection; messages on an earlier one say nothing.
    connection: u64,
    contact: Contact,
    heard_at: Option<Instant>,
}

/// The entry VMs that are connected to another control VM.
#[derive(Default)]
struct Source {
    entries: Vec<EntryVm>,
    /// Number of the connection to the control VM; `None` once it is lost.
    connection: Option<u64>,
    /// Whether the list came on this connection. Until it does, messages say nothing about the list before.
    is_from_connection: bool,
    contact: Contact,
    /// When a message last stood for the list.
    heard_at: Option<Instant>,
}

/// The entry VMs of the fleet at a control VM, by the control VM that each is connected to.
///
/// Whatever order messages come in, a VM is listed only for a limited time after its last sign of life, so that one that
/// ended is named to no caller 6 s later. The longest way: it ends just before its control VM does ([`ENTRY_TTL`], 200 ms
/// until the next list); another control VM lists it for [`LIST_TTL`] and 200 ms; an entry VM that is just losing that one
/// names it for [`LIST_HOLD`](crate::fleet::entry_list::LIST_HOLD). These are 4.5 s. Messages that a short cut holds up,
/// without ending their connections, add 0.9 s and 0.5 s at most.
#[derive(Default)]
pub struct EntryVms {
    own: BTreeMap<VmName, Connected>,
    sources: BTreeMap<VmName, Source>,
    stall: StallDetector,
}

impl EntryVms {
    /// Records that the process runs; returns the length of a pause that has just ended.
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        self.stall.observe(now)
    }

    /// Records that an entry VM has connected, or its new description.
    pub fn connect_entry(&mut self, now: Instant, connection: u64, entry: EntryVm) {
        let vm = entry.vm.clone();
        let known = self.own.get_mut(&vm).filter(|c| c.connection == connection);
        match known {
            Some(known) => known.entry = entry,
            None => {
                let connected = Connected {
                    entry,
                    connection,
                    contact: Contact::open(now),
                    heard_at: None,
                };
                self.own.insert(vm.clone(), connected);
            }
        }
        self.record_entry_message(now, &vm, connection);
    }

    /// Records a message of an entry VM.
    pub fn record_entry_message(&mut self, now: Instant, vm: &VmName, connection: u64) {
        let connected = self.own.get_mut(vm).filter(|c| c.connection == connection);
        if let Some(connected) = connected
            && connected.contact.record(now, &self.stall)
        {
            connected.heard_at = Some(now);
        }
    }

    /// Records that the connection of an entry VM has ended.
    pub fn disconnect_entry(&mut self, vm: &VmName, connection: u64) {
        if self.own.get(vm).is_some_and(|c| c.connection == connection) {
            self.own.remove(vm);
        }
    }

    /// Records that this connection to a control VM is used from now on.
    pub fn connect_control(&mut self, now: Instant, vm: &VmName, connection: u64) {
        let source = self.sources.entry(vm.clone()).or_default();
        source.connection = Some(connection);
        source.contact = Contact::open(now);
        source.is_from_connection = false;
    }

    /// Replaces the list of a control VM; false if it came on a connection that is no longer used.
    pub fn set(&mut self, now: Instant, vm: &VmName, connection: u64, entries: Vec<EntryVm>) -> bool {
        let Some(source) = self.source(vm, connection) else {
            return false;
        };
        source.entries = entries;
        source.is_from_connection = true;
        self.record_control_message(now, vm, connection);
        true
    }

    /// Records a message of a control VM.
    pub fn record_control_message(&mut self, now: Instant, vm: &VmName, connection: u64) {
        let source = self.sources.get_mut(vm);
        let Some(source) = source.filter(|s| s.connection == Some(connection)) else {
            return;
        };
        if source.contact.record(now, &self.stall) && source.is_from_connection {
            source.heard_at = Some(now);
        }
    }

    /// Records that the connection to a control VM has ended.
    pub fn disconnect_control(&mut self, vm: &VmName, connection: u64) {
        if let Some(source) = self.source(vm, connection) {
            source.connection = None;
        }
    }

    fn source(&mut self, vm: &VmName, connection: u64) -> Option<&mut Source> {
        let source = self.sources.get_mut(vm);
        source.filter(|s| s.connection == Some(connection))
    }

    /// The entry VMs that are connected to this control VM, by name.
    pub fn own(&self, now: Instant) -> Vec<EntryVm> {
        let live = self
            .own
            .values()
            .filter(|c| is_within(now, c.heard_at, ENTRY_TTL));
        live.map(|c| c.entry.clone()).collect()
    }

    /// All entry VMs, each once, by name. Lists of connected control VMs take precedence over those of lost ones, and
    /// what is connected here over both.
    pub fn all(&mut self, now: Instant) -> Vec<EntryVm> {
        self.sources
            .retain(|_, s| s.connection.is_some() || is_within(now, s.heard_at, LIST_TTL));
        let own = self.own(now);
        let live = self
            .sources
            .values()
            .filter(|s| is_within(now, s.heard_at, LIST_TTL));
        let (connected, lost): (Vec<&Source>, Vec<&Source>) = live.partition(|s| s.connection.is_some());
        let listed = lost.into_iter().chain(connected).flat_map(|s| &s.entries);
        let mut all: BTreeMap<&VmName, &EntryVm> = BTreeMap::new();
        all.extend(listed.chain(&own).map(|entry| (&entry.vm, entry)));
        all.into_values().cloned().collect()
    }
}

fn is_within(now: Instant, at: Option<Instant>, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}

/// Addresses of ready VMs for a caller in a failure domain, at most `limit` in random order: those of its own
/// domain while enough VMs there are ready, otherwise of all domains.
pub fn choose(entries: &[EntryVm], domain: &str, limit: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
    let ready: Vec<&EntryVm> = entries.iter().filter(|e| e.is_ready).collect();
    let mut domains: Vec<&str> = entries.iter().map(|e| e.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let average = entries.len() as f64 / domains.len().max(1) as f64;
    let own: Vec<&EntryVm> = ready.iter().copied().filter(|e| e.domain == domain).collect();
    let mut chosen = if !own.is_empty() && own.len() as f64 >= average * OWN_DOMAIN_SHARE {
        own
    } else {
        ready
    };
    chosen.shuffle(random);
    chosen.iter().take(limit).map(|e| e.caller).collect()
}

/// Where a caller is, and the host whose address it asks for. What it does not state is empty.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerPlace<'a> {
    /// The host.
    pub host: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
}

/// The VMs of which a caller of a host with homes gets addresses: those in the region of the caller or in a home of all
/// routes of the host that have homes; if none of them is ready, those in the caller's region or in a home of any
/// route; `None` if none of these is ready either.
pub fn near_or_home(
    entries: &[EntryVm],
    regions: &Regions,
    homes: &[&[RegionName]],
    caller: &CallerPlace<'_>,
) -> Option<Vec<EntryVm>> {
    let own_region = match caller.region {
        "" => regions.get(caller.domain).map_or("", |r| r.as_str()),
        stated => stated,
    };
    let is_near = |vm: &EntryVm| match regions.get(&vm.domain) {
        Some(region) => region == own_region && !region.is_empty(),
        // A failure domain lies in one region, so this VM is in the caller's.
        None => vm.domain == caller.domain,
    };
    let region = |vm: &EntryVm| regions.get(&vm.domain);
    let is_home_of_all = |vm: &EntryVm| region(vm).is_some_and(|r| homes.iter().all(|h| h.contains(r)));
    let is_home_of_any = |vm: &EntryVm| region(vm).is_some_and(|r| homes.iter().any(|h| h.contains(r)));
    some_ready(entries, |vm| is_near(vm) || is_home_of_all(vm))
        .or_else(|| some_ready(entries, |vm| is_near(vm) || is_home_of_any(vm)))
}

/// The VMs that match, if one of them is ready.
fn some_ready(entries: &[EntryVm], is_match: impl Fn(&EntryVm) -> bool) -> Option<Vec<EntryVm>> {
    let found: Vec<EntryVm> = entries.iter().filter(|vm| is_match(vm)).cloned().collect();
    found.iter().any(|vm| vm.is_ready).then_some(found)
}
