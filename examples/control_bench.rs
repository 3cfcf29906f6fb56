//! Commit latency and commits per second of the replicated log on loopback, with `fdatasync` of each write.
//!
//! `cargo run --release --example control_bench [-- --seconds N --callers N --folder PATH]`
//! A caller is a task that proposes commands one at a time, not an HTTP client.
//! The results are not comparable with separate VMs: all replicas share one process and one disk, and
//! loopback has no network latency.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use async_std::net::TcpListener;
use async_std::task;
use futures::StreamExt;
use hdrhistogram::Histogram;
use jsonrpsee::RpcModule;
use zinnialoom::code::Code;
use zinnialoom::component::Component;
use zinnialoom::connection_budget::DEFAULT_CONNECTION_MEMORY;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::id::Index;
use zinnialoom::replica::Role;
use zinnialoom::replication::Replication;
use zinnialoom::replication::StateMachine;
use zinnialoom::rpc::Server;
use zinnialoom::secret::Secret;
use zinnialoom::settings::CommonSettings;
use zinnialoom::settings::ControlSettings;
use zinnialoom::settings::Peer;
use zinnialoom::timer::Timer;

/// Size of a command, similar to a customer or route change in JSON.
const COMMAND_BYTES: usize = 300;
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
const LEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures commit latency and throughput of the replicated log.
#[derive(FromArgs)]
struct Args {
    /// duration of each measurement in seconds (3)
    #[argh(option, default = "3")]
    seconds: u64,
    /// concurrent callers in the second measurement of each number of replicas (64)
    #[argh(option, default = "64")]
    callers: usize,
    /// folder in which the data folder is created; that is removed at the end (the temporary folder)
    #[argh(option)]
    folder: Option<PathBuf>,
}

/// Counts commands; the state is small, so that snapshots take little time.
#[derive(Default)]
struct Counter(u64);

impl StateMachine for Counter {
    fn apply(&mut self, _: Index, _: &[u8]) -> Vec<u8> {
        self.0 += 1;
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, data: &[u8]) -> Result<()> {
        let bytes = data.try_into().map_err(|_| Error::from(Code::Corrupt))?;
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

async fn serve(listener: TcpListener, server: Server) {
    let mut incoming = listener.incoming();
    while let Some(Ok(stream)) = incoming.next().await {
        let _ = stream.set_nodelay(true);
        let server = server.clone();
        task::spawn(async_h1::accept(stream, move |request| {
            let server = server.clone();
            async move { Ok(server.respond(request).await) }
        }));
    }
}

fn settings(peers: &[Peer], n: usize, folder: &Path) -> ControlSettings {
    let vm = peers[n].vm.clone();
    ControlSettings {
        data: folder.join(format!("{}-{vm}", peers.len())),
        common: CommonSettings {
            vm,
            domain: "a".into(),
            fleet_secret: PathBuf::new(),
            control: peers.to_vec(),
            log_json: false,
            event_count: 100,
        },
        bind: peers[n].address,
        operator_secret: PathBuf::new(),
        connection_memory: DEFAULT_CONNECTION_MEMORY,
        heartbeat: HEARTBEAT_PERIOD,
        election: ELECTION_TIMEOUT,
    }
}

async fn open_replicas(count: usize, folder: &Path, timer: &Timer) -> Vec<Arc<Replication<Counter>>> {
    let mut listeners = Vec::new();
    let mut peers = Vec::new();
    for n in 0..count {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let vm = format!("c{n}").into();
        peers.push(Peer { vm, address });
        listeners.push(listener);
    }
    let secret = Secret::new("control-bench-secret");
    let mut replicas = Vec::new();
    for (n, listener) in listeners.into_iter().enumerate() {
        let settings = settings(&peers, n, folder);
        let replica = Replication::open(&settings, secret.clone(), Counter::default(), timer).await;
        let replica = replica.expect("cannot open the data folder of the replica");
        let mut module = RpcModule::new(());
        replica
            .register(&mut module)
            .expect("cannot register the RPC methods");
        task::spawn(serve(listener, Server::new(module, secret.clone())));
        replicas.push(Arc::new(replica));
    }
    replicas
}

async fn wait_for_leader(replicas: &[Arc<Replication<Counter>>]) -> Arc<Replication<Counter>> {
    let end = Instant::now() + LEADER_TIMEOUT;
    loop {
        assert!(Instant::now() < end, "no leader within {LEADER_TIMEOUT:?}");
        let leads = |r: &&Arc<Replication<Counter>>| r.status().role == Role::Leader;
        if let Some(replica) = replicas.iter().find(leads) {
            if replica.propose(vec![0; COMMAND_BYTES]).await.is_ok() {
                return Arc::clone(replica);
            }
        }
        task::sleep(HEARTBEAT_PERIOD).await;
    }
}

/// A histogram of latencies in microseconds up to a minute.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("invalid histogram bounds")
}

/// Proposes commands one at a time until `end`; returns the latencies and the number of failures.
async fn propose_until(replica: Arc<Replication<Counter>>, end: Instant) -> (Histogram<u64>, u64) {
    let mut latencies = new_histogram();
    let mut failed = 0;
    while Instant::now() < end {
        let start = Instant::now();
        match replica.propose(vec![1; COMMAND_BYTES]).await {
            Ok(_) => latencies.saturating_record(start.elapsed().as_micros() as u64),
            Err(_) => failed += 1,
        }
    }
    (latencies, failed)
}

/// Proposes commands from concurrent tasks for the given duration and prints a row of the results.
async fn measure(
    replica: &Arc<Replication<Counter>>,
    replica_count: usize,
    caller_count: usize,
    duration: Duration,
) {
    let start = Instant::now();
    let end = start + duration;
    let calls = (0..caller_count).map(|_| task::spawn(propose_until(Arc::clone(replica), end)));
    let results = futures::future::join_all(calls).await;
    let taken = start.elapsed().as_secs_f64();
    let mut all: Histogram<u64> = new_histogram();
    let mut failed = 0;
    for (latencies, errors) in results {
        all.add(latencies)
            .expect("cannot add histograms of different ranges");
        failed += errors;
    }
    let millis = |q| all.value_at_quantile(q) as f64 / 1_000.0;
    let rate = all.len() as f64 / taken;
    let (p50, p99) = (millis(0.5), millis(0.99));
    println!("{replica_count:>8} {caller_count:>8} {rate:>10.0} {p50:>10.2} {p99:>10.2} {failed:>8}");
}

#[async_std::main]
async fn main() {
    let args: Args = argh::from_env();
    let name = format!("control-bench-{}", std::process::id());
    let folder = args.folder.unwrap_or_else(std::env::temp_dir).join(name);
    let duration = Duration::from_secs(args.seconds);
    println!("replicas  callers  commits/s     p50 ms     p99 ms   failed");
    for replica_count in [1, 3, 5] {
        let timer = Timer::spawn();
        let replicas = open_replicas(replica_count, &folder, &timer).await;
        let replica = wait_for_leader(&replicas).await;
        measure(&replica, replica_count, 1, duration).await;
        measure(&replica, replica_count, args.callers, duration).await;
        for replica in &replicas {
            replica.stop().await;
        }
        timer.stop().await;
    }
    let _ = std::fs::remove_dir_all(&folder);
}
