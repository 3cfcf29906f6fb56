//! Memory, bytes and CPU time of grants and claims.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use zinnialoom::claim::AttemptId;
use zinnialoom::claim::ClaimId;
use zinnialoom::claim::PutRequest;
use zinnialoom::claim::Registry;
use zinnialoom::claim::holder::ClaimStore;
use zinnialoom::claim::holder::StoreLimits;
use zinnialoom::grant::Owner;
use zinnialoom::grant::TokenPool;
use zinnialoom::grant::TokenRequest;
use zinnialoom::lease::Lease;
use zinnialoom::view::Customer;
use zinnialoom::view::Limit;

use super::cpu_micros_each;
use super::print_row;
use super::resident_bytes;

const CUSTOMER_COUNT: usize = 20_000;
const CLAIM_COUNT: usize = 100_000;
const LEASE_TIME: Duration = Duration::from_secs(4);
/// Time until the deadline of a request that spends a token.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

pub(crate) fn measure() {
    measure_grants();
    measure_claims();
}

fn customer(n: usize) -> Customer {
    let id = smol_str::format_smolstr!("customer-{n:06}");
    Customer {
        id,
        limit: Limit { rate: 30, burst: 60 },
        version: 1,
        ..Customer::default()
    }
}

fn measure_grants() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let lease = Lease {
        since: now,
        end: later + LEASE_TIME,
    };
    let before = resident_bytes();
    let mut pool = TokenPool::new("entry-1".into(), 1);
    let mut requests: Vec<TokenRequest> = Vec::new();
    let spend = cpu_micros_each(CUSTOMER_COUNT, |n| {
        let customer = customer(n);
        black_box(pool.spend(later, &customer, later + REQUEST_TIMEOUT));
        requests.extend(pool.due_requests(later, &customer.id));
    });
    print_row(
        "memory of a token pool, active customer",
        (resident_bytes() - before) / CUSTOMER_COUNT as f64,
        "bytes",
    );
    print_row("spend and token requests, CPU time", spend, "us");
    let bytes: usize = requests
        .iter()
        .map(|r| serde_json::to_vec(r).map_or(0, |v| v.len()))
        .sum();
    print_row(
        "token request",
        bytes as f64 / requests.len().max(1) as f64,
        "bytes",
    );
    let before = resident_bytes();
    let mut owner = Owner::new();
    let mut grants = Vec::new();
    let count = requests.len();
    let grant = cpu_micros_each(count, |n| {
        let request = &requests[n];
        let customer = Customer {
            id: request.customer.clone(),
            ..customer(0)
        };
        grants.push(owner.grant(later, lease, 1, &customer, request));
    });
    // Each token request addresses one share of one customer's limit, and the owner keeps a bucket for each
    // share.
    print_row(
        "memory of an owner, active customer share",
        (resident_bytes() - before) / count as f64,
        "bytes",
    );
    print_row("answer to a token request, CPU time", grant, "us");
    let bytes: usize = grants
        .iter()
        .map(|g| serde_json::to_vec(g).map_or(0, |v| v.len()))
        .sum();
    print_row("grant", bytes as f64 / count.max(1) as f64, "bytes");
}

fn measure_claims() {
    let now = Instant::now();
    let vms = (0..48).map(|n| {
        (
            smol_str::format_smolstr!("entry-{n:02}"),
            smol_str::format_smolstr!("domain-{}", n % 3),
        )
    });
    let registry = Arc::new(Registry::new(vms.collect()));
    let limits = StoreLimits::default();
    let mut claims = ClaimStore::new(now, "entry-00".into(), 1, false, Arc::clone(&registry), limits);
    let puts: Vec<PutRequest> = (0..CLAIM_COUNT).map(|n| put_request(n, &registry)).collect();
    let bytes: usize = puts
        .iter()
        .map(|c| serde_json::to_vec(c).map_or(0, |v| v.len()))
        .sum();
    let before = resident_bytes();
    let put = cpu_micros_each(CLAIM_COUNT, |n| {
        black_box(claims.put_if_absent(now, &puts[n]));
    });
    print_row(
        "memory of a holder, claim without answer",
        (resident_bytes() - before) / CLAIM_COUNT as f64,
        "bytes",
    );
    print_row("put of a claim, CPU time at one holder", put, "us");
    print_row(
        "put of a claim, one message",
        bytes as f64 / CLAIM_COUNT as f64,
        "bytes",
    );
    let holders = cpu_micros_each(CLAIM_COUNT, |n| {
        black_box(registry.holders(&puts[n].id));
    });
    print_row("holders of a claim among 48 VMs, CPU time", holders, "us");
    let large = Registry::new(
        (0..3_300)
            .map(|n| {
                (
                    smol_str::format_smolstr!("entry-{n:04}"),
                    smol_str::format_smolstr!("domain-{}", n % 17),
                )
            })
            .collect(),
    );
    let holders = cpu_micros_each(200, |n| {
        black_box(large.holders(&puts[n].id));
    });
    print_row("holders of a claim among 3,300 VMs, CPU time", holders, "us");
}

fn put_request(n: usize, registry: &Registry) -> PutRequest {
    let id = ClaimId {
        customer: "customer-000001".into(),
        request: smol_str::format_smolstr!("order-2026-12-04-{n:08}"),
    };
    let attempt = AttemptId {
        vm: "entry-01".into(),
        incarnation: 1_796_378_406_361,
        number: n as u64,
    };
    let digest = zinnialoom::secret::digest(&id.request);
    PutRequest {
        id,
        attempt,
        digest,
        registry: registry.id(),
    }
}
