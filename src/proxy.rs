//! The request path: from a caller's request to the answer of an upstream.
//!
//! [`Proxy`] is a [`Handler`] for the accept loop of the caller port. It checks a request in this order:
//! route, key, freshness of the configuration, body, quarantine, rate limit, claim. Then `proxy/run.rs` makes
//! the attempts. The body is read before the quarantine is checked, because its digest is part of the
//! fingerprint.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use futures::future::Either;
use futures::future::select;
use parking_lot::Mutex;
use prometheus::Registry;
use smol_str::SmolStr;
use tide::http::Request;
use tide::http::Response;

use crate::answer;
use crate::body_budget::BodyBudget;
use crate::code::Code;
use crate::conventions::HttpConventions;
use crate::error::Error;
use crate::error::Result;
use crate::head;
use crate::http::Caller;
use crate::http::Handler;
use crate::http::UnwrittenReason;
use crate::id::RequestId;
use crate::pool::Pool;
use crate::settings::EntrySettings;
use crate::stage::Chooser;
use crate::stage::ClaimOutcome;
use crate::stage::ClaimRequest;
use crate::stage::Claimed;
use crate::stage::Claims;
use crate::stage::Config;
use crate::stage::Limits;
use crate::stage::Quarantine;
use crate::target::Target;
use crate::view::Customer;
use crate::view::Route;
use crate::view::View;

mod attempt;
mod body;
mod connect;
mod crash;
mod decision;
mod forward;
mod key;
mod meter;
mod notices;
mod queue;
mod refusal;
mod request;
mod response;
mod run;
mod stream;
mod trace;

use self::crash::PossibleCrashes;
use self::decision::Decision;
use self::decision::Destination;
pub use self::decision::PathRules;
use self::meter::Meter;
use self::queue::Queue;
use self::request::AdmittedRequest;
use self::run::Completion;
use self::trace::Trace;

/// Prefix of the paths that `zinnia-entry` answers itself.
pub const SYSTEM_PREFIX: &str = "/.zinnia/";
/// Longest time limit of a request; a longer one that a caller states is reduced to it.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(3_600);
/// How often [`Proxy::stop`] checks whether all tasks have ended.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(5);

/// The types of the stages of a proxy.
pub trait Stages: Send + Sync + 'static {
    /// Configuration of routes, keys and customers.
    type Config: Config;
    /// Rate limits of customers.
    type Limits: Limits;
    /// Claims of non-idempotent requests.
    type Claims: Claims;
    /// Selection of upstreams and their retry budget.
    type Chooser: Chooser;
    /// Blocking of requests that crash upstreams.
    type Quarantine: Quarantine;
    /// Answers for the proxy's own paths; see [`PathRules::own_prefix`].
    type Directory: Directory;
}

/// Answers requests for the proxy's own paths.
pub trait Directory: Send + Sync + 'static {
    /// Answers one request; its key has not been checked.
    fn respond(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// The stages of a proxy.
pub struct StageSet<S: Stages> {
    /// Configuration of routes, keys and customers.
    pub config: Arc<S::Config>,
    /// Rate limits of customers.
    pub limits: Arc<S::Limits>,
    /// Claims of non-idempotent requests.
    pub claims: Arc<S::Claims>,
    /// Selection of upstreams and their retry budget.
    pub chooser: Arc<S::Chooser>,
    /// Blocking of requests that crash upstreams.
    pub quarantine: Arc<S::Quarantine>,
    /// Answers for the proxy's own paths; see [`PathRules::own_prefix`].
    pub directory: Arc<S::Directory>,
}

/// Settings of a proxy.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// Own paths and dot segments.
    pub paths: PathRules,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Memory for the bodies of all requests, in bytes; a single body may be larger.
    pub body_memory: usize,
    /// Time within which the request body must be received.
    pub read_timeout: Duration,
    /// Time limit of a request if neither the request nor its route states one.
    pub request_timeout: Duration,
    /// Headers and conventions of callers and upstreams.
    pub conventions: HttpConventions,
    /// Whether a quarantined request is refused with a server error (`NoUpstream`) instead of a client error,
    /// which states that the request itself is at fault.
    pub soft_quarantine: bool,
}

