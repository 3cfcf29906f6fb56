//! Single-copy stand-in for the replicated log, until the replicated one is merged.

use std::sync::Mutex;

use jsonrpsee::RpcModule;

use crate::error::Result;
use crate::id::Index;
use crate::id::Term;
use crate::id::VmName;
use crate::kernel::Service;
use crate::secret::Secret;
use crate::settings::ControlSettings;
use crate::timer::Timer;

/// State machine of the log.
pub trait Machine: Send + 'static {
    /// Applies an entry and returns its result.
    fn apply(&mut self, index: Index, data: &[u8]) -> Vec<u8>;
    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state.
    ///
    /// # Errors
    /// `Corrupt` if the data cannot be read.
    fn restore(&mut self, data: &[u8]) -> Result<()>;
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Role {
    /// The only replica.
    Leader,
}

/// State of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaStatus {
    /// Role of this replica.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if it is known.
    pub leader: Option<VmName>,
    /// Last committed index.
    pub commit: Index,
    /// Last applied index.
    pub applied: Index,
}

/// A log of one replica in memory.
pub struct Replication<M> {
    vm: VmName,
    state: Mutex<(Index, M)>,
}

impl<M: Machine> Replication<M> {
    /// Starts with an empty log.
    ///
    /// # Errors
    /// None.
    pub async fn open(settings: &ControlSettings, _: Secret, machine: M, _: &Timer) -> Result<Self> {
        Ok(Self {
            vm: settings.common.vm.clone(),
            state: Mutex::new((0, machine)),
        })
    }

    /// Applies an entry.
    ///
    /// # Errors
    /// None.
    pub async fn propose(&self, data: Vec<u8>) -> Result<Vec<u8>> {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let index = state.0;
        Ok(state.1.apply(index, &data))
    }

    /// The applied index.
    ///
    /// # Errors
    /// None.
    pub async fn barrier(&self) -> Result<Index> {
        Ok(self.state.lock().unwrap().0)
    }

    /// Reads the state machine.
    pub fn read<T>(&self, f: impl FnOnce(&M) -> T) -> T {
        f(&self.state.lock().unwrap().1)
    }

    /// State of this replica.
    pub fn status(&self) -> ReplicaStatus {
        let applied = self.state.lock().unwrap().0;
        ReplicaStatus {
            role: Role::Leader,
            term: 1,
            leader: Some(self.vm.clone()),
            commit: applied,
            applied,
        }
    }

    /// Adds no method.
    ///
    /// # Errors
    /// None.
    pub fn register(&self, _: &mut RpcModule<()>) -> Result<()> {
        Ok(())
    }
}

impl<M: Machine> Service for Replication<M> {
    const NAME: &'static str = "replication";

    async fn stop(&self) {}
}
