//! Accept loop for HTTP/1.1 with limits and graceful stop.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_h1::server::Encoder;
use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::io::BufReader;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;
use tide::http::Body;
use tide::http::Method;
use tide::http::Request;
use tide::http::Response;

use crate::answer;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::frame::Buffered;
use crate::frame::Frame;
use crate::frame::Framing;
use crate::head;
use crate::head::Head;

/// Bytes of an answer written at once.
const WRITE_BYTES: usize = 16 << 10;
/// Least room in the write buffer for a part of the body; the chunk encoder panics below some bytes.
const BODY_ROOM: usize = 1 << 10;
/// Pause after a failed accept, which usually means that the process has no free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections over the limit that are told so at the same time; others are closed at once.
const REFUSALS: usize = 64;
/// How long and how much is read from a caller that still sends while its connection is closed.
/// Closing with unread bytes resets the connection, and the caller may lose the answer.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 256 << 10;
/// How often a stop checks whether all connections are closed.
const STOP_POLL: Duration = Duration::from_millis(5);

/// Limits of an accept loop.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Open connections at most; others get `Overloaded`, "not run".
    pub connections: usize,
    /// Time in which a head and a body must arrive each, and the wait for the first byte on a new
    /// connection.
    pub read: Duration,
    /// How long a connection may stay open between requests.
    pub idle: Duration,
    /// Longest time in which a caller reads nothing of its answer.
    pub write: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1_000,
            read: Duration::from_secs(10),
            idle: Duration::from_secs(60),
            write: Duration::from_secs(30),
        }
    }
}

/// The other side of a request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Address of the caller.
    pub address: SocketAddr,
    stream: TcpStream,
}

impl Caller {
    /// Waits until the caller has closed its side of the connection.
    ///
    /// Meaningful only after the body of the request was read. A caller that sends its next request
    /// early is not seen leaving, because its bytes stand before the end of the connection.
    pub async fn gone(&self) {
        let mut byte = [0];
        if let Ok(1..) = self.stream.peek(&mut byte).await {
            std::future::pending::<()>().await;
        }
    }
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. It is not cancelled when the caller leaves; see [`Caller::gone`].
    ///
    /// If it doesn't read the body to its end, the connection is closed after the answer.
    fn respond(&self, request: Request, caller: Caller) -> impl Future<Output = Response> + Send;

    /// Counts a request that was refused before it reached the handler.
    fn refused(&self, _code: Code) {}
}

struct Shared<H> {
    handler: Arc<H>,
    limits: Limits,
    state: Arc<State>,
    stopped: Receiver<Infallible>,
}

#[derive(Default)]
struct State {
    open: AtomicUsize,
    refusals: AtomicUsize,
    draining: AtomicBool,
}

/// A running accept loop; dropping it stops accepting and closes idle connections.
pub struct Running {
    address: SocketAddr,
    state: Arc<State>,
    /// Dropping it tells all tasks to stop.
    stop: Mutex<Option<Sender<Infallible>>>,
}

impl Running {
    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Continues to accept and serve, but sends `connection: close` with each answer.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
    }

    /// Stops accepting, closes idle connections and waits until running requests are answered.
    ///
    /// Returns the number of connections that are still open after `limit`.
    pub async fn stop(&self, limit: Duration) -> usize {
        self.drain();
        self.stop.lock().unwrap().take();
        let end = Instant::now() + limit;
        while self.connections() > 0 && Instant::now() < end {
            task::sleep(STOP_POLL).await;
        }
        self.connections()
    }
}

/// Binds an address and starts to answer requests on it.
///
/// # Errors
/// `Bind` if the address cannot be bound.
pub async fn bind<H: Handler>(address: SocketAddr, limits: Limits, handler: Arc<H>) -> Result<Running> {
    let failed = |e: io::Error| Error::new(Code::Bind, format!("{address}: {e}"));
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (stop, stopped) = channel::bounded(1);
    let state = Arc::new(State::default());
    let shared = Shared {
        handler,
        limits,
        state: Arc::clone(&state),
        stopped,
    };
    task::spawn(accept(listener, Arc::new(shared)));
    Ok(Running {
        address,
        state,
        stop: Mutex::new(Some(stop)),
    })
}

async fn accept<H: Handler>(listener: TcpListener, shared: Arc<Shared<H>>) {
    loop {
        let next = Box::pin(listener.accept());
        let stop = Box::pin(shared.stopped.recv());
        let accepted = match select(next, stop).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        let Ok((stream, address)) = accepted else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        match Slot::take(&shared.state, shared.limits.connections) {
            Some(slot) => task::spawn(async move {
                serve(&shared, stream, address).await;
                drop(slot);
            }),
            None => task::spawn(async move { refuse(&shared, stream).await }),
        };
    }
}

/// Counts one open connection until it is dropped, also when its task panics.
struct Slot(Arc<State>);

