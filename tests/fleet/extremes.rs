//! Messages of a faulty peer that can be read but hold extreme values.

use std::time::Duration;

use async_std::future;
use async_std::task;
use smol_str::SmolStr;
use zinnialoom::fleet::health::HealthUpdate;
use zinnialoom::fleet::message::CallOutcome;
use zinnialoom::fleet::message::ControlVm;
use zinnialoom::fleet::message::Frame;
use zinnialoom::fleet::retry_budget::Totals;
use zinnialoom::grant::SpendReport;
use zinnialoom::grant::TokenRequest;
use zinnialoom::quarantine::CrashRecord;

use crate::control_vm::connect;
use crate::control_vm::control;
use crate::control_vm::hello;
use crate::ports::free_address;
use crate::upstreams::report;

const MS: Duration = Duration::from_millis(1);

/// Messages that an entry VM or a control VM sends, with the largest values of their fields.
fn extremes() -> Vec<Frame> {
    let upstream = SmolStr::from("u1");
    let totals = Totals {
        requests: u32::MAX,
        repeats: u32::MAX,
    };
    let update = HealthUpdate {
        upstream: upstream.clone(),
        good: u16::MAX,
        soft: u16::MAX,
        hard: u16::MAX,
        age_ms: u16::MAX,
    };
    let token_report = SpendReport {
        number: u64::MAX,
        spent: u32::MAX,
        closed: true,
    };
    let mut far = report("u1", "a");
    (far.slots, far.cold_ms, far.born, far.sequence) = (0, u32::MAX, u64::MAX, u64::MAX);
    vec![
        Frame::Heartbeat {
            is_fresh: true,
            version: u64::MAX,
            revision: u8::MAX,
        },
        Frame::Announcements {
            is_complete: true,
            reports: vec![far],
        },
        Frame::ExpiredUpstreams(vec![upstream.clone(); 2]),
        Frame::Results(vec![update; 3]),
        Frame::InFlight(vec![(upstream.clone(), u16::MAX); 2]),
        Frame::Usage(vec![("forecast".into(), totals); 3]),
        Frame::Controls(Vec::new()),
        Frame::TokenRequest(TokenRequest {
            spender: "e1".into(),
            incarnation: u64::MAX,
            number: u64::MAX,
            customer: "nobody".into(),
            share: u8::MAX,
            tokens: u32::MAX,
            reports: vec![token_report; 2],
        }),
        Frame::CrashRecords(vec![CrashRecord::of_crash("f", u64::MAX)]),
        Frame::CrashTakenBack {
            fingerprint: "unknown".into(),
            crash: u64::MAX,
        },
        Frame::Leaving {
            upstream,
            run_start: u64::MAX,
        },
        Frame::Reply {
            number: u64::MAX,
            outcome: CallOutcome::Failed(u16::MAX),
        },
        Frame::Propose {
            number: u64::MAX,
            data: vec![0xff; 64],
        },
    ]
}

/// Guards against one message of a faulty peer after which a control VM serves nobody.
#[async_std::test]
async fn extreme_values_do_not_stop_a_control_vm() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let process = control(address, folder.path(), true).await;
    process.server().announce(report("u1", "a")).await.unwrap();
    let other = Frame::Control(ControlVm {
        vm: "127.0.0.1:1".into(),
        domain: "b".into(),
    });
    let mut faulty = Vec::new();
    for first in [hello("e1"), hello("e2"), other] {
        faulty.push(connect(address, first).await);
    }
    for frame in extremes() {
        for (link, _) in &faulty {
            link.send(&frame);
            link.send(&frame);
        }
        // Long enough for the periodic reports, which add up what the peers sent.
        task::sleep(MS * 60).await;
    }
    task::sleep(MS * 400).await;
    let (_link, mut reader) = connect(address, hello("healthy")).await;
    let listed = future::timeout(Duration::from_secs(2), async {
        loop {
            if let Frame::Entries(entries) = reader.next().await.unwrap()
                && entries.iter().any(|e| e.vm == "healthy")
            {
                return;
            }
        }
    });
    assert!(listed.await.is_ok(), "the control VM no longer sends its lists");
    process.server().announce(report("u2", "a")).await.unwrap();
    process.stop().await;
}
