//! Checks that the control VMs can apply a change that older builds don't know.

use std::time::Duration;
use std::time::Instant;

use async_std::task;

use super::Shared;
use super::call::POLL_PERIOD;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::link::HEARTBEAT_PERIOD;
use crate::id::VmName;

/// Time to wait for the first heartbeat of a control VM that has just connected, which states its revision: a period
/// and the delay of a heartbeat.
const REVISION_TIMEOUT: Duration = HEARTBEAT_PERIOD.saturating_mul(2);

impl Shared {
    /// Checks that all connected control VMs state a revision: one with an older build would not apply an entry of the
    /// log that the others apply.
    ///
    /// # Errors
    /// `MixedBuilds`.
    pub(super) async fn check_revisions(&self, needed: u8) -> Result<()> {
        let end = Instant::now() + REVISION_TIMEOUT;
        loop {
            let Some((vm, revision)) = self.older_control(needed) else {
                return Ok(());
            };
            if revision.is_some() || Instant::now() >= end {
                let revision = revision.map_or("unknown".into(), |r| r.to_string());
                let detail = format!("control VM {vm} states revision {revision}, not {needed}");
                return Err(Error::new(Code::MixedBuilds, detail));
            }
            task::sleep(POLL_PERIOD).await;
        }
    }

    /// A connected control VM that does not state the needed revision, and what it states; one that has stated nothing
    /// yet only if there is no other.
    fn older_control(&self, needed: u8) -> Option<(VmName, Option<u8>)> {
        let state = self.state.lock();
        let older = state.controls.iter().map(|(vm, peer)| (vm, peer.revision));
        let older = older.filter(|(_, revision)| revision.is_none_or(|r| r < needed));
        let found = older.max_by_key(|(_, revision)| revision.is_some());
        found.map(|(vm, revision)| (vm.clone(), revision))
    }
}
