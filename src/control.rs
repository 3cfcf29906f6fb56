//! Wires the services of a control process together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;
use log::info;
use log::warn;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;
use tide::StatusCode;

use crate::catalog::Catalog;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::fault;
use crate::kernel::Kernel;
use crate::kernel::Service;
use crate::operator::Operator;
use crate::operator::OperatorService;
use crate::replica::Role;
use crate::replication::Replication;
use crate::rpc;
use crate::rpc::BODY_LIMIT;
use crate::secret::Secret;
use crate::settings::ControlSettings;
use crate::timer::Timer;

/// Open connections at most.
const CONNECTIONS: usize = 2_000;
/// Connections without a call for this long are closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// How long a stop waits for calls in progress; longer than a forwarded call may take.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// How often the process looks whether its replica has stopped by itself.
const FAILURE_PERIOD: Duration = Duration::from_millis(200);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running control process.
pub struct Control {
    kernel: Kernel,
    replication: Arc<Replication<Catalog>>,
    address: SocketAddr,
}

struct Gauges {
    version: IntGauge,
    commit: IntGauge,
    applied: IntGauge,
    term: IntGauge,
    leader: IntGauge,
    registered: IntGauge,
    acknowledged: IntGauge,
}

struct State {
    operators: rpc::Server,
    processes: rpc::Server,
    operator: Arc<Operator>,
    replication: Arc<Replication<Catalog>>,
    registry: Registry,
    gauges: Gauges,
}

/// Reads the secrets of a control process.
///
/// # Errors
/// `Settings` if a file cannot be read or both hold the same secret.
pub fn secrets(settings: &ControlSettings) -> Result<(Secret, Secret)> {
    let operator = Secret::open(&settings.operator_secret)?;
    let fleet = Secret::open(&settings.common.fleet_secret)?;
    if operator.admits(Some(&fleet.header())) {
        let detail = "operator_secret and fleet_secret hold the same secret";
        return Err(Error::new(Code::Settings, detail));
    }
    Ok((operator, fleet))
}

impl Control {
    /// Starts all services and answers calls.
    ///
    /// # Errors
    /// `Settings`, `Bind`, `Io` or `Corrupt`.
    pub async fn open(settings: &ControlSettings) -> Result<Self> {
        let (operator_secret, fleet_secret) = secrets(settings)?;
        let common = &settings.common;
        event::open(&common.vm, &common.domain, common.event_count);
        // The address is bound first, so that a second process does not touch the files of the first.
        let listener = TcpListener::bind(settings.bind)
            .await
            .map_err(|e| Error::new(Code::Bind, format!("{}: {e}", settings.bind)))?;
        let kernel = Kernel::new();
        let registry = Registry::new();
        let timer = kernel.register(Timer::spawn())?;
        let replication = Replication::open(settings, fleet_secret.clone(), Catalog::new(), &timer).await?;
        let replication = kernel.register(replication)?;
        let operator = Operator::spawn(
            settings,
            &operator_secret,
            &fleet_secret,
            Arc::clone(&replication),
            &timer,
            &registry,
        )?;
        kernel.register(OperatorService(Arc::clone(&operator)))?;
        let mut processes = operator.process_module()?;
        event::register(&mut processes)?;
        fault::register(&mut processes)?;
        replication.register(&mut processes)?;
        let state = State {
            operators: rpc::Server::new(operator.operator_module()?, operator_secret),
            processes: rpc::Server::new(processes, fleet_secret),
            operator,
            replication: Arc::clone(&replication),
            gauges: Gauges::register(&registry)?,
            registry,
        };
        let front = kernel.register(Front::spawn(listener, app(state)))?;
        event::record(
            Kind::Started,
            About::detail(format!("control on {}", front.address)),
        );
        Ok(Self {
            address: front.address,
            replication,
            kernel,
        })
    }

    /// The address that answers calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the replica stops by itself, because its disk failed or a file is damaged.
    pub async fn failed(&self) -> Error {
        loop {
            if let Some(error) = self.replication.failure() {
                return error;
            }
            task::sleep(FAILURE_PERIOD).await;
        }
    }

    /// Finishes the calls in progress and stops all services.
    pub async fn stop(&self) {
        event::record(Kind::Stopping, About::default());
        self.kernel.stop().await;
    }
}

impl Gauges {
    fn register(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| {
            let failed = |e: prometheus::Error| Error::new(Code::Kernel, format!("metric {name}: {e}"));
            let gauge = IntGauge::new(name, help).map_err(failed)?;
            registry.register(Box::new(gauge.clone())).map_err(failed)?;
            Ok::<_, Error>(gauge)
        };
        Ok(Self {
            version: gauge("zinnia_config_version", "Version of the configuration.")?,
            commit: gauge("zinnia_replica_commit_index", "Last committed log index.")?,
            applied: gauge("zinnia_replica_applied_index", "Last applied log index.")?,
            term: gauge("zinnia_replica_term", "Term of the replicated log.")?,
            leader: gauge("zinnia_replica_leader", "1 if this replica is the leader.")?,
            registered: gauge("zinnia_vms_registered", "Registered entry VMs.")?,
            acknowledged: gauge(
                "zinnia_vms_acknowledged",
                "Registered entry VMs that acknowledged the version to this replica.",
            )?,
        })
    }
}

