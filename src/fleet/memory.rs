//! What the parts of a process may take of the memory of its VM.

use std::sync::Arc;

use crate::body_budget::BodyBudget;
use crate::connection_budget::ConnectionBudget;
use crate::connection_budget::DEFAULT_CONNECTION_MEMORY;
use crate::connection_budget::IDLE_BYTES;
use crate::http;

/// Part of the memory that heads and answers of all ports may take together: 14 MB of the smallest entry VM (112 MB),
/// which are 500 usual requests or 80 large answers that are written at the same time.
const CONNECTIONS_DIVISOR: usize = 8;
/// Part of the memory that the idle connections of a port may take.
const IDLE_DIVISOR: usize = 4;
/// Part of the memory that bodies of small calls may take: on a control VM of 256 MB 1,000 calls of 16 KiB.
const CALLS_DIVISOR: usize = 16;
/// Part of the memory that bodies of configurations may take: on a control VM of 256 MB one of the largest size.
const CONFIGS_DIVISOR: usize = 4;
/// Memory for the bodies of small calls when that of the VM isn't stated, in bytes.
const DEFAULT_CALLS_BYTES: usize = 16 << 20;
/// Memory for the bodies of configurations when that of the VM isn't stated, in bytes: one of the largest size.
const DEFAULT_CONFIGS_BYTES: usize = 64 << 20;

/// The budget of heads and answers for a VM with this much memory.
pub(super) fn connections(memory: Option<usize>) -> Arc<ConnectionBudget> {
    let share = memory.map(|memory| memory / CONNECTIONS_DIVISOR);
    ConnectionBudget::new(share.map_or(DEFAULT_CONNECTION_MEMORY, |share| {
        share.min(DEFAULT_CONNECTION_MEMORY)
    }))
}

/// Limits of a port with at most this many connections, fewer where the memory doesn't hold them.
pub(super) fn port_limits(
    memory: Option<usize>,
    budget: &Arc<ConnectionBudget>,
    max_connections: usize,
) -> http::Limits {
    let fitting = memory.map_or(usize::MAX, |memory| memory / IDLE_DIVISOR / IDLE_BYTES);
    http::Limits {
        max_connections: max_connections.min(fitting),
        budget: Arc::clone(budget),
        ..http::Limits::default()
    }
}

/// Budgets for the bodies of calls to a control VM; configurations have their own, so that they leave room for
/// heartbeats.
#[derive(Debug, Clone)]
pub struct CallBudgets {
    /// For calls with small bodies.
    pub calls: Arc<BodyBudget>,
    /// For configurations.
    pub configs: Arc<BodyBudget>,
}

impl CallBudgets {
    /// The budgets for a VM with this much memory.
    pub fn new(memory: Option<usize>) -> Self {
        let part = |divisor, default| BodyBudget::new(memory.map_or(default, |memory| memory / divisor));
        Self {
            calls: part(CALLS_DIVISOR, DEFAULT_CALLS_BYTES),
            configs: part(CONFIGS_DIVISOR, DEFAULT_CONFIGS_BYTES),
        }
    }
}
