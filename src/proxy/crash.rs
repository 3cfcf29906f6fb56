//! Requests that crash their upstreams: checks and reports of possible crashes, and refusals of requests that are
//! blocked.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::task;
use log::info;

use crate::answer::ResponseHead;
use crate::code::Code;
use crate::crash_check::Added;
use crate::crash_check::CrashChecks;
use crate::crash_check::Evidence;
use crate::crash_check::RequestEnd;
use crate::crash_check::UpstreamRun;
use crate::error::Error;
use crate::error::Result;
use crate::pool::ConnectError;
use crate::quarantine;
use crate::stage::AttemptResult;
use crate::stage::Block;
use crate::stage::Chooser;
use crate::stage::ChosenUpstream;
use crate::stage::Quarantine;
use crate::stage::RunState;

use super::Shared;
use super::Stages;
use super::attempt::InFlight;
use super::request::AdmittedRequest;

/// How long a request waits until its possible crashes are explained and reported to all VMs.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The possible crashes of a proxy. A request waits for the drop of the senders of its own.
pub(super) type PossibleCrashes = CrashChecks<Sender<Infallible>>;
/// Closed when a possible crash is explained and, if it is a crash, reported.
pub(super) type CrashExplained = Receiver<Infallible>;

impl<S: Stages> Shared<S> {
    /// Refuses a request that is blocked because it crashes its upstreams.
    ///
    /// # Errors
    /// `Quarantined`, or `NoUpstream` if the settings say so.
    pub(super) fn check_quarantine(&self, request: &AdmittedRequest) -> Result<()> {
        let quarantine = &self.stages.quarantine;
        let Some(Block { crashes, left }) = quarantine.block(&request.fingerprint, Instant::now()) else {
            return Ok(());
        };
        self.meter.count_quarantined();
        info!(
            "request blocked: id={} fingerprint={} crashes={crashes} left_ms={}",
            request.id,
            request.short_fingerprint(),
            left.as_millis()
        );
        let code = match self.settings.soft_quarantine {
            true => Code::NoUpstream,
            false => Code::Quarantined,
        };
        let detail = format!("the same request crashed {crashes} upstreams and is blocked for a while");
        Err(Error::new(code, detail).retry_after(left))
    }

    /// Begins to check whether the upstream crashed if the connection died.
    pub(super) fn check_crash(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        flight: &InFlight<S>,
        result: AttemptResult,
    ) {
        // A reused connection may also have ended because it was idle for too long.
        if !matches!(
            result,
            AttemptResult::Died | AttemptResult::Cut | AttemptResult::Stale
        ) {
            return;
        }
        let Some(chosen) = flight.chosen() else { return };
        self.meter.count_mid_request_end(result);
        let run = UpstreamRun {
            upstream: chosen.upstream.clone(),
            start: chosen.run_start,
        };
        let (token, explained) = channel::bounded(1);
        let end = RequestEnd {
            fingerprint: request.fingerprint.as_str().into(),
            at: Instant::now(),
            token,
        };
        let added = self.possible_crashes.lock().add(&run, end);
        info!(
            "connection ended in mid-request: id={} upstream={} result={result} fingerprint={} check={added}",
            request.id,
            chosen.upstream,
            request.short_fingerprint()
        );
        if matches!(added, Added::Started | Added::Joined) {
            request.add_possible_crash(explained);
        }
        if added == Added::Started {
            let (shared, chosen) = (Arc::clone(self), chosen.clone());
            task::spawn(async move { shared.explain_ends(run, chosen).await });
        }
    }

    /// Waits until the possible crashes of the request are explained and reported, so that it isn't sent again, by
    /// this VM or by its caller, before they count.
    pub(super) async fn wait_explained(&self, request: &AdmittedRequest) {
        let crashes = request.take_possible_crashes();
        let explained = async {
            for crash in &crashes {
                // Fails when the sender is dropped; nothing is ever sent.
                let _ = crash.recv().await;
            }
        };
        let _ = future::timeout(CRASH_REPORT_TIMEOUT, explained).await;
    }

    /// Observes a run until the possible crashes there are explained, and reports the crashes among them.
    async fn explain_ends(self: Arc<Self>, run: UpstreamRun, chosen: ChosenUpstream) {
        loop {
            let began = Instant::now();
            let evidence = self.observe(&chosen).await;
            let judgement = self
                .possible_crashes
                .lock()
                .judge(Instant::now(), &run, began, evidence);
            for end in &judgement.crashed {
                self.log_explained("upstream crashed", &chosen, &end.fingerprint, evidence);
                let report = self.stages.quarantine.report(&end.fingerprint);
                let _ = future::timeout(CRASH_REPORT_TIMEOUT, report).await;
            }
            for end in &judgement.cleared {
                self.log_explained("answer lost without a crash", &chosen, &end.fingerprint, evidence);
            }
            let Some(next) = judgement.next else { return };
            task::sleep(next.saturating_duration_since(Instant::now())).await;
        }
    }

    fn log_explained(&self, what: &str, chosen: &ChosenUpstream, fingerprint: &str, evidence: Evidence) {
        info!(
            "{what}: upstream={} run={} fingerprint={} evidence={evidence}",
            chosen.upstream,
            chosen.run_start,
            quarantine::short(fingerprint)
        );
    }

    /// What the run of an upstream is seen to do.
    async fn observe(&self, chosen: &ChosenUpstream) -> Evidence {
        let probed = self.pool.probe(chosen).await;
        // Read after the connection was made, as it may have been accepted by a later run.
        match (self.stages.chooser.run_state(chosen), probed) {
            (RunState::Left, _) => Evidence::Left,
            (RunState::Replaced, _) => Evidence::Replaced,
            (RunState::Unknown, Ok(())) => Evidence::Accepted,
            (RunState::Unknown, Err(ConnectError::Refused(e)))
                if e.kind() == io::ErrorKind::ConnectionRefused =>
            {
                Evidence::Refused
            }
            (RunState::Unknown, Err(_)) => Evidence::Silent,
        }
    }

    /// Takes back a crash of an upstream after an answer that was read to its end. An upstream that fails requests
    /// may answer with an error before it runs them.
    pub(super) fn record_answer(&self, request: &AdmittedRequest, head: &ResponseHead) {
        if head.status.is_server_error() {
            return;
        }
        self.possible_crashes
            .lock()
            .record_answer(Instant::now(), &request.fingerprint);
        self.stages.quarantine.record_answer(&request.fingerprint);
    }
}
