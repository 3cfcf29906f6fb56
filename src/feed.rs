//! Component that keeps the configuration of an entry VM current, serves it to peers and tracks its
//! freshness.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use log::info;
use log::warn;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::catalog::delta::Delta;
use crate::clients::Clients;
use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::freshness::Freshness;
use crate::gossip::VmIdentity;
use crate::id::Incarnation;
use crate::id::Version;
use crate::id::VmName;
use crate::job::Jobs;
use crate::operator::params::FetchParams;
use crate::operator::params::FetchResult;
use crate::operator::params::JoinParams;
use crate::operator::params::JoinResult;
use crate::settings::EntrySettings;
use crate::settings::Peer;
use crate::stage::Config;
use crate::timer::Timer;
use crate::view::View;

/// Name of the RPC method that returns the changes after a version.
pub const FETCH_METHOD: &str = "config.fetch";
/// Name of the RPC method that registers a VM.
pub const JOIN_METHOD: &str = "vm.join";
/// Name of the RPC method that returns the confirmed version of a witness.
pub const EXCHANGE_METHOD: &str = "version.exchange";
/// Time between two fetches of the configuration.
pub const FETCH_PERIOD: Duration = Duration::from_millis(500);
/// Time between two exchanges with the witnesses; three of them fit in the validity of a confirmation.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(900);
const FETCH_TIMEOUT: Duration = Duration::from_millis(450);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive failed fetches from control after which a peer is asked.
const FAILURES_BEFORE_PEER: usize = 2;
/// Largest number of recent changes kept for peers; a peer that is further behind gets a snapshot.
const MAX_TAIL_CHANGES: usize = 1_000;
/// Largest number of changes in one answer.
const MAX_ANSWER_CHANGES: usize = 500;

/// Request for the confirmed version of a witness.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// VM that asks.
    pub vm: VmName,
}

/// Answer of a witness to an [`ExchangeRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// Its configuration version; `None` while that is unconfirmed.
    pub version: Option<Version>,
}

/// Copy of the configuration and of its latest changes.
#[derive(Debug, Default)]
pub struct ConfigCache {
    view: Arc<View>,
    /// Latest changes, in order of their versions.
    tail: VecDeque<Delta>,
    /// The tail holds all changes after this version.
    base: Version,
}

struct Shared {
    me: VmIdentity,
    /// Address of this VM for requests of callers.
    caller: SocketAddr,
    control: Vec<Peer>,
    clients: Arc<Clients>,
    cache: Mutex<ConfigCache>,
    /// The configuration in use.
    view: RwLock<Arc<View>>,
    freshness: Mutex<Freshness>,
    was_fresh: Mutex<bool>,
    /// Position of the control replica to ask in the list of replicas.
    control_index: AtomicUsize,
    /// Consecutive failed fetches from control.
    control_failures: AtomicUsize,
    /// Address of a witness with a newer version, for the next fetch from a peer.
    newer_peer: Mutex<Option<SocketAddr>>,
}

/// The running component; provides the configuration of this VM.
pub struct ConfigFeed {
    shared: Arc<Shared>,
    jobs: Jobs,
}

/// Registration of an earlier run of this VM, according to control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreviousRun {
    /// Whether a control leader answered.
    pub is_known: bool,
    /// Incarnation of the last registered run; `None` if there was none or control did not answer.
    pub incarnation: Option<Incarnation>,
}

/// Asks the control replicas for the last registered run of a VM, for at most about `limit`.
pub async fn find_previous_run(
    vm: &VmName,
    control: &[Peer],
    clients: &Clients,
    limit: Duration,
) -> PreviousRun {
    let params = FetchParams {
        vm: vm.clone(),
        incarnation: 0,
        version: 0,
        limit: Some(1),
    };
    let end = Instant::now() + limit;
    while Instant::now() < end {
        for replica in control {
            let client = clients.client(replica.address);
            let answer: Result<FetchResult> = client.call(FETCH_METHOD, &params, FETCH_TIMEOUT).await;
            if let Some(answer) = answer.ok().filter(|a| a.leader) {
                return PreviousRun {
                    is_known: true,
                    incarnation: answer.registered,
                };
            }
        }
        task::sleep(FETCH_TIMEOUT / 2).await;
    }
    PreviousRun {
        is_known: false,
        incarnation: None,
    }
}

