//! Tracks which version of the configuration each entry VM has acknowledged; does no I/O.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::witness;
use crate::id::Incarnation;
use crate::id::Version;
use crate::id::VmName;
use crate::view::View;

/// Number of registered entry VMs that have acknowledged a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckCount {
    /// VMs that have acknowledged the version or a later one.
    pub acknowledged: usize,
    /// Number of registered VMs.
    pub of: usize,
}

impl AckCount {
    /// Whether all registered VMs have acknowledged the version.
    pub fn is_complete(self) -> bool {
        self.acknowledged == self.of
    }
}

#[derive(Debug, Clone, Copy)]
struct Ack {
    incarnation: Incarnation,
    version: Version,
}

/// Highest version acknowledged by each entry VM. It is kept in memory only: a new leader rebuilds it from
/// the next `config.fetch` calls.
#[derive(Debug, Default)]
pub struct AckTracker {
    by_vm: HashMap<VmName, Ack>,
}

impl AckTracker {
    /// Records an acknowledgement; it is ignored if the VM is not registered with this incarnation.
    pub fn record(&mut self, view: &View, vm: &VmName, incarnation: Incarnation, version: Version) {
        if view.vms.get(vm).is_none_or(|v| v.incarnation != incarnation) {
            return;
        }
        // A version that this replica does not have yet must not count as acknowledgement of a change that
        // is accepted here later.
        let version = version.min(view.version);
        let ack = Ack { incarnation, version };
        let recorded = self.by_vm.entry(vm.clone()).or_insert(ack);
        // A restarted VM no longer holds the versions that its previous run acknowledged.
        if recorded.incarnation != incarnation || recorded.version < version {
            *recorded = ack;
        }
    }

    /// Version acknowledged by the current run of a registered VM.
    pub fn acknowledged_version(&self, view: &View, vm: &VmName) -> Option<Version> {
        let registered = view.vms.get(vm)?;
        let ack = self.by_vm.get(vm)?;
        (ack.incarnation == registered.incarnation).then_some(ack.version)
    }

    /// Whether a VM has acknowledged the version or a later one.
    pub fn has_acknowledged(&self, view: &View, vm: &VmName, version: Version) -> bool {
        self.acknowledged_version(view, vm).is_some_and(|v| v >= version)
    }

    /// Counts the registered VMs that have acknowledged a version.
    pub fn ack_count(&self, view: &View, version: Version) -> AckCount {
        let acknowledged = |name: &&VmName| self.has_acknowledged(view, name, version);
        AckCount {
            acknowledged: view.vms.keys().filter(acknowledged).count(),
            of: view.vms.len(),
        }
    }

    /// Whether a majority of the witness group has acknowledged a version; during a change of the group, a
    /// majority of both groups.
    pub fn has_quorum(&self, view: &View, version: Version) -> bool {
        witness::has_quorum(view, |name| self.has_acknowledged(view, name, version))
    }

    /// Removes the acknowledgements of VMs that are no longer registered.
    pub fn prune(&mut self, view: &View) {
        self.by_vm.retain(|name, _| view.vms.contains_key(name));
    }
}
