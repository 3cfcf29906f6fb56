//! Refusals where requests compete by rank.

use log::info;

use crate::admission;
use crate::code::Code;
use crate::error::Error;
use crate::stage::Chooser;

use super::Shared;
use super::Stages;
use super::request::AdmittedRequest;
use super::run::Completion;

impl<S: Stages> Shared<S> {
    /// The answer to a request that was not admitted. Where requests compete by rank, its delay before a retry is
    /// spread, unless the error states its own.
    pub(super) fn refuse(&self, error: Error) -> Completion {
        let usual = error.code.retry_after().filter(|_| error.delay.is_none());
        match usual.filter(|_| self.stages.chooser.is_ranked()) {
            Some(delay) => Completion::refused(&error.retry_after(admission::spread(delay, rand::random()))),
            None => Completion::refused(&error),
        }
    }

    /// The answer to an admitted request without an answer of an upstream. Where requests compete by rank, a lack of
    /// room is logged and counted.
    pub(super) fn refuse_admitted(&self, request: &AdmittedRequest, error: Error) -> Completion {
        let chooser = &self.stages.chooser;
        let is_lack = matches!(error.code, Code::Overloaded | Code::NoUpstream | Code::Stopping);
        if is_lack && chooser.is_ranked() {
            let service = &request.route.service;
            let standing = chooser.standing(&request.route, request.customer.as_ref());
            let room = chooser.room(service, standing.rank);
            self.meter.count_refused_rank(standing.rank, error.code);
            info!(
                "request refused: id={} service={service} rank={} code={} left_ms={} usual_ms={} waited_ms={} places={} waiting={} report_age_ms={}",
                request.id,
                standing.rank,
                error.code.number(),
                request.time_left().as_millis(),
                standing.usual.as_millis(),
                request.waited().as_millis(),
                room.places,
                self.waiting(service),
                room.report_age.map_or(-1, |age| age.as_millis() as i64)
            );
        }
        self.refuse(error)
    }
}
