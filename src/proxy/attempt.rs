//! One attempt: sends a request to one upstream and reads the answer.

use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;
use log::info;

use crate::answer;
use crate::answer::ResponseHead;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::frame::BodyReader;
use crate::frame::BufferedStream;
use crate::id::UpstreamId;
use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::stage::AttemptResult;
use crate::stage::Chooser;
use crate::stage::ChosenUpstream;
use crate::stage::Sample;

use super::Shared;
use super::Stages;
use super::connect;
use super::forward;
use super::forward::Written;
use super::notices;
use super::request::AdmittedRequest;
use super::response;

/// Outcome of an attempt, which decides whether the request may be sent again; see section 5.3 of the design.
pub(crate) enum Outcome {
    /// No connection could be made, or the kernel accepted no byte.
    NotSent(AttemptResult, String),
    /// The upstream answered that it did not run the request.
    NotRun,
    /// The upstream answered.
    Answered(Answer),
    /// The request was sent, and it is not known whether the upstream ran it.
    Unknown(AttemptResult, String),
}

/// An answer whose head has been read.
pub(crate) struct Answer {
    pub(crate) head: ResponseHead,
    pub(crate) body: AnswerBody,
}

pub(crate) enum AnswerBody {
    /// The whole body.
    Full(Vec<u8>),
    /// A body that is not read to its end, with the bytes of it that have been read.
    Open(BodyReader, Connection, Vec<u8>),
}

/// An attempt that counts as in flight at its upstream; dropping it releases the upstream and records the
/// attempt as cancelled.
pub(crate) struct InFlight<S: Stages> {
    shared: Arc<Shared<S>>,
    request: Arc<AdmittedRequest>,
    /// `None` after the release.
    chosen: Option<ChosenUpstream>,
    pub(crate) timing: Timing,
}

/// Start and latency of an attempt, and the load that its answer states.
#[derive(Clone, Copy)]
pub(crate) struct Timing {
    started: Instant,
    /// Time from the first byte sent to the first byte of the answer.
    pub(crate) latency: Duration,
    /// Load that the answer states, in requests in flight at the upstream.
    load: Option<u32>,
}

impl Timing {
    fn start() -> Self {
        Self {
            started: Instant::now(),
            latency: Duration::ZERO,
            load: None,
        }
    }
}

impl<S: Stages> InFlight<S> {
    pub(crate) fn new(
        shared: &Arc<Shared<S>>,
        request: &Arc<AdmittedRequest>,
        chosen: ChosenUpstream,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            request: Arc::clone(request),
            chosen: Some(chosen),
            timing: Timing::start(),
        }
    }

    /// The chosen upstream.
    pub(crate) fn chosen(&self) -> Option<&ChosenUpstream> {
        self.chosen.as_ref()
    }

    /// Name of the upstream.
    pub(crate) fn upstream(&self) -> Option<UpstreamId> {
        self.chosen.as_ref().map(|chosen| chosen.upstream.clone())
    }

    /// Releases the upstream and records the result of the attempt.
    pub(crate) fn end(mut self, result: AttemptResult) {
        self.release(result);
    }

    fn release(&mut self, result: AttemptResult) {
        let Some(chosen) = self.chosen.take() else { return };
        let service = chosen.service.clone();
        info!(
            "attempt: id={} service={service} upstream={} standing={} result={result} ms={}",
            self.request.id,
            chosen.upstream,
            chosen.reason,
            self.timing.started.elapsed().as_millis()
        );
        if !matches!(result, AttemptResult::Answered | AttemptResult::Cancelled) {
            let about = About::detail(result.to_string()).request(&self.request.id);
            event::record(Kind::AttemptFailed, about.upstream(&service, &chosen.upstream));
        }
        let sample = Sample {
            result,
            latency: self.timing.latency,
            route: self.request.route.id.clone(),
            customer: self.request.customer.clone(),
            load: self.timing.load,
        };
        self.shared.stages.chooser.finish(chosen, sample);
        self.shared.dispatch(&service);
    }
}

impl<S: Stages> Drop for InFlight<S> {
    fn drop(&mut self) {
        self.release(AttemptResult::Cancelled);
    }
}

