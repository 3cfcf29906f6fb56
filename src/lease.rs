//! Quorum leases for partitions, granted by the witness group (section 5.2 of the design).
//!
//! The witness group is a set of entry VMs that the configuration names. A VM holds the lease of a
//! partition while a majority of the group has granted the partition to it and to no other. Both sides
//! measure with their own clocks, whose rates may be wrong by [`MAX_DRIFT_PERCENT`] each.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::VmName;
use crate::rendezvous;
use crate::view::Witnesses;

/// Length of a grant and of a lease, by the clock of the witness.
pub const LEASE_LENGTH: Duration = Duration::from_secs(4);
/// Time between renewals; three of them may be lost before the lease ends.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(1);
/// Time between requests while an assigned partition is not held, as no VM serves it until then.
pub const RETRY_PERIOD: Duration = Duration::from_millis(250);
/// Number of partitions for a fleet of 48 VMs; a fleet of the full size has 4,096.
pub const PARTITION_COUNT: u32 = 64;
/// Largest deviation of the rate of a clock from real time.
pub const MAX_DRIFT_PERCENT: u32 = 1;
/// Part of a length that is safe if both clocks deviate by 1 %: 0.98 x 1.01 is below 1 / 1.01.
const USABLE_PERCENT: u32 = 100 - 2 * MAX_DRIFT_PERCENT;

/// The part of a length measured by another process that is safe to use by the clock of this one.
pub fn allow_for_drift(length: Duration) -> Duration {
    length * USABLE_PERCENT / 100
}

/// Hash of the members of the witness group.
pub fn group_id(group: &Witnesses) -> u64 {
    let mut parts: Vec<&[u8]> = group.current.iter().map(|n| n.as_bytes()).collect();
    parts.push(b"|");
    parts.extend(group.previous.iter().map(|n| n.as_bytes()));
    rendezvous::hash(&parts)
}

/// Request to one witness for all partitions that are assigned to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Requesting VM.
    pub holder: VmName,
    /// Run of that VM; an earlier run is another holder, because its grants may still be in use.
    pub incarnation: Incarnation,
    /// [`group_id`] of the witness group in the holder's configuration.
    pub group: u64,
    /// Number of the round, repeated in the reply.
    pub number: u64,
    /// Requested partitions.
    pub partitions: Vec<u32>,
    /// Partitions whose lease the holder held when it sent the request.
    pub held: Vec<u32>,
}

/// Decision of a witness about one partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
pub enum Verdict {
    /// Granted for [`LEASE_LENGTH`] from now on.
    Granted,
    /// Granted to another holder.
    Taken,
    /// The configuration of the witness has another witness group.
    OtherGroup,
    /// The witness started, or its group changed, less than one lease length ago.
    Quiet,
}

/// Answer of one witness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Run of the requesting holder.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub number: u64,
    /// Verdict for each requested partition.
    pub verdicts: Vec<(u32, Verdict)>,
}

struct PartitionGrant {
    holder: VmName,
    incarnation: Incarnation,
    until: Instant,
}

/// Grants partitions to holders, as a member of the witness group.
pub struct LeaseGranter {
    group: Witnesses,
    group_id: u64,
    /// Until then only leases that their holder still holds are renewed.
    quiet_until: Instant,
    grants: HashMap<u32, PartitionGrant>,
}

impl LeaseGranter {
    /// The state of a witness that has just started, without its earlier grants.
    pub fn new(now: Instant) -> Self {
        Self {
            group: Witnesses::default(),
            group_id: group_id(&Witnesses::default()),
            quiet_until: now + LEASE_LENGTH,
            grants: HashMap::new(),
        }
    }

