//! Long answers: a task reads the body from the upstream and passes it to the caller's connection.
//!
//! The end of the body is a separate message. An answer that stops for any other reason, including a panic of
//! the task, is therefore an error on the caller's connection and never a normal end.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::io::ReadExt;
use async_std::task;
use futures::TryStreamExt;
use futures::future::Either;
use futures::future::select;
use futures::stream;
use tide::http::Body;
use tide::http::Response;

use crate::answer;
use crate::answer::MAX_BUFFERED_BYTES;
use crate::answer::ResponseHead;
use crate::frame::BodyReader;
use crate::frame::Framing;
use crate::pool::Connection;
use crate::stage::AttemptResult;
use crate::stage::ClaimOutcome;

use super::Shared;
use super::Stages;
use super::TaskGuard;
use super::Ticket;
use super::attempt::InFlight;
use super::request::AdmittedRequest;
use super::response::keep_connection;

/// How many chunks of an answer are queued for the caller at most.
const QUEUED_CHUNKS: usize = 2;
const CHUNK_BYTES: usize = 16 << 10;

/// How long an answer of known length may continue after the deadline of its request, since it may be almost
/// complete. Callers accept an answer up to 250 ms late; 50 ms of that are left for its transmission.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// An answer that is cut at the deadline is attributed to the caller if the caller has read nothing for this
/// long before; a caller that keeps reading accepts a chunk within a few milliseconds.
const SLOW_CALLER_LIMIT: Duration = Duration::from_millis(100);

/// What the task passes to the caller's connection.
enum Chunk {
    Bytes(Vec<u8>),
    /// The answer is complete.
    End,
}

/// Why an answer was not read to its end.
struct Interruption {
    result: AttemptResult,
    reason: String,
}

impl Interruption {
    fn new(result: AttemptResult, reason: &str) -> Self {
        let reason = reason.into();
        Self { result, reason }
    }

    fn caller_left() -> Self {
        Self::new(AttemptResult::Cancelled, "the caller left inside the answer")
    }

    fn late() -> Self {
        Self::new(AttemptResult::Late, "the answer had not ended at the deadline")
    }
}

/// An answer whose body is not read to its end.
pub(crate) struct OpenAnswer<S: Stages> {
    pub(crate) request: Arc<AdmittedRequest>,
    pub(crate) flight: InFlight<S>,
    pub(crate) ticket: Option<Ticket<S>>,
    pub(crate) head: ResponseHead,
    pub(crate) reader: BodyReader,
    pub(crate) conn: Connection,
    /// The bytes of the body that have been read.
    pub(crate) body_start: Vec<u8>,
}

/// Starts a task that relays the body, and returns the response that carries it.
pub(crate) fn respond<S: Stages>(shared: &Arc<Shared<S>>, open: OpenAnswer<S>) -> Response {
    let mut response = open.head.to_response();
    let length = match open.head.framing {
        Framing::Length(length) => usize::try_from(length).ok(),
        _ => None,
    };
    let (sender, receiver) = channel::bounded(QUEUED_CHUNKS);
    let (alive, dropped) = channel::bounded(1);
    let source = BodySource {
        receiver,
        _alive: alive,
    };
    answer::set_body(&mut response, body(source, length));
    let caller = CallerChannel { sender, dropped };
    let guard = TaskGuard::new(shared);
    task::spawn(async move {
        relay(open, caller, &guard).await;
    });
    response
}

/// The end of the channel at the caller's connection.
struct BodySource {
    receiver: Receiver<Chunk>,
    /// Closes [`CallerChannel::dropped`] when it is dropped.
    _alive: Sender<Infallible>,
}

/// The end of the channel at the task that reads the answer.
struct CallerChannel {
    sender: Sender<Chunk>,
    /// Closed when the caller's connection drops the answer.
    dropped: Receiver<Infallible>,
}

fn body(source: BodySource, length: Option<usize>) -> Body {
    let chunks = stream::try_unfold(source, |source| async {
        match source.receiver.recv().await {
            Ok(Chunk::Bytes(bytes)) => Ok(Some((bytes, source))),
            Ok(Chunk::End) => Ok(None),
            Err(_) => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the answer was cut")),
        }
    });
    Body::from_reader(Box::pin(chunks).into_async_read(), length)
}

