//! Start and stop of the process of an entry VM and of a control VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_std::task;
use log::info;
use tide::http::Request;
use tide::http::Response;

use crate::allocator;
use crate::answer;
use crate::catalog::Catalog;
use crate::code::Code;
use crate::component::Components;
use crate::conventions::HttpConventions;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::control_client::ControlClient;
use crate::fleet::control_client::ControlClientSettings;
use crate::fleet::control_client::NoClaims;
use crate::fleet::control_server::ControlServer;
use crate::fleet::control_server::ControlServerSettings;
use crate::fleet::memory;
use crate::fleet::memory::CallBudgets;
use crate::fleet::message::ControlVm;
use crate::fleet::message::EntryVm;
use crate::fleet::retry_budget::RetryBound;
use crate::fleet::warmup::WarmupBound;
use crate::grant::Excess;
use crate::http;
use crate::http::HttpServer;
use crate::id::DomainName;
use crate::id::Incarnation;
use crate::id::RegionName;
use crate::id::VmName;
use crate::proxy::Directory;
use crate::proxy::PathRules;
use crate::proxy::Proxy;
use crate::proxy::ProxySettings;
use crate::proxy::StageSet;
use crate::proxy::Stages;
use crate::replica::ReplicaSettings;
use crate::replication::Bootstrap;
use crate::replication::Replication;
use crate::stop::StopLog;
use crate::timer::Timer;

/// Time between heartbeats of the leader of the control group; a small part of the 2 s in which a change must
/// be in force.
const LEADER_HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time without a leader before an election; covers the slowest disk sync and a few heartbeats. It
/// is kept short because no tokens are granted without a leader.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between checks whether the replica of a control process has stopped because of an error.
const FAILURE_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Largest number of open caller connections.
const MAX_CONNECTIONS: usize = 2_000;
/// Largest number of open connections of a port that isn't for callers.
const MAX_CALL_CONNECTIONS: usize = 1_000;
/// Size limit of a request body when the configuration states none.
const DEFAULT_BODY_BYTES: usize = 64 << 20;
/// Memory for request bodies beside one of the largest size, in bytes.
const SMALL_BODY_MEMORY: usize = 16 << 20;
/// Part of the memory of a VM that the bodies of several requests may take together.
const BODY_MEMORY_DIVISOR: usize = 2;
/// Time limit for receiving a request head, and separately for receiving a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of a request when neither caller nor route states one.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Regions of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// Region of this VM; empty if it is not known.
    pub region: RegionName,
    /// Region of each known failure domain.
    pub regions: BTreeMap<DomainName, RegionName>,
}

/// Settings of an entry VM.
#[derive(Debug, Clone)]
pub struct EntryProcessSettings {
    /// The VM and the address that callers connect to; not ready at the start.
    pub entry: EntryVm,
    /// Control VMs to connect to at the start.
    pub seeds: Vec<VmName>,
    /// Bound on retries.
    pub retry_bound: RetryBound,
    /// How far customers may exceed their limits while no control VM grants tokens.
    pub excess: Excess,
    /// Memory of the VM in bytes, if it is limited.
    pub memory: Option<usize>,
    /// How far the requests to a cold upstream may exceed what it tolerates.
    pub warmup: WarmupBound,
    /// Regions of the failure domains.
    pub placement: Placement,
    /// Whether requests compete for the room of a service by rank.
    pub is_ranked: bool,
    /// Headers and statuses that callers and upstreams use.
    pub conventions: HttpConventions,
    /// Time for which new requests are still accepted after a stop was requested.
    pub linger: Duration,
    /// Time limit for the requests that are still running after that.
    pub finish: Duration,
}

/// The implementations of the request path's stages.
pub struct FleetStages;

impl Stages for FleetStages {
    type Config = ControlClient;
    type Limits = ControlClient;
    type Claims = NoClaims;
    type Chooser = ControlClient;
    type Quarantine = ControlClient;
    type Directory = NoOwnPaths;
}

