//! Measures the inputs of docs/CAPACITY.md: bytes, CPU time and memory of each mechanism.
//!
//! `cargo run --release --example capacity`

use std::fs;
use std::time::Duration;
use std::time::Instant;

mod config;
mod fleet;
mod requests;

/// CPU time used so far by the threads of this process that are alive; that of ended threads is not included.
fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    // Of the main thread only; used if the list of threads cannot be read.
    let main_ns: u64 = text.split(' ').next().and_then(|f| f.parse().ok()).unwrap_or(0);
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let total_ns: u64 = tasks
        .filter_map(|t| fs::read_to_string(t.path().join("schedstat")).ok())
        .filter_map(|t| t.split(' ').next().and_then(|f| f.parse::<u64>().ok()))
        .sum();
    Duration::from_nanos(total_ns.max(main_ns))
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|f| f.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Runs `work` `count` times and returns the CPU time of one run in microseconds.
fn cpu_micros_each(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let start = cpu_time();
    for n in 0..count {
        work(n);
    }
    (cpu_time() - start).as_secs_f64() * 1e6 / count as f64
}

fn print_row(name: &str, value: f64, unit: &str) {
    println!("{name:<62} {value:>12.2} {unit}");
}

fn main() {
    let start = Instant::now();
    println!("{:<62} {:>12} unit", "figure", "value");
    config::measure();
    fleet::measure();
    requests::measure();
    println!("measured in {:.1} s", start.elapsed().as_secs_f64());
}
