//! Requests that crash upstreams: counted by the whole fleet, and refused by every entry VM.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use zinnialoom::component::Component;
use zinnialoom::fleet::control_client::ControlClient;
use zinnialoom::fleet::control_client::ControlClientSettings;
use zinnialoom::fleet::link;
use zinnialoom::fleet::link::Link;
use zinnialoom::fleet::link::Reader;
use zinnialoom::fleet::message::ControlVm;
use zinnialoom::fleet::message::EntryVm;
use zinnialoom::fleet::message::Frame;
use zinnialoom::fleet::message::REVISION;
use zinnialoom::fleet::process::ControlProcess;
use zinnialoom::fleet::process::ControlProcessSettings;
use zinnialoom::fleet::process::Placement;
use zinnialoom::fleet::retry_budget::RetryBound;
use zinnialoom::fleet::warmup::WarmupBound;
use zinnialoom::grant::Excess;
use zinnialoom::quarantine::CrashRecord;
use zinnialoom::stage::Quarantine;
use zinnialoom::timer::Timer;

use crate::ports::free_address;

/// Fingerprint of the request that crashes upstreams.
const CRASHING: &str = "crashing";
/// Crashes after which the request must be refused.
const CRASHES: usize = 3;
/// Limit for the news of a crash to reach all VMs: the time after the third crash from which further crashes
/// count against the bound of the users' platform.
const NEWS_LIMIT: Duration = Duration::from_secs(3);
/// Requests that end with their connection in 30 s of a played day of a fleet of 111 entry VMs.
const ENDED_REQUESTS: usize = 3_300;

/// Starts one control VM of a group, whose name is `seeds[n]`.
async fn control(seeds: &[SmolStr], n: usize, folder: &Path) -> ControlProcess {
    let settings = ControlProcessSettings {
        control: ControlVm {
            vm: seeds[n].clone(),
            domain: format_smolstr!("{n}"),
        },
        address: seeds[n].parse().unwrap(),
        seeds: seeds.to_vec(),
        retry_window: Duration::from_secs(10),
        excess: Excess::default(),
        data_dir: folder.join(format!("c{n}")),
        is_bootstrap: true,
        memory: None,
        warmup: WarmupBound::default(),
        placement: Placement::default(),
    };
    ControlProcess::open(settings).await.unwrap()
}

fn seeds(count: usize) -> Vec<SmolStr> {
    (0..count)
        .map(|_| format_smolstr!("{}", free_address()))
        .collect()
}

/// The client of an entry VM, with the timer that it needs.
struct Vm {
    client: ControlClient,
    _timer: Timer,
}

impl Vm {
    fn start(name: &str, seeds: &[SmolStr]) -> Self {
        Self::start_in("0", name, seeds)
    }

    /// Starts an entry VM that prefers the control VM of its failure domain, which is named by its number.
    fn start_in(domain: &str, name: &str, seeds: &[SmolStr]) -> Self {
        let timer = Timer::spawn();
        let settings = ControlClientSettings {
            entry: EntryVm {
                vm: name.into(),
                domain: domain.into(),
                caller: SocketAddr::from(([127, 0, 0, 1], 1)),
                is_ready: true,
            },
            seeds: seeds.to_vec(),
            incarnation: 1,
            retry_bound: RetryBound {
                window: Duration::from_secs(10),
                ratio: 0.2,
                slack: 10.0,
            },
            excess: Excess::default(),
            warmup: WarmupBound::default(),
            is_ranked: false,
            regions: Default::default(),
        };
        Self {
            client: ControlClient::spawn(settings, 1, &timer),
            _timer: timer,
        }
    }

    /// Waits until the control VM lists this many entry VMs.
    async fn wait_entries(&self, count: usize) {
        wait_until(
            || self.client.entries().len() == count,
            "all entry VMs are listed",
        )
        .await;
    }

    async fn report_crashes(&self, count: usize) {
        for _ in 0..count {
            self.client.report(CRASHING).await;
        }
    }

    fn is_blocking(&self) -> bool {
        self.client.is_blocked(CRASHING, Instant::now())
    }

    async fn wait_blocked(&self) {
        wait_until(|| self.is_blocking(), "the request is blocked").await;
    }

    async fn stop(self) {
        self.client.stop().await;
    }
}

