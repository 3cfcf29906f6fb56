//! Requests that crash their upstreams: what the request path reports of them.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use zinnialoom::code::Code;
use zinnialoom::stage::AttemptResult;
use zinnialoom::view::View;

use crate::fakes::Entry;
use crate::fakes::header;
use crate::fakes::outcome;
use crate::fakes::request;
use crate::fakes::status;
use crate::script::Line;
use crate::script::OK;
use crate::script::Script;
use crate::script::Step::Answer;
use crate::script::Step::Crash;
use crate::script::Step::Read;
use crate::script::Step::Wait;

/// Crashes when it has read the second request of its first connection.
const CRASH_ON_SECOND: &[Line] = &[&[Answer(OK), Answer(""), Crash]];
/// Crashes when it has read a request.
const CRASH: &[Line] = &[&[Answer(""), Crash]];
/// Answers that end too early, before their heads and in short and long bodies.
const INCOMPLETE: [&str; 3] = [
    "",
    "HTTP/1.1 200 -\r\ncontent-length: 1200\r\n\r\nfirst part",
    "HTTP/1.1 200 -\r\ncontent-length: 100000\r\n\r\nfirst part",
];
/// Time in which a possible crash is explained and reported.
const EXPLAIN_LIMIT: Duration = Duration::from_secs(2);

