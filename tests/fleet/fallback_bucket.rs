//! Limits of customers while the leader, which grants the tokens, is cut off from all entry VMs.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinnialoom::fleet::fallback_bucket::FallbackBucket;
use zinnialoom::fleet::fallback_bucket::FallbackShare;
use zinnialoom::grant::Excess;
use zinnialoom::view::Limit;

const MS: Duration = Duration::from_millis(1);
const EXCESS: Excess = Excess {
    window: Duration::from_secs(5),
    ratio: 0.1,
    requests: 20.0,
};
/// Seconds in which the leader is cut off.
const CUT: (f64, f64) = (1.0, 5.5);

/// When the demand rises, in seconds.
const RISE: f64 = 3.1;

/// When the core is cut in halves, when the lease of its leader ends, and when the next leader grants, in seconds.
const HALVED: f64 = 1.0;
const LEASE_END: f64 = 1.45;
const NEXT_LEADER: f64 = 1.6;
/// Part of the excess with which the buckets of the next leader start, and the time until all VMs have found it.
const CREDIT: f64 = 0.4;
const REACHED: f64 = 3.0;

/// The bucket of a leader, with offsets in seconds.
struct LeaderBucket {
    limit: Limit,
    level: f64,
    updated: f64,
}

impl LeaderBucket {
    fn full(limit: Limit) -> Self {
        Self {
            limit,
            level: f64::from(limit.burst),
            updated: 0.0,
        }
    }

    fn take(&mut self, now: f64) -> bool {
        let refill = (now - self.updated) * f64::from(self.limit.rate);
        self.level = (self.level + refill).min(f64::from(self.limit.burst));
        self.updated = now;
        let is_granted = self.level >= 1.0;
        self.level -= f64::from(u8::from(is_granted));
        is_granted
    }
}

/// Offsets of the requests that were admitted in 12 s, of `demand` requests a second at random VMs, before and
/// after the rise, and the number of requests during the cut.
fn admitted(limit: Limit, vms: usize, demand: (f64, f64), seed: u64) -> (Vec<f64>, usize) {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let share = FallbackShare::new(limit, &EXCESS, vms);
    let at = |s: f64| start + Duration::from_secs_f64(s);
    let mut buckets: Vec<Option<FallbackBucket>> = vec![None; vms];
    // The leader's bucket refills while it is cut off, as it still leads.
    let mut leader = LeaderBucket::full(limit);
    let (mut offsets, mut asked_in_cut, mut now) = (Vec::new(), 0, 0.0);
    while now < 12.0 {
        let demand = if now < RISE { demand.0 } else { demand.1 };
        now += -(1.0 - rng.random::<f64>()).ln() / demand;
        let is_admitted = if now >= CUT.0 && now < CUT.1 {
            asked_in_cut += 1;
            let bucket =
                buckets[rng.random_range(0..vms)].get_or_insert(FallbackBucket::new(&share, at(CUT.0)));
            bucket.spend(at(now), &share, at(CUT.0), rng.random())
        } else {
            leader.take(now)
        };
        if is_admitted {
            offsets.push(now);
        }
    }
    (offsets, asked_in_cut)
}

/// Guards against more requests than the limit and the allowed excess in any window, when every VM saved tokens
/// during a cut, the demand rises, and the leader returns with a full bucket (seen as QUOTA: 265 of 251).
#[test]
fn the_limit_holds_when_a_leader_that_was_cut_off_returns() {
    for (rate, vms) in [(35, 48), (62, 48), (10, 276), (35, 276)] {
        let limit = Limit { rate, burst: rate };
        let allowed = f64::from(rate * 6) + EXCESS.allowed(limit);
        for seed in 0..40 {
            let (offsets, _) = admitted(limit, vms, (f64::from(rate) * 0.2, f64::from(rate) * 8.0), seed);
            let worst = worst_window(&offsets);
            assert!(
                worst as f64 <= allowed,
                "rate {rate} vms {vms} seed {seed}: {worst} of {allowed}"
            );
        }
    }
}

