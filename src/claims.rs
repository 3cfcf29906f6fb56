//! Component that claims request ids on their holders and stores the claims of which this VM is a
//! holder, so that a request that the caller resends does not run twice.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::task;
use fail::fail_point;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::claim::AttemptId;
use crate::claim::ClaimId;
use crate::claim::ClaimRound;
use crate::claim::ClaimState;
use crate::claim::ClaimStore;
use crate::claim::CopyPage;
use crate::claim::CopyRequest;
use crate::claim::Decision;
use crate::claim::FinishRequest;
use crate::claim::MAX_KEPT_BODY_BYTES;
use crate::claim::PutReply;
use crate::claim::PutRequest;
use crate::claim::ROUND_TIMEOUT;
use crate::claim::Registry;
use crate::claim::ReleaseRequest;
use crate::claim::StoreLimits;
use crate::claim::majority;
use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::id::Incarnation;
use crate::id::Version;
use crate::id::VmName;
use crate::peers::Peers;
use crate::secret::Secret;
use crate::stage::ClaimOutcome;
use crate::stage::ClaimRequest;
use crate::stage::Claimed;
use crate::stage::Claims;
use crate::stage::Config;
use crate::timer::Ticks;
use crate::timer::Timer;

/// Rounds of put requests for one claim: the first, and two more after split votes.
const MAX_ROUNDS: u32 = 3;
/// Upper bound of the random delay before the second round, so that competing attempts rarely collide
/// again; the third round doubles it. Also the delay before a failed notification is repeated.
const ROUND_BACKOFF: Duration = Duration::from_millis(40);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of calls to one holder to deliver a finish or release request.
const MAX_NOTIFY_TRIES: u32 = 3;
const COPY_PERIOD: Duration = Duration::from_millis(100);

struct Inner<C> {
    local_vm: VmName,
    incarnation: Incarnation,
    config: Arc<C>,
    peers: Peers,
    store: Mutex<ClaimStore>,
    registry: Mutex<(Version, Arc<Registry>)>,
    next_number: AtomicU64,
    stopped: AtomicBool,
}

/// Claims of this VM's requests and of the requests of which this VM is a holder; see [`Claims`].
pub struct FleetClaims<C> {
    inner: Arc<Inner<C>>,
}

/// A granted claim: allows its request to be sent until a given time.
#[derive(Debug)]
pub struct Ticket {
    id: ClaimId,
    attempt: AttemptId,
    digest: SmolStr,
    holders: Vec<VmName>,
    valid_until: Instant,
}

impl<C: Config> FleetClaims<C> {
    /// Starts the component. `is_first` is set if the registry has no earlier incarnation of this VM, so
    /// that no claims were lost.
    pub fn spawn(
        local_vm: VmName,
        incarnation: Incarnation,
        is_first: bool,
        secret: Secret,
        config: Arc<C>,
        timer: &Timer,
    ) -> Self {
        let view = config.view();
        let registry = Arc::new(Registry::of(&view));
        let store = ClaimStore::new(
            Instant::now(),
            local_vm.clone(),
            incarnation,
            !is_first,
            Arc::clone(&registry),
            StoreLimits::default(),
        );
        let inner = Arc::new(Inner {
            local_vm,
            incarnation,
            config,
            peers: Peers::new(secret),
            store: Mutex::new(store),
            registry: Mutex::new((view.version, registry)),
            next_number: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
        });
        task::spawn(copy_loop(Arc::clone(&inner), timer.subscribe(COPY_PERIOD)));
        Self { inner }
    }

    /// Adds the methods `claim.put`, `claim.finish`, `claim.release` and `claim.copy`.
    ///
    /// # Errors
    /// `Kernel` if a method is already registered.
    pub fn register(&self, module: &mut RpcModule<()>) -> Result<()> {
        self.add_method(module, "claim.put", |inner, request: PutRequest| {
            inner.handle_put(&request)
        })?;
        self.add_method(module, "claim.finish", |inner, request: FinishRequest| {
            inner.store().finish(Instant::now(), &request);
        })?;
        self.add_method(module, "claim.release", |inner, request: ReleaseRequest| {
            inner.store().release(Instant::now(), &request);
        })?;
        self.add_method(module, "claim.copy", |inner, request: CopyRequest| {
            inner.store().copy_page(Instant::now(), &request)
        })
    }

    /// Whether this VM has copied all claims of which it is a holder.
    pub fn is_caught_up(&self) -> bool {
        self.inner.store().is_caught_up()
    }

    fn add_method<P, R>(
        &self,
        module: &mut RpcModule<()>,
        name: &'static str,
        run: impl Fn(&Inner<C>, P) -> R + Send + Sync + 'static,
    ) -> Result<()>
    where
        P: DeserializeOwned,
        R: Serialize + Clone + Send + 'static,
    {
        let inner = Arc::clone(&self.inner);
        let added = module.register_method(name, move |params, _, _| {
            let params: P = params.parse()?;
            Ok::<R, ErrorObjectOwned>(run(&inner, params))
        });
        added.map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
        Ok(())
    }
}