    /// Sets the configured witness group.
    ///
    /// While `previous` is set, every lease also needs a majority of the old group, which still has its
    /// grants. A witness that changes from the old group alone to both groups therefore grants at once.
    /// After any other change, such as the first group after a start or one that skipped a group, a lease
    /// granted by a group that this witness never had may still be valid, so for one lease length the
    /// witness only renews leases that are held.
    pub fn set_group(&mut self, now: Instant, group: &Witnesses) {
        if self.group == *group {
            return;
        }
        let joint = self.group.previous.is_empty() && self.group.current == group.previous;
        if !joint || group.previous.is_empty() {
            self.quiet_until = now + LEASE_LENGTH;
        }
        self.group = group.clone();
        self.group_id = group_id(group);
    }

    /// Decides on each requested partition and grants those that are free.
    pub fn handle_request(&mut self, now: Instant, request: &LeaseRequest) -> LeaseReply {
        self.grants.retain(|_, g| g.until > now);
        let verdicts = request
            .partitions
            .iter()
            .map(|p| (*p, self.decide(now, request, *p)))
            .collect();
        LeaseReply {
            incarnation: request.incarnation,
            number: request.number,
            verdicts,
        }
    }

    fn decide(&mut self, now: Instant, request: &LeaseRequest, partition: u32) -> Verdict {
        if request.group != self.group_id {
            return Verdict::OtherGroup;
        }
        match self.grants.get(&partition) {
            Some(g) if g.holder != request.holder || g.incarnation != request.incarnation => {
                return Verdict::Taken;
            }
            // A grant does not prove a lease: with two groups this witness may have been part of a
            // majority of the new one only.
            Some(_) if request.held.contains(&partition) => {}
            _ if now < self.quiet_until => return Verdict::Quiet,
            _ => {}
        }
        let grant = PartitionGrant {
            holder: request.holder.clone(),
            incarnation: request.incarnation,
            until: now + LEASE_LENGTH,
        };
        self.grants.insert(partition, grant);
        Verdict::Granted
    }
}

/// Lease of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Start of the time in which it has been held without a gap.
    pub since: Instant,
    /// End by the holder's clock, unless it is renewed.
    pub end: Instant,
}

/// Assignment of partitions to live VMs.
#[derive(Default)]
pub struct Placement {
    live: Vec<VmName>,
    owners: Vec<VmName>,
}

impl Placement {
    /// Assigns the partitions again if the live VMs or the number of partitions changed.
    pub fn update(&mut self, live: &[VmName], partitions: u32) {
        if self.live == live && self.owners.len() == partitions as usize {
            return;
        }
        self.live = live.to_vec();
        self.owners = (0..partitions)
            .filter_map(|p| rendezvous::first(&[b"lease", &p.to_le_bytes()], live).cloned())
            .collect();
    }

    /// The VM to which the partition is assigned; `None` while no VM is live.
    pub fn owner(&self, partition: u32) -> Option<&VmName> {
        self.owners.get(partition as usize)
    }

    fn owned_by(&self, vm: &VmName) -> Vec<u32> {
        let owners = self.owners.iter().zip(0..);
        owners.filter(|(o, _)| *o == vm).map(|(_, p)| p).collect()
    }
}

/// Requests the leases of the partitions that are assigned to this VM and tracks those that it holds.
///
/// A partition is assigned to the first live VM in its rendezvous order, so normally only one VM requests
/// it. A holder to which the partition is no longer assigned stops renewing, and the lease ends.
pub struct LeaseHolder {
    vm: VmName,
    incarnation: Incarnation,
    group: Witnesses,
    /// When the requests of each round were sent.
    sent_rounds: BTreeMap<u64, Instant>,
    /// When the latest request that a witness granted was sent, by partition and witness.
    granted: HashMap<u32, HashMap<VmName, Instant>>,
    leases: HashMap<u32, Lease>,
    assigned: Vec<u32>,
    round: u64,
    next_round: Option<Instant>,
}

impl LeaseHolder {
    /// The state of a VM that has just started, without leases.
    pub fn new(vm: VmName, incarnation: Incarnation) -> Self {
        Self {
            vm,
            incarnation,
            group: Witnesses::default(),
            sent_rounds: BTreeMap::new(),
            granted: HashMap::new(),
            leases: HashMap::new(),
            assigned: Vec::new(),
            round: 0,
            next_round: None,
        }
    }

