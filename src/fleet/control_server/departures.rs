//! Upstreams that leave, which are recorded in the replicated log.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use log::info;
use log::warn;

use super::Shared;
use super::state::Peer;
use super::state::State;
use crate::catalog::Catalog;
use crate::catalog::change::Op;
use crate::clock;
use crate::error::Result;
use crate::fleet::discovery::REPLACE_AFTER;
use crate::id::UpstreamId;
use crate::view::View;

/// Attempts to record that an upstream leaves, and the pause between them: together longer than the upstream
/// serves after its announcement, and than a change of the leader takes.
const RECORD_ATTEMPTS: u32 = 8;
const RECORD_PAUSE: Duration = Duration::from_millis(500);

/// How far the wall clocks of an upstream and of a control VM may differ, in milliseconds.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 5_000;

impl Shared {
    /// The latest start of the runs that leave by a deregistration that doesn't state its run.
    ///
    /// A control VM that has restarted, or was cut off from the upstream, doesn't list that run. It started before now,
    /// and the next one starts only after it has ended.
    ///
    /// # Errors
    /// `NotLeader`, `NoQuorum` or `Timeout` if the run is not listed and no leader confirms that none has departed.
    pub(super) async fn unstated_start(&self, upstream: &UpstreamId) -> Result<u64> {
        let listed = {
            let state = self.state.lock();
            let listed = state.upstreams.get(upstream);
            if let Some(run) = listed.filter(|l| l.received.elapsed() < REPLACE_AFTER) {
                return Ok(run.report.born);
            }
            // The run that was listed here has departed; its record covers the start 0.
            if listed.is_none() && state.departed_here.contains(upstream) {
                return Ok(0);
            }
            listed.map_or(0, |l| l.report.born)
        };
        self.catch_up().await?;
        let view = self.replication()?.read(Catalog::view);
        let recorded = view.departed.iter().find(|d| d.upstream == *upstream);
        let recorded = recorded.map(|d| d.run_start);
        let now = clock::wall_millis();
        // A run that has reported that it leaves may end with this call, and the next one may start at once.
        let bound = match recorded {
            Some(start) => start.max(now.saturating_sub(MAX_CLOCK_DIFFERENCE_MS)),
            None => now,
        };
        let run_start = bound.max(listed);
        info!(
            "departure without a start: upstream={upstream} listed={listed} recorded={} assumed={run_start}",
            recorded.unwrap_or_default()
        );
        Ok(run_start)
    }

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
            // A VM that has restarted may not list the run yet.
            let listed = state.upstreams.get(&run.0).map(|l| l.report.born);
            if listed.is_some_and(|start| start > run_start) {
                info!(
                    "departure ignored: upstream={} born={run_start} reason=\"a later run is listed\"",
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

impl State {
    /// Removes the upstreams whose listed run has departed.
    pub(super) fn remove_departed(&mut self, view: &View) {
        let removed = self.upstreams.remove_departed(&view.departed);
        if removed.is_empty() {
            return;
        }
        self.departed_here.extend(removed);
        // The records are bounded, so this set is as well.
        let recorded: HashSet<&UpstreamId> = view.departed.iter().map(|d| &d.upstream).collect();
        self.departed_here.retain(|id| recorded.contains(id));
    }
}
