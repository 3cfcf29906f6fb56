//! A stand-in upstream for tests; see `docs/design.md` section 3.2.
//!
//! Prints its address on the first line and then one JSON line for each request that it ran.
//! `POST /.standin/faults` with JSON replaces the injected faults, `GET /.standin/journal` returns the
//! requests that ran.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use async_std::future;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use serde::Serialize;

use self::server::Behaviour;
use self::server::Standin;

#[path = "standin/server.rs"]
mod server;

const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// A stand-in upstream.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    bind: SocketAddr,
    /// service to announce
    #[argh(option, default = "\"forecast\".into()")]
    service: String,
    /// name to announce (default: the address)
    #[argh(option)]
    name: Option<String>,
    /// failure domain to announce
    #[argh(option, default = "\"d1\".into()")]
    domain: String,
    /// peer port of an entry VM to announce to; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// file with the join secret of the service
    #[argh(option)]
    secret: Option<PathBuf>,
    /// requests that run at the same time; also announced
    #[argh(option, default = "6")]
    slots: usize,
    /// number of connections to announce
    #[argh(option, default = "350")]
    connections: usize,
    /// latency of each request in milliseconds
    #[argh(option, default = "0")]
    latency: u64,
    /// seconds after the start during which the announced state is cold
    #[argh(option, default = "0")]
    cold: u64,
    /// do not print a line for each request
    #[argh(switch)]
    quiet: bool,
}

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    upstream: &'a str,
    address: SocketAddr,
    domain: &'a str,
    slots: usize,
    connections: usize,
    state: &'static str,
    sequence: u64,
}

#[async_std::main]
async fn main() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let args: Args = argh::from_env();
    let behaviour = Behaviour {
        slots: args.slots,
        latency: Duration::from_millis(args.latency),
        print: !args.quiet,
    };
    let standin = Standin::bind(args.bind, behaviour).await?;
    println!("{}", standin.address());
    let secret = match &args.secret {
        Some(path) => fs::read_to_string(path)?.trim().to_owned(),
        None => String::new(),
    };
    let start = Instant::now();
    // Entry VMs ignore an announcement without a higher sequence number. The clock puts those of a
    // restarted stand-in above the numbers of its earlier run.
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
    let mut sequence = clock.as_millis() as u64;
    loop {
        let state = match start.elapsed().as_secs() {
            _ if standin.faults().drain => "draining",
            age if age < args.cold => "cold",
            _ => "ready",
        };
        sequence += 1;
        announce(&args, &standin, &secret, state, sequence).await;
        task::sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Announces the stand-in to the first entry VM that accepts the announcement.
async fn announce(args: &Args, standin: &Standin, secret: &str, state: &'static str, sequence: u64) {
    let name = standin.address().to_string();
    let announcement = Announcement {
        service: &args.service,
        upstream: args.name.as_deref().unwrap_or(&name),
        address: standin.address(),
        domain: &args.domain,
        slots: args.slots,
        connections: args.connections,
        state,
        sequence,
    };
    let body = serde_json::to_string(&announcement).unwrap_or_default();
    for entry in &args.entry {
        let head = format!(
            "POST /announce HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {secret}\r\n\
             connection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let send = async {
            let mut stream = TcpStream::connect(entry).await?;
            stream.write_all((head + &body).as_bytes()).await?;
            let mut answer = Vec::new();
            async_std::io::ReadExt::read_to_end(&mut stream, &mut answer).await?;
            Ok::<_, std::io::Error>(answer)
        };
        match future::timeout(ANNOUNCE_TIMEOUT, send).await {
            Ok(Ok(answer)) if answer.starts_with(b"HTTP/1.1 2") => return,
            Ok(Ok(answer)) => {
                let line = String::from_utf8_lossy(&answer);
                eprintln!("announce to {entry}: {}", line.lines().next().unwrap_or_default());
            }
            Ok(Err(e)) => eprintln!("announce to {entry}: {e}"),
            Err(_) => eprintln!("announce to {entry}: no answer within {ANNOUNCE_TIMEOUT:?}"),
        }
    }
}
