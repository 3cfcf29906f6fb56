//! Changes of the configuration, as entries of the replicated log hold them, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::catalog::edition::Edition;
use crate::code::Code;
use crate::id::ChangeId;
use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::Incarnation;
use crate::id::KeyId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::id::VmName;
use crate::secret::digest;
use crate::view::Limit;

/// Length of a content fingerprint: 128 bits make an accidental collision negligible.
const FINGERPRINT_HEX_DIGITS: usize = 32;

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifies the change, so that a resent change is applied only once.
    pub id: ChangeId,
    /// Version of the object that the change was made for; 0 if the object must not exist.
    pub expect: Version,
    /// The operation.
    pub op: Op,
}

/// Attributes of a route that an operator sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route.
    pub id: RouteId,
    /// Path prefix, such as `/forecast`.
    pub prefix: SmolStr,
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Whether requests without a key are admitted.
    pub open: bool,
    /// Whether all methods are idempotent on this route.
    pub idempotent: bool,
    /// Whether non-idempotent requests must carry an `idempotency-key`.
    pub require_id: bool,
    /// Deadline of a request in milliseconds; 0 for the default of the entry VM's settings.
    pub limit_ms: u64,
}

/// Registration of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSpec {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address that is published to callers.
    pub caller: SocketAddr,
    /// Address for other processes.
    pub peer: SocketAddr,
    /// Number of the VM's run, larger after each restart.
    pub incarnation: Incarnation,
}

/// The join secret of a service in a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JoinSecret {
    /// Keeps the stored digest.
    Keep,
    /// Digest of a secret from the operator.
    Given(SmolStr),
    /// Digest of a secret that the control process generated for this call.
    Made(SmolStr),
}

/// Operation of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Creates or replaces a customer.
    CustomerSet {
        /// Name of the customer.
        id: CustomerId,
        /// Rate and burst.
        limit: Limit,
    },
    /// Removes a customer and its withdrawn keys.
    CustomerRemove {
        /// Name of the customer.
        id: CustomerId,
        /// Removes keys that are not withdrawn as well, instead of refusing with `InUse`.
        with_keys: bool,
    },
    /// Stores the digest of a new key.
    KeyIssue {
        /// Public part of the key.
        id: KeyId,
        /// Owner of the key.
        customer: CustomerId,
        /// SHA-256 of the whole key, in hexadecimal.
        digest: SmolStr,
    },
    /// Withdraws a key permanently.
    KeyWithdraw {
        /// Public part of the key.
        id: KeyId,
    },
    /// Creates or replaces a route.
    RouteSet(RouteSpec),
    /// Removes a route.
    RouteRemove {
        /// Name of the route.
        id: RouteId,
    },
    /// Creates or replaces a service.
    ServiceSet {
        /// Name of the service.
        id: ServiceId,
        /// Healthy capacity in slots below which no upstream is ejected.
        floor: u32,
        /// The join secret.
        join: JoinSecret,
    },
    /// Removes a service.
    ServiceRemove {
        /// Name of the service.
        id: ServiceId,
    },
    /// Registers an entry VM; the incarnation orders registrations, `expect` is not used.
    VmJoin(VmSpec),
    /// Removes an entry VM from the registry.
    VmRemove {
        /// Name of the VM.
        name: VmName,
        /// Whether the operator states that the process has ended; the VM then leaves the witness group at
        /// once.
        ended: bool,
    },
    /// Ends the joint phase of a change of the witness group, in which both the new and the previous
    /// group must agree; `expect` is not used.
    WitnessSettle {
        /// Version of the group change that a majority of each group has acknowledged.
        version: Version,
    },
    /// Replaces all customers, keys, routes and services; the number of the edition orders
    /// replacements, `expect` is not used.
    Replace(Arc<Edition>),
    /// Records that an upstream leaves; `expect` is not used.
    Depart {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Start of the run that leaves, in milliseconds since 1970 by the upstream's clock.
        born: u64,
    },
    /// Orders that the upstreams of a failure domain get no requests; `expect` is not used.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
    },
    /// Takes back [`Op::Evacuate`]; `expect` is not used.
    Restore {
        /// The failure domain.
        domain: DomainName,
    },
}

impl Op {
    /// Whether applying the operation again has no further effect, so that the change needs no change id and
    /// its outcome is not kept.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            self,
            Op::VmJoin(_)
                | Op::WitnessSettle { .. }
                | Op::Replace(_)
                | Op::Depart { .. }
                | Op::Evacuate { .. }
                | Op::Restore { .. }
        )
    }

    /// The operation without digests of generated secrets, which differ when a call is resent.
    fn without_generated(&self) -> Op {
        let mut op = self.clone();
        match &mut op {
            Op::KeyIssue { digest, .. } => *digest = SmolStr::default(),
            Op::ServiceSet {
                join: JoinSecret::Made(digest),
                ..
            } => *digest = SmolStr::default(),
            _ => {}
        }
        op
    }
}

impl Change {
    /// Digest of the content that a resent change must repeat.
    pub(crate) fn fingerprint(&self) -> SmolStr {
        let content = serde_json::json!([self.expect, self.op.without_generated()]);
        digest(&content.to_string())[..FINGERPRINT_HEX_DIGITS].into()
    }
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Number of the result code.
    pub code: u16,
    /// Explanation, without any key or secret.
    pub detail: String,
    /// The invalid field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Current version of the object; 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Version>,
}

impl Fault {
    /// A fault with no field or current version.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            detail: detail.into(),
            field: None,
            current: None,
        }
    }

    /// A fault for an invalid value of a field.
    pub fn field(field: &str, detail: impl Into<String>) -> Self {
        Self {
            field: Some(field.into()),
            ..Self::new(Code::BadParams, format!("{field}: {}", detail.into()))
        }
    }

    /// A fault for an object whose version is not the expected one, because another change came first.
    pub fn conflict(expect: Version, current: Version) -> Self {
        let detail = match (expect, current) {
            (0, _) => format!("the object exists with version {current}"),
            (_, 0) => format!("expected version {expect}, but the object does not exist"),
            _ => format!("expected version {expect}, but the current one is {current}"),
        };
        Self {
            current: Some(current),
            ..Self::new(Code::Conflict, detail)
        }
    }

    /// The result code.
    pub fn code(&self) -> Code {
        Code::from_number(self.code).unwrap_or(Code::BadAnswer)
    }
}

/// Result of applying a change, the same on each replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Version of the configuration with this change, or without it if it was refused.
    pub version: Version,
    /// Whether the change may revoke access or lower a limit, so that a majority of the witness group must
    /// acknowledge it (section 5.1 of the design).
    pub security: bool,
    /// Whether the change id was used before; the outcome is then that of the first change.
    pub repeated: bool,
    /// Why the change was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<Fault>,
}
