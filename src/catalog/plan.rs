//! Checks a change against the current records and computes the edits that it makes.

use smol_str::SmolStr;

use crate::catalog::Catalog;
use crate::catalog::change::Change;
use crate::catalog::change::Fault;
use crate::catalog::change::JoinSecret;
use crate::catalog::change::Op;
use crate::catalog::change::RouteSpec;
use crate::catalog::change::VmSpec;
use crate::catalog::delta::Edit;
use crate::catalog::edition::Edition;
use crate::catalog::witness;
use crate::code::Code;
use crate::id::CustomerId;
use crate::id::Index;
use crate::id::KeyId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Version;
use crate::id::VmName;
use crate::settings::MAX_NAME_BYTES;
use crate::settings::is_name;
use crate::view::Customer;
use crate::view::Departed;
use crate::view::Key;
use crate::view::Limit;
use crate::view::Route;
use crate::view::ServiceRecord;
use crate::view::Vm;
use crate::view::Witnesses;

pub mod evacuation;

/// Largest rate in requests per second and largest burst in requests.
pub const MAX_RATE_OR_BURST: u32 = 1_000_000;
/// Largest capacity floor, in slots.
pub const MAX_FLOOR_SLOTS: u32 = 1_000_000;
/// Longest path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;
/// Longest deadline of a route, in milliseconds.
pub const MAX_ROUTE_DEADLINE_MS: u64 = 600_000;
/// Entry VMs answer paths below this prefix themselves, so a route there would never match.
const RESERVED_PREFIX: &str = "/.zinnia";
const DIGEST_HEX_DIGITS: usize = 64;

/// Effect of an accepted change.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub edits: Vec<Edit>,
    /// Whether the change may revoke access or lower a limit.
    pub security: bool,
    /// Whether the members of the witness group must be selected again afterwards.
    pub update_witnesses: bool,
}

impl Plan {
    fn single(edit: Edit) -> Self {
        Self {
            edits: vec![edit],
            ..Self::default()
        }
    }
}

type PlanResult = Result<Plan, Fault>;

pub(crate) fn check_name(field: &str, text: &str) -> Result<(), Fault> {
    if is_name(text) {
        return Ok(());
    }
    let detail =
        format!("{text:?} is not a name of letters, digits, '-', '_' or '.' up to {MAX_NAME_BYTES} bytes");
    Err(Fault::field(field, detail))
}

pub(crate) fn check_range(field: &str, number: u64, low: u64, high: u64) -> Result<(), Fault> {
    if (low..=high).contains(&number) {
        return Ok(());
    }
    let detail = format!("{number} is not a number from {low} to {high}");
    Err(Fault::field(field, detail))
}

pub(crate) fn check_digest(field: &str, text: &str) -> Result<(), Fault> {
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.len() == DIGEST_HEX_DIGITS && text.chars().all(is_digit) {
        return Ok(());
    }
    let detail = format!("not {DIGEST_HEX_DIGITS} lower-case hexadecimal digits");
    Err(Fault::field(field, detail))
}

fn check_prefix(prefix: &str) -> Result<(), Fault> {
    let detail = if prefix.len() > MAX_PREFIX_BYTES {
        "longer than 256 bytes"
    } else if !prefix.starts_with('/') {
        "does not start with '/'"
    } else if !prefix.chars().all(|c| c.is_ascii_graphic()) || prefix.contains(['?', '#', '%', '\\']) {
        "holds a character other than the visible ASCII ones without '?', '#', '%' and '\\'"
    } else if prefix.len() > 1 && prefix.ends_with('/') {
        "ends with '/'"
    } else if prefix.split('/').skip(1).any(|s| matches!(s, "." | "..")) || prefix.contains("//") {
        "has an empty segment, '.' or '..'"
    } else if prefix.starts_with(RESERVED_PREFIX) {
        "starts with the reserved '/.zinnia'"
    } else {
        return Ok(());
    };
    Err(Fault::field("prefix", format!("{prefix:?} {detail}")))
}

fn check_version(expect: Version, current: Version) -> Result<(), Fault> {
    if expect == current {
        Ok(())
    } else {
        Err(Fault::conflict(expect, current))
    }
}

fn not_found(kind: &str, id: &str) -> Fault {
    Fault::new(Code::NotFound, format!("{kind} \"{id}\" does not exist"))
}

