use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinnialoom::fleet::retry_budget::FleetUsage;
use zinnialoom::fleet::retry_budget::Purpose;
use zinnialoom::fleet::retry_budget::RetryBound;
use zinnialoom::fleet::retry_budget::RetryBudget;
use zinnialoom::fleet::retry_budget::Totals;
use zinnialoom::id::ServiceId;

const MS: Duration = Duration::from_millis(1);
const BOUND: RetryBound = RetryBound {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 64.0,
};

/// Size of a simulated fleet.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    vms: usize,
    /// Requests of the service in a second.
    rate: u32,
    bound: RetryBound,
}

const SMALL: Fleet = Fleet {
    vms: 48,
    rate: 150,
    bound: BOUND,
};

/// A fleet whose VMs get more requests each.
const LARGE: Fleet = Fleet {
    vms: 111,
    rate: 800,
    bound: RetryBound {
        slack: 188.0,
        ..BOUND
    },
};

/// Simulates a fleet for 30 s. After 5 s every request needs a retry, as when
/// half of the upstreams of a service shed load. `shared` says whether the VMs get the counts of the fleet,
/// up to 600 ms late. Returns the retries over the bound in the worst window, and the share of the bound that
/// was used in the last window. All control VMs restart at the times in `restarts`, which are in seconds.
fn simulate(size: Fleet, seed: u64, shared: bool, restarts: &[u64]) -> (f64, f64) {
    let Fleet {
        vms: count,
        rate,
        bound,
    } = size;
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut vms: Vec<RetryBudget> = (0..count).map(|_| RetryBudget::default()).collect();
    let service = ServiceId::from("s");
    // The control VMs have run for a while when the requests begin.
    let mut fleet = FleetUsage::new(start - bound.window);
    let mut restarts = restarts
        .iter()
        .map(|s| start + Duration::from_secs(*s))
        .peekable();
    let mut reports: Vec<(Instant, Totals)> = Vec::new();
    let (mut requests, mut retries): (Vec<Duration>, Vec<Duration>) = Default::default();
    for step in 0..30 * rate {
        let now = start + Duration::from_secs(1) * step / rate;
        if restarts.next_if(|at| *at <= now).is_some() {
            fleet = FleetUsage::new(now);
            reports.clear();
            vms.iter_mut().for_each(RetryBudget::disconnect);
        }
        let vm = rng.random_range(0..count);
        vms[vm].count_request(now, &bound);
        requests.push(now - start);
        if now > start + Duration::from_secs(5) && vms[vm].take(now, &bound, count, Purpose::Urgent) {
            retries.push(now - start);
        }
        // The VMs report every 300 ms, and each report takes as long to arrive.
        if shared && step % (rate * 3 / 10) == 0 {
            reports.extend(vms.iter_mut().map(|b| (now, b.take_unreported())));
            reports.retain(|(at, totals)| {
                let due = *at + MS * 300 <= now;
                if due {
                    fleet.add(now, bound.window, &service, *totals);
                }
                !due
            });
            if let Some((_, totals)) = fleet.totals(now, bound.window).and_then(|mut t| t.pop()) {
                vms.iter_mut().for_each(|b| b.set_fleet_totals(now, totals));
            }
        }
    }
    // Times are in ascending order.
    let counted = |times: &[Duration], from: Duration| {
        let before = |end: Duration| times.partition_point(|at| *at < end);
        (before(from + bound.window) - before(from)) as f64
    };
    let allowed = |from| counted(&requests, from) * bound.ratio + bound.slack;
    let worst = (0..200).map(|n| {
        let from = MS * 100 * n;
        counted(&retries, from) - allowed(from)
    });
    let last = Duration::from_secs(19);
    (
        worst.fold(f64::MIN, f64::max),
        counted(&retries, last) / allowed(last),
    )
}

/// Guards against more retries in the fleet than the bound allows in any window, and against a budget that
/// refuses most of what the bound allows.
#[test]
fn the_bound_holds_over_the_fleet() {
    for seed in 0..20 {
        for shared in [true, false] {
            let (excess, used) = simulate(SMALL, seed, shared, &[]);
            assert!(
                excess <= 0.0,
                "seed {seed} shared {shared}: {excess} over the bound"
            );
            assert!(
                used >= 0.5,
                "seed {seed} shared {shared}: {used} of the bound used"
            );
        }
    }
}

/// Guards against more retries than the bound allows because the control VMs restart, alone or in series, and
/// have counted a part of the window only.
#[test]
fn the_bound_holds_when_control_vms_restart() {
    for (size, seed) in [SMALL, LARGE]
        .into_iter()
        .flat_map(|size| (0..20).map(move |seed| (size, seed)))
    {
        for restarts in [&[12][..], &[10, 13, 16], &[8, 11, 14, 17, 20]] {
            let (excess, _) = simulate(size, seed, true, restarts);
            assert!(
                excess <= 0.0,
                "{size:?} seed {seed} restarts {restarts:?}: {excess} over the bound"
            );
        }
    }
}

/// Guards against tests of upstreams and less urgent requests that use up the retries of urgent requests.
#[test]
fn urgent_requests_have_retries_left() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    (0..100).for_each(|_| budget.count_request(now, &BOUND));
    let mut used = |purpose| {
        (0..1_000)
            .filter(|_| budget.take(now, &BOUND, 1, purpose))
            .count()
    };
    let (test, ordinary, urgent) = (
        used(Purpose::Test),
        used(Purpose::Ordinary),
        used(Purpose::Urgent),
    );
    assert!(
        test > 0 && ordinary > 0 && urgent > 0,
        "{test} {ordinary} {urgent}"
    );
}
