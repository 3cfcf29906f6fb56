//! Upstreams that leave, which are recorded in the replicated log.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use log::info;
use log::warn;

use super::Shared;
use super::state::Peer;
use crate::catalog::Catalog;
use crate::catalog::change::Op;
use crate::error::Result;
use crate::id::UpstreamId;

/// Attempts to record that an upstream leaves, and the pause between them: together longer than the upstream
/// serves after its announcement, and than a change of the leader takes.
const RECORD_ATTEMPTS: u32 = 8;
const RECORD_PAUSE: Duration = Duration::from_millis(500);

impl Shared {
    /// Records in the replicated log that a run of an upstream leaves, and returns once it is committed.
    ///
    /// # Errors
    /// `NotLeader`, `NoQuorum` or `Timeout`: the departure may or may not have been recorded.
    pub(super) async fn depart(&self, upstream: UpstreamId, run_start: u64) -> Result<()> {
        let view = self.replication()?.read(Catalog::view);
        // Whatever this replica has applied is committed.
        if view.has_departed(&upstream, run_start) {
            return Ok(());
        }
        info!("upstream leaves: upstream={upstream} born={run_start}");
        let born = run_start;
        self.propose_change(Op::Depart { upstream, born }).await.map(drop)
    }

    /// Records that a run of an upstream stated to an entry VM that it leaves. Many entry VMs report the same
    /// run, so it is proposed once.
    pub(super) fn record_leaving(
        self: &Arc<Self>,
        from: Option<&Peer>,
        upstream: UpstreamId,
        run_start: u64,
    ) {
        if !matches!(from, Some(Peer::Entry(_))) {
            warn!("departure ignored: upstream={upstream} reason=\"not from an entry VM\"");
            return;
        }
        let run = (upstream, run_start);
        {
            let mut state = self.state.lock();
            let listed = state.upstreams.get(&run.0).map(|l| l.report.born);
            if listed != Some(run_start) {
                // It has departed, or a later run has taken its place.
                info!(
                    "departure ignored: upstream={} born={run_start} reason=\"not listed\"",
                    run.0
                );
                return;
            }
            if !state.pending_departures.insert(run.clone()) {
                return;
            }
        }
        let shared = Arc::clone(self);
        task::spawn(async move {
            for _ in 0..RECORD_ATTEMPTS {
                match shared.depart(run.0.clone(), run.1).await {
                    Ok(()) => break,
                    Err(e) => warn!(
                        "departure not recorded: upstream={} born={} reason=\"{e}\"",
                        run.0, run.1
                    ),
                }
                task::sleep(RECORD_PAUSE).await;
            }
            shared.state.lock().pending_departures.remove(&run);
        });
    }
}
