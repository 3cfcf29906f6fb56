//! Guards single rules of leases and grants that random runs exercise too rarely.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use zinnialoom::grant::Excess;
use zinnialoom::grant::Grant;
use zinnialoom::grant::MAX_GRANT_LIFETIME;
use zinnialoom::grant::Owner;
use zinnialoom::grant::SpendOutcome;
use zinnialoom::grant::SpendReport;
use zinnialoom::grant::TokenPool;
use zinnialoom::grant::TokenRequest;
use zinnialoom::lease::LEASE_LENGTH;
use zinnialoom::lease::Lease;
use zinnialoom::lease::LeaseGranter;
use zinnialoom::lease::LeaseHolder;
use zinnialoom::lease::LeaseReply;
use zinnialoom::lease::LeaseRequest;
use zinnialoom::lease::Placement;
use zinnialoom::lease::Verdict;
use zinnialoom::lease::group_id;
use zinnialoom::view::Customer;
use zinnialoom::view::Limit;
use zinnialoom::view::Witnesses;

#[path = "limit_rules/single_tokens.rs"]
mod single_tokens;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// A customer; an owner divides a rate and burst of at least 3 into three equal shares.
fn customer(rate: u32, burst: u32, version: u64) -> Customer {
    Customer {
        id: "c".into(),
        limit: Limit { rate, burst },
        version,
        ..Customer::default()
    }
}

fn token_request(number: u64, tokens: u32, reports: Vec<SpendReport>) -> TokenRequest {
    TokenRequest {
        spender: "a".into(),
        incarnation: 1,
        number,
        customer: "c".into(),
        share: 0,
        tokens,
        reports,
    }
}

fn group(names: &[&str], previous: &[&str]) -> Witnesses {
    let list = |names: &[&str]| names.iter().map(|n| (*n).into()).collect();
    Witnesses {
        current: list(names),
        previous: list(previous),
    }
}

fn request(holder: &str, incarnation: u64, group: &Witnesses, held: bool) -> LeaseRequest {
    LeaseRequest {
        holder: holder.into(),
        incarnation,
        group: group_id(group),
        number: 1,
        partitions: vec![7],
        held: if held { vec![7] } else { Vec::new() },
    }
}

fn verdict(witness: &mut LeaseGranter, now: Instant, request: &LeaseRequest) -> Verdict {
    witness.handle_request(now, request).verdicts[0].1
}

/// Guards against two holders of a partition because a witness grants it again while a promise is valid.
#[test]
fn a_witness_keeps_its_promises() {
    let start = Instant::now();
    let old = group(&["x", "y", "z"], &[]);
    let mut witness = LeaseGranter::new(start);
    witness.set_group(start, &old);
    // A restarted witness has lost its earlier promises.
    assert_eq!(
        verdict(
            &mut witness,
            start + LEASE_LENGTH - MS,
            &request("a", 1, &old, false)
        ),
        Verdict::Quiet
    );
    let now = start + LEASE_LENGTH;
    assert_eq!(
        verdict(&mut witness, now, &request("a", 1, &old, false)),
        Verdict::Granted
    );
    assert_eq!(
        verdict(&mut witness, now, &request("b", 1, &old, false)),
        Verdict::Taken
    );
    // The grants of an earlier run of the same VM may still be in use.
    assert_eq!(
        verdict(&mut witness, now + SECOND, &request("a", 2, &old, false)),
        Verdict::Taken
    );
    let other = group(&["x", "y", "w"], &[]);
    assert_eq!(
        verdict(&mut witness, now, &request("a", 1, &other, true)),
        Verdict::OtherGroup
    );
    // After a skipped group only holders of the lease are renewed.
    witness.set_group(now, &other);
    assert_eq!(
        verdict(&mut witness, now, &request("a", 1, &other, false)),
        Verdict::Quiet
    );
    assert_eq!(
        verdict(&mut witness, now, &request("a", 1, &other, true)),
        Verdict::Granted
    );
    // A joint group does not end the wait either if the witness did not follow the old group.
    let joint = group(&["x", "v", "w"], &["m", "n", "o"]);
    let later = now + LEASE_LENGTH * 2;
    witness.set_group(later, &joint);
    assert_eq!(
        verdict(&mut witness, later, &request("b", 1, &joint, false)),
        Verdict::Quiet
    );
    // The change to a joint group needs no wait; the change out of it does.
    let mut witness = LeaseGranter::new(start);
    witness.set_group(start, &old);
    let joint = group(&["x", "v", "w"], &["x", "y", "z"]);
    witness.set_group(now, &joint);
    assert_eq!(
        verdict(&mut witness, now, &request("a", 1, &joint, false)),
        Verdict::Granted
    );
    let new = group(&["x", "v", "w"], &[]);
    witness.set_group(now, &new);
    assert_eq!(
        verdict(
            &mut witness,
            now + LEASE_LENGTH - MS,
            &request("a", 1, &new, false)
        ),
        Verdict::Quiet
    );
}

