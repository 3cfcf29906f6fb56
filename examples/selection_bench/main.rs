//! Choice of upstreams in services with and without idempotent requests, in virtual time.
//!
//! `cargo run --release --example selection_bench`. Prints a table; the seeds are fixed. The incident that it shows is
//! docs/incidents/floor.md.

use self::world::Deployment;
use self::world::GROWN;
use self::world::MEDIUM;
use self::world::SMALL;
use self::world::SPARSE;
use self::world::SelectionWorld;
use self::world::variants;

mod world;

const SEEDS: u64 = 5;
/// Shares of idempotent requests.
const IDEMPOTENT: [f64; 2] = [0.0, 0.3];

fn main() {
    println!(
        "| VMs | upstreams | gray | idempotent | cut | burst | not served | least used | windows below the floor |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for deployment in [SMALL, SPARSE, MEDIUM, GROWN].into_iter().flat_map(variants) {
        IDEMPOTENT
            .map(|idempotent| Deployment {
                idempotent,
                ..deployment
            })
            .iter()
            .for_each(print_row);
    }
}

fn print_row(deployment: &Deployment) {
    let (mut unserved, mut requests, mut breaks, mut least_used) = (0, 0, 0, 1.0_f64);
    for seed in 0..SEEDS {
        let outcome = SelectionWorld::new(*deployment, seed).run();
        unserved += outcome.unserved();
        requests += outcome.requests;
        breaks += outcome.floor_breaks;
        least_used = least_used.min(outcome.least_used);
    }
    let Deployment {
        vms,
        upstreams,
        gray,
        idempotent,
        cut,
        burst,
        ..
    } = deployment;
    let share = unserved as f64 / requests as f64;
    println!(
        "| {vms} | {upstreams} | {gray:?} | {idempotent} | {cut} | {burst} | {share:.4} | {least_used:.2} | {breaks} |"
    );
}
