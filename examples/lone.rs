//! The request path of an entry VM with test fakes in place of its other components, for `examples/bench.rs`.
//!
//! Prints its address and a caller key. Stops at the end of the standard input, after the running
//! requests are answered.

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

/// Limit of connections to an upstream: three quarters of the 350 that an upstream accepts.
const MAX_CONNECTIONS: usize = 262;
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The request path with test fakes of the other parts.
#[derive(FromArgs)]
struct Args {
    /// address of an upstream; may be repeated, the first below its connection limit is used
    #[argh(option)]
    upstream: Vec<SocketAddr>,
}

#[async_std::main]
async fn main() {
    let args: Args = argh::from_env();
    let entry = Entry::start_with(&args.upstream, http::Limits::default()).await;
    entry.fakes.connections.store(MAX_CONNECTIONS, Ordering::SeqCst);
    println!("{}\n{}", entry.server.address(), fakes::KEY);
    let _ = async_std::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new())).await;
    let open = entry.server.stop(STOP_TIMEOUT).await;
    println!("{open} connections cut off");
}
