//! Records of the configuration and the immutable view that the request path reads.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::Incarnation;
use crate::id::KeyId;
use crate::id::RegionName;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::id::VmName;

/// Rate and burst of a customer over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests per second.
    pub rate: u32,
    /// Maximum number of requests admitted at once.
    pub burst: u32,
}

impl Limit {
    /// Whether the customer has no limit: a rate of 0, which only an edition can set.
    pub fn is_unlimited(self) -> bool {
        self.rate == 0
    }
}

/// A customer: the owner of keys and of a limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Rate and burst.
    pub limit: Limit,
    /// Priority of the customer's requests, 0 is the highest; it takes precedence over that of the route.
    #[serde(default)]
    pub priority: Option<u8>,
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

/// A service that gets a part of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Share of the requests relative to the other services of the route.
    pub weight: u32,
}

/// A route from a path prefix to a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host of the route; empty for all hosts that have no route for the path.
    #[serde(default)]
    pub host: SmolStr,
    /// Path prefix, such as `/forecast`; it matches whole path segments. One that ends with a slash matches only
    /// paths that contain this slash.
    pub prefix: SmolStr,
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Services among which the requests are divided; empty if `service` runs all of them.
    #[serde(default)]
    pub split: Vec<WeightedService>,
    /// Largest number of upstreams to which one request may be sent; 0 for the default of the proxy.
    #[serde(default)]
    pub attempts: u8,
    /// Priority among the requests of a service, 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Target latency in milliseconds; 0 if none is stated.
    #[serde(default)]
    pub target_ms: u64,
    /// Whether requests without a key are admitted.
    pub open: bool,
    /// Whether all methods are idempotent on this route, also POST and PATCH.
    pub idempotent: bool,
    /// Whether each request on this route, even a GET, may run at most once; takes precedence over
    /// `idempotent`.
    #[serde(default)]
    pub once: bool,
    /// Whether non-idempotent requests must carry an `idempotency-key`.
    pub require_id: bool,
    /// Deadline in milliseconds of a request that states none; 0 for the one in the VM's settings.
    pub limit_ms: u64,
    /// Version of the last change of this record.
    pub version: Version,
}

/// A service: a group of upstreams that answer the same requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Name of the service.
    pub id: ServiceId,
    /// Healthy capacity in slots below which no upstream is ejected.
    pub floor: u32,
    /// SHA-256 of the secret with which upstreams join, in hexadecimal.
    pub join_digest: SmolStr,
    /// Connections that one upstream accepts from all callers; 0 if no limit is stated.
    #[serde(default)]
    pub connections: u32,
    /// Version of the last change of this record.
    pub version: Version,
}

/// An upstream that announced that it leaves; its runs up to a start get no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start of the run that leaves, in milliseconds since 1970 by the upstream's clock, or a later moment at which that
    /// run was the latest; a later run under the same name is another upstream.
    #[serde(rename = "born")]
    pub run_start: u64,
    /// Version of the change that recorded it.
    pub version: Version,
}

/// A failure domain whose upstreams get no requests, by order of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: DomainName,
    /// Version of the change that recorded the order.
    pub version: Version,
}

/// Limit on the requests that the upstreams of a service get while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// Requests per 1,000 s that a cold upstream tolerates.
    pub per_1000_s: u32,
    /// Time in milliseconds for which an upstream is cold after its start.
    pub length_ms: u32,
}

impl Warmup {
    /// Requests per second that a cold upstream tolerates.
    pub fn per_second(self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }

    /// Time for which an upstream is cold after its start.
    pub fn length(self) -> Duration {
        Duration::from_millis(self.length_ms.into())
    }
}

/// Regions whose upstreams may run the requests of routes and customers; those without an entry have no homes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    /// By route.
    pub routes: BTreeMap<RouteId, Vec<RegionName>>,
    /// By customer.
    pub customers: BTreeMap<CustomerId, Vec<RegionName>>,
}

