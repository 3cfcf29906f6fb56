//! Settings of a replica.

use std::time::Duration;

use crate::id::VmName;

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// This VM.
    pub vm: VmName,
    /// All control VMs, including this one. With dynamic membership, the VMs that receive join requests.
    pub peers: Vec<VmName>,
    /// Whether the membership is dynamic: VMs outside `peers` may join, and unreachable voters may be
    /// removed.
    pub is_dynamic: bool,
    /// Interval between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a message from a leader before an election; the longest is twice this.
    pub election_timeout: Duration,
    /// Largest number of entries in one message.
    pub batch_entries: usize,
    /// Largest size of the entries in one message, in bytes; a single entry may be larger.
    pub batch_bytes: usize,
    /// Largest part of a snapshot in one message, in bytes.
    pub chunk_bytes: usize,
    /// Entries before the snapshot that stay in memory, so that a follower slightly behind needs no
    /// snapshot.
    pub retained_entries: u64,
    /// Largest size of these entries, in bytes.
    pub retained_bytes: usize,
}

impl ReplicaSettings {
    /// Settings with the default sizes.
    pub fn new(
        vm: VmName,
        peers: Vec<VmName>,
        heartbeat_interval: Duration,
        election_timeout: Duration,
    ) -> Self {
        Self {
            vm,
            peers,
            is_dynamic: false,
            heartbeat_interval,
            election_timeout,
            batch_entries: 1_024,
            batch_bytes: 128 << 10,
            chunk_bytes: 256 << 10,
            retained_entries: 1_000,
            retained_bytes: 1 << 20,
        }
    }
}