/// Memory for the bodies of all requests of a VM with this much memory.
fn body_memory(memory: Option<usize>) -> usize {
    let usual = DEFAULT_BODY_BYTES + SMALL_BODY_MEMORY;
    memory.map_or(usual, |memory| usual.min(memory / BODY_MEMORY_DIVISOR))
}

/// Directory of a deployment in which the caller port has no paths of its own.
pub struct NoOwnPaths;

impl Directory for NoOwnPaths {
    async fn respond(&self, _request: Request) -> Response {
        answer::refusal(&Code::NoRoute.into())
    }
}

/// The running process of an entry VM.
pub struct EntryProcess {
    components: Components,
    client: ControlClient,
    proxy: Proxy<FleetStages>,
    caller_port: HttpServer,
    calls: http::Limits,
    linger: Duration,
    finish: Duration,
}

impl EntryProcess {
    /// Starts all services and opens the caller port.
    ///
    /// # Errors
    /// `Bind` if the address cannot be bound.
    pub async fn open(settings: EntryProcessSettings) -> Result<Self> {
        let components = Components::new();
        let timer = components.register(Timer::spawn())?;
        let address = settings.entry.caller;
        let client = ControlClient::spawn(
            ControlClientSettings {
                entry: settings.entry,
                seeds: settings.seeds,
                incarnation: incarnation(),
                retry_bound: settings.retry_bound,
                excess: settings.excess,
                warmup: settings.warmup,
                is_ranked: settings.is_ranked,
                regions: settings.placement.regions,
            },
            rand::random(),
            &timer,
        );
        components.register(client.clone())?;
        let stage = || Arc::new(client.clone());
        let stages = StageSet {
            config: stage(),
            limits: stage(),
            claims: Arc::new(NoClaims),
            chooser: stage(),
            quarantine: stage(),
            directory: Arc::new(NoOwnPaths),
        };
        let proxy_settings = ProxySettings {
            paths: PathRules::default(),
            body_limit: DEFAULT_BODY_BYTES,
            body_memory: body_memory(settings.memory),
            read_timeout: READ_TIMEOUT,
            request_timeout: DEFAULT_REQUEST_TIMEOUT,
            conventions: settings.conventions,
            soft_quarantine: true,
        };
        let proxy = Proxy::spawn(stages, proxy_settings, prometheus::default_registry())?;
        let budget = memory::connections(settings.memory);
        allocator::spawn(&timer, Arc::clone(&budget), vec![Arc::clone(proxy.bodies())]);
        let limits = http::Limits {
            read_timeout: READ_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            ..memory::port_limits(settings.memory, &budget, MAX_CONNECTIONS)
        };
        let calls = memory::port_limits(settings.memory, &budget, MAX_CALL_CONNECTIONS);
        let caller_port = http::bind(address, limits, Arc::new(proxy.clone())).await?;
        client.set_ready(true);
        info!("entry VM started: address={address}");
        Ok(Self {
            components,
            client,
            proxy,
            caller_port,
            calls,
            linger: settings.linger,
            finish: settings.finish,
        })
    }

    /// The client of the control VMs.
    pub fn client(&self) -> &ControlClient {
        &self.client
    }

    /// Limits for the other ports of this process, which share the memory of its connections.
    pub fn call_limits(&self) -> http::Limits {
        self.calls.clone()
    }

    /// Announces that this VM is not ready, still accepts requests for the linger time, then finishes the
    /// running ones and stops all services.
    pub async fn stop(&self) {
        let log = StopLog::begin(&self.caller_port, &self.proxy, self.linger, self.finish);
        self.client.set_ready(false);
        self.caller_port.drain();
        task::sleep(self.linger).await;
        let end = Instant::now() + self.finish;
        self.caller_port.close();
        log.port_closed();
        self.proxy.end_waits();
        self.caller_port.stop(self.finish).await;
        self.proxy
            .stop(end.saturating_duration_since(Instant::now()))
            .await;
        log.finished();
        self.components.stop().await;
        log.stopped();
    }
}

