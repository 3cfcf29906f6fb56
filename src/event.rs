//! Typed events of one process, kept in a ring buffer; `zinnia-events` merges those of all processes.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::OnceLock;

use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::clock;
use crate::clock::Stamp;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::DomainName;
use crate::id::VmName;

/// Name of the RPC method that reads events.
pub const READ_METHOD: &str = "events.read";
/// Largest number of events in one answer.
pub const MAX_READ_EVENTS: usize = 10_000;
/// Longest detail that is kept, in bytes.
const MAX_DETAIL_BYTES: usize = 400;

/// What happened.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
pub enum Kind {
    /// A process runs.
    Started,
    /// A process received the request to stop.
    Stopping,
    /// A process has stopped.
    Stopped,
    /// A control replica changed its role.
    Role,
    /// A configuration change was accepted.
    ChangeAccepted,
    /// A configuration change was refused.
    ChangeRefused,
    /// An entry VM applied a newer configuration.
    ConfigApplied,
    /// An entry VM can no longer confirm that its configuration is current.
    FreshnessLost,
    /// An entry VM confirmed that its configuration is current.
    FreshnessGained,
    /// A request was refused or failed.
    RequestFailed,
    /// An attempt at an upstream failed.
    AttemptFailed,
    /// An upstream announced a new state.
    UpstreamState,
    /// An upstream stopped announcing itself.
    UpstreamSilent,
    /// This VM shifts traffic away from an upstream.
    Shifted,
    /// An upstream was ejected.
    Ejected,
    /// An arbiter rejected the ejection of an upstream.
    PermitRefused,
    /// An upstream gets traffic again.
    Reinstated,
    /// A lease was taken.
    LeaseTaken,
    /// A lease ended.
    LeaseLost,
    /// A claim could not be recorded.
    ClaimRefused,
    /// A request fingerprint was blocked.
    Quarantined,
    /// A member joined or came back.
    MemberUp,
    /// A member does not advance its heartbeat.
    MemberDown,
    /// A member announced that it leaves.
    MemberLeaving,
    /// The upstreams of a failure domain get no requests any more, by order of an operator.
    DomainEvacuated,
    /// The evacuation of a failure domain ended.
    DomainRestored,
}

/// One event. Fields that do not apply are empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Logical time; orders the events of all processes.
    pub stamp: Stamp,
    /// Position among the events of the process, from 1.
    pub number: u64,
    /// VM of the process.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// What happened.
    pub kind: Kind,
    /// What it is about.
    #[serde(flatten)]
    pub about: About,
}

/// What an event is about.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct About {
    /// Request id.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub request: SmolStr,
    /// Customer.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub customer: SmolStr,
    /// Service.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub service: SmolStr,
    /// Upstream.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub upstream: SmolStr,
    /// Number of the result code, or 0.
    #[serde(skip_serializing_if = "is_zero")]
    pub code: u16,
    /// Further facts, without any key or secret.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

fn is_zero(code: &u16) -> bool {
    *code == 0
}

impl About {
    /// A detail without an object.
    pub fn detail(text: impl Into<String>) -> Self {
        Self {
            detail: text.into(),
            ..Self::default()
        }
    }

    /// An error with its code.
    pub fn error(error: &Error) -> Self {
        Self {
            code: error.code.number(),
            detail: error.detail.clone(),
            ..Self::default()
        }
    }

    /// Names the request.
    #[must_use]
    pub fn request(mut self, id: &str) -> Self {
        self.request = id.into();
        self
    }

    /// Names the customer.
    #[must_use]
    pub fn customer(mut self, id: &str) -> Self {
        self.customer = id.into();
        self
    }

    /// Names the service and the upstream.
    #[must_use]
    pub fn upstream(mut self, service: &str, id: &str) -> Self {
        self.service = service.into();
        self.upstream = id.into();
        self
    }
}

struct Ring {
    vm: VmName,
    domain: DomainName,
    capacity: usize,
    /// Number of the last event that was recorded, or 0.
    last_number: u64,
    events: VecDeque<Event>,
}

