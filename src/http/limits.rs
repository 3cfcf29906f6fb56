//! Limits of a server.

use std::sync::Arc;
use std::time::Duration;

use crate::connection_budget::ConnectionBudget;
use crate::connection_budget::DEFAULT_CONNECTION_MEMORY;

/// Connection limit and timeouts of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of open connections; further ones are refused with `Overloaded`.
    pub max_connections: usize,
    /// Time limit for a head, for a body, and for the first byte on a new connection, each counted
    /// separately.
    pub read_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// Time limit for writing one buffer of an answer to the caller.
    pub write_timeout: Duration,
    /// Bounds what the connections hold; the ports of a process share it.
    pub budget: Arc<ConnectionBudget>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 1_000,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(30),
            budget: ConnectionBudget::new(DEFAULT_CONNECTION_MEMORY),
        }
    }
}
