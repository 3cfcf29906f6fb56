//! Runs the attempts of an admitted request and produces its answer.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::future;
use async_std::io;
use async_std::task;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use tide::http::Body;
use tide::http::Response;
use tide::http::StatusCode;

use crate::answer;
use crate::code::Code;
use crate::code::Execution;
use crate::error::Error;
use crate::error::Result;
use crate::id::UpstreamId;
use crate::stage::AttemptResult;
use crate::stage::Chooser;
use crate::stage::ClaimOutcome;
use crate::stage::Claims;
use crate::stage::Quarantine;

use super::Shared;
use super::Stages;
use super::TaskGuard;
use super::Ticket;
use super::attempt;
use super::attempt::Answer;
use super::attempt::AnswerBody;
use super::attempt::InFlight;
use super::attempt::Outcome;
use super::request::AdmittedRequest;
use super::stream;

/// Maximum number of attempts of one request if its route states none; the retry budget of the service
/// usually allows fewer.
const MAX_ATTEMPTS: usize = 4;
/// How many upstreams of one request may be unreachable; they do not count as attempts.
const MAX_UNSENT: usize = 6;
/// How many attempts of one request may have crashed their upstreams while another attempt is made.
const MAX_UNEXPLAINED: usize = 2;
/// How long an answer is held back at most while it is recorded with its claim. Without the wait, a caller
/// that repeats the request at once would get `InProgress`; unreachable holders of the claim must not delay
/// the answer further.
const FINISH_TIMEOUT: Duration = Duration::from_millis(20);

/// The response to a request, with its result for metrics, log and events.
pub(crate) struct Completion {
    pub(crate) response: Response,
    pub(crate) code: Code,
    pub(crate) execution: Execution,
    /// Time from the first byte sent to the first byte of the answer at the last upstream.
    pub(crate) upstream_time: Duration,
    /// What failed; empty for an answer of an upstream.
    pub(crate) detail: String,
}

impl Completion {
    /// An error answer made by the proxy.
    pub(crate) fn refused(error: &Error) -> Self {
        Self {
            response: answer::refusal(error),
            code: error.code,
            execution: error.code.execution(),
            upstream_time: Duration::ZERO,
            detail: error.detail.clone(),
        }
    }

    /// An answer of an upstream.
    fn answered(response: Response, upstream_time: Duration) -> Self {
        Self {
            response,
            code: Code::Ok,
            execution: Execution::Yes,
            upstream_time,
            detail: String::new(),
        }
    }

    /// An answer that was recorded with a claim.
    pub(crate) fn recorded(response: Response) -> Self {
        Self::answered(response, Duration::ZERO)
    }

    /// The caller has closed its connection or its sending half of it.
    pub(crate) fn caller_left() -> Self {
        Self::refused(&Code::CallerLeft.into())
    }
}

/// State of a request between its attempts.
struct Progress<S: Stages> {
    /// Upstreams that were chosen for its attempts.
    tried: Vec<UpstreamId>,
    /// Ended attempts that were sent.
    sent: usize,
    /// Whether the request must not be sent again.
    is_final: bool,
    /// The error for the caller if no further attempt is made.
    error: Error,
    /// An answer with a status of 500 or more, which is returned if no further attempt is answered better.
    fallback: Option<Completion>,
    /// Such an answer whose body is not read to its end; it takes precedence over `fallback`.
    open_fallback: Option<Ended<S, Answer>>,
}

impl<S: Stages> Progress<S> {
    fn set_open_fallback(&mut self, open: Option<Ended<S, Answer>>) {
        if let Some((flight, _)) = std::mem::replace(&mut self.open_fallback, open) {
            flight.end(AttemptResult::Failed);
        }
    }
}

/// An attempt that has ended, with its outcome or answer.
type Ended<S, E = Result<Outcome>> = (InFlight<S>, E);

