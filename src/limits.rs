//! Rate limits of the entry VMs: runs the leases and token grants of `lease` and `grant` over RPC.
//!
//! Each VM is a witness and a holder of leases, an owner that grants tokens, and a spender of tokens.

mod leases;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use fail::fail_point;
use futures::channel::oneshot;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::grant;
use crate::grant::Grant;
use crate::grant::Owner;
use crate::grant::SpendOutcome;
use crate::grant::TokenPool;
use crate::grant::TokenRequest;
use crate::grant::pool::Ticket;
use crate::id::CustomerId;
use crate::id::Incarnation;
use crate::id::Version;
use crate::id::VmName;
use crate::lease::LeaseGranter;
use crate::lease::LeaseHolder;
use crate::lease::LeaseReply;
use crate::lease::LeaseRequest;
use crate::lease::PARTITION_COUNT;
use crate::lease::Placement;
use crate::peers::Peers;
use crate::secret::Secret;
use crate::stage::Config;
use crate::stage::Limits;
use crate::timer::Ticks;
use crate::timer::Timer;
use crate::view::Customer;

/// Longest wait of a request for a token; the design states the value.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Time-out of a call to a witness or an owner; the token pool uses the same time for a token request.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
const TOKEN_REFRESH_PERIOD: Duration = Duration::from_millis(50);
const LEASE_REFRESH_PERIOD: Duration = Duration::from_millis(100);
/// Delay before a spender repeats a request to a VM without the lease; a new holder is found within seconds.
const NO_LEASE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Lists the entry VMs that can hold leases.
pub trait LiveVms: Send + Sync + 'static {
    /// Names of the VMs with a recent heartbeat that are not leaving, in ascending order.
    ///
    /// A VM that cannot reach a majority of the witnesses should not be among them: it would be chosen as
    /// owner but never get the lease.
    fn live_vms(&self, now: Instant) -> Vec<VmName>;
}

/// Parameters of `grant.ask`.
#[derive(Debug, Serialize, Deserialize)]
struct TokenRequests {
    #[serde(rename = "asks")]
    requests: Vec<TokenRequest>,
}

/// State of this VM as a witness, a holder of leases and an owner of shares.
struct OwnerState {
    granter: LeaseGranter,
    holder: LeaseHolder,
    placement: Placement,
    owner: Owner,
}

/// State of this VM as a spender of tokens.
struct SpenderState {
    pool: TokenPool,
    waiters: HashMap<Ticket, oneshot::Sender<()>>,
    /// Version of the view whose limits the pool has.
    view_version: Version,
}

struct Inner<C, L> {
    vm: VmName,
    config: Arc<C>,
    live_vms: Arc<L>,
    peers: Peers,
    owner_state: Mutex<OwnerState>,
    spender: Mutex<SpenderState>,
    stopped: AtomicBool,
}

/// Admits requests within the rate and burst that a customer has on all VMs together; see [`Limits`].
pub struct FleetLimits<C, L> {
    inner: Arc<Inner<C, L>>,
}

impl<C: Config, L: LiveVms> FleetLimits<C, L> {
    /// Starts the tasks that renew the leases and the tokens of this VM.
    pub fn spawn(
        vm: VmName,
        incarnation: Incarnation,
        secret: Secret,
        config: Arc<C>,
        live_vms: Arc<L>,
        timer: &Timer,
    ) -> Self {
        let owner_state = OwnerState {
            granter: LeaseGranter::new(Instant::now()),
            holder: LeaseHolder::new(vm.clone(), incarnation),
            placement: Placement::default(),
            owner: Owner::new(),
        };
        let spender = SpenderState {
            pool: TokenPool::new(vm.clone(), incarnation),
            waiters: HashMap::new(),
            view_version: 0,
        };
        let inner = Arc::new(Inner {
            vm,
            config,
            live_vms,
            peers: Peers::new(secret),
            owner_state: Mutex::new(owner_state),
            spender: Mutex::new(spender),
            stopped: AtomicBool::new(false),
        });
        task::spawn(renew_leases_periodically(
            Arc::clone(&inner),
            timer.subscribe(LEASE_REFRESH_PERIOD),
        ));
        task::spawn(refresh_tokens_periodically(
            Arc::clone(&inner),
            timer.subscribe(TOKEN_REFRESH_PERIOD),
        ));
        Self { inner }
    }

    /// Adds the methods `lease.request` and `grant.ask`.
    ///
    /// # Errors
    /// `Kernel` if a method is already registered.
    pub fn register(&self, module: &mut RpcModule<()>) -> Result<()> {
        let inner = Arc::clone(&self.inner);
        let lease = module.register_method("lease.request", move |params, _, _| {
            let request: LeaseRequest = params.parse()?;
            Ok::<_, ErrorObjectOwned>(inner.answer_lease_request(&request))
        });
        lease.map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
        let inner = Arc::clone(&self.inner);
        let grant = module.register_method("grant.ask", move |params, _, _| {
            let params: TokenRequests = params.parse()?;
            Ok::<_, ErrorObjectOwned>(inner.answer_token_requests(&params.requests))
        });
        grant.map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
        Ok(())
    }

