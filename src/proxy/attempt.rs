//! One attempt: a request is sent to one upstream and its answer is read.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use log::info;

use crate::answer;
use crate::answer::KEEP_BYTES;
use crate::answer::Reply;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::frame::Buffered;
use crate::frame::Frame;
use crate::frame::Framing;
use crate::id::UpstreamId;
use crate::pool::Connection;
use crate::pool::Unsent;
use crate::stage::Attempt;
use crate::stage::Chooser;
use crate::stage::Pick;
use crate::stage::Sample;

use super::Shared;
use super::Stages;
use super::forward;
use super::job::Job;

/// How long the body of an overload answer is awaited, so that its connection can be reused.
const SHED_LIMIT: Duration = Duration::from_millis(50);
/// How long the body of an error answer is awaited while another upstream may be tried. The body of a sound
/// upstream comes with its head; a retry needs most of the time that callers wait, which is 1 s or more.
const ERROR_LIMIT: Duration = Duration::from_millis(250);

/// What an attempt led to; see section 5.3 of the design.
pub(crate) enum Outcome {
    /// No byte was given to the kernel.
    NotSent(Attempt, String),
    /// The upstream says that it did not run the request.
    NotRun,
    /// The upstream answered.
    Answered(Answer),
    /// It was sent, and whether it ran is not known.
    Unknown(Attempt, String),
}

/// An answer whose head was read.
pub(crate) struct Answer {
    pub(crate) reply: Reply,
    pub(crate) body: AnswerBody,
}

pub(crate) enum AnswerBody {
    /// It was read to its end.
    Full(Vec<u8>),
    /// It is still to be read, after the bytes that were read already.
    Open(Frame, Connection, Vec<u8>),
}

/// A chosen upstream; dropping it gives the upstream back as cancelled.
pub(crate) struct InFlight<S: Stages> {
    shared: Arc<Shared<S>>,
    job: Arc<Job>,
    pick: Option<Pick>,
    started: Instant,
    pub(crate) latency: Duration,
    load: Option<u32>,
}

impl<S: Stages> InFlight<S> {
    pub(crate) fn new(shared: &Arc<Shared<S>>, job: &Arc<Job>, pick: Pick) -> Self {
        Self {
            shared: Arc::clone(shared),
            job: Arc::clone(job),
            pick: Some(pick),
            started: Instant::now(),
            latency: Duration::ZERO,
            load: None,
        }
    }

    /// Name of the upstream.
    pub(crate) fn upstream(&self) -> Option<UpstreamId> {
        self.pick.as_ref().map(|pick| pick.upstream.clone())
    }

    /// Gives the upstream back with what was learned about it.
    pub(crate) fn end(mut self, attempt: Attempt) {
        self.give_back(attempt);
    }

    fn give_back(&mut self, attempt: Attempt) {
        let Some(pick) = self.pick.take() else { return };
        let service = pick.service.clone();
        info!(
            "attempt: id={} service={service} upstream={} standing={} result={attempt} ms={}",
            self.job.id,
            pick.upstream,
            pick.reason,
            self.started.elapsed().as_millis()
        );
        if !matches!(attempt, Attempt::Answered | Attempt::Cancelled) {
            let about = About::detail(attempt.to_string()).request(&self.job.id);
            event::record(Kind::AttemptFailed, about.upstream(&service, &pick.upstream));
        }
        let sample = Sample {
            attempt,
            latency: self.latency,
            route: self.job.route.id.clone(),
            customer: self.job.customer.clone(),
            load: self.load,
        };
        self.shared.parts.chooser.finish(pick, sample);
        self.shared.wake(&service);
    }
}

impl<S: Stages> Drop for InFlight<S> {
    fn drop(&mut self) {
        self.give_back(Attempt::Cancelled);
    }
}

/// A try on one connection.
enum Try {
    Done(Outcome),
    /// A reused connection was dead or silent; this says nothing about the upstream.
    Stale,
}