/// Limits of requests and connections of callers, for all routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes. In all fields, 0 means that no limit is stated.
    pub head_bytes: u64,
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Time in milliseconds in which a head must arrive.
    pub head_ms: u64,
    /// Time in milliseconds that a connection may stay open between requests.
    pub idle_ms: u64,
}

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address for callers.
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
    /// Routes in the order of [`Route::sort_key`]: the longest prefix first.
    pub routes: Vec<Route>,
    /// Services by id.
    pub services: HashMap<ServiceId, ServiceRecord>,
    /// Entry VMs by name.
    pub vms: BTreeMap<VmName, Vm>,
    /// The witness group.
    pub witnesses: Witnesses,
    /// Number of the edition in force; 0 also if none was applied.
    #[serde(default)]
    pub edition: u64,
    /// Limits of the edition in force.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Upstreams that announced that they leave, the latest last.
    #[serde(default)]
    pub departed: Vec<Departed>,
    /// Evacuated failure domains, by name. This field and those after it are missing in the messages of builds before
    /// revision 3.
    #[serde(default, deserialize_with = "trailing")]
    pub evacuated: Vec<Evacuation>,
    /// Limits on cold upstreams, by service.
    #[serde(default, deserialize_with = "trailing")]
    pub warmups: BTreeMap<ServiceId, Warmup>,
    /// Homes of routes and customers.
    #[serde(default, deserialize_with = "trailing")]
    pub homes: Homes,
}

/// Reads a field at the end of a view, which the messages of older builds lack. In a snapshot, which is text, a field
/// that cannot be read is an error.
fn trailing<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    if deserializer.is_human_readable() {
        return T::deserialize(deserializer);
    }
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

impl View {
    /// Whether an operator has ordered that the upstreams of a failure domain get no requests.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.iter().any(|e| e.domain == domain)
    }

    /// Whether a run of an upstream, or a later one, has announced that it leaves.
    pub fn has_departed(&self, upstream: &UpstreamId, run_start: u64) -> bool {
        let departed = self.departed.iter();
        departed
            .filter(|d| d.upstream == *upstream)
            .any(|d| run_start <= d.run_start)
    }

    /// The route of a path (without its query) among the routes for any host: the one with the longest prefix
    /// that matches.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.route_on("", path)
    }

    /// The route of a path on a host, or else the one among the routes for any host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = Some(host).filter(|h| !h.is_empty());
        host.and_then(|host| self.route_on(host, path))
            .or_else(|| self.route(path))
    }

    fn route_on(&self, host: &str, path: &str) -> Option<&Route> {
        let mut prefix = path;
        while !prefix.is_empty() {
            if let Some(route) = self.route_at(host, prefix) {
                return Some(route);
            }
            // The next shorter prefix of whole segments, with its last slash before it is tried without.
            prefix = match prefix.strip_suffix('/') {
                Some(shorter) => shorter,
                None => &prefix[..prefix.rfind('/').map_or(0, |slash| slash + 1)],
            };
        }
        None
    }

    fn route_at(&self, host: &str, prefix: &str) -> Option<&Route> {
        let key = (host, Reverse(prefix.len()), prefix);
        let found = self.routes.binary_search_by(|r| r.sort_key().cmp(&key));
        found.ok().map(|n| &self.routes[n])
    }
}

impl Route {
    /// Key by which routes are ordered in a view; it is unique, since prefixes are unique on each host.
    pub fn sort_key(&self) -> (&str, Reverse<usize>, &str) {
        (&self.host, Reverse(self.prefix.len()), &self.prefix)
    }

    /// The services among which the requests of the route are divided.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let single = self.split.is_empty().then_some(&self.service);
        single.into_iter().chain(self.split.iter().map(|p| &p.service))
    }

    /// Whether the path lies under the prefix.
    pub fn matches(&self, path: &str) -> bool {
        path.strip_prefix(self.prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/'))
    }

    /// Time limit of a request that states none; `None` for the one in the VM's settings.
    pub fn limit(&self) -> Option<Duration> {
        (self.limit_ms > 0).then(|| Duration::from_millis(self.limit_ms))
    }
}
