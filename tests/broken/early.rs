//! An upstream that answers before it has read the whole request, and ends its connections in a chosen way.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;

use crate::fakes::Entry;
use crate::fakes::any_port;
use crate::fakes::header;
use crate::fakes::limits;
use crate::fakes::read_all;
use crate::fakes::request;
use crate::script::OK;

/// More than the kernel takes for an upstream that doesn't read, so that the answer ends while the proxy writes.
pub const HUGE_UPLOAD: usize = 12 << 20;
/// Longer than any request in these tests.
const READ_LIMIT: Duration = Duration::from_secs(8);
/// How often a request is sent that didn't reach its upstreams.
const MAX_SENDS: usize = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Closes the socket with unread bytes, for which the kernel sends a reset.
    Reset,
    /// Ends the answer, then reads the rest of the request.
    Close,
    /// Ends the answer, then closes the socket with unread bytes.
    CloseThenReset,
}

/// What the upstream does with a request.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Whether each connection first answers a request without a body with [`OK`].
    pub warm: bool,
    /// Bytes of the body that are read before the answer.
    pub read: usize,
    pub answer: Vec<u8>,
    pub end: End,
    /// Time between the answer and the reset.
    pub pause: Duration,
}

pub struct EarlyUpstream {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    behaviours: Vec<Behaviour>,
    /// Index of the behaviour in force.
    selected: AtomicUsize,
    /// Requests of which the head was read, without the first one of a warm connection.
    requests: AtomicUsize,
}

impl EarlyUpstream {
    /// Starts an upstream that does the same with each request.
    pub async fn start(behaviour: Behaviour) -> Self {
        Self::start_all(vec![behaviour]).await
    }

    /// Starts an upstream that does the first of these until [`Self::select`] is called.
    pub async fn start_all(behaviours: Vec<Behaviour>) -> Self {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            behaviours,
            selected: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&state);
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self { address, state }
    }

    /// Sets the behaviour of the requests that follow.
    pub fn select(&self, number: usize) {
        self.state.selected.store(number, Ordering::SeqCst);
    }

    /// An upstream that answers each request with [`OK`].
    pub async fn sound() -> Self {
        Self::start(Behaviour {
            warm: false,
            read: 0,
            answer: OK.into(),
            end: End::Close,
            pause: Duration::ZERO,
        })
        .await
    }

    fn requests(&self) -> usize {
        self.state.requests.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    if state.behaviours[0].warm {
        if !read_until(&mut stream, "\r\n\r\n").await {
            return;
        }
        let _ = stream.write_all(OK.as_bytes()).await;
    }
    // The last byte of the head stays unread, so that closing the socket resets the connection.
    if !read_until(&mut stream, "\r\n\r").await {
        return;
    }
    state.requests.fetch_add(1, Ordering::SeqCst);
    let behaviour = &state.behaviours[state.selected.load(Ordering::SeqCst)];
    let _ = stream.read_exact(&mut vec![0; behaviour.read]).await;
    let _ = stream.write_all(&behaviour.answer).await;
    if behaviour.end != End::Reset {
        let _ = stream.shutdown(Shutdown::Write);
    }
    if behaviour.end == End::Close {
        let mut part = vec![0; 64 << 10];
        let rest = async { while let Ok(1..) = stream.read(&mut part).await {} };
        let _ = future::timeout(READ_LIMIT, rest).await;
        return;
    }
    let _ = future::timeout(READ_LIMIT, stream.peek(&mut [0])).await;
    task::sleep(behaviour.pause).await;
}

/// Sends a request, and returns its answer and how often each upstream got it.
///
/// The proxy goes on without an upstream to which a connection isn't open within 150 ms, as may happen on a busy machine.
/// So the request is sent again if it didn't reach the first upstream, or was refused by the proxy without reaching the
/// first `reached` of them.
pub async fn send_reaching(
    upstreams: &[&EarlyUpstream],
    reached: usize,
    send: impl AsyncFn() -> String,
) -> (String, Vec<usize>) {
    let mut last = String::new();
    for _ in 0..MAX_SENDS {
        let before: Vec<usize> = upstreams.iter().map(|u| u.requests()).collect();
        last = send().await;
        let after = upstreams.iter().map(|u| u.requests());
        let counts: Vec<usize> = after.zip(before).map(|(after, before)| after - before).collect();
        let is_refusal = header(&last, "zinnia-code").is_some();
        if counts[0] > 0 && !(is_refusal && counts[..reached].contains(&0)) {
            return (last, counts);
        }
    }
    panic!("no request reached {reached} upstreams; the last answer: {last:.300}");
}

/// A proxy that accepts uploads of twice [`HUGE_UPLOAD`].
pub async fn entry(upstreams: &[&EarlyUpstream]) -> Entry {
    let addresses: Vec<_> = upstreams.iter().map(|u| u.address).collect();
    let mut limits = limits();
    limits.read_timeout = READ_LIMIT;
    let entry = Entry::start_all(&addresses, limits, |settings| {
        settings.body_limit = 2 * HUGE_UPLOAD;
        settings.body_memory = 4 * HUGE_UPLOAD;
        settings.read_timeout = READ_LIMIT;
        settings.request_timeout = READ_LIMIT;
    })
    .await;
    *entry.fakes.reuse_timeout.lock().unwrap() = READ_LIMIT;
    entry.fakes.retries.store(usize::MAX, Ordering::SeqCst);
    entry
}

/// Sends an upload and reads until the proxy closes the connection.
pub async fn upload(entry: &Entry, method: &str, headers: &str, length: usize) -> String {
    let mut stream = TcpStream::connect(entry.server.address()).await.unwrap();
    let headers = format!("{headers}content-length: {length}\r\nconnection: close\r\n");
    let mut bytes = request(method, "/forecast", &headers).into_bytes();
    bytes.resize(bytes.len() + length, b'u');
    stream.write_all(&bytes).await.unwrap();
    read_all(&mut stream).await
}

/// Reads byte by byte up to a text; false if the connection ended before it.
async fn read_until(stream: &mut TcpStream, end: &str) -> bool {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end.as_bytes()) {
        if stream.read_exact(&mut byte).await.is_err() {
            return false;
        }
        text.push(byte[0]);
    }
    true
}
