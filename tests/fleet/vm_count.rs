//! The number of VMs by which a share is computed.

use std::time::Duration;
use std::time::Instant;

use zinnialoom::fleet::vm_count::VmCount;

/// Guards against VMs that each take the whole rate of a customer, because a control VM that has restarted lists
/// none of the others.
#[test]
fn a_short_list_after_a_restart_does_not_enlarge_the_shares() {
    let (start, second) = (Instant::now(), Duration::from_secs(1));
    let mut count = VmCount::default();
    assert_eq!(count.get(start), 0);
    count.observe(start, 40);
    for (number, length) in [0, 3, 1, 30].into_iter().enumerate() {
        let now = start + second * number as u32;
        count.observe(now, length);
        assert_eq!(count.get(now), 40, "list of {length}");
    }
    count.observe(start + 4 * second, 41);
    assert_eq!(count.get(start + 4 * second), 41);
}

/// Guards against a share that stays small for good after VMs were removed.
#[test]
fn vms_that_are_gone_stop_counting() {
    let start = Instant::now();
    let mut count = VmCount::default();
    count.observe(start, 40);
    count.observe(start, 10);
    assert_eq!(count.get(start + Duration::from_secs(9)), 40);
    assert_eq!(count.get(start + Duration::from_secs(10)), 10);
}
