//! Grants against two baselines in virtual time: refusals within the limit, excess, messages and bytes.
//!
//! `cargo run --release --example limit_bench`. The seeds are fixed. The baselines are static shares
//! (rate / 48 on each VM) and counters that all VMs reconcile every second.

#[path = "../tests/support/limit_world.rs"]
#[allow(dead_code, reason = "the tests use the faults that the bench does not")]
mod limit_world;

use std::collections::BTreeMap;

use limit_world::MS;
use limit_world::Meter;
use limit_world::NetworkFaults;
use limit_world::SECOND;
use limit_world::SimConfig;
use limit_world::World;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinnialoom::view::Limit;

const VMS: usize = 48;
/// The VM that receives all requests with `Spread::One`.
const SINGLE_VM: usize = 5;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time before the first request.
const WARM_UP: u64 = 10 * SECOND;
/// Time in which requests arrive.
const RUN_TIME: u64 = 30 * SECOND;
const SIM_CONFIG: SimConfig = SimConfig {
    token_period: 50 * MS,
    lease_period: 100 * MS,
    sync_period: 500 * MS,
    partitions: 64,
};
const NO_FAULTS: NetworkFaults = NetworkFaults {
    loss: 0.0,
    duplication: 0.0,
    delay: 0.0,
};
const LIMITS: [Limit; 4] = [
    Limit {
        rate: 480,
        burst: 480,
    },
    Limit {
        rate: 480,
        burst: 120,
    },
    Limit { rate: 60, burst: 60 },
    Limit { rate: 10, burst: 20 },
];
/// Offered load in percent of the rate.
const DEMANDS_PERCENT: [u64; 5] = [50, 80, 90, 100, 300];

/// How requests are spread over VMs.
#[derive(Clone, Copy, strum::Display)]
enum Spread {
    Even,
    One,
    Moving,
}

/// Poisson arrivals with a mean rate in requests per second, as time in nanoseconds and VM.
fn poisson_arrivals(seed: u64, spread: Spread, rate: f64) -> Vec<(u64, usize)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut now = WARM_UP;
    loop {
        now += (-rng.random_range(1e-9..1.0f64).ln() / rate * SECOND as f64) as u64;
        if now >= WARM_UP + RUN_TIME {
            return arrivals;
        }
        let n = match spread {
            Spread::Even => rng.random_range(0..VMS),
            Spread::One => SINGLE_VM,
            // All callers move to another VM every 3 s.
            Spread::Moving => ((now / (3 * SECOND)) * 7 % VMS as u64) as usize,
        };
        arrivals.push((now, n));
    }
}

/// Requests that one token bucket with the whole limit refuses; all others are within the limit.
fn unavoidable_refusals(limit: Limit, arrivals: &[(u64, usize)]) -> u64 {
    let mut meter = Meter::new(limit);
    for (at, _) in arrivals {
        meter.spend(*at);
    }
    meter.excess
}

struct Row {
    refused: u64,
    /// Admitted requests beyond the limit.
    excess: u64,
    /// Messages per second and VM.
    messages: f64,
    /// Bytes per second and VM.
    bytes: f64,
}

/// Grants; with `kill`, an owner is killed for 20 s after the first 5 s of requests.
fn grants(seed: u64, limit: Limit, arrivals: &[(u64, usize)], kill: bool) -> Row {
    let mut world = World::new(seed, VMS, &[limit], SIM_CONFIG, NO_FAULTS);
    world.run_until(WARM_UP);
    let idle = world.counters;
    world.count_bytes = true;
    let mut is_kill_due = kill;
    for (at, n) in arrivals {
        world.run_until(*at);
        if is_kill_due && *at > WARM_UP + 5 * SECOND {
            is_kill_due = false;
            // The VM of `Spread::One` stays up, as its requests would end with it.
            let owner = world.owners_of(0).into_iter().find(|o| *o != SINGLE_VM);
            world.kill(owner.unwrap_or(0), 20 * SECOND);
        }
        world.request(*n, 0);
    }
    world.run_until(WARM_UP + RUN_TIME + SECOND);
    let per_vm = |count: u64| count as f64 / (VMS as f64 * (RUN_TIME / SECOND) as f64);
    Row {
        refused: world.counters.refused,
        excess: world.meters[0].excess,
        messages: per_vm(world.counters.messages - idle.messages),
        bytes: per_vm(world.counters.bytes),
    }
}

