//! Writes answers, and closes connections whose callers may still be sending.

use std::future::Future;
use std::io;
use std::task::Poll;
use std::time::Duration;

use async_h1::server::Encoder;
use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures::future::Either;
use futures::future::select;
use tide::http::Method;
use tide::http::Response;

use crate::answer;
use crate::error::Error;

use super::pending::UnwrittenReason;

/// Size of the buffer through which answers are written, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Smallest free space of the buffer into which a part of the body is read, in bytes: the chunk encoder
/// panics if the space is too small.
const MIN_BODY_SPACE_BYTES: usize = 1 << 10;
/// How long a caller's bytes are read while its connection is being closed. Closing with unread bytes resets
/// the connection, and the caller may lose the answer.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of one of these reads, in bytes; small, because many connections may be closed at the same time.
const LINGER_BUFFER_BYTES: usize = 4 << 10;
/// Maximum number of a caller's bytes that are read while its connection is being closed.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// Writes the refusal for an error; the connection must be closed afterwards.
pub(super) async fn send_refusal(
    stream: &TcpStream,
    error: &Error,
    timeout: Duration,
) -> std::result::Result<(), WriteError> {
    let mut response = answer::refusal(error);
    response.insert_header("connection", "close");
    write(
        stream,
        response,
        Method::Get,
        timeout,
        std::future::pending(),
        || {},
    )
    .await
}

/// Why an answer was not completely written, with the underlying error.
type WriteError = (UnwrittenReason, io::Error);

/// Writes an answer; `timeout` applies to each part of it, and `progress` is called after each. After an error the connection must be closed, so
/// that the caller detects the incomplete answer.
///
/// # Errors
/// `AnswerCut` if the body fails, `CallerSlow` after the timeout, and `CallerGone` if the connection fails or
/// `disconnected` ends while the next part of the body is awaited: the upstream must not continue to work for
/// a caller that has disconnected.
pub(super) async fn write(
    mut stream: &TcpStream,
    response: Response,
    method: Method,
    timeout: Duration,
    disconnected: impl Future<Output = ()>,
    progress: impl Fn(),
) -> std::result::Result<(), WriteError> {
    let cut = |e: io::Error| (UnwrittenReason::AnswerCut, e);
    let mut encoder = Encoder::new(response, method);
    let mut disconnected = Box::pin(disconnected);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let mut count = match select(encoder.read(&mut buffer), &mut disconnected).await {
            Either::Left((read, _)) => read.map_err(cut)?,
            Either::Right(_) => {
                return Err((
                    UnwrittenReason::CallerGone,
                    io::ErrorKind::ConnectionAborted.into(),
                ));
            }
        };
        if count == 0 {
            return Ok(());
        }
        let mut failed = None;
        // If the body is ready, head and body are sent in one segment.
        if buffer.len() - count >= MIN_BODY_SPACE_BYTES {
            match futures::poll!(Box::pin(encoder.read(&mut buffer[count..]))) {
                Poll::Ready(Ok(more)) => count += more,
                Poll::Ready(Err(e)) => failed = Some(e),
                Poll::Pending => {}
            }
        }
        let written = future::timeout(timeout, stream.write_all(&buffer[..count])).await;
        written
            .map_err(|_| (UnwrittenReason::CallerSlow, io::ErrorKind::TimedOut.into()))?
            .map_err(|e| (UnwrittenReason::CallerGone, e))?;
        progress();
        if let Some(e) = failed {
            return Err(cut(e));
        }
    }
}

/// Closes a connection whose caller may still be sending, after reading some of what it sends.
pub(super) async fn lingering_close(mut stream: TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut buffer = [0; LINGER_BUFFER_BYTES];
    let drain = async {
        let mut total = 0;
        while total < MAX_LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(count @ 1..) => total += count,
                _ => return,
            }
        }
    };
    let _ = future::timeout(LINGER_TIMEOUT, drain).await;
}
