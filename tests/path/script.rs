//! An upstream whose connections follow a script; its lines are assigned to connections in the order of
//! acceptance.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Sender;
use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures::future::Either;
use futures::future::select;

use crate::fakes::any_port;

/// Time after which a flow ends although its connection is open; longer than any deadline in these tests.
const FLOW_LIMIT: Duration = Duration::from_secs(6);
/// Size of one write of a flow without pauses, in bytes; rounded up to whole texts.
const FLOW_BYTES: usize = 16 << 10;

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Reads a request and writes this text.
    Answer(&'static str),
    /// Reads this many bytes of a request.
    Read(usize),
    /// Reads a request and sends nothing until the other side closes the connection.
    Silent,
    /// Writes this text without reading.
    Write(&'static str),
    /// Waits for this many milliseconds.
    Wait(u64),
    /// Reads until the other side closes the connection, and counts the bytes.
    Unused,
    /// Ends the upstream: it accepts no more connections.
    Crash,
    /// Reads a request, writes the first text and then the second one repeatedly, with pauses of this many
    /// milliseconds, until the other side closes the connection.
    Flow(&'static str, &'static str, u64),
}

/// How a flow ended.
#[derive(Debug, Clone)]
pub struct FlowResult {
    /// Bytes of the repeated text that the kernel accepted.
    pub bytes: usize,
    /// Time from the end of the request to the end of the flow.
    pub time: Duration,
    /// Whether the other side closed the connection within the limit.
    pub closed: bool,
}

/// What one connection does.
pub type Line = &'static [Step];

/// An upstream that runs a script; connections beyond its last line repeat that line.
pub struct Script {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    /// Requests that were read to the end, with their bodies.
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Bytes that were read at `Unused` steps.
    pub unused_bytes: Arc<AtomicUsize>,
    /// Connections that the other side closed at a `Silent` step.
    pub abandoned: Arc<AtomicUsize>,
    /// Flows that have ended.
    pub flows: Arc<Mutex<Vec<FlowResult>>>,
}

impl Script {
    pub async fn start(lines: &'static [Line]) -> Self {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let script = Self {
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
            requests: Arc::default(),
            unused_bytes: Arc::default(),
            abandoned: Arc::default(),
            flows: Arc::default(),
        };
        let connections = script.connections.clone();
        let requests = script.requests.clone();
        let unused_bytes = script.unused_bytes.clone();
        let abandoned = script.abandoned.clone();
        let flows = script.flows.clone();
        let (crash, crashed) = channel::bounded(1);
        task::spawn(async move {
            while let Either::Left((Ok((stream, _)), _)) =
                select(Box::pin(listener.accept()), Box::pin(crashed.recv())).await
            {
                let number = connections.fetch_add(1, Ordering::SeqCst);
                let line = lines[number.min(lines.len() - 1)];
                task::spawn(run_line(
                    stream,
                    line,
                    requests.clone(),
                    unused_bytes.clone(),
                    abandoned.clone(),
                    flows.clone(),
                    crash.clone(),
                ));
            }
        });
        script
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn requests(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

async fn run_line(
    mut stream: TcpStream,
    line: Line,
    requests: Arc<Mutex<Vec<String>>>,
    unused_bytes: Arc<AtomicUsize>,
    abandoned: Arc<AtomicUsize>,
    flows: Arc<Mutex<Vec<FlowResult>>>,
    crash: Sender<()>,
) {
    for step in line {
        match step {
            Step::Unused => {
                while let Ok(count @ 1..) = stream.read(&mut [0; 256]).await {
                    unused_bytes.fetch_add(count, Ordering::SeqCst);
                }
            }
            Step::Crash => {
                let _ = crash.send(()).await;
                // The task that accepts connections drops the receiver together with the listener.
                while !crash.is_closed() {
                    task::sleep(Duration::from_millis(1)).await;
                }
            }
            Step::Answer(text) => {
                read_request(&mut stream, &requests).await;
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Step::Read(count) => {
                let _ = stream.read_exact(&mut vec![0; *count]).await;
            }
            Step::Silent => {
                read_request(&mut stream, &requests).await;
                let _ = stream.read(&mut [0]).await;
                abandoned.fetch_add(1, Ordering::SeqCst);
            }
            Step::Write(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Step::Wait(millis) => task::sleep(Duration::from_millis(*millis)).await,
            Step::Flow(first, part, pause) => {
                read_request(&mut stream, &requests).await;
                let result = flow(&mut stream, first, part, *pause).await;
                flows.lock().unwrap().push(result);
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

async fn flow(stream: &mut TcpStream, first: &str, part: &str, pause: u64) -> FlowResult {
    let start = Instant::now();
    let mut bytes = 0;
    let repeat = match pause {
        0 => FLOW_BYTES / part.len() + 1,
        _ => 1,
    };
    let part = part.repeat(repeat);
    let write = async {
        stream.write_all(first.as_bytes()).await?;
        loop {
            task::sleep(Duration::from_millis(pause)).await;
            bytes += stream.write(&part.as_bytes()[bytes % part.len()..]).await?;
        }
    };
    let end: Result<std::io::Result<()>, _> = future::timeout(FLOW_LIMIT, write).await;
    FlowResult {
        bytes,
        time: start.elapsed(),
        closed: end.is_ok(),
    }
}

async fn read_request(stream: &mut TcpStream, requests: &Mutex<Vec<String>>) {
    let mut text = String::new();
    let mut byte = [0];
    let mut left = None;
    while left != Some(0) {
        if stream.read_exact(&mut byte).await.is_err() {
            return;
        }
        text.push(byte[0] as char);
        left = match left {
            Some(left) => Some(left - 1),
            None if text.ends_with("\r\n\r\n") => {
                let (_, length) = text.split_once("content-length: ").unwrap_or(("", "0"));
                Some(length.lines().next().unwrap().parse::<usize>().unwrap())
            }
            None => None,
        };
    }
    requests.lock().unwrap().push(text);
}