/// Outcome of sending the request on one connection.
enum ConnectionOutcome {
    Done(Outcome),
    /// A reused connection was dead or silent, which says nothing about the upstream.
    Stale,
}

/// Outcome on one connection, with its timing.
type TimedOutcome = (Result<ConnectionOutcome>, Timing);

/// Sends the request to the upstream of `flight`.
///
/// `before_send` is called when the connection is established, just before the first byte is sent.
///
/// # Errors
/// The error of `before_send`, after which nothing is sent.
pub(crate) async fn attempt<S: Stages>(
    flight: &mut InFlight<S>,
    before_send: &(impl Fn() -> Result<()> + Sync),
) -> Result<Outcome> {
    let shared = Arc::clone(&flight.shared);
    let request = Arc::clone(&flight.request);
    let Some(chosen) = flight.chosen.clone() else {
        return Err(Code::NoUpstream.into());
    };
    // A new connection costs about 1 ms.
    let (outcome, timing) = match request.may_reuse() {
        true => send_reused(&shared, &request, &chosen, before_send).await,
        false => {
            send_on_connection(
                &shared,
                &request,
                &chosen,
                false,
                &AtomicBool::default(),
                before_send,
            )
            .await
        }
    };
    flight.timing = timing;
    match outcome? {
        ConnectionOutcome::Done(outcome) => {
            if let Outcome::Unknown(_, reason) = &outcome {
                answer::log_incomplete(&request.id, &chosen.upstream, reason);
            }
            Ok(outcome)
        }
        ConnectionOutcome::Stale => {
            let detail = "a reused connection died or was silent";
            Ok(Outcome::Unknown(AttemptResult::Stale, detail.into()))
        }
    }
}

/// Sends the request on a reused connection, and on a fresh one if the reused one is dead or silent.
///
/// A silent connection stays open beside the fresh one: its upstream may be processing the request, and the
/// fresh connection may fail.
async fn send_reused<S: Stages>(
    shared: &Arc<Shared<S>>,
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    before_send: &(impl Fn() -> Result<()> + Sync),
) -> TimedOutcome {
    let (silent, ignored) = (AtomicBool::default(), AtomicBool::default());
    let mut first = pin!(send_on_connection(
        shared,
        request,
        chosen,
        true,
        &silent,
        before_send
    ));
    let fresh = send_on_connection(shared, request, chosen, false, &ignored, before_send);
    match until_silent(first.as_mut(), &silent).await {
        Some((Ok(ConnectionOutcome::Stale), _)) if shared.stages.chooser.reconnects() => return fresh.await,
        Some(outcome) => return outcome,
        None => {}
    }
    // The upstream may process the request twice at the same time, so this takes from the retry budget.
    let is_allowed = shared.stages.chooser.take_retry_for(&request.retry());
    info!(
        "reused connection silent: id={} upstream={} fresh={is_allowed}",
        request.id, chosen.upstream
    );
    if !is_allowed {
        return first.await;
    }
    match select(first, pin!(fresh)).await {
        Either::Left((outcome, fresh)) => prefer_answer(outcome, fresh).await,
        Either::Right((outcome, first)) => prefer_answer(outcome, first).await,
    }
}

/// Polls `first` until it ends; `None` as soon as it has set `silent`.
async fn until_silent(
    mut first: impl Future<Output = TimedOutcome> + Unpin,
    silent: &AtomicBool,
) -> Option<TimedOutcome> {
    poll_fn(|cx| match first.poll_unpin(cx) {
        Poll::Ready(outcome) => Poll::Ready(Some(outcome)),
        Poll::Pending if silent.load(Ordering::Relaxed) => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    })
    .await
}

/// The outcome of the connection that has ended if it is an answer. Otherwise waits for the other one, and
/// returns its outcome unless only the ended one may have run the request.
async fn prefer_answer(ended: TimedOutcome, other: impl Future<Output = TimedOutcome>) -> TimedOutcome {
    if matches!(ended.0, Ok(ConnectionOutcome::Done(Outcome::Answered(_)))) {
        return ended;
    }
    let other = other.await;
    match other.0 {
        // If both failed, the result is the one after which the request may have run.
        Ok(ConnectionOutcome::Done(Outcome::Answered(_) | Outcome::Unknown(..))) => other,
        _ if matches!(ended.0, Ok(ConnectionOutcome::Done(Outcome::Unknown(..)))) => ended,
        _ => other,
    }
}