impl<C: Config> Claims for FleetClaims<C> {
    type Ticket = Ticket;

    async fn claim(&self, request: &ClaimRequest, deadline: Instant) -> Result<Claimed<Ticket>> {
        let id = ClaimId {
            customer: request.customer.clone(),
            request: request.request.clone(),
        };
        let mut last_code = Code::ClaimUnavailable;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                let delay = rand::rng().random_range(Duration::from_millis(1)..ROUND_BACKOFF * round);
                task::sleep(delay).await;
            }
            if Instant::now() >= deadline {
                break;
            }
            match Inner::run_round(&self.inner, &id, &request.digest, deadline).await {
                RoundOutcome::Run(ticket) => return Ok(Claimed::Run(ticket)),
                RoundOutcome::Ended(Decision::Recorded(answer)) => return Ok(Claimed::Recorded(answer)),
                RoundOutcome::Ended(Decision::Refused(code)) => return Err(code.into()),
                RoundOutcome::Ended(Decision::Split(code)) => last_code = code,
                // Does not occur: `run_round` returns `RoundOutcome::Run` for this decision.
                RoundOutcome::Ended(Decision::Run(_)) => {}
            }
        }
        Err(last_code.into())
    }

    fn is_valid(&self, ticket: &Ticket, now: Instant) -> bool {
        now < ticket.valid_until
    }

    async fn finish(&self, ticket: Ticket, outcome: ClaimOutcome) {
        let state = match outcome {
            ClaimOutcome::NotRun => {
                fail_point!("claim.before_release", |_| ());
                let release = ReleaseRequest {
                    id: ticket.id,
                    attempt: ticket.attempt,
                };
                return Inner::notify_holders(&self.inner, ticket.holders, "claim.release", release).await;
            }
            ClaimOutcome::Unknown => ClaimState::Unknown,
            ClaimOutcome::Answered(mut answer) => {
                if answer
                    .body
                    .as_ref()
                    .is_some_and(|b| b.len() > MAX_KEPT_BODY_BYTES)
                {
                    answer.body = None;
                }
                ClaimState::Answered(answer)
            }
        };
        fail_point!("claim.before_finish", |_| ());
        let finish = FinishRequest {
            id: ticket.id,
            attempt: ticket.attempt,
            digest: ticket.digest,
            state,
        };
        Inner::notify_holders(&self.inner, ticket.holders, "claim.finish", finish).await;
    }
}

impl<C: Config> Component for FleetClaims<C> {
    const NAME: &'static str = "claims";

    async fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
    }
}

enum RoundOutcome {
    Run(Ticket),
    Ended(Decision),
}

/// Releases a round that ends without a ticket, also if its future is dropped.
struct ReleaseGuard<C: Config> {
    inner: Arc<Inner<C>>,
    holders: Vec<VmName>,
    release: Option<ReleaseRequest>,
}

impl<C: Config> Drop for ReleaseGuard<C> {
    fn drop(&mut self) {
        let Some(release) = self.release.take() else {
            return;
        };
        let inner = Arc::clone(&self.inner);
        let holders = std::mem::take(&mut self.holders);
        task::spawn(async move { Inner::notify_holders(&inner, holders, "claim.release", release).await });
    }
}

