//! HTTP/1.1 server with connection limits, timeouts and graceful stop.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::io::BufReader;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;
use log::info;
use log::warn;
use tide::http::Body;
use tide::http::Request;
use tide::http::Response;

use crate::code::Code;
use crate::connection_budget::Holding;
use crate::error::Error;
use crate::error::Result;
use crate::frame::BodyReader;
use crate::frame::BufferedStream;
use crate::frame::Framing;
use crate::head;
use crate::head::Head;
use crate::logger::LogRateLimit;

mod caller;
mod limits;
mod memory;
mod pending;
mod write;

use self::memory::MAX_HEAD_HELD_BYTES;
use self::memory::Phase;
use self::pending::Exchange;
use self::pending::PendingGuard;
use self::pending::PendingTable;
use self::write::LINGER_TIMEOUT;
use self::write::lingering_close;
use self::write::send_refusal;
use self::write::write;

pub use self::caller::Caller;
pub use self::limits::Limits;
pub use self::pending::PendingRequest;
pub use self::pending::UnwrittenReason;

/// Delay after a failed accept, which usually means that the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections over the limit that get a refusal at the same time; others are closed without an answer.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Interval at which a stop checks whether all connections are closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Buffer of the reader that a body needs, in bytes; handlers read with larger buffers, which bypass it.
const BODY_BUFFER_BYTES: usize = 512;

/// Request handler of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. It is not cancelled when the caller disconnects; see [`Caller::disconnected`].
    ///
    /// If it does not read the body to its end, the connection is closed after the answer.
    fn respond(&self, request: Request, caller: Caller) -> impl Future<Output = Response> + Send;

    /// Counts a request that was refused before it reached the handler.
    fn count_refusal(&self, _code: Code) {}

    /// Counts an answer that was not completely written.
    fn count_unwritten(&self, _reason: UnwrittenReason) {}
}

/// What all tasks of a server share.
struct Shared<H> {
    address: SocketAddr,
    handler: Arc<H>,
    limits: Limits,
    state: Arc<State>,
    /// Closed when the server stops; nothing is sent on it.
    stop_signal: Receiver<Infallible>,
    log_rates: LogRates,
}

/// Rate limits of the log lines that callers can cause without sending a valid request.
#[derive(Default)]
struct LogRates {
    accepts: LogRateLimit,
    refusals: LogRateLimit,
    heads: LogRateLimit,
    evictions: LogRateLimit,
}

#[derive(Default)]
struct State {
    connections: AtomicUsize,
    pending: PendingTable,
    /// Connections over the limit that are being refused.
    refusals: AtomicUsize,
    /// Whether each answer closes its connection.
    draining: AtomicBool,
}

/// A running HTTP server; dropping it stops accepting and closes idle connections.
pub struct HttpServer {
    address: SocketAddr,
    state: Arc<State>,
    /// Dropping the sender stops the accept loop and closes idle connections.
    stop: Mutex<Option<Sender<Infallible>>>,
}

impl HttpServer {
    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Number of requests whose head was read and whose answer is not completely written.
    pub fn requests(&self) -> usize {
        self.state.pending.count()
    }

    /// The requests that [`HttpServer::requests`] counts, the oldest first.
    pub fn pending(&self) -> Vec<Arc<PendingRequest>> {
        self.state.pending.list()
    }

    /// Continues to accept connections and requests, but sends `connection: close` with each answer.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
    }

    /// Stops accepting and closes idle connections; requests in progress continue.
    pub fn close(&self) {
        self.drain();
        self.stop.lock().unwrap().take();
    }

    /// Stops accepting, closes idle connections and waits until requests in progress are answered.
    ///
    /// Returns the number of connections that are still open after `timeout`.
    pub async fn stop(&self, timeout: Duration) -> usize {
        self.close();
        let end = Instant::now() + timeout;
        while self.connections() > 0 && Instant::now() < end {
            task::sleep(STOP_POLL_INTERVAL).await;
        }
        self.connections()
    }
}

/// Binds an address and starts a server on it.
///
/// # Errors
/// `Bind` if the address cannot be bound.
pub async fn bind<H: Handler>(address: SocketAddr, limits: Limits, handler: Arc<H>) -> Result<HttpServer> {
    let failed = |e: io::Error| Error::new(Code::Bind, format!("{address}: {e}"));
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (stop, stop_signal) = channel::bounded(1);
    let state = Arc::new(State::default());
    let shared = Shared {
        address,
        handler,
        limits,
        state: Arc::clone(&state),
        stop_signal,
        log_rates: LogRates::default(),
    };
    task::spawn(accept_loop(listener, Arc::new(shared)));
    Ok(HttpServer {
        address,
        state,
        stop: Mutex::new(Some(stop)),
    })
}

