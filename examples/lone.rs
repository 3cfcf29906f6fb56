//! The request path alone, with the fakes of the tests, for measurements with `examples/bench.rs`.
//!
//! Prints its address; stops on end of input, after the running requests are answered.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use argh::FromArgs;
use zinnialoom::http;

use self::fakes::Entry;

#[allow(dead_code)]
#[path = "../tests/path/fakes.rs"]
mod fakes;

/// Connections to an upstream; 0.75 of the 350 that an upstream of section 1.4 takes.
const CONNECTIONS: usize = 262;
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// The request path with fakes of the other parts.
#[derive(FromArgs)]
struct Args {
    /// address of an upstream; the first is used while it is not at its cap
    #[argh(option)]
    upstream: Vec<SocketAddr>,
}

#[async_std::main]
async fn main() {
    let args: Args = argh::from_env();
    let entry = Entry::start_with(&args.upstream, http::Limits::default()).await;
    entry.fakes.connections.store(CONNECTIONS, Ordering::SeqCst);
    println!("{}\n{}", entry.running.address(), fakes::KEY);
    let _ = async_std::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new())).await;
    let open = entry.running.stop(STOP_LIMIT).await;
    println!("{open} connections cut off");
}
