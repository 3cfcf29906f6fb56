//! Sound answers that come before the upload was read.

use std::time::Duration;

use crate::early::Behaviour;
use crate::early::EarlyUpstream;
use crate::early::End;
use crate::early::HUGE_UPLOAD;
use crate::early::entry;
use crate::early::upload;
use crate::fakes::header;
use crate::fakes::status;

/// From none, and one that goes in a packet with its head, to one of which a part can't be sent.
const UPLOADS: [usize; 5] = [0, 1, 3_000, 300_000, HUGE_UPLOAD];
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-kept: 1\r\n\r\n";

fn with_body(head: &str, length: usize) -> Vec<u8> {
    [head.as_bytes(), &vec![b'p'; length]].concat()
}

/// The body of an answer that is complete; `None` if its framing shows that it was cut.
fn whole_body(answer: &str) -> Option<String> {
    let (_, body) = answer.split_once("\r\n\r\n")?;
    if let Some(length) = header(answer, "content-length") {
        return (length.parse() == Ok(body.len())).then(|| body.into());
    }
    assert_eq!(header(answer, "transfer-encoding"), Some("chunked"));
    let mut rest = body;
    let mut whole = String::new();
    loop {
        let (line, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(line, 16).unwrap();
        if size == 0 {
            return Some(whole);
        }
        whole.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}

/// Guards against a sound answer without a length that is taken for a cut one.
#[async_std::test]
async fn an_early_answer_that_ends_with_its_connection_arrives_whole() {
    let heads = [
        (200, NO_LENGTH),
        (200, "HTTP/1.0 200 OK\r\n\r\n"),
        (201, "HTTP/1.1 201 Created\r\n\r\n"),
        (404, "HTTP/1.1 404 Not Found\r\n\r\n"),
        (413, "HTTP/1.1 413 Payload Too Large\r\nconnection: close\r\n\r\n"),
        (500, "HTTP/1.1 500 Internal Server Error\r\n\r\n"),
    ];
    for (code, head) in heads {
        for length in UPLOADS {
            for (body, end) in [(11, End::Close), (90_000, End::Close), (11, End::CloseThenReset)] {
                check_whole(code, &with_body(head, body), body, end, length).await;
            }
        }
    }
}

/// Guards against an answer that states its length and is taken for a cut one because a reset follows it.
#[async_std::test]
async fn an_early_answer_that_states_its_length_arrives_whole() {
    let answers = [
        (
            200,
            "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nppppppppppp",
            11,
        ),
        (
            403,
            "HTTP/1.1 403 Forbidden\r\ncontent-length: 11\r\n\r\nppppppppppp",
            11,
        ),
        (
            200,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nb\r\nppppppppppp\r\n0\r\n\r\n",
            11,
        ),
        (204, "HTTP/1.1 204 No Content\r\n\r\n", 0),
    ];
    for (code, answer, body) in answers {
        for length in UPLOADS {
            for end in [End::Close, End::CloseThenReset, End::Reset] {
                check_whole(code, answer.as_bytes(), body, end, length).await;
            }
        }
    }
}

/// Checks that an answer reaches its caller as it is, and that its request is sent once.
async fn check_whole(code: u16, answer: &[u8], body: usize, end: End, length: usize) {
    for (method, warm) in [("POST", false), ("PUT", false), ("PUT", true)] {
        let upstream = EarlyUpstream::start(Behaviour {
            warm,
            read: 0,
            answer: answer.to_vec(),
            end,
            pause: Duration::from_millis(40),
        })
        .await;
        let entry = entry(&[&upstream]).await;
        if warm {
            let first = entry.send_request("GET", "/forecast", "").await;
            assert_eq!(whole_body(&first).as_deref(), Some("ok"));
        }
        let got = upload(&entry, method, "", length).await;
        let what = format!("{method} of {length} bytes, {code} with {body} bytes, {end:?}, warm: {warm}");
        let start = &got[..got.len().min(300)];
        assert_eq!(status(&got), code, "{what}: {start}");
        let whole = whole_body(&got);
        assert_eq!(whole.map(|b| b.len()), Some(body), "{what}: {start}");
        assert_eq!(upstream.requests(), 1, "{what}");
    }
}
