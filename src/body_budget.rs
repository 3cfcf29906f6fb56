//! Bounds the memory that the request bodies of a process take together.
//!
//! A body is reserved before it is read. One that doesn't fit waits for others to end, for a short time. A body that
//! is alone is admitted whatever its size, which has its own limit.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use parking_lot::Mutex;

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
    /// Closed when bytes become free.
    waiting: Vec<Sender<Infallible>>,
}

/// Bytes that are reserved until it is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: Arc<BodyBudget>,
    bytes: usize,
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

    /// An empty share.
    pub fn share(self: &Arc<Self>) -> BodyShare {
        BodyShare {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Takes bytes for a share that holds `held`; otherwise the channel that closes when it can try again.
    fn take(&self, bytes: usize, held: usize) -> Result<(), Receiver<Infallible>> {
        let mut state = self.state.lock();
        let is_alone = state.used == held;
        if is_alone || state.used.saturating_add(bytes) <= self.limit {
            state.used = state.used.saturating_add(bytes);
            return Ok(());
        }
        let (sender, receiver) = channel::bounded(1);
        state.waiting.retain(|waiting| !waiting.is_closed());
        state.waiting.push(sender);
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
                let _ = free.recv().await;
            }
        };
        if future::timeout(timeout, grow).await.is_err() {
            return false;
        }
        self.bytes += bytes;
        true
    }

    /// Releases all but this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let free = self.bytes.saturating_sub(bytes);
        self.bytes -= free;
        self.budget.release(free);
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