impl Catalog {
    /// The effect of a change at this log index, or the reason for its refusal.
    pub(super) fn plan(&self, index: Index, change: &Change) -> PlanResult {
        let expect = change.expect;
        match &change.op {
            Op::CustomerSet { id, limit } => self.set_customer(index, expect, id, *limit),
            Op::CustomerRemove { id, with_keys } => self.remove_customer(expect, id, *with_keys),
            Op::KeyIssue { id, customer, digest } => self.issue_key(index, expect, id, customer, digest),
            Op::KeyWithdraw { id } => self.withdraw_key(index, expect, id),
            Op::RouteSet(spec) => self.set_route(index, expect, spec),
            Op::RouteRemove { id } => self.remove_route(expect, id),
            Op::ServiceSet { id, floor, join } => self.set_service(index, expect, id, *floor, join),
            Op::ServiceRemove { id } => self.remove_service(expect, id),
            Op::VmJoin(spec) => self.join_vm(index, spec),
            Op::VmRemove { name, ended } => self.remove_vm(expect, name, *ended),
            Op::WitnessSettle { version } => self.settle_witnesses(*version),
            Op::Replace(edition) => self.replace_records(index, edition),
            Op::Depart { upstream, born } => Ok(self.record_departure(index, upstream, *born)),
            Op::Evacuate { domain } => self.evacuate(index, domain),
            Op::Restore { domain } => Ok(self.restore(domain)),
        }
    }

    fn set_customer(&self, index: Index, expect: Version, id: &CustomerId, limit: Limit) -> PlanResult {
        check_name("id", id)?;
        check_range("rate", limit.rate.into(), 1, MAX_RATE_OR_BURST.into())?;
        check_range("burst", limit.burst.into(), 1, MAX_RATE_OR_BURST.into())?;
        let old = self.view.customers.get(id);
        check_version(expect, old.map_or(0, |c| c.version))?;
        let security = old.is_some_and(|c| limit.rate < c.limit.rate || limit.burst < c.limit.burst);
        let customer = Customer {
            id: id.clone(),
            limit,
            version: index,
            ..Customer::default()
        };
        Ok(Plan {
            security,
            ..Plan::single(Edit::Customer(customer))
        })
    }

    fn remove_customer(&self, expect: Version, id: &CustomerId, with_keys: bool) -> PlanResult {
        let old = self.view.customers.get(id);
        let old = old.ok_or_else(|| not_found("customer", id))?;
        check_version(expect, old.version)?;
        let mut keys: Vec<&Key> = self.view.keys.values().filter(|k| k.customer == *id).collect();
        keys.sort_by(|a, b| a.id.cmp(&b.id));
        if let Some(key) = keys.iter().find(|k| !k.withdrawn && !with_keys) {
            let detail = format!("key \"{}\" of the customer is not withdrawn", key.id);
            return Err(Fault::new(Code::InUse, detail));
        }
        let mut edits: Vec<Edit> = keys.iter().map(|k| Edit::KeyGone(k.digest.clone())).collect();
        edits.push(Edit::CustomerGone(id.clone()));
        Ok(Plan {
            edits,
            security: true,
            ..Plan::default()
        })
    }

    fn issue_key(
        &self,
        index: Index,
        expect: Version,
        id: &KeyId,
        customer: &CustomerId,
        digest: &SmolStr,
    ) -> PlanResult {
        check_name("id", id)?;
        // A dot separates the id from the secret part of a key.
        if id.contains('.') {
            return Err(Fault::field("id", format!("{id:?} holds '.'")));
        }
        check_digest("digest", digest)?;
        if !self.view.customers.contains_key(customer) {
            return Err(not_found("customer", customer));
        }
        let current = self.key(id).map_or(0, |k| k.version);
        if expect != 0 || current != 0 {
            return Err(Fault::conflict(expect, current));
        }
        if self.view.keys.contains_key(digest) {
            return Err(Fault::field("digest", "another key has the same digest"));
        }
        Ok(Plan::single(Edit::Key(Key {
            id: id.clone(),
            customer: customer.clone(),
            digest: digest.clone(),
            withdrawn: false,
            version: index,
        })))
    }

    fn withdraw_key(&self, index: Index, expect: Version, id: &KeyId) -> PlanResult {
        let old = self.key(id).ok_or_else(|| not_found("key", id))?;
        check_version(expect, old.version)?;
        let key = Key {
            withdrawn: true,
            version: index,
            ..old.clone()
        };
        Ok(Plan {
            security: true,
            ..Plan::single(Edit::Key(key))
        })
    }

