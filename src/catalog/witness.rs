//! The witness group: up to five entry VMs in each failure domain, whose majority must acknowledge a
//! security change before it is accepted.
//!
//! The group changes in joint steps: until a majority of the new group and one of the previous group have
//! acknowledged the change, each decision needs both majorities.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::DomainName;
use crate::id::VmName;
use crate::secret::digest;
use crate::view::View;
use crate::view::Vm;

/// Maximum number of witnesses in one failure domain.
pub const MAX_DOMAIN_WITNESSES: usize = 5;

/// Selects the members of the group among the registered VMs.
///
/// Current members stay if they are registered: a VM that joins or restarts must not replace one, as
/// that would start a change of the group. Vacant places are filled in the order of the digests of the names
/// (rendezvous hashing).
pub(super) fn select_members<'a>(vms: impl Iterator<Item = &'a Vm>, current: &[VmName]) -> Vec<VmName> {
    let current: BTreeSet<&VmName> = current.iter().collect();
    let mut domains: BTreeMap<&DomainName, Vec<&VmName>> = BTreeMap::new();
    for vm in vms {
        domains.entry(&vm.domain).or_default().push(&vm.name);
    }
    let mut group = Vec::new();
    for names in domains.values_mut() {
        names.sort_by_cached_key(|n| (!current.contains(n), digest(n)));
        group.extend(names.iter().take(MAX_DOMAIN_WITNESSES).map(|n| (*n).clone()));
    }
    group.sort();
    group
}

/// Whether a majority of the group has acknowledged a version, according to `has_acked`. An empty group
/// counts as a majority, since it has no member that could confirm an old version.
pub fn is_majority(group: &[VmName], has_acked: impl Fn(&VmName) -> bool) -> bool {
    let count = group.iter().filter(|n| has_acked(n)).count();
    group.is_empty() || count > group.len() / 2
}

/// Whether a majority of the current group and, during a change of the group, a majority of the previous one
/// have acknowledged a version, according to `has_acked`.
pub fn has_quorum(view: &View, has_acked: impl Fn(&VmName) -> bool) -> bool {
    is_majority(&view.witnesses.current, &has_acked) && is_majority(&view.witnesses.previous, &has_acked)
}
