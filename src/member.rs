//! Core: membership of entry VMs by heartbeats, and gossip of upstream announcements.
//!
//! Every item (a heartbeat or an announcement) gets a local stamp when it changes. A message holds
//! the items with a larger stamp than the peer has acknowledged, so only changes are sent, and the
//! next message repeats what a lost one held.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainName;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::id::VmName;

/// Time between two gossip rounds of a VM.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(500);
/// Live peers that get a message in one round.
pub const GOSSIP_FANOUT: usize = 3;
/// A VM whose heartbeat has not advanced for this long is not live.
pub const VM_TIMEOUT: Duration = Duration::from_secs(3);
/// An upstream that has not announced itself for this long gets no new requests.
pub const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// Records of silent VMs and upstreams are kept this long, so that late messages are still
/// recognised as outdated by their sequence.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// Messages to silent VMs per message to live ones. Those to silent VMs reconnect the two sides of a
/// network partition after it has ended.
const SILENT_PEER_RATIO: f64 = 0.1;

/// State in an announcement of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum UpstreamState {
    /// Accepts requests, but the first ones are slow.
    Cold,
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// Periodic announcement of an upstream about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Name, unique in the service.
    pub upstream: UpstreamId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// State.
    pub state: UpstreamState,
    /// Increases with each announcement of the upstream, also across its restarts.
    pub sequence: u64,
}

/// Heartbeat of a VM; a later one has a larger (incarnation, count).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM that sends the heartbeat.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// Run of the VM.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Heartbeats since the start of the run.
    #[serde(rename = "n")]
    pub count: u64,
    /// Whether the VM is stopping.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the VM cannot confirm that its configuration is current.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub stale: bool,
    /// Requests in flight at the VM.
    #[serde(rename = "q")]
    pub load: u32,
    /// Configuration version of the VM.
    #[serde(rename = "c")]
    pub version: Version,
}

/// An announcement whose content the receiver already has: service, upstream, sequence, age in ms.
type Renewal = (ServiceId, UpstreamId, u64, u64);

/// Position in the changes of one run of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipPosition {
    /// Run of the VM.
    pub incarnation: Incarnation,
    /// Stamp of the last change.
    pub stamp: u64,
}

/// One gossip message, request or response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Sender.
    pub from: VmName,
    /// Address of the sender for calls between processes.
    pub address: SocketAddr,
    /// Position of the sender at the time of the message.
    #[serde(rename = "mark")]
    pub position: GossipPosition,
    /// The message holds all changes of the sender after this stamp.
    pub base: u64,
    /// Position of the receiver up to which the sender has all changes.
    pub seen: GossipPosition,
    /// Changed heartbeats.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// Announcements with changed content, and their age in milliseconds.
    #[serde(rename = "news")]
    pub announcements: Vec<(Announcement, u64)>,
    /// Announcements of which only the sequence changed.
    pub renewals: Vec<Renewal>,
}

/// Addresses and failure domain of a registered VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEndpoint {
    /// Address for calls between processes.
    pub peer: SocketAddr,
    /// Address for requests of callers.
    pub caller: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
}

/// Latest heartbeat of a VM.
struct VmRecord {
    heartbeat: Heartbeat,
    updated_at: Instant,
    stamp: u64,
}

/// Latest announcement of an upstream.
struct UpstreamRecord {
    announcement: Announcement,
    announced_at: Instant,
    /// Stamp of the last change of anything but the sequence.
    changed: u64,
    /// Stamp of the last change, also of the sequence alone.
    stamp: u64,
}

/// Changes that were exchanged with one peer.
#[derive(Default)]
struct PeerProgress {
    /// Stamp up to which the peer has the changes of this VM.
    acknowledged: u64,
    /// Position up to which this VM has the changes of the peer.
    seen: GossipPosition,
}

/// A live VM with its endpoint and load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveVm {
    /// Name.
    pub vm: VmName,
    /// Addresses and failure domain.
    pub endpoint: VmEndpoint,
    /// Requests in flight at the VM.
    pub load: u32,
    /// Whether it cannot confirm that its configuration is current.
    pub stale: bool,
}

/// Heartbeats and announcements that one VM has received.
pub struct MembershipState {
    vm: VmName,
    address: SocketAddr,
    incarnation: Incarnation,
    stamp: u64,
    endpoints: BTreeMap<VmName, VmEndpoint>,
    members: BTreeMap<VmName, VmRecord>,
    upstreams: BTreeMap<(ServiceId, UpstreamId), UpstreamRecord>,
    progress: BTreeMap<VmName, PeerProgress>,
    random: SmallRng,
}