/// Sends the request to the upstream of `flight`.
///
/// `ready` is called when the connection stands, just before the first byte is sent.
///
/// # Errors
/// The error of `ready`; nothing was sent after it.
pub(crate) async fn attempt<S: Stages>(
    flight: &mut InFlight<S>,
    ready: &(impl Fn() -> Result<()> + Sync),
) -> Result<Outcome> {
    let shared = Arc::clone(&flight.shared);
    let job = Arc::clone(&flight.job);
    let Some(pick) = flight.pick.clone() else {
        return Err(Code::NoUpstream.into());
    };
    // A reused connection can die or be silent without any sign, and a request that is lost on it
    // cannot be repeated unless it is idempotent. Others pay about 1 ms for a new connection.
    let mut reuse = job.idempotent;
    loop {
        let conn = match shared.pool.take(&pick, reuse, job.left()).await {
            Ok(conn) => conn,
            Err(e @ Unsent::Full) => return Ok(Outcome::NotSent(Attempt::Cancelled, e.to_string())),
            Err(e) => return Ok(Outcome::NotSent(Attempt::Refused, e.to_string())),
        };
        fail::fail_point!("proxy-connected");
        ready()?;
        match try_on(flight, &job, &pick, conn).await? {
            Try::Done(outcome) => {
                if let Outcome::Unknown(_, reason) = &outcome {
                    answer::log_cut(&job.id, &pick.upstream, reason);
                }
                return Ok(outcome);
            }
            Try::Stale if !shared.parts.chooser.reconnects() => {
                let detail = "a reused connection died or was silent";
                return Ok(Outcome::Unknown(Attempt::Stale, detail.into()));
            }
            Try::Stale => {}
        }
        reuse = false;
    }
}

async fn try_on<S: Stages>(
    flight: &mut InFlight<S>,
    job: &Job,
    pick: &Pick,
    conn: Connection,
) -> Result<Try> {
    let shared = Arc::clone(&flight.shared);
    let dialect = &shared.settings.dialect;
    let id = match dialect.keeps_id {
        true => job.given_id.clone(),
        false => flight.shared.next_id(),
    };
    let bytes = forward::encode(job, pick, &id, dialect);
    flight.started = Instant::now();
    let reused = conn.reused;
    let written = write(&conn.stream, &bytes, job).await;
    match written {
        Written::All => {}
        Written::Nothing if reused => return Ok(Try::Stale),
        Written::Nothing => {
            let detail = "the connection took no byte".into();
            return Ok(Try::Done(Outcome::NotSent(Attempt::Refused, detail)));
        }
        // An upstream may answer and close before it has read the whole body.
        Written::Part => {}
    }
    fail::fail_point!("proxy-sent");
    let mut buffered = Buffered::new(conn.stream.clone());
    let until = match reused {
        true => flight.started + flight.shared.parts.chooser.reuse_limit(&job.route.id),
        false => job.deadline,
    };
    let chooser = &shared.parts.chooser;
    let until = until.min(job.deadline);
    let patience = chooser.patience(&job.route).map(|p| flight.started + p);
    let may_leave = job.idempotent && job.has_more() && chooser.allows_retry(&job.route);
    let first = patience.map_or(until, |p| until.min(p));
    let mut byte = answer::first_byte(&mut buffered, first).await;
    if first < until && !may_leave && is_timeout(&byte) {
        // Others should not go there, but this request has no better place.
        chooser.suspect(pick);
        byte = answer::first_byte(&mut buffered, until).await;
    }
    flight.latency = flight.started.elapsed();
    match byte {
        Ok(true) => {}
        Err(_) | Ok(false) if reused && !is_timeout(&byte) && !job.left().is_zero() => {
            return Ok(Try::Stale);
        }
        _ if reused && until < job.deadline && !job.left().is_zero() => return Ok(Try::Stale),
        _ if is_timeout(&byte) && !job.left().is_zero() => return Ok(slow()),
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return Ok(late()),
        Ok(false) => return Ok(died("the connection ended before the answer")),
        Err(e) => return Ok(died(&e.to_string())),
    }
    let mut reply = match future::timeout(job.left(), answer::read_head(&mut buffered, job.method)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(e)) if e.kind() == io::ErrorKind::InvalidData => return Ok(wrong(&e.to_string())),
        Ok(Err(e)) => return Ok(died(&e.to_string())),
        Err(_) => return Ok(late()),
    };
    fail::fail_point!("proxy-head");
    // A foreign id means that the answer belongs to another request.
    match reply.header(&dialect.id) {
        Some(other) if other != id => return Ok(wrong("the answer belongs to another request")),
        None if dialect.echoes_id => return Ok(wrong("the answer names no request")),
        _ => {}
    }
    let stamp = dialect.stamp.as_deref();
    if reply.status.is_success() && stamp.is_some_and(|name| reply.header(name).is_none()) {
        return Ok(wrong("a success without the mark of an upstream"));
    }
    // The upstream may still wait for the rest of the body.
    reply.close |= !matches!(written, Written::All);
    flight.load = reply.header("x-load").and_then(|load| load.parse().ok());
    let frame = Frame::new(buffered, reply.framing);
    if reply.is_not_run(dialect) {
        job.unsend();
        shed(flight, &reply, frame, conn).await;
        return Ok(Try::Done(Outcome::NotRun));
    }
    Ok(Try::Done(read_body(flight, job, reply, frame, conn).await))
}