impl<S: Stages> Shared<S> {
    /// Makes attempts until the request is answered or must not be sent again.
    pub(crate) async fn run(
        self: Arc<Self>,
        request: Arc<AdmittedRequest>,
        ticket: Option<Ticket<S>>,
    ) -> Completion {
        let mut progress = Progress {
            tried: Vec::new(),
            sent: 0,
            is_final: false,
            error: Code::NoUpstream.into(),
            fallback: None,
            open_fallback: None,
        };
        let answered = self.race(&request, ticket.as_ref(), &mut progress).await;
        let answered = match answered {
            Some(answered) => {
                progress.set_open_fallback(None);
                Some(answered)
            }
            None => progress.open_fallback.take(),
        };
        if let Some((flight, answer)) = answered {
            return self.answer(&request, flight, ticket, answer).await;
        }
        let may_have_run = request.may_have_run();
        if let Some(completion) = progress.fallback {
            return completion;
        }
        let outcome = if may_have_run {
            ClaimOutcome::Unknown
        } else {
            ClaimOutcome::NotRun
        };
        self.wait_explained(&request).await;
        self.finish_claim(ticket, outcome).await;
        self.refuse_admitted(
            &request,
            correct_execution(&request, progress.error, may_have_run),
        )
    }

    /// Makes attempts until one is answered, which cancels the others.
    ///
    /// An overdue attempt is cancelled only when another one is answered: an attempt in its place may be
    /// refused, fail or take even longer.
    async fn race(
        self: &Arc<Self>,
        request: &Arc<AdmittedRequest>,
        ticket: Option<&Ticket<S>>,
        progress: &mut Progress<S>,
    ) -> Option<Ended<S, Answer>> {
        let mut running = FuturesUnordered::new();
        let mut may_add = true;
        loop {
            if may_add && let Some(flight) = self.next_attempt(request, running.len(), progress).await {
                running.push(self.attempt(request, flight, ticket));
            }
            if running.is_empty() {
                return None;
            }
            let Some((flight, outcome)) = next_ended(&mut running, request).await else {
                may_add = !progress.is_final;
                continue;
            };
            let answered = self.handle_outcome(request, flight, outcome, progress);
            if answered.is_some() {
                return answered;
            }
            may_add = !progress.is_final;
            // The next attempt is started in any case, so a flag that was set meanwhile is cleared.
            request.take_overdue();
        }
    }

    /// Chooses an upstream for one more attempt beside the `running` ones; `None` if there is none or no
    /// further attempt is allowed.
    async fn next_attempt(
        self: &Arc<Self>,
        request: &Arc<AdmittedRequest>,
        running: usize,
        progress: &mut Progress<S>,
    ) -> Option<InFlight<S>> {
        let max_attempts = match request.route.attempts {
            0 => MAX_ATTEMPTS,
            max => usize::from(max),
        };
        let sent = progress.sent + running;
        // Upstreams that were not reached count only for the second limit.
        if sent >= max_attempts
            || progress.tried.len() >= max_attempts + MAX_UNSENT
            || (running > 0 && !request.idempotent)
        {
            return None;
        }
        // A request that may have crashed two upstreams is not sent to a third one before that is explained.
        if request.possible_crashes() >= MAX_UNEXPLAINED {
            self.wait_explained(request).await;
        }
        let charged = match self.stages.chooser.exempts_unsent() {
            true => sent,
            false => progress.tried.len(),
        };
        // A request that waits in vain for a place must not charge the budget.
        let charges_late = running > 0 || (charged > 0 && self.stages.chooser.is_ranked());
        let flight = match running {
            0 if charged > 0 && !self.may_retry(request, !charges_late) => return None,
            0 => self.choose(request, &progress.tried).await,
            // The budget is charged only after an upstream was chosen: while all others are full, each
            // overdue attempt would charge it in vain.
            _ if !self.may_retry(request, false) => return None,
            _ => self.choose_now(request, &progress.tried),
        };
        match flight {
            Ok(flight) if charges_late && !self.may_retry(request, true) => {
                flight.end(AttemptResult::Cancelled);
                None
            }
            Ok(flight) => {
                progress.tried.extend(flight.upstream());
                fail::fail_point!("proxy-chosen");
                Some(flight)
            }
            Err(error) => {
                info!(
                    "no upstream for an attempt: id={} service={} running={running} reason=\"{error}\"",
                    request.id, request.route.service
                );
                if running == 0 {
                    progress.error = error;
                }
                None
            }
        }
    }