/// Waits until the condition holds; panics after [`NEWS_LIMIT`].
pub async fn wait_until(condition: impl Fn() -> bool, name: &str) {
    let end = Instant::now() + NEWS_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "not within {NEWS_LIMIT:?}: {name}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a request that crashes one upstream after the other because its crashes are not counted
/// while thousands of other requests end with their connections.
#[async_std::test]
async fn a_crashing_request_is_blocked_among_thousands_of_ended_ones() {
    let vm = Vm::start("e1", &[]);
    for n in 0..ENDED_REQUESTS {
        vm.client.report(&format!("other{n}")).await;
    }
    vm.report_crashes(CRASHES).await;
    assert!(vm.is_blocking());
    vm.stop().await;
}

/// Guards against a request that crashes upstreams again through each entry VM that starts after it was
/// blocked.
#[async_std::test]
async fn a_vm_that_starts_later_blocks_a_crashing_request() {
    let folder = tempfile::tempdir().unwrap();
    let seeds = seeds(1);
    let control = control(&seeds, 0, folder.path()).await;
    let first = Vm::start("e1", &seeds);
    first.wait_entries(1).await;
    first.report_crashes(CRASHES).await;
    first.wait_blocked().await;
    let second = Vm::start("e2", &seeds);
    second.wait_entries(2).await;
    second.wait_blocked().await;
    first.stop().await;
    second.stop().await;
    control.stop().await;
}

/// Guards against crashes that the rest of the fleet never learns of because the VM that saw them had no
/// connection to a control VM.
#[async_std::test]
async fn crashes_seen_without_a_control_vm_are_reported_later() {
    let folder = tempfile::tempdir().unwrap();
    let seeds = seeds(1);
    let cut_off = Vm::start("e1", &seeds);
    cut_off.report_crashes(CRASHES).await;
    let control = control(&seeds, 0, folder.path()).await;
    let other = Vm::start("e2", &seeds);
    other.wait_entries(2).await;
    other.wait_blocked().await;
    cut_off.stop().await;
    other.stop().await;
    control.stop().await;
}

/// Guards against a request that is sent again by the whole fleet after the control VMs, which count the
/// crashes, have all restarted.
#[async_std::test]
async fn a_request_stays_blocked_when_the_control_vms_restart() {
    let folder = tempfile::tempdir().unwrap();
    let seeds = seeds(1);
    let first_run = control(&seeds, 0, folder.path()).await;
    let first = Vm::start("e1", &seeds);
    first.wait_entries(1).await;
    first.report_crashes(CRASHES).await;
    first.wait_blocked().await;
    first_run.stop().await;
    let second_run = control(&seeds, 0, folder.path()).await;
    let second = Vm::start("e2", &seeds);
    second.wait_entries(2).await;
    second.wait_blocked().await;
    first.stop().await;
    second.stop().await;
    second_run.stop().await;
}

/// Guards against a control VM that restarts, knows no crashes and lets its entry VMs send a blocked request,
/// although the other control VMs know it.
#[async_std::test]
async fn a_restarted_control_vm_learns_of_suspects_from_the_others() {
    let folder = tempfile::tempdir().unwrap();
    let seeds = seeds(2);
    let stays = control(&seeds, 0, folder.path()).await;
    let restarts = control(&seeds, 1, folder.path()).await;
    let reporter = Vm::start_in("0", "e1", &seeds[..1]);
    reporter.wait_entries(1).await;
    reporter.report_crashes(CRASHES).await;
    reporter.wait_blocked().await;
    restarts.stop().await;
    let restarted = control(&seeds, 1, folder.path()).await;
    let other = Vm::start_in("1", "e2", &seeds[1..]);
    other.wait_entries(2).await;
    other.wait_blocked().await;
    reporter.stop().await;
    other.stop().await;
    stays.stop().await;
    restarted.stop().await;
}

/// The next message that tells of crashes.
async fn next_crash(reader: &mut Reader) -> Frame {
    loop {
        let frame = future::timeout(NEWS_LIMIT, reader.next()).await;
        let frame = frame.expect("no message on crashes").unwrap();
        if matches!(
            frame,
            Frame::Crash { .. } | Frame::CrashRecords(_) | Frame::CrashTakenBack { .. }
        ) {
            return frame;
        }
    }
}

fn heartbeat(revision: u8) -> Frame {
    Frame::Heartbeat {
        is_fresh: true,
        version: 0,
        revision,
    }
}

/// Connects to a control VM like an entry VM of a build with this revision.
async fn connect_entry(control: &SmolStr, revision: u8) -> (Link, Reader) {
    let (link, reader) = link::connect(control.parse().unwrap()).await.unwrap();
    link.send(&Frame::Entry {
        entry: EntryVm {
            vm: "other".into(),
            domain: "0".into(),
            caller: SocketAddr::from(([127, 0, 0, 1], 1)),
            is_ready: true,
        },
        version: 0,
    });
    link.send(&heartbeat(revision));
    (link, reader)
}

/// Guards against a crash that still counts on the other VMs after the VM where the request was answered took it
/// back.
#[async_std::test]
async fn an_answer_takes_back_a_crash_in_the_whole_fleet() {
    let folder = tempfile::tempdir().unwrap();
    let seeds = seeds(1);
    let control = control(&seeds, 0, folder.path()).await;
    let (link, mut reader) = connect_entry(&seeds[0], REVISION).await;
    let answered = Vm::start("e1", &seeds);
    answered.wait_entries(2).await;
    let suspect = CrashRecord {
        crashes: vec![1, 2],
        ..CrashRecord::of_crash(CRASHING, 1)
    };
    link.send(&Frame::CrashRecords(vec![suspect]));
    assert!(matches!(next_crash(&mut reader).await, Frame::CrashRecords(_)));
    link.send(&heartbeat(REVISION));
    // The answers before the other VM knows of the suspect change nothing.
    let client = answered.client.clone();
    let answers = task::spawn(async move {
        loop {
            client.record_answer(CRASHING);
            task::sleep(Duration::from_millis(20)).await;
        }
    });
    let expected = Frame::CrashTakenBack {
        fingerprint: CRASHING.into(),
        crash: 1,
    };
    assert_eq!(next_crash(&mut reader).await, expected);
    answers.cancel().await;
    answered.stop().await;
    control.stop().await;
}

/// Guards against messages that an older build can't read, which would end its connection with each crash: an
/// entry VM of an older build gets each crash as before.
#[async_std::test]
async fn an_entry_vm_of_an_older_build_gets_each_crash() {
    let folder = tempfile::tempdir().unwrap();
    let seeds = seeds(1);
    let control = control(&seeds, 0, folder.path()).await;
    let (link, mut reader) = connect_entry(&seeds[0], 0).await;
    let reporter = Vm::start("e1", &seeds);
    reporter.wait_entries(2).await;
    reporter.report_crashes(CRASHES).await;
    for _ in 0..CRASHES {
        let expected = Frame::Crash {
            fingerprint: CRASHING.into(),
        };
        assert_eq!(next_crash(&mut reader).await, expected);
        link.send(&heartbeat(0));
    }
    reporter.stop().await;
    control.stop().await;
}

/// Guards against the same between an entry VM of this build and a control VM of an older one, and against an
/// entry VM that no longer counts the crashes that such a control VM forwards.
#[async_std::test]
async fn a_control_vm_of_an_older_build_gets_each_crash() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let seeds = [format_smolstr!("{}", listener.local_addr().unwrap())];
    let vm = Vm::start("e1", &seeds);
    let (stream, _) = listener.accept().await.unwrap();
    let (link, mut reader) = link::spawn(stream);
    link.send(&heartbeat(0));
    task::sleep(Duration::from_millis(100)).await;
    vm.report_crashes(1).await;
    let crash = Frame::Crash {
        fingerprint: CRASHING.into(),
    };
    assert_eq!(next_crash(&mut reader).await, crash);
    for _ in 1..CRASHES {
        link.send(&crash);
    }
    vm.wait_blocked().await;
    vm.stop().await;
}

/// Guards against a heartbeat of an older build that can't be read because it lacks the revision.
#[async_std::test]
async fn a_heartbeat_without_a_revision_is_read() {
    let mut bytes = link::encode(&heartbeat(7)).unwrap();
    bytes.pop();
    bytes[0] -= 1;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    sender.write_all(&bytes).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (_link, mut reader) = link::spawn(stream);
    assert_eq!(reader.next().await.unwrap(), heartbeat(0));
}
