//! Buffered reads from an HTTP/1.1 connection, and the framing of message bodies.
//!
//! Message bodies are decoded here instead of in async-h1, whose reader loses the bytes that it reads past
//! the end of a message, and whose chunk decoder stalls when the last line arrives in two parts.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use async_std::io::Read;
use async_std::io::Write;
use async_std::net::TcpStream;

/// Largest read into the buffer of a connection, in bytes.
const MAX_FILL_BYTES: usize = 16 << 10;
/// Longest line with a chunk size and its extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Longest trailer section of a chunked body, in bytes; trailers are discarded.
const MAX_TRAILER_BYTES: usize = 8 << 10;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A connection with a buffer of the bytes that were read and not consumed.
pub(crate) struct BufferedStream {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// Position of the first byte that was not consumed.
    start: usize,
    /// Error of the connection that a write has returned.
    write_error: Option<io::Error>,
}

impl BufferedStream {
    /// Wraps a connection from which nothing was read.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
            start: 0,
            write_error: None,
        }
    }

    /// Makes the end of the connection an error. The kernel reports a reset only once: after a write has returned it,
    /// reads return the bytes that arrived before it and then a normal end.
    pub(crate) fn set_write_error(&mut self, error: io::Error) {
        self.write_error = Some(error);
    }

    /// Bytes that were read and not consumed.
    pub(crate) fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Removes bytes from the front of the buffer.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            // An idle connection keeps no buffer.
            self.bytes = Vec::new();
            self.start = 0;
        }
    }

    /// Reads more bytes into the buffer and returns their number; 0 is the end of the connection.
    pub(crate) fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        // On the stack, so that a connection that waits for bytes holds no space for them.
        let mut part = [0; MAX_FILL_BYTES];
        let count = ready!(self.poll_read(cx, &mut part))?;
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(&part[..count]);
        Poll::Ready(Ok(count))
    }

    /// Reads from the socket, past the buffer; 0 is the end of the connection.
    fn poll_read(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        match &self.write_error {
            Some(error) if count == 0 => {
                let error = io::Error::new(io::ErrorKind::ConnectionReset, error.to_string());
                Poll::Ready(Err(error))
            }
            _ => Poll::Ready(Ok(count)),
        }
    }
}

/// How the length of a message body is determined (RFC 9112 section 6).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A known number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with the connection; only in responses.
    UntilClose,
}

/// The part of the body that is read next.
#[derive(Debug, Clone, Copy)]
enum State {
    /// This many bytes of a body with a known length.
    Data(u64),
    /// The line with the size of a chunk.
    ChunkLine,
    /// This many bytes of a chunk.
    Chunk(u64),
    /// The CR LF after a chunk.
    ChunkEnd,
    /// Trailers, of which this many bytes were read.
    Trailers(usize),
    /// A body that ends with the connection.
    UntilClose,
    /// The body has ended.
    Done,
}

struct Inner {
    conn: BufferedStream,
    state: State,
    /// Rest of the interim response that must be written before the body is read.
    interim: &'static [u8],
    /// Whether the time for reading the body has run out, so that reads fail.
    expired: bool,
    /// An error that was found behind bytes that were returned first.
    error: Option<io::Error>,
    /// Wakes the task that waits for the body.
    waker: Option<Waker>,
}

/// Reads one message body from a connection; clones share the connection and the position in the body.
#[derive(Clone)]
pub(crate) struct BodyReader(Arc<Mutex<Inner>>);

impl BodyReader {
    /// A reader for the body that follows in the connection.
    pub(crate) fn new(conn: BufferedStream, framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Self(Arc::new(Mutex::new(Inner {
            conn,
            state,
            interim: &[],
            expired: false,
            error: None,
            waker: None,
        })))
    }

    /// Makes the first read of the body send `100 Continue`, unless bytes of the body have already arrived.
    pub(crate) fn expect_continue(&self) {
        let mut inner = self.0.lock().unwrap();
        if inner.conn.data().is_empty() && !matches!(inner.state, State::Done) {
            inner.interim = CONTINUE_RESPONSE;
        }
    }

    /// Makes reads fail with `TimedOut` from now on, unless the body was read to its end.
    pub(crate) fn expire(&self) {
        let mut inner = self.0.lock().unwrap();
        inner.expired = true;
        if let Some(waker) = inner.waker.take() {
            waker.wake();
        }
    }

    /// Whether the body was read to its end.
    pub(crate) fn is_done(&self) -> bool {
        matches!(self.0.lock().unwrap().state, State::Done)
    }

    /// Takes the connection if the body was read to its end; later reads still return the end of the body.
    pub(crate) fn take_conn(&self) -> Option<BufferedStream> {
        let mut inner = self.0.lock().unwrap();
        if !matches!(inner.state, State::Done) {
            return None;
        }
        let stream = inner.conn.stream.clone();
        Some(std::mem::replace(&mut inner.conn, BufferedStream::new(stream)))
    }
}

impl Read for BodyReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut inner = self.0.lock().unwrap();
        if out.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if inner.expired && !matches!(inner.state, State::Done) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        inner.waker = Some(cx.waker().clone());
        ready!(inner.poll_interim(cx))?;
        inner.poll_parts(cx, out)
    }
}