impl MembershipState {
    /// The state of a VM that has just started.
    pub fn new(vm: VmName, address: SocketAddr, incarnation: Incarnation, now: Instant, seed: u64) -> Self {
        let heartbeat = Heartbeat {
            vm: vm.clone(),
            incarnation,
            count: 1,
            leaving: false,
            stale: true,
            load: 0,
            version: 0,
        };
        let own = VmRecord {
            heartbeat,
            updated_at: now,
            stamp: 1,
        };
        Self {
            members: BTreeMap::from([(vm.clone(), own)]),
            vm,
            address,
            incarnation,
            stamp: 1,
            endpoints: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            progress: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the registered VMs; gossip goes only to them.
    pub fn set_endpoints(&mut self, endpoints: BTreeMap<VmName, VmEndpoint>) {
        self.progress.retain(|vm, _| endpoints.contains_key(vm));
        self.endpoints = endpoints;
    }

    /// Advances this VM's heartbeat and selects the peers of this round.
    pub fn tick(&mut self, now: Instant, load: u32, version: Version, stale: bool) -> Vec<VmName> {
        self.update_heartbeat(now, |heartbeat| {
            heartbeat.stale = stale;
            heartbeat.load = load;
            heartbeat.version = version;
        });
        self.remove_expired(now);
        let (live, silent): (Vec<VmName>, Vec<VmName>) = self.peers().partition(|vm| self.is_live(vm, now));
        let mut chosen: Vec<VmName> = live
            .choose_multiple(&mut self.random, GOSSIP_FANOUT)
            .cloned()
            .collect();
        if chosen.len() < GOSSIP_FANOUT {
            let missing = GOSSIP_FANOUT - chosen.len();
            chosen.extend(silent.choose_multiple(&mut self.random, missing).cloned());
        } else if self.random.random_bool(SILENT_PEER_RATIO * GOSSIP_FANOUT as f64) {
            chosen.extend(silent.choose(&mut self.random).cloned());
        }
        chosen
    }

    /// Marks this VM as leaving; the caller then sends messages to all peers.
    pub fn leave(&mut self, now: Instant) {
        self.update_heartbeat(now, |heartbeat| heartbeat.leaving = true);
    }

    /// Whether this VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.members.get(&self.vm).is_some_and(|m| m.heartbeat.leaving)
    }

    /// Applies an announcement from the upstream itself.
    ///
    /// Returns whether its content is new; the caller then sends messages to all peers.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> bool {
        self.apply_announcement(announcement, now)
    }

