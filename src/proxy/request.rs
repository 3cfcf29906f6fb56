//! An admitted request with the data that its attempts need.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use rand::Rng;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use tide::http::Method;
use tide::http::Request;
use tide::http::headers::HeaderName;
use tide::http::headers::HeaderValue;

use crate::code::Code;
use crate::conventions::HttpConventions;
use crate::error::Error;
use crate::error::Result;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::quarantine;
use crate::stage::Retry;
use crate::target::Target;
use crate::view::Route;
use crate::view::WeightedService;

use super::body::RequestBody;
use super::crash::CrashExplained;
use super::decision::Decision;
use super::forward;

/// Longest value of the claim header, in bytes.
const MAX_CLAIM_ID_BYTES: usize = 256;

pub(crate) struct AdmittedRequest {
    /// Id of the request in log lines and events.
    pub(crate) id: RequestId,
    /// Id from the caller's id header, sent to upstreams if the conventions say so; empty if it sent none.
    pub(crate) forwarded_id: RequestId,
    pub(crate) method: Method,
    /// Host that the caller asked for, without port; empty if it named none.
    host: SmolStr,
    /// Path and query, without keys.
    pub(crate) target: String,
    /// Headers that are forwarded to the upstream, without keys.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(super) body: RequestBody,
    pub(crate) route: Route,
    pub(crate) customer: Option<CustomerId>,
    /// Digest of the key that admitted the request; `None` on an open route.
    pub(crate) key_digest: Option<SmolStr>,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    /// Result of [`Self::compute_fingerprint`]; empty until it is set.
    pub(crate) fingerprint: String,
    caller_left: AtomicBool,
    /// Whether attempts use new connections only.
    fresh_only: AtomicBool,
    /// Whether an attempt has become overdue since the last call of [`Self::take_overdue`].
    overdue: AtomicBool,
    /// Attempts that may have crashed their upstreams.
    possible_crashes: Mutex<Vec<CrashExplained>>,
    /// Attempts that were sent, without those that the upstream is known not to have run.
    sent: AtomicUsize,
    /// Time in the queue so far, in microseconds.
    waited_us: AtomicU64,
}

impl AdmittedRequest {
    pub(super) fn new(
        request: &Request,
        target: &Target,
        body: RequestBody,
        decision: Decision,
        deadline: Instant,
        key: Option<&str>,
        conventions: &HttpConventions,
    ) -> Self {
        let Decision {
            route, is_idempotent, ..
        } = decision;
        Self {
            id: RequestId::default(),
            forwarded_id: request
                .header(conventions.id_header.as_str())
                .map(|v| v.as_str().into())
                .unwrap_or_default(),
            method: request.method(),
            host: target.host.clone(),
            target: forward::target(target, key, conventions),
            headers: forward::headers(request, key, conventions),
            body,
            idempotent: is_idempotent,
            route,
            customer: None,
            key_digest: None,
            deadline,
            fingerprint: String::new(),
            caller_left: AtomicBool::new(false),
            fresh_only: AtomicBool::new(false),
            overdue: AtomicBool::new(false),
            possible_crashes: Mutex::default(),
            sent: AtomicUsize::new(0),
            waited_us: AtomicU64::new(0),
        }
    }

    /// Digest of method, path and body.
    pub(crate) fn digest(&self) -> SmolStr {
        sha256(&[
            self.method.as_ref().as_bytes(),
            self.target.as_bytes(),
            self.body.bytes(),
        ])
    }

    /// Digest of customer, host and content, by which the quarantine recognises a request that is sent again, also
    /// after a change of its route; see section 5.3 of the design.
    pub(crate) fn compute_fingerprint(&self) -> String {
        let customer = self.customer.as_deref().unwrap_or_default();
        let parts = [customer.as_bytes(), self.host.as_bytes()];
        sha256(&[parts[0], parts[1], self.digest().as_bytes()]).into()
    }

    /// The first characters of the fingerprint, for log lines.
    pub(crate) fn short_fingerprint(&self) -> &str {
        quarantine::short(&self.fingerprint)
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// One more attempt, for the retry budget.
    pub(crate) fn retry(&self) -> Retry<'_> {
        Retry {
            route: &self.route,
            customer: self.customer.as_ref(),
        }
    }