impl State {
    fn metrics(&self) -> Result<String> {
        let status = self.replication.status();
        let version = self.operator.view().version;
        let in_force = self.operator.in_force(version);
        let number = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.gauges.version.set(number(version));
        self.gauges.commit.set(number(status.commit));
        self.gauges.applied.set(number(status.applied));
        self.gauges.term.set(number(status.term));
        self.gauges.leader.set((status.role == Role::Leader).into());
        self.gauges.registered.set(count(in_force.of));
        self.gauges.acknowledged.set(count(in_force.acknowledged));
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|e| Error::new(Code::Io, format!("metrics: {e}")))
    }

    async fn call(&self, request: tide::http::Request) -> tide::http::Response {
        let Some(length) = request.len() else {
            return tide::http::Response::new(StatusCode::LengthRequired);
        };
        if length > BODY_LIMIT {
            return tide::http::Response::new(StatusCode::PayloadTooLarge);
        }
        let header = request.header("authorization").map(|h| h.as_str().to_owned());
        if self.operators.admits(header.as_deref()) {
            return self.operators.respond(request).await;
        }
        if !self.processes.admits(header.as_deref()) {
            self.operator.count_unauthorized();
        }
        self.processes.respond(request).await
    }
}

fn app(state: State) -> tide::Server<Arc<State>> {
    let mut app = tide::with_state(Arc::new(state));
    app.at("/rpc")
        .post(|request: tide::Request<Arc<State>>| async move {
            let state = Arc::clone(request.state());
            Ok(tide::Response::from(state.call(request.into()).await))
        });
    app.at("/metrics")
        .get(|request: tide::Request<Arc<State>>| async move {
            match request.state().metrics() {
                Ok(text) => Ok(tide::Response::builder(StatusCode::Ok)
                    .content_type(prometheus::TEXT_FORMAT)
                    .body(text)
                    .build()),
                Err(e) => Ok(tide::Response::builder(StatusCode::InternalServerError)
                    .body(e.to_string())
                    .build()),
            }
        });
    app
}

/// The accept loop of the control port.
struct Front {
    address: SocketAddr,
    /// Closed to stop the loop and the idle connections.
    stop: Sender<()>,
    open: Arc<AtomicUsize>,
}

/// Counts a connection while it exists.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Front {
    fn spawn(listener: TcpListener, app: tide::Server<Arc<State>>) -> Self {
        let address = listener
            .local_addr()
            .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
        let (stop, stopped) = channel::bounded(1);
        let open = Arc::new(AtomicUsize::new(0));
        task::spawn(accept(listener, app, stopped, Arc::clone(&open)));
        Self { address, stop, open }
    }
}

impl Service for Front {
    const NAME: &'static str = "front";

    async fn stop(&self) {
        self.stop.close();
        let end = Instant::now() + STOP_LIMIT;
        while self.open.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            task::sleep(Duration::from_millis(10)).await;
        }
        let open = self.open.load(Ordering::Relaxed);
        if open > 0 {
            warn!("{open} connections are still busy after {STOP_LIMIT:?}");
        }
    }
}

async fn accept(
    listener: TcpListener,
    app: tide::Server<Arc<State>>,
    stopped: Receiver<()>,
    open: Arc<AtomicUsize>,
) {
    loop {
        let accepted = futures::select_biased! {
            _ = stopped.recv().fuse() => break,
            accepted = listener.accept().fuse() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("accept: {e}");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= CONNECTIONS {
            continue;
        }
        let guard = Open::new(&open);
        let app = app.clone();
        let stopped = stopped.clone();
        task::spawn(async move {
            let _guard = guard;
            serve(stream, app, stopped).await;
        });
    }
    info!("no new connections are accepted");
}

/// Answers the calls of one connection; a stop ends it between two calls.
async fn serve(stream: TcpStream, app: tide::Server<Arc<State>>, stopped: Receiver<()>) {
    let _ = stream.set_nodelay(true);
    let respond = |request| {
        let app = app.clone();
        async move { app.respond(request).await }
    };
    let mut server = async_h1::server::Server::new(stream.clone(), respond);
    loop {
        let mut byte = [0];
        let first = future::timeout(IDLE_LIMIT, stream.peek(&mut byte));
        let first = futures::select_biased! {
            first = first.fuse() => first,
            _ = stopped.recv().fuse() => return,
        };
        if !matches!(first, Ok(Ok(1))) {
            return;
        }
        match server.accept_one().await {
            Ok(async_h1::server::ConnectionStatus::KeepAlive) => {}
            _ => return,
        }
    }
}
