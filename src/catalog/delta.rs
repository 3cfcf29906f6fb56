//! Deltas between versions of the configuration. Entry VMs fetch them from control VMs and apply them to
//! their view.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::Version;
use crate::id::VmName;
use crate::view::CallerLimits;
use crate::view::Customer;
use crate::view::Departed;
use crate::view::Evacuation;
use crate::view::Homes;
use crate::view::Key;
use crate::view::Route;
use crate::view::ServiceRecord;
use crate::view::View;
use crate::view::Vm;
use crate::view::Warmup;
use crate::view::Witnesses;

/// Maximum number of departure records; the oldest is dropped first. A day of releases in a fleet of 400
/// upstreams adds 400 records, so the records of ten such days are kept.
pub const MAX_DEPARTED: usize = 4_000;

/// A record that was set or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// A customer was set.
    Customer(Customer),
    /// A customer was removed.
    CustomerGone(CustomerId),
    /// A key was issued or withdrawn.
    Key(Key),
    /// The key with this digest was removed.
    KeyGone(SmolStr),
    /// A route was set.
    Route(Route),
    /// A route was removed.
    RouteGone(RouteId),
    /// A service was set.
    Service(ServiceRecord),
    /// A service was removed.
    ServiceGone(ServiceId),
    /// An entry VM registered.
    Vm(Vm),
    /// An entry VM was removed.
    VmGone(VmName),
    /// The witness group changed: the entry VMs of which a majority grants leases and confirms security
    /// changes.
    Witnesses(Witnesses),
    /// The configuration now comes from the edition with this number, with these caller limits. The records
    /// that it changed are separate edits of the same delta.
    ///
    /// An edition is a complete set of customers, keys, routes and services that is applied as a whole, under
    /// an ascending number. A [`View`] is the configuration at one version.
    Edition(u64, CallerLimits),
    /// An upstream announced that it leaves.
    Departed(Departed),
    /// A failure domain was evacuated. This variant and those after it are unknown to builds before revision 3 of the
    /// messages; see [`Delta::is_known_before_revision_3`].
    Evacuated(Evacuation),
    /// The evacuation of a failure domain ended.
    Restored(DomainName),
    /// All limits on cold upstreams were replaced.
    Warmups(BTreeMap<ServiceId, Warmup>),
    /// All homes of routes and customers were replaced.
    Homes(Homes),
}

/// The records that one change set or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version of the configuration with this change.
    pub version: Version,
    /// The records, in the order in which they are applied.
    pub edits: Vec<Edit>,
}

impl Delta {
    /// Whether builds before revision 3 of the messages between processes can read the change.
    pub fn is_known_before_revision_3(&self) -> bool {
        let is_new = |edit: &Edit| {
            matches!(
                edit,
                Edit::Evacuated(_) | Edit::Restored(_) | Edit::Warmups(_) | Edit::Homes(_)
            )
        };
        !self.edits.iter().any(is_new)
    }

    /// Applies the change to the view that precedes it.
    pub fn apply(&self, view: &mut View) {
        for edit in &self.edits {
            edit.apply(view);
        }
        view.version = self.version;
    }
}

impl Edit {
    fn apply(&self, view: &mut View) {
        match self {
            Edit::Customer(c) => {
                view.customers.insert(c.id.clone(), c.clone());
            }
            Edit::CustomerGone(id) => {
                view.customers.remove(id);
            }
            Edit::Key(k) => {
                view.keys.insert(k.digest.clone(), k.clone());
            }
            Edit::KeyGone(digest) => {
                view.keys.remove(digest);
            }
            Edit::Route(route) => set_route(&mut view.routes, route),
            Edit::RouteGone(id) => view.routes.retain(|r| r.id != *id),
            Edit::Service(s) => {
                view.services.insert(s.id.clone(), s.clone());
            }
            Edit::ServiceGone(id) => {
                view.services.remove(id);
            }
            Edit::Vm(vm) => {
                view.vms.insert(vm.name.clone(), vm.clone());
            }
            Edit::VmGone(name) => {
                view.vms.remove(name);
            }
            Edit::Witnesses(witnesses) => view.witnesses = witnesses.clone(),
            Edit::Edition(number, limits) => {
                view.edition = *number;
                view.limits = *limits;
            }
            Edit::Departed(departed) => record_departed(&mut view.departed, departed),
            Edit::Evacuated(evacuation) => {
                view.evacuated.retain(|e| e.domain != evacuation.domain);
                let at = view.evacuated.partition_point(|e| e.domain < evacuation.domain);
                view.evacuated.insert(at, evacuation.clone());
            }
            Edit::Restored(domain) => view.evacuated.retain(|e| e.domain != *domain),
            Edit::Warmups(warmups) => view.warmups = warmups.clone(),
            Edit::Homes(homes) => view.homes = homes.clone(),
        }
    }
}

/// Adds a record and, beyond [`MAX_DEPARTED`], drops the oldest one. The process of the upstream in the
/// dropped record has ended by then, so the record is no longer needed.
fn record_departed(records: &mut Vec<Departed>, departed: &Departed) {
    records.retain(|d| d.upstream != departed.upstream);
    if records.len() >= MAX_DEPARTED {
        records.remove(0);
    }
    records.push(departed.clone());
}

/// Inserts or replaces a route and keeps the order of [`Route::sort_key`].
fn set_route(routes: &mut Vec<Route>, route: &Route) {
    routes.retain(|r| r.id != route.id);
    let at = routes.partition_point(|r| r.sort_key() < route.sort_key());
    routes.insert(at, route.clone());
}
