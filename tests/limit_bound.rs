//! Guards against a customer that gets more than burst + rate x window over all VMs, whatever is
//! lost, repeated, late, killed, frozen or reconfigured. `SEEDS=10000` runs more seeds.

#[path = "support/limit_world.rs"]
mod limit_world;
#[path = "support/seeds.rs"]
mod seeds;

use limit_world::MS;
use limit_world::Net;
use limit_world::Pace;
use limit_world::SECOND;
use limit_world::World;
use rand::Rng;
use seeds::for_seeds;
use seeds::seed_count;
use zinnialoom::view::Limit;
use zinnialoom::view::Witnesses;

const NODES: usize = 48;
const PACE: Pace = Pace {
    wallet: 100 * MS,
    lease: 250 * MS,
    exchange: 700 * MS,
    partitions: 8,
};
const LIMITS: [Limit; 7] = [
    Limit { rate: 1, burst: 1 },
    Limit { rate: 3, burst: 10 },
    Limit { rate: 20, burst: 6 },
    Limit { rate: 60, burst: 60 },
    // A burst of many seconds shows buckets that are too full; a small one shows tokens that
    // outlive their lease, because the next owner refills at once.
    Limit { rate: 6, burst: 300 },
    Limit { rate: 300, burst: 90 },
    Limit { rate: 90, burst: 12 },
];

/// A customer's callers: how many requests per second, and on which VM the next one comes.
struct Load {
    rate: f64,
    spread: u32,
    home: usize,
}

fn chaos(seed: u64) -> u64 {
    let mut pick = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(seed ^ 0xabcd);
    let limits: Vec<_> = (0..2)
        .map(|_| LIMITS[pick.random_range(0..LIMITS.len())])
        .collect();
    let net = match seed % 3 {
        0 => Net {
            loss: 0.0,
            repeat: 0.0,
            late: 0.0,
        },
        1 => Net {
            loss: 0.05,
            repeat: 0.1,
            late: 0.05,
        },
        _ => Net {
            loss: 0.2,
            repeat: 0.3,
            late: 0.2,
        },
    };
    let mut world = World::new(seed, NODES, &limits, PACE, net);
    let mut loads: Vec<_> = limits
        .iter()
        .map(|l| Load {
            rate: f64::from(l.rate) * [0.05, 0.5, 2.0, 4.0][pick.random_range(0..4)],
            spread: pick.random_range(0..3),
            home: pick.random_range(0..NODES),
        })
        .collect();
    let end = if seed % 8 == 0 { 48 * SECOND } else { 20 * SECOND };
    let hoarders: Vec<usize> = (0..4).map(|_| pick.random_range(0..NODES)).collect();
    let mut next_fault = 5 * SECOND;
    let mut next_hoard = 5 * SECOND;
    let mut due: Vec<_> = loads.iter().map(|_| 4 * SECOND).collect();
    loop {
        let (customer, at) = (0..due.len())
            .map(|c| (c, due[c]))
            .min_by_key(|(_, t)| *t)
            .unwrap();
        if at.min(next_fault).min(next_hoard) >= end {
            break;
        }
        if next_hoard <= at.min(next_fault) {
            world.run_to(next_hoard);
            next_hoard += pick.random_range(20 * MS..800 * MS);
            hoard(&mut world, &mut pick, &hoarders);
            continue;
        }
        if next_fault <= at {
            world.run_to(next_fault);
            next_fault += pick.random_range(200 * MS..4 * SECOND);
            fault(&mut world, &mut pick, end);
            continue;
        }
        world.run_to(at);
        let load = &mut loads[customer];
        if load.spread == 2 && pick.random_bool(0.02) {
            load.home = pick.random_range(0..NODES);
        }
        let n = if load.spread == 0 {
            pick.random_range(0..NODES)
        } else {
            load.home
        };
        // Bursts, then silence: the worst case for a bucket.
        let burst = if pick.random_bool(0.01) {
            limits[customer].burst * 2
        } else {
            1
        };
        for _ in 0..burst {
            world.request(n, customer);
        }
        let gap = -pick.random_range(1e-6..1.0f64).ln() / load.rate * SECOND as f64 * f64::from(burst);
        due[customer] = at + gap as u64;
    }
    world.run_to(end + SECOND);
    for (customer, meter) in world.meters.iter().enumerate() {
        assert_eq!(
            meter.excess, 0,
            "seed {seed} customer {customer}: {:?}",
            limits[customer]
        );
    }
    world.meters.iter().map(|m| m.spent).sum()
}

