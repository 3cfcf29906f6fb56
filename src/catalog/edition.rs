//! Editions: complete sets of customers, keys, routes and services that replace the current ones in one
//! change.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::catalog::change::Fault;
use crate::catalog::delta::Edit;
use crate::catalog::plan::MAX_ROUTE_DEADLINE_MS;
use crate::code::Code;
use crate::id::Index;
use crate::id::ServiceId;
use crate::view::CallerLimits;
use crate::view::Customer;
use crate::view::Homes;
use crate::view::Key;
use crate::view::Route;
use crate::view::ServiceRecord;
use crate::view::View;
use crate::view::Warmup;

/// Number of leading hexadecimal digits of a digest that serve as the key id, since an edition has no key
/// ids.
const KEY_ID_HEX_DIGITS: usize = 16;

/// A customer of an edition with the digests of its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerKeys {
    /// The customer; its version is not used.
    pub customer: Customer,
    /// SHA-256 of its keys, in hexadecimal.
    pub digests: Vec<SmolStr>,
}

/// A complete configuration with a number; it replaces the records only if its number is higher than the
/// current one.
///
/// Versions inside the records are not used: each record gets the version of the change that set it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// Orders editions; the one with the highest number is in force.
    pub number: u64,
    /// The text from which the records were parsed, returned to clients that read the configuration; empty if
    /// the records came as parameters of a call.
    pub source: String,
    /// Customers and their keys.
    #[serde(rename = "holders")]
    pub customers: Vec<CustomerKeys>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceRecord>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Limits on cold upstreams, by service.
    #[serde(default)]
    pub warmups: BTreeMap<ServiceId, Warmup>,
    /// Homes of routes and customers.
    #[serde(default)]
    pub homes: Homes,
}

