//! Handlers for the address directory on the caller port and for all calls on the peer port.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::io::ReadExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tide::StatusCode;
use tide::http::Method;
use tide::http::Request;
use tide::http::Response;
use tide::http::mime;

use crate::answer;
use crate::code::Code;
use crate::directory;
use crate::error::Error;
use crate::error::Result;
use crate::feed::ConfigFeed;
use crate::gossip::Membership;
use crate::head;
use crate::http::Caller;
use crate::http::Handler;
use crate::member::Announcement;
use crate::metric;
use crate::proxy::Directory;
use crate::rpc;

/// Largest body of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 16 << 10;

/// Answers `GET /.zinnia/addresses` on the caller port.
pub struct AddressDirectory {
    members: Arc<Membership<ConfigFeed>>,
    ttl: Duration,
    rng: Mutex<SmallRng>,
}

impl AddressDirectory {
    /// Creates the directory of the live members; `seed` determines the random order of addresses.
    pub fn new(members: Arc<Membership<ConfigFeed>>, ttl: Duration, seed: u64) -> Self {
        Self {
            members,
            ttl,
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }
}

impl Directory for AddressDirectory {
    async fn respond(&self, request: Request) -> Response {
        let target = match head::sent_target(&request) {
            Ok(target) if target.path() == directory::PATH && request.method() == Method::Get => target,
            _ => return answer::refusal(&Code::NoRoute.into()),
        };
        let domain = directory::query_domain(target.query());
        let live = self.members.live();
        let mut rng = self.rng.lock().unwrap();
        let addresses = directory::select(&live, domain.as_deref(), self.ttl, &mut *rng);
        json_response(
            StatusCode::Ok,
            &serde_json::to_string(&addresses).unwrap_or_default(),
        )
    }
}

struct PeerState {
    server: rpc::Server,
    members: Arc<Membership<ConfigFeed>>,
}

/// Answers RPC calls of other processes, announcements of upstreams and `/metrics` on the peer port.
pub struct PeerHandler {
    app: tide::Server<Arc<PeerState>>,
}

impl PeerHandler {
    /// Creates the handler; `server` answers the calls of `/rpc`.
    pub fn new(server: rpc::Server, members: Arc<Membership<ConfigFeed>>) -> Self {
        let mut app = tide::with_state(Arc::new(PeerState { server, members }));
        app.at("/rpc").post(handle_rpc);
        app.at("/announce").post(handle_announce);
        app.at("/metrics").get(handle_metrics);
        Self { app }
    }
}

impl Handler for PeerHandler {
    async fn respond(&self, request: Request, _caller: Caller) -> Response {
        let result: tide::http::Result<Response> = self.app.respond(request).await;
        result.unwrap_or_else(|e| Response::new(e.status()))
    }
}

async fn handle_rpc(request: tide::Request<Arc<PeerState>>) -> tide::Result {
    let state = Arc::clone(request.state());
    let request: Request = request.into();
    match request.len() {
        None => Ok(tide::Response::new(StatusCode::LengthRequired)),
        Some(length) if length > rpc::MAX_BODY_BYTES => Ok(tide::Response::new(StatusCode::PayloadTooLarge)),
        Some(_) => Ok(state.server.respond(request).await.into()),
    }
}

async fn handle_announce(request: tide::Request<Arc<PeerState>>) -> tide::Result {
    let state = Arc::clone(request.state());
    let header = request.header("authorization").map(|h| h.as_str().to_owned());
    let response = match read_announcement(request.into()).await {
        Ok(announcement) => match state.members.announce(header.as_deref(), announcement) {
            Ok(()) => json_response(StatusCode::Ok, "{}"),
            Err(error) => error_response(&error),
        },
        Err(error) => error_response(&error),
    };
    Ok(response.into())
}

async fn handle_metrics(_: tide::Request<Arc<PeerState>>) -> tide::Result {
    Ok(tide::Response::builder(StatusCode::Ok)
        .content_type(metric::CONTENT_TYPE)
        .body(metric::text())
        .build())
}

async fn read_announcement(mut request: Request) -> Result<Announcement> {
    let bad_params = |detail: String| Error::new(Code::BadParams, detail);
    let mut bytes = Vec::new();
    let mut body = request.take_body().take(MAX_ANNOUNCEMENT_BYTES + 1);
    body.read_to_end(&mut bytes)
        .await
        .map_err(|e| bad_params(e.to_string()))?;
    if bytes.len() as u64 > MAX_ANNOUNCEMENT_BYTES {
        return Err(bad_params(format!(
            "the announcement is larger than {MAX_ANNOUNCEMENT_BYTES} bytes"
        )));
    }
    serde_json::from_slice(&bytes).map_err(|e| bad_params(e.to_string()))
}

fn error_response(error: &Error) -> Response {
    let status = match error.code {
        Code::Unauthorized => StatusCode::Unauthorized,
        Code::NotFound => StatusCode::NotFound,
        _ => StatusCode::BadRequest,
    };
    let body = serde_json::json!({
        "code": error.code.number(),
        "name": error.code.to_string(),
        "detail": error.detail,
    });
    json_response(status, &body.to_string())
}

fn json_response(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.set_content_type(mime::JSON);
    response
}
