//! Requests that crash their upstreams: reports, and refusals of those that are blocked.

use std::time::Duration;
use std::time::Instant;

use async_std::future;
use log::info;

use crate::answer::ResponseHead;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::stage::AttemptResult;
use crate::stage::Quarantine;

use super::Shared;
use super::Stages;
use super::attempt::InFlight;
use super::request::AdmittedRequest;

/// How long a request waits for the report of a crash to all VMs.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Stages> Shared<S> {
    /// Refuses a request that is blocked because it crashes its upstreams.
    ///
    /// # Errors
    /// `Quarantined`, or `NoUpstream` if the settings say so.
    pub(super) fn check_quarantine(&self, request: &AdmittedRequest) -> Result<()> {
        let quarantine = &self.stages.quarantine;
        if !quarantine.is_blocked(&request.fingerprint, Instant::now()) {
            return Ok(());
        }
        self.meter.count_quarantined();
        info!(
            "request blocked: id={} fingerprint={}",
            request.id,
            request.short_fingerprint()
        );
        Err(match self.settings.soft_quarantine {
            true => Error::new(Code::NoUpstream, Code::Quarantined.text()),
            false => Code::Quarantined.into(),
        })
    }

    /// Reports a possible crash of the upstream if the connection died. The report precedes the answer, after
    /// which the caller may send the request again.
    pub(super) async fn report_crash(
        &self,
        request: &AdmittedRequest,
        flight: &InFlight<S>,
        result: AttemptResult,
    ) {
        // A reused connection may also have ended because it was idle for too long; the next attempt, on a new
        // connection, is answered then, and its answer counts against the crash.
        if !matches!(
            result,
            AttemptResult::Died | AttemptResult::Cut | AttemptResult::Stale
        ) {
            return;
        }
        self.meter.count_mid_request_end(result);
        info!(
            "connection ended in mid-request: id={} upstream={} result={result} fingerprint={}",
            request.id,
            flight.upstream().unwrap_or_default(),
            request.short_fingerprint()
        );
        let report = self.stages.quarantine.report(&request.fingerprint);
        let _ = future::timeout(CRASH_REPORT_TIMEOUT, report).await;
    }

    /// Takes back a crash of an upstream after an answer that was read to its end. An upstream that fails requests
    /// may answer with an error before it runs them.
    pub(super) fn record_answer(&self, request: &AdmittedRequest, head: &ResponseHead) {
        if !head.status.is_server_error() {
            self.stages.quarantine.record_answer(&request.fingerprint);
        }
    }
}
