//! Access to the leases of this VM for the arbiters of the services.

use std::time::Instant;

use crate::id::VmName;
use crate::lease::PARTITION_COUNT;
use crate::limits::FleetLimits;
use crate::limits::LiveVms;
use crate::rendezvous;
use crate::stage::Config;
use crate::upstreams::Leases;

impl<C: Config, L: LiveVms> Leases for FleetLimits<C, L> {
    fn partition(&self, name: &str) -> u32 {
        let hash = rendezvous::hash(&[b"service", name.as_bytes()]);
        u32::try_from(hash % u64::from(PARTITION_COUNT)).unwrap_or_default()
    }

    fn held_since(&self, partition: u32, now: Instant) -> Option<Instant> {
        let owner_state = self.inner.owner_state.lock().unwrap();
        owner_state.holder.held(now, partition).map(|lease| lease.since)
    }

    /// At most one VM: the owner of the partition in the current placement.
    fn candidates(&self, partition: u32) -> Vec<VmName> {
        let owner_state = self.inner.owner_state.lock().unwrap();
        owner_state
            .placement
            .owner(partition)
            .cloned()
            .into_iter()
            .collect()
    }
}
