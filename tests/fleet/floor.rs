//! Requests of services without repeatable routes must reach all sound upstreams.

use std::time::Duration;

use crate::seeds::for_seeds;
use crate::seeds::seed_count;
use crate::selection_world::Deployment;
use crate::selection_world::Gray;
use crate::selection_world::SelectionWorld;

const SMALL: Deployment = Deployment {
    vms: 40,
    upstreams: 6,
    rate: 30.0,
    idempotent: 0.0,
    work: Duration::from_millis(160),
    overdue: Duration::from_millis(400),
    deadline: Duration::from_millis(3_000),
    gray: Gray::Hang,
    cut: 0.0,
    burst: 1.0,
    length: Duration::from_secs(60),
};

const MEDIUM: Deployment = Deployment {
    vms: 48,
    upstreams: 19,
    rate: 76.0,
    work: Duration::from_millis(230),
    overdue: Duration::from_millis(900),
    ..SMALL
};

const GROWN: Deployment = Deployment {
    vms: 94,
    upstreams: 159,
    rate: 576.0,
    work: Duration::from_millis(260),
    overdue: Duration::from_millis(900),
    ..SMALL
};

/// Checks the floor with many seeds.
fn check_floor(deployment: Deployment, seeds: u64) {
    for_seeds(seeds, |seed| {
        let outcome = SelectionWorld::new(deployment, seed).run();
        println!(
            "seed {seed}: not served {:.4}, least used {:.2} {deployment:?}",
            outcome.unserved_share(),
            outcome.least_used
        );
        assert_eq!(outcome.floor_breaks, 0, "seed {seed}: {outcome:?}");
        0
    });
}

/// Both kinds of gray failure, alone and with a burst and upstreams that some of the VMs cannot reach.
fn variants(deployment: Deployment) -> impl Iterator<Item = Deployment> {
    let kinds = [Gray::Hang, Gray::Reset];
    let alone = kinds.map(|gray| Deployment { gray, ..deployment });
    let disturbed = alone.map(|alone| Deployment {
        cut: 0.3,
        burst: 1.7,
        ..alone
    });
    alone.into_iter().chain(disturbed)
}

/// Guards against requests that queue at ever fewer upstreams while most sound ones get none, in a service
/// whose requests all may run once, so that no request was meant to test an upstream.
#[test]
fn a_service_without_idempotent_requests_uses_its_sound_upstreams() {
    for deployment in variants(MEDIUM) {
        check_floor(deployment, seed_count(3));
    }
    let length = Duration::from_secs(12);
    for deployment in variants(GROWN) {
        check_floor(Deployment { length, ..deployment }, seed_count(1));
    }
}

/// The same with so few upstreams that one which is left out breaks the floor.
#[test]
fn a_service_of_six_upstreams_uses_its_sound_ones() {
    for deployment in variants(SMALL) {
        check_floor(deployment, seed_count(5));
    }
}
