//! Bounds the memory that the request bodies of a process take together.
//!
//! A body is reserved before it is read. One that doesn't fit waits for others to end, for a short time. A body that
//! is alone is admitted whatever its size, which has its own limit. Where others wait for memory, a body that has stalled
//! gives way to them.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::io::Read;
use futures::future::Either;
use futures::future::select;
use parking_lot::Mutex;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::head;

/// Largest read, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Smallest step in which a body grows that is reserved as it arrives, in bytes.
const MIN_STEP_BYTES: usize = 4 << 10;
/// Part of its size by which such a body grows, so that little more is reserved than has arrived.
const STEP_DIVISOR: usize = 4;
/// Time without a byte of a body after which it gives way to others; a caller on a busy link sends more often.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time after which a body that waits for memory looks again whether another one has stalled.
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// The budget of a process.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Reserved bytes.
    used: usize,
    /// Largest number of reserved bytes since [`BodyBudget::take_released`] found some released.
    peak: usize,
    /// Closed when bytes become free.
    waiting: Vec<Sender<Infallible>>,
    /// Bodies that are being read.
    readers: HashMap<u64, Reader>,
    next_number: u64,
}

/// A body that is being read.
#[derive(Debug)]
struct Reader {
    bytes: usize,
    /// When a part of it arrived last.
    progress: Instant,
    /// Dropped to tell its task that it must give way; nothing is ever sent.
    _evict: Sender<Infallible>,
}

impl State {
    /// Makes bodies that have stalled give way, the longest first, until they hold this many bytes.
    fn evict(&mut self, wanted: usize, now: Instant) {
        let is_stalled = |reader: &Reader| now.saturating_duration_since(reader.progress) >= STALL_TIME;
        let mut freed = 0;
        while freed < wanted {
            let stalled = self.readers.iter().filter(|(_, r)| is_stalled(r) && r.bytes > 0);
            let Some(number) = stalled.min_by_key(|(_, r)| r.progress).map(|(number, _)| *number) else {
                return;
            };
            freed += self.readers.remove(&number).map_or(0, |reader| reader.bytes);
        }
    }
}

/// Bytes that are reserved until it is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: Arc<BodyBudget>,
    bytes: usize,
    /// Number in [`State::readers`], with the channel that closes when the body must give way.
    reader: Option<(u64, Receiver<Infallible>)>,
}

impl BodyBudget {
    /// A budget of this many bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self { limit, state })
    }

    /// The largest number of bytes that several bodies take together.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.state.lock().used
    }

    /// The number of bytes that were released since the time when most were reserved, if they are at least `min`; then
    /// counts from now.
    pub fn take_released(&self, min: usize) -> Option<usize> {
        let mut state = self.state.lock();
        let released = state.peak - state.used;
        if released < min {
            return None;
        }
        state.peak = state.used;
        Some(released)
    }

    /// An empty share.
    pub fn share(self: &Arc<Self>) -> BodyShare {
        BodyShare {
            budget: Arc::clone(self),
            bytes: 0,
            reader: None,
        }
    }

    /// Takes bytes for a share that holds `held`; otherwise the channel that closes when it can try again.
    fn take(&self, bytes: usize, held: usize) -> std::result::Result<(), Receiver<Infallible>> {
        let mut state = self.state.lock();
        let is_alone = state.used == held;
        if is_alone || state.used.saturating_add(bytes) <= self.limit {
            state.used = state.used.saturating_add(bytes);
            state.peak = state.peak.max(state.used);
            return Ok(());
        }
        let (sender, receiver) = channel::bounded(1);
        state.waiting.retain(|waiting| !waiting.is_closed());
        state.waiting.push(sender);
        let wanted = state.used.saturating_add(bytes).saturating_sub(self.limit);
        state.evict(wanted, Instant::now());
        Err(receiver)
    }

    fn release(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.used -= bytes;
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        // Closes the channels: those that wait try again, the first one first.
        drop(waiting);
    }
}

impl BodyShare {
    /// The reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes; false if they are not free within the timeout.
    pub async fn grow(&mut self, bytes: usize, timeout: Duration) -> bool {
        let grow = async {
            while let Err(free) = self.budget.take(bytes, self.bytes) {
                // Fails when the sender is dropped; nothing is ever sent.
                let _ = future::timeout(RETRY_PERIOD, free.recv()).await;
            }
        };
        if future::timeout(timeout, grow).await.is_err() {
            return false;
        }
        self.bytes += bytes;
        self.update_reader(None);
        true
    }