    fn set_route(&self, index: Index, expect: Version, spec: &RouteSpec) -> PlanResult {
        check_name("id", &spec.id)?;
        check_prefix(&spec.prefix)?;
        check_range("limit_ms", spec.limit_ms, 0, MAX_ROUTE_DEADLINE_MS)?;
        if !self.view.services.contains_key(&spec.service) {
            return Err(not_found("service", &spec.service));
        }
        let old = self.route(&spec.id);
        check_version(expect, old.map_or(0, |r| r.version))?;
        let has_same_prefix = |r: &&Route| r.prefix == spec.prefix && r.id != spec.id;
        if let Some(other) = self.view.routes.iter().find(has_same_prefix) {
            let detail = format!("{:?} is the prefix of route \"{}\"", spec.prefix, other.id);
            return Err(Fault::field("prefix", detail));
        }
        let closes_route = old.is_some_and(|r| r.open && (!spec.open || r.prefix != spec.prefix));
        // Requests to paths below an open route need a key once a route that is not open covers them.
        let closes_subtree = !spec.open && self.view.route(&spec.prefix).is_some_and(|r| r.open);
        let route = Route {
            id: spec.id.clone(),
            prefix: spec.prefix.clone(),
            service: spec.service.clone(),
            open: spec.open,
            idempotent: spec.idempotent,
            require_id: spec.require_id,
            limit_ms: spec.limit_ms,
            version: index,
            ..Route::default()
        };
        Ok(Plan {
            security: closes_route || closes_subtree,
            ..Plan::single(Edit::Route(route))
        })
    }

    fn remove_route(&self, expect: Version, id: &RouteId) -> PlanResult {
        let old = self.route(id).ok_or_else(|| not_found("route", id))?;
        check_version(expect, old.version)?;
        Ok(Plan {
            security: old.open,
            ..Plan::single(Edit::RouteGone(id.clone()))
        })
    }

    fn set_service(
        &self,
        index: Index,
        expect: Version,
        id: &ServiceId,
        floor: u32,
        join: &JoinSecret,
    ) -> PlanResult {
        check_name("id", id)?;
        check_range("floor", floor.into(), 0, MAX_FLOOR_SLOTS.into())?;
        let old = self.view.services.get(id);
        check_version(expect, old.map_or(0, |s| s.version))?;
        let join_digest = match (join, old) {
            (JoinSecret::Given(digest) | JoinSecret::Made(digest), _) => digest.clone(),
            (JoinSecret::Keep, Some(old)) => old.join_digest.clone(),
            (JoinSecret::Keep, None) => {
                return Err(Fault::field("secret", "a new service needs a join secret"));
            }
        };
        check_digest("secret", &join_digest)?;
        Ok(Plan::single(Edit::Service(ServiceRecord {
            id: id.clone(),
            floor,
            join_digest,
            version: index,
            ..ServiceRecord::default()
        })))
    }

    fn remove_service(&self, expect: Version, id: &ServiceId) -> PlanResult {
        let old = self.view.services.get(id);
        let old = old.ok_or_else(|| not_found("service", id))?;
        check_version(expect, old.version)?;
        if let Some(route) = self.view.routes.iter().find(|r| r.services().any(|s| s == id)) {
            let detail = format!("route \"{}\" leads to the service", route.id);
            return Err(Fault::new(Code::InUse, detail));
        }
        Ok(Plan::single(Edit::ServiceGone(id.clone())))
    }

    fn join_vm(&self, index: Index, spec: &VmSpec) -> PlanResult {
        check_name("name", &spec.name)?;
        check_name("domain", &spec.domain)?;
        check_range("incarnation", spec.incarnation, 1, u64::MAX)?;
        if spec.caller == spec.peer {
            return Err(Fault::field(
                "peer",
                format!("{} is also the caller address", spec.peer),
            ));
        }
        let vm = Vm {
            name: spec.name.clone(),
            domain: spec.domain.clone(),
            caller: spec.caller,
            peer: spec.peer,
            incarnation: spec.incarnation,
            version: index,
        };
        if let Some(old) = self.view.vms.get(&spec.name) {
            let repeated = Vm {
                version: old.version,
                ..vm.clone()
            };
            if repeated == *old {
                return Ok(Plan::default());
            }
            if old.incarnation >= spec.incarnation {
                let detail = format!(
                    "incarnation {} of VM \"{}\" is not larger than the registered {}",
                    spec.incarnation, spec.name, old.incarnation
                );
                return Err(Fault {
                    current: Some(old.version),
                    ..Fault::new(Code::Conflict, detail)
                });
            }
        }
        self.check_addresses(spec)?;
        Ok(Plan {
            update_witnesses: true,
            ..Plan::single(Edit::Vm(vm))
        })
    }

