//! Load generator for an entry VM or a stand-in: prints the rate, latencies, the number of requests by
//! code, and the CPU time of processes.
//!
//! With `--direct` the same load is sent first to that address and then to `--target`, and the
//! difference at each percentile is printed as the added latency.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use hdrhistogram::Histogram;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest latency that the histogram can record.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Clock ticks per second in /proc/PID/stat (USER_HZ); 100 on all Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
const MAX_CONNECTIONS: usize = 2_000;
const MAX_SECONDS: u64 = 600;

/// Sends bounded load and measures latency.
#[derive(FromArgs, Clone)]
struct Args {
    /// address to send the load to
    #[argh(option)]
    target: SocketAddr,
    /// address of a stand-in that is measured first with the same load
    #[argh(option)]
    direct: Option<SocketAddr>,
    /// number of connections
    #[argh(option, default = "16")]
    connections: usize,
    /// requests per second over all connections; 0 sends the next request after each answer
    #[argh(option, default = "0")]
    rate: u64,
    /// duration of each measurement in seconds
    #[argh(option, default = "5")]
    seconds: u64,
    /// caller key
    #[argh(option, default = "String::new()")]
    key: String,
    /// path and query
    #[argh(option, default = "\"/forecast\".into()")]
    path: String,
    /// method
    #[argh(option, default = "\"GET\".into()")]
    method: String,
    /// id of a process whose CPU time is measured; may be repeated
    #[argh(option)]
    pid: Vec<u32>,
}

struct Tally {
    latency: Histogram<u64>,
    codes: BTreeMap<String, u64>,
}

struct Load {
    args: Args,
    address: SocketAddr,
    start: Instant,
    end: Instant,
    /// Requests started on all connections, for the schedule of an open loop.
    started: AtomicU64,
    tally: Mutex<Tally>,
}

#[async_std::main]
async fn main() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let args: Args = argh::from_env();
    if args.connections == 0 || args.connections > MAX_CONNECTIONS || args.seconds > MAX_SECONDS {
        let text =
            format!("--connections must be 1 to {MAX_CONNECTIONS}, and --seconds at most {MAX_SECONDS}");
        return Err(text.into());
    }
    let mut results = Vec::new();
    for (name, address) in [("direct", args.direct), ("target", Some(args.target))] {
        let Some(address) = address else { continue };
        results.push(measure(name, address, &args).await?);
    }
    if let [direct, target] = results.as_slice() {
        for percentile in [50.0, 99.0] {
            let millis = |h: &Histogram<u64>| h.value_at_quantile(percentile / 100.0) as f64 / 1e3;
            println!("added p{percentile}: {:.3} ms", millis(target) - millis(direct));
        }
    }
    Ok(())
}

async fn measure(name: &str, address: SocketAddr, args: &Args) -> io::Result<Histogram<u64>> {
    let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).map_err(io::Error::other)?;
    let start = Instant::now();
    let load = Arc::new(Load {
        args: args.clone(),
        address,
        start,
        end: start + Duration::from_secs(args.seconds),
        started: AtomicU64::new(0),
        tally: Mutex::new(Tally {
            latency,
            codes: BTreeMap::new(),
        }),
    });
    let before: Vec<f64> = args.pid.iter().map(|pid| cpu_seconds(*pid)).collect();
    let callers = (0..args.connections).map(|_| task::spawn(caller(Arc::clone(&load))));
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        caller.await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let tally = load.tally.lock().unwrap();
    let latency = &tally.latency;
    let millis = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{name} {address}: {} requests, {:.0}/s, p50 {:.3} ms, p99 {:.3} ms, max {:.3} ms",
        latency.len(),
        latency.len() as f64 / seconds,
        millis(0.5),
        millis(0.99),
        latency.max() as f64 / 1e3,
    );
    for (code, count) in &tally.codes {
        println!("  {code}: {count}");
    }
    for (pid, before) in args.pid.iter().zip(before) {
        let used = cpu_seconds(*pid) - before;
        let each = used * 1e6 / latency.len().max(1) as f64;
        println!("  pid {pid}: {used:.2} s of CPU time, {each:.0} us per request");
    }
    Ok(latency.clone())
}

/// User and system time of a process in seconds, or 0 if it does not exist.
fn cpu_seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name is in parentheses and may contain spaces.
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2);
    ticks.filter_map(|f| f.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

async fn caller(load: Arc<Load>) {
    let mut stream = None;
    loop {
        let due = load.next_due();
        if due >= load.end {
            return;
        }
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        // In an open loop the latency includes the wait for a free connection.
        let result = future::timeout(ANSWER_TIMEOUT, load.send(&mut stream)).await;
        let code = match result {
            Ok(Ok(code)) => code,
            Ok(Err(e)) => format!("error {:?}", e.kind()),
            Err(_) => "error no answer".into(),
        };
        if code.starts_with("error") {
            stream = None;
        }
        load.count(code, due.elapsed());
    }
}

impl Load {
    /// When the next request is due; each call takes the next place in the schedule.
    fn next_due(&self) -> Instant {
        if self.args.rate == 0 {
            return Instant::now();
        }
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        self.start + Duration::from_secs_f64(number as f64 / self.args.rate as f64)
    }

    fn count(&self, code: String, latency: Duration) {
        let mut tally = self.tally.lock().unwrap();
        tally.latency.saturating_record(latency.as_micros() as u64);
        *tally.codes.entry(code).or_default() += 1;
    }

    /// Sends one request and reads its answer, which must have a content-length; returns its code.
    async fn send(&self, idle: &mut Option<TcpStream>) -> io::Result<String> {
        let mut stream = match idle.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(self.address).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let args = &self.args;
        let key = match args.key.as_str() {
            "" => String::new(),
            key => format!("x-api-key: {key}\r\n"),
        };
        let request = format!(
            "{} {} HTTP/1.1\r\nhost: bench\r\n{key}content-length: 0\r\n\r\n",
            args.method, args.path
        );
        stream.write_all(request.as_bytes()).await?;
        let (code, close) = read(&mut stream).await?;
        if !close {
            *idle = Some(stream);
        }
        Ok(code)
    }
}

/// Reads an answer; returns its code and whether the connection closes.
async fn read(stream: &mut TcpStream) -> io::Result<(String, bool)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(answer) = parse(&bytes)?
            && bytes.len() >= answer.size
        {
            return Ok((answer.code, answer.close));
        }
        match stream.read(&mut buffer).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

struct Answer {
    /// Head and body in bytes.
    size: usize,
    code: String,
    close: bool,
}

fn parse(bytes: &[u8]) -> io::Result<Option<Answer>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(bytes).map_err(io::Error::other)?;
    let httparse::Status::Complete(head) = status else {
        return Ok(None);
    };
    let header = |name: &str| {
        let found = parsed.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).into_owned())
    };
    let length = header("content-length").and_then(|l| l.parse::<usize>().ok());
    let code = header("zinnia-code").map_or(String::new(), |c| format!(" code {c}"));
    Ok(Some(Answer {
        size: head + length.ok_or(io::ErrorKind::InvalidData)?,
        code: format!("status {}{code}", parsed.code.unwrap_or_default()),
        close: header("connection").is_some_and(|c| c == "close"),
    }))
}
