//! Messages between the processes of a fleet.
//!
//! They are sent in postcard form between processes of different builds, so variants and fields keep
//! their order. A field that is added goes to the end of a message, where older builds ignore it and newer ones
//! fill in its default. A variant that is added goes to the end of [`Frame`] and is sent only to builds that
//! state a [`REVISION`] which has it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use smol_str::SmolStr;
use strum::VariantNames;

use crate::catalog::delta::Delta;
use crate::fleet::discovery::Announcement;
use crate::fleet::health::HealthUpdate;
use crate::fleet::retry_budget::Totals;
use crate::fleet::warmup::WarmupGrant;
use crate::fleet::warmup::WarmupRequest;
use crate::grant::Grant;
use crate::grant::TokenRequest;
use crate::id::CrashId;
use crate::id::DomainName;
use crate::id::Index;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::id::VmName;
use crate::quarantine::CrashRecord;
use crate::replica::Envelope;
use crate::view::View;

/// Revision of the messages that this build understands. 1 adds [`Frame::CrashRecords`] and
/// [`Frame::CrashTakenBack`], 2 adds [`Frame::Leaving`], 3 adds [`Frame::WarmupRequest`], [`Frame::WarmupGrant`] and the
/// edits of evacuations, warm-up limits and homes, 4 applies a first edition with the number 0.
pub const REVISION: u8 = 4;

/// First revision that applies a first edition with the number 0.
pub const ZERO_EDITION_REVISION: u8 = 4;

/// First revision that has evacuations, warm-up limits and homes.
pub const PLACEMENT_REVISION: u8 = 3;

/// First revision that has [`Frame::Leaving`].
pub const LEAVING_REVISION: u8 = 2;

/// An entry VM as it is announced to other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Whether the address is given to callers.
    pub is_ready: bool,
}

/// A control VM as it is announced to other VMs. Its name is its address for connections between processes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain.
    pub domain: DomainName,
}

/// Updates the configuration of an entry VM to a later version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The changes since the version that the VM holds.
    Changes(Vec<Delta>),
    /// The whole configuration.
    #[serde(rename = "Whole")]
    Full(Box<View>),
}

/// Result of a call to the leader of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The change was committed; holds the encoded result of the state machine.
    Applied(Vec<u8>),
    /// The index up to which the log must be applied to see every change accepted before the call.
    #[serde(rename = "Fenced")]
    ReadIndex(Index),
    /// The call failed; holds the number of a `Code`.
    Failed(u16),
}

/// One message on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Frame {
    /// First message of an entry VM; sent again when its description changes.
    Entry {
        /// Description of the VM.
        entry: EntryVm,
        /// Version of the configuration that it holds.
        version: Version,
    },
    /// First message of a control VM, sent in both directions.
    Control(ControlVm),
    /// Sent periodically to show that the sender is running.
    #[serde(rename = "Alive")]
    Heartbeat {
        /// From a control VM: whether it had recent contact with a leader that has a majority.
        is_fresh: bool,
        /// From an entry VM: version of the configuration that it holds.
        version: Version,
        /// [`REVISION`] of the sender; 0 from builds that state none.
        #[serde(deserialize_with = "trailing_revision")]
        revision: u8,
    },
    /// A message of the replicated log.
    Replica(Envelope),
    /// Reports of upstreams about themselves.
    #[serde(rename = "Roster")]
    Announcements {
        /// Whether the receiver removes the upstreams that are not in the list.
        #[serde(rename = "is_whole")]
        is_complete: bool,
        /// The latest report of each upstream.
        reports: Vec<Announcement>,
    },
    /// Upstreams that were removed because they sent no report for too long.
    #[serde(rename = "Forgotten")]
    ExpiredUpstreams(Vec<UpstreamId>),
    /// Results of requests at upstreams.
    #[serde(rename = "Notes")]
    Results(Vec<HealthUpdate>),
    /// Requests in flight by upstream. From an entry VM: its own; between control VMs: the sum over the
    /// entry VMs connected to the sender; to an entry VM: the sum over the fleet.
    #[serde(rename = "Flying")]
    InFlight(Vec<(UpstreamId, u16)>),
    /// Requests and retries by service. From an entry VM and between control VMs: those since the last
    /// message; to an entry VM: those of the whole fleet in the retry window.
    Usage(Vec<(ServiceId, Totals)>),
    /// Entry VMs. Between control VMs: those connected to the sender; to an entry VM: all.
    Entries(Vec<EntryVm>),
    /// The sending control VM and those connected to it.
    Controls(Vec<ControlVm>),
    /// A later configuration.
    Config(ConfigUpdate),
    /// Request of an entry VM for tokens; control VMs forward it to the leader.
    #[serde(rename = "Ask")]
    TokenRequest(TokenRequest),
    /// Answer to `TokenRequest`; control VMs forward it to the requesting VM.
    Grant {
        /// The requesting VM.
        spender: VmName,
        /// The answer.
        grant: Grant,
    },
    /// The connection to an upstream broke while it ran a request, which may have crashed it. Sent to and by
    /// builds that don't have [`Frame::CrashRecords`].
    Crash {
        /// Fingerprint of the request.
        fingerprint: SmolStr,
    },
    /// Call of a control VM: the leader appends a change to the replicated log.
    Propose {
        /// Number of the call, unique among the open calls of the caller.
        number: u64,
        /// The encoded change.
        data: Vec<u8>,
    },
    /// Call of a control VM: the leader confirms with a majority that it still leads.
    #[serde(rename = "Fence")]
    ReadIndex {
        /// Number of the call, unique among the open calls of the caller.
        number: u64,
    },
    /// Answer to `Propose` and `ReadIndex`.
    Reply {
        /// Number of the call.
        number: u64,
        /// Result of the call.
        outcome: CallOutcome,
    },
    /// Crashes of upstreams by the requests that caused them. From an entry VM: those that it saw, and on a new
    /// connection all that it knows; between control VMs: those reported by the entry VMs of the sender, and on a
    /// new connection all suspects; to an entry VM: suspects.
    CrashRecords(Vec<CrashRecord>),
    /// A request was answered, which takes back one crash. From an entry VM, and forwarded to those that know of
    /// the crash.
    CrashTakenBack {
        /// Fingerprint of the request.
        fingerprint: SmolStr,
        /// The crash that no longer counts.
        crash: CrashId,
    },
    /// From an entry VM: a run of an upstream stated in an answer that it leaves.
    Leaving {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Start of the run, in milliseconds since 1970 by its clock.
        #[serde(rename = "born")]
        run_start: u64,
    },
    /// Request of an entry VM for permits to send requests to cold upstreams; control VMs forward it to the leader.
    WarmupRequest(WarmupRequest),
    /// Answer to `WarmupRequest`; control VMs forward it to the requesting VM.
    WarmupGrant {
        /// The requesting VM.
        vm: VmName,
        /// The permits.
        grant: WarmupGrant,
    },
}

/// Reads the last field of a message, which older builds don't send.
fn trailing_revision<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u8, D::Error> {
    Ok(u8::deserialize(deserializer).unwrap_or(0))
}