/// Start time in milliseconds since 1970, so that a later run of a VM has a larger number unless its clock is
/// set back. Grants of an earlier run expire after 2 s in any case.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Settings of a control VM.
#[derive(Debug, Clone)]
pub struct ControlProcessSettings {
    /// The VM; its name is the address for connections between processes.
    pub control: ControlVm,
    /// Address that the process binds for connections between processes.
    pub address: SocketAddr,
    /// Control VMs to connect to at the start.
    pub seeds: Vec<VmName>,
    /// Time over which retries are counted.
    pub retry_window: Duration,
    /// How far customers may exceed their limits when the leader changes.
    pub excess: Excess,
    /// Folder of journal and snapshots.
    pub data_dir: PathBuf,
    /// Whether the whole system starts for the first time. The seeds are then the first voters of the control
    /// group.
    pub is_bootstrap: bool,
    /// Memory of the VM in bytes, if it is limited.
    pub memory: Option<usize>,
    /// How far the requests to a cold upstream may exceed what it tolerates.
    pub warmup: WarmupBound,
    /// Regions of the failure domains.
    pub placement: Placement,
}

/// The running process of a control VM.
pub struct ControlProcess {
    components: Components,
    server: ControlServer,
    replication: Arc<Replication<Catalog>>,
    limits: http::Limits,
    bodies: CallBudgets,
}

impl ControlProcess {
    /// Reads the state from disk, and joins the control group or bootstraps it.
    ///
    /// # Errors
    /// `Bind` if the address cannot be bound, `Io` or `Corrupt` for the files.
    pub async fn open(settings: ControlProcessSettings) -> Result<Self> {
        let components = Components::new();
        let timer = components.register(Timer::spawn())?;
        let vm = settings.control.vm.clone();
        let server = ControlServer::new(ControlServerSettings {
            control: settings.control,
            seeds: settings.seeds.clone(),
            retry_window: settings.retry_window,
            excess: settings.excess,
            domains: settings.placement.regions.into_keys().collect(),
            warmup: settings.warmup,
        });
        let replica_settings = ReplicaSettings {
            is_dynamic: true,
            ..ReplicaSettings::new(
                vm.clone(),
                settings.seeds.clone(),
                LEADER_HEARTBEAT_PERIOD,
                ELECTION_TIMEOUT,
            )
        };
        let mut bootstrap = Bootstrap::default();
        if settings.is_bootstrap {
            bootstrap.voters = settings.seeds;
            // The first log entry holds the voters and must be the same on each of them.
            bootstrap.voters.sort_unstable();
        }
        let machine = Catalog::new();
        let replication = Replication::open_with_transport(
            replica_settings,
            &settings.data_dir,
            &bootstrap,
            machine,
            &timer,
            server.transport(),
        )
        .await?;
        let replication = components.register(replication)?;
        server
            .start(settings.address, Arc::clone(&replication), &timer)
            .await?;
        components.register(server.clone())?;
        let budget = memory::connections(settings.memory);
        let bodies = CallBudgets::new(settings.memory);
        let all = vec![Arc::clone(&bodies.calls), Arc::clone(&bodies.configs)];
        allocator::spawn(&timer, Arc::clone(&budget), all);
        info!(
            "control VM started: vm={vm} applied={}",
            replication.status().applied
        );
        Ok(Self {
            components,
            server,
            replication,
            limits: memory::port_limits(settings.memory, &budget, MAX_CALL_CONNECTIONS),
            bodies,
        })
    }

    /// The server for entry VMs and other control VMs.
    pub fn server(&self) -> &ControlServer {
        &self.server
    }

    /// Limits for the port of this process.
    pub fn call_limits(&self) -> http::Limits {
        self.limits.clone()
    }

    /// Budgets for the bodies of calls.
    pub fn bodies(&self) -> &CallBudgets {
        &self.bodies
    }

    /// Waits until the replica stops because its disk failed or a file is damaged, and returns the error.
    pub async fn failure(&self) -> Error {
        loop {
            if let Some(error) = self.replication.failure() {
                return error;
            }
            task::sleep(FAILURE_POLL_PERIOD).await;
        }
    }

    /// Stops all services.
    pub async fn stop(&self) {
        info!("stopping");
        self.components.stop().await;
        info!("stopped");
    }
}