/// Offsets of the requests that were admitted in 7 s of a demand of eight times the rate, while the leader changes. One
/// half of the VMs is cut off from the leader first; of the others, each finds the next one at another time.
fn admitted_by_two_leaders(limit: Limit, vms: usize, seed: u64) -> Vec<f64> {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let share = FallbackShare::new(limit, &EXCESS, vms);
    let at = |s: f64| start + Duration::from_secs_f64(s);
    let rate = f64::from(limit.rate);
    let reached: Vec<f64> = (0..vms).map(|_| rng.random_range(NEXT_LEADER..REACHED)).collect();
    let mut buckets: Vec<Option<FallbackBucket>> = vec![None; vms];
    let mut leader = LeaderBucket::full(limit);
    let (mut offsets, mut now) = (Vec::new(), HALVED - 0.3);
    let mut has_next = false;
    while now < 7.0 {
        now += -(1.0 - rng.random::<f64>()).ln() / (rate * 8.0);
        if !has_next && now >= NEXT_LEADER {
            has_next = true;
            (leader.level, leader.updated) = (EXCESS.allowed(limit) * CREDIT, NEXT_LEADER);
        }
        let vm = rng.random_range(0..vms);
        // VMs with an even number are on the side of the first leader, the others find the next one at once.
        let (last_grant, next_grant) = match vm % 2 {
            0 => (LEASE_END, reached[vm]),
            _ => (HALVED, NEXT_LEADER),
        };
        let is_admitted = if now >= last_grant && now < next_grant {
            let bucket = buckets[vm].get_or_insert(FallbackBucket::new(&share, at(last_grant)));
            bucket.spend(at(now), &share, at(last_grant), rng.random())
        } else {
            leader.take(now)
        };
        if is_admitted {
            offsets.push(now);
        }
    }
    offsets
}

fn worst_window(offsets: &[f64]) -> usize {
    let counts = offsets.iter().map(|from| {
        let end = offsets.partition_point(|at| *at < from + EXCESS.window.as_secs_f64());
        end - offsets.partition_point(|at| at < from)
    });
    counts.max().unwrap()
}

/// Guards against more requests than the limit and the allowed excess in any window, when some VMs still spend their
/// shares while a leader grants the whole rate to the others (seen as QUOTA: 601 of 594).
#[test]
fn the_limit_holds_while_the_leader_changes() {
    for (rate, vms) in [(87, 42), (35, 48), (62, 126), (200, 276)] {
        let limit = Limit { rate, burst: rate };
        let allowed = f64::from(rate * 6) + EXCESS.allowed(limit);
        for seed in 0..100 {
            let worst = worst_window(&admitted_by_two_leaders(limit, vms, seed));
            assert!(
                worst as f64 <= allowed,
                "rate {rate} vms {vms} seed {seed}: {worst} of {allowed}"
            );
        }
    }
}

/// Guards against refusing all requests in a large fleet because no VM's share reaches a whole token.
#[test]
fn a_large_fleet_admits_requests_without_a_leader() {
    let limit = Limit { rate: 10, burst: 10 };
    let (mut served, mut asked) = (0, 0);
    for seed in 0..40 {
        let (offsets, count) = admitted(limit, 276, (6.0, 6.0), seed);
        served += offsets.iter().filter(|at| **at >= CUT.0 && **at < CUT.1).count();
        asked += count;
    }
    assert!(served > 0, "none of {asked} admitted");
    println!("{served} of {asked} admitted");
}

/// Guards against an initial level that is spent more than once in a window.
#[test]
fn a_bucket_gets_its_initial_level_once_in_a_window() {
    let limit = Limit {
        rate: 0,
        burst: 1_000,
    };
    let share = FallbackShare::new(limit, &EXCESS, 1);
    let start = Instant::now();
    let mut bucket = FallbackBucket::new(&share, start);
    let admitted = (0..1_000).filter(|n| bucket.spend(start + MS * 4 * *n, &share, start, 0.999));
    // 0.4 of the excess of 120 requests.
    assert_eq!(admitted.count(), 48);
}
