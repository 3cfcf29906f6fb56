//! A stand-in upstream: answers requests, keeps a journal of those that it ran, and injects faults that
//! can be changed at run time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use serde::Deserialize;
use serde::Serialize;

/// Requests under this path control the stand-in and are not in its journal.
pub const CONTROL_PATH: &str = "/.standin/";
/// Repeated to fill a body of a given length.
pub const ALPHABET: &str = "abcdefghijklmnopqrstuvwxyz";
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 200;

/// Injected faults. `POST /.standin/faults` replaces them all; faults without a field are off.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor for the latency; 0 is the same as 1.
    pub slow: f64,
    /// Status of every answer, such as 500; 0 is off.
    pub error: u16,
    /// Answers carry the request id of another request.
    pub wrong: bool,
    /// Requests are read and never answered.
    pub stall: bool,
    /// Answers end in the middle of their body.
    pub cut: bool,
    /// The connection is closed without an answer after a request for this path was read.
    pub crash: Option<String>,
    /// Requests are answered with 503 and `x-not-run`, and do not run.
    pub shed: bool,
    /// As `shed`, and the announced state is draining.
    pub drain: bool,
}

/// Journal entry of a request that ran.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JournalEntry {
    /// `x-request-id`, the id of the attempt.
    pub id: String,
    pub method: String,
    /// Path and query.
    pub path: String,
    /// `x-customer`.
    pub customer: String,
    /// `idempotency-key`.
    pub key: String,
    /// Names of all headers.
    pub headers: Vec<String>,
    /// Whether the head or the body contains `zk.`, the prefix of caller keys.
    pub has_key: bool,
}

/// Behaviour without faults.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Requests that run at the same time; others wait.
    pub slots: usize,
    /// Latency of each request.
    pub latency: Duration,
    /// Whether journal entries are also printed to the standard output.
    pub print: bool,
}

struct State {
    behaviour: Behaviour,
    faults: Mutex<Faults>,
    journal: Mutex<Vec<JournalEntry>>,
    in_flight: AtomicUsize,
    /// Largest number of requests at the same time, running and waiting for a slot.
    max_in_flight: AtomicUsize,
    /// Holds one message for each free slot.
    free_slots: Receiver<()>,
    /// Returns a slot.
    release: Sender<()>,
}

/// A running stand-in.
#[derive(Clone)]
pub struct Standin {
    address: SocketAddr,
    state: Arc<State>,
}

impl Standin {
    /// Listens on the address and serves requests in a task.
    pub async fn bind(address: SocketAddr, behaviour: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (release, free_slots) = channel::bounded(behaviour.slots);
        for _ in 0..behaviour.slots {
            let _ = release.try_send(());
        }
        let state = Arc::new(State {
            behaviour,
            faults: Mutex::default(),
            journal: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            max_in_flight: AtomicUsize::new(0),
            free_slots,
            release,
        });
        let shared = Arc::clone(&state);
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let state = Arc::clone(&shared);
                task::spawn(async move { serve(stream, &state).await });
            }
        });
        Ok(Self { address, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    #[allow(dead_code)]
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().unwrap() = faults;
    }

    #[allow(dead_code)]
    pub fn faults(&self) -> Faults {
        self.state.faults.lock().unwrap().clone()
    }

    /// Largest number of requests at the same time, running and waiting for a slot.
    #[allow(dead_code)]
    pub fn max_in_flight(&self) -> usize {
        self.state.max_in_flight.load(Ordering::SeqCst)
    }

    /// All requests that ran, in order of their start.
    #[allow(dead_code)]
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.state.journal.lock().unwrap().clone()
    }
}

struct ParsedRequest {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    has_key: bool,
}

impl ParsedRequest {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The number of a query parameter.
    fn query(&self, name: &str) -> Option<usize> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name)?.1.parse().ok()
    }
}