// Like the logger, the ring is global, so that recording an event needs no handle.
static RING: OnceLock<Mutex<Ring>> = OnceLock::new();

/// Sets up the ring of this process; later calls change nothing.
pub fn open(vm: &VmName, domain: &DomainName, capacity: usize) {
    let ring = Ring {
        vm: vm.clone(),
        domain: domain.clone(),
        capacity,
        last_number: 0,
        events: VecDeque::new(),
    };
    let _ = RING.set(Mutex::new(ring));
}

/// Records an event; without [`open`] it is dropped.
pub fn record(kind: Kind, about: About) {
    let Some(ring) = RING.get() else { return };
    ring.lock().unwrap().push(kind, about);
}

impl Ring {
    fn push(&mut self, kind: Kind, mut about: About) {
        truncate(&mut about.detail);
        self.last_number += 1;
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        let (vm, domain) = (self.vm.clone(), self.domain.clone());
        self.events.push_back(Event {
            stamp: clock::stamp(),
            number: self.last_number,
            vm,
            domain,
            kind,
            about,
        });
    }
}

fn truncate(text: &mut String) {
    if text.len() <= MAX_DETAIL_BYTES {
        return;
    }
    let end = (0..=MAX_DETAIL_BYTES)
        .rev()
        .find(|n| text.is_char_boundary(*n))
        .unwrap_or(0);
    text.truncate(end);
}

/// Which events to read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadRequest {
    /// Only events with a larger number.
    pub after: u64,
    /// Largest number of events in the answer; 0 stands for [`MAX_READ_EVENTS`].
    pub limit: usize,
    /// Only events that pass the filter.
    pub filter: Filter,
}

/// Selects events; an empty field selects all.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Filter {
    /// Request id.
    pub request: SmolStr,
    /// Customer.
    pub customer: SmolStr,
    /// Upstream.
    pub upstream: SmolStr,
    /// Earliest time in milliseconds since 1970.
    pub since_ms: u64,
}

impl Filter {
    /// Whether the event is selected.
    pub fn matches(&self, event: &Event) -> bool {
        let is_match = |filter: &SmolStr, value: &SmolStr| filter.is_empty() || filter == value;
        is_match(&self.request, &event.about.request)
            && is_match(&self.customer, &event.about.customer)
            && is_match(&self.upstream, &event.about.upstream)
            && clock::millis(event.stamp) >= self.since_ms
    }
}

/// Events of one process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The events, oldest first.
    pub events: Vec<Event>,
    /// Number of the last event that was examined; the `after` of the next call.
    pub last: u64,
    /// Events after `after` that the ring has already overwritten.
    pub lost: u64,
}

/// Reads events of this process.
pub fn read(request: &ReadRequest) -> ReadAnswer {
    let Some(ring) = RING.get() else {
        return ReadAnswer::default();
    };
    let ring = ring.lock().unwrap();
    let first = ring.events.front().map_or(ring.last_number + 1, |e| e.number);
    let lost = first.saturating_sub(request.after + 1);
    let limit = if request.limit == 0 {
        MAX_READ_EVENTS
    } else {
        request.limit.min(MAX_READ_EVENTS)
    };
    let mut answer = ReadAnswer {
        lost,
        last: request.after.max(first - 1),
        ..ReadAnswer::default()
    };
    for event in ring.events.iter().filter(|e| e.number > request.after) {
        if answer.events.len() == limit {
            break;
        }
        answer.last = event.number;
        if request.filter.matches(event) {
            answer.events.push(event.clone());
        }
    }
    answer
}

/// Adds the method [`READ_METHOD`] to the methods of a process.
///
/// # Errors
/// `Kernel` if the method is registered already.
pub fn register(module: &mut RpcModule<()>) -> Result<()> {
    module
        .register_method(
            READ_METHOD,
            |params, _, _| -> std::result::Result<ReadAnswer, ErrorObjectOwned> {
                Ok(read(&params.parse::<ReadRequest>()?))
            },
        )
        .map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
    Ok(())
}