async fn accept_loop<H: Handler>(listener: TcpListener, shared: Arc<Shared<H>>) {
    loop {
        let next = Box::pin(listener.accept());
        let stop = Box::pin(shared.stop_signal.recv());
        let accepted = match select(next, stop).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                if let Some(skipped) = shared.log_rates.accepts.admit(Instant::now()) {
                    let port = shared.address;
                    warn!("accept failed: port={port} skipped={skipped} detail=\"{e}\"");
                }
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        match ConnectionGuard::acquire(&shared.state, shared.limits.max_connections) {
            Some(guard) => task::spawn(async move {
                serve_connection(&shared, stream, address).await;
                drop(guard);
            }),
            None => task::spawn(async move { refuse_connection(&shared, stream, address).await }),
        };
    }
}

/// Counts one open connection until it is dropped, also when the connection's task panics.
struct ConnectionGuard(Arc<State>);

impl ConnectionGuard {
    /// `None` if `limit` connections are open.
    fn acquire(state: &Arc<State>, limit: usize) -> Option<Self> {
        let guard = Self(Arc::clone(state));
        let before = state.connections.fetch_add(1, Ordering::SeqCst);
        (before < limit).then_some(guard)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Refuses a connection over the limit; closes it without an answer if [`MAX_CONCURRENT_REFUSALS`] others are
/// being refused.
async fn refuse_connection<H: Handler>(shared: &Shared<H>, stream: TcpStream, caller: SocketAddr) {
    shared.handler.count_refusal(Code::Overloaded);
    if let Some(skipped) = shared.log_rates.refusals.admit(Instant::now()) {
        let (port, limit) = (shared.address, shared.limits.max_connections);
        warn!("connection refused: port={port} caller={caller} limit={limit} skipped={skipped}");
    }
    if shared.state.refusals.fetch_add(1, Ordering::SeqCst) < MAX_CONCURRENT_REFUSALS {
        let error = Error::new(Code::Overloaded, "too many connections to this VM");
        let _ = send_refusal(&stream, &error, LINGER_TIMEOUT).await;
        lingering_close(stream).await;
    }
    shared.state.refusals.fetch_sub(1, Ordering::SeqCst);
}

/// Serves the requests of one connection until it is closed.
async fn serve_connection<H: Handler>(shared: &Shared<H>, stream: TcpStream, address: SocketAddr) {
    let mut conn = BufferedStream::new(stream.clone());
    let holding = shared.limits.budget.register();
    let mut timeout = shared.limits.read_timeout;
    loop {
        holding.hold(conn.data().len(), None);
        if conn.data().is_empty() && !wait_readable(shared, &stream, timeout).await {
            return;
        }
        timeout = shared.limits.idle_timeout;
        let head = match read_head(shared, &mut conn, &holding, address).await {
            Ok(head) => head,
            Err(e) if e.code == Code::Io => {
                // A caller may close its connection between requests.
                if !conn.data().is_empty() {
                    log_refused_head(shared, address, &e, false);
                }
                return;
            }
            Err(e) => {
                shared.handler.count_refusal(e.code);
                let sent = send_refusal(&stream, &e, shared.limits.write_timeout).await;
                log_refused_head(shared, address, &e, sent.is_ok());
                drop((conn, holding));
                return lingering_close(stream).await;
            }
        };
        let guard = PendingGuard::new(&shared.state.pending, address);
        let caller = Caller {
            address,
            stream: stream.clone(),
            pending: Arc::clone(&guard.request),
        };
        match serve_request(shared, head, conn, caller, guard, &holding).await {
            AfterRequest::Reuse(rest) => conn = rest,
            AfterRequest::LingeringClose => {
                drop(holding);
                return lingering_close(stream).await;
            }
            AfterRequest::Close => return,
        }
    }
}

/// Reads one head; fails with `Overloaded` if there is no memory for it.
async fn read_head<H: Handler>(
    shared: &Shared<H>,
    conn: &mut BufferedStream,
    holding: &Holding,
    caller: SocketAddr,
) -> Result<Head> {
    if !holding.hold(MAX_HEAD_HELD_BYTES, Some(Instant::now())) {
        return Err(no_memory(shared, caller, Phase::Head));
    }
    let read = Box::pin(head::read(conn, shared.limits.read_timeout));
    let head = match select(read, Box::pin(holding.evicted())).await {
        Either::Left((head, _)) => head?,
        Either::Right(_) => return Err(no_memory(shared, caller, Phase::Head)),
    };
    if !holding.hold(head.held_bytes(), Some(Instant::now())) {
        return Err(no_memory(shared, caller, Phase::Head));
    }
    Ok(head)
}

/// Logs and counts a connection that gives way because connections hold too much memory, and returns the error for it.
fn no_memory<H>(shared: &Shared<H>, caller: SocketAddr, phase: Phase) -> Error {
    let name: &'static str = phase.into();
    memory::count_eviction(name);
    let budget = &shared.limits.budget;
    let (used, limit) = (budget.used(), budget.limit());
    if let Some(skipped) = shared.log_rates.evictions.admit(Instant::now()) {
        let port = shared.address;
        warn!(
            "no memory for a connection: port={port} caller={caller} phase={name} used={used} limit={limit} skipped={skipped}"
        );
    }
    let detail = format!("connections hold {used} of {limit} bytes");
    Error::new(Code::Overloaded, detail)
}

fn log_refused_head<H>(shared: &Shared<H>, caller: SocketAddr, error: &Error, answered: bool) {
    if let Some(skipped) = shared.log_rates.heads.admit(Instant::now()) {
        info!(
            "head refused: port={} caller={caller} code={} answered={answered} skipped={skipped} detail=\"{}\"",
            shared.address,
            error.code.number(),
            error.detail
        );
    }
}

/// What to do with a connection after a request.
enum AfterRequest {
    /// Read the next request.
    Reuse(BufferedStream),
    /// Close it, but first read what the caller still sends, so that the caller gets the whole answer.
    LingeringClose,
    /// Close it at once, so that the caller detects an incomplete answer.
    Close,
}

/// Reads and answers one request whose head was read.
async fn serve_request<H: Handler>(
    shared: &Shared<H>,
    head: Head,
    conn: BufferedStream,
    caller: Caller,
    guard: PendingGuard<'_>,
    holding: &Holding,
) -> AfterRequest {
    let held_bytes = head.held_bytes();
    let exchange = Exchange::new(&*shared.handler, guard);
    let mut request = head.request;
    let method = request.method();
    let stream = caller.stream.clone();
    let body = BodyReader::new(conn, head.framing);
    if head.expects_continue {
        body.expect_continue();
    }
    attach_body(&mut request, &body, head.framing);
    request.set_peer_addr(Some(caller.address));
    let mut response = call_handler(shared, request, caller.clone(), &body, (holding, held_bytes)).await;
    let handler_closes = response
        .header("connection")
        .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let draining = shared.state.draining.load(Ordering::SeqCst);
    let close = head.close || handler_closes || draining || !body.is_done();
    if close {
        response.insert_header("connection", "close");
    }
    holding.keep(
        held_bytes + memory::answer_bytes(response.len()),
        Some(Instant::now()),
    );
    let progress = || holding.touch(Instant::now());
    let disconnected = caller.disconnected();
    let timeout = shared.limits.write_timeout;
    let write = write(&stream, response, method, timeout, disconnected, progress);
    let written = match select(Box::pin(write), Box::pin(holding.evicted())).await {
        Either::Left((written, _)) => written,
        Either::Right(_) => {
            let error = no_memory(shared, caller.address, Phase::Answer);
            Err((UnwrittenReason::Evicted, io::Error::other(error.detail)))
        }
    };
    if let Err((reason, e)) = written {
        exchange.record_unwritten(reason, &e.to_string());
        return AfterRequest::Close;
    }
    match body.take_conn() {
        Some(conn) if !close => AfterRequest::Reuse(conn),
        _ => AfterRequest::LingeringClose,
    }
}

/// Calls the handler; reads of a body that has not arrived within the read timeout fail.
async fn call_handler<H: Handler>(
    shared: &Shared<H>,
    request: Request,
    caller: Caller,
    body: &BodyReader,
    (holding, held_bytes): (&Holding, usize),
) -> Response {
    let pending = Arc::clone(&caller.pending);
    let address = caller.address;
    let respond = shared.handler.respond(request, caller);
    if body.is_done() {
        holding.keep(held_bytes, None);
        return respond.await;
    }
    let expire = async {
        let timeout = Box::pin(task::sleep(shared.limits.read_timeout));
        let is_evicted = matches!(
            select(timeout, Box::pin(holding.evicted())).await,
            Either::Right(_)
        );
        if body.is_done() {
            // The request runs, so it still holds its memory.
            holding.keep(held_bytes, None);
        } else if is_evicted {
            no_memory(shared, address, Phase::Body);
        } else {
            let (id, caller, ms) = (pending.id(), pending.caller, pending.millis());
            info!("body not read in time: id={id} caller={caller} ms={ms}");
        }
        body.expire();
    };
    futures::pin_mut!(respond, expire);
    match select(respond, expire).await {
        Either::Left((response, _)) => response,
        Either::Right(((), respond)) => respond.await,
    }
}

fn attach_body(request: &mut Request, body: &BodyReader, framing: Framing) {
    let length = match framing {
        Framing::Length(0) => return,
        Framing::Length(length) => usize::try_from(length).ok(),
        _ => None,
    };
    let untyped = request.header("content-type").is_none();
    request.set_body(Body::from_reader(
        BufReader::with_capacity(BODY_BUFFER_BYTES, body.clone()),
        length,
    ));
    // `set_body` adds a default content type.
    if untyped {
        request.remove_header("content-type");
    }
}

/// Waits for the first byte of a request; false if there is none and the connection must be closed.
async fn wait_readable<H>(shared: &Shared<H>, stream: &TcpStream, timeout: Duration) -> bool {
    let mut byte = [0];
    let peek = Box::pin(future::timeout(timeout, stream.peek(&mut byte)));
    let stop = Box::pin(shared.stop_signal.recv());
    match select(peek, stop).await {
        Either::Left((read, _)) => matches!(read, Ok(Ok(1))),
        // A request that has already arrived is still answered.
        Either::Right((_, peek)) => matches!(peek.now_or_never(), Some(Ok(Ok(1)))),
    }
}