    /// All registered VMs but this one.
    pub fn peers(&self) -> impl Iterator<Item = VmName> + '_ {
        self.endpoints.keys().filter(|vm| **vm != self.vm).cloned()
    }

    /// Endpoint of a registered VM.
    pub fn endpoint(&self, vm: &VmName) -> Option<&VmEndpoint> {
        self.endpoints.get(vm)
    }

    /// The message to a peer, with all changes that it has not acknowledged.
    pub fn message(&self, to: &VmName, now: Instant) -> GossipMessage {
        let initial = PeerProgress::default();
        let progress = self.progress.get(to).unwrap_or(&initial);
        let base = progress.acknowledged;
        let heartbeats = self.members.values().filter(|m| m.stamp > base);
        let age_ms = |record: &UpstreamRecord| {
            u64::try_from((now - record.announced_at).as_millis()).unwrap_or(u64::MAX)
        };
        let (announcements, renewals): (Vec<&UpstreamRecord>, Vec<&UpstreamRecord>) = self
            .upstreams
            .values()
            .filter(|r| r.stamp > base)
            .partition(|r| r.changed > base);
        GossipMessage {
            from: self.vm.clone(),
            address: self.address,
            position: GossipPosition {
                incarnation: self.incarnation,
                stamp: self.stamp,
            },
            base,
            seen: progress.seen,
            heartbeats: heartbeats.map(|m| m.heartbeat.clone()).collect(),
            announcements: announcements
                .iter()
                .map(|r| (r.announcement.clone(), age_ms(r)))
                .collect(),
            renewals: renewals.iter().map(|r| r.renewal(age_ms(r))).collect(),
        }
    }

    /// Applies a message of a peer.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) {
        if message.from == self.vm {
            return;
        }
        let progress = self.progress.entry(message.from.clone()).or_default();
        if message.position.incarnation < progress.seen.incarnation {
            return;
        }
        if message.position.incarnation > progress.seen.incarnation {
            // The peer restarted: it lost what it had received, and its stamps start again.
            *progress = PeerProgress::default();
            progress.seen.incarnation = message.position.incarnation;
        }
        if message.seen.incarnation == self.incarnation {
            progress.acknowledged = progress.acknowledged.max(message.seen.stamp);
        }
        // A message that starts after the changes seen so far leaves a gap and must not be acknowledged.
        if message.base <= progress.seen.stamp {
            progress.seen.stamp = progress.seen.stamp.max(message.position.stamp);
        }
        for heartbeat in message.heartbeats {
            self.apply_heartbeat(heartbeat, now);
        }
        for (announcement, age_ms) in message.announcements {
            self.apply_announcement(announcement, event_time(now, age_ms));
        }
        for (service, upstream, sequence, age_ms) in message.renewals {
            self.apply_renewal((service, upstream), sequence, event_time(now, age_ms));
        }
    }

    /// Whether a VM's heartbeat advanced recently; this VM is always live.
    pub fn is_live(&self, vm: &VmName, now: Instant) -> bool {
        *vm == self.vm
            || self
                .members
                .get(vm)
                .is_some_and(|m| now.saturating_duration_since(m.updated_at) < VM_TIMEOUT)
    }

    /// The last heartbeat of a VM.
    pub fn last_heartbeat(&self, vm: &VmName) -> Option<&Heartbeat> {
        self.members.get(vm).map(|m| &m.heartbeat)
    }

    /// Live registered VMs that are not leaving.
    pub fn live(&self, now: Instant) -> Vec<LiveVm> {
        let serving =
            |vm: &VmName| self.is_live(vm, now) && !self.last_heartbeat(vm).is_none_or(|h| h.leaving);
        self.endpoints
            .iter()
            .filter(|(vm, _)| serving(vm))
            .map(|(vm, endpoint)| LiveVm {
                vm: vm.clone(),
                endpoint: endpoint.clone(),
                load: self.last_heartbeat(vm).map_or(0, |h| h.load),
                stale: self.last_heartbeat(vm).is_none_or(|h| h.stale),
            })
            .collect()
    }

    /// Upstreams whose latest announcement is recent, also draining ones, and when they made it.
    pub fn upstreams(&self, now: Instant) -> impl Iterator<Item = (&Announcement, Instant)> {
        self.upstreams
            .values()
            .filter(move |r| now.saturating_duration_since(r.announced_at) < UPSTREAM_TIMEOUT)
            .map(|r| (&r.announcement, r.announced_at))
    }

    fn update_heartbeat(&mut self, now: Instant, change: impl FnOnce(&mut Heartbeat)) {
        self.stamp += 1;
        let stamp = self.stamp;
        if let Some(own) = self.members.get_mut(&self.vm) {
            own.heartbeat.count += 1;
            own.updated_at = now;
            own.stamp = stamp;
            change(&mut own.heartbeat);
        }
    }

    fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        if heartbeat.vm == self.vm {
            return;
        }
        let record = self.members.get(&heartbeat.vm);
        if record.is_some_and(|m| heartbeat.order() <= m.heartbeat.order()) {
            return;
        }
        self.stamp += 1;
        let member = VmRecord {
            updated_at: now,
            stamp: self.stamp,
            heartbeat,
        };
        self.members.insert(member.heartbeat.vm.clone(), member);
    }

    fn apply_announcement(&mut self, announcement: Announcement, announced_at: Instant) -> bool {
        let key = (announcement.service.clone(), announcement.upstream.clone());
        let record = self.upstreams.get(&key);
        if record.is_some_and(|r| announcement.sequence <= r.announcement.sequence) {
            return false;
        }
        self.stamp += 1;
        let unchanged = record.filter(|r| r.announcement.has_same_content(&announcement));
        let changed = unchanged.map_or(self.stamp, |r| r.changed);
        let is_new = unchanged.is_none();
        let record = UpstreamRecord {
            announcement,
            announced_at,
            changed,
            stamp: self.stamp,
        };
        self.upstreams.insert(key, record);
        is_new
    }

    fn apply_renewal(&mut self, key: (ServiceId, UpstreamId), sequence: u64, announced_at: Instant) {
        let Some(record) = self.upstreams.get_mut(&key) else {
            return;
        };
        if sequence <= record.announcement.sequence {
            return;
        }
        self.stamp += 1;
        record.announcement.sequence = sequence;
        record.announced_at = announced_at;
        record.stamp = self.stamp;
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECORD_RETENTION;
        self.members.retain(|_, m| is_recent(m.updated_at));
        self.upstreams.retain(|_, r| is_recent(r.announced_at));
    }
}

impl Heartbeat {
    /// Larger for a later heartbeat of the VM.
    fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.count)
    }
}

impl Announcement {
    /// Whether two announcements are equal apart from the sequence.
    fn has_same_content(&self, other: &Self) -> bool {
        let with_sequence = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        with_sequence == *other
    }
}

impl UpstreamRecord {
    fn renewal(&self, age_ms: u64) -> Renewal {
        let a = &self.announcement;
        (a.service.clone(), a.upstream.clone(), a.sequence, age_ms)
    }
}

/// The time of an event that is `age_ms` milliseconds old; `now` if that cannot be represented.
fn event_time(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now)
}