/// Waits until this many crashes are reported.
async fn wait_reports(entry: &Entry, count: usize) {
    let end = Instant::now() + EXPLAIN_LIMIT;
    while entry.fakes.reports.lock().unwrap().len() < count {
        assert!(Instant::now() < end, "not {count} reports in {EXPLAIN_LIMIT:?}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a request that crashes upstreams unnoticed because its connections were used before.
#[async_std::test]
async fn a_crash_on_a_reused_connection_is_reported() {
    let crashing = Script::start(CRASH_ON_SECOND).await;
    let entry = Entry::start(&[crashing.address]).await;
    entry.fakes.reconnects.store(false, Ordering::SeqCst);
    assert_eq!(status(&entry.send_request("GET", "/forecast/1", "").await), 200);
    assert_ne!(status(&entry.send_request("GET", "/forecast/2", "").await), 200);
    assert_eq!((crashing.requests(), crashing.connections()), (2, 1));
    assert_eq!(entry.fakes.reports.lock().unwrap().len(), 1);
}

/// Guards against a sound request that is blocked because its upstreams lost its answers: they go on and accept new
/// connections.
#[async_std::test]
async fn a_lost_answer_of_an_upstream_that_goes_on_is_no_crash() {
    for answer in INCOMPLETE {
        let lines: &'static [Line] = vec![vec![Answer(answer)].leak() as Line].leak();
        let script = Script::start(lines).await;
        let entry = Entry::start(&[script.address]).await;
        for _ in 0..3 {
            entry
                .send_request("POST", "/forecast", "content-length: 0\r\n")
                .await;
        }
        task::sleep(EXPLAIN_LIMIT / 2).await;
        let reports = entry.fakes.reports.lock().unwrap().len();
        assert_eq!((reports, script.requests()), (0, 3), "{answer:?}");
    }
}

/// Guards against a frequent request that is blocked because upstreams that it shares with others crash: another
/// upstream answered it.
#[async_std::test]
async fn a_crash_of_a_request_that_another_upstream_answers_is_not_reported() {
    let crashing = Script::start(CRASH).await;
    let spare = Script::start(&[&[Answer(OK)]]).await;
    let entry = Entry::start(&[crashing.address, spare.address]).await;
    assert_eq!(status(&entry.send_request("GET", "/forecast", "").await), 200);
    task::sleep(EXPLAIN_LIMIT / 2).await;
    assert_eq!((crashing.requests(), spare.requests()), (1, 1));
    assert_eq!(entry.fakes.reports.lock().unwrap().len(), 0);
}

/// Guards against a request that is blocked because idle connections ended one after the other: after the first
/// of them it gets a new one.
#[async_std::test]
async fn a_request_loses_one_reused_connection_at_most() {
    static LINES: &[Line] = &[&[Answer(OK), Answer("")], &[Answer(OK)]];
    let (first, second) = (Script::start(LINES).await, Script::start(LINES).await);
    let entry = Entry::start(&[second.address]).await;
    entry.fakes.reconnects.store(false, Ordering::SeqCst);
    assert_eq!(status(&entry.send_request("GET", "/forecast/1", "").await), 200);
    *entry.fakes.upstreams.lock().unwrap() = vec![first.address];
    assert_eq!(status(&entry.send_request("GET", "/forecast/2", "").await), 200);
    *entry.fakes.upstreams.lock().unwrap() = vec![first.address, second.address];
    assert_eq!(status(&entry.send_request("GET", "/forecast/3", "").await), 200);
    let stale = |results: &[AttemptResult]| results.iter().filter(|r| **r == AttemptResult::Stale).count();
    assert_eq!(stale(&entry.fakes.results.lock().unwrap()), 1);
    // The second connection to the first upstream shows that it goes on.
    task::sleep(EXPLAIN_LIMIT / 2).await;
    assert_eq!((first.connections(), second.connections()), (2, 2));
    assert_eq!((first.requests(), second.requests()), (2, 2));
    assert_eq!(entry.fakes.reports.lock().unwrap().len(), 0);
}

/// Guards against a request that is never blocked because an upstream that fails all requests takes back its
/// crashes.
#[async_std::test]
async fn a_server_error_takes_back_no_crash() {
    const FAILED: &str = "HTTP/1.1 500 -\r\ncontent-length: 0\r\n\r\n";
    let script = Script::start(&[&[Answer(FAILED)], &[Answer(OK)]]).await;
    let entry = Entry::start(&[script.address]).await;
    let headers = "content-length: 0\r\n";
    let answer = entry.send_request("POST", "/forecast", headers).await;
    assert_eq!(status(&answer), 500);
    assert_eq!(entry.fakes.answers.load(Ordering::SeqCst), 0);
    let answer = entry.send_request("POST", "/forecast", headers).await;
    assert_eq!(status(&answer), 200);
    assert_eq!(entry.fakes.answers.load(Ordering::SeqCst), 1);
}

/// Guards against a request that crashes three more upstreams whenever a new configuration changes its route.
#[async_std::test]
async fn a_request_keeps_its_fingerprint_on_another_route() {
    let script = Script::start(CRASH).await;
    let entry = Entry::start(&[script.address]).await;
    entry
        .send_request("POST", "/forecast", "content-length: 0\r\n")
        .await;
    let mut view = View::clone(&entry.fakes.view.lock().unwrap());
    view.routes[0].id = "split".into();
    *entry.fakes.view.lock().unwrap() = Arc::new(view);
    for (host, count) in [("h", 1), ("other", 2)] {
        let script = Script::start(CRASH).await;
        *entry.fakes.upstreams.lock().unwrap() = vec![script.address];
        let head = request("POST", "/forecast", "content-length: 0\r\nconnection: close\r\n");
        entry
            .send(head.replace("host: h", &format!("host: {host}")))
            .await;
        let reports = entry.fakes.reports.lock().unwrap().clone();
        let distinct: HashSet<&String> = reports.iter().collect();
        assert_eq!(distinct.len(), count, "host {host}: {reports:?}");
        assert_eq!(reports.len(), count + 1, "host {host}: {reports:?}");
    }
}

/// Guards against a request that is never blocked because its upstreams crash inside their answers, short ones and
/// long ones.
#[async_std::test]
async fn a_crash_inside_an_answer_is_reported() {
    for answer in INCOMPLETE {
        let lines: &'static [Line] = vec![vec![Answer(answer), Crash].leak() as Line].leak();
        let script = Script::start(lines).await;
        let entry = Entry::start(&[script.address]).await;
        entry
            .send_request("POST", "/forecast", "content-length: 0\r\n")
            .await;
        wait_reports(&entry, 1).await;
        let reports = entry.fakes.reports.lock().unwrap().len();
        let answers = entry.fakes.answers.load(Ordering::SeqCst);
        assert_eq!((reports, answers), (1, 0), "{answer:?}");
    }
}

/// Guards against a caller that returns before a block ends, or stays away for longer, and against a reason that
/// states another number of crashes than was counted.
#[async_std::test]
async fn a_refusal_of_a_blocked_request_states_its_crashes_and_the_time_left() {
    let entry = Entry::start(&[]).await;
    entry.fakes.blocked.store(true, Ordering::SeqCst);
    let answer = entry.send_request("GET", "/forecast", "").await;
    assert_eq!(outcome(&answer), (422, Code::Quarantined.number(), "no".into()));
    assert_eq!(header(&answer, "retry-after"), Some("12.345"));
    assert!(answer.contains("crashed 3 upstreams"), "{answer}");
}

/// Guards against a request that is sent although it was blocked while it waited for a connection.
#[async_std::test]
async fn a_request_that_is_blocked_while_it_waits_is_not_sent() {
    let script = Script::start(&[&[Read(1), Wait(700), Answer(OK)]]).await;
    let entry = Arc::new(Entry::start(&[script.address]).await);
    entry.fakes.connections.store(1, Ordering::SeqCst);
    let send = |entry: Arc<Entry>| async move {
        entry
            .send_request("POST", "/forecast", "content-length: 0\r\n")
            .await
    };
    let first = task::spawn(send(entry.clone()));
    task::sleep(Duration::from_millis(200)).await;
    let second = task::spawn(send(entry.clone()));
    task::sleep(Duration::from_millis(200)).await;
    entry.fakes.blocked.store(true, Ordering::SeqCst);
    assert_eq!(status(&first.await), 200);
    let refused = (422, Code::Quarantined.number(), "no".into());
    assert_eq!(outcome(&second.await), refused);
    assert_eq!(script.requests(), 1);
}
