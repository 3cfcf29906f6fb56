//! Non-idempotent requests run at most once, and "not run" is only stated of requests that did not run (P7,
//! P8).

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use zinnialoom::code::Code;
use zinnialoom::stage::ClaimOutcome;
use zinnialoom::stage::KeptAnswer;

use crate::fakes::Entry;
use crate::fakes::any_port;
use crate::fakes::header;
use crate::fakes::outcome;
use crate::fakes::status;
use crate::script::Line;
use crate::script::OK;
use crate::script::Script;
use crate::script::Step::Answer;
use crate::script::Step::Crash;
use crate::script::Step::Read;
use crate::script::Step::Silent;
use crate::script::Step::Unused;
use crate::serve::standin;
use crate::server::Faults;

const ORDER: &str = "idempotency-key: o1\r\ncontent-length: 0\r\nx-request-timeout-ms: 300\r\n";
const SHED: &str = "HTTP/1.1 503 -\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// An address at which nothing listens.
async fn closed() -> std::net::SocketAddr {
    let listener = async_std::net::TcpListener::bind(any_port()).await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against sending an order again after its connection died: before or inside the request, before the
/// answer, or inside its head or its body. The last upstream is silent until the deadline.
#[async_std::test]
async fn an_order_is_sent_once_wherever_the_connection_dies() {
    const FAILURES: [Line; 6] = [
        &[],
        &[Read(10)],
        &[Answer("")],
        &[Answer("HTTP/1.1 2")],
        &[Answer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")],
        &[Silent],
    ];
    // A script for each failure. A second connection may only show that the upstream accepts it.
    static LINES: [&[Line]; 6] = [
        &[FAILURES[0], &[Unused]],
        &[FAILURES[1], &[Unused]],
        &[FAILURES[2], &[Unused]],
        &[FAILURES[3], &[Unused]],
        &[FAILURES[4], &[Unused]],
        &[FAILURES[5], &[Unused]],
    ];
    for lines in LINES {
        let script = Script::start(lines).await;
        let spare = Script::start(&[&[Answer(OK)]]).await;
        let entry = Entry::start(&[script.address, spare.address]).await;
        let answer = entry.send_request("POST", "/order", ORDER).await;
        let (_, code, run) = outcome(&answer);
        assert!(
            [Code::OutcomeUnknown, Code::DeadlineAfter].contains(&Code::from_number(code).unwrap()),
            "{lines:?}: {answer}"
        );
        assert_eq!(run, "unknown");
        assert_eq!(spare.connections(), 0, "{lines:?}");
        assert!(script.connections() <= 2, "{lines:?}");
        let again = entry.send_request("POST", "/order", ORDER).await;
        assert_eq!(outcome(&again).1, Code::OutcomeUnknown.number(), "{again}");
        assert_eq!(spare.connections(), 0, "{lines:?}");
        assert!(script.connections() <= 2, "{lines:?}");
        task::sleep(Duration::from_millis(60)).await;
        assert_eq!(script.unused_bytes.load(Ordering::SeqCst), 0, "{lines:?}");
    }
}

/// Guards against failing an order that was not run although another upstream would run it.
#[async_std::test]
async fn an_order_goes_on_after_not_sent_and_not_run() {
    let shed = Script::start(&[&[Answer(SHED), Silent]]).await;
    let standin = standin().await;
    let entry = Entry::start(&[closed().await, shed.address, standin.address()]).await;
    let answer = entry.send_request("POST", "/order", ORDER).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(
        format!("{:?}", entry.fakes.results.lock().unwrap()),
        "[Refused, Shed, Answered]"
    );
    assert_eq!(standin.journal().len(), 1);
    let again = entry.send_request("POST", "/order", ORDER).await;
    assert_eq!((status(&again), header(&again, "zinnia-run")), (200, Some("yes")));
    assert_eq!(
        standin.journal().len(),
        1,
        "the repeated request gets the recorded answer"
    );
    assert!(standin.journal()[0].headers.contains(&"idempotency-key".into()));
}

/// Guards against retries without retry budget, and against stating "not run" of a request that may have run.
#[async_std::test]
async fn refusals_are_truthful() {
    let standin = standin().await;
    let entry = Entry::start(&[closed().await, standin.address()]).await;
    entry.fakes.retries.store(0, Ordering::SeqCst);
    let answer = entry.send_request("POST", "/order", ORDER).await;
    assert_eq!(outcome(&answer), (503, Code::NoUpstream.number(), "no".into()));
    entry.fakes.retries.store(9, Ordering::SeqCst);
    entry.fakes.claim_valid.store(false, Ordering::SeqCst);
    let answer = entry.send_request("POST", "/order", ORDER).await;
    assert_eq!(
        outcome(&answer),
        (503, Code::ClaimUnavailable.number(), "no".into())
    );
    entry.fakes.claim_valid.store(true, Ordering::SeqCst);
    let answer = entry
        .send_request("POST", "/order", "content-length: 0\r\n")
        .await;
    assert_eq!(outcome(&answer), (400, Code::IdRequired.number(), "no".into()));
    standin.set_faults(Faults {
        shed: true,
        ..Faults::default()
    });
    let answer = entry.send_request("POST", "/order", ORDER).await;
    assert_eq!(outcome(&answer).2, "no", "{answer}");
    assert!(standin.journal().is_empty());
    // The first upstream may have run the request before its connection died; the second one shed it.
    let died = Script::start(&[&[Answer(""), Crash]]).await;
    *entry.fakes.upstreams.lock().unwrap() = vec![died.address, standin.address()];
    let answer = entry.send_request("GET", "/forecast", "").await;
    assert_eq!(outcome(&answer).2, "unknown", "{answer}");
    assert_eq!(
        entry.fakes.reports.lock().unwrap().len(),
        1,
        "the crash is reported"
    );
}

/// Guards against failing an idempotent request although another upstream would answer it.
#[async_std::test]
async fn idempotent_requests_are_retried() {
    let died = Script::start(&[&[Answer("")]]).await;
    let failed = Script::start(&[&[Answer("HTTP/1.1 500 -\r\ncontent-length: 0\r\n\r\n")]]).await;
    let standin = standin().await;
    let entry = Entry::start(&[died.address, failed.address, standin.address()]).await;
    assert_eq!(status(&entry.send_request("GET", "/forecast", "").await), 200);
    assert_eq!(
        format!("{:?}", entry.fakes.results.lock().unwrap()),
        "[Died, Failed, Answered]"
    );
}

/// Guards against sending an order whose caller left while it waited in the queue.
#[async_std::test]
async fn an_order_is_not_sent_for_a_caller_that_left() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    entry.fakes.cap.store(0, Ordering::SeqCst);
    let mut stream = async_std::net::TcpStream::connect(entry.server.address())
        .await
        .unwrap();
    let order = crate::fakes::request("POST", "/order", "idempotency-key: o1\r\ncontent-length: 0\r\n");
    async_std::io::WriteExt::write_all(&mut stream, order.as_bytes())
        .await
        .unwrap();
    task::sleep(Duration::from_millis(60)).await;
    drop(stream);
    task::sleep(Duration::from_millis(60)).await;
    entry.fakes.cap.store(9, Ordering::SeqCst);
    assert_eq!(entry.proxy.stop(Duration::from_secs(2)).await, 0);
    assert!(standin.journal().is_empty());
    let claims = format!("{:?}", entry.fakes.claims.lock().unwrap());
    assert!(claims.contains("NotRun"), "{claims}");
}

/// Guards against an answer kept by another VM that reaches a caller although its status or its fields are not valid.
#[async_std::test]
async fn a_broken_kept_answer_is_not_passed_on() {
    let kept = |status: u16, name: &str, value: &str| KeptAnswer {
        status,
        headers: vec![(name.into(), value.into())],
        body: Some(b"secret".to_vec()),
    };
    let broken = [
        kept(0, "x-kept", "1"),
        kept(99, "x-kept", "1"),
        kept(100, "x-kept", "1"),
        kept(600, "x-kept", "1"),
        kept(200, "x bad", "secret"),
        kept(200, "x-bad ", "secret"),
        kept(200, "", "secret"),
        kept(200, "x\u{0}bad", "secret"),
        kept(200, "x: 1\r\nx-bad", "secret"),
        kept(200, "x\u{e9}", "secret"),
        kept(200, "x-bad", "1\r\nx-worse: secret"),
        kept(200, "x-bad", "secret\u{0}"),
        kept(200, "x-bad", "secret\u{e9}"),
    ];
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    let keep = |kept: &KeptAnswer| {
        let outcome = ClaimOutcome::Answered(kept.clone());
        let id = ("soum".into(), "o1".into());
        entry.fakes.claims.lock().unwrap().insert(id, Some(outcome));
    };
    for kept in broken {
        keep(&kept);
        let answer = entry.send_request("POST", "/order", ORDER).await;
        let expected = (502, Code::OutcomeUnknown.number(), "unknown".into());
        assert_eq!(outcome(&answer), expected, "{kept:?}: {answer}");
        assert!(!answer.contains("secret"), "{kept:?}: {answer}");
    }
    for status in [200, 404, 500] {
        keep(&kept(status, "x-kept", "a\tvalue"));
        let answer = entry.send_request("POST", "/order", ORDER).await;
        assert_eq!(crate::fakes::status(&answer), status, "{answer}");
        assert_eq!(header(&answer, "x-kept"), Some("a\tvalue"), "{answer}");
        assert!(answer.ends_with("\r\n\r\nsecret"), "{answer}");
    }
    assert!(standin.journal().is_empty(), "a claimed order runs again");
}
