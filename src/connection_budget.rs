//! Bounds the bytes that the connections of a process hold for requests and answers.
//!
//! A connection states what it holds. Where several together exceed the limit, those give way that have waited longest
//! for their caller: a head or body that isn't complete, or an answer that isn't read. Ordinary callers make progress
//! within milliseconds and are therefore never the first. Requests that run are not interrupted.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use parking_lot::Mutex;

/// Bytes that the connections of a process may hold when no memory is stated. A usual request holds 24 KiB and an answer
/// of any size at most 160 KiB, so that 400 large answers can be written at the same time.
pub const DEFAULT_CONNECTION_MEMORY: usize = 64 << 20;

/// Memory of an idle connection, in bytes; an estimate for its task, not measured.
pub const IDLE_BYTES: usize = 12 << 10;

/// The budget of a process.
#[derive(Debug)]
pub struct ConnectionBudget {
    limit: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    used: usize,
    /// Largest number of bytes in use since [`ConnectionBudget::take_released`] found some released.
    peak: usize,
    /// Largest number of connections since then.
    peak_count: usize,
    next_number: u64,
    holders: HashMap<u64, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    /// When the caller made progress last; `None` while nothing is expected of the caller.
    waiting_since: Option<Instant>,
    /// Dropped to tell the connection that it must give way.
    evict: Option<Sender<Infallible>>,
}

impl State {
    /// Makes connections give way until `bytes` more fit; false if those that may are not enough, and then none does.
    fn make_room(&mut self, limit: usize, bytes: usize, except: u64) -> bool {
        let wanted = self.used.saturating_add(bytes).saturating_sub(limit);
        if wanted == 0 {
            return true;
        }
        let mut waiting: Vec<_> = self
            .holders
            .iter()
            .filter(|(number, holder)| **number != except && holder.bytes > 0 && holder.evict.is_some())
            .filter_map(|(number, holder)| Some((holder.waiting_since?, *number, holder.bytes)))
            .collect();
        if waiting.iter().map(|(_, _, bytes)| bytes).sum::<usize>() < wanted {
            return false;
        }
        waiting.sort_unstable();
        let mut freed = 0;
        for (_, number, bytes) in waiting {
            if freed >= wanted {
                break;
            }
            if let Some(holder) = self.holders.get_mut(&number) {
                // The connection releases its memory as soon as its task runs.
                holder.evict = None;
                holder.bytes = 0;
                freed += bytes;
                self.used -= bytes;
            }
        }
        true
    }
}

impl ConnectionBudget {
    /// A budget of this many bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self { limit, state })
    }

    /// The largest number of bytes that connections hold together.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The number of bytes that connections hold.
    pub fn used(&self) -> usize {
        self.state.lock().used
    }

    /// The number of bytes that were released since the time when most were held, with those of the connections that
    /// were closed, if they are at least `min`; then counts from now.
    pub fn take_released(&self, min: usize) -> Option<usize> {
        let mut state = self.state.lock();
        let closed = state.peak_count - state.holders.len();
        let released = state.peak - state.used + closed * IDLE_BYTES;
        if released < min {
            return None;
        }
        state.peak = state.used;
        state.peak_count = state.holders.len();
        Some(released)
    }

    /// A connection that holds nothing yet.
    pub fn register(self: &Arc<Self>) -> Holding {
        let (sender, evicted) = channel::bounded(1);
        let mut state = self.state.lock();
        let number = state.next_number;
        state.next_number += 1;
        let holder = Holder {
            bytes: 0,
            waiting_since: None,
            evict: Some(sender),
        };
        state.holders.insert(number, holder);
        state.peak_count = state.peak_count.max(state.holders.len());
        drop(state);
        Holding {
            budget: Arc::clone(self),
            number,
            evicted: Mutex::new(evicted),
        }
    }
}

/// What one connection holds until it is dropped.
#[derive(Debug)]
pub struct Holding {
    budget: Arc<ConnectionBudget>,
    number: u64,
    evicted: Mutex<Receiver<Infallible>>,
}

impl Holding {
    /// Sets the bytes that the connection holds while it waits for its caller since `waiting_since`, or works for it.
    /// False if they don't fit, or the connection must give way; it then holds nothing.
    pub fn hold(&self, bytes: usize, waiting_since: Option<Instant>) -> bool {
        self.set(bytes, waiting_since, false)
    }

    /// As [`Holding::hold`], also where the bytes don't fit or the connection had to give way: for a request that already
    /// runs.
    pub fn keep(&self, bytes: usize, waiting_since: Option<Instant>) {
        self.set(bytes, waiting_since, true);
    }

    /// Records that the caller made progress.
    pub fn touch(&self, now: Instant) {
        if let Some(holder) = self.budget.state.lock().holders.get_mut(&self.number) {
            holder.waiting_since = Some(now);
        }
    }

    /// Waits until the connection must give way.
    pub async fn evicted(&self) {
        // Fails when the sender is dropped; nothing is ever sent.
        let evicted = self.evicted.lock().clone();
        let _ = evicted.recv().await;
    }

    fn set(&self, bytes: usize, waiting_since: Option<Instant>, is_forced: bool) -> bool {
        let mut guard = self.budget.state.lock();
        let state = &mut *guard;
        let Some(holder) = state.holders.get_mut(&self.number) else {
            return false;
        };
        state.used -= holder.bytes;
        holder.bytes = 0;
        if holder.evict.is_none() && !is_forced {
            return false;
        }
        let fits = bytes == 0 || state.make_room(self.budget.limit, bytes, self.number);
        if !fits && !is_forced {
            return false;
        }
        if let Some(holder) = state.holders.get_mut(&self.number) {
            if holder.evict.is_none() {
                let (sender, evicted) = channel::bounded(1);
                holder.evict = Some(sender);
                *self.evicted.lock() = evicted;
            }
            holder.bytes = bytes;
            holder.waiting_since = waiting_since;
            state.used += bytes;
            state.peak = state.peak.max(state.used);
        }
        true
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        if let Some(holder) = state.holders.remove(&self.number) {
            state.used -= holder.bytes;
        }
    }
}
