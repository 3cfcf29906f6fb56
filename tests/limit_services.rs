//! Guards against faults of the limit, claim and quarantine services on real sockets, with VMs on loopback.

#[path = "support/local_fleet.rs"]
mod local_fleet;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use local_fleet::LocalVm;
use local_fleet::customer;
use local_fleet::fleet_secret;
use local_fleet::start_fleet;
use local_fleet::wait_until;
use zinnialoom::claims::Ticket;
use zinnialoom::code::Code;
use zinnialoom::component::Component;
use zinnialoom::crashes::FleetQuarantine;
use zinnialoom::error::Result;
use zinnialoom::lease::PARTITION_COUNT;
use zinnialoom::stage::ClaimOutcome;
use zinnialoom::stage::ClaimRequest;
use zinnialoom::stage::Claimed;
use zinnialoom::stage::Claims;
use zinnialoom::stage::KeptAnswer;
use zinnialoom::stage::Limits;
use zinnialoom::stage::Quarantine;

/// Deadline of a call.
fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

fn claim_request(request: &str, digest: &str) -> ClaimRequest {
    ClaimRequest {
        customer: "c".into(),
        request: request.into(),
        digest: digest.into(),
    }
}

fn answer() -> KeptAnswer {
    KeptAnswer {
        status: 201,
        headers: vec![("content-type".into(), "text/plain".into())],
        body: Some(b"done".to_vec()),
    }
}

async fn claim(vm: &LocalVm, request: &str) -> Result<Claimed<Ticket>> {
    vm.claims.claim(&claim_request(request, "d"), deadline()).await
}

/// Claims a request that must be allowed to run.
async fn claim_to_run(vm: &LocalVm, request: &str) -> Ticket {
    match claim(vm, request).await {
        Ok(Claimed::Run(ticket)) => ticket,
        other => panic!("the claim gave {other:?}"),
    }
}

fn code<T>(result: Result<T>) -> Option<Code> {
    result.err().map(|e| e.code)
}

async fn wait_until_caught_up(vms: &[LocalVm]) {
    wait_until(Duration::from_secs(10), || {
        vms.iter().all(|v| v.claims.is_caught_up())
    })
    .await;
}

async fn wait_until_leased(vms: &[LocalVm]) {
    let all = PARTITION_COUNT as usize;
    let are_held = || vms.iter().map(|v| v.limits.held_partitions()).sum::<usize>() == all;
    wait_until(Duration::from_secs(15), are_held).await;
}

/// Guards against more than the rate and burst over all VMs, and against less than 70 % of it.
#[async_std::test]
async fn a_rate_holds_over_several_vms() {
    let vms = start_fleet(4).await;
    wait_until_leased(&vms).await;
    let start = Instant::now();
    let mut taken = 0;
    while start.elapsed() < Duration::from_secs(3) {
        let takes = vms
            .iter()
            .map(|vm| async { vm.limits.take_token(&customer(), deadline()).await.is_ok() });
        taken += futures::future::join_all(takes)
            .await
            .into_iter()
            .filter(|t| *t)
            .count();
    }
    let limit = customer().limit;
    let bound = f64::from(limit.burst) + f64::from(limit.rate) * start.elapsed().as_secs_f64();
    assert!(taken as f64 <= bound, "{taken} of {bound}");
    assert!(taken as f64 >= bound * 0.7, "only {taken} of {bound}");
}

/// Guards against a second try that runs, or that does not get the recorded answer of the first.
#[async_std::test]
async fn a_second_try_does_not_run_and_gets_the_recorded_answer() {
    let vms = start_fleet(5).await;
    wait_until_caught_up(&vms).await;
    let ticket = claim_to_run(&vms[0], "r1").await;
    assert!(vms[0].claims.is_valid(&ticket, Instant::now()));
    assert!(
        !vms[0]
            .claims
            .is_valid(&ticket, Instant::now() + Duration::from_secs(1))
    );
    assert_eq!(code(claim(&vms[1], "r1").await), Some(Code::InProgress));
    let reused = vms[2]
        .claims
        .claim(&claim_request("r1", "other"), deadline())
        .await;
    assert_eq!(code(reused), Some(Code::IdReused));
    vms[0]
        .claims
        .finish(ticket, ClaimOutcome::Answered(answer()))
        .await;
    match claim(&vms[3], "r1").await {
        Ok(Claimed::Recorded(kept)) => assert_eq!(kept, answer()),
        other => panic!("the second try gave {other:?}"),
    }
}

/// Guards against a request that is refused for good because its first try did not run.
#[async_std::test]
async fn a_request_that_did_not_run_may_run_later() {
    let vms = start_fleet(3).await;
    wait_until_caught_up(&vms).await;
    let ticket = claim_to_run(&vms[0], "r2").await;
    vms[0].claims.finish(ticket, ClaimOutcome::NotRun).await;
    let ticket = claim_to_run(&vms[1], "r2").await;
    vms[1].claims.finish(ticket, ClaimOutcome::Unknown).await;
    assert_eq!(code(claim(&vms[2], "r2").await), Some(Code::OutcomeUnknown));
}

/// Guards against two tries that both run when they are made at the same time.
#[async_std::test]
async fn two_tries_at_once_do_not_both_run() {
    let vms = start_fleet(5).await;
    wait_until_caught_up(&vms).await;
    for n in 0..20 {
        let name = format!("both{n}");
        let (a, b) = futures::join!(claim(&vms[0], &name), claim(&vms[1], &name));
        let runs = [&a, &b]
            .iter()
            .filter(|r| matches!(r, Ok(Claimed::Run(_))))
            .count();
        assert!(runs <= 1, "{a:?} {b:?}");
    }
}

/// Guards against a quarantine that does not reach all VMs, or blocks too early, too much or too long.
#[async_std::test]
async fn two_crashes_block_a_request_on_all_vms() {
    let vms = start_fleet(3).await;
    vms[0].quarantine.report("f").await;
    assert!(!vms[2].quarantine.is_blocked("f", Instant::now()));
    vms[1].quarantine.report("f").await;
    for vm in &vms {
        let now = Instant::now();
        assert!(vm.quarantine.is_blocked("f", now));
        assert!(!vm.quarantine.is_blocked("g", now));
        // A fingerprint is blocked for 10 min.
        assert!(!vm.quarantine.is_blocked("f", now + Duration::from_secs(601)));
    }
}

/// Guards against a VM that sends a blocked request to upstreams after it has restarted.
#[async_std::test]
async fn a_vm_that_restarts_blocks_a_crashing_request() {
    let vms = start_fleet(3).await;
    vms[0].quarantine.report("f").await;
    vms[1].quarantine.report("f").await;
    // A second run of the VM that reported last, which it no longer remembers.
    let restarted = FleetQuarantine::spawn("vm1".into(), 2, fleet_secret(), Arc::clone(&vms[1].config));
    wait_until(Duration::from_secs(3), || {
        restarted.is_blocked("f", Instant::now())
    })
    .await;
    restarted.stop().await;
}
