//! Parameters and results of the methods for operators and processes; docs/openrpc.json describes them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::catalog::delta::Delta;
use crate::id::ChangeId;
use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::Incarnation;
use crate::id::Index;
use crate::id::KeyId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::Term;
use crate::id::Version;
use crate::id::VmName;
use crate::operator::ack_tracker::AckCount;
use crate::view::Customer;
use crate::view::Route;
use crate::view::View;
use crate::view::Vm;
use crate::view::Witnesses;

pub mod domain;

/// Number of objects in one answer of a list method unless the call states another.
pub const DEFAULT_PAGE_SIZE: usize = 1_000;
/// Maximum number of objects in one answer of a list method.
pub const MAX_PAGE_SIZE: usize = 10_000;

/// `customer.set`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSet {
    /// Change id; a repeated call with the same id is applied once.
    pub change: ChangeId,
    /// Expected version of the customer; 0 creates it.
    pub expect: Version,
    /// Name of the customer.
    pub id: CustomerId,
    /// Requests per second.
    pub rate: u32,
    /// Maximum number of requests admitted at once.
    pub burst: u32,
}

/// `customer.remove`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRemove {
    /// Change id; a repeated call with the same id is applied once.
    pub change: ChangeId,
    /// Expected version of the customer.
    pub expect: Version,
    /// Name of the customer.
    pub id: CustomerId,
    /// Also removes keys that are not withdrawn.
    #[serde(default)]
    pub with_keys: bool,
}

/// `key.issue`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyIssue {
    /// Change id; a repeated call with the same id is applied once.
    pub change: ChangeId,
    /// Owner of the key.
    pub customer: CustomerId,
    /// Public part of the key; derived from the change id if absent.
    #[serde(default)]
    pub id: Option<KeyId>,
}

/// `key.list`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyList {
    /// Lists only the keys of this customer.
    #[serde(default)]
    pub customer: Option<CustomerId>,
    /// Lists only objects whose id sorts after this one.
    #[serde(default)]
    pub after: Option<SmolStr>,
    /// Maximum number of objects in the answer.
    #[serde(default)]
    pub limit: Option<usize>,
}

/// `key.withdraw`, `route.remove`, `service.remove`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ById {
    /// Change id; a repeated call with the same id is applied once.
    pub change: ChangeId,
    /// Expected version of the object.
    pub expect: Version,
    /// Name of the object.
    pub id: SmolStr,
}

/// `route.set`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSet {
    /// Change id; a repeated call with the same id is applied once.
    pub change: ChangeId,
    /// Expected version of the route; 0 creates it.
    pub expect: Version,
    /// Name of the route.
    pub id: RouteId,
    /// Path prefix, such as `/forecast`.
    pub prefix: SmolStr,
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Whether requests without a key are admitted.
    #[serde(default)]
    pub open: bool,
    /// Whether all methods are idempotent on this route.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether non-idempotent requests must carry an `idempotency-key`.
    #[serde(default)]
    pub require_id: bool,
    /// Deadline in milliseconds; 0 for that of the VM's settings.
    #[serde(default)]
    pub limit_ms: u64,
}

/// `service.set`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSet {
    /// Change id; a repeated call with the same id is applied once.
    pub change: ChangeId,
    /// Expected version of the service; 0 creates it.
    pub expect: Version,
    /// Name of the service.
    pub id: ServiceId,
    /// Healthy capacity in slots below which no upstream is ejected.
    pub floor: u32,
    /// Join secret of the upstreams; generated for a new service if absent.
    #[serde(default)]
    pub secret: Option<String>,
    /// Replaces the join secret of a service by a new one.
    #[serde(default)]
    pub new_secret: bool,
}

/// `edition.apply`: a whole configuration. It replaces all customers, keys, routes and services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditionApply {
    /// Number of the configuration; must be higher than that of the one in force.
    pub number: u64,
    /// All customers.
    pub customers: Vec<CustomerSpec>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// All routes.
    pub routes: Vec<RouteSpec>,
    /// Returns the planned changes without applying them.
    #[serde(default)]
    pub plan: bool,
}