impl Inner {
    fn poll_interim(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.interim.is_empty() {
            let count = ready!(Pin::new(&mut self.conn.stream).poll_write(cx, self.interim))?;
            self.interim = &self.interim[count..];
        }
        Poll::Ready(Ok(()))
    }

    /// Reads as many chunks as have arrived. A read for each chunk takes too much processor time if a body consists of
    /// chunks of one byte.
    fn poll_parts(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Err(error));
        }
        let mut filled = 0;
        loop {
            match self.poll_body(cx, &mut out[filled..]) {
                Poll::Ready(Ok(count)) => {
                    filled += count;
                    if count == 0 || filled == out.len() || self.conn.data().is_empty() {
                        return Poll::Ready(Ok(filled));
                    }
                }
                Poll::Ready(Err(error)) if filled > 0 => {
                    self.error = Some(error);
                    return Poll::Ready(Ok(filled));
                }
                Poll::Pending if filled > 0 => return Poll::Ready(Ok(filled)),
                ended => return ended,
            }
        }
    }

    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.state {
                State::Done => return Poll::Ready(Ok(0)),
                State::Data(left) => {
                    let count = ready!(self.poll_data(cx, out, left))?;
                    self.state = state_after_read(left, count, State::Data, State::Done);
                    return Poll::Ready(Ok(count));
                }
                State::Chunk(left) => {
                    let count = ready!(self.poll_data(cx, out, left))?;
                    self.state = state_after_read(left, count, State::Chunk, State::ChunkEnd);
                    return Poll::Ready(Ok(count));
                }
                State::ChunkLine => {
                    let line = ready!(self.poll_line(cx, MAX_CHUNK_LINE_BYTES))?;
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    if !ready!(self.poll_line(cx, 0))?.is_empty() {
                        return Poll::Ready(Err(invalid("bytes after a chunk")));
                    }
                    self.state = State::ChunkLine;
                }
                State::Trailers(used) => {
                    let line = ready!(self.poll_line(cx, MAX_TRAILER_BYTES - used))?;
                    self.state = match line.len() {
                        0 => State::Done,
                        length => State::Trailers(used + length),
                    };
                }
                State::UntilClose => {
                    if !self.conn.data().is_empty() {
                        return Poll::Ready(Ok(self.copy_buffered(out, u64::MAX)));
                    }
                    let count = ready!(self.conn.poll_read(cx, out))?;
                    if count == 0 {
                        self.state = State::Done;
                    }
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }

    /// Moves at most `left` bytes from the buffer to `out`.
    fn copy_buffered(&mut self, out: &mut [u8], left: u64) -> usize {
        let data = self.conn.data();
        let count = data.len().min(out.len());
        let count = usize::try_from(left).map_or(count, |left| count.min(left));
        out[..count].copy_from_slice(&data[..count]);
        self.conn.consume(count);
        count
    }

    /// Reads at most `left` bytes, from the buffer or else from the socket.
    fn poll_data(&mut self, cx: &mut Context<'_>, out: &mut [u8], left: u64) -> Poll<io::Result<usize>> {
        if !self.conn.data().is_empty() {
            return Poll::Ready(Ok(self.copy_buffered(out, left)));
        }
        let max = usize::try_from(left).map_or(out.len(), |left| out.len().min(left));
        let count = ready!(self.conn.poll_read(cx, &mut out[..max]))?;
        if count == 0 {
            return Poll::Ready(Err(truncated()));
        }
        Poll::Ready(Ok(count))
    }

    /// Reads a line and returns it without its CR LF; `limit` is in bytes.
    fn poll_line(&mut self, cx: &mut Context<'_>, limit: usize) -> Poll<io::Result<Vec<u8>>> {
        loop {
            let data = self.conn.data();
            if let Some(end) = data.iter().position(|b| *b == b'\n') {
                if end == 0 || data[end - 1] != b'\r' || end - 1 > limit {
                    return Poll::Ready(Err(invalid("a bad line in a chunked body")));
                }
                let line = data[..end - 1].to_vec();
                self.conn.consume(end + 1);
                return Poll::Ready(Ok(line));
            }
            if data.len() > limit + 1 {
                return Poll::Ready(Err(invalid("a line in a chunked body is too long")));
            }
            if ready!(self.conn.poll_fill(cx))? == 0 {
                return Poll::Ready(Err(truncated()));
            }
        }
    }
}

/// The state after `count` of `left` bytes were read: `more` with the rest, or `end`.
fn state_after_read(left: u64, count: usize, more: fn(u64) -> State, end: State) -> State {
    match left - count as u64 {
        0 => end,
        left => more(left),
    }
}

fn chunk_size(line: &[u8]) -> io::Result<u64> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    // `from_str_radix` also accepts a sign.
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(invalid("a bad chunk size"));
    }
    let text = std::str::from_utf8(digits).map_err(|_| invalid("a bad chunk size"))?;
    u64::from_str_radix(text, 16).map_err(|_| invalid("a chunk size over 64 bits"))
}

fn invalid(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn truncated() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the connection ended before the body",
    )
}