    /// Refuses an address that another VM has: the VMs would receive each other's calls.
    fn check_addresses(&self, spec: &VmSpec) -> Result<(), Fault> {
        for other in self.view.vms.values().filter(|v| v.name != spec.name) {
            for (field, address) in [("caller", spec.caller), ("peer", spec.peer)] {
                if address == other.caller || address == other.peer {
                    let detail = format!("{address} is an address of VM \"{}\"", other.name);
                    return Err(Fault::field(field, detail));
                }
            }
        }
        Ok(())
    }

    fn remove_vm(&self, expect: Version, name: &VmName, ended: bool) -> PlanResult {
        let Witnesses { current, previous } = &self.view.witnesses;
        let is_witness = current.contains(name) || previous.contains(name);
        let old = self.view.vms.get(name);
        // A witness that was removed while its process ran has no record, but may still be in the current
        // or the previous group, so that a change of the group can wait for its acknowledgement.
        if old.is_none() && !(ended && is_witness) {
            return Err(not_found("VM", name));
        }
        check_version(expect, old.map_or(0, |vm| vm.version))?;
        // A removed VM cannot acknowledge, so a change of the witness group could wait for it forever.
        if is_witness && !ended && !previous.is_empty() {
            let detail = format!("VM \"{name}\" is needed for the change of the witness group under way");
            return Err(Fault::new(Code::InUse, detail));
        }
        let mut plan = Plan {
            update_witnesses: true,
            ..Plan::default()
        };
        plan.edits.extend(old.map(|vm| Edit::VmGone(vm.name.clone())));
        if ended && is_witness {
            let without = |group: &[VmName]| group.iter().filter(|n| *n != name).cloned().collect();
            plan.edits.push(Edit::Witnesses(Witnesses {
                current: without(current),
                previous: without(previous),
            }));
        }
        Ok(plan)
    }

    /// Replaces all customers, keys, routes and services; no effect if the edition in force has the same or a higher
    /// number.
    fn replace_records(&self, index: Index, edition: &Edition) -> PlanResult {
        if !self.is_newer_edition(edition.number) {
            return Ok(Plan::default());
        }
        edition.check()?;
        let edits = edition.diff(index, &self.view);
        let security = edits.iter().any(|e| self.may_restrict_access(e));
        Ok(Plan {
            edits,
            security,
            ..Plan::default()
        })
    }

    /// Whether an edit may revoke access that callers have in the current view, or lower a limit. Every edit
    /// of an open route counts, even if the route stays open.
    fn may_restrict_access(&self, edit: &Edit) -> bool {
        match edit {
            Edit::CustomerGone(_) | Edit::KeyGone(_) => true,
            Edit::Customer(new) => self.view.customers.get(&new.id).is_some_and(|old| {
                let (new, old) = (new.limit, old.limit);
                new.rate < old.rate || new.burst < old.burst
            }),
            Edit::Route(Route { id, .. }) | Edit::RouteGone(id) => {
                self.view.routes.iter().any(|old| old.id == *id && old.open)
            }
            _ => false,
        }
    }

    /// Records that a run of an upstream has departed; no effect if it is recorded already.
    fn record_departure(&self, index: Index, upstream: &UpstreamId, run_start: u64) -> Plan {
        if self.view.has_departed(upstream, run_start) {
            return Plan::default();
        }
        Plan::single(Edit::Departed(Departed {
            upstream: upstream.clone(),
            run_start,
            version: index,
        }))
    }

    /// Drops the previous witness group; no effect unless the last change of the group was at `version`.
    fn settle_witnesses(&self, version: Version) -> PlanResult {
        if self.witness_version != version || self.view.witnesses.previous.is_empty() {
            return Ok(Plan::default());
        }
        let settled = Witnesses {
            current: self.view.witnesses.current.clone(),
            previous: Vec::new(),
        };
        Ok(Plan {
            update_witnesses: true,
            ..Plan::single(Edit::Witnesses(settled))
        })
    }

    /// The next witness group, with the current one as previous; `None` if its members stay the same or a
    /// change of the group is in progress.
    pub(super) fn next_witnesses(&self) -> Option<Witnesses> {
        let Witnesses { current, previous } = &self.view.witnesses;
        if !previous.is_empty() {
            return None;
        }
        let selected = witness::select_members(self.view.vms.values(), current);
        (selected != *current).then(|| Witnesses {
            current: selected,
            previous: current.clone(),
        })
    }
}