/// Guards against a lease without both majorities, or one that outlasts the promises.
#[test]
fn a_lease_needs_majorities_of_both_groups_and_counts_from_the_request() {
    let now = Instant::now();
    let mut placement = Placement::default();
    placement.update(&["a".into()], 1);
    let mut holder = LeaseHolder::new("a".into(), 1);
    let joint = group(&["x", "v", "w"], &["p", "q", "r"]);
    holder.set_group(&joint);
    let requests = holder.tick(now, &placement);
    assert_eq!(requests.len(), 6);
    let reply = |holder: &mut LeaseHolder, at: Duration, from: &str| {
        let mut witness = LeaseGranter::new(now - LEASE_LENGTH);
        witness.set_group(now - LEASE_LENGTH, &joint);
        let reply = witness.handle_request(now, &requests[0].1);
        holder.apply_reply(now + at, &from.into(), &reply);
        holder.held(now + at, 0)
    };
    for from in ["x", "v", "w", "p"] {
        assert_eq!(reply(&mut holder, SECOND, from), None);
    }
    let lease = reply(&mut holder, SECOND, "q").unwrap();
    // The holder uses 98 % of the length, because its clock and those of the witnesses may drift.
    assert_eq!(lease.end, now + LEASE_LENGTH * 98 / 100);
    assert_eq!(lease.since, now + SECOND);
    assert_eq!(holder.held(now + LEASE_LENGTH * 98 / 100, 0), None);
    // Answers after the end of the lease do not extend it.
    let later = now + LEASE_LENGTH * 99 / 100;
    holder.apply_reply(
        later,
        &"x".into(),
        &LeaseReply {
            incarnation: 1,
            number: 1,
            verdicts: vec![(0, Verdict::Granted)],
        },
    );
    assert_eq!(holder.held(later, 0), None);
}

/// Guards against tokens that are still valid when another owner holds the lease.
#[test]
fn a_grant_ends_with_its_lease() {
    let now = Instant::now();
    let mut owner = Owner::new();
    let lease = Lease {
        since: now - SECOND * 60,
        end: now + SECOND / 2,
    };
    let grant = owner.grant(
        now,
        lease,
        0,
        &customer(30, 30, 1),
        &token_request(1, 5, Vec::new()),
    );
    assert_eq!((grant.tokens, grant.life_us), (5, 500_000));
    let late = owner.grant(
        lease.end,
        lease,
        0,
        &customer(30, 30, 1),
        &token_request(2, 5, Vec::new()),
    );
    assert_eq!(late.tokens, 0);
}

/// Guards against a new owner that grants tokens again which the previous owner granted.
#[test]
fn a_new_lease_starts_with_an_empty_bucket() {
    let now = Instant::now();
    let mut owner = Owner::new();
    let first = Lease {
        since: now - SECOND * 60,
        end: now + SECOND * 4,
    };
    assert_eq!(
        owner
            .grant(
                now,
                first,
                0,
                &customer(30, 30, 1),
                &token_request(1, 3, Vec::new())
            )
            .tokens,
        3
    );
    let second = Lease {
        since: now + SECOND,
        end: now + SECOND * 5,
    };
    assert_eq!(
        owner
            .grant(
                now + SECOND,
                second,
                0,
                &customer(30, 30, 1),
                &token_request(2, 3, Vec::new())
            )
            .tokens,
        0
    );
    let later = now + SECOND + 150 * MS;
    assert_eq!(
        owner
            .grant(
                later,
                second,
                0,
                &customer(30, 30, 1),
                &token_request(3, 30, Vec::new())
            )
            .tokens,
        1
    );
}