impl ConfigFeed {
    /// Starts to fetch the configuration.
    pub fn spawn(settings: &EntrySettings, me: &VmIdentity, clients: Arc<Clients>, timer: &Timer) -> Self {
        let shared = Arc::new(Shared {
            me: me.clone(),
            caller: settings.advertise,
            control: settings.common.control.clone(),
            clients,
            cache: Mutex::default(),
            view: RwLock::default(),
            freshness: Mutex::new(Freshness::new(me.vm.clone())),
            was_fresh: Mutex::new(false),
            control_index: AtomicUsize::new(0),
            control_failures: AtomicUsize::new(0),
            newer_peer: Mutex::new(None),
        });
        let jobs = Jobs::default();
        let (ticks, worker) = (timer.subscribe(FETCH_PERIOD), Arc::clone(&shared));
        jobs.spawn(async move {
            while ticks.next().await.is_some() {
                worker.fetch().await;
                worker.record_freshness();
            }
        });
        let (ticks, worker) = (timer.subscribe(EXCHANGE_PERIOD), Arc::clone(&shared));
        jobs.spawn(async move {
            while let Some(now) = ticks.next().await {
                worker.exchange(now);
            }
        });
        Self { shared, jobs }
    }

    /// Adds `config.fetch` and `version.exchange` to the methods of the process.
    ///
    /// # Errors
    /// `Kernel` if a method is already registered.
    pub fn register(&self, module: &mut RpcModule<()>) -> Result<()> {
        let kernel_error = |e: jsonrpsee::core::RegisterMethodError| Error::new(Code::Kernel, e.to_string());
        let shared = Arc::clone(&self.shared);
        module
            .register_method(
                FETCH_METHOD,
                move |params, _, _| -> std::result::Result<FetchResult, ErrorObjectOwned> {
                    let request: FetchParams = params.parse()?;
                    Ok(shared.cache.lock().unwrap().answer(&request))
                },
            )
            .map_err(kernel_error)?;
        let shared = Arc::clone(&self.shared);
        module
            .register_method(
                EXCHANGE_METHOD,
                move |params, _, _| -> std::result::Result<ExchangeResponse, ErrorObjectOwned> {
                    let _: ExchangeRequest = params.parse()?;
                    let version = shared.freshness.lock().unwrap().confirmed_version();
                    Ok(ExchangeResponse { version })
                },
            )
            .map_err(kernel_error)?;
        Ok(())
    }
}

impl Config for ConfigFeed {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.shared.view.read().unwrap())
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.shared.freshness.lock().unwrap().is_fresh(now)
    }
}

impl Component for ConfigFeed {
    const NAME: &'static str = "feed";

    async fn stop(&self) {
        self.jobs.stop().await;
    }
}

impl ConfigCache {
    /// Applies an answer; changes that were applied before, and older snapshots, are ignored.
    ///
    /// Returns whether the version advanced.
    pub fn apply(&mut self, answer: FetchResult) -> bool {
        let before = self.view.version;
        if let Some(snapshot) = answer.snapshot.filter(|s| s.version > before) {
            self.base = snapshot.version;
            self.tail.clear();
            self.view = Arc::new(snapshot);
        }
        for delta in answer.changes.unwrap_or_default() {
            if delta.version <= self.view.version {
                continue;
            }
            delta.apply(Arc::make_mut(&mut self.view));
            self.tail.push_back(delta);
            if self.tail.len() > MAX_TAIL_CHANGES {
                self.base = self.tail.pop_front().map_or(self.base, |d| d.version);
            }
        }
        self.view.version > before
    }

    /// Answers the fetch of a peer, like a control replica that is not the leader.
    pub fn answer(&self, request: &FetchParams) -> FetchResult {
        let is_kept = request.version >= self.base;
        let limit = request
            .limit
            .unwrap_or(MAX_ANSWER_CHANGES)
            .clamp(1, MAX_ANSWER_CHANGES);
        let newer = self.tail.iter().filter(|d| d.version > request.version);
        FetchResult {
            version: self.view.version,
            leader: false,
            registered: self.view.vms.get(&request.vm).map(|v| v.incarnation),
            changes: is_kept.then(|| newer.take(limit).cloned().collect()),
            snapshot: (!is_kept).then(|| (*self.view).clone()),
        }
    }

    /// The configuration.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }
}

impl Shared {
    async fn fetch(&self) {
        if self.fetch_control().await {
            self.control_failures.store(0, Ordering::Relaxed);
            return;
        }
        let control_failures = self.control_failures.fetch_add(1, Ordering::Relaxed) + 1;
        self.control_index.fetch_add(1, Ordering::Relaxed);
        if control_failures >= FAILURES_BEFORE_PEER {
            self.fetch_peer().await;
        }
    }

