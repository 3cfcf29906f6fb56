//! The lease for granting tokens, and the buckets under it.

use std::time::Duration;
use std::time::Instant;

use zinnialoom::fleet::token_lease::LeaseChange;
use zinnialoom::fleet::token_lease::TokenLease;
use zinnialoom::grant::Excess;
use zinnialoom::grant::Owner;
use zinnialoom::grant::TokenRequest;
use zinnialoom::id::Term;
use zinnialoom::replica::Membership;
use zinnialoom::replica::ReplicaStatus;
use zinnialoom::replica::Role;
use zinnialoom::view::Customer;
use zinnialoom::view::Limit;

const MS: Duration = Duration::from_millis(1);
const EXCESS: Excess = Excess {
    window: Duration::from_secs(5),
    ratio: 0.1,
    requests: 20.0,
};

fn status(role: Role, term: Term) -> ReplicaStatus {
    ReplicaStatus {
        vm: "c1".into(),
        id: 1,
        role,
        term,
        leader: (role == Role::Leader).then(|| "c1".into()),
        commit: 0,
        applied: 0,
        is_current: true,
        last: 0,
        membership: Membership::default(),
    }
}

/// Guards against a leader that grants the allowed excess again after each short wait for its disk: while it waits its
/// role lapses, and a new lease would start with new buckets.
#[test]
fn a_lapse_within_a_term_grants_no_excess_again() {
    let start = Instant::now();
    let (mut lease, mut owner) = (TokenLease::default(), Owner::with_shares(1));
    let customer = Customer {
        id: "c".into(),
        limit: Limit { rate: 10, burst: 40 },
        ..Customer::default()
    };
    let mut granted = 0;
    for number in 0..50_u32 {
        let now = start + 100 * MS * number;
        // Every fifth heartbeat comes while the disk is busy.
        let role = if number % 5 == 4 {
            Role::Follower
        } else {
            Role::Leader
        };
        if let LeaseChange::Started { is_steady } = lease.update(now, &status(role, 3), EXCESS.window) {
            owner.set_initial_excess(if is_steady { EXCESS } else { Excess::default() });
        }
        let Some(held) = lease.get() else { continue };
        let request = TokenRequest {
            spender: "e1".into(),
            incarnation: 1,
            number: number.into(),
            customer: "c".into(),
            share: 0,
            tokens: 20,
            reports: Vec::new(),
        };
        granted += owner.grant(now, held, 0, &customer, &request).tokens;
    }
    // The initial excess once and the rate of five seconds.
    let most = EXCESS.allowed(customer.limit) * 0.4 + 50.0;
    assert!(f64::from(granted) <= most, "{granted} granted, {most} allowed");
}

/// Guards against buckets that go on although another VM may have granted tokens meanwhile.
#[test]
fn a_new_term_starts_a_new_lease() {
    let start = Instant::now();
    let mut lease = TokenLease::default();
    let mut update = |at: Duration, role, term| {
        let change = lease.update(start + at, &status(role, term), EXCESS.window);
        (change, lease.get().map(|l| l.since - start))
    };
    let started = |is_steady| LeaseChange::Started { is_steady };
    assert_eq!(update(MS, Role::Leader, 1), (started(true), Some(MS)));
    assert_eq!(
        update(2 * MS, Role::Leader, 1),
        (LeaseChange::Unchanged, Some(MS))
    );
    assert_eq!(update(3 * MS, Role::Follower, 1), (LeaseChange::Ended, None));
    assert_eq!(update(4 * MS, Role::Follower, 1), (LeaseChange::Unchanged, None));
    assert_eq!(update(5 * MS, Role::Leader, 1), (LeaseChange::Resumed, Some(MS)));
    assert_eq!(update(6 * MS, Role::Follower, 2), (LeaseChange::Ended, None));
    assert_eq!(update(7 * MS, Role::Leader, 3), (started(false), Some(7 * MS)));
}
