//! The list of entry VMs that a control VM sends, from which callers get addresses.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use zinnialoom::fleet::link;
use zinnialoom::fleet::link::HEARTBEAT_PERIOD;
use zinnialoom::fleet::link::Link;
use zinnialoom::fleet::link::Reader;
use zinnialoom::fleet::message::ControlVm;
use zinnialoom::fleet::message::EntryVm;
use zinnialoom::fleet::message::Frame;
use zinnialoom::fleet::message::REVISION;
use zinnialoom::fleet::process::ControlProcess;
use zinnialoom::fleet::process::ControlProcessSettings;
use zinnialoom::grant::Excess;

use crate::ports::free_address;

/// Limit for a changed list to arrive; control VMs look for changes every 200 ms.
const LIST_LIMIT: Duration = Duration::from_secs(1);

async fn control(address: SocketAddr, folder: &Path) -> ControlProcess {
    let vm = format_smolstr!("{address}");
    let settings = ControlProcessSettings {
        control: ControlVm {
            vm: vm.clone(),
            domain: "a".into(),
        },
        address,
        seeds: vec![vm],
        retry_window: Duration::from_secs(10),
        excess: Excess::default(),
        data_dir: folder.to_owned(),
        is_bootstrap: true,
    };
    ControlProcess::open(settings).await.unwrap()
}

fn entry(vm: &str) -> EntryVm {
    EntryVm {
        vm: vm.into(),
        domain: "a".into(),
        caller: SocketAddr::from(([127, 0, 0, 1], 1)),
        is_ready: true,
    }
}

/// Connects to the control VM, and sends a first message and then heartbeats.
async fn connect(address: SocketAddr, hello: Frame) -> (Link, Reader) {
    let (link, reader) = link::connect(address).await.unwrap();
    link.send(&hello);
    let heartbeats = link.clone();
    task::spawn(async move {
        for _ in 0..30 {
            heartbeats.send(&Frame::Heartbeat {
                is_fresh: true,
                version: 0,
                revision: REVISION,
            });
            task::sleep(HEARTBEAT_PERIOD).await;
        }
    });
    (link, reader)
}

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
    let control = control(address, folder.path()).await;
    let other = Frame::Control(ControlVm {
        vm: "other".into(),
        domain: "b".into(),
    });
    let (other, _other_reader) = connect(address, other).await;
    let list = |names: &[&str]| Frame::Entries(names.iter().map(|vm| entry(vm)).collect());
    let hello = |vm: &str| Frame::Entry {
        entry: entry(vm),
        version: 0,
    };
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