/// Relays the answer, and records its result and the outcome of its claim.
async fn relay<S: Stages>(mut open: OpenAnswer<S>, caller: CallerChannel, guard: &TaskGuard<S>) {
    let mut kept = Some(Vec::new());
    let read = relay_body(&mut open, &caller, &mut kept).await;
    let shared = &guard.0;
    let is_complete = read.is_ok();
    let result = match read {
        Ok(()) => {
            shared.record_answer(&open.request, &open.head);
            match open.head.status.is_server_error() {
                true => AttemptResult::Failed,
                false => AttemptResult::Answered,
            }
        }
        Err(interruption) => {
            let upstream = open.flight.upstream().unwrap_or_default();
            answer::log_incomplete(&open.request.id, &upstream, &interruption.reason);
            shared.check_crash(&open.request, &open.flight, interruption.result);
            interruption.result
        }
    };
    // The connection of an incomplete answer is closed before the claim is finished, which may take long.
    match is_complete {
        true => keep_connection(shared, &open.head, &open.reader, open.conn),
        false => drop(open.conn),
    }
    drop(open.reader);
    open.flight.end(result);
    let outcome = ClaimOutcome::Answered(open.head.to_kept(kept.filter(|_| is_complete)));
    let finish = shared.finish_claim(open.ticket, outcome);
    let end = async {
        match is_complete {
            true => caller.sender.send(Chunk::End).await.is_ok(),
            // The caller's connection treats a channel that closes without an end as an incomplete answer.
            false => caller.sender.close(),
        }
    };
    futures::join!(finish, end);
}

/// Relays the body to its end or until its time limit; `kept` gets a copy of it if there is a claim.
async fn relay_body<S: Stages>(
    open: &mut OpenAnswer<S>,
    caller: &CallerChannel,
    kept: &mut Option<Vec<u8>>,
) -> Result<(), Interruption> {
    let until = match open.head.framing {
        Framing::Length(_) => open.request.deadline + DEADLINE_GRACE,
        _ => open.request.deadline,
    };
    let mut chunk = std::mem::take(&mut open.body_start);
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        if !chunk.is_empty() {
            if open.ticket.is_some() {
                keep_chunk(kept, &chunk);
            }
            send_chunk(&caller.sender, chunk, until, open.request.idempotent).await?;
        }
        let time_left = time_left(until);
        // A timeout ends only reads that wait, and bytes may always be available.
        if time_left.is_zero() {
            return Err(Interruption::late());
        }
        let read = future::timeout(time_left, open.reader.read(&mut buffer));
        let left = caller_left(caller, open.request.idempotent);
        let read = match select(Box::pin(read), Box::pin(left)).await {
            Either::Left((read, _)) => read,
            Either::Right(_) => return Err(Interruption::caller_left()),
        };
        chunk = match read {
            Err(_) => return Err(Interruption::late()),
            Ok(Err(e)) => return Err(Interruption::new(AttemptResult::Cut, &e.to_string())),
            Ok(Ok(0)) => return Ok(()),
            Ok(Ok(count)) => buffer[..count].to_vec(),
        };
    }
}

/// Waits until the caller has left. Never ends for a non-idempotent request, whose answer is read to its end
/// in any case.
async fn caller_left(caller: &CallerChannel, idempotent: bool) {
    if !idempotent || caller.dropped.recv().await.is_ok() {
        std::future::pending::<()>().await;
    }
}

/// Passes bytes to the caller's connection.
async fn send_chunk(
    sender: &Sender<Chunk>,
    chunk: Vec<u8>,
    until: Instant,
    idempotent: bool,
) -> Result<(), Interruption> {
    let start = Instant::now();
    match future::timeout(time_left(until), sender.send(Chunk::Bytes(chunk))).await {
        Ok(Err(_)) if idempotent => Err(Interruption::caller_left()),
        Ok(_) => Ok(()),
        Err(_) if start.elapsed() < SLOW_CALLER_LIMIT => Err(Interruption::late()),
        Err(_) => Err(Interruption::new(
            AttemptResult::Cancelled,
            "the caller read slowly until the deadline",
        )),
    }
}

fn time_left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

/// Appends a chunk to the copy of the body; sets it to `None` if it becomes too large to be kept.
fn keep_chunk(kept: &mut Option<Vec<u8>>, chunk: &[u8]) {
    let Some(bytes) = kept else { return };
    if bytes.len() + chunk.len() > MAX_BUFFERED_BYTES {
        *kept = None;
        return;
    }
    bytes.extend_from_slice(chunk);
}