impl Slot {
    fn take(state: &Arc<State>, limit: usize) -> Option<Self> {
        let slot = Self(Arc::clone(state));
        let before = state.open.fetch_add(1, Ordering::SeqCst);
        (before < limit).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn refuse<H: Handler>(shared: &Shared<H>, stream: TcpStream) {
    shared.handler.refused(Code::Overloaded);
    if shared.state.refusals.fetch_add(1, Ordering::SeqCst) < REFUSALS {
        let error = Error::new(Code::Overloaded, "too many connections to this VM");
        let _ = send_refusal(&stream, &error, LINGER).await;
        linger(stream).await;
    }
    shared.state.refusals.fetch_sub(1, Ordering::SeqCst);
}

async fn serve<H: Handler>(shared: &Shared<H>, stream: TcpStream, address: SocketAddr) {
    let mut conn = Buffered::new(stream.clone());
    let mut wait = shared.limits.read;
    loop {
        if conn.data().is_empty() && !is_readable(shared, &stream, wait).await {
            return;
        }
        wait = shared.limits.idle;
        let head = match head::read(&mut conn, shared.limits.read).await {
            Ok(head) => head,
            Err(e) if e.code == Code::Io => return,
            Err(e) => {
                shared.handler.refused(e.code);
                let _ = send_refusal(&stream, &e, shared.limits.write).await;
                return linger(stream).await;
            }
        };
        let caller = Caller {
            address,
            stream: stream.clone(),
        };
        match exchange(shared, head, conn, caller).await {
            Next::Request(rest) => conn = rest,
            Next::Linger => return linger(stream).await,
            Next::Close => return,
        }
    }
}

enum Next {
    Request(Buffered),
    /// Close after the caller has read the answer.
    Linger,
    /// Close at once, so that a cut answer looks cut.
    Close,
}

/// Answers one request.
async fn exchange<H: Handler>(shared: &Shared<H>, head: Head, conn: Buffered, caller: Caller) -> Next {
    let mut request = head.request;
    let method = request.method();
    let stream = caller.stream.clone();
    let frame = Frame::new(conn, head.framing);
    if head.expects {
        frame.expect_continue();
    }
    attach(&mut request, &frame, head.framing);
    request.set_peer_addr(Some(caller.address));
    let mut response = respond(shared, request, caller.clone(), &frame).await;
    let wants_close = response
        .header("connection")
        .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let draining = shared.state.draining.load(Ordering::SeqCst);
    let close = head.close || wants_close || draining || !frame.is_done();
    if close {
        response.insert_header("connection", "close");
    }
    let gone = caller.gone();
    let write = write(&stream, response, method, shared.limits.write, gone);
    if write.await.is_err() {
        return Next::Close;
    }
    match frame.take_conn() {
        Some(conn) if !close => Next::Request(conn),
        _ => Next::Linger,
    }
}

/// Calls the handler; a body that is not there after the read limit ends with an error.
async fn respond<H: Handler>(
    shared: &Shared<H>,
    request: Request,
    caller: Caller,
    frame: &Frame,
) -> Response {
    let respond = shared.handler.respond(request, caller);
    if frame.is_done() {
        return respond.await;
    }
    let expire = async {
        task::sleep(shared.limits.read).await;
        frame.expire();
    };
    futures::pin_mut!(respond, expire);
    match select(respond, expire).await {
        Either::Left((response, _)) => response,
        Either::Right(((), respond)) => respond.await,
    }
}

fn attach(request: &mut Request, frame: &Frame, framing: Framing) {
    let length = match framing {
        Framing::Length(0) => return,
        Framing::Length(length) => usize::try_from(length).ok(),
        _ => None,
    };
    let untyped = request.header("content-type").is_none();
    request.set_body(Body::from_reader(BufReader::new(frame.clone()), length));
    // `set_body` invents a content type.
    if untyped {
        request.remove_header("content-type");
    }
}

/// Waits for the first byte of a request; false if the connection must be closed.
async fn is_readable<H>(shared: &Shared<H>, stream: &TcpStream, limit: Duration) -> bool {
    let mut byte = [0];
    let peek = Box::pin(future::timeout(limit, stream.peek(&mut byte)));
    let stop = Box::pin(shared.stopped.recv());
    match select(peek, stop).await {
        Either::Left((read, _)) => matches!(read, Ok(Ok(1))),
        // A request that has already arrived is still answered.
        Either::Right((_, peek)) => matches!(peek.now_or_never(), Some(Ok(Ok(1)))),
    }
}

async fn send_refusal(stream: &TcpStream, error: &Error, limit: Duration) -> io::Result<()> {
    let mut response = answer::refusal(error);
    response.insert_header("connection", "close");
    write(stream, response, Method::Get, limit, std::future::pending()).await
}

/// Writes an answer; after an error the connection must be closed, so that the answer looks cut.
///
/// It ends with an error as well if `gone` does while the next part of the body is awaited: the upstream
/// must not work on for a caller that has left.
async fn write(
    mut stream: &TcpStream,
    response: Response,
    method: Method,
    limit: Duration,
    gone: impl Future<Output = ()>,
) -> io::Result<()> {
    let mut encoder = Encoder::new(response, method);
    let mut gone = Box::pin(gone);
    let mut buffer = vec![0; WRITE_BYTES];
    loop {
        let mut count = match select(encoder.read(&mut buffer), &mut gone).await {
            Either::Left((read, _)) => read?,
            Either::Right(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        if count == 0 {
            return Ok(());
        }
        let mut failed = None;
        // A body that is ready leaves in one segment with its head.
        if buffer.len() - count >= BODY_ROOM {
            match futures::poll!(Box::pin(encoder.read(&mut buffer[count..]))) {
                Poll::Ready(Ok(more)) => count += more,
                Poll::Ready(Err(e)) => failed = Some(e),
                Poll::Pending => {}
            }
        }
        let written = future::timeout(limit, stream.write_all(&buffer[..count])).await;
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if let Some(e) = failed {
            return Err(e);
        }
    }
}

/// Closes a connection whose caller may still be sending.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut buffer = vec![0; WRITE_BYTES];
    let drain = async {
        let mut total = 0;
        while total < LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(count @ 1..) => total += count,
                _ => return,
            }
        }
    };
    let _ = future::timeout(LINGER, drain).await;
}