/// Sends the request on one connection: an idle one if `reuse` is set and there is any, or else a new one.
async fn send_on_connection<S: Stages>(
    shared: &Arc<Shared<S>>,
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    reuse: bool,
    silent: &AtomicBool,
    before_send: &(impl Fn() -> Result<()> + Sync),
) -> TimedOutcome {
    let mut timing = Timing::start();
    let error = match connect::acquire(shared, request, chosen, reuse).await {
        Ok(conn) => {
            fail::fail_point!("proxy-connected");
            let outcome = match before_send() {
                Ok(()) => Ok(exchange(shared, &mut timing, request, chosen, conn, silent).await),
                Err(error) => Err(error),
            };
            return (outcome, timing);
        }
        Err(error) => error,
    };
    let result = match error {
        ConnectError::Full | ConnectError::Unavailable => AttemptResult::Cancelled,
        ConnectError::Refused(_) | ConnectError::Late => AttemptResult::Refused,
    };
    (
        Ok(ConnectionOutcome::Done(Outcome::NotSent(
            result,
            error.to_string(),
        ))),
        timing,
    )
}

/// Writes the request on a connection and reads the answer; sets `silent` if no byte of it has come within
/// the limit for a reused connection.
async fn exchange<S: Stages>(
    shared: &Arc<Shared<S>>,
    timing: &mut Timing,
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    conn: Connection,
    silent: &AtomicBool,
) -> ConnectionOutcome {
    let conventions = &shared.settings.conventions;
    let id = match conventions.forwards_id {
        true => request.forwarded_id.clone(),
        false => shared.next_id(),
    };
    let head = forward::encode(request, chosen, &id, conventions);
    timing.started = Instant::now();
    let reused = conn.reused;
    let written = forward::write(&conn.stream, &head, request).await;
    match written {
        Written::All => {}
        Written::Nothing if reused && shared.stages.chooser.reconnects() => return ConnectionOutcome::Stale,
        Written::Nothing => {
            let detail = "the connection took no byte".into();
            return ConnectionOutcome::Done(Outcome::NotSent(AttemptResult::Refused, detail));
        }
        // An upstream may answer and close the connection before it has read the whole body.
        Written::Partial(_) => {}
    }
    fail::fail_point!("proxy-sent");
    let all_sent = matches!(written, Written::All);
    let mut buffered = BufferedStream::new(conn.stream.clone());
    if let Written::Partial(Some(error)) = written {
        buffered.set_write_error(error);
    }
    let silent_at = reused.then(|| timing.started + shared.stages.chooser.reuse_timeout(&request.route.id));
    let arrived = first_byte(
        shared,
        timing.started,
        request,
        chosen,
        &mut buffered,
        silent_at,
        silent,
    )
    .await;
    timing.latency = timing.started.elapsed();
    match arrived {
        Ok(true) => {}
        Err(_) | Ok(false) if reused && !is_timeout(&arrived) && !request.time_left().is_zero() => {
            return ConnectionOutcome::Stale;
        }
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return timed_out(),
        Ok(false) => return died("the connection ended before the answer"),
        Err(e) => return died(&e.to_string()),
    }
    let read_answer = async {
        let read_head = response::read_head(buffered, request, conventions, &id, reused);
        let (mut head, buffered) = match future::timeout(request.time_left(), read_head).await {
            Ok(Ok(read)) => read,
            Ok(Err(e)) if e.kind() == io::ErrorKind::InvalidData => return invalid(&e.to_string()),
            Ok(Err(e)) => return died(&e.to_string()),
            Err(_) => return timed_out(),
        };
        fail::fail_point!("proxy-head");
        if conventions.echoes_id && head.header(&conventions.id_header).is_none() {
            return invalid("the answer names no request");
        }
        notices::record(shared, request, chosen, &head);
        let answer_header = conventions.answer_header.as_deref();
        if head.status.is_success() && answer_header.is_some_and(|name| head.header(name).is_none()) {
            return invalid("a success without the mark of an upstream");
        }
        // The upstream may still be waiting for the rest of the request body.
        head.close |= !all_sent;
        timing.load = head.header("x-load").and_then(|load| load.parse().ok());
        let reader = BodyReader::new(buffered, head.framing);
        if head.is_not_run(conventions) {
            request.record_not_run();
            response::read_not_run_body(shared, request, chosen, &head, reader, conn).await;
            return ConnectionOutcome::Done(Outcome::NotRun);
        }
        ConnectionOutcome::Done(response::read_body(shared, request, head, reader, conn).await)
    };
    let mut read_answer = pin!(read_answer);
    let overdue_after = shared.stages.chooser.overdue_after(&request.route);
    if let Some(overdue_after) = overdue_after.filter(|_| request.idempotent) {
        // An answer that has begun may arrive byte by byte or never end.
        if let Ok(outcome) = future::timeout(overdue_after, read_answer.as_mut()).await {
            return outcome;
        }
        info!("answer overdue: id={} upstream={}", request.id, chosen.upstream);
        request.set_overdue();
    }
    read_answer.await
}