/// Spenders that keep all tokens they can get, and spend them at one moment.
fn hoard(world: &mut World, pick: &mut rand::rngs::StdRng, hoarders: &[usize]) {
    let customer = pick.random_range(0..world.customers.len());
    if pick.random_bool(0.7) {
        world.hoard(hoarders[pick.random_range(0..hoarders.len())], customer);
        return;
    }
    for n in hoarders {
        world.flash(*n, customer);
        world.hoard(*n, customer);
    }
    // What the owners grant at this moment is spent at once.
    world.run_to(world.now + 9 * MS);
    for n in hoarders {
        world.flash(*n, customer);
    }
}

fn fault(world: &mut World, pick: &mut rand::rngs::StdRng, end: u64) {
    let customer = pick.random_range(0..world.customers.len());
    let any = pick.random_range(0..NODES);
    let owner = world.owners_of(customer).first().copied().unwrap_or(any);
    let witness = pick.random_range(0..9);
    match pick.random_range(0..9) {
        0 => world.kill(owner, pick.random_range(100 * MS..6 * SECOND)),
        1 => world.freeze(owner, 30 * SECOND.min(end)),
        2 => world.freeze(owner, pick.random_range(SECOND..6 * SECOND)),
        3 => world.kill(witness, pick.random_range(10 * MS..2 * SECOND)),
        4 => world.freeze(any, pick.random_range(100 * MS..4 * SECOND)),
        5 => {
            // One-way cut between the owner and half of the others, either way.
            let out = pick.random_bool(0.5);
            for n in (0..NODES).filter(|n| *n != owner && n % 2 == any % 2) {
                world.cuts.insert(if out { (owner, n) } else { (n, owner) });
            }
        }
        6 => world.cuts.clear(),
        7 => {
            let old = world.customers[customer].limit;
            let limit = Limit {
                rate: old.rate.div_ceil(2),
                burst: old.burst.max(6) / 2,
            };
            // Bursts below 3 change the number of shares; see `the_share_count_may_change`.
            if old.burst >= 6 {
                world.set_limit(customer, limit);
            }
        }
        _ => {
            let first = pick.random_range(0..NODES - 9);
            let names: Vec<_> = (first..first + 9).map(|n| format!("vm{n:02}").into()).collect();
            change_group(world, names);
        }
    }
}

/// Changes the witness group as control does: joint until all VMs know it, then the new one.
fn change_group(world: &mut World, names: Vec<zinnialoom::id::VmName>) {
    let previous = world.group().current.clone();
    if !world.group().previous.is_empty() {
        return;
    }
    world.set_group(Witnesses {
        current: names.clone(),
        previous,
    });
    world.settle_group_later(Witnesses {
        current: names,
        previous: Vec::new(),
    });
}

#[test]
fn no_window_exceeds_burst_and_rate() {
    let count = seed_count(200);
    let spent = for_seeds(count, chaos);
    println!("{count} seeds, {spent} tokens spent, excess 0");
    assert!(
        spent > count * 100,
        "only {spent} tokens were spent: the test shows nothing"
    );
}

/// Guards against leases, grants or witnesses that need control: nothing reaches it for 3 hours.
#[test]
fn three_hours_without_control() {
    let pace = Pace {
        wallet: 100 * MS,
        lease: 500 * MS,
        exchange: SECOND,
        partitions: 8,
    };
    let limit = Limit { rate: 4, burst: 8 };
    let net = Net {
        loss: 0.01,
        repeat: 0.01,
        late: 0.0,
    };
    let mut world = World::new(7, 10, &[limit], pace, net);
    for n in 0..3 * 3_600 * 2 {
        world.run_to(10 * SECOND + n * SECOND / 2);
        world.request((n % 7) as usize, 0);
    }
    assert_eq!(world.meters[0].excess, 0);
    // Half of the rate; the loss of both an ask and its hedge may refuse one.
    assert!(
        world.counts.refused * 1_000 < world.counts.asked,
        "{:?}",
        world.counts
    );
}