impl<C: Config> Inner<C> {
    fn store(&self) -> std::sync::MutexGuard<'_, ClaimStore> {
        self.store.lock().unwrap()
    }

    /// Takes over the registry of the current view, also in the claim store, and returns it.
    fn refresh_registry(&self) -> Arc<Registry> {
        let view = self.config.view();
        let mut cached = self.registry.lock().unwrap();
        if view.version > cached.0 {
            let registry = Arc::new(Registry::of(&view));
            self.store().set_registry(Instant::now(), &registry);
            *cached = (view.version, registry);
        }
        Arc::clone(&cached.1)
    }

    fn handle_put(&self, request: &PutRequest) -> PutReply {
        self.refresh_registry();
        fail_point!("claim.put", |_| PutReply::Copying);
        self.store().put_if_absent(Instant::now(), request)
    }

    async fn run_round(inner: &Arc<Self>, id: &ClaimId, digest: &SmolStr, deadline: Instant) -> RoundOutcome {
        let registry = inner.refresh_registry();
        let holders = registry.holders(id);
        let attempt = AttemptId {
            vm: inner.local_vm.clone(),
            incarnation: inner.incarnation,
            number: inner.next_number.fetch_add(1, Ordering::Relaxed),
        };
        let request = PutRequest {
            id: id.clone(),
            attempt: attempt.clone(),
            digest: digest.clone(),
            registry: registry.id(),
        };
        let started = Instant::now();
        let (mut round, puts) = ClaimRound::start(started, request, holders.clone());
        let mut guard = ReleaseGuard {
            inner: Arc::clone(inner),
            holders: holders.clone(),
            release: Some(round.release_request()),
        };
        let (sender, receiver) = channel::unbounded();
        for (holder, request) in puts {
            let (inner, sender) = (Arc::clone(inner), sender.clone());
            task::spawn(async move { inner.send_put(holder, request, sender).await });
        }
        drop(sender);
        let time_left = deadline
            .min(started + ROUND_TIMEOUT)
            .saturating_duration_since(started);
        let wait = future::timeout(time_left, collect_replies(&mut round, receiver));
        let decision = wait.await.ok().flatten().unwrap_or_else(|| round.conclude());
        let Decision::Run(valid_until) = decision else {
            return RoundOutcome::Ended(decision);
        };
        fail_point!("claim.majority");
        guard.release = None;
        RoundOutcome::Run(Ticket {
            id: id.clone(),
            attempt,
            digest: digest.clone(),
            holders,
            valid_until,
        })
    }

    async fn send_put(&self, holder: VmName, request: PutRequest, sender: Sender<(VmName, PutReply)>) {
        fail_point!("claim.send_put", |_| ());
        let reply = if holder == self.local_vm {
            self.handle_put(&request)
        } else {
            let view = self.config.view();
            let call = self
                .peers
                .call(&view, &holder, "claim.put", &request, ROUND_TIMEOUT);
            let Ok(reply) = call.await else { return };
            reply
        };
        // If the round has ended, the receiver is gone and the reply is not needed.
        let _ = sender.send((holder, reply)).await;
    }

    /// Notifies all holders; returns when a majority has acknowledged it, all calls have ended or
    /// [`CALL_TIMEOUT`] has passed. Open calls continue in the background.
    async fn notify_holders<P>(inner: &Arc<Self>, holders: Vec<VmName>, method: &'static str, params: P)
    where
        P: Serialize + Send + Sync + 'static,
        Self: ApplyLocal<P>,
    {
        let needed = majority(holders.len());
        let params = Arc::new(params);
        let (sender, receiver) = channel::unbounded();
        for holder in holders {
            let (inner, params, sender) = (Arc::clone(inner), Arc::clone(&params), sender.clone());
            task::spawn(async move {
                if inner.notify_holder(&holder, method, &*params).await {
                    let _ = sender.send(()).await;
                }
            });
        }
        drop(sender);
        let acknowledged = async {
            for _ in 0..needed {
                if receiver.recv().await.is_err() {
                    return;
                }
            }
        };
        let _ = future::timeout(CALL_TIMEOUT, acknowledged).await;
    }

    async fn notify_holder<P>(&self, holder: &VmName, method: &'static str, params: &P) -> bool
    where
        P: Serialize + Sync,
        Self: ApplyLocal<P>,
    {
        if *holder == self.local_vm {
            self.apply_local(params);
            return true;
        }
        for _ in 0..MAX_NOTIFY_TRIES {
            let view = self.config.view();
            let call = self.peers.call(&view, holder, method, params, CALL_TIMEOUT);
            let done: Result<()> = call.await;
            if done.is_ok() {
                return true;
            }
            task::sleep(ROUND_BACKOFF).await;
        }
        false
    }

    async fn copy_from(&self, source: &VmName, request: &CopyRequest) {
        let view = self.config.view();
        let call = self
            .peers
            .call(&view, source, "claim.copy", request, CALL_TIMEOUT);
        let page: Result<CopyPage> = call.await;
        fail_point!("claim.copied", |_| ());
        if let Ok(page) = page {
            self.store().apply_page(Instant::now(), source, request, &page);
        }
    }
}

/// Applies a notification to the claim store of this VM.
trait ApplyLocal<P> {
    fn apply_local(&self, request: &P);
}

impl<C: Config> ApplyLocal<FinishRequest> for Inner<C> {
    fn apply_local(&self, request: &FinishRequest) {
        self.store().finish(Instant::now(), request);
    }
}

impl<C: Config> ApplyLocal<ReleaseRequest> for Inner<C> {
    fn apply_local(&self, request: &ReleaseRequest) {
        self.store().release(Instant::now(), request);
    }
}

async fn collect_replies(round: &mut ClaimRound, receiver: Receiver<(VmName, PutReply)>) -> Option<Decision> {
    while let Ok((holder, reply)) = receiver.recv().await {
        let decision = round.handle_reply(Instant::now(), &holder, reply);
        if decision.is_some() {
            return decision;
        }
    }
    None
}

async fn copy_loop<C: Config>(inner: Arc<Inner<C>>, ticks: Ticks) {
    while ticks.next().await.is_some() {
        if inner.stopped.load(Ordering::Relaxed) {
            return;
        }
        inner.refresh_registry();
        let requests = inner.store().tick(Instant::now());
        for (source, request) in requests {
            let inner = Arc::clone(&inner);
            task::spawn(async move { inner.copy_from(&source, &request).await });
        }
    }
}
