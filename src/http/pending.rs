//! Requests whose head was read and whose answer is not completely written.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

use log::info;
use strum::IntoStaticStr;

use crate::id::RequestId;

use super::Handler;

/// Why an answer was not completely written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UnwrittenReason {
    /// The connection to the caller failed or was closed by the caller.
    CallerGone,
    /// The caller did not read a part of the answer within the write timeout.
    CallerSlow,
    /// The caller read more slowly than others while connections held too much memory.
    Evicted,
    /// The source of the body failed before its end, for example because the upstream closed its connection.
    AnswerCut,
    /// The connection's task panicked.
    Panic,
}

/// A request whose head was read and whose answer is not completely written.
#[derive(Debug)]
pub struct PendingRequest {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// When its head was read.
    pub start: Instant,
    id: OnceLock<RequestId>,
}

impl PendingRequest {
    /// The id that the handler set for the request, or `-` if it set none.
    pub fn id(&self) -> &str {
        self.id.get().map_or("-", |id| id.as_str())
    }

    pub(super) fn set_id(&self, id: RequestId) {
        // The first id is final.
        let _ = self.id.set(id);
    }

    /// Time since its head was read, in milliseconds.
    pub fn millis(&self) -> u128 {
        self.start.elapsed().as_millis()
    }
}

/// All pending requests of a server.
#[derive(Default)]
pub(super) struct PendingTable {
    requests: Mutex<HashMap<u64, Arc<PendingRequest>>>,
    next_number: AtomicU64,
}

impl PendingTable {
    pub(super) fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// All requests, the oldest first.
    pub(super) fn list(&self) -> Vec<Arc<PendingRequest>> {
        let mut all: Vec<_> = self.requests.lock().unwrap().values().cloned().collect();
        all.sort_unstable_by_key(|a| a.start);
        all
    }
}

/// Keeps one request in the table until it is dropped.
pub(super) struct PendingGuard<'a> {
    table: &'a PendingTable,
    number: u64,
    pub(super) request: Arc<PendingRequest>,
}

impl<'a> PendingGuard<'a> {
    pub(super) fn new(table: &'a PendingTable, caller: SocketAddr) -> Self {
        let number = table.next_number.fetch_add(1, Ordering::Relaxed);
        let request = Arc::new(PendingRequest {
            caller,
            start: Instant::now(),
            id: OnceLock::new(),
        });
        table
            .requests
            .lock()
            .unwrap()
            .insert(number, Arc::clone(&request));
        Self {
            table,
            number,
            request,
        }
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.table.requests.lock().unwrap().remove(&self.number);
    }
}

/// A pending request whose failure is logged and counted if its task panics.
pub(super) struct Exchange<'a, H: Handler> {
    handler: &'a H,
    guard: PendingGuard<'a>,
}

impl<'a, H: Handler> Exchange<'a, H> {
    pub(super) fn new(handler: &'a H, guard: PendingGuard<'a>) -> Self {
        Self { handler, guard }
    }

    /// Logs and counts that the answer was not completely written.
    pub(super) fn record_unwritten(&self, reason: UnwrittenReason, detail: &str) {
        self.handler.count_unwritten(reason);
        let request = &self.guard.request;
        let name: &'static str = reason.into();
        info!(
            "answer not written: id={} caller={} reason={name} ms={} detail=\"{detail}\"",
            request.id(),
            request.caller,
            request.millis()
        );
    }
}

impl<H: Handler> Drop for Exchange<'_, H> {
    fn drop(&mut self) {
        if thread::panicking() {
            self.record_unwritten(UnwrittenReason::Panic, "");
        }
    }
}