/// Guards against a repeated report that returns the same tokens twice.
#[test]
fn a_returned_grant_counts_once() {
    let now = Instant::now();
    let mut owner = Owner::new();
    let lease = Lease {
        since: now - SECOND * 60,
        end: now + SECOND * 4,
    };
    let record = customer(3, 30, 1);
    let mut granted = |number, tokens, reports| {
        owner
            .grant(now, lease, 0, &record, &token_request(number, tokens, reports))
            .tokens
    };
    assert_eq!(granted(1, 4, Vec::new()), 4);
    assert_eq!(granted(2, 30, Vec::new()), 6);
    let report = SpendReport {
        number: 1,
        spent: 1,
        closed: true,
    };
    assert_eq!(granted(3, 30, vec![report]), 3);
    assert_eq!(granted(4, 30, vec![report]), 0);
}

/// Guards against a bucket that refills tokens which a spender may still spend.
#[test]
fn unspent_tokens_keep_the_bucket_from_refilling() {
    let now = Instant::now();
    let mut owner = Owner::new();
    let lease = Lease {
        since: now - SECOND * 60,
        end: now + SECOND * 60,
    };
    let record = customer(300, 30, 1);
    assert_eq!(
        owner
            .grant(now, lease, 0, &record, &token_request(1, 10, Vec::new()))
            .tokens,
        10
    );
    let before = now + MAX_GRANT_LIFETIME - MS;
    assert_eq!(
        owner
            .grant(before, lease, 0, &record, &token_request(2, 10, Vec::new()))
            .tokens,
        0
    );
    // The capacity returns when the grant expires, and is then refilled at the rate.
    let after = now + MAX_GRANT_LIFETIME + 20 * MS;
    assert_eq!(
        owner
            .grant(after, lease, 0, &record, &token_request(3, 10, Vec::new()))
            .tokens,
        1
    );
}

/// Guards against a refill at the old rate for the time after the limit was lowered.
#[test]
fn a_lowered_limit_counts_since_the_last_request() {
    let now = Instant::now();
    let mut owner = Owner::new();
    let lease = Lease {
        since: now - SECOND * 60,
        end: now + SECOND * 60,
    };
    assert_eq!(
        owner
            .grant(
                now,
                lease,
                0,
                &customer(300, 300, 1),
                &token_request(1, 100, Vec::new())
            )
            .tokens,
        100
    );
    let later = now + MAX_GRANT_LIFETIME + SECOND / 2;
    let lowered = customer(30, 60, 2);
    assert_eq!(
        owner
            .grant(later, lease, 0, &lowered, &token_request(2, 100, Vec::new()))
            .tokens,
        4
    );
}

fn grant(request: &TokenRequest, tokens: u32, record: &Customer) -> Grant {
    Grant {
        tokens,
        life_us: 2_000_000,
        retry_us: 0,
        limit: record.limit,
        version: record.version,
        ..request.refuse(MS)
    }
}

/// A pool in which one request waits for a token, and the token request of the pool.
fn pool_with_queued_request(now: Instant, record: &Customer) -> (TokenPool, TokenRequest) {
    let mut pool = TokenPool::new("a".into(), 1);
    assert!(matches!(
        pool.spend(now, record, now + SECOND * 9),
        SpendOutcome::Queued(_)
    ));
    let request = pool.due_requests(now, &record.id).remove(0);
    (pool, request)
}

/// Guards against tokens that are spent after they expired, or counted twice.
#[test]
fn a_spender_counts_from_its_request_and_takes_one_answer() {
    let (now, record) = (Instant::now(), customer(30, 30, 1));
    let (mut pool, request) = pool_with_queued_request(now, &record);
    assert_eq!(pool.receive(now + SECOND, &grant(&request, 5, &record)).len(), 1);
    assert_eq!(pool.available(now + SECOND, &record.id), 4);
    assert!(
        pool.receive(now + SECOND, &grant(&request, 5, &record))
            .is_empty()
    );
    assert_eq!(pool.available(now + SECOND, &record.id), 4);
    // The pool uses 98 % of the lifetime of 2 s, because its clock and that of the owner may drift.
    assert_eq!(pool.available(now + 1960 * MS, &record.id), 0);
    // An answer to an earlier incarnation is ignored.
    let (mut pool, request) = pool_with_queued_request(now, &record);
    let other = Grant {
        incarnation: 0,
        ..grant(&request, 5, &record)
    };
    assert!(pool.receive(now, &other).is_empty());
}

