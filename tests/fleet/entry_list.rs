//! The list of entry VMs that a control VM sends, from which callers get addresses.

use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use smol_str::SmolStr;
use zinnialoom::fleet::link::Reader;
use zinnialoom::fleet::message::ControlVm;
use zinnialoom::fleet::message::Frame;

use crate::control_vm::connect;
use crate::control_vm::control;
use crate::control_vm::entry;
use crate::control_vm::hello;
use crate::ports::free_address;

/// Limit for a changed list to arrive; control VMs look for changes every 200 ms.
const LIST_LIMIT: Duration = Duration::from_secs(1);

/// Reads lists of entry VMs until one has these names; returns the last one.
async fn read_list(reader: &mut Reader, names: &[&str]) -> Vec<SmolStr> {
    let end = Instant::now() + LIST_LIMIT;
    let mut last = Vec::new();
    while last != names {
        let left = end.saturating_duration_since(Instant::now());
        match future::timeout(left, reader.next()).await {
            Ok(Ok(Frame::Entries(entries))) => last = entries.into_iter().map(|e| e.vm).collect(),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => panic!("the connection ended: {e}"),
            Err(_) => break,
        }
    }
    last
}

/// Guards against a ready entry VM whose address another one never gives to callers: it connects while the first
/// moves from one control VM to another, and the complete list equals the one that was sent before.
#[async_std::test]
async fn a_list_that_was_incomplete_is_completed() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let control = control(address, folder.path(), true).await;
    let other = Frame::Control(ControlVm {
        vm: "other".into(),
        domain: "b".into(),
    });
    let (other, _other_reader) = connect(address, other).await;
    let list = |names: &[&str]| Frame::Entries(names.iter().map(|vm| entry(vm)).collect());
    let (_first, mut first) = connect(address, hello("first")).await;
    other.send(&list(&["joins", "moves"]));
    let complete = ["first", "joins", "moves"];
    assert_eq!(read_list(&mut first, &complete).await, complete);
    // The control VM has just compared the lists, so it does so next after both changes.
    other.send(&list(&["joins"]));
    let (_joins, mut joins) = connect(address, hello("joins")).await;
    task::sleep(Duration::from_millis(50)).await;
    other.send(&list(&["joins", "moves"]));
    assert_eq!(read_list(&mut joins, &complete).await, complete);
    control.stop().await;
}
