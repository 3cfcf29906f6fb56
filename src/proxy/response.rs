//! Reads the head and the body of an upstream's answer.

use std::io;
use std::pin::pin;
use std::time::Duration;

use async_std::future;
use log::info;

use crate::answer;
use crate::answer::MAX_BUFFERED_BYTES;
use crate::answer::ResponseHead;
use crate::conventions::HttpConventions;
use crate::frame::BodyReader;
use crate::frame::BufferedStream;
use crate::frame::Framing;
use crate::pool::Connection;
use crate::stage::AttemptResult;
use crate::stage::ChosenUpstream;

use super::Shared;
use super::Stages;
use super::attempt::Answer;
use super::attempt::AnswerBody;
use super::attempt::Outcome;
use super::request::AdmittedRequest;

/// How long the body of an answer that states "not run" is read, so that its connection can be reused.
const NOT_RUN_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the body of an error answer is read before another upstream is tried as well. A healthy upstream
/// sends the body with the head. Callers wait 1 s or more, most of which must remain for the retry.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// How many answers to earlier requests are skipped on a reused connection; more are a fault of the upstream.
const MAX_SKIPPED: usize = 2;

/// Reads the head of the answer to the request that was sent under `id`.
///
/// On a reused connection, a late answer to an earlier request may come first. The upstream is processing
/// this request nevertheless, so the connection stays open while other upstreams are tried.
///
/// # Errors
/// `InvalidData` if the answer belongs to another request or is not valid, `UnexpectedEof` if the connection
/// ended.
pub(super) async fn read_head(
    mut conn: BufferedStream,
    request: &AdmittedRequest,
    conventions: &HttpConventions,
    id: &str,
    reused: bool,
) -> io::Result<(ResponseHead, BufferedStream)> {
    let invalid = |text: &str| io::Error::new(io::ErrorKind::InvalidData, text);
    let mismatch = || invalid("the answer belongs to another request");
    let mut skipped = 0;
    loop {
        let mut head = answer::read_head(&mut conn, request.method).await?;
        if head
            .header(&conventions.id_header)
            .is_none_or(|other| other == id)
        {
            head.close |= skipped > 0;
            return Ok((head, conn));
        }
        if !reused || skipped == MAX_SKIPPED {
            return Err(mismatch());
        }
        skipped += 1;
        info!("answer to another request skipped: id={}", request.id);
        request.set_overdue();
        let mut reader = BodyReader::new(conn, head.framing);
        let read = answer::read_bounded(&mut reader, &mut Vec::new()).await;
        let read = read.map_err(|e| invalid(&format!("a skipped answer was cut: {e}")))?;
        let rest = read.and_then(|()| reader.take_conn());
        conn = rest.ok_or_else(mismatch)?;
    }
}

/// Reads a short body to its end; the body of a long answer is left open.
pub(super) async fn read_body<S: Stages>(
    shared: &Shared<S>,
    request: &AdmittedRequest,
    head: ResponseHead,
    mut reader: BodyReader,
    conn: Connection,
) -> Outcome {
    let is_long = matches!(head.framing, Framing::Length(length) if length > MAX_BUFFERED_BYTES as u64);
    if is_long {
        let body = AnswerBody::Open(reader, conn, Vec::new());
        return Outcome::Answered(Answer { head, body });
    }
    let mut body = Vec::new();
    let read = answer::read_bounded(&mut reader, &mut body);
    // The body of an error answer may never end, so other upstreams are tried while it is read, as with any
    // overdue attempt.
    let read = async {
        let mut read = pin!(read);
        if request.idempotent && head.status.is_server_error() {
            let early = future::timeout(ERROR_BODY_TIMEOUT, read.as_mut()).await;
            if let Ok(read) = early {
                return read;
            }
            request.set_overdue();
        }
        read.await
    };
    match future::timeout(request.time_left(), read).await {
        Ok(Ok(Some(()))) => {}
        Ok(Ok(None)) => {
            let body = AnswerBody::Open(reader, conn, body);
            return Outcome::Answered(Answer { head, body });
        }
        Ok(Err(e)) => {
            let detail = format!("the answer was cut after {} bytes of its body: {e}", body.len());
            return Outcome::Unknown(AttemptResult::Cut, detail);
        }
        Err(_) => {
            return Outcome::Unknown(
                AttemptResult::Late,
                "the deadline passed inside the answer".into(),
            );
        }
    }
    keep_connection(shared, &head, &reader, conn);
    Outcome::Answered(Answer {
        head,
        body: AnswerBody::Full(body),
    })
}

/// Reads the body of an answer that states "not run", so that its connection can be reused.
pub(super) async fn read_not_run_body<S: Stages>(
    shared: &Shared<S>,
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    head: &ResponseHead,
    mut reader: BodyReader,
    conn: Connection,
) {
    let mut body = Vec::new();
    let read = answer::read_bounded(&mut reader, &mut body);
    match future::timeout(NOT_RUN_BODY_TIMEOUT, read).await {
        Ok(Ok(Some(()))) => keep_connection(shared, head, &reader, conn),
        _ => answer::log_incomplete(&request.id, &chosen.upstream, "an overload answer without an end"),
    }
}

/// Returns a connection to the pool after its answer was read to the end, unless the answer closes it or
/// bytes follow.
pub(super) fn keep_connection<S: Stages>(
    shared: &Shared<S>,
    head: &ResponseHead,
    reader: &BodyReader,
    conn: Connection,
) {
    let rest = reader.take_conn();
    if !head.close && rest.is_some_and(|rest| rest.data().is_empty()) {
        shared.pool.release(conn, head.idle_timeout);
    }
}
