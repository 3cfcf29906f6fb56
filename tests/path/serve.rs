//! Requests that are served.

use std::time::Duration;

use crate::fakes::Entry;
use crate::fakes::any;
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
    Standin::bind(any(), behaviour).await.unwrap()
}

/// Guards against a request that does not reach the upstream or loses its answer.
#[async_std::test]
async fn a_request_is_served() {
    let standin = standin().await;
    let entry = Entry::start(&[standin.address()]).await;
    let answer = entry.ask("GET", "/forecast/age?x=1", "").await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(header(&answer, "zinnia-run"), Some("yes"));
    assert!(answer.ends_with("\r\n\r\nGET /forecast/age?x=1 0"), "{answer}");
    assert_eq!(standin.journal()[0].customer, "soum");
}
