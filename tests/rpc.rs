//! Guards against calls that are taken for done when their answer was cut, lost or refused.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;

use zinnialoom::code::Code;
use zinnialoom::error::Error;
use zinnialoom::rpc::Client;
use zinnialoom::rpc::Server;
use zinnialoom::secret::Secret;

const LIMIT: Duration = Duration::from_millis(500);

fn secret() -> Secret {
    Secret::new("0123456789abcdef")
}

async fn serve() -> std::net::SocketAddr {
    let mut module = RpcModule::new(());
    module
        .register_method("add", |p, _, _| {
            let numbers: Vec<u64> = p.parse()?;
            Ok::<_, ErrorObjectOwned>(numbers.iter().sum::<u64>())
        })
        .unwrap();
    module
        .register_method("fail", |_, _, _| {
            Err::<(), ErrorObjectOwned>(Error::new(Code::Conflict, "version 7").into())
        })
        .unwrap();
    let server = Server::new(module, secret());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server = server.clone();
            task::spawn(async move {
                async_h1::accept(stream, |request| {
                    let server = server.clone();
                    async move { Ok(server.respond(request).await) }
                })
                .await
            });
        }
    });
    address
}

/// Answers each connection with fixed bytes and keeps it open.
async fn serve_bytes(bytes: &'static [u8]) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        stream.write_all(bytes).await.unwrap();
        if bytes.is_empty() {
            task::sleep(Duration::from_secs(5)).await;
        }
    });
    address
}

#[async_std::test]
async fn results_and_numbered_errors_come_back() {
    let client = Client::new(serve().await, secret());
    assert_eq!(client.call::<_, u64>("add", &[1, 2, 3], LIMIT).await, Ok(6));
    let error = client.call::<_, ()>("fail", &[0], LIMIT).await.unwrap_err();
    assert_eq!((error.code, error.detail.as_str()), (Code::Conflict, "version 7"));
}

#[async_std::test]
async fn unknown_methods_and_wrong_types_are_bad_params() {
    let client = Client::new(serve().await, secret());
    for (method, params) in [("none", "x"), ("add", "x")] {
        let error = client.call::<_, u64>(method, &[params], LIMIT).await.unwrap_err();
        assert_eq!(error.code, Code::BadParams, "{error}");
    }
}

#[async_std::test]
async fn a_wrong_secret_is_refused() {
    let client = Client::new(serve().await, Secret::new("another secret of some length"));
    let error = client.call::<_, u64>("add", &[1], LIMIT).await.unwrap_err();
    assert_eq!(error.code, Code::Unauthorized);
}

#[async_std::test]
async fn a_cut_answer_is_an_error() {
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":6}";
    let client = Client::new(serve_bytes(cut).await, secret());
    let error = client.call::<_, u64>("add", &[1], LIMIT).await.unwrap_err();
    assert_eq!(error.code, Code::BadAnswer);
}

#[async_std::test]
async fn a_silent_connection_ends_at_the_limit_and_is_not_used_again() {
    let client = Client::new(serve_bytes(b"").await, secret());
    let start = Instant::now();
    let error = client.call::<_, u64>("add", &[1], LIMIT).await.unwrap_err();
    assert_eq!(error.code, Code::Timeout);
    assert!(start.elapsed() < LIMIT * 3);
}

#[async_std::test]
async fn nothing_listening_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = Client::new(address, secret())
        .call::<_, u64>("add", &[1], LIMIT)
        .await
        .unwrap_err();
    assert_eq!(error.code, Code::Unreachable);
}

/// Answers with the first bytes and then with the others again and again until the connection is closed,
/// for 10 s at most; the number is how many bytes the kernel took until then.
async fn serve_flow(
    first: &'static str,
    part: &'static str,
    pause: u64,
) -> (std::net::SocketAddr, Arc<Mutex<Option<usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::new(Mutex::new(None));
    let result = Arc::clone(&taken);
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(first.as_bytes()).await;
        let part = part.repeat(if pause == 0 { 64 << 10 } else { 1 });
        let mut bytes = 0;
        let flow = async {
            while let Ok(count) = stream.write(part.as_bytes()).await {
                bytes += count;
                task::sleep(Duration::from_millis(pause)).await;
            }
        };
        let closed = async_std::future::timeout(Duration::from_secs(10), flow).await;
        *result.lock().unwrap() = closed.is_ok().then_some(bytes);
    });
    (address, taken)
}

/// Guards against a process that holds an answer of any size because another sends one without end.
#[async_std::test]
async fn an_answer_without_end_is_refused_at_its_largest_size() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n";
    // A head may have 64 KiB and a body 64 MiB; the kernel buffers up to 10 MiB more.
    for (first, part, most) in [
        ("HTTP/1.1 200 OK\r\n", "x-filler: 0123456789abcdef\r\n", 11 << 20),
        ("HTTP/1.1 200 OK\r\nx-filler: ", "0123456789abcdef", 11 << 20),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n", 11 << 20),
        (CHUNKED, "10\r\n0123456789abcdef\r\n", 76 << 20),
        (LENGTH, "0123456789abcdef", 76 << 20),
        ("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef", 76 << 20),
    ] {
        let (address, taken) = serve_flow(first, part, 0).await;
        let client = Client::new(address, secret());
        let limit = Duration::from_secs(8);
        let error = client.call::<_, u64>("add", &[1], limit).await.unwrap_err();
        assert_eq!(error.code, Code::BadAnswer, "{part:?}: {error}");
        task::sleep(Duration::from_millis(200)).await;
        let taken = *taken.lock().unwrap();
        let taken = taken.unwrap_or_else(|| panic!("the connection stays open: {part:?}"));
        assert!(taken < most, "{part:?}: {taken} bytes");
    }
}

/// Guards against a call that outlasts its limit because its answer comes byte by byte.
#[async_std::test]
async fn a_trickled_answer_ends_at_the_limit() {
    for (first, part) in [
        ("HTTP/1.1 200 OK\r\nx-filler: ", "a"),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n", "a"),
    ] {
        let (address, taken) = serve_flow(first, part, 3).await;
        let client = Client::new(address, secret());
        let start = Instant::now();
        let error = client.call::<_, u64>("add", &[1], LIMIT).await.unwrap_err();
        assert!(matches!(error.code, Code::Timeout | Code::BadAnswer), "{error}");
        assert!(start.elapsed() < LIMIT * 3);
        task::sleep(Duration::from_millis(200)).await;
        let taken = *taken.lock().unwrap();
        assert!(taken.is_some(), "the connection stays open: {part:?}");
    }
}
