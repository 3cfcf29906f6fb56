//! Callers: a bounded open-loop load, whose requests are sent again only where that is safe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use tide::http::Method;
use tide::http::Request;
use tide::http::Url;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts of one request before it fails.
const MAX_ATTEMPTS: usize = 6;
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// Outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// A complete answer of an upstream.
    Answered,
    /// A refusal with its code that states that the request did not run.
    NotRun(u16),
    /// A failure with its code after which the request may have run.
    Unknown(u16),
    /// No connection, no answer or a truncated answer.
    NoAnswer,
}

/// One request with all its attempts.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) path: String,
    pub(crate) start: Instant,
    pub(crate) latency: Duration,
    pub(crate) attempts: Vec<AttemptOutcome>,
}

/// Parameters of a load.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) name: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) key: Option<String>,
    /// Requests per second.
    pub(crate) rate: u64,
    pub(crate) duration: Duration,
    /// Whether each request carries an idempotency key.
    pub(crate) with_id: bool,
    /// Whether failed requests are sent again.
    pub(crate) resend: bool,
    pub(crate) entries: Vec<SocketAddr>,
}

/// A running or ended load.
pub(crate) struct Load {
    pub(crate) plan: Plan,
    records: Arc<Mutex<Vec<Record>>>,
    task: Option<JoinHandle<()>>,
}

impl Load {
    pub(crate) fn spawn(plan: Plan) -> Self {
        let records = Arc::new(Mutex::new(Vec::new()));
        let task = task::spawn(run(plan.clone(), Arc::clone(&records)));
        Self {
            plan,
            records,
            task: Some(task),
        }
    }

    pub(crate) async fn join(&mut self) {
        if let Some(task) = self.task.take() {
            task.await;
        }
    }

    pub(crate) fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap().clone()
    }

    /// Counts requests by their last outcome: its name or code.
    pub(crate) fn summary(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for record in self.records() {
            let name = match record.attempts.last() {
                Some(AttemptOutcome::Answered) => "answered".into(),
                Some(AttemptOutcome::NotRun(code) | AttemptOutcome::Unknown(code)) => code.to_string(),
                Some(AttemptOutcome::NoAnswer) | None => "nothing".into(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}

async fn run(plan: Plan, records: Arc<Mutex<Vec<Record>>>) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    let total = plan.rate as f64 * plan.duration.as_secs_f64();
    for n in 0..total as u64 {
        let due = Duration::from_secs_f64(n as f64 / plan.rate as f64);
        task::sleep(due.saturating_sub(start.elapsed())).await;
        tasks.push(task::spawn(request(plan.clone(), n, Arc::clone(&records))));
    }
    for task in tasks {
        task.await;
    }
}

async fn request(plan: Plan, n: u64, records: Arc<Mutex<Vec<Record>>>) {
    let path = format!("{}/{}-{n}", plan.path, plan.name);
    let start = Instant::now();
    let mut attempts = Vec::new();
    while attempts.len() < MAX_ATTEMPTS {
        let entry = plan.entries[(n as usize + attempts.len()) % plan.entries.len()];
        let outcome = future::timeout(ANSWER_TIMEOUT, send(&plan, &path, entry))
            .await
            .unwrap_or(AttemptOutcome::NoAnswer);
        attempts.push(outcome);
        // A non-idempotent request without an id could run twice if it were sent again.
        let is_safe =
            plan.with_id || plan.method != Method::Post || matches!(outcome, AttemptOutcome::NotRun(_));
        if outcome == AttemptOutcome::Answered || !plan.resend || !is_safe || is_final(outcome) {
            break;
        }
        task::sleep(RESEND_PAUSE).await;
    }
    records.lock().unwrap().push(Record {
        path,
        start,
        latency: start.elapsed(),
        attempts,
    });
}

/// Whether the outcome is a refusal, by its code, that another attempt cannot change.
fn is_final(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::NotRun(101..=105 | 110 | 111 | 114..=120))
}

async fn send(plan: &Plan, path: &str, entry: SocketAddr) -> AttemptOutcome {
    exchange(plan, path, entry)
        .await
        .unwrap_or(AttemptOutcome::NoAnswer)
}

async fn exchange(plan: &Plan, path: &str, entry: SocketAddr) -> tide::http::Result<AttemptOutcome> {
    let stream = TcpStream::connect(entry).await?;
    let mut request = Request::new(plan.method, Url::parse(&format!("http://{entry}{path}"))?);
    if let Some(key) = &plan.key {
        request.insert_header("authorization", format!("Bearer {key}"));
    }
    if plan.with_id {
        request.insert_header("idempotency-key", path.replace('/', "."));
    }
    request.insert_header("connection", "close");
    let mut response = async_h1::connect(stream, request).await?;
    let header = |name: &str| response.header(name).map(|h| h.as_str().to_owned());
    let (run, code) = (header("zinnia-run"), header("zinnia-code"));
    let code = code.and_then(|c| c.parse().ok()).unwrap_or(0);
    let length = response.len();
    let body = response.body_bytes().await?;
    // async-h1 reports a body that ends before its content-length as complete.
    let is_truncated = length.is_some_and(|l| l != body.len());
    Ok(match run.as_deref() {
        _ if is_truncated => AttemptOutcome::NoAnswer,
        Some("no") => AttemptOutcome::NotRun(code),
        Some("yes") if code == 0 => AttemptOutcome::Answered,
        _ => AttemptOutcome::Unknown(code),
    })
}
