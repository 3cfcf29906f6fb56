//! HTTP server of a control process: JSON-RPC calls and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use jsonrpsee::types::ErrorObjectOwned;
use log::warn;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;
use serde_json::json;
use tide::StatusCode;
use tide::http::Request;
use tide::http::Response;
use tide::http::mime;

use crate::catalog::Catalog;
use crate::code::Code;
use crate::component::Component;
use crate::connection_budget::ConnectionBudget;
use crate::error::Error;
use crate::error::Result;
use crate::http;
use crate::http::Caller;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::metric;
use crate::operator::Operator;
use crate::replica::Role;
use crate::replication::Replication;
use crate::rpc;

/// Maximum number of open connections; each entry VM keeps a few for its fetches.
const MAX_CONNECTIONS: usize = 2_000;
/// Time that a stop waits for calls in progress; longer than the timeout of a forwarded call.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Handles requests. Until [`RequestHandler::start`] it answers `NotLeader`, so that clients try another
/// control VM.
#[derive(Default)]
pub(super) struct RequestHandler {
    app: OnceLock<tide::Server<Arc<ControlState>>>,
}

/// State of a control process that its HTTP handlers use.
pub(super) struct ControlState {
    pub operators: rpc::Server,
    pub processes: rpc::Server,
    pub operator: Arc<Operator>,
    pub replication: Arc<Replication<Catalog>>,
    pub registry: Registry,
    pub gauges: Gauges,
}

impl RequestHandler {
    /// Passes all further requests to the handlers.
    pub(super) fn start(&self, state: ControlState) {
        let mut app = tide::with_state(Arc::new(state));
        app.at("/rpc").post(call);
        app.at("/metrics").get(metrics);
        let _ = self.app.set(app);
    }
}

impl Handler for RequestHandler {
    async fn respond(&self, request: Request, _caller: Caller) -> Response {
        let Some(app) = self.app.get() else {
            return starting_response();
        };
        let result: tide::http::Result<Response> = app.respond(request).await;
        result.unwrap_or_else(|e| Response::new(e.status()))
    }
}

fn starting_response() -> Response {
    let fault = ErrorObjectOwned::from(Error::new(Code::NotLeader, "the replica is starting"));
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.set_body(json!({"jsonrpc": "2.0", "id": null, "error": fault}).to_string());
    response.set_content_type(mime::JSON);
    response
}

async fn call(request: tide::Request<Arc<ControlState>>) -> tide::Result {
    let state = Arc::clone(request.state());
    Ok(state.call(request.into()).await.into())
}

async fn metrics(request: tide::Request<Arc<ControlState>>) -> tide::Result {
    let text = request
        .state()
        .metrics()
        .map_err(|e| tide::Error::new(StatusCode::InternalServerError, e))?;
    Ok(tide::Response::builder(StatusCode::Ok)
        .content_type(metric::CONTENT_TYPE)
        .body(text)
        .build())
}

impl ControlState {
    async fn call(&self, request: Request) -> Response {
        match request.len() {
            None => return Response::new(StatusCode::LengthRequired),
            Some(length) if length > rpc::MAX_BODY_BYTES => {
                return Response::new(StatusCode::PayloadTooLarge);
            }
            Some(_) => {}
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

    /// The metrics of this replica and of the process, in the Prometheus text format.
    fn metrics(&self) -> Result<String> {
        let status = self.replication.status();
        let version = self.operator.view().version;
        let ack_count = self.operator.ack_count(version);
        let clamp_u64 = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let clamp_usize = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.gauges.version.set(clamp_u64(version));
        self.gauges.commit.set(clamp_u64(status.commit));
        self.gauges.applied.set(clamp_u64(status.applied));
        self.gauges.term.set(clamp_u64(status.term));
        self.gauges.leader.set((status.role == Role::Leader).into());
        self.gauges.registered.set(clamp_usize(ack_count.of));
        self.gauges.acknowledged.set(clamp_usize(ack_count.acknowledged));
        let text = TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|e| Error::new(Code::Io, format!("metrics: {e}")))?;
        Ok(text + &metric::text())
    }
}

/// Gauges of the replica, set at each scrape.
pub(super) struct Gauges {
    version: IntGauge,
    commit: IntGauge,
    applied: IntGauge,
    term: IntGauge,
    leader: IntGauge,
    registered: IntGauge,
    acknowledged: IntGauge,
}

impl Gauges {
    pub(super) fn register(registry: &Registry) -> Result<Self> {
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

/// The HTTP server as a component of the process.
pub(super) struct HttpComponent(HttpServer);

impl HttpComponent {
    pub(super) async fn bind(
        address: SocketAddr,
        handler: &Arc<RequestHandler>,
        budget: &Arc<ConnectionBudget>,
    ) -> Result<Self> {
        let limits = http::Limits {
            max_connections: MAX_CONNECTIONS,
            budget: Arc::clone(budget),
            ..http::Limits::default()
        };
        Ok(Self(http::bind(address, limits, Arc::clone(handler)).await?))
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.0.address()
    }
}

impl Component for HttpComponent {
    const NAME: &'static str = "front";

    async fn stop(&self) {
        let open = self.0.stop(STOP_TIMEOUT).await;
        if open > 0 {
            warn!("stop timed out after {STOP_TIMEOUT:?}: {open} connections are still open");
        }
    }
}