/// A customer of an edition.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub id: CustomerId,
    /// Requests per second.
    pub rate: u32,
    /// Maximum number of requests admitted at once.
    pub burst: u32,
    /// Priority of the customer's requests, 0 is the highest; that of the route if absent.
    #[serde(default)]
    pub priority: Option<u8>,
    /// SHA-256 of the customer's keys, in lower-case hexadecimal.
    #[serde(default)]
    pub digests: Vec<SmolStr>,
}

/// A service of an edition. An existing service keeps its join secret.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub id: ServiceId,
    /// Healthy capacity in slots below which no upstream is ejected.
    #[serde(default)]
    pub floor: u32,
    /// Connections that one upstream accepts from all callers; 0 means no limit is stated.
    #[serde(default)]
    pub connections: u32,
}

/// A route of an edition.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Name of the route.
    pub id: RouteId,
    /// Host; empty for all hosts without a route of their own for the path.
    #[serde(default)]
    pub host: SmolStr,
    /// Path prefix, such as `/forecast`.
    pub prefix: SmolStr,
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Maximum number of upstreams to which one request may be sent.
    #[serde(default = "default_attempts")]
    pub attempts: u8,
    /// Priority among the requests of a service, 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Target latency in milliseconds; 0 if none is stated.
    #[serde(default)]
    pub target_ms: u64,
    /// Deadline in milliseconds of a request that states none.
    pub limit_ms: u64,
    /// Whether requests without a key are admitted.
    #[serde(default)]
    pub open: bool,
    /// Whether all methods are idempotent on this route.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether non-idempotent requests must carry an `idempotency-key`.
    #[serde(default)]
    pub require_id: bool,
}

/// Attempts of a route that states none: the request survives the failure of one upstream.
fn default_attempts() -> u8 {
    2
}

/// `vm.remove`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRemove {
    /// Change id; a repeated call with the same id is applied once.
    pub change: ChangeId,
    /// Expected version of the VM.
    pub expect: Version,
    /// Name of the VM.
    pub id: VmName,
    /// Confirms that the process has ended; the VM then leaves the witness group at once.
    #[serde(default)]
    pub ended: bool,
}

/// `customer.show`, `route.show`, `service.show`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Show {
    /// Name of the object.
    pub id: SmolStr,
}

/// `customer.list`, `route.list`, `service.list`, `vm.list`, `domain.list`
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Lists only objects whose id sorts after this one.
    #[serde(default)]
    pub after: Option<SmolStr>,
    /// Maximum number of objects in the answer.
    #[serde(default)]
    pub limit: Option<usize>,
}

/// `version.wait`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionWait {
    /// Version that all registered VMs must have acknowledged.
    pub version: Version,
    /// Time to wait for the acknowledgements, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// `status`
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusParams {}

/// `config.fetch`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FetchParams {
    /// Name of the entry VM.
    pub vm: VmName,
    /// Incarnation of the entry VM.
    pub incarnation: Incarnation,
    /// Version that the VM holds and acknowledges with this call; 0 for none.
    pub version: Version,
    /// Maximum number of changes in the answer.
    #[serde(default)]
    pub limit: Option<usize>,
}

/// Result of `config.fetch`; it has either `changes` or `snapshot`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FetchResult {
    /// Version of the configuration at the answering replica.
    pub version: Version,
    /// Whether the replica confirmed its leadership after it received the call, so that `version` includes
    /// all changes that were accepted before.
    pub leader: bool,
    /// Incarnation with which the calling VM is registered, if it is.
    pub registered: Option<Incarnation>,
    /// Changes after the version of the call, oldest first, at most `limit`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<Delta>>,
    /// The whole configuration, if the changes since that version are no longer kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<View>,
}

