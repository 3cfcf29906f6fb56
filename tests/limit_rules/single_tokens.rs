//! Grants of one token, which a waiting request spends when the answer arrives.

use std::time::Duration;
use std::time::Instant;

use zinnialoom::grant::Owner;
use zinnialoom::grant::TokenRequest;
use zinnialoom::lease::Lease;

use crate::MS;
use crate::SECOND;
use crate::customer;
use crate::token_request;

/// Guards against refusals within the limit in a large fleet, where each request of a customer comes to another VM:
/// a token that was spent at once would count as unspent, and so against the burst, until its grant expires.
#[test]
fn single_tokens_spent_by_many_vms_do_not_use_up_the_burst() {
    let start = Instant::now();
    let mut owner = Owner::with_shares(1);
    let (customer, lease) = (
        customer(6, 6, 1),
        Lease {
            since: start,
            end: start + 60 * SECOND,
        },
    );
    let mut refused = 0;
    // Five requests at once each second: the burst allows six, and the rate as well.
    for number in 0..100_u32 {
        let now = start + 2 * SECOND + number / 5 * SECOND + number % 5 * MS;
        let single = TokenRequest {
            spender: format!("vm{number}").into(),
            ..token_request(1, 1, Vec::new())
        };
        let grant = owner.grant(now, lease, 0, &customer, &single);
        refused += u32::from(grant.tokens == 0);
        assert!(grant.life_us >= 100_000, "an answer may take 100 ms");
    }
    assert_eq!(refused, 0);
}

/// Guards against more than the burst within the time in which single tokens can be spent.
#[test]
fn single_tokens_count_against_the_burst_until_they_expire() {
    let start = Instant::now();
    let mut owner = Owner::with_shares(1);
    let (customer, lease) = (
        customer(6, 6, 1),
        Lease {
            since: start,
            end: start + 60 * SECOND,
        },
    );
    let mut ask = |number: u64, at: Duration| {
        owner.grant(
            start + at,
            lease,
            0,
            &customer,
            &token_request(number, 1, Vec::new()),
        )
    };
    let first = ask(0, 10 * SECOND);
    let life = Duration::from_micros(first.life_us);
    let granted: u32 = (1..20).map(|n| ask(n, 10 * SECOND + life - MS).tokens).sum();
    assert_eq!(granted, 5, "one of the six may not be spent yet");
}