impl From<&EntrySettings> for ProxySettings {
    fn from(settings: &EntrySettings) -> Self {
        Self {
            paths: PathRules {
                own_prefix: Some(SYSTEM_PREFIX.into()),
                guards_resolved: settings.guard_resolved,
            },
            body_limit: settings.body_limit,
            body_memory: settings.body_memory,
            read_timeout: settings.read_limit,
            request_timeout: settings.request_limit,
            conventions: HttpConventions::default(),
            soft_quarantine: false,
        }
    }
}

/// The request path; clones share one state.
///
/// ```text
/// let proxy = Proxy::<Entry>::spawn(stages, ProxySettings::from(&settings), &registry)?;
/// let server = http::bind(settings.caller, limits, Arc::new(proxy.clone())).await?;
/// ...
/// server.stop(timeout).await;   // first, the connections of callers
/// proxy.stop(timeout).await;    // then, requests whose callers have left
/// ```
pub struct Proxy<S: Stages> {
    shared: Arc<Shared<S>>,
}

impl<S: Stages> Clone for Proxy<S> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

pub(crate) struct Shared<S: Stages> {
    stages: StageSet<S>,
    settings: ProxySettings,
    pool: Pool,
    bodies: Arc<BodyBudget>,
    queue: Queue<S>,
    meter: Meter,
    possible_crashes: Mutex<PossibleCrashes>,
    /// Running tasks, each of which executes a request, relays an answer or finishes a claim.
    tasks: AtomicUsize,
    /// Random prefix that makes the request ids of this process unique in the fleet.
    id_prefix: u64,
    id_counter: AtomicU64,
}

