//! Connection pool with a limit on the open connections to each upstream.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::net::TcpStream;
use async_std::task;
use derive_more::Display;
use futures::FutureExt;
use log::info;

use crate::rpc::is_reusable;
use crate::stage::ChosenUpstream;

/// Longest time that a connection is kept idle: the network may silently drop idle connections.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for opening a connection. It takes about 1 ms inside a region; a lost packet is sent again only
/// after 1 s, by which time another upstream has answered.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a connection that was opened only to see whether the upstream accepts it is kept idle: the upstream has
/// stated no idle timeout on it.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long before the upstream's own idle timeout an idle connection expires.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which expired idle connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why no connection was acquired; nothing was sent.
#[derive(Debug, Display)]
pub(crate) enum ConnectError {
    /// The VM has the maximum number of connections to the upstream.
    #[display("no free connection")]
    Full,
    /// Opening the connection failed.
    #[display("connect: {_0}")]
    Refused(io::Error),
    /// Opening the connection took too long.
    #[display("connect: no answer")]
    Late,
    /// The upstream has left, or is closed to requests, since it was chosen.
    #[display("the upstream takes no more requests")]
    Unavailable,
}

/// Connections to one upstream.
#[derive(Default)]
struct UpstreamPool {
    idle: Vec<IdleConnection>,
    /// Number of open connections, with those that are being opened.
    open: usize,
    /// Requests that wait for a connection; while there are any, no connection is idle.
    waiting: VecDeque<Sender<Handoff>>,
}

/// What a waiting request gets directly, so that a later request cannot take it first.
enum Handoff {
    /// A connection that another request has released.
    Idle(Connection),
    /// Permission to open a connection in place of one that was closed.
    Open(OpenGuard),
}

struct IdleConnection {
    conn: Connection,
    /// When it must no longer be used.
    expires: Instant,
}

type UpstreamPools = Arc<Mutex<HashMap<SocketAddr, UpstreamPool>>>;

/// Keeps connections for reuse and counts the open ones for each upstream.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    pools: UpstreamPools,
}

/// A connection that carries one request at a time; dropping it closes it.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    /// Whether it carried a request before.
    pub(crate) reused: bool,
    guard: OpenGuard,
}

/// Counts an open connection until it is dropped.
struct OpenGuard {
    address: SocketAddr,
    pools: std::sync::Weak<Mutex<HashMap<SocketAddr, UpstreamPool>>>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let Some(pools) = self.pools.upgrade() else { return };
        let mut table = pools.lock().unwrap();
        let Some(pool) = table.get_mut(&self.address) else {
            return;
        };
        if let Some(next) = pool.waiting.pop_front() {
            let guard = OpenGuard {
                address: self.address,
                pools: self.pools.clone(),
            };
            drop(table);
            // If the request no longer waits, dropping the message passes the guard to the next one.
            let _ = next.try_send(Handoff::Open(guard));
            return;
        }
        pool.open -= 1;
        if pool.open == 0 {
            table.remove(&self.address);
        }
    }
}

impl Pool {
    /// Starts a pool that closes idle connections after [`IDLE_TIMEOUT`], or within [`SWEEP_INTERVAL`] if
    /// their upstream closes them or sends bytes, which belong to no request and may never end.
    pub(crate) fn spawn() -> Self {
        let pool = Self::default();
        let weak = Arc::downgrade(&pool.pools);
        task::spawn(async move {
            loop {
                task::sleep(SWEEP_INTERVAL).await;
                let Some(pools) = weak.upgrade() else { return };
                for idle in remove_expired(&pools, Instant::now()) {
                    let conn = &idle.conn;
                    if Instant::now() < idle.expires && has_bytes(&conn.stream) {
                        let address = conn.guard.address;
                        info!("connection closed: upstream={address} reason=\"bytes without a request\"");
                    }
                }
            }
        });
        pool
    }

    /// A connection to the upstream: an idle one if `reuse` allows it, or a new one.
    ///
    /// If the maximum number of connections is open, an idle one is closed for a new one; without an idle one
    /// the request waits, at most for `timeout`.
    ///
    /// # Errors
    /// `Full` after that wait, `Refused` if a new connection cannot be opened, `Late` if that takes too long.
    pub(crate) async fn acquire(
        &self,
        chosen: &ChosenUpstream,
        reuse: bool,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        let end = Instant::now() + timeout;
        loop {
            if reuse && let Some(conn) = self.take_idle(chosen.address).await {
                return Ok(conn);
            }
            let receiver = match self.try_open(chosen) {
                Ok(guard) => return connect(chosen, guard, time_left(end)).await,
                Err(receiver) => receiver,
            };
            match future::timeout(time_left(end), receiver.recv()).await {
                Ok(Ok(Handoff::Open(guard))) => return connect(chosen, guard, time_left(end)).await,
                Ok(Ok(Handoff::Idle(conn))) if !reuse => {
                    return connect(chosen, conn.guard, time_left(end)).await;
                }
                Ok(Ok(Handoff::Idle(conn))) if is_reusable(&conn.stream).await => return Ok(conn),
                Ok(_) => {}
                Err(_) => return Err(ConnectError::Full),
            }
        }
    }