/// Waits for the first byte of the answer until the deadline; false if the connection ended.
///
/// Marks the request as overdue each time that `Chooser::overdue_after` has passed, and sets `silent` at
/// `silent_at`.
///
/// # Errors
/// `TimedOut` at the deadline, otherwise the error of the connection.
async fn first_byte<S: Stages>(
    shared: &Shared<S>,
    started: Instant,
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    conn: &mut BufferedStream,
    silent_at: Option<Instant>,
    silent: &AtomicBool,
) -> io::Result<bool> {
    let chooser = &shared.stages.chooser;
    let overdue_after = chooser
        .overdue_after(&request.route)
        .filter(|limit| !limit.is_zero());
    let mut overdue_at = overdue_after.map(|limit| started + limit);
    let mut silent_at = silent_at;
    let mut is_recorded = false;
    loop {
        let next = [overdue_at, silent_at].into_iter().flatten().min();
        let until = next.map_or(request.deadline, |at| at.min(request.deadline));
        let arrived = answer::wait_first_byte(conn, until).await;
        if until >= request.deadline || !is_timeout(&arrived) {
            return arrived;
        }
        if silent_at.take_if(|at| *at <= until).is_some() {
            silent.store(true, Ordering::Relaxed);
        }
        if overdue_at.is_none_or(|at| at > until) {
            continue;
        }
        info!(
            "attempt overdue: id={} upstream={} ms={}",
            request.id,
            chosen.upstream,
            started.elapsed().as_millis()
        );
        if !is_recorded {
            chooser.record_overdue(chosen);
            is_recorded = true;
        }
        request.set_overdue();
        overdue_at = overdue_after.map(|limit| Instant::now() + limit);
    }
}

fn died(detail: &str) -> ConnectionOutcome {
    ConnectionOutcome::Done(Outcome::Unknown(AttemptResult::Died, detail.into()))
}

fn timed_out() -> ConnectionOutcome {
    let detail = "no answer until the deadline".into();
    ConnectionOutcome::Done(Outcome::Unknown(AttemptResult::Late, detail))
}

fn is_timeout(arrived: &io::Result<bool>) -> bool {
    matches!(arrived, Err(e) if e.kind() == io::ErrorKind::TimedOut)
}

fn invalid(detail: &str) -> ConnectionOutcome {
    ConnectionOutcome::Done(Outcome::Unknown(AttemptResult::Failed, detail.into()))
}

/// The error for the caller if `result` was the last attempt of the request.
pub(crate) fn failure(request: &AdmittedRequest, result: AttemptResult, detail: &str) -> Error {
    let code = match (result, request.idempotent) {
        (AttemptResult::Late, _) => Code::DeadlineAfter,
        (_, true) => Code::UpstreamFailed,
        (_, false) => Code::OutcomeUnknown,
    };
    Error::new(code, detail)
}
