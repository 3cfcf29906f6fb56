//! When a fleet refuses requests that crash upstreams.

use std::time::Duration;

use crate::quarantine::BlockPolicy;

/// Crashes that block a request: one may be an accident of the upstream, and a request may lose its connection
/// to two upstreams that reset a part of their requests.
const THRESHOLD: usize = 3;

/// Length of the first block. An upstream is back within seconds, and a request that was blocked during an
/// outage of its service is served again after this time.
const BLOCK_TIME: Duration = Duration::from_secs(30);

/// Crashes after which a request is a suspect, whose record all entry VMs get. Fewer would send a message to all
/// VMs for each connection that breaks.
pub(crate) const SUSPECT: usize = 2;

/// Policy of an entry VM, which keeps the crashes that it saw itself and the suspects of the fleet; its records
/// take about 1.6 MB at most.
pub(crate) const ENTRY: BlockPolicy = BlockPolicy {
    threshold: THRESHOLD,
    block_time: BLOCK_TIME,
    capacity: 4_000,
};

/// Policy of a control VM, which keeps the crashes of the whole fleet; its records take about 8 MB at most.
pub(crate) const CONTROL: BlockPolicy = BlockPolicy {
    capacity: 20_000,
    ..ENTRY
};
