//! Tests of the table of requests that crash upstreams, in virtual time.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use zinnialoom::quarantine::BlockPolicy;
use zinnialoom::quarantine::CRASH_WINDOW;
use zinnialoom::quarantine::CrashRecord;
use zinnialoom::quarantine::CrashTable;

const POLICY: BlockPolicy = BlockPolicy {
    threshold: 3,
    block_time: Duration::from_secs(30),
    capacity: 1_000,
};
const SEEDS: u64 = 200;

fn crash(fingerprint: &str, id: u64) -> CrashRecord {
    CrashRecord::of_crash(fingerprint, id)
}

/// Guards against one crash that blocks a request because its report arrives several times.
#[test]
fn a_crash_counts_once() {
    let now = Instant::now();
    let mut table = CrashTable::new(POLICY);
    assert!(table.merge(now, &crash("a", 1)).is_new);
    for _ in 0..10 {
        let outcome = table.merge(now + Duration::from_secs(1), &crash("a", 1));
        assert_eq!((outcome.is_new, outcome.crashes), (false, 1));
    }
    assert!(!table.is_blocked(now, "a"));
}

/// Guards against a request that is never blocked because its crashes are evicted by those of others: with
/// each of its crashes, ten times as many other requests as fit into the table lose their connections.
#[test]
fn single_crashes_of_others_evict_no_repeated_one() {
    let now = Instant::now();
    let mut table = CrashTable::new(POLICY);
    let mut id = 0;
    for _ in 0..2 {
        id += 1;
        table.merge(now, &crash("crashing", id));
    }
    for n in 0..10 * POLICY.capacity {
        id += 1;
        table.merge(now, &crash(&format!("other{n}"), id));
    }
    assert_eq!(table.len(), POLICY.capacity);
    assert!(table.merge(now, &crash("crashing", id + 1)).is_newly_blocked);
}

/// Guards against a request that crashes three more upstreams each time its block ends: sent twice a second
/// for 5 min, it may crash three upstreams after those that blocked it.
#[test]
fn a_crashing_request_is_tried_ever_less_often() {
    let start = Instant::now();
    let mut table = CrashTable::new(POLICY);
    let mut crashes = 0;
    for tick in 0..600 {
        let now = start + tick * Duration::from_millis(500);
        if !table.is_blocked(now, "a") {
            crashes += 1;
            table.merge(now, &crash("a", crashes));
        }
    }
    assert!((4..=6).contains(&crashes), "{crashes} crashes");
}

/// Guards against crashes that count for ever: each of them may be an accident.
#[test]
fn crashes_expire() {
    let start = Instant::now();
    let mut table = CrashTable::new(POLICY);
    table.merge(start, &crash("a", 1));
    table.merge(start, &crash("a", 2));
    let later = start + CRASH_WINDOW;
    assert_eq!(table.merge(later, &crash("a", 3)).crashes, 1);
    assert!(!table.is_blocked(later, "a"));
}

/// Guards against a request that crashes most of its upstreams and is never blocked because one answer clears
/// all crashes before it.
#[test]
fn one_answer_outweighs_one_crash() {
    let now = Instant::now();
    let mut table = CrashTable::new(POLICY);
    table.merge(now, &crash("a", 1));
    table.merge(now, &crash("a", 2));
    assert_eq!(table.record_answer(now, "a"), Some(1));
    assert_eq!(table.merge(now, &crash("a", 3)).crashes, 2);
    assert!(table.merge(now, &crash("a", 4)).is_newly_blocked);
}

/// Guards against a frequent request that is blocked although nearly all of its attempts are answered.
#[test]
fn a_request_that_is_mostly_answered_is_not_blocked() {
    let now = Instant::now();
    let mut table = CrashTable::new(POLICY);
    for id in 0..100 {
        table.merge(now, &crash("a", id));
        table.record_answer(now, "a");
    }
    assert!(!table.is_blocked(now, "a"));
    assert_eq!(table.record_answer(now, "a"), None);
    assert!(table.is_empty());
}

/// Guards against a block that ends early because an attempt from before it is answered.
#[test]
fn an_answer_ends_no_block() {
    let now = Instant::now();
    let mut table = CrashTable::new(POLICY);
    for id in 1..=3 {
        table.merge(now, &crash("a", id));
    }
    assert_eq!(table.record_answer(now, "a"), None);
    assert!(!table.take_back(now, "a", 1));
    assert!(table.is_blocked(now, "a"));
}

/// Guards against a block that is longer or shorter on a VM that learned of it later.
#[test]
fn a_record_keeps_its_age() {
    let start = Instant::now();
    let mut first = CrashTable::new(POLICY);
    for id in 1..=3 {
        first.merge(start, &crash("a", id));
    }
    let later = start + Duration::from_secs(20);
    let mut second = CrashTable::new(POLICY);
    for record in first.records(later, POLICY.threshold) {
        assert!(second.merge(later, &record).is_newly_blocked);
    }
    let end = start + POLICY.block_time;
    for table in [&first, &second] {
        assert!(table.is_blocked(end - Duration::from_millis(2), "a"));
        assert!(!table.is_blocked(end, "a"));
    }
}

/// Guards against VMs that disagree for good: crashes reach them in any order, repeatedly, one at a time or
/// together, and then each knows whether the request is blocked.
#[test]
fn tables_agree_whatever_the_order() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let count = rng.random_range(1..=5);
        let mut tables: Vec<CrashTable> = (0..4).map(|_| CrashTable::new(POLICY)).collect();
        // Each crash is seen by one VM, which tells the others, some of them twice.
        let mut news: Vec<(usize, CrashRecord)> = Vec::new();
        for id in 1..=count {
            let record = crash("a", id);
            let seen_by = rng.random_range(0..tables.len());
            tables[seen_by].merge(now, &record);
            for to in 0..tables.len() {
                for _ in 0..rng.random_range(1..=2) {
                    news.push((to, record.clone()));
                }
            }
        }
        news.shuffle(&mut rng);
        let cut = rng.random_range(0..=news.len());
        for (to, record) in &news[..cut] {
            tables[*to].merge(now, record);
        }
        // The rest is lost with the connections, and the VMs exchange their tables when they connect again.
        for from in 0..tables.len() {
            for record in tables[from].records(now, 1) {
                tables.iter_mut().for_each(|table| {
                    table.merge(now, &record);
                });
            }
        }
        let blocked: Vec<bool> = tables.iter().map(|t| t.is_blocked(now, "a")).collect();
        assert_eq!(
            blocked,
            vec![count >= 3; tables.len()],
            "seed {seed}, {count} crashes"
        );
    }
}
