//! The wait of one request in the queue.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Receiver;
use log::info;

use crate::admission;
use crate::admission::waiting_line::WaiterId;
use crate::error::Result;
use crate::proxy::Shared;
use crate::proxy::Stages;
use crate::proxy::attempt::InFlight;
use crate::proxy::request::AdmittedRequest;
use crate::stage::Chooser;
use crate::stage::Standing;

/// A request in the queue; dropping it removes the request.
pub(super) struct Waiting<S: Stages> {
    shared: Arc<Shared<S>>,
    pub(super) request: Arc<AdmittedRequest>,
    /// The request in the line of its service; 0 before it has entered.
    pub(super) id: WaiterId,
    pub(super) receiver: Receiver<Result<InFlight<S>>>,
    standing: Standing,
    started: Instant,
    is_ended: bool,
}

impl<S: Stages> Waiting<S> {
    pub(super) fn new(
        shared: &Arc<Shared<S>>,
        request: &Arc<AdmittedRequest>,
        receiver: Receiver<Result<InFlight<S>>>,
        standing: Standing,
        now: Instant,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            request: Arc::clone(request),
            id: 0,
            receiver,
            standing,
            started: now,
            is_ended: false,
        }
    }

    /// Until when the request may wait, by the present usual latency of its route.
    pub(super) fn until(&self) -> Instant {
        let request = &self.request;
        let chooser = &self.shared.stages.chooser;
        if !chooser.is_ranked() {
            return request.deadline;
        }
        let usual = chooser.standing(&request.route, request.customer.as_ref()).usual;
        let target = Duration::from_millis(request.route.target_ms);
        let left = request.deadline.saturating_duration_since(self.started);
        self.started + admission::max_wait(target, request.waited(), left, usual)
    }

    /// Logs that the request begins to wait, as one of `count`.
    pub(super) fn log_start(&self, count: usize, bytes: usize) {
        let (request, rank) = (&self.request, self.standing.rank);
        let room = self.shared.stages.chooser.room(&request.route.service, rank);
        info!(
            "request waits: id={} service={} rank={rank} left_ms={} usual_ms={} wait_ms={} places={} waiting={count} bytes={bytes} report_age_ms={}",
            request.id,
            request.route.service,
            request.time_left().as_millis(),
            self.standing.usual.as_millis(),
            self.until().saturating_duration_since(self.started).as_millis(),
            room.places,
            room.report_age.map_or(-1, |age| age.as_millis() as i64)
        );
    }

    /// Ends the wait with an upstream or an error.
    pub(super) fn end(mut self, assignment: &Result<InFlight<S>>) {
        let result: &'static str = match assignment {
            Ok(_) => "assigned",
            Err(error) => error.code.into(),
        };
        self.record(result);
    }

    fn record(&mut self, result: &'static str) {
        self.is_ended = true;
        let request = &self.request;
        let waited = self.started.elapsed();
        let chooser = &self.shared.stages.chooser;
        if !chooser.is_ranked() {
            return;
        }
        request.add_wait(waited);
        let rank = self.standing.rank;
        let service = &request.route.service;
        let room = chooser.room(service, rank);
        self.shared.meter.count_wait(rank, result, waited);
        info!(
            "wait ended: id={} service={service} rank={rank} result={result} ms={} left_ms={} places={} waiting={} report_age_ms={}",
            request.id,
            waited.as_millis(),
            request.time_left().as_millis(),
            room.places,
            self.shared.waiting(service),
            room.report_age.map_or(-1, |age| age.as_millis() as i64)
        );
    }
}

impl<S: Stages> Drop for Waiting<S> {
    fn drop(&mut self) {
        self.shared.leave_queue(&self.request.route.service, self.id);
        if !self.is_ended {
            self.record("left");
        }
    }
}