    /// Sets the configured witness group; a change drops the grants, but not the leases.
    pub fn set_group(&mut self, group: &Witnesses) {
        if self.group == *group {
            return;
        }
        self.group = group.clone();
        self.next_round = None;
        // Grants of another group do not count, nor do replies to earlier rounds.
        self.sent_rounds.clear();
        self.granted.clear();
    }

    /// The requests that are due: one to each witness, with all assigned partitions.
    pub fn tick(&mut self, now: Instant, placement: &Placement) -> Vec<(VmName, LeaseRequest)> {
        let assigned = placement.owned_by(&self.vm);
        if assigned != self.assigned {
            self.assigned = assigned;
            self.next_round = None;
        }
        self.sent_rounds.retain(|_, at| *at + LEASE_LENGTH > now);
        self.leases.retain(|_, l| l.end > now);
        let assigned = &self.assigned;
        self.granted.retain(|p, _| assigned.contains(p));
        if self.next_round.is_some_and(|at| at > now) || self.assigned.is_empty() {
            return Vec::new();
        }
        let holds_all = self.assigned.iter().all(|p| self.leases.contains_key(p));
        self.next_round = Some(now + if holds_all { RENEWAL_PERIOD } else { RETRY_PERIOD });
        self.round += 1;
        self.sent_rounds.insert(self.round, now);
        let request = LeaseRequest {
            holder: self.vm.clone(),
            incarnation: self.incarnation,
            group: group_id(&self.group),
            number: self.round,
            partitions: self.assigned.clone(),
            held: self.leases.keys().copied().collect(),
        };
        let mut witnesses: Vec<_> = self.group.current.iter().chain(&self.group.previous).collect();
        witnesses.sort();
        witnesses.dedup();
        witnesses
            .into_iter()
            .map(|w| (w.clone(), request.clone()))
            .collect()
    }

    /// Applies the reply of a witness. Repeated replies change nothing; those to an earlier run are ignored.
    pub fn apply_reply(&mut self, now: Instant, from: &VmName, reply: &LeaseReply) {
        if reply.incarnation != self.incarnation {
            return;
        }
        let Some(sent) = self.sent_rounds.get(&reply.number).copied() else {
            return;
        };
        for (partition, verdict) in &reply.verdicts {
            if *verdict != Verdict::Granted {
                continue;
            }
            let times = self.granted.entry(*partition).or_default();
            let time = times.entry(from.clone()).or_insert(sent);
            *time = sent.max(*time);
            self.extend_lease(now, *partition);
        }
    }

    fn extend_lease(&mut self, now: Instant, partition: u32) {
        let Some(sent) = self
            .granted
            .get(&partition)
            .and_then(|p| majority_sent(&self.group, p))
        else {
            return;
        };
        let end = sent + allow_for_drift(LEASE_LENGTH);
        if end <= now {
            return;
        }
        let lease = self.leases.entry(partition).or_insert(Lease { since: now, end });
        // During a gap another VM may have held the partition.
        if lease.end <= now {
            *lease = Lease { since: now, end };
        }
        lease.end = lease.end.max(end);
    }

    /// The lease of a partition; `None` if it is not held.
    pub fn held(&self, now: Instant, partition: u32) -> Option<Lease> {
        self.leases.get(&partition).copied().filter(|l| l.end > now)
    }
}

/// Latest time such that a majority granted requests sent then or later; with two groups, a majority of
/// each.
fn majority_sent(group: &Witnesses, sent: &HashMap<VmName, Instant>) -> Option<Instant> {
    let current = group_majority_sent(&group.current, sent)?;
    if group.previous.is_empty() {
        return Some(current);
    }
    Some(current.min(group_majority_sent(&group.previous, sent)?))
}

/// Like [`majority_sent`] for one group.
fn group_majority_sent(names: &[VmName], sent: &HashMap<VmName, Instant>) -> Option<Instant> {
    let mut times: Vec<_> = names.iter().filter_map(|n| sent.get(n).copied()).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(names.len() / 2).copied()
}