    /// Marks the body as being read, or records that a part of it arrived. From then on it may have to give way, until
    /// [`BodyShare::end_read`].
    pub fn record_part(&mut self, now: Instant) {
        if self.reader.is_some() {
            return self.update_reader(Some(now));
        }
        let (evict, evicted) = channel::bounded(1);
        let mut state = self.budget.state.lock();
        let number = state.next_number;
        state.next_number += 1;
        let reader = Reader {
            bytes: self.bytes,
            progress: now,
            _evict: evict,
        };
        state.readers.insert(number, reader);
        drop(state);
        self.reader = Some((number, evicted));
    }

    /// Marks the body as complete, so that it no longer gives way.
    pub fn end_read(&mut self) {
        if let Some((number, _)) = self.reader.take() {
            self.budget.state.lock().readers.remove(&number);
        }
    }

    /// Waits until the body must give way; never ends for one that isn't being read.
    pub async fn evicted(&self) {
        match &self.reader {
            // Fails when the sender is dropped.
            Some((_, evicted)) => drop(evicted.recv().await),
            None => std::future::pending().await,
        }
    }

    fn update_reader(&self, progress: Option<Instant>) {
        let Some((number, _)) = &self.reader else { return };
        if let Some(reader) = self.budget.state.lock().readers.get_mut(number) {
            reader.bytes = self.bytes;
            reader.progress = progress.unwrap_or(reader.progress);
        }
    }

    /// Releases all but this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let free = self.bytes.saturating_sub(bytes);
        self.bytes -= free;
        self.update_reader(None);
        self.budget.release(free);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.end_read();
        self.budget.release(self.bytes);
    }
}

/// A body with its part of a budget.
#[derive(Debug)]
pub struct BudgetedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// Its part, which is released with it.
    pub share: BodyShare,
}

/// Reads a body of at most `limit` bytes and reserves its memory as it arrives; `wait` bounds each wait for memory.
///
/// # Errors
/// `BodyTooLarge`, `Overloaded` if other bodies leave no memory, `SlowSender` or `BadRequest`.
pub async fn read(
    body: &mut (impl Read + Unpin),
    limit: usize,
    budget: &Arc<BodyBudget>,
    wait: Duration,
) -> Result<BudgetedBody> {
    let mut share = budget.share();
    let mut bytes = Vec::new();
    loop {
        share.record_part(Instant::now());
        let part = next_part(body, &share).await?;
        if part.is_empty() {
            share.end_read();
            return Ok(BudgetedBody { bytes, share });
        }
        let length = bytes.len() + part.len();
        if length > limit {
            let detail = format!("the body is larger than {limit} bytes");
            return Err(Error::new(Code::BodyTooLarge, detail));
        }
        if length > bytes.capacity() {
            let step = MIN_STEP_BYTES.max(bytes.len() / STEP_DIVISOR);
            let capacity = length.max(bytes.len() + step).min(limit);
            if !share.grow(capacity - share.bytes(), wait).await {
                let (used, total) = (budget.used(), budget.limit());
                let detail =
                    format!("no memory for a body of {capacity} bytes: bodies take {used} of {total}");
                return Err(Error::new(Code::Overloaded, detail));
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&part);
    }
}

/// The next bytes of a body that is being read; none at its end.
///
/// # Errors
/// `SlowSender` also if it must give way, or `BadRequest`.
pub(crate) async fn next_part(body: &mut (impl Read + Unpin), share: &BodyShare) -> Result<Vec<u8>> {
    let read = Box::pin(read_part(body));
    match select(read, Box::pin(share.evicted())).await {
        Either::Left((part, _)) => part.map_err(|e| head::body_error(&e)),
        Either::Right(_) => {
            let detail = format!("the body stalled for {STALL_TIME:?} while others waited for memory");
            Err(Error::new(Code::SlowSender, detail))
        }
    }
}

/// The next bytes of a body; none at its end. No buffer is held while they are awaited.
pub(crate) async fn read_part(body: &mut (impl Read + Unpin)) -> io::Result<Vec<u8>> {
    poll_fn(|cx| {
        let mut part = [0; READ_BYTES];
        let count = ready!(Pin::new(&mut *body).poll_read(cx, &mut part))?;
        Poll::Ready(Ok(part[..count].to_vec()))
    })
    .await
}