/// `vm.join`
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinParams {
    /// Name of the entry VM.
    pub vm: VmName,
    /// Failure domain of the entry VM.
    pub domain: DomainName,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other processes.
    pub peer: SocketAddr,
    /// Incarnation of the entry VM; larger than those of its earlier runs.
    pub incarnation: Incarnation,
}

/// Result of `vm.join`
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinResult {
    /// Version of the configuration that contains the VM.
    pub version: Version,
}

/// Result of an operator method with the version of the configuration that it refers to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Version of the configuration.
    pub version: Version,
    /// Number of VMs that have acknowledged the version.
    pub in_force: AckCount,
    /// Result of the method.
    #[serde(flatten)]
    pub content: T,
}

/// Result of an accepted change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeResult {
    /// Whether the change was applied by an earlier call with the same id, whose outcome this is.
    pub repeated: bool,
    /// The new key; returned only once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The new join secret; returned only once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<String>,
    /// Reason why the key or secret is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// One change from the configuration in force to an edition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedChange {
    /// `set` or `remove`.
    pub act: SmolStr,
    /// Kind of the object.
    pub kind: SmolStr,
    /// Name of the object; for a key, the first characters of its digest.
    pub id: SmolStr,
}

/// Result of `edition.apply`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ApplyResult {
    /// Number of the configuration that is in force now.
    pub number: u64,
    /// Whether this configuration was in force before the call.
    pub repeated: bool,
    /// Changes of the edition, in the order in which they are applied.
    pub objects: Vec<PlannedChange>,
}

/// Result of a show method.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShowResult<T> {
    /// The object.
    pub object: T,
}

/// Result of a list method.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListResult<T> {
    /// The objects, ordered by id.
    pub objects: Vec<T>,
    /// Value of `after` for the next call, if there are more objects.
    pub next: Option<SmolStr>,
}

/// A customer in answers to operators.
pub type CustomerInfo = Customer;
/// A route in answers to operators.
pub type RouteInfo = Route;

/// A key in answers to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyInfo {
    /// Public part of the key.
    pub id: KeyId,
    /// Owner of the key.
    pub customer: CustomerId,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
    /// Version of the last change.
    pub version: Version,
}

/// A service in answers to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Name of the service.
    pub id: ServiceId,
    /// Healthy capacity in slots below which no upstream is ejected.
    pub floor: u32,
    /// Version of the last change.
    pub version: Version,
}

/// An entry VM in answers to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmInfo {
    /// Record of the VM.
    #[serde(flatten)]
    pub vm: Vm,
    /// Version that the VM has acknowledged to this leader.
    pub acknowledged: Option<Version>,
    /// Whether the VM is in the witness group.
    pub witness: bool,
}

/// Result of `version.wait`
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WaitResult {
    /// Whether all registered VMs have acknowledged the version.
    pub everywhere: bool,
}

/// Result of `status`: state of the replica that was called.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Name of the replica.
    pub vm: VmName,
    /// Role in the replicated log.
    pub role: String,
    /// Term of the replicated log.
    pub term: Term,
    /// Leader of the term, if it is known.
    pub leader: Option<VmName>,
    /// Last committed index.
    pub commit: Index,
    /// Last applied index.
    pub applied: Index,
    /// Voting replicas.
    pub voters: Vec<VmName>,
    /// Replicas without a vote that are catching up.
    pub learners: Vec<VmName>,
    /// Version of the configuration at this replica.
    pub version: Version,
    /// Number of VMs that have acknowledged the version; `null` if the leader does not answer.
    pub in_force: Option<AckCount>,
    /// The witness group.
    pub witnesses: Witnesses,
    /// Number of customers.
    pub customers: usize,
    /// Number of keys, including withdrawn ones.
    pub keys: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of services.
    pub services: usize,
    /// Number of registered entry VMs.
    pub vms: usize,
}