impl Edition {
    /// Checks that the records are valid and refer only to records of the edition.
    ///
    /// # Errors
    /// `BadParams` with the invalid field, or without one for an unknown service.
    pub fn check(&self) -> Result<(), Fault> {
        let services: HashSet<&str> = self.services.iter().map(|s| s.id.as_str()).collect();
        let mut host_prefixes = HashSet::new();
        let mut names = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !host_prefixes.insert(route.sort_key()) {
                return Err(invalid_route(route, "has the host and prefix of another route"));
            }
            if !names.insert(&route.id) {
                return Err(invalid_route(route, "has the name of another route"));
            }
        }
        let mut key_owners: HashMap<&str, &str> = HashMap::new();
        for owner in &self.customers {
            let name = owner.customer.id.as_str();
            for digest in &owner.digests {
                if key_owners.insert(digest, name).is_some_and(|other| other != name) {
                    let detail = format!("customer \"{name}\" shares a key with another");
                    return Err(Fault::field("keys", detail));
                }
            }
        }
        Ok(())
    }

    /// The edits that turn a view into this edition.
    pub(crate) fn diff(&self, index: Index, view: &View) -> Vec<Edit> {
        let mut edits = Vec::new();
        self.diff_services(index, view, &mut edits);
        self.diff_customers(index, view, &mut edits);
        self.diff_keys(index, view, &mut edits);
        self.diff_routes(index, view, &mut edits);
        if self.warmups != view.warmups {
            edits.push(Edit::Warmups(self.warmups.clone()));
        }
        if self.homes != view.homes {
            edits.push(Edit::Homes(self.homes.clone()));
        }
        edits.push(Edit::Edition(self.number, self.limits));
        edits
    }

    fn diff_services(&self, index: Index, view: &View, edits: &mut Vec<Edit>) {
        let kept: BTreeSet<&str> = self.services.iter().map(|s| s.id.as_str()).collect();
        let removed = sorted(view.services.keys()).filter(|id| !kept.contains(id.as_str()));
        edits.extend(removed.map(|id| Edit::ServiceGone(id.clone())));
        for service in &self.services {
            let old = view.services.get(&service.id);
            let version = old.map_or(index, |s| s.version);
            // An edition has no join secrets; an existing service keeps its own, so that its upstreams can
            // still join.
            let join = old.map_or(&service.join_digest, |s| &s.join_digest);
            let record = |version| ServiceRecord {
                version,
                join_digest: join.clone(),
                ..service.clone()
            };
            if old != Some(&record(version)) {
                edits.push(Edit::Service(record(index)));
            }
        }
    }

    fn diff_customers(&self, index: Index, view: &View, edits: &mut Vec<Edit>) {
        let kept: BTreeSet<&str> = self.customers.iter().map(|c| c.customer.id.as_str()).collect();
        let removed = sorted(view.customers.keys()).filter(|id| !kept.contains(id.as_str()));
        edits.extend(removed.map(|id| Edit::CustomerGone(id.clone())));
        for owner in &self.customers {
            let old = view.customers.get(&owner.customer.id);
            let version = old.map_or(index, |c| c.version);
            let record = |version| Customer {
                version,
                ..owner.customer.clone()
            };
            if old != Some(&record(version)) {
                edits.push(Edit::Customer(record(index)));
            }
        }
    }

    fn diff_keys(&self, index: Index, view: &View, edits: &mut Vec<Edit>) {
        let all = || {
            self.customers
                .iter()
                .flat_map(|c| c.digests.iter().map(move |d| (c, d)))
        };
        let kept: BTreeSet<&str> = all().map(|(_, digest)| digest.as_str()).collect();
        let removed = sorted(view.keys.keys()).filter(|digest| !kept.contains(digest.as_str()));
        edits.extend(removed.map(|digest| Edit::KeyGone(digest.clone())));
        for (owner, digest) in all() {
            let old = view.keys.get(digest);
            if old.is_some_and(|k| k.customer == owner.customer.id && !k.withdrawn) {
                continue;
            }
            let end = digest.len().min(KEY_ID_HEX_DIGITS);
            edits.push(Edit::Key(Key {
                id: digest[..end].into(),
                customer: owner.customer.id.clone(),
                digest: digest.clone(),
                withdrawn: false,
                version: index,
            }));
        }
    }

    fn diff_routes(&self, index: Index, view: &View, edits: &mut Vec<Edit>) {
        let kept: BTreeSet<&str> = self.routes.iter().map(|r| r.id.as_str()).collect();
        let mut old: HashMap<&str, &Route> = HashMap::new();
        for route in &view.routes {
            old.insert(&route.id, route);
            if !kept.contains(route.id.as_str()) {
                edits.push(Edit::RouteGone(route.id.clone()));
            }
        }
        for route in &self.routes {
            let old = old.get(route.id.as_str()).copied();
            let version = old.map_or(index, |r| r.version);
            let record = |version| Route {
                version,
                ..route.clone()
            };
            if old != Some(&record(version)) {
                edits.push(Edit::Route(record(index)));
            }
        }
    }
}

/// Sorts ids from a hash map: all replicas must make the edits in the same order.
fn sorted<'a>(ids: impl Iterator<Item = &'a SmolStr>) -> impl Iterator<Item = &'a SmolStr> {
    let mut ids: Vec<&SmolStr> = ids.collect();
    ids.sort_unstable();
    ids.into_iter()
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), Fault> {
    if let Some(unknown) = route.services().find(|s| !services.contains(s.as_str())) {
        let detail = format!("route \"{}\" leads to unknown service \"{unknown}\"", route.id);
        return Err(Fault::new(Code::BadParams, detail));
    }
    if !route.split.is_empty() && route.split.iter().all(|p| p.weight == 0) {
        return Err(invalid_route(route, "has weights that add up to 0"));
    }
    if route.limit_ms == 0 || route.limit_ms > MAX_ROUTE_DEADLINE_MS {
        return Err(invalid_route(route, "has a timeout of 0 or over ten minutes"));
    }
    if route.attempts == 0 {
        return Err(invalid_route(route, "allows no attempt"));
    }
    if !route.prefix.starts_with('/') {
        return Err(invalid_route(route, "has a prefix that does not start with '/'"));
    }
    Ok(())
}

fn invalid_route(route: &Route, detail: &str) -> Fault {
    Fault::field("routes", format!("\"{}\" {detail}", route.id))
}