    /// Number of partitions whose leases this VM holds.
    pub fn held_partitions(&self) -> usize {
        let now = Instant::now();
        let owner_state = self.inner.owner_state.lock().unwrap();
        let leases = (0..PARTITION_COUNT).filter_map(|p| owner_state.holder.held(now, p));
        leases.count()
    }
}

impl<C: Config, L: LiveVms> Limits for FleetLimits<C, L> {
    async fn take_token(&self, customer: &Customer, deadline: Instant) -> Result<()> {
        let now = Instant::now();
        let deadline = deadline.min(now + MAX_TOKEN_WAIT);
        let (admission, requests) = self.inner.spend(now, customer, deadline);
        Inner::send_token_requests(&self.inner, requests);
        let (ticket, mut receiver) = match admission {
            Admission::Admitted => return Ok(()),
            Admission::Refused => return Err(self.inner.refusal(&customer.id)),
            Admission::Queued(ticket, receiver) => (ticket, receiver),
        };
        let wait = deadline.saturating_duration_since(now);
        // The receiver is kept until `cancel`: `refresh_tokens` removes a waiter without a receiver, and
        // `cancel` treats a request without a waiter as one that got its token.
        if matches!(future::timeout(wait, &mut receiver).await, Ok(Ok(()))) {
            return Ok(());
        }
        // The token may have come between the timeout and this point.
        if self.inner.cancel(&customer.id, ticket) {
            return Err(self.inner.refusal(&customer.id));
        }
        Ok(())
    }
}

impl<C: Config, L: LiveVms> Component for FleetLimits<C, L> {
    const NAME: &'static str = "limits";

    async fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
    }
}

/// Result of spending a token on a request.
enum Admission {
    Admitted,
    Refused,
    /// Waits for a token; the receiver is notified when the request gets it.
    Queued(Ticket, oneshot::Receiver<()>),
}

