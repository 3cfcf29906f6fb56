//! Traits of the stages that the request path calls.
//!
//! `proxy.rs` is generic over them, so that each stage can be tested with small fakes of the others.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::Result;
use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::Rank;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::moment::Moment;
use crate::notice::Notice;
use crate::view::Customer;
use crate::view::Route;
use crate::view::View;

/// Configuration of this VM.
pub trait Config: Send + Sync + 'static {
    /// The current view.
    fn view(&self) -> Arc<View>;

    /// Waits until a process that has just started has its first configuration, at most for a short time.
    fn wait_initial(&self) -> impl Future<Output = ()> + Send {
        async {}
    }

    /// Whether a majority has recently confirmed that no accepted security change is missing.
    fn is_fresh(&self, now: Instant) -> bool;

    /// Whether requests with a key are admitted even while the configuration is not fresh.
    fn admits_stale(&self) -> bool {
        false
    }
}

/// Enforces the rate and burst of customers.
pub trait Limits: Send + Sync + 'static {
    /// Takes one token of the customer; waits for it until the deadline at most.
    ///
    /// # Errors
    /// `OverRate` if there is no token, `LimitUnavailable` if no VM grants tokens at the moment.
    fn take_token(&self, customer: &Customer, deadline: Instant) -> impl Future<Output = Result<()>> + Send;
}

/// A non-idempotent request with an id that the caller chose, for which a claim is made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Customer of the request.
    pub customer: CustomerId,
    /// The caller's `idempotency-key`.
    pub request: RequestId,
    /// SHA-256 of method, path and body, in hexadecimal.
    pub digest: SmolStr,
}

/// An answer that is kept for later attempts with the same request id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(SmolStr, String)>,
    /// The body; `None` if it is incomplete or too large to be kept.
    pub body: Option<Vec<u8>>,
}

/// Outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// No upstream ran it; a later attempt may run.
    NotRun,
    /// An upstream answered.
    Answered(KeptAnswer),
    /// It was sent, and it is not known whether an upstream ran it.
    Unknown,
}

/// Result of a claim.
#[derive(Debug)]
pub enum Claimed<T> {
    /// This attempt may run; it must pass the ticket to `finish` at its end.
    Run(T),
    /// An earlier attempt was answered; this is its answer.
    Recorded(KeptAnswer),
}

/// Records claims, so that attempts with the same request id run a non-idempotent request at most once.
pub trait Claims: Send + Sync + 'static {
    /// The right to run one request.
    type Ticket: Send + Sync + 'static;

    /// Records the claim on a majority of its holders.
    ///
    /// # Errors
    /// `ClaimUnavailable`, `IdReused`, `InProgress` or `OutcomeUnknown`; this attempt must not run then.
    fn claim(
        &self,
        request: &ClaimRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<Claimed<Self::Ticket>>> + Send;

    /// Whether the request may still be sent under the ticket; called just before each send.
    fn is_valid(&self, ticket: &Self::Ticket, now: Instant) -> bool;

    /// Records the outcome of the request.
    fn finish(&self, ticket: Self::Ticket, outcome: ClaimOutcome) -> impl Future<Output = ()> + Send;
}

/// Properties of a request by which its upstream is chosen.
#[derive(Debug, Clone)]
pub struct ChoiceCriteria<'a> {
    /// Service of the route.
    pub service: &'a ServiceId,
    /// Route of the request.
    pub route: &'a RouteId,
    /// Customer of the request, if it has one.
    pub customer: Option<&'a CustomerId>,
    /// Upstreams that earlier attempts of this request used.
    pub tried: &'a [UpstreamId],
    /// Whether the request is idempotent, so that it may run twice.
    pub idempotent: bool,
    /// Whether the request is among the most urgent of its service.
    pub urgent: bool,
    /// Rank by whose load limit the upstream is chosen; has no effect where requests do not compete by rank.
    pub rank: Rank,
}

/// What decides on a request that competes with others by rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Priority of its customer, or else of its route.
    pub rank: Rank,
    /// Usual latency of its route; zero if it is not known.
    pub usual: Duration,
}

/// Room at the upstreams of a service, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Requests that fit the load limit of a rank at upstreams that are not full.
    pub places: usize,
    /// Age of the last report of the requests in flight from the other VMs.
    pub report_age: Option<Duration>,
}

/// A further attempt of a request.
#[derive(Debug, Clone, Copy)]
pub struct Retry<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Customer of the request, if it has one.
    pub customer: Option<&'a CustomerId>,
}

/// An upstream chosen for one attempt, which counts as in flight there until it is passed to
/// [`Chooser::finish`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenUpstream {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start of the run that was chosen, in milliseconds since 1970 by the upstream's clock; 0 if not known.
    pub run_start: u64,
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Maximum number of connections of this VM to the upstream.
    pub connections: usize,
    /// Why it was chosen, for the log.
    pub reason: &'static str,
    /// Until when the request may be sent, if the upstream is cold and its service limits the requests to such.
    pub permit: Option<Moment>,
}

/// What is known of one run of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Nothing that tells whether it goes on.
    Unknown,
    /// It announced that it leaves.
    Left,
    /// A later run is listed under its name.
    Replaced,
}

