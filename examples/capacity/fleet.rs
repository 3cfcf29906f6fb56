//! Membership gossip, owners of partitions and calls between processes.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::task;
use jsonrpsee::RpcModule;

use zinnialoom::id::VmName;
use zinnialoom::lease::Placement;
use zinnialoom::member::Announcement;
use zinnialoom::member::GOSSIP_PERIOD;
use zinnialoom::member::MembershipState;
use zinnialoom::member::UpstreamState;
use zinnialoom::member::VmEndpoint;
use zinnialoom::rpc::Client;
use zinnialoom::rpc::Server;
use zinnialoom::secret::Secret;

use super::cpu_micros_each;
use super::cpu_time;
use super::print_row;

const CALLS: usize = 3_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Rounds before the measurement, in which every VM receives the records of all others.
const WARM_UP_ROUNDS: usize = 12;
const ROUNDS: usize = 12;

pub(crate) fn measure() {
    measure_calls();
    for (vms, upstreams) in [(12, 30), (48, 30), (192, 30), (48, 120), (48, 480)] {
        measure_gossip(vms, upstreams);
    }
    for (vms, partitions) in [(48, 64), (300, 4_096), (3_300, 4_096)] {
        let names: Vec<VmName> = (0..vms).map(name).collect();
        let time = cpu_micros_each(3, |n| {
            let mut placement = Placement::default();
            placement.update(&names[n..], partitions);
            black_box(placement.owner(0));
        });
        print_row(
            &format!("owners of {partitions} partitions among {vms} VMs, one computation"),
            time / 1e3,
            "ms",
        );
    }
}

fn name(n: usize) -> VmName {
    smol_str::format_smolstr!("entry-{n:04}")
}

fn endpoint(n: usize) -> VmEndpoint {
    let port = 10_000 + u16::try_from(n).unwrap_or_default();
    VmEndpoint {
        peer: SocketAddr::from(([127, 0, 0, 1], port)),
        caller: SocketAddr::from(([127, 0, 0, 2], port)),
        domain: smol_str::format_smolstr!("domain-{}", n % 3),
    }
}

fn measure_gossip(vms: usize, upstreams: usize) {
    let mut now = Instant::now();
    let endpoints: BTreeMap<VmName, VmEndpoint> = (0..vms).map(|n| (name(n), endpoint(n))).collect();
    let mut fleet: Vec<MembershipState> = (0..vms)
        .map(|n| MembershipState::new(name(n), endpoint(n).peer, 1, now, n as u64))
        .collect();
    fleet.iter_mut().for_each(|m| m.set_endpoints(endpoints.clone()));
    let (mut bytes, mut messages, mut start) = (0, 0, cpu_time());
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        if round == WARM_UP_ROUNDS {
            (bytes, messages, start) = (0, 0, cpu_time());
        }
        now += GOSSIP_PERIOD;
        for n in (0..upstreams).filter(|n| n % 2 == round % 2) {
            fleet[n % vms].announce(announcement(n, round), now);
        }
        for n in 0..vms {
            let (load, version, stale) = (1, 7, false);
            for peer in fleet[n].tick(now, load, version, stale) {
                let to = (0..vms).find(|m| name(*m) == peer).unwrap_or(0);
                for (a, b) in [(n, to), (to, n)] {
                    let text = serde_json::to_vec(&fleet[a].message(&name(b), now)).unwrap_or_default();
                    bytes += text.len();
                    messages += 1;
                    if let Ok(message) = serde_json::from_slice(&text) {
                        fleet[b].receive(message, now);
                    }
                }
            }
        }
    }
    let seconds = GOSSIP_PERIOD.as_secs_f64() * ROUNDS as f64;
    let each = |total: f64| total / vms as f64 / seconds;
    let size = format!("{vms} VMs, {upstreams} upstreams");
    print_row(
        &format!("gossip, {size}: sent by a VM, without HTTP"),
        each(bytes as f64) / 1e3,
        "KB/s",
    );
    print_row(
        &format!("gossip, {size}: messages sent by a VM"),
        each(f64::from(messages)),
        "1/s",
    );
    let cpu = (cpu_time() - start).as_secs_f64();
    print_row(
        &format!("gossip, {size}: CPU time, without HTTP"),
        each(cpu) * 100.0,
        "% of a core",
    );
}

fn announcement(n: usize, round: usize) -> Announcement {
    Announcement {
        service: "forecast".into(),
        upstream: smol_str::format_smolstr!("forecast-{n:04}"),
        address: endpoint(n).caller,
        domain: endpoint(n).domain,
        slots: 6,
        connections: 350,
        state: UpstreamState::Ready,
        sequence: round as u64 + 1,
    }
}

fn measure_calls() {
    task::block_on(async {
        let secret = Secret::new("capacity-fleet-secret");
        let mut module = RpcModule::new(());
        let registered = module.register_method("echo", |params, _, _| params.parse::<Vec<u64>>());
        registered.expect("a new module has no methods");
        let server = Server::new(module, secret.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        let address = listener.local_addr().expect("a bound address");
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // With Nagle's algorithm each answer would wait 40 ms for a delayed acknowledgement.
                let _ = stream.set_nodelay(true);
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
        let client = Client::new(address, secret);
        let start = cpu_time();
        for n in 0..CALLS {
            let _: Vec<u64> = client
                .call("echo", &[n as u64], CALL_TIMEOUT)
                .await
                .expect("an answer");
        }
        let each = (cpu_time() - start).as_secs_f64() * 1e6 / CALLS as f64;
        print_row("one call between processes, CPU time of both sides", each, "us");
    });
}
