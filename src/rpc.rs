//! JSON-RPC over HTTP POST `/rpc`: a server on top of jsonrpsee and a client.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::Read;
use async_std::io::Write;
use async_std::net::TcpStream;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tide::http::Method;
use tide::http::Request;
use tide::http::Response;
use tide::http::StatusCode;
use tide::http::Url;
use tide::http::mime;

use crate::clock;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::failpoint;
use crate::secret::Secret;

/// Largest body of a call or of its answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;
/// Largest head of an answer, in bytes, with the part of the body that is read with it; the heads of this
/// project's servers have less than 1 KiB.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Connections that were idle for longer are not used again: the other side may have dropped them unnoticed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Queue of a subscription; jsonrpsee requires a size, but no method is a subscription.
const SUBSCRIPTION_QUEUE: usize = 1;
/// Header that carries the logical clock of the sender, in hexadecimal.
const CLOCK_HEADER: &str = "zinnia-clock";

/// Answers JSON-RPC calls with the methods of a module.
#[derive(Clone)]
pub struct Server {
    module: RpcModule<()>,
    secret: Secret,
}

impl Server {
    /// A server whose callers must present the secret.
    pub fn new(module: RpcModule<()>, secret: Secret) -> Self {
        Self { module, secret }
    }

    /// Names of all methods.
    pub fn methods(&self) -> Vec<&'static str> {
        self.module.method_names().collect()
    }

    /// Whether the value of the `authorization` header carries the secret of this server.
    pub fn admits(&self, header: Option<&str>) -> bool {
        self.secret.admits(header)
    }

    /// Answers the JSON text of one call.
    pub async fn answer(&self, body: &str) -> String {
        match self.module.raw_json_request(body, SUBSCRIPTION_QUEUE).await {
            Ok((answer, _)) => answer.to_string(),
            Err(e) => {
                let text = Value::String(e.to_string());
                format!(r#"{{"jsonrpc":"2.0","id":null,"error":{{"code":-32700,"message":{text}}}}}"#)
            }
        }
    }

    /// Answers one HTTP request to `/rpc`.
    pub async fn respond(&self, mut request: Request) -> Response {
        let header = request.header("authorization").map(|h| h.as_str().to_owned());
        if !self.admits(header.as_deref()) {
            return refusal(Code::Unauthorized);
        }
        observe_clock(request.header(CLOCK_HEADER).map(|h| h.as_str()));
        let Ok(body) = request.body_string().await else {
            return refusal(Code::BadParams);
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(self.answer(&body).await);
        response.set_content_type(mime::JSON);
        response.insert_header(CLOCK_HEADER, format!("{:x}", clock::stamp()));
        response
    }
}

fn observe_clock(header: Option<&str>) {
    if let Some(stamp) = header.and_then(|h| u64::from_str_radix(h, 16).ok()) {
        clock::observe(stamp);
    }
}

fn refusal(code: Code) -> Response {
    let mut response = Response::new(StatusCode::Unauthorized);
    let error = serde_json::json!({"code": code.number(), "message": code.text()});
    response.set_body(serde_json::json!({"jsonrpc": "2.0", "id": null, "error": error}).to_string());
    response.set_content_type(mime::JSON);
    response
}

impl From<Error> for ErrorObjectOwned {
    fn from(error: Error) -> Self {
        ErrorObjectOwned::owned(i32::from(error.code.number()), error.detail, None::<()>)
    }
}

#[derive(Serialize)]
struct Call<'a, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'a str,
    params: &'a P,
}

#[derive(Deserialize)]
struct Answer {
    #[serde(default)]
    result: Option<Value>,
    #[serde(default)]
    error: Option<ErrorObjectOwned>,
}

/// A connection whose reads fail once an answer exceeds the allowed number of bytes.
///
/// async-h1 buffers heads and bodies of any size, and a timeout ends only reads that wait.
#[derive(Clone)]
struct LimitedStream {
    stream: TcpStream,
    remaining: Arc<AtomicUsize>,
}

impl LimitedStream {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            remaining: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)),
        }
    }

    fn set_limit(&self, bytes: usize) {
        self.remaining.store(bytes, Ordering::Relaxed);
    }
}

impl Read for LimitedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        let Some(rest) = remaining.checked_sub(count) else {
            let text = "the answer is too large";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        };
        self.remaining.store(rest, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }
}

impl Write for LimitedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// Calls the methods of one process.
///
/// A connection carries one call at a time; after an error or a timeout it is closed.
pub struct Client {
    address: SocketAddr,
    secret: Secret,
    idle: Mutex<Vec<Idle>>,
    next_id: AtomicU64,
}

impl Client {
    /// A client that connects when it is first used.
    pub fn new(address: SocketAddr, secret: Secret) -> Self {
        Self {
            address,
            secret,
            idle: Mutex::default(),
            next_id: AtomicU64::new(1),
        }
    }

