//! Guards against calls between processes that return a result although the answer is broken or was cut by a reset.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;

use zinnialoom::code::Code;
use zinnialoom::rpc::Client;
use zinnialoom::secret::Secret;

const LIMIT: Duration = Duration::from_secs(5);
const BODY: &str = r#"{"jsonrpc":"2.0","id":1,"result":6}"#;
/// More than the kernel takes for a process that doesn't read.
const HUGE_CALL: usize = 12 << 20;

fn secret() -> Secret {
    Secret::new("0123456789abcdef")
}

/// Answers the first call on each connection soundly if `warm` is set, and the next one with these bytes as soon as
/// its head was read; then closes the connection, with a reset if `is_reset` is set.
async fn serve(answer: String, warm: bool, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve_connection(stream, answer.clone(), warm, is_reset));
        }
    });
    address
}

async fn serve_connection(mut stream: TcpStream, answer: String, warm: bool, is_reset: bool) {
    if warm {
        read_head(&mut stream, 4).await;
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(sound().as_bytes()).await;
    }
    // The last byte of the head stays unread, so that closing the socket resets the connection.
    read_head(&mut stream, 3).await;
    if !is_reset {
        let _ = future::timeout(Duration::from_millis(30), read_all(&mut stream)).await;
    }
    let _ = stream.write_all(answer.as_bytes()).await;
    task::sleep(Duration::from_millis(20)).await;
}

async fn read_all(stream: &mut TcpStream) {
    let mut part = vec![0; 64 << 10];
    while let Ok(1..) = stream.read(&mut part).await {}
}

/// Reads up to the first `count` bytes of the blank line after a head.
async fn read_head(stream: &mut TcpStream, count: usize) {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(&b"\r\n\r\n"[..count]) && stream.read_exact(&mut byte).await.is_ok() {
        text.push(byte[0]);
    }
}

fn with_length(head: &str) -> String {
    format!("{head}content-length: {}\r\n\r\n{BODY}", BODY.len())
}

fn sound() -> String {
    with_length("HTTP/1.1 200 OK\r\n")
}

/// Heads without a status, or with a field name that holds a blank or a control byte.
const HEADS: [&str; 20] = [
    "HTTP/1.1 200 OK\r\n\nx-bad: 1\r\n",
    "HTTP/1.1 200 OK\r\nx\nbad: 1\r\n",
    "HTTP/1.1 000 Nothing\r\n",
    "HTTP/1.1 000\r\n",
    "HTTP/1.1 0000 Zeros\r\n",
    "HTTP/1.1 00 Short\r\n",
    "HTTP/1.1 600 High\r\n",
    "HTTP/1.1 999 High\r\n",
    "HTTP/1.1 200\u{0} OK\r\n",
    "HTTP/1.1 200 OK\r\nx bad: 1\r\n",
    "HTTP/1.1 200 OK\r\nx-bad : 1\r\n",
    "HTTP/1.1 200 OK\r\n x-bad: 1\r\n",
    "HTTP/1.1 200 OK\r\nx: 1\r\n x-bad: 1\r\n",
    "HTTP/1.1 200 OK\r\n: 1\r\n",
    "HTTP/1.1 200 OK\r\nx\tbad: 1\r\n",
    "HTTP/1.1 200 OK\r\nx\u{0}bad: 1\r\n",
    "HTTP/1.1 200 OK\r\nx\u{7f}bad: 1\r\n",
    "HTTP/1.1 200 OK\r\nx\rbad: 1\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length : 3\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding : chunked\r\n",
];

/// Guards against a broken head that is read as an answer, on a new and on a reused connection.
#[async_std::test]
async fn a_broken_head_is_a_bad_answer() {
    for head in HEADS {
        for text in [with_length(head), format!("{head}\r\n{BODY}")] {
            for warm in [false, true] {
                let client = Client::new(serve(text.clone(), warm, false).await, secret());
                if warm {
                    assert_eq!(client.call::<_, u64>("add", &[1], LIMIT).await, Ok(6));
                }
                let answer = client.call::<_, u64>("add", &[1], LIMIT).await;
                let code = answer.as_ref().map_err(|e| e.code);
                assert_eq!(code, Err(Code::BadAnswer), "{text:?}, warm: {warm}: {answer:?}");
            }
        }
    }
}

/// Guards against an answer that a reset cuts and that is read as a result, whatever the length of the call.
#[async_std::test]
async fn an_answer_cut_by_a_reset_is_a_bad_answer() {
    let short = &BODY[..BODY.len() - 1];
    let cut = [
        format!("HTTP/1.1 200 OK\r\n\r\n{short}"),
        format!("HTTP/1.1 200 OK\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{short}", BODY.len()),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n23\r\n{short}"),
    ];
    for text in cut {
        for length in [1, 300_000, HUGE_CALL] {
            let client = Client::new(serve(text.clone(), false, true).await, secret());
            let answer = client.call::<_, u64>("add", &"x".repeat(length), LIMIT).await;
            let code = answer.as_ref().map_err(|e| e.code);
            assert_eq!(code, Err(Code::BadAnswer), "{length} bytes, {text:?}: {answer:?}");
        }
    }
}

/// Guards against a program for operators that reports success after a broken answer.
#[async_std::test]
async fn operators_programs_report_a_broken_answer() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("secret");
    std::fs::write(&path, "0123456789abcdef0123456789abcdef").unwrap();
    let path = path.display().to_string();
    for head in HEADS {
        let address = serve(with_length(head), false, false).await.to_string();
        let ctl = [
            env!("CARGO_BIN_EXE_zinnia-ctl"),
            "--control",
            &address,
            "--secret",
            &path,
            "status",
        ];
        let events = [
            env!("CARGO_BIN_EXE_zinnia-events"),
            "--process",
            &address,
            "--secret",
            &path,
        ];
        // A change may have run, which has an exit code of its own.
        for (words, code) in [(&ctl[..], 5), (&events[..], 1)] {
            let mut command = Command::new(words[0]);
            command.args(&words[1..]);
            let output = task::spawn_blocking(move || command.output().unwrap()).await;
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_eq!(output.status.code(), Some(code), "{head:?}: {words:?}: {text}");
            assert!(text.contains("BadAnswer"), "{head:?}: {words:?}: {text}");
            assert!(output.stdout.is_empty(), "{head:?}: {words:?}");
        }
    }
}
