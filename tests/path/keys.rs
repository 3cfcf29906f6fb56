//! Keys of callers are checked at each step and never forwarded to upstreams.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use zinnialoom::code::Code;

use crate::fakes::Entry;
use crate::fakes::KEY;
use crate::fakes::WITHDRAWN_KEY;
use crate::fakes::outcome;
use crate::fakes::read_all;
use crate::fakes::request;
use crate::fakes::status;
use crate::fakes::view;
use crate::serve::standin;

fn encoded(key: &str) -> String {
    key.bytes().map(|b| format!("%{b:02x}")).collect()
}

/// [`outcome`] of a request that was refused before it ran.
fn refused(status: u16, code: Code) -> (u16, u16, String) {
    (status, code.number(), "no".into())
}

/// Guards against a request that gets the route, and so the service, of another path than the one that its upstream
/// gets, and against dot segments that lead around a key.
#[async_std::test]
async fn a_path_with_dot_segments_is_routed_as_it_was_sent() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    for path in [
        "/forecast/%2e%2e/open/age",
        "/forecast/../open/age",
        "/open/%2e%2e/forecast/age",
    ] {
        let answer = entry.send_request("GET", path, "").await;
        assert_eq!(status(&answer), 200, "{path}: {answer}");
        let head = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        assert_eq!(status(&entry.send(head).await), 401, "{path} without a key");
    }
    for ran in standin.journal() {
        assert_eq!(ran.customer, "soum", "{}", ran.path);
    }
    let answer = entry
        .send_request("GET", "/nowhere/%2e%2e/forecast/age", "")
        .await;
    assert_eq!(outcome(&answer), refused(404, Code::NoRoute));
    assert_eq!(standin.journal().len(), 3);
}

/// Guards against forwarding a caller's key to an upstream, wherever in the request it stands (P3).
#[async_std::test]
async fn keys_never_reach_an_upstream() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    let twice = encoded(&encoded(KEY));
    let headers = format!(
        "authorization: Bearer {KEY}\r\nproxy-authorization: Bearer {KEY}\r\ncookie: a=1; k={KEY}; b=2\r\n\
         cookie: k={0}\r\nreferer: http://h/?k={KEY}\r\nx-other: {0}\r\nx-twice: {twice}\r\nx-foreign: {WITHDRAWN_KEY}\r\n{KEY}: x\r\n\
         accept: text/plain\r\nx-customer: ministry\r\nconnection: close, x-hop\r\nx-hop: 1\r\nte: trailers\r\n",
        encoded(KEY)
    );
    let path = format!(
        "/forecast/age?a=1&k={KEY}&{}=2&k={WITHDRAWN_KEY}&b=3",
        encoded(KEY)
    );
    for path in [path.as_str(), "/open/age"] {
        let answer = entry.send(request("GET", path, &headers)).await;
        assert_eq!(status(&answer), 200, "{answer}");
    }
    let journal = standin.journal();
    assert_eq!(journal[0].path, "/forecast/age?a=1&b=3");
    assert_eq!(journal[0].customer, "soum");
    assert_eq!(journal[1].customer, "", "an open route has no customer");
    for entry in journal {
        assert!(!entry.has_key, "{entry:?}");
        for kept in ["accept", "cookie", "x-request-timeout-ms"] {
            assert!(
                entry.headers.contains(&kept.into()),
                "{kept} is missing in {entry:?}"
            );
        }
        for gone in ["x-api-key", "x-hop", "te", "connection", "x-twice"] {
            assert!(!entry.headers.contains(&gone.into()), "{gone} was sent");
        }
    }
}

/// Guards against forwarding a key in a path, body or id, from which it cannot be removed.
#[async_std::test]
async fn misplaced_keys_are_refused() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    let close = "connection: close\r\n";
    let post = |body: &str| {
        request(
            "POST",
            "/forecast",
            &format!("{close}content-length: {}\r\n", body.len()),
        ) + body
    };
    let cases = [
        request("GET", &format!("/forecast/{KEY}"), close),
        request("GET", &format!("/forecast/{}", encoded(KEY)), close),
        post(&format!("{{\"key\": \"{KEY}\"}}")),
        post(&format!("key={}", encoded(KEY))),
        request("POST", "/forecast", &format!("{close}idempotency-key: {KEY}\r\n")),
    ];
    for case in cases {
        let answer = entry.send(&case).await;
        assert_eq!(outcome(&answer), refused(400, Code::KeyMisplaced), "{case}");
        assert!(!answer.contains("zk."), "{answer}");
    }
    assert!(standin.journal().is_empty());
}

/// Guards against running requests without a valid key (P2), and against refusals of requests that ran (P7).
#[async_std::test]
async fn requests_without_a_valid_key_do_not_run() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    let with_headers =
        |headers: &str| format!("GET /forecast HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}\r\n");
    let cases = [
        (refused(401, Code::NoKey), with_headers("")),
        (
            refused(401, Code::WrongKey),
            with_headers("x-api-key: secret\r\n"),
        ),
        (
            refused(401, Code::WrongKey),
            with_headers("authorization: Bearer zk.k1.wrong\r\n"),
        ),
        (
            refused(401, Code::WithdrawnKey),
            with_headers(&format!("x-api-key: {WITHDRAWN_KEY}\r\n")),
        ),
        (
            refused(400, Code::BadRequest),
            with_headers(&format!(
                "x-api-key: {WITHDRAWN_KEY}\r\nauthorization: Bearer {KEY}\r\n"
            )),
        ),
        (
            refused(404, Code::NoRoute),
            request("GET", "/forecasts", "connection: close\r\n"),
        ),
    ];
    for (expected, bytes) in cases {
        assert_eq!(outcome(&entry.send(&bytes).await), expected, "{bytes}");
    }
    let switches = [
        (&entry.fakes.over_rate, true, refused(429, Code::OverRate)),
        (&entry.fakes.blocked, true, refused(422, Code::Quarantined)),
        (&entry.fakes.fresh, false, refused(503, Code::ConfigStale)),
    ];
    for (switch, value, expected) in switches {
        switch.store(value, Ordering::SeqCst);
        assert_eq!(
            outcome(&entry.send_request("GET", "/forecast", "").await),
            expected
        );
        switch.store(!value, Ordering::SeqCst);
    }
    entry.fakes.fresh.store(false, Ordering::SeqCst);
    assert_eq!(
        status(&entry.send_request("GET", "/open", "").await),
        200,
        "open routes need no fresh configuration"
    );
    assert_eq!(standin.journal().len(), 1);
}

/// Guards against a withdrawn key that is still accepted for a request that waits in a queue or comes on an
/// open connection (P4).
#[async_std::test]
async fn withdrawal_reaches_queues_and_open_connections() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    entry.fakes.cap.store(0, Ordering::SeqCst);
    let mut stream = TcpStream::connect(entry.server.address()).await.unwrap();
    let two = request("GET", "/forecast/1", "") + &request("GET", "/forecast/2", "connection: close\r\n");
    stream.write_all(two.as_bytes()).await.unwrap();
    task::sleep(Duration::from_millis(60)).await;
    *entry.fakes.view.lock().unwrap() = view(true);
    entry.fakes.cap.store(1, Ordering::SeqCst);
    let answers = read_all(&mut stream).await;
    assert_eq!(answers.matches("\"WithdrawnKey\"").count(), 2, "{answers}");
    assert!(standin.journal().is_empty());
}