    /// Size of what is forwarded, in bytes.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|(n, v)| n.as_str().len() + v.as_str().len()).sum();
        header_bytes + self.target.len() + self.body.bytes().len()
    }

    /// Adds to the time in the queue.
    pub(crate) fn add_wait(&self, waited: Duration) {
        let micros = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        self.waited_us.fetch_add(micros, Ordering::Relaxed);
    }

    /// Time in the queue so far.
    pub(crate) fn waited(&self) -> Duration {
        Duration::from_micros(self.waited_us.load(Ordering::Relaxed))
    }

    /// Records that a reused connection ended before the answer: on a new one, the end of a connection shows that
    /// the request crashes its upstreams.
    pub(crate) fn set_fresh_only(&self) {
        self.fresh_only.store(true, Ordering::Relaxed);
    }

    /// Whether attempts may use idle connections. An upstream may have closed one unnoticed, and a request that
    /// is lost on it can only be repeated if it is idempotent.
    pub(crate) fn may_reuse(&self) -> bool {
        self.idempotent && !self.fresh_only.load(Ordering::Relaxed)
    }

    /// Records that an attempt has taken longer than `Chooser::overdue_after`.
    pub(crate) fn set_overdue(&self) {
        self.overdue.store(true, Ordering::Relaxed);
    }

    /// Whether an attempt has become overdue since the last call; resets the flag.
    pub(crate) fn take_overdue(&self) -> bool {
        self.overdue.swap(false, Ordering::Relaxed)
    }

    /// Adds an attempt that may have crashed its upstream.
    pub(super) fn add_possible_crash(&self, explained: CrashExplained) {
        self.possible_crashes.lock().push(explained);
    }

    /// Number of attempts that may have crashed their upstreams and were not waited for.
    pub(super) fn possible_crashes(&self) -> usize {
        self.possible_crashes.lock().len()
    }

    /// Removes and returns the attempts that may have crashed their upstreams.
    pub(super) fn take_possible_crashes(&self) -> Vec<CrashExplained> {
        std::mem::take(&mut *self.possible_crashes.lock())
    }

    /// Records that the caller has left.
    pub(crate) fn set_caller_left(&self) {
        self.caller_left.store(true, Ordering::SeqCst);
    }

    /// Whether the caller has left.
    pub(crate) fn has_caller_left(&self) -> bool {
        self.caller_left.load(Ordering::SeqCst)
    }

    /// Records that the kernel accepted the first byte of an attempt.
    pub(crate) fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that the upstream did not run an attempt that was sent.
    pub(crate) fn record_not_run(&self) {
        self.sent.fetch_sub(1, Ordering::SeqCst);
    }

    /// Whether an upstream may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent.load(Ordering::SeqCst) > 0
    }
}

/// The id under which the request is claimed; `None` if it is idempotent or has no id, or the deployment has no claims.
///
/// # Errors
/// `IdRequired` if the route requires an id and there is none, `BadRequest` if it is not valid.
pub(super) fn claim_id(
    request: &Request,
    admitted: &AdmittedRequest,
    conventions: &HttpConventions,
) -> Result<Option<RequestId>> {
    let Some(claim_header) = conventions.claim_header.as_deref() else {
        return Ok(None);
    };
    if admitted.idempotent {
        return Ok(None);
    }
    let Some(values) = request.header(claim_header) else {
        return match admitted.route.require_id {
            true => Err(Code::IdRequired.into()),
            false => Ok(None),
        };
    };
    let id = values.as_str();
    if values.iter().count() > 1 || id.is_empty() || id.len() > MAX_CLAIM_ID_BYTES {
        let detail = format!("{claim_header} is repeated, empty or longer than {MAX_CLAIM_ID_BYTES} bytes");
        return Err(Error::new(Code::BadRequest, detail));
    }
    Ok(Some(id.into()))
}

/// The service of one part, drawn at random in proportion to the weights; `None` if the weights add up to 0.
pub(super) fn draw_service(parts: &[WeightedService]) -> Option<ServiceId> {
    let total: u64 = parts.iter().map(|p| u64::from(p.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut point = rand::rng().random_range(0..total);
    for part in parts {
        let weight = u64::from(part.weight);
        if point < weight {
            return Some(part.service.clone());
        }
        point -= weight;
    }
    None
}

fn sha256(parts: &[&[u8]]) -> SmolStr {
    let mut hash = Sha256::new();
    for part in parts {
        // The length prefix makes the boundaries of the parts unambiguous.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hex::encode(hash.finalize()).into()
}
