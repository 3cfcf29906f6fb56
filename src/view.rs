//! Records of the configuration and the immutable view that the request path reads.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::Incarnation;
use crate::id::KeyId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::Version;
use crate::id::VmName;

/// Rate and burst of a customer over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests per second.
    pub rate: u32,
    /// Requests that may come at once.
    pub burst: u32,
}

/// A customer: the owner of keys and of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Rate and burst.
    pub limit: Limit,
    /// Version of the last change of this record.
    pub version: Version,
}

/// A caller key; the key itself is not stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public part of the key.
    pub id: KeyId,
    /// Owner of the key.
    pub customer: CustomerId,
    /// SHA-256 of the whole key, in hexadecimal.
    pub digest: SmolStr,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
    /// Version of the last change of this record.
    pub version: Version,
}

/// A route from a path prefix to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Path prefix, such as `/forecast`; it matches whole path segments.
    pub prefix: SmolStr,
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Whether requests without a key are admitted.
    pub open: bool,
    /// Whether all methods are idempotent on this route, also POST and PATCH.
    pub idempotent: bool,
    /// Whether non-idempotent requests must carry an `idempotency-key`.
    pub require_id: bool,
    /// Deadline in milliseconds of a request that states none; 0 leaves it to the VM's settings.
    pub limit_ms: u64,
    /// Version of the last change of this record.
    pub version: Version,
}

/// A service: a group of upstreams that answer the same requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Name of the service.
    pub id: ServiceId,
    /// Healthy capacity in slots below which no upstream is ejected.
    pub floor: u32,
    /// SHA-256 of the secret with which upstreams join, in hexadecimal.
    pub join_digest: SmolStr,
    /// Version of the last change of this record.
    pub version: Version,
}

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address that callers are told.
    pub caller: SocketAddr,
    /// Address for other processes.
    pub peer: SocketAddr,
    /// Run of the VM that registered last.
    pub incarnation: Incarnation,
    /// Version of the last change of this record.
    pub version: Version,
}

/// Members of the witness group; see section 5.1 of the design.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witnesses {
    /// The group.
    pub current: Vec<VmName>,
    /// The group before the last change, until a majority of both has acknowledged the change.
    pub previous: Vec<VmName>,
}

/// The whole configuration at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Version of the last applied change; 0 is the empty configuration.
    pub version: Version,
    /// Customers by id.
    pub customers: HashMap<CustomerId, Customer>,
    /// Keys by digest.
    pub keys: HashMap<SmolStr, Key>,
    /// Routes in the order of [`Route::place`]: the longest prefix first.
    pub routes: Vec<Route>,
    /// Services by id.
    pub services: HashMap<ServiceId, ServiceRecord>,
    /// Entry VMs by name.
    pub vms: BTreeMap<VmName, Vm>,
    /// The witness group.
    pub witnesses: Witnesses,
}

impl View {
    /// The route of a path, without its query: the one with the longest prefix of whole segments.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let mut end = path.len();
        while end > 0 {
            if let Some(route) = self.route_at(&path[..end]) {
                return Some(route);
            }
            end = path[..end].rfind('/').unwrap_or(0);
        }
        self.route_at("/").filter(|_| path.starts_with('/'))
    }

    fn route_at(&self, prefix: &str) -> Option<&Route> {
        let place = (Reverse(prefix.len()), prefix);
        let found = self.routes.binary_search_by(|r| r.place().cmp(&place));
        found.ok().map(|n| &self.routes[n])
    }
}

impl Route {
    /// Orders routes in a view; prefixes are unique.
    pub fn place(&self) -> (Reverse<usize>, &str) {
        (Reverse(self.prefix.len()), self.prefix.as_str())
    }

    /// Whether the path lies under the prefix.
    pub fn admits(&self, path: &str) -> bool {
        let prefix = self.prefix.trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Deadline of a request that states none.
    pub fn limit(&self) -> Option<Duration> {
        (self.limit_ms > 0).then(|| Duration::from_millis(self.limit_ms))
    }
}
