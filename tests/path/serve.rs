//! Requests that are served, their metrics, and paths that the proxy answers itself.

use std::time::Duration;

use prometheus::TextEncoder;

use crate::fakes::Entry;
use crate::fakes::any_port;
use crate::fakes::header;
use crate::fakes::status;
use crate::server::Behaviour;
use crate::server::Standin;

pub async fn standin() -> Standin {
    let behaviour = Behaviour {
        slots: 6,
        latency: Duration::ZERO,
        print: false,
    };
    Standin::bind(any_port(), behaviour).await.unwrap()
}

/// Guards against a request that does not reach its upstream, and against the loss of its answer.
#[async_std::test]
async fn a_request_is_served() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    let answer = entry.send_request("GET", "/forecast/age?x=1", "").await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(header(&answer, "zinnia-run"), Some("yes"));
    assert!(answer.ends_with("\r\n\r\nGET /forecast/age?x=1 0"), "{answer}");
    assert_eq!(standin.journal()[0].customer, "soum");
}

/// Guards against requests that are not counted, and against labels whose values callers choose.
#[async_std::test]
async fn requests_are_counted_by_code_and_run() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    entry.send_request("GET", "/forecast/a", "").await;
    entry.send_request("GET", "/forecast/b", "").await;
    entry.send_request("GET", "/nowhere", "").await;
    entry.send("GET /forecast HTTP/1.0\r\n\r\n").await;
    let text = TextEncoder::new()
        .encode_to_string(&entry.registry.gather())
        .unwrap();
    let expected = [
        "zinnia_requests_total{code=\"Ok\",run=\"yes\"} 2",
        "zinnia_requests_total{code=\"NoRoute\",run=\"no\"} 1",
        "zinnia_requests_total{code=\"BadVersion\",run=\"no\"} 1",
        // The head with a wrong version is refused before the proxy measures the added latency.
        "zinnia_added_seconds_count 3",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is not in {text}");
    }
    assert!(!text.contains("soum") && !text.contains("forecast"), "{text}");
}

/// Guards against forwarding paths under `SYSTEM_PREFIX` to an upstream, against requiring a key for them, and
/// against taking another path for one of them.
#[async_std::test]
async fn system_paths_are_not_proxied() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    let head = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    assert!(
        entry
            .send(head("/.zinnia/addresses"))
            .await
            .ends_with("directory")
    );
    let other = entry.send(head("/a/../.zinnia/addresses")).await;
    assert_eq!(status(&other), 404, "{other}");
    assert!(standin.journal().is_empty());
}
