//! Detection time and false ejections by kind of fault, in virtual time, against two baselines.
//!
//! `cargo run --release --example detect_bench`; the environment variable `SEEDS` sets how many seeds each
//! measurement runs (5).

mod policy;
mod run;
mod simulation;

use policy::PolicyKind;
use run::Fault;
use run::FaultKind;
use run::Micros;
use run::RunConfig;
use run::SECOND;
use simulation::Simulation;

const FAULT_START: Micros = 60 * SECOND;
const DEFAULT_SEED_COUNT: u64 = 5;

fn main() {
    let seeds: Vec<u64> = (1..=env_count("SEEDS", DEFAULT_SEED_COUNT)).collect();
    println!("48 VMs, 3 failure domains, 20 upstreams with 6 slots, floor 90; seeds {seeds:?}");
    for rate in [100.0, 1000.0] {
        for policy in [
            PolicyKind::Balancer,
            PolicyKind::RoundRobin,
            PolicyKind::ConsecutiveErrors,
        ] {
            measure_without_fault(policy, rate, &seeds);
        }
        for kind in fault_kinds() {
            for policy in [PolicyKind::Balancer, PolicyKind::ConsecutiveErrors] {
                measure_fault(policy, rate, kind, &seeds);
            }
        }
    }
}

fn env_count(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

fn fault_kinds() -> [(&'static str, FaultKind); 8] {
    [
        ("x3 slow", FaultKind::Slow(3.0)),
        ("x10 slow", FaultKind::Slow(10.0)),
        ("errors 50 %", FaultKind::Errors(0.5)),
        ("stalls 50 %", FaultKind::Stalls(0.5)),
        ("probe-healthy but failing", FaultKind::Errors(1.0)),
        ("flapping", FaultKind::Flapping),
        ("one-way cut", FaultKind::CutOut),
        ("sheds 50 %, not a fault", FaultKind::Sheds(0.5)),
    ]
}

fn measure_without_fault(policy: PolicyKind, rate: f64, seeds: &[u64]) {
    let (mut p99, mut overruns, mut requests, mut ejections) = (Vec::new(), 0, 0, 0);
    for seed in seeds {
        let config = RunConfig {
            policy,
            rate,
            length: 300 * SECOND,
            ..RunConfig::default()
        };
        let mut report = Simulation::new(config, *seed).run();
        p99.push(report.p99());
        overruns += report.overruns;
        requests += report.latencies.len();
        ejections += report.ejections.len();
    }
    println!(
        "{rate:>5} req/s  fault-free                 {policy:<12} p99 ms {p99:.0?}, slots overrun {overruns} of {requests} \
         requests, false ejections {ejections}"
    );
}

fn measure_fault(policy: PolicyKind, rate: f64, (name, kind): (&str, FaultKind), seeds: &[u64]) {
    let (mut times, mut missed, mut false_ejections, mut failures) = (Vec::new(), 0, 0, 0);
    for seed in seeds {
        // Seeds 1 to 20 each select a different upstream, as 7 and 20 have no common factor.
        let upstream = *seed as usize * 7 % 20;
        let fault = Fault {
            kind,
            upstream,
            start: FAULT_START,
            end: u64::MAX,
        };
        let config = RunConfig {
            policy,
            rate,
            length: FAULT_START + 60 * SECOND,
            faults: vec![fault],
            ..RunConfig::default()
        };
        let report = Simulation::new(config, *seed).run();
        let is_detection = |e: &&(Micros, usize)| e.1 == upstream && e.0 >= FAULT_START;
        match report.ejections.iter().find(is_detection) {
            Some((time, _)) => times.push((time - FAULT_START) as f64 / SECOND as f64),
            None => missed += 1,
        }
        false_ejections += report.ejections.iter().filter(|e| !is_detection(e)).count();
        failures += report.failures;
    }
    println!(
        "{rate:>5} req/s  {name:<26} {policy:<12} detected after s {times:.1?}, not detected {missed}, false ejections \
         {false_ejections}, failed requests {failures}"
    );
}
