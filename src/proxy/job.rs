//! An admitted request with everything that its attempts need.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;
use tide::http::Method;
use tide::http::Request;
use tide::http::headers::HeaderName;
use tide::http::headers::HeaderValue;

use crate::dialect::Dialect;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::view::Route;

use super::forward;
use super::is_idempotent;
use super::sha256;

pub(crate) struct Job {
    /// Names the request in the time line.
    pub(crate) id: RequestId,
    /// Id that the caller sent, empty if it sent none.
    pub(crate) given_id: RequestId,
    pub(crate) method: Method,
    /// Path and query, without any key.
    pub(crate) target: String,
    /// Headers that go to the upstream, without any key.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) body: Vec<u8>,
    pub(crate) route: Route,
    pub(crate) customer: Option<CustomerId>,
    /// Digest of the key that admitted the request.
    pub(crate) key: Option<SmolStr>,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) fingerprint: String,
    gone: AtomicBool,
    /// Whether another upstream may be tried after the present one.
    more: AtomicBool,
    /// Attempts that were sent and are not known as not run.
    sent: AtomicUsize,
}

impl Job {
    pub(crate) fn new(
        request: &Request,
        body: Vec<u8>,
        route: Route,
        deadline: Instant,
        key: Option<&str>,
        dialect: &Dialect,
    ) -> Self {
        Self {
            id: RequestId::default(),
            given_id: request
                .header(dialect.id.as_str())
                .map(|v| v.as_str().into())
                .unwrap_or_default(),
            method: request.method(),
            target: forward::target(request, key),
            headers: forward::headers(request, key, dialect),
            body,
            idempotent: !route.once && (route.idempotent || is_idempotent(request.method())),
            route,
            customer: None,
            key: None,
            deadline,
            fingerprint: String::new(),
            gone: AtomicBool::new(false),
            more: AtomicBool::new(false),
            sent: AtomicUsize::new(0),
        }
    }

    /// Digest of method, path and body.
    pub(crate) fn digest(&self) -> SmolStr {
        sha256(&[
            self.method.as_ref().as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
    }

    /// Identifies a request that is sent again; see section 5.3 of the design.
    pub(crate) fn fingerprint(&self) -> String {
        let customer = self.customer.as_deref().unwrap_or_default();
        let parts = [customer.as_bytes(), self.route.id.as_bytes()];
        sha256(&[parts[0], parts[1], self.digest().as_bytes()]).into()
    }

    /// Time until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Records whether another upstream may be tried after the present one.
    pub(crate) fn set_more(&self, more: bool) {
        self.more.store(more, Ordering::Relaxed);
    }

    /// Whether another upstream may be tried after the present one.
    pub(crate) fn has_more(&self) -> bool {
        self.more.load(Ordering::Relaxed)
    }

    /// Records that the caller has left.
    pub(crate) fn leave(&self) {
        self.gone.store(true, Ordering::SeqCst);
    }

    /// Whether the caller has left.
    pub(crate) fn is_left(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// Records that the kernel took the first byte of an attempt.
    pub(crate) fn send(&self) {
        self.sent.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that the last attempt was sent and did not run.
    pub(crate) fn unsend(&self) {
        self.sent.fetch_sub(1, Ordering::SeqCst);
    }

    /// Whether an upstream may have run the request.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst) > 0
    }
}
