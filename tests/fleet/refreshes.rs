//! Reports of upstreams that change nothing, as a control VM passes them on to the others.

use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use zinnialoom::fleet::discovery::Announcement;
use zinnialoom::fleet::discovery::REPLACE_AFTER;
use zinnialoom::fleet::link::Reader;
use zinnialoom::fleet::message::ControlVm;
use zinnialoom::fleet::message::Frame;

use crate::control_vm::connect;
use crate::control_vm::control;
use crate::ports::free_address;
use crate::upstreams::report;

/// Reports that arrive within a time.
async fn read_reports(reader: &mut Reader, time: Duration) -> Vec<Vec<Announcement>> {
    let end = Instant::now() + time;
    let mut frames = Vec::new();
    while let Ok(Ok(frame)) =
        future::timeout(end.saturating_duration_since(Instant::now()), reader.next()).await
    {
        if let Frame::Announcements { reports, .. } = frame
            && !reports.is_empty()
        {
            frames.push(reports);
        }
    }
    frames
}

/// Guards against a message to every other control VM for each report of each upstream, most of which change
/// nothing, and against upstreams that the others take for silent.
#[async_std::test]
async fn reports_that_change_nothing_are_passed_on_together() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let control = control(address, folder.path(), true).await;
    let other = Frame::Control(ControlVm {
        vm: "other".into(),
        domain: "b".into(),
    });
    let (_link, mut reader) = connect(address, other).await;
    task::sleep(Duration::from_millis(200)).await;
    for sequence in 1..=5 {
        for upstream in ["u1", "u2"] {
            let announcement = Announcement {
                sequence,
                cold_ms: 20_000,
                ..report(upstream, "a")
            };
            control.server().announce(announcement).await.unwrap();
        }
    }
    let frames = read_reports(&mut reader, REPLACE_AFTER - Duration::from_millis(500)).await;
    assert_eq!(
        frames.len(),
        3,
        "two new upstreams at once, all else together: {frames:?}"
    );
    let together = &frames[2];
    assert_eq!(together.len(), 2);
    for last in together {
        assert_eq!(last.sequence, 5);
        assert!(last.cold_ms < 20_000, "the time that passed counts");
    }
    control.stop().await;
}
