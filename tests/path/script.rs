//! An upstream that follows a script: one line for each connection, in the order of connecting.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;

use crate::fakes::any;

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Reads a request and writes this text.
    Answer(&'static str),
    /// Reads this many bytes of a request.
    Read(usize),
    /// Reads a request and stays silent until the other side closes the connection.
    Silent,
    /// Writes this text without reading.
    Write(&'static str),
    /// Waits this many milliseconds.
    Wait(u64),
}

pub type Line = &'static [Step];

/// A running script; connections after its last line repeat that line.
pub struct Script {
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    /// Requests that were read to the end of their body.
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Connections that the other side closed while they were silent.
    pub abandoned: Arc<AtomicUsize>,
}

impl Script {
    pub async fn start(lines: &'static [Line]) -> Self {
        let listener = TcpListener::bind(any()).await.unwrap();
        let script = Self {
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
            requests: Arc::default(),
            abandoned: Arc::default(),
        };
        let connections = script.connections.clone();
        let requests = script.requests.clone();
        let abandoned = script.abandoned.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::SeqCst);
                let line = lines[number.min(lines.len() - 1)];
                task::spawn(play(stream, line, requests.clone(), abandoned.clone()));
            }
        });
        script
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn requests(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

async fn play(
    mut stream: TcpStream,
    line: Line,
    requests: Arc<Mutex<Vec<String>>>,
    abandoned: Arc<AtomicUsize>,
) {
    for step in line {
        match step {
            Step::Answer(text) => {
                read_request(&mut stream, &requests).await;
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Step::Read(count) => {
                let _ = stream.read_exact(&mut vec![0; *count]).await;
            }
            Step::Silent => {
                read_request(&mut stream, &requests).await;
                let _ = stream.read(&mut [0]).await;
                abandoned.fetch_add(1, Ordering::SeqCst);
            }
            Step::Write(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Step::Wait(millis) => task::sleep(std::time::Duration::from_millis(*millis)).await,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

async fn read_request(stream: &mut TcpStream, requests: &Mutex<Vec<String>>) {
    let mut text = String::new();
    let mut byte = [0];
    let mut left = None;
    while left != Some(0) {
        if stream.read_exact(&mut byte).await.is_err() {
            return;
        }
        text.push(byte[0] as char);
        left = match left {
            Some(left) => Some(left - 1),
            None if text.ends_with("\r\n\r\n") => {
                let (_, length) = text.split_once("content-length: ").unwrap_or(("", "0"));
                Some(length.lines().next().unwrap().parse::<usize>().unwrap())
            }
            None => None,
        };
    }
    requests.lock().unwrap().push(text);
}