/// Result of one attempt at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum AttemptResult {
    /// The upstream answered with a status below 500.
    Answered,
    /// The upstream answered with a status of 500 or more that is not an overload answer, or its answer was
    /// not valid.
    Failed,
    /// The upstream answered that it did not run the request.
    Shed,
    /// No connection could be made.
    Refused,
    /// The connection ended between the request and its answer.
    Died,
    /// The connection ended before the end of the answer.
    Cut,
    /// A reused connection ended or was silent, which may be due to its idle time.
    Stale,
    /// The upstream did not answer within the deadline.
    Late,
    /// The attempt was cancelled, for example because the caller left or another upstream answered first;
    /// says nothing about the upstream.
    Cancelled,
}

/// Result and measurements of one attempt.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Time from the first byte sent to the first byte of the answer.
    pub latency: Duration,
    /// Route of the request.
    pub route: RouteId,
    /// Customer of the request, if it has one.
    pub customer: Option<CustomerId>,
    /// Load that the answer states, in requests in flight at the upstream; `None` if it states none.
    pub load: Option<u32>,
}

/// Chooses upstreams by the results of earlier attempts and keeps the retry budget.
pub trait Chooser: Send + Sync + 'static {
    /// Chooses an upstream for a request.
    ///
    /// # Errors
    /// `NoUpstream` if the service has none, `Overloaded` if all are at their cap on requests in flight.
    fn choose(&self, criteria: &ChoiceCriteria<'_>) -> Result<ChosenUpstream>;

    /// Whether a request of a route and a customer may still be sent to an upstream that was chosen for it: it may have
    /// left, or be closed to these requests, since then.
    fn is_available(
        &self,
        _chosen: &ChosenUpstream,
        _route: &RouteId,
        _customer: Option<&CustomerId>,
    ) -> bool {
        true
    }

    /// What is known of the run that was chosen.
    fn run_state(&self, _chosen: &ChosenUpstream) -> RunState {
        RunState::Unknown
    }

    /// Releases an upstream and records the result of the attempt.
    fn finish(&self, chosen: ChosenUpstream, sample: Sample);

    /// Takes one retry from the budget of the service; false if the budget allows none.
    fn take_retry(&self, service: &ServiceId) -> bool;

    /// Time without a first byte after which an attempt is overdue: its upstream is suspect and, if the
    /// request is idempotent, another upstream is tried as well. `None` if only the deadline counts.
    fn overdue_after(&self, _route: &Route) -> Option<Duration> {
        None
    }

    /// Records that a running attempt has become overdue.
    fn record_overdue(&self, _chosen: &ChosenUpstream) {}

    /// Records what an upstream states about itself in an answer.
    fn record_notice(&self, _chosen: &ChosenUpstream, _notice: Notice) {}

    /// Whether a request whose reused connection ended is sent to the same upstream on a fresh connection,
    /// instead of to another upstream.
    fn reconnects(&self) -> bool {
        true
    }

    /// Whether requests wait in this process while all upstreams are at their cap, instead of being refused
    /// at once.
    fn may_queue(&self) -> bool {
        true
    }

    /// Whether requests compete for the room of a service by rank, instead of customers taking turns.
    fn is_ranked(&self) -> bool {
        false
    }

    /// What decides on a request that competes by rank.
    fn standing(&self, _route: &Route, _customer: Option<&CustomerId>) -> Standing {
        Standing::default()
    }

    /// The room that a rank has at the upstreams of a service.
    fn room(&self, _service: &ServiceId, _rank: Rank) -> Room {
        Room::default()
    }

    /// Whether a route is among the most urgent of its service.
    fn is_urgent(&self, _route: &Route) -> bool {
        true
    }

    /// Whether attempts that were not sent are exempt from the retry budget.
    fn exempts_unsent(&self) -> bool {
        false
    }

    /// Whether `take_retry` would allow one more attempt now.
    fn allows_retry(&self, _retry: &Retry<'_>) -> bool {
        true
    }

    /// As `take_retry`, but the budget may depend on the request and the attempt.
    fn take_retry_for(&self, retry: &Retry<'_>) -> bool {
        self.take_retry(&retry.route.service)
    }

    /// Counts a request of a caller, on which the retry budget depends.
    fn count_request(&self, _service: &ServiceId) {}

    /// Time without a first byte on a reused connection after which a fresh one is tried as well.
    fn reuse_timeout(&self, route: &RouteId) -> Duration;
}

/// Refusal of the requests with one fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// Upstreams that they crashed, as far as they are counted.
    pub crashes: usize,
    /// Time until the end of the block.
    pub left: Duration,
}

/// Blocks requests that crash their upstreams.
pub trait Quarantine: Send + Sync + 'static {
    /// The block of a fingerprint; `None` if its requests are sent.
    fn block(&self, fingerprint: &str, now: Instant) -> Option<Block>;

    /// Whether the fingerprint is blocked.
    fn is_blocked(&self, fingerprint: &str, now: Instant) -> bool {
        self.block(fingerprint, now).is_some()
    }

    /// Records that an upstream answered a request with the fingerprint, and not with a server error; this
    /// counts against one report.
    fn record_answer(&self, _fingerprint: &str) {}

    /// Reports to all VMs that a request crashed its upstream.
    fn report(&self, fingerprint: &str) -> impl Future<Output = ()> + Send;
}
