use std::time::Duration;
use std::time::Instant;

use zinnialoom::fleet::control_selector::ControlList;
use zinnialoom::fleet::control_selector::ControlSelector;
use zinnialoom::fleet::control_selector::FAILURE_BACKOFF;
use zinnialoom::fleet::control_selector::LeaveReason;
use zinnialoom::fleet::control_selector::MISSING_RETENTION;
use zinnialoom::fleet::message::ControlVm;
use zinnialoom::fleet::message::EntryVm;
use zinnialoom::id::VmName;

fn control(vm: &str, domain: &str) -> ControlVm {
    ControlVm {
        vm: vm.into(),
        domain: domain.into(),
    }
}

fn local_entry() -> EntryVm {
    EntryVm {
        vm: "e1".into(),
        domain: "a".into(),
        caller: ([127, 0, 0, 1], 1).into(),
        is_ready: true,
    }
}

fn five_controls() -> Vec<ControlVm> {
    let domains = [("c1", "a"), ("c2", "a"), ("c3", "b"), ("c4", "b"), ("c5", "c")];
    domains.iter().map(|(vm, domain)| control(vm, domain)).collect()
}

/// Guards against an entry VM that returns to a control VM of its own domain that is cut off from the others:
/// it would learn that an upstream leaves later than the 2 s allowed.
#[test]
fn a_control_vm_without_a_leader_is_avoided() {
    let now = Instant::now();
    let mut selector = ControlSelector::default();
    for _ in 0..2 {
        let near = selector.next(now, &local_entry(), &five_controls(), &[]).unwrap();
        assert!(["c1", "c2"].contains(&near.as_str()));
        selector.mark_tried(&near);
        selector.record_leave(&near, now, &LeaveReason::Stale);
    }
    let far = selector.next(now, &local_entry(), &five_controls(), &[]).unwrap();
    assert!(!selector.has_nearer(now, &far, &local_entry(), &five_controls()));
    selector.start_round();
    let again = selector
        .next(now + FAILURE_BACKOFF / 2, &local_entry(), &five_controls(), &[])
        .unwrap();
    assert!(!["c1", "c2"].contains(&again.as_str()));
    assert!(selector.has_nearer(now + FAILURE_BACKOFF, &far, &local_entry(), &five_controls()));
}

/// Guards against an entry VM that does not try all seeds, or tries one control VM again before the others.
#[test]
fn all_are_tried_once_in_a_round() {
    let now = Instant::now() + Duration::from_secs(1);
    let mut selector = ControlSelector::default();
    let seeds: Vec<VmName> = vec!["c5".into(), "s1".into()];
    let mut seen = Vec::new();
    while let Some(vm) = selector.next(now, &local_entry(), &five_controls(), &seeds) {
        selector.mark_tried(&vm);
        selector.record_leave(&vm, now, &LeaveReason::Failed("refused".into()));
        seen.push(vm);
    }
    assert_eq!(seen.len(), 6, "{seen:?}");
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 6);
    selector.start_round();
    assert!(
        selector
            .next(now, &local_entry(), &five_controls(), &seeds)
            .is_some()
    );
}

/// Guards against an entry VM that asks one control VM after the other of the side without a leader, while the core is
/// cut in two: it learns of a new configuration later than the 2 s allowed.
#[test]
fn the_other_side_of_a_cut_is_tried_first() {
    let now = Instant::now();
    let mut selector = ControlSelector::default();
    let connected = &five_controls()[..3];
    selector.mark_tried(&"c1".into());
    selector.record_cut_off(now, connected);
    selector.record_leave(&"c1".into(), now, &LeaveReason::Stale);
    // A seed that no list has may have been replaced.
    let seeds: Vec<VmName> = vec!["s1".into()];
    for _ in 0..2 {
        let next = selector
            .next(now, &local_entry(), &five_controls(), &seeds)
            .unwrap();
        assert!(["c4", "c5"].contains(&next.as_str()), "{next}");
        selector.mark_tried(&next);
    }
    let next = selector
        .next(now, &local_entry(), &five_controls(), &seeds)
        .unwrap();
    assert_eq!(next, "c2", "then those of the same side, near ones first");
    selector.start_round();
    let later = selector.next(now + FAILURE_BACKOFF, &local_entry(), &five_controls(), &[]);
    assert!(["c1", "c2"].contains(&later.unwrap().as_str()));
}

/// Guards against an entry VM that forgets the other side of a cut, and against one that leaves its control VM again and
/// again for a nearer one that is down.
#[test]
fn control_vms_that_a_list_lacks_are_kept_but_not_preferred() {
    let now = Instant::now();
    let mut list = ControlList::default();
    list.update(now, five_controls());
    list.update(now + Duration::from_secs(60), five_controls()[2..].to_vec());
    let later = now + Duration::from_secs(61);
    list.update(later, five_controls()[2..4].to_vec());
    assert_eq!(list.all().len(), 5);
    let selector = ControlSelector::default();
    assert!(!selector.has_nearer(later, &"c3".into(), &local_entry(), list.listed()));
    assert!(selector.has_nearer(later, &"c3".into(), &local_entry(), &five_controls()));
    list.update(
        now + Duration::from_secs(60) + MISSING_RETENTION,
        five_controls()[2..4].to_vec(),
    );
    let names: Vec<VmName> = list.all().into_iter().map(|c| c.vm).collect();
    assert_eq!(
        names,
        ["c3", "c4", "c5"],
        "c1 and c2 have been missing for longer"
    );
}