    /// Whether the request may be sent again; takes one retry from the budget if `charge` is set.
    fn may_retry(&self, request: &AdmittedRequest, charge: bool) -> bool {
        let chooser = &self.stages.chooser;
        let is_allowed = |request: &AdmittedRequest| match charge {
            true => chooser.take_retry_for(&request.retry()),
            false => chooser.allows_retry(&request.retry()),
        };
        let standing = chooser.standing(&request.route, request.customer.as_ref());
        let reason = if request.time_left().is_zero() {
            "deadline"
        } else if request.time_left() < standing.usual {
            "time"
        } else if self
            .stages
            .quarantine
            .is_blocked(&request.fingerprint, Instant::now())
        {
            "quarantine"
        } else if !is_allowed(request) {
            "budget"
        } else {
            return true;
        };
        let service = &request.route.service;
        info!(
            "retry not allowed: id={} service={service} reason={reason}",
            request.id
        );
        false
    }

    /// Makes one attempt; if the connection died, begins to check whether the upstream crashed.
    async fn attempt(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        mut flight: InFlight<S>,
        ticket: Option<&Ticket<S>>,
    ) -> Ended<S> {
        let outcome = attempt::attempt(&mut flight, &|| self.check_send(request, ticket)).await;
        if let Ok(Outcome::Unknown(result, _)) = &outcome {
            if *result == AttemptResult::Stale {
                request.set_fresh_only();
            }
            self.check_crash(request, &flight, *result);
        }
        (flight, outcome)
    }

