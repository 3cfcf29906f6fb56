//! Requests of services without repeatable routes must reach all sound upstreams.

use std::time::Duration;

use crate::seeds::for_seeds;
use crate::seeds::seed_count;
use crate::selection_world::Deployment;
use crate::selection_world::GROWN;
use crate::selection_world::MEDIUM;
use crate::selection_world::SMALL;
use crate::selection_world::SPARSE;
use crate::selection_world::SelectionWorld;
use crate::selection_world::variants;

/// Checks the floor with many seeds.
fn check_floor(deployment: Deployment, seeds: u64) {
    for_seeds(seeds, |seed| {
        let outcome = SelectionWorld::new(deployment, seed).run();
        println!(
            "seed {seed}: {} of {} not served, least used {:.2} {deployment:?}",
            outcome.unserved(),
            outcome.requests,
            outcome.least_used
        );
        assert_eq!(outcome.floor_breaks, 0, "seed {seed}: {outcome:?}");
        0
    });
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

/// The same where each upstream gets a request in about a second: those with the latest success must not get most of
/// them.
#[test]
fn a_service_with_little_traffic_uses_its_sound_upstreams() {
    for deployment in variants(SPARSE) {
        check_floor(deployment, seed_count(5));
    }
}

/// The same with so few upstreams that one which is left out breaks the floor.
#[test]
fn a_service_of_six_upstreams_uses_its_sound_ones() {
    for deployment in variants(SMALL) {
        check_floor(deployment, seed_count(5));
    }
}