    /// The address of the other process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls a method and waits for its result at most for `timeout`.
    ///
    /// # Errors
    /// `Unreachable` if nothing was sent, `Timeout` or `BadAnswer` if the call may have run, and
    /// the code of the other process.
    pub async fn call<P, R>(&self, method: &str, params: &P, timeout: Duration) -> Result<R>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let target = || format!("{method} to {}", self.address);
        match self.request(method, params, timeout).await? {
            Ok(result) => serde_json::from_value(result)
                .map_err(|e| Error::new(Code::BadAnswer, format!("{}: {e}", target()))),
            Err(object) => Err(remote_error(object)),
        }
    }

    /// Calls a method and returns its result or its error object as the other process sent it.
    ///
    /// # Errors
    /// `Unreachable` if nothing was sent, `Timeout` or `BadAnswer` if the call may have run.
    pub async fn request<P>(
        &self,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<std::result::Result<Value, ErrorObjectOwned>>
    where
        P: Serialize + Sync,
    {
        let target = || format!("{method} to {}", self.address);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let call = Call {
            jsonrpc: "2.0",
            id,
            method,
            params,
        };
        let body = serde_json::to_string(&call)
            .map_err(|e| Error::new(Code::BadParams, format!("{}: {e}", target())))?;
        // The future of an HTTP exchange has 5.7 KB. Unboxed, it is part of each caller's future, which debug
        // builds copy from frame to frame: 15 calls in one test overflowed the stack of 2 MB.
        let exchange = Box::pin(self.exchange(body));
        let answer = future::timeout(timeout, exchange)
            .await
            .map_err(|_| Error::new(Code::Timeout, format!("{}: no answer for {timeout:?}", target())))?
            .map_err(|e| Error::new(e.code, format!("{}: {}", target(), e.detail)))?;
        match answer.error {
            Some(object) => Ok(Err(object)),
            None => Ok(Ok(answer.result.unwrap_or(Value::Null))),
        }
    }

    async fn exchange(&self, body: String) -> Result<Answer> {
        if failpoint::is_cut(failpoint::Direction::Out, self.address) {
            return std::future::pending().await;
        }
        let answer = self.send(body).await;
        if failpoint::is_cut(failpoint::Direction::In, self.address) {
            return std::future::pending().await;
        }
        answer
    }

    async fn send(&self, body: String) -> Result<Answer> {
        let stream = self.connect().await?;
        let url = Url::parse(&format!("http://{}/rpc", self.address))
            .map_err(|e| Error::new(Code::BadParams, e.to_string()))?;
        let mut request = Request::new(Method::Post, url);
        request.insert_header("authorization", self.secret.header());
        request.insert_header(CLOCK_HEADER, format!("{:x}", clock::stamp()));
        request.set_content_type(mime::JSON);
        request.set_body(body);
        let limited = LimitedStream::new(stream.clone());
        let mut response = async_h1::connect(limited.clone(), request)
            .await
            .map_err(|e| Error::new(Code::BadAnswer, e.to_string()))?;
        observe_clock(response.header(CLOCK_HEADER).map(|h| h.as_str()));
        limited.set_limit(MAX_BODY_BYTES);
        let length = response.len();
        // `body_string` allocates the whole length before it reads the first byte.
        if length.is_some_and(|l| l > MAX_BODY_BYTES) {
            return Err(Error::new(Code::BadAnswer, "the answer is too large"));
        }
        let text = response
            .body_string()
            .await
            .map_err(|e| Error::new(Code::BadAnswer, e.to_string()))?;
        // async-h1 reports a body that ends before its content-length as complete.
        if length.is_some_and(|l| l != text.len()) {
            return Err(Error::new(Code::BadAnswer, "the answer was cut"));
        }
        let answer = serde_json::from_str(&text).map_err(|e| Error::new(Code::BadAnswer, e.to_string()))?;
        // The stream of an answer that cannot be parsed is not used again: more of the same may follow.
        self.store_idle(stream);
        Ok(answer)
    }

    async fn connect(&self) -> Result<TcpStream> {
        loop {
            let Some(idle) = self.idle.lock().unwrap().pop() else {
                break;
            };
            if idle.since.elapsed() < MAX_IDLE_TIME && is_reusable(&idle.stream).await {
                return Ok(idle.stream);
            }
        }
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| Error::new(Code::Unreachable, e.to_string()))?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    fn store_idle(&self, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle {
                stream,
                since: Instant::now(),
            });
        }
    }
}

/// Whether an idle connection may be used again. It may not if a byte or the end of the stream can be read
/// from it.
pub(crate) async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peek = stream.peek(&mut byte);
    futures::pin_mut!(peek);
    futures::poll!(peek).is_pending()
}

/// The error that another process answered; the standard JSON-RPC numbers become `BadParams` or `BadAnswer`.
pub fn remote_error(object: ErrorObjectOwned) -> Error {
    let code = u16::try_from(object.code()).ok().and_then(Code::from_number);
    match code {
        Some(code) => Error::new(code, object.message()),
        None if (-32_602..=-32_600).contains(&object.code()) => Error::new(Code::BadParams, object.message()),
        None => Error::new(
            Code::BadAnswer,
            format!("error {}: {}", object.code(), object.message()),
        ),
    }
}
