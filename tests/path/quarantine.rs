//! Requests that crash their upstreams: what the request path reports of them.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use zinnialoom::code::Code;
use zinnialoom::view::View;

use crate::fakes::Entry;
use crate::fakes::outcome;
use crate::fakes::request;
use crate::fakes::status;
use crate::script::Line;
use crate::script::OK;
use crate::script::Script;
use crate::script::Step::Answer;
use crate::script::Step::Read;
use crate::script::Step::Wait;

/// Ends its connection when it has read the second request.
const CRASH_ON_SECOND: &[Line] = &[&[Answer(OK), Answer("")]];

/// Guards against a request that crashes upstreams unnoticed because its connections were used before.
#[async_std::test]
async fn an_end_on_a_reused_connection_is_reported() {
    let crashing = Script::start(CRASH_ON_SECOND).await;
    let spare = Script::start(&[&[Answer(OK)]]).await;
    let entry = Entry::start(&[crashing.address, spare.address]).await;
    entry.fakes.reconnects.store(false, Ordering::SeqCst);
    assert_eq!(status(&entry.send_request("GET", "/forecast", "").await), 200);
    assert_eq!(status(&entry.send_request("GET", "/forecast", "").await), 200);
    assert_eq!((crashing.requests(), spare.requests()), (2, 1));
    assert_eq!(entry.fakes.reports.lock().unwrap().len(), 1);
}

/// Guards against a request that is blocked because idle connections ended one after the other: after the first
/// of them it gets a new one.
#[async_std::test]
async fn a_request_loses_one_reused_connection_at_most() {
    static LINES: &[Line] = &[&[Answer(OK), Answer("")], &[Answer(OK)]];
    let (first, second) = (Script::start(LINES).await, Script::start(LINES).await);
    let entry = Entry::start(&[second.address]).await;
    entry.fakes.reconnects.store(false, Ordering::SeqCst);
    assert_eq!(status(&entry.send_request("GET", "/forecast", "").await), 200);
    *entry.fakes.upstreams.lock().unwrap() = vec![first.address];
    assert_eq!(status(&entry.send_request("GET", "/forecast", "").await), 200);
    *entry.fakes.upstreams.lock().unwrap() = vec![first.address, second.address];
    assert_eq!(status(&entry.send_request("GET", "/forecast", "").await), 200);
    assert_eq!(entry.fakes.reports.lock().unwrap().len(), 1);
    assert_eq!((first.connections(), second.connections()), (1, 2));
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
    let script = Script::start(&[&[Answer("")]]).await;
    let entry = Entry::start(&[script.address]).await;
    entry
        .send_request("POST", "/forecast", "content-length: 0\r\n")
        .await;
    let mut view = View::clone(&entry.fakes.view.lock().unwrap());
    view.routes[0].id = "split".into();
    *entry.fakes.view.lock().unwrap() = Arc::new(view);
    for (host, count) in [("h", 1), ("other", 2)] {
        let head = request("POST", "/forecast", "content-length: 0\r\nconnection: close\r\n");
        entry
            .send(head.replace("host: h", &format!("host: {host}")))
            .await;
        let reports = entry.fakes.reports.lock().unwrap().clone();
        let distinct: HashSet<&String> = reports.iter().collect();
        assert_eq!(distinct.len(), count, "host {host}: {reports:?}");
    }
}

/// Guards against a request that is never blocked because its upstreams crash inside their answers, short ones and
/// long ones.
#[async_std::test]
async fn an_end_inside_an_answer_is_reported() {
    const CUT_SHORT: &str = "HTTP/1.1 200 -\r\ncontent-length: 1200\r\n\r\nfirst part";
    const CUT_LONG: &str = "HTTP/1.1 200 -\r\ncontent-length: 100000\r\n\r\nfirst part";
    for answer in [CUT_SHORT, CUT_LONG] {
        let lines: &'static [Line] = vec![vec![Answer(answer)].leak() as Line].leak();
        let script = Script::start(lines).await;
        let entry = Entry::start(&[script.address]).await;
        entry
            .send_request("POST", "/forecast", "content-length: 0\r\n")
            .await;
        let reports = entry.fakes.reports.lock().unwrap().len();
        let answers = entry.fakes.answers.load(Ordering::SeqCst);
        assert_eq!((reports, answers), (1, 0), "{answer:?}");
    }
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