/// Guards against tokens that are spent under a higher limit than the one in force.
#[test]
fn a_lowered_limit_drops_tokens() {
    let (now, record, lowered) = (Instant::now(), customer(30, 30, 1), customer(30, 3, 2));
    let (mut pool, first) = pool_with_queued_request(now, &record);
    pool.receive(now, &grant(&first, 5, &record));
    pool.set_limits(&HashMap::from([(record.id.clone(), lowered.clone())]));
    assert_eq!(pool.available(now, &record.id), 0);
    let (mut pool, first) = pool_with_queued_request(now, &record);
    pool.set_limits(&HashMap::from([(record.id.clone(), lowered)]));
    assert!(pool.receive(now, &grant(&first, 5, &record)).is_empty());
}

/// Guards against memory that grows with every customer that was ever active.
#[test]
fn unused_customers_are_removed() {
    let now = Instant::now();
    let lease = Lease {
        since: now - SECOND * 60,
        end: now + SECOND * 60,
    };
    let (mut owner, mut pool) = (Owner::new(), TokenPool::new("a".into(), 1));
    for n in 0..170_000 {
        let record = Customer {
            id: format!("c{n}").into(),
            ..customer(30, 30, 1)
        };
        pool.spend(now, &record, now + MS);
        let request = TokenRequest {
            customer: record.id.clone(),
            ..token_request(n, 1, Vec::new())
        };
        owner.grant(now, lease, 0, &record, &request);
    }
    assert_eq!((owner.len(), pool.len()), (170_000, 170_000));
    owner.tick(now + SECOND * 3, |_| Some(lease));
    pool.tick(now + SECOND * 11);
    assert_eq!((owner.len(), pool.len()), (0, 0));
}

/// Guards against refusals within the rate while the leader, the only owner, changes and requests are lost.
#[test]
fn a_lost_request_to_the_only_owner_is_repeated_soon() {
    let (now, record) = (Instant::now(), customer(30, 30, 1));
    let mut pool = TokenPool::with_shares("a".into(), 1, 1);
    pool.spend(now, &record, now + MS * 250);
    assert_eq!(pool.due_requests(now, &record.id).len(), 1);
    assert!(!pool.is_unowned(now, &record.id));
    let mut repeated = None;
    for step in 1..=25 {
        let at = now + MS * 10 * step;
        if repeated.is_none() && !pool.tick(at).is_empty() {
            repeated = Some(at - now);
        }
    }
    assert!(repeated.is_some_and(|t| t <= MS * 150), "{repeated:?}");
    assert!(pool.is_unowned(now + MS * 250, &record.id));
}

/// Guards against refusals within the rate after one change of owner, and too large an excess after two.
#[test]
fn a_new_owner_grants_a_part_of_the_allowed_excess() {
    let now = Instant::now();
    let excess = Excess {
        window: SECOND * 5,
        ratio: 0.1,
        requests: 20.0,
    };
    let record = customer(60, 60, 1);
    let lease = |since| Lease {
        since,
        end: since + SECOND,
    };
    let take = |owner: &mut Owner, at| {
        owner
            .grant(at, lease(at), 0, &record, &token_request(1, 100, Vec::new()))
            .tokens
    };
    let mut strict = Owner::with_shares(1);
    assert_eq!(take(&mut strict, now), 0);
    let mut owner = Owner::with_shares(1);
    owner.set_initial_excess(excess);
    let first = take(&mut owner, now);
    assert_eq!(first, 22, "0.4 x (0.1 x (60 x 5 + 60) + 20)");
    owner.set_initial_excess(Excess::default());
    let second = take(&mut owner, now + SECOND);
    assert_eq!(second, 0);
    assert!(f64::from(first + second) <= excess.allowed(record.limit));
}
