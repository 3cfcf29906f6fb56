//! Guards against calls that are taken for done when their answer was cut, lost or refused.

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
