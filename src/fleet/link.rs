//! Messages over one TCP connection: a length of four bytes, little-endian, and the message in postcard form.
//!
//! Both sides send a message at least every [`HEARTBEAT_PERIOD`]. A side that receives nothing for
//! [`IDLE_TIMEOUT`] closes the connection, because a network failure may break it without an error at either
//! end.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use prometheus::IntCounterVec;
use prometheus::Opts;
use strum::VariantNames;

use crate::fleet::message::Frame;

/// Longest time between two messages of one side.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// A connection without a message for this time is closed: three heartbeat periods and the delay of a busy
/// VM.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle timeout at an entry VM. It is shorter because an entry VM can connect to another control VM at once
/// and gets no tokens until then. A control VM sends to each entry VM every 150 ms.
pub const ENTRY_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit for opening a connection; the slowest path between failure domains takes some 20 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Messages that may wait to be written. The connection is closed if the other side reads too slowly for
/// this.
const QUEUE_FRAMES: usize = 1_024;
/// Queued messages are combined into one write until it has at least this size.
const WRITE_BATCH_BYTES: usize = 64 << 10;
/// Size limit of a message; the largest supported configuration takes 55 MB.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Size of the length field before each message.
const LENGTH_BYTES: usize = 4;
/// Largest number of bytes per read from the socket.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// The sending side of a connection; clones share it.
#[derive(Debug, Clone)]
pub struct Link {
    queue: Sender<Vec<u8>>,
    stream: TcpStream,
}

impl Link {
    /// Sends a message without waiting. A full queue closes the connection: the other side would miss a
    /// message, so it has to connect again and get the whole state.
    pub fn send(&self, frame: &Frame) {
        match encode(frame) {
            Ok(bytes) => self.send_bytes(bytes),
            Err(e) => log::error!("message not sent, encoding failed: {e}"),
        }
    }

    /// Sends a message that [`encode`] returned; otherwise like [`Link::send`].
    pub fn send_bytes(&self, bytes: Vec<u8>) {
        count_sent(&bytes);
        if self.queue.try_send(bytes).is_err() {
            self.close();
        }
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.queue.close();
        // Fails only if the connection is already closed.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The receiving side of a connection.
pub struct Reader {
    stream: TcpStream,
    bytes: Vec<u8>,
    idle_timeout: Duration,
}

impl Reader {
    /// Replaces [`IDLE_TIMEOUT`] for this connection.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    /// The next message.
    ///
    /// # Errors
    /// `TimedOut` if nothing arrives within the idle timeout, `InvalidData` for bytes that are not a message,
    /// `UnexpectedEof` if the connection was closed, and other errors of the connection.
    pub async fn next(&mut self) -> io::Result<Frame> {
        loop {
            if let Some(frame) = self.decode_next()? {
                return Ok(frame);
            }
            let held = self.bytes.len();
            self.bytes.resize(held + READ_CHUNK_BYTES, 0);
            let read = future::timeout(self.idle_timeout, self.stream.read(&mut self.bytes[held..])).await;
            let count = read.map_err(|_| io::ErrorKind::TimedOut)??;
            self.bytes.truncate(held + count);
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Decodes the next message if all its bytes have arrived.
    fn decode_next(&mut self) -> io::Result<Option<Frame>> {
        let Some(length) = self.bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(invalid(format!(
                "message of {length} bytes exceeds {MAX_FRAME_BYTES}"
            )));
        }
        let end = LENGTH_BYTES + length;
        if self.bytes.len() < end {
            return Ok(None);
        }
        let frame = postcard::from_bytes(&self.bytes[LENGTH_BYTES..end]);
        self.bytes.drain(..end);
        frame.map(Some).map_err(|e| invalid(e.to_string()))
    }
}

/// Bytes of the messages that this process sent to others, by kind.
static SENT_BYTES: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let name = "zinnia_link_sent_bytes_total";
    let opts = Opts::new(name, "Bytes of messages to other VMs, by kind of message");
    let counters = IntCounterVec::new(opts, &["kind"]);
    let registered = counters.and_then(|c| prometheus::register(Box::new(c.clone())).map(|()| c));
    registered
        .inspect_err(|e| log::warn!("metric {name} not registered: {e}"))
        .ok()
});

/// Counts an encoded message. Its kind is the number of its variant, which follows the length in one byte.
fn count_sent(bytes: &[u8]) {
    let kind = bytes.get(LENGTH_BYTES).map(|kind| usize::from(*kind));
    let kind = kind.and_then(|kind| Frame::VARIANTS.get(kind));
    if let (Some(counters), Some(kind)) = (SENT_BYTES.as_ref(), kind) {
        counters.with_label_values(&[kind]).inc_by(bytes.len() as u64);
    }
}

fn invalid(text: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// The bytes of a message with its length, to send it on several connections.
///
/// # Errors
/// `InvalidData` if it is larger than 64 MiB.
pub fn encode(frame: &Frame) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_extend(frame, vec![0; LENGTH_BYTES]);
    let mut bytes = bytes.map_err(|e| invalid(e.to_string()))?;
    let length = bytes.len() - LENGTH_BYTES;
    let header = u32::try_from(length).ok().filter(|_| length <= MAX_FRAME_BYTES);
    let header =
        header.ok_or_else(|| invalid(format!("message of {length} bytes exceeds {MAX_FRAME_BYTES}")))?;
    bytes[..LENGTH_BYTES].copy_from_slice(&header.to_le_bytes());
    Ok(bytes)
}

/// Opens a connection to another process.
///
/// # Errors
/// `TimedOut` after 400 ms, and the errors of connecting.
pub async fn connect(address: SocketAddr) -> io::Result<(Link, Reader)> {
    let stream = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    Ok(spawn(stream.map_err(|_| io::ErrorKind::TimedOut)??))
}

/// Starts the task that writes the messages of a connection.
pub fn spawn(stream: TcpStream) -> (Link, Reader) {
    // An error only costs latency, so the connection is used all the same.
    let _ = stream.set_nodelay(true);
    let (queue, queued) = channel::bounded(QUEUE_FRAMES);
    task::spawn(write(stream.clone(), queued));
    let reader = Reader {
        stream: stream.clone(),
        bytes: Vec::new(),
        idle_timeout: IDLE_TIMEOUT,
    };
    (Link { queue, stream }, reader)
}

async fn write(mut stream: TcpStream, queued: Receiver<Vec<u8>>) {
    while let Ok(mut bytes) = queued.recv().await {
        while bytes.len() < WRITE_BATCH_BYTES
            && let Ok(more) = queued.try_recv()
        {
            bytes.extend_from_slice(&more);
        }
        let written = future::timeout(IDLE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
    }
    queued.close();
    // Ends the reader of this side as well, so that the task that reads from it connects again.
    let _ = stream.shutdown(Shutdown::Both);
}