    /// Fetches from a control replica; `false` if it does not answer as the leader, as peers may then
    /// have a newer version.
    async fn fetch_control(&self) -> bool {
        let index = self.control_index.load(Ordering::Relaxed) % self.control.len();
        let sent = Instant::now();
        let Ok(answer) = self.fetch_from(self.control[index].address).await else {
            return false;
        };
        let (leader, version, registered) = (answer.leader, answer.version, answer.registered);
        self.apply(answer);
        if !leader {
            return false;
        }
        let now = Instant::now();
        self.freshness
            .lock()
            .unwrap()
            .record_leader_answer(sent, version, now);
        if registered != Some(self.me.incarnation) {
            self.join(registered).await;
        }
        true
    }

    async fn fetch_peer(&self) {
        let newer_peer = self.newer_peer.lock().unwrap().take();
        let view = Arc::clone(&self.view.read().unwrap());
        let mut peers: Vec<SocketAddr> = view.vms.values().map(|vm| vm.peer).collect();
        peers.extend(self.clients.peer_addresses());
        peers.retain(|address| *address != self.me.peer);
        let random = peers.choose(&mut rand::rng()).copied();
        let Some(address) = newer_peer.or(random) else {
            return;
        };
        if let Ok(answer) = self.fetch_from(address).await {
            self.apply(answer);
        }
    }

    async fn fetch_from(&self, address: SocketAddr) -> Result<FetchResult> {
        let params = FetchParams {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            version: self.freshness.lock().unwrap().version(),
            limit: Some(MAX_ANSWER_CHANGES),
        };
        self.clients
            .client(address)
            .call(FETCH_METHOD, &params, FETCH_TIMEOUT)
            .await
    }

    fn apply(&self, answer: FetchResult) {
        let view = {
            let mut cache = self.cache.lock().unwrap();
            if !cache.apply(answer) {
                return;
            }
            cache.view()
        };
        // The view must be in use before the freshness counts its version.
        *self.view.write().unwrap() = Arc::clone(&view);
        let mut freshness = self.freshness.lock().unwrap();
        freshness.set_config(view.version, view.witnesses.clone(), Instant::now());
        event::record(
            Kind::ConfigApplied,
            About::detail(format!("version {}", view.version)),
        );
    }

    async fn join(&self, registered: Option<Incarnation>) {
        let me = &self.me;
        if let Some(other) = registered.filter(|other| *other > me.incarnation) {
            warn!(
                "VM {} does not register: incarnation {other} of another run exceeds its own, {}",
                me.vm, me.incarnation
            );
            return;
        }
        let params = JoinParams {
            vm: me.vm.clone(),
            domain: me.domain.clone(),
            caller: self.caller,
            peer: me.peer,
            incarnation: me.incarnation,
        };
        let index = self.control_index.load(Ordering::Relaxed) % self.control.len();
        let client = self.clients.client(self.control[index].address);
        let joined: Result<JoinResult> = client.call(JOIN_METHOD, &params, JOIN_TIMEOUT).await;
        match joined {
            Ok(answer) => info!(
                "VM {} is registered in configuration version {}",
                me.vm, answer.version
            ),
            Err(e) => warn!("registration of VM {} failed: {e}", me.vm),
        }
    }

    fn exchange(self: &Arc<Self>, now: Instant) {
        let witnesses = self.freshness.lock().unwrap().witnesses_to_ask(now);
        let view = Arc::clone(&self.view.read().unwrap());
        for witness in witnesses {
            let Some(address) = view.vms.get(&witness).map(|vm| vm.peer) else {
                continue;
            };
            let shared = Arc::clone(self);
            task::spawn(async move { shared.exchange_with(witness, address).await });
        }
    }

    async fn exchange_with(&self, witness: VmName, address: SocketAddr) {
        let request = ExchangeRequest {
            vm: self.me.vm.clone(),
        };
        let sent = Instant::now();
        let client = self.clients.client(address);
        let answer: Result<ExchangeResponse> = client.call(EXCHANGE_METHOD, &request, EXCHANGE_TIMEOUT).await;
        let Some(version) = answer.ok().and_then(|a| a.version) else {
            return;
        };
        let now = Instant::now();
        let mut freshness = self.freshness.lock().unwrap();
        freshness.record_witness_answer(&witness, sent, version, now);
        if version > freshness.version() {
            *self.newer_peer.lock().unwrap() = Some(address);
        }
    }

    fn record_freshness(&self) {
        let is_fresh = self.freshness.lock().unwrap().is_fresh(Instant::now());
        let mut was_fresh = self.was_fresh.lock().unwrap();
        if is_fresh == *was_fresh {
            return;
        }
        *was_fresh = is_fresh;
        let kind = if is_fresh {
            Kind::FreshnessGained
        } else {
            Kind::FreshnessLost
        };
        event::record(kind, About::default());
    }
}
