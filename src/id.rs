//! Type aliases for identifiers and counters that several modules use.

use smol_str::SmolStr;

/// Name of an entry or control VM, unique in the fleet.
pub type VmName = SmolStr;
/// Name of a failure domain: VMs and upstreams that can fail together.
pub type DomainName = SmolStr;
/// Name of a region: a group of failure domains.
pub type RegionName = SmolStr;
/// Id of a service, for example `forecast`.
pub type ServiceId = SmolStr;
/// Id of one upstream of a service.
pub type UpstreamId = SmolStr;
/// Id of a customer.
pub type CustomerId = SmolStr;
/// Id of a customer's key: its public part.
pub type KeyId = SmolStr;
/// Id of a route.
pub type RouteId = SmolStr;
/// Identifies one operator change, so that a resent change is recognised.
pub type ChangeId = SmolStr;
/// Identifies one request: the caller's `idempotency-key`, or one made by the entry VM.
pub type RequestId = SmolStr;

/// Rank of a request among those of its service; 0 is the highest.
pub type Rank = u8;

/// Identifies one crash of an upstream, so that a report that arrives again is not counted again.
pub type CrashId = u64;

/// Version of the configuration: the log index of the last applied change. In a record, the log index
/// of the change that last wrote it; 0 stands for a record that does not exist.
pub type Version = u64;
/// Distinguishes the runs of one VM; a later run has a larger number.
pub type Incarnation = u64;
/// Election term of the replicated log.
pub type Term = u64;
/// Position in the replicated log, counted from 1.
pub type Index = u64;