async fn serve(mut stream: TcpStream, state: &State) {
    let mut bytes = Vec::new();
    while let Ok(Some(request)) = read(&mut stream, &mut bytes).await {
        let is_last = request.header("connection").eq_ignore_ascii_case("close");
        match answer(&mut stream, state, request).await {
            Ok(true) if !is_last => {}
            _ => break,
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

async fn read(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Option<ParsedRequest>> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        if let Some((mut request, head, length)) = parse(bytes)? {
            if bytes.len() >= head + length {
                request.body = bytes[head..head + length].to_vec();
                request.has_key = bytes[..head + length].windows(3).any(|w| w == b"zk.");
                bytes.drain(..head + length);
                return Ok(Some(request));
            }
        } else if bytes.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match stream.read(&mut buffer).await? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Parses a request head; returns the request, the size of its head and the length of its body in bytes.
fn parse(bytes: &[u8]) -> io::Result<Option<(ParsedRequest, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed
        .parse(bytes)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    let httparse::Status::Complete(head) = status else {
        return Ok(None);
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = parsed.headers.iter();
    let request = ParsedRequest {
        method: parsed.method.unwrap_or_default().into(),
        path: parsed.path.unwrap_or_default().into(),
        headers: headers.map(|h| (h.name.into(), text(h.value))).collect(),
        body: Vec::new(),
        has_key: false,
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    Ok(Some((request, head, length)))
}

/// Answers one request; returns false if the connection must be closed.
async fn answer(stream: &mut TcpStream, state: &State, request: ParsedRequest) -> io::Result<bool> {
    if request.path.starts_with(CONTROL_PATH) {
        return control(stream, state, &request).await;
    }
    let faults = state.faults.lock().unwrap().clone();
    if faults.shed || faults.drain {
        let head = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(head.as_bytes()).await?;
        return Ok(true);
    }
    let in_flight = state.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
    state.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
    let slot = state.free_slots.recv().await;
    record(state, &request);
    let answer = run(stream, state, &faults, &request).await;
    // The slot is released before the other side can receive the answer.
    state.in_flight.fetch_sub(1, Ordering::SeqCst);
    if slot.is_ok() {
        let _ = state.release.try_send(());
    }
    let Some(bytes) = answer else {
        return Ok(false);
    };
    stream.write_all(&bytes).await?;
    Ok(!faults.cut)
}

fn record(state: &State, request: &ParsedRequest) {
    let entry = JournalEntry {
        id: request.header("x-request-id").into(),
        method: request.method.clone(),
        path: request.path.clone(),
        customer: request.header("x-customer").into(),
        key: request.header("idempotency-key").into(),
        headers: request
            .headers
            .iter()
            .map(|(n, _)| n.to_ascii_lowercase())
            .collect(),
        has_key: request.has_key,
    };
    if state.behaviour.print {
        println!("{}", serde_json::to_string(&entry).unwrap_or_default());
    }
    state.journal.lock().unwrap().push(entry);
}

/// Runs a request; returns the bytes of the answer, or `None` if it gets none.
async fn run(
    stream: &mut TcpStream,
    state: &State,
    faults: &Faults,
    request: &ParsedRequest,
) -> Option<Vec<u8>> {
    let path = request.path.split('?').next().unwrap_or_default();
    if faults.crash.as_deref() == Some(path) {
        return None;
    }
    if faults.stall {
        // Waits until the other side closes the connection.
        let _ = stream.read(&mut [0]).await;
        return None;
    }
    let factor = if faults.slow > 0.0 { faults.slow } else { 1.0 };
    let latency = state.behaviour.latency.mul_f64(factor);
    let latency = request
        .query("wait")
        .map_or(latency, |ms| Duration::from_millis(ms as u64));
    if !latency.is_zero() {
        task::sleep(latency).await;
    }
    let id = if faults.wrong {
        "foreign"
    } else {
        request.header("x-request-id")
    };
    let status = if faults.error > 0 { faults.error } else { 200 };
    let body = body(request);
    let chunked = request.query("chunked").is_some();
    let length = match chunked {
        true => "transfer-encoding: chunked".into(),
        false => format!("content-length: {}", body.len()),
    };
    let load = state.in_flight.load(Ordering::SeqCst);
    let head = format!(
        "HTTP/1.1 {status} -\r\nx-request-id: {id}\r\nx-load: {load}\r\n{length}\r\nkeep-alive: timeout=5\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    let head = bytes.len();
    if request.method != "HEAD" {
        match chunked {
            true => {
                bytes.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
                bytes.extend_from_slice(&body);
                bytes.extend_from_slice(b"\r\n0\r\n\r\n");
            }
            false => bytes.extend_from_slice(&body),
        }
    }
    if faults.cut {
        bytes.truncate(head + body.len() / 2);
    }
    Some(bytes)
}

/// The answer body: `bytes=N` in the query sets its length; without it the body repeats the request.
fn body(request: &ParsedRequest) -> Vec<u8> {
    if let Some(count) = request.query("bytes") {
        // One copy instead of a loop over the bytes, which takes a second for 20 MB in a debug build.
        let mut bytes = ALPHABET.repeat(count.div_ceil(ALPHABET.len())).into_bytes();
        bytes.truncate(count);
        return bytes;
    }
    let text = format!("{} {} {}", request.method, request.path, request.body.len());
    text.into_bytes()
}

/// Answers a request under [`CONTROL_PATH`].
async fn control(stream: &mut TcpStream, state: &State, request: &ParsedRequest) -> io::Result<bool> {
    let (status, body) = match request.path.strip_prefix(CONTROL_PATH) {
        Some("journal") => {
            let journal = state.journal.lock().unwrap();
            let lines = journal
                .iter()
                .map(|e| serde_json::to_string(e).unwrap_or_default());
            (200, lines.map(|l| l + "\n").collect::<String>())
        }
        Some("faults") if request.method == "POST" => match serde_json::from_slice::<Faults>(&request.body) {
            Ok(faults) => {
                *state.faults.lock().unwrap() = faults;
                (200, String::new())
            }
            Err(e) => (400, e.to_string()),
        },
        _ => (404, String::new()),
    };
    let head = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all((head + &body).as_bytes()).await?;
    Ok(true)
}