impl<S: Stages> Proxy<S> {
    /// Starts the request path and registers its metrics.
    ///
    /// # Errors
    /// `Kernel` if the metrics are already registered.
    pub fn spawn(stages: StageSet<S>, settings: ProxySettings, registry: &Registry) -> Result<Self> {
        let shared = Shared {
            bodies: BodyBudget::new(settings.body_memory),
            stages,
            settings,
            pool: Pool::spawn(),
            queue: Queue::default(),
            meter: Meter::new(registry)?,
            possible_crashes: Mutex::default(),
            tasks: AtomicUsize::new(0),
            id_prefix: rand::random(),
            id_counter: AtomicU64::new(0),
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// The budget of request bodies.
    pub fn bodies(&self) -> &Arc<BodyBudget> {
        &self.shared.bodies
    }

    /// Number of running tasks that execute a request, relay an answer or finish a claim, including those
    /// whose callers have left.
    pub fn running_tasks(&self) -> usize {
        self.shared.tasks.load(Ordering::SeqCst)
    }

    /// Waits until all tasks have ended, including those of requests whose callers have left.
    ///
    /// Returns the number of tasks that still run after `timeout`.
    pub async fn stop(&self, timeout: Duration) -> usize {
        let end = Instant::now() + timeout;
        while self.running_tasks() > 0 && Instant::now() < end {
            task::sleep(STOP_POLL_PERIOD).await;
        }
        self.running_tasks()
    }

    /// Counts the requests and tasks that were unfinished at the end of a stop.
    pub(crate) fn count_unfinished(&self, requests: usize, tasks: usize) {
        self.shared.meter.count_unfinished(requests, tasks);
    }
}

impl<S: Stages> Handler for Proxy<S> {
    async fn respond(&self, request: Request, caller: Caller) -> Response {
        let settings = &self.shared.settings;
        let target = head::sent_target(&request);
        if target.is_ok_and(|target| decision::is_own(&settings.paths, target)) {
            return self.shared.stages.directory.respond(request).await;
        }
        let start = Instant::now();
        let mut trace = Trace::new(&request, &settings.conventions, || self.shared.next_id());
        caller.set_id(trace.id.clone());
        let mut completion = match self.shared.admit(request, start, &mut trace).await {
            Ok(Admission::Run(request, ticket)) => self.shared.clone().execute(request, ticket, caller).await,
            Ok(Admission::Recorded(response)) => Completion::recorded(response),
            Err(error) => self.shared.refuse(error),
        };
        fail::fail_point!("proxy-answer");
        self.shared.meter.count(&completion, start.elapsed());
        trace.end(&mut completion, start.elapsed());
        completion.response
    }

    fn count_refusal(&self, code: Code) {
        self.shared.meter.count_refusal(code);
    }

    fn count_unwritten(&self, reason: UnwrittenReason) {
        self.shared.meter.count_unwritten(reason);
    }
}

/// Route and customer of a request.
struct Identity {
    decision: Decision,
    /// The key as the caller sent it; used to remove it from the forwarded request.
    key: Option<String>,
    customer: Option<Customer>,
    /// Digest of the key that admits the request; `None` on an open route.
    digest: Option<SmolStr>,
}

type Ticket<S> = <<S as Stages>::Claims as Claims>::Ticket;

enum Admission<S: Stages> {
    Run(AdmittedRequest, Option<Ticket<S>>),
    /// The answer recorded for an earlier attempt with the same request id.
    Recorded(Response),
}

impl<S: Stages> Shared<S> {
    async fn admit(&self, mut request: Request, start: Instant, trace: &mut Trace) -> Result<Admission<S>> {
        fail::fail_point!("proxy-accepted");
        self.stages.config.wait_initial().await;
        let view = self.stages.config.view();
        trace.version = view.version;
        let target = head::sent_target(&request)?.clone();
        let identity = self.identify(&view, &request, &target, trace);
        // An outdated configuration may lack an existing route or key, so the request is refused with a code
        // that allows the caller to retry.
        let may_be_outdated = matches!(&identity, Err(e) if matches!(e.code, Code::NoRoute | Code::WrongKey));
        if may_be_outdated && !self.stages.config.is_fresh(Instant::now()) {
            return Err(Code::ConfigStale.into());
        }
        let Identity {
            decision,
            key,
            customer,
            digest,
        } = identity?;
        let conventions = &self.settings.conventions;
        key::check_place(&request, &target, key.as_deref(), conventions)?;
        if customer.is_some() && !self.may_serve() {
            return Err(Code::ConfigStale.into());
        }
        let deadline = start + self.time_limit(&request, &decision.route)?;
        let body = self.read_body(&mut request, deadline).await?;
        key::check_body(body.bytes(), key.as_deref())?;
        fail::fail_point!("proxy-body");
        let mut admitted = AdmittedRequest::new(
            &request,
            &target,
            body,
            decision,
            deadline,
            key.as_deref(),
            conventions,
        );
        admitted.id = trace.id.clone();
        trace.once = Some(!admitted.idempotent);
        admitted.customer = customer.as_ref().map(|c| c.id.clone());
        admitted.key_digest = digest;
        admitted.fingerprint = admitted.compute_fingerprint();
        self.check_quarantine(&admitted)?;
        let id = request::claim_id(&request, &admitted, conventions)?;
        if let Some(customer) = &customer {
            self.stages.limits.take_token(customer, deadline).await?;
        }
        fail::fail_point!("proxy-limit");
        self.stages.chooser.count_request(&admitted.route.service);
        self.claim(admitted, customer.as_ref(), id).await
    }

    fn identify(
        &self,
        view: &View,
        request: &Request,
        target: &Target,
        trace: &mut Trace,
    ) -> Result<Identity> {
        let destination = decision::decide(view, &self.settings.paths, request.method(), target);
        let Destination::Route(decision) = destination else {
            return Err(Code::NoRoute.into());
        };
        let route = &decision.route;
        trace.service = Some(route.service.clone());
        trace.route = Some(route.id.clone());
        let conventions = &self.settings.conventions;
        let key = key::find(request, conventions)?;
        if !decision.needs_key {
            return Ok(Identity {
                decision,
                key,
                customer: None,
                digest: None,
            });
        }
        let digest = key::digest(key.as_deref(), conventions)?;
        let customer = key::customer(view, &digest)?.clone();
        trace.customer = Some(customer.id.clone());
        Ok(Identity {
            decision,
            key,
            customer: Some(customer),
            digest: Some(digest),
        })
    }

    async fn claim(
        &self,
        request: AdmittedRequest,
        customer: Option<&Customer>,
        id: Option<RequestId>,
    ) -> Result<Admission<S>> {
        let (Some(id), Some(customer)) = (id, customer) else {
            return Ok(Admission::Run(request, None));
        };
        let claim_request = ClaimRequest {
            customer: customer.id.clone(),
            request: id,
            digest: request.digest(),
        };
        let admission = match self.stages.claims.claim(&claim_request, request.deadline).await? {
            Claimed::Run(ticket) => Admission::Run(request, Some(ticket)),
            Claimed::Recorded(kept) => Admission::Recorded(answer::kept_response(kept)?),
        };
        fail::fail_point!("proxy-claim");
        Ok(admission)
    }

    fn time_limit(&self, request: &Request, route: &Route) -> Result<Duration> {
        let conventions = &self.settings.conventions;
        let configured = route.limit().unwrap_or(self.settings.request_timeout);
        let Some(header) = request.header(conventions.timeout_header.as_str()) else {
            return Ok(configured);
        };
        let millis: u64 = header.as_str().trim().parse().map_err(|_| {
            let detail = format!("{} is not a number of milliseconds", conventions.timeout_header);
            Error::new(Code::BadRequest, detail)
        })?;
        let stated = Duration::from_millis(millis).min(MAX_REQUEST_TIMEOUT);
        Ok(match conventions.caps_timeout {
            true => stated.min(configured),
            false => stated,
        })
    }

    /// Whether requests with a key may be admitted by the current configuration.
    fn may_serve(&self) -> bool {
        self.stages.config.is_fresh(Instant::now()) || self.stages.config.admits_stale()
    }

    /// Checks again, just before the request is sent, that its key is valid.
    fn check_key(&self, request: &AdmittedRequest) -> Result<()> {
        let Some(digest) = &request.key_digest else {
            return Ok(());
        };
        // The view is read after the freshness check, so that a process that was paused in between does not
        // use the view from before the pause.
        if !self.may_serve() {
            return Err(Code::ConfigStale.into());
        }
        key::customer(&self.stages.config.view(), digest).map(drop)
    }

    /// Executes an admitted request until there is an answer or the caller has left.
    async fn execute(
        self: Arc<Self>,
        request: AdmittedRequest,
        ticket: Option<Ticket<S>>,
        caller: Caller,
    ) -> Completion {
        let request = Arc::new(request);
        let caller_left = Box::pin(caller.disconnected());
        if request.idempotent {
            let run = Box::pin(Arc::clone(&self).run(Arc::clone(&request), ticket));
            // Dropping the future closes the upstream connection, which cancels the request at the upstream.
            return match select(run, caller_left).await {
                Either::Left((completion, _)) => completion,
                Either::Right(_) => Completion::caller_left(),
            };
        }
        // A separate task reads the answer to its end and finishes the claim even if the caller has left.
        let guard = TaskGuard::new(&self);
        let run = Arc::clone(&self).run(Arc::clone(&request), ticket);
        let run = task::spawn(async move {
            let completion = run.await;
            drop(guard);
            completion
        });
        match select(run, caller_left).await {
            Either::Left((completion, _)) => completion,
            Either::Right(_) => {
                request.set_caller_left();
                Completion::caller_left()
            }
        }
    }

    fn next_id(&self) -> SmolStr {
        let number = self.id_counter.fetch_add(1, Ordering::Relaxed);
        SmolStr::from(format!("{:016x}-{number:x}", self.id_prefix))
    }

    async fn finish_claim(&self, ticket: Option<Ticket<S>>, outcome: ClaimOutcome) {
        let Some(ticket) = ticket else { return };
        fail::fail_point!("proxy-finish");
        self.stages.claims.finish(ticket, outcome).await;
    }
}

/// Counts a task as running until it is dropped; [`Proxy::stop`] waits for the count to reach zero.
pub(crate) struct TaskGuard<S: Stages>(Arc<Shared<S>>);

impl<S: Stages> TaskGuard<S> {
    pub(crate) fn new(shared: &Arc<Shared<S>>) -> Self {
        shared.tasks.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(shared))
    }
}

impl<S: Stages> Drop for TaskGuard<S> {
    fn drop(&mut self) {
        self.0.tasks.fetch_sub(1, Ordering::SeqCst);
    }
}
