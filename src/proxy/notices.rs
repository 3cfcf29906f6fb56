//! What upstreams state about themselves in the heads of their answers.

use std::time::SystemTime;

use log::info;
use tide::http::StatusCode;

use crate::answer::ResponseHead;
use crate::notice;
use crate::notice::Notice;
use crate::stage::Chooser;
use crate::stage::ChosenUpstream;

use super::Shared;
use super::Stages;
use super::request::AdmittedRequest;

/// Passes on what the upstream states about itself. An answer of another server at its address states nothing
/// about it.
pub(super) fn record<S: Stages>(
    shared: &Shared<S>,
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    head: &ResponseHead,
) {
    let conventions = &shared.settings.conventions;
    if conventions.not_run_status == Some(head.status as u16) {
        return;
    }
    let leaving = conventions.leaving_header.as_deref();
    let leaving = leaving
        .and_then(|name| head.header(name))
        .and_then(notice::read_leaving);
    let is_unavailable = head.status == StatusCode::ServiceUnavailable;
    let pause = head.header("retry-after").filter(|_| is_unavailable);
    let pause = pause.and_then(|value| notice::read_retry_after(value, SystemTime::now()));
    let cold = conventions.warmup_header.as_deref();
    let cold = cold
        .and_then(|name| head.header(name))
        .and_then(notice::read_cold);
    for notice in [leaving, pause, cold].into_iter().flatten() {
        shared.meter.count_notice(notice);
        match notice {
            Notice::Malformed(reason) => info!(
                "header ignored: id={} upstream={} reason=\"{reason}\"",
                request.id, chosen.upstream
            ),
            Notice::Leaving | Notice::Pause(_) | Notice::Cold(_) => {
                shared.stages.chooser.record_notice(chosen, notice)
            }
        }
    }
}