impl<C: Config, L: LiveVms> Inner<C, L> {
    fn spend(&self, now: Instant, customer: &Customer, deadline: Instant) -> (Admission, Vec<TokenRequest>) {
        let mut spender = self.spender.lock().unwrap();
        let outcome = spender.pool.spend(now, customer, deadline);
        let requests = spender.pool.due_requests(now, &customer.id);
        let admission = match outcome {
            SpendOutcome::Spent => Admission::Admitted,
            SpendOutcome::Refused => Admission::Refused,
            SpendOutcome::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                spender.waiters.insert(ticket, sender);
                Admission::Queued(ticket, receiver)
            }
        };
        (admission, requests)
    }

    /// The error for a request that got no token. Unless it is `OverRate`, the caller may retry at once at
    /// another VM.
    fn refusal(&self, customer: &CustomerId) -> Error {
        let has_recent_answer = self
            .spender
            .lock()
            .unwrap()
            .pool
            .has_recent_answer(Instant::now(), customer);
        if has_recent_answer {
            Code::OverRate.into()
        } else {
            Code::LimitUnavailable.into()
        }
    }

    /// Removes a queued request; `false` if it already got its token.
    fn cancel(&self, customer: &CustomerId, ticket: Ticket) -> bool {
        let mut spender = self.spender.lock().unwrap();
        spender.pool.cancel(customer, ticket);
        spender.waiters.remove(&ticket).is_some()
    }

    /// Sends token requests to the owners of their shares, one message for each owner.
    fn send_token_requests(inner: &Arc<Self>, requests: Vec<TokenRequest>) {
        if requests.is_empty() {
            return;
        }
        fail_point!("grant.send", |_| ());
        for (owner, requests) in inner.group_by_owner(requests) {
            if owner == inner.vm {
                let grants = inner.answer_token_requests(&requests);
                Self::receive_grants(inner, &grants);
                continue;
            }
            let inner = Arc::clone(inner);
            task::spawn(async move { Self::request_tokens(&inner, &owner, requests).await });
        }
    }

    /// Groups the requests by the owner of their share. One whose partition is assigned to no VM is left out
    /// and times out like an unanswered one.
    fn group_by_owner(&self, requests: Vec<TokenRequest>) -> BTreeMap<VmName, Vec<TokenRequest>> {
        let owner_state = self.owner_state.lock().unwrap();
        let mut groups = BTreeMap::<_, Vec<_>>::new();
        for request in requests {
            let partition = grant::partition(&request.customer, request.share, PARTITION_COUNT);
            if let Some(owner) = owner_state.placement.owner(partition) {
                groups.entry(owner.clone()).or_default().push(request);
            }
        }
        groups
    }

    async fn request_tokens(inner: &Arc<Self>, owner: &VmName, requests: Vec<TokenRequest>) {
        let view = inner.config.view();
        let params = TokenRequests { requests };
        let call = inner.peers.call(&view, owner, "grant.ask", &params, CALL_TIMEOUT);
        // No action on an error: `TokenPool::tick` drops requests without an answer and sends others to
        // other shares.
        let grants: Vec<Grant> = call.await.unwrap_or_default();
        fail_point!("grant.receive", |_| ());
        Self::receive_grants(inner, &grants);
    }

    fn receive_grants(inner: &Arc<Self>, grants: &[Grant]) {
        let requests = inner.apply_grants(grants);
        Self::send_token_requests(inner, requests);
    }

    /// Adds granted tokens to the pool and notifies the requests that get one; returns the token requests
    /// that are then due.
    fn apply_grants(&self, grants: &[Grant]) -> Vec<TokenRequest> {
        let now = Instant::now();
        let mut spender = self.spender.lock().unwrap();
        let mut requests = Vec::new();
        for grant in grants {
            for ticket in spender.pool.receive(now, grant) {
                if let Some(waiter) = spender.waiters.remove(&ticket) {
                    // Fails if the caller left after its request got the token, which is then lost.
                    let _ = waiter.send(());
                }
            }
            requests.extend(spender.pool.due_requests(now, &grant.customer));
        }
        requests
    }

    fn answer_token_requests(&self, requests: &[TokenRequest]) -> Vec<Grant> {
        let view = self.config.view();
        let now = Instant::now();
        // A VM whose view is not fresh may have missed a lowered rate and must not grant by the old one.
        let is_fresh = self.config.is_fresh(now);
        let mut owner_state = self.owner_state.lock().unwrap();
        let OwnerState { holder, owner, .. } = &mut *owner_state;
        let answers = requests.iter().map(|request| {
            let partition = grant::partition(&request.customer, request.share, PARTITION_COUNT);
            let lease = holder.held(now, partition).filter(|_| is_fresh);
            match (lease, view.customers.get(&request.customer)) {
                (Some(lease), Some(customer)) => owner.grant(now, lease, partition, customer, request),
                _ => request.refuse(NO_LEASE_RETRY_DELAY),
            }
        });
        let grants = answers.collect();
        drop(owner_state);
        fail_point!("grant.answer");
        grants
    }

    fn answer_lease_request(&self, request: &LeaseRequest) -> LeaseReply {
        let view = self.config.view();
        let now = Instant::now();
        let mut owner_state = self.owner_state.lock().unwrap();
        owner_state.granter.set_group(now, &view.witnesses);
        owner_state.granter.handle_request(now, request)
    }

    /// Applies the current view and live VMs; returns the lease requests that are due, with their witnesses.
    fn due_lease_requests(&self, now: Instant) -> Vec<(VmName, LeaseRequest)> {
        let view = self.config.view();
        let live = self.live_vms.live_vms(now);
        let mut owner_state = self.owner_state.lock().unwrap();
        owner_state.granter.set_group(now, &view.witnesses);
        owner_state.holder.set_group(&view.witnesses);
        owner_state.placement.update(&live, PARTITION_COUNT);
        let OwnerState {
            holder,
            placement,
            owner,
            ..
        } = &mut *owner_state;
        owner.tick(now, |p| holder.held(now, p));
        holder.tick(now, placement)
    }

    /// Requests leases from one witness and applies its reply.
    async fn request_leases(&self, witness: &VmName, request: &LeaseRequest) {
        let reply = if *witness == self.vm {
            self.answer_lease_request(request)
        } else {
            let view = self.config.view();
            let call = self
                .peers
                .call(&view, witness, "lease.request", request, CALL_TIMEOUT);
            let Ok(reply) = call.await else { return };
            reply
        };
        fail_point!("lease.reply", |_| ());
        let mut owner_state = self.owner_state.lock().unwrap();
        owner_state.holder.apply_reply(Instant::now(), witness, &reply);
    }

    /// Applies changed limits and expires tokens; returns the token requests that are due.
    fn refresh_tokens(&self, now: Instant) -> Vec<TokenRequest> {
        let view = self.config.view();
        let mut spender = self.spender.lock().unwrap();
        if view.version != spender.view_version {
            spender.view_version = view.version;
            spender.pool.set_limits(&view.customers);
        }
        let SpenderState { pool, waiters, .. } = &mut *spender;
        let requests = pool.tick(now);
        waiters.retain(|_, w| !w.is_canceled());
        requests
    }
}

async fn renew_leases_periodically<C: Config, L: LiveVms>(inner: Arc<Inner<C, L>>, ticks: Ticks) {
    while let Some(now) = ticks.next().await {
        if inner.stopped.load(Ordering::Relaxed) {
            return;
        }
        for (witness, request) in inner.due_lease_requests(now) {
            let inner = Arc::clone(&inner);
            task::spawn(async move { inner.request_leases(&witness, &request).await });
        }
    }
}

async fn refresh_tokens_periodically<C: Config, L: LiveVms>(inner: Arc<Inner<C, L>>, ticks: Ticks) {
    while ticks.next().await.is_some() {
        if inner.stopped.load(Ordering::Relaxed) {
            return;
        }
        let requests = inner.refresh_tokens(Instant::now());
        Inner::send_token_requests(&inner, requests);
    }
}
