//! Upstreams that state in an answer to one entry VM that they leave.

use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use zinnialoom::fleet::discovery::Announcement;
use zinnialoom::fleet::discovery::REPLACE_AFTER;
use zinnialoom::fleet::link::Reader;
use zinnialoom::fleet::message::ConfigUpdate;
use zinnialoom::fleet::message::Frame;

use crate::control_vm::connect;
use crate::control_vm::control;
use crate::control_vm::hello;
use crate::ports::free_address;
use crate::upstreams::report;

/// Limit for a departure to reach the other VMs: `drain_s` of the users' deployments.
const LIMIT: Duration = Duration::from_secs(2);

/// Reads until the configuration says that `u1` has departed; false at the limit.
async fn reads_departure(reader: &mut Reader, run_start: u64) -> bool {
    let end = Instant::now() + LIMIT;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let Ok(frame) = future::timeout(left, reader.next()).await else {
            return false;
        };
        let edits = match frame.unwrap() {
            Frame::Config(ConfigUpdate::Full(view)) => format!("{:?}", view.departed),
            Frame::Config(ConfigUpdate::Changes(changes)) => format!("{changes:?}"),
            _ => continue,
        };
        if edits.contains("\"u1\"") && edits.contains(&format!("run_start: {run_start}")) {
            return true;
        }
    }
}

/// Guards against requests of other entry VMs to an upstream that told only one of them that it leaves, also
/// after the control VM has restarted, and against the loss of a later run by a report of an earlier one.
#[async_std::test]
async fn an_upstream_that_tells_one_vm_leaves_the_fleet() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let process = control(address, folder.path(), true).await;
    let (teller, _replies) = connect(address, hello("teller")).await;
    let (_link, mut other) = connect(address, hello("other")).await;
    let listed = report("u1", "a");
    let run_start = listed.born;
    process.server().announce(listed.clone()).await.unwrap();
    let leaving = |run_start| Frame::Leaving {
        upstream: "u1".into(),
        run_start,
    };
    // A report of an earlier run changes nothing.
    teller.send(&leaving(run_start - 1));
    for _ in 0..3 {
        teller.send(&leaving(run_start));
    }
    assert!(reads_departure(&mut other, run_start).await);
    process.stop().await;
    drop(process);
    let process = control(address, folder.path(), false).await;
    let (_link, mut later) = connect(address, hello("later")).await;
    assert!(reads_departure(&mut later, run_start).await);
    // The next run under the same name is used.
    let next = Announcement {
        born: run_start + 1,
        ..listed
    };
    process.server().announce(next).await.unwrap();
    assert_eq!(process.server().run_start(&"u1".into()), Some(run_start + 1));
    process.stop().await;
}

/// Guards against a departure that is lost because the control VM has restarted and does not list the upstream yet: a
/// report of the upstream from before would list it again.
#[async_std::test]
async fn an_upstream_that_tells_one_vm_leaves_before_it_is_listed() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let process = control(address, folder.path(), true).await;
    let (teller, _replies) = connect(address, hello("teller")).await;
    let (_link, mut other) = connect(address, hello("other")).await;
    let late = report("u1", "a");
    let run_start = late.born;
    teller.send(&Frame::Leaving {
        upstream: "u1".into(),
        run_start,
    });
    assert!(reads_departure(&mut other, run_start).await);
    process.server().announce(late).await.unwrap();
    assert_eq!(process.server().run_start(&"u1".into()), None);
    process.stop().await;
}

/// Guards against a later run that stays listed after its deregistration was acknowledged by a control VM that lists
/// only the run before.
#[async_std::test]
async fn a_deregistration_without_a_start_ends_the_latest_run() {
    let folder = tempfile::tempdir().unwrap();
    let process = control(free_address(), folder.path(), true).await;
    let server = process.server();
    let listed = report("u1", "a");
    let run_start = listed.born;
    server.announce(listed.clone()).await.unwrap();
    task::sleep(REPLACE_AFTER).await;
    server.deregister("u1".into(), None).await.unwrap();
    let later = Announcement {
        born: run_start + 1,
        ..listed
    };
    // The list follows the record within a period.
    let end = Instant::now() + LIMIT;
    while server.run_start(&"u1".into()).is_some() && Instant::now() < end {
        task::sleep(Duration::from_millis(10)).await;
    }
    server.announce(later).await.unwrap();
    assert_eq!(server.run_start(&"u1".into()), None);
    process.stop().await;
}