    /// Records the outcome of an attempt in `progress`; returns the answer if it goes to the caller.
    fn handle_outcome(
        &self,
        request: &AdmittedRequest,
        flight: InFlight<S>,
        outcome: Result<Outcome>,
        progress: &mut Progress<S>,
    ) -> Option<Ended<S, Answer>> {
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                progress.is_final = true;
                progress.error = error;
                return None;
            }
        };
        if !matches!(outcome, Outcome::NotSent(..)) {
            progress.sent += 1;
        }
        match outcome {
            Outcome::NotSent(result, detail) => {
                flight.end(result);
                progress.error = Error::new(Code::NoUpstream, detail);
            }
            Outcome::NotRun => {
                flight.end(AttemptResult::Shed);
                progress.error = Error::new(Code::Overloaded, "every tried upstream sheds load or drains");
            }
            Outcome::Answered(answer) if self.should_retry(request, &answer) => match answer.body {
                AnswerBody::Full(_) => {
                    let latency = flight.timing.latency;
                    flight.end(AttemptResult::Failed);
                    progress.fallback = Some(Completion::answered(full_response(answer), latency));
                }
                AnswerBody::Open(..) => progress.set_open_fallback(Some((flight, answer))),
            },
            Outcome::Answered(answer) => return Some((flight, answer)),
            Outcome::Unknown(result, detail) => {
                flight.end(result);
                progress.error = attempt::failure(request, result, &detail);
                progress.is_final |= !request.idempotent || request.time_left().is_zero();
            }
        }
        None
    }

    /// Checks, just before the first byte of an attempt is sent, that the request may still be sent.
    ///
    /// # Errors
    /// `DeadlineBefore`, `ClaimUnavailable`, or an error of the key, the configuration or the quarantine.
    fn check_send(&self, request: &AdmittedRequest, ticket: Option<&Ticket<S>>) -> Result<()> {
        if request.has_caller_left() && !request.idempotent {
            return Err(Error::new(
                Code::DeadlineBefore,
                "the caller left before the request was sent",
            ));
        }
        if request.time_left().is_zero() {
            return Err(Code::DeadlineBefore.into());
        }
        self.check_key(request)?;
        // Other VMs may have reported crashes while the request waited.
        self.check_quarantine(request)?;
        if ticket.is_some_and(|t| !self.stages.claims.is_valid(t, Instant::now())) {
            return Err(Error::new(Code::ClaimUnavailable, "the claim is too old"));
        }
        Ok(())
    }

    /// Whether the answer is an error after which another upstream is tried.
    fn should_retry(&self, request: &AdmittedRequest, answer: &Answer) -> bool {
        request.idempotent
            && answer.head.status.is_server_error()
            && answer.head.status != StatusCode::NotImplemented
    }

    /// Records an answer that was read to its end, or starts to relay the rest of an open one.
    async fn answer(
        self: &Arc<Self>,
        request: &Arc<AdmittedRequest>,
        flight: InFlight<S>,
        ticket: Option<Ticket<S>>,
        answer: Answer,
    ) -> Completion {
        let latency = flight.timing.latency;
        let open = match answer.body {
            AnswerBody::Full(_) => {
                self.record_answer(request, &answer.head);
                self.finish_answered(&answer, ticket).await;
                let failed = answer.head.status.is_server_error();
                flight.end(if failed {
                    AttemptResult::Failed
                } else {
                    AttemptResult::Answered
                });
                return Completion::answered(full_response(answer), latency);
            }
            AnswerBody::Open(reader, conn, body_start) => stream::OpenAnswer {
                request: Arc::clone(request),
                flight,
                ticket,
                head: answer.head,
                reader,
                conn,
                body_start,
            },
        };
        Completion::answered(stream::respond(self, open), latency)
    }

    /// Records the answer with the claim, so that a later attempt with the same request id gets it.
    ///
    /// The caller waits at most [`FINISH_TIMEOUT`] for it; a separate task continues after that.
    async fn finish_answered(self: &Arc<Self>, answer: &Answer, ticket: Option<Ticket<S>>) {
        let (Some(ticket), AnswerBody::Full(body)) = (ticket, &answer.body) else {
            return;
        };
        let outcome = ClaimOutcome::Answered(answer.head.to_kept(Some(body.clone())));
        let guard = TaskGuard::new(self);
        let (sender, finished) = channel::bounded::<Infallible>(1);
        task::spawn(async move {
            guard.0.finish_claim(Some(ticket), outcome).await;
            drop(sender);
        });
        let _ = future::timeout(FINISH_TIMEOUT, finished.recv()).await;
    }
}

/// The next attempt that ends; `None` as soon as one of them becomes overdue.
async fn next_ended<S: Stages>(
    running: &mut FuturesUnordered<impl Future<Output = Ended<S>>>,
    request: &AdmittedRequest,
) -> Option<Ended<S>> {
    poll_fn(|cx| match running.poll_next_unpin(cx) {
        // Attempts set the overdue flag while they are polled.
        Poll::Pending if request.take_overdue() => Poll::Ready(None),
        poll => poll,
    })
    .await
}

/// The response for an answer that was read to its end.
fn full_response(answer: Answer) -> Response {
    let mut response = answer.head.to_response();
    let AnswerBody::Full(bytes) = answer.body else {
        return response;
    };
    let declared_length = answer
        .head
        .declared_length
        .and_then(|length| usize::try_from(length).ok());
    let body = match declared_length {
        // async-h1 writes the length of the body as content-length and reads none for HEAD.
        Some(length) => Body::from_reader(io::empty(), Some(length)),
        None => Body::from_bytes(bytes),
    };
    answer::set_body(&mut response, body);
    response
}

/// Replaces an error that states "not run" if an upstream may have run the request.
fn correct_execution(request: &AdmittedRequest, error: Error, may_have_run: bool) -> Error {
    if !may_have_run || error.code.execution() != Execution::No {
        return error;
    }
    let code = match request.idempotent {
        true => Code::UpstreamFailed,
        false => Code::OutcomeUnknown,
    };
    Error::new(code, error.detail)
}
