//! Put-if-absent claims of request ids on a majority of 5 holders (section 5.3 of the design).
//!
//! A claim that a majority granted is never passed to another attempt. The holders keep it for
//! [`CLAIM_RETENTION`], so at most one of all attempts with the same id gets a majority in that time.

pub mod attempt;
pub mod copy;
pub mod holder;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::VmName;
use crate::rendezvous;
use crate::stage::KeptAnswer;
use crate::view::View;

pub use attempt::ClaimRound;
pub use attempt::Decision;
pub use copy::CopyPage;
pub use copy::CopyRequest;
pub use holder::ClaimStore;
pub use holder::StoreLimits;

/// Number of VMs that store a claim.
pub const HOLDER_COUNT: usize = 5;
/// Time for which holders keep a claim.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Wait of a restarted holder if a majority of the holders lost their claims too. After this time
/// callers no longer resend requests that ran before the restart.
pub const COLD_START_WAIT: Duration = Duration::from_secs(120);
/// Replies that arrive later than this after the start of a round do not count.
pub const ROUND_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time between the majority's grant and the send of the request.
pub const SEND_WINDOW: Duration = Duration::from_secs(1);
/// Wait of a restarted holder before it copies claims. A round that counted a grant of its earlier
/// run has ended by then, so the round's other grants are all among the copied claims. The 0.5 s
/// beyond [`ROUND_TIMEOUT`] allow for clock drift.
pub const RESTART_WAIT: Duration = Duration::from_millis(1500);
/// A claim that has been running for longer has an unknown outcome, as all request deadlines are
/// shorter.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(10 * 60);
/// Largest answer body that is kept with a claim.
pub const MAX_KEPT_BODY_BYTES: usize = 64 << 10;

/// Smallest number of holders that form a majority.
pub fn majority(holders: usize) -> usize {
    holders / 2 + 1
}

/// A claimed request id; ids of different customers are independent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Customer of the request.
    pub customer: CustomerId,
    /// Id that the caller gave the request.
    pub request: RequestId,
}

/// Identifies one round of put requests; another round after a split vote has another number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// VM that coordinates the round.
    pub vm: VmName,
    /// Run of that VM.
    pub incarnation: Incarnation,
    /// Number of the attempt in that run.
    pub number: u64,
}

/// Request to a holder to record a claim if it has none for the id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Claimed id.
    pub id: ClaimId,
    /// Attempt that claims it.
    pub attempt: AttemptId,
    /// Digest of the request's method, path and body.
    pub digest: SmolStr,
    /// Id of the registry from which the coordinator chose the holders.
    pub registry: u64,
}

/// Request to remove the claim of an attempt whose request was not sent or that no upstream ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Claimed id.
    pub id: ClaimId,
    /// Attempt that claimed it.
    pub attempt: AttemptId,
}

/// Request to record how a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishRequest {
    /// Claimed id.
    pub id: ClaimId,
    /// Attempt that claimed it.
    pub attempt: AttemptId,
    /// Digest of the request.
    pub digest: SmolStr,
    /// Outcome; never `Running`.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may be sent, or was sent and has not ended.
    Running,
    /// It was answered.
    Answered(KeptAnswer),
    /// It was sent, and its outcome is unknown.
    Unknown,
}

/// Reply of a holder to a [`PutRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PutReply {
    /// The claim is recorded.
    Granted,
    /// The id is claimed by another attempt, or the request has ended.
    #[serde(rename = "Held")]
    AlreadyClaimed {
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Digest of its request.
        digest: SmolStr,
        /// State of its request.
        state: ClaimState,
        /// Whether the request has been running for longer than [`MAX_RUN_TIME`].
        stale: bool,
    },
    /// The holder has reached its limit of claims.
    Full,
    /// The holder has not copied all claims that may exist for the id yet.
    Copying,
    /// The registry of the holder differs from that of the request.
    OtherRegistry,
    /// The attempt was released before this request arrived.
    Released,
}

/// The VMs from which holders are chosen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Registry {
    id: u64,
    vms: Vec<(VmName, DomainName)>,
    domains: usize,
}

impl Registry {
    /// A registry of VMs and their failure domains.
    pub fn new(mut vms: Vec<(VmName, DomainName)>) -> Self {
        vms.sort();
        vms.dedup_by(|a, b| a.0 == b.0);
        let parts: Vec<&[u8]> = vms
            .iter()
            .flat_map(|(v, d)| [v.as_bytes(), d.as_bytes()])
            .collect();
        let id = rendezvous::hash(&parts);
        let mut domains: Vec<_> = vms.iter().map(|(_, d)| d).collect();
        domains.sort();
        domains.dedup();
        let domains = domains.len();
        Self { id, vms, domains }
    }

    /// The registry of a view.
    pub fn of(view: &View) -> Self {
        let vms = view.vms.values().map(|vm| (vm.name.clone(), vm.domain.clone()));
        Self::new(vms.collect())
    }

    /// Hash of the VMs and their failure domains.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Names of all VMs, in ascending order.
    pub fn names(&self) -> impl Iterator<Item = &VmName> {
        self.vms.iter().map(|(v, _)| v)
    }

    /// The registry without one VM.
    pub fn without(&self, vm: &VmName) -> Self {
        Self::new(self.vms.iter().filter(|(v, _)| v != vm).cloned().collect())
    }

    /// The holders of a claim: the first VMs in rendezvous order with at most an equal share from
    /// each failure domain. If small domains leave places free, the next VMs in order take them.
    pub fn holders(&self, id: &ClaimId) -> Vec<VmName> {
        let key: [&[u8]; 3] = [b"claim", id.customer.as_bytes(), id.request.as_bytes()];
        let ranked = rendezvous::ranked(&key, self.names());
        let domain_cap = HOLDER_COUNT.div_ceil(self.domains.max(1));
        let mut chosen: Vec<&VmName> = Vec::with_capacity(HOLDER_COUNT);
        for vm in &ranked {
            let domain = self.domain(vm);
            let used = chosen.iter().filter(|c| self.domain(c) == domain).count();
            if used < domain_cap && chosen.len() < HOLDER_COUNT {
                chosen.push(vm);
            }
        }
        for vm in ranked {
            if chosen.len() < HOLDER_COUNT && !chosen.contains(&vm) {
                chosen.push(vm);
            }
        }
        chosen.into_iter().cloned().collect()
    }

    /// Whether the VM is registered.
    pub fn contains(&self, vm: &VmName) -> bool {
        self.vms.binary_search_by(|(v, _)| v.cmp(vm)).is_ok()
    }

    fn domain(&self, vm: &VmName) -> Option<&DomainName> {
        let index = self.vms.binary_search_by(|(v, _)| v.cmp(vm)).ok()?;
        Some(&self.vms[index].1)
    }
}