/// A token bucket with rate / 48 and burst / 48 on each VM.
fn static_shares(limit: Limit, arrivals: &[(u64, usize)]) -> Row {
    let share = f64::from(limit.burst) / VMS as f64;
    let rate = f64::from(limit.rate) / VMS as f64 / SECOND as f64;
    // With less than one token of burst a VM could not admit any request.
    let burst = share.max(1.0);
    let mut buckets = [(burst, 0u64); VMS];
    let mut meter = Meter::new(limit);
    let mut refused = 0;
    for (at, n) in arrivals {
        let (level, since) = &mut buckets[*n];
        *level = (*level + rate * (*at - *since) as f64).min(burst);
        *since = *at;
        if *level < 1.0 {
            refused += 1;
            continue;
        }
        *level -= 1.0;
        meter.spend(*at);
    }
    Row {
        refused,
        excess: meter.excess,
        messages: 0.0,
        bytes: 0.0,
    }
}

/// Each VM admits requests by the fleet's bucket at the last reconciliation, less the requests that it has
/// admitted since.
fn counters(limit: Limit, arrivals: &[(u64, usize)]) -> Row {
    let burst = f64::from(limit.burst);
    let mut level = burst;
    let mut spent = [0.0f64; VMS];
    let mut last_sync = WARM_UP;
    let mut meter = Meter::new(limit);
    let mut refused = 0;
    for (at, n) in arrivals {
        while last_sync + SECOND <= *at {
            level = (level - spent.iter().sum::<f64>() + f64::from(limit.rate)).min(burst);
            spent = [0.0; VMS];
            last_sync += SECOND;
        }
        let refilled = f64::from(limit.rate) * (*at - last_sync) as f64 / SECOND as f64;
        if (level + refilled).min(burst) - spent[*n] < 1.0 {
            refused += 1;
            continue;
        }
        spent[*n] += 1.0;
        meter.spend(*at);
    }
    // Each VM sends its counter to every other one each second: 180 bytes of HTTP head and about 20 bytes for
    // a customer.
    let messages = (VMS - 1) as f64;
    Row {
        refused,
        excess: meter.excess,
        messages,
        bytes: messages * 200.0,
    }
}

fn print(name: &str, unavoidable: u64, requests: u64, rows: &[Row]) {
    let refused: u64 = rows.iter().map(|r| r.refused).sum();
    let excess: u64 = rows.iter().map(|r| r.excess).sum();
    let count = rows.len() as f64;
    println!(
        "  {name:<14} refused {refused:>6} ({:>6.2} %)  in-rate {:>6}  excess {excess:>6}  messages/s {:>6.2}  bytes/s {:>7.0}",
        refused as f64 * 100.0 / requests as f64,
        refused.saturating_sub(unavoidable),
        rows.iter().map(|r| r.messages).sum::<f64>() / count,
        rows.iter().map(|r| r.bytes).sum::<f64>() / count,
    );
}

fn main() {
    println!(
        "seeds {SEEDS:?}, {VMS} VMs, {} s each; messages and bytes per VM",
        RUN_TIME / SECOND
    );
    for limit in LIMITS {
        for spread in [Spread::Even, Spread::One, Spread::Moving] {
            for demand in DEMANDS_PERCENT {
                let rate = f64::from(limit.rate) * demand as f64 / 100.0;
                let mut rows: BTreeMap<&str, Vec<Row>> = BTreeMap::new();
                let (mut unavoidable, mut requests) = (0, 0);
                for seed in SEEDS {
                    let arrivals = poisson_arrivals(seed, spread, rate);
                    unavoidable += unavoidable_refusals(limit, &arrivals);
                    requests += arrivals.len() as u64;
                    let all = [
                        ("grants", grants(seed, limit, &arrivals, false)),
                        ("owner killed", grants(seed, limit, &arrivals, true)),
                        ("static shares", static_shares(limit, &arrivals)),
                        ("counters", counters(limit, &arrivals)),
                    ];
                    for (name, row) in all {
                        rows.entry(name).or_default().push(row);
                    }
                }
                println!(
                    "rate {} burst {} {spread} {demand} %: {requests} requests, one bucket refuses {unavoidable}",
                    limit.rate, limit.burst
                );
                for (name, rows) in &rows {
                    print(name, unavoidable, requests, rows);
                }
            }
        }
    }
}