async fn read_body<S: Stages>(
    flight: &InFlight<S>,
    job: &Job,
    reply: Reply,
    mut frame: Frame,
    conn: Connection,
) -> Outcome {
    let is_long = matches!(reply.framing, Framing::Length(length) if length > KEEP_BYTES as u64);
    // Such a body may have no end, and once the caller has its first bytes nothing can be sent again.
    let is_spare = job.idempotent && job.has_more() && reply.status.is_server_error();
    let limit = if is_spare {
        job.left().min(ERROR_LIMIT)
    } else {
        job.left()
    };
    if is_long && !is_spare {
        let body = AnswerBody::Open(frame, conn, Vec::new());
        return Outcome::Answered(Answer { reply, body });
    }
    let mut body = Vec::new();
    match future::timeout(limit, answer::read_short(&mut frame, &mut body)).await {
        Ok(Ok(Some(()))) => {}
        Ok(Ok(None)) if is_spare => {
            return Outcome::Unknown(Attempt::Failed, "a long error answer".into());
        }
        Err(_) if is_spare && !job.left().is_zero() => {
            return Outcome::Unknown(Attempt::Failed, "a slow error answer".into());
        }
        Ok(Ok(None)) => {
            let body = AnswerBody::Open(frame, conn, body);
            return Outcome::Answered(Answer { reply, body });
        }
        Ok(Err(_)) => {
            let detail = format!("the answer was cut after {} bytes of its body", body.len());
            return Outcome::Unknown(Attempt::Cut, detail);
        }
        Err(_) => return Outcome::Unknown(Attempt::Late, "the deadline passed inside the answer".into()),
    }
    keep(&flight.shared, &reply, &frame, conn);
    Outcome::Answered(Answer {
        reply,
        body: AnswerBody::Full(body),
    })
}

async fn shed<S: Stages>(flight: &InFlight<S>, reply: &Reply, mut frame: Frame, conn: Connection) {
    let mut body = Vec::new();
    let read = answer::read_short(&mut frame, &mut body);
    match future::timeout(SHED_LIMIT, read).await {
        Ok(Ok(Some(()))) => keep(&flight.shared, reply, &frame, conn),
        _ => {
            let upstream = flight.upstream().unwrap_or_default();
            answer::log_cut(&flight.job.id, &upstream, "an overload answer without an end");
        }
    }
}

/// Keeps a connection whose answer was read to its end, if nothing came after the answer.
pub(crate) fn keep<S: Stages>(shared: &Shared<S>, reply: &Reply, frame: &Frame, conn: Connection) {
    let rest = frame.take_conn();
    if !reply.close && rest.is_some_and(|rest| rest.data().is_empty()) {
        shared.pool.keep(conn, reply.idle);
    }
}

fn died(detail: &str) -> Try {
    Try::Done(Outcome::Unknown(Attempt::Died, detail.into()))
}

fn late() -> Try {
    let detail = "no answer until the deadline".into();
    Try::Done(Outcome::Unknown(Attempt::Late, detail))
}

fn is_timeout(byte: &io::Result<bool>) -> bool {
    matches!(byte, Err(e) if e.kind() == io::ErrorKind::TimedOut)
}

/// The answer takes longer than an idempotent request waits for one upstream.
fn slow() -> Try {
    let detail = "no answer within the patience for one upstream";
    Try::Done(Outcome::Unknown(Attempt::Late, detail.into()))
}

fn wrong(detail: &str) -> Try {
    Try::Done(Outcome::Unknown(Attempt::Failed, detail.into()))
}

enum Written {
    All,
    /// The kernel took some bytes, perhaps all that it took are lost.
    Part,
    /// The kernel took no byte.
    Nothing,
}

async fn write(mut stream: &TcpStream, bytes: &[u8], job: &Job) -> Written {
    let mut done = 0;
    while done < bytes.len() {
        match future::timeout(job.left(), stream.write(&bytes[done..])).await {
            Ok(Ok(count @ 1..)) => {
                if done == 0 {
                    job.send();
                }
                done += count;
            }
            _ if done == 0 => return Written::Nothing,
            _ => return Written::Part,
        }
    }
    Written::All
}

/// The error for a request whose attempts all failed.
pub(crate) fn failure(job: &Job, attempt: Attempt, detail: &str) -> Error {
    let code = match (attempt, job.idempotent) {
        (Attempt::Late, _) => Code::DeadlineAfter,
        (_, true) => Code::UpstreamFailed,
        (_, false) => Code::OutcomeUnknown,
    };
    Error::new(code, detail)
}
