//! Members of the witness group: up to five entry VMs in each failure domain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::DomainName;
use crate::id::VmName;
use crate::secret::digest;
use crate::view::View;
use crate::view::Vm;

/// Witnesses in one failure domain at most.
pub const DOMAIN_WITNESSES: usize = 5;

/// The group for the registered VMs.
///
/// A registered witness stays one, so that a VM that joins or restarts does not displace others and
/// start a change of the group. Free places go by rendezvous hash.
pub(super) fn choose<'a>(vms: impl Iterator<Item = &'a Vm>, present: &[VmName]) -> Vec<VmName> {
    let present: BTreeSet<&VmName> = present.iter().collect();
    let mut domains: BTreeMap<&DomainName, Vec<&VmName>> = BTreeMap::new();
    for vm in vms {
        domains.entry(&vm.domain).or_default().push(&vm.name);
    }
    let mut group = Vec::new();
    for names in domains.values_mut() {
        names.sort_by_cached_key(|n| (!present.contains(n), digest(n)));
        group.extend(names.iter().take(DOMAIN_WITNESSES).map(|n| (*n).clone()));
    }
    group.sort();
    group
}

/// Whether the members for which `holds` is true are a majority of the group; an empty group has
/// no member that could vouch for an old version, so it needs none.
pub fn is_majority(group: &[VmName], holds: impl Fn(&VmName) -> bool) -> bool {
    let count = group.iter().filter(|n| holds(n)).count();
    group.is_empty() || count > group.len() / 2
}

/// Whether a majority of the current group and, during a change, of the previous one holds.
pub fn has_quorum(view: &View, holds: impl Fn(&VmName) -> bool) -> bool {
    is_majority(&view.witnesses.current, &holds) && is_majority(&view.witnesses.previous, &holds)
}