    /// Whether the upstream accepts a new connection, which is kept for the next request for [`PROBE_IDLE_TIMEOUT`]
    /// if the VM has room for one more.
    ///
    /// # Errors
    /// `Refused` if it doesn't, `Late` if it doesn't answer.
    pub(crate) async fn probe(&self, chosen: &ChosenUpstream) -> Result<(), ConnectError> {
        let Some(guard) = self.try_open_spare(chosen) else {
            return open_stream(chosen, CONNECT_TIMEOUT).await.map(drop);
        };
        let conn = connect(chosen, guard, CONNECT_TIMEOUT).await?;
        self.release(conn, Some(PROBE_IDLE_TIMEOUT + CLOSE_MARGIN));
        Ok(())
    }

    /// A guard for a new connection if the VM may have one more and no request waits for it.
    fn try_open_spare(&self, chosen: &ChosenUpstream) -> Option<OpenGuard> {
        let mut pools = self.pools.lock().unwrap();
        let pool = pools.entry(chosen.address).or_default();
        if pool.open >= chosen.connections.max(1) {
            return None;
        }
        pool.open += 1;
        Some(self.guard(chosen.address))
    }

    fn guard(&self, address: SocketAddr) -> OpenGuard {
        OpenGuard {
            address,
            pools: Arc::downgrade(&self.pools),
        }
    }

    /// An idle connection that has not expired and from which nothing can be read.
    async fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let idle = self.pools.lock().unwrap().get_mut(&address)?.idle.pop()?;
            if Instant::now() < idle.expires && is_reusable(&idle.conn.stream).await {
                return Some(idle.conn);
            }
        }
    }

    /// A guard for a new connection, or the channel on which the request must wait for one.
    fn try_open(&self, chosen: &ChosenUpstream) -> Result<OpenGuard, Receiver<Handoff>> {
        let mut pools = self.pools.lock().unwrap();
        let pool = pools.entry(chosen.address).or_default();
        let mut spare = None;
        if pool.open >= chosen.connections.max(1) {
            spare = pool.idle.pop();
            if spare.is_none() {
                let (sender, receiver) = channel::bounded(1);
                pool.waiting.retain(|waiting| !waiting.is_closed());
                pool.waiting.push_back(sender);
                return Err(receiver);
            }
        }
        pool.open += 1;
        // Dropping the spare connection locks the table.
        drop(pools);
        drop(spare);
        Ok(self.guard(chosen.address))
    }

    /// Returns a connection whose last answer was read to its end.
    ///
    /// `idle_timeout` is the time after which the upstream closes it. A request that is sent as the upstream
    /// closes the connection is lost, so the connection expires [`CLOSE_MARGIN`] earlier.
    pub(crate) fn release(&self, mut conn: Connection, idle_timeout: Option<Duration>) {
        conn.reused = true;
        let stated = idle_timeout.map(|i| i.saturating_sub(CLOSE_MARGIN));
        let expires = Instant::now() + stated.unwrap_or(IDLE_TIMEOUT).min(IDLE_TIMEOUT);
        loop {
            let next = {
                let mut pools = self.pools.lock().unwrap();
                let pool = pools.entry(conn.guard.address).or_default();
                let Some(next) = pool.waiting.pop_front() else {
                    return pool.idle.push(IdleConnection { conn, expires });
                };
                next
            };
            conn = match next.try_send(Handoff::Idle(conn)) {
                Ok(()) => return,
                Err(e) => match e.into_inner() {
                    Handoff::Idle(conn) => conn,
                    Handoff::Open(_) => return,
                },
            };
        }
    }
}

fn time_left(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

async fn connect(
    chosen: &ChosenUpstream,
    guard: OpenGuard,
    timeout: Duration,
) -> Result<Connection, ConnectError> {
    let stream = open_stream(chosen, timeout.min(CONNECT_TIMEOUT)).await?;
    let _ = stream.set_nodelay(true);
    Ok(Connection {
        stream,
        reused: false,
        guard,
    })
}

async fn open_stream(chosen: &ChosenUpstream, timeout: Duration) -> Result<TcpStream, ConnectError> {
    future::timeout(timeout, TcpStream::connect(chosen.address))
        .await
        .map_err(|_| ConnectError::Late)?
        .map_err(ConnectError::Refused)
}

/// Whether a read would not block: bytes have arrived, or the connection was closed or failed.
fn is_readable(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).now_or_never().is_some()
}

fn has_bytes(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]).now_or_never(), Some(Ok(1..)))
}

/// Removes and returns the idle connections that must no longer be used.
fn remove_expired(pools: &UpstreamPools, now: Instant) -> Vec<IdleConnection> {
    let mut removed = Vec::new();
    for pool in pools.lock().unwrap().values_mut() {
        let all = std::mem::take(&mut pool.idle);
        let is_expired = |idle: &IdleConnection| now >= idle.expires || is_readable(&idle.conn.stream);
        let (expired, kept): (Vec<_>, Vec<_>) = all.into_iter().partition(is_expired);
        pool.idle = kept;
        removed.extend(expired);
    }
    removed
}
