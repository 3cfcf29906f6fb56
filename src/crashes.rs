//! Component that reports crashes of upstreams to all VMs of the fleet and counts the reports of others. A VM that
//! starts asks others for the crashes that they know.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use fail::fail_point;
use futures::future::join_all;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use log::info;
use log::warn;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::id::CrashId;
use crate::id::Incarnation;
use crate::id::VmName;
use crate::job::Jobs;
use crate::peers::Peers;
use crate::quarantine::BlockPolicy;
use crate::quarantine::CrashRecord;
use crate::quarantine::CrashTable;
use crate::quarantine::MAX_BLOCK_TIME;
use crate::rendezvous;
use crate::secret::Secret;
use crate::stage::Block;
use crate::stage::Config;
use crate::stage::Quarantine;

/// Longest delay of the caller's response while the other VMs are notified.
const REPORT_WAIT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of calls to one VM to deliver a report.
const MAX_REPORT_TRIES: u32 = 3;
/// Number of other VMs that a VM asks for their crashes when it starts; one of them may have just started itself.
const FETCH_ANSWERS: usize = 2;
/// Largest number of rounds in which they are asked, and the pause between two rounds.
const MAX_FETCH_ROUNDS: u32 = 60;
const FETCH_PAUSE: Duration = Duration::from_millis(500);
/// Largest number of fingerprints in an answer to them; those with the most crashes come first.
const MAX_FETCHED: usize = 5_000;

/// Two crashes block a fingerprint; 20,000 fingerprints take about 8 MB.
const POLICY: BlockPolicy = BlockPolicy {
    threshold: 2,
    block_time: MAX_BLOCK_TIME,
    capacity: 20_000,
};

/// Report that an upstream connection broke in the middle of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CrashReport {
    /// Fingerprint of the request.
    fingerprint: SmolStr,
    /// VM that forwarded the request.
    vm: VmName,
    /// Run of that VM.
    incarnation: Incarnation,
    /// Number of the crash in that run; a report that arrives twice counts once.
    number: u64,
}

impl CrashReport {
    fn id(&self) -> CrashId {
        rendezvous::hash(&[
            self.vm.as_bytes(),
            &self.incarnation.to_be_bytes(),
            &self.number.to_be_bytes(),
        ])
    }
}

struct Inner<C> {
    local_vm: VmName,
    incarnation: Incarnation,
    config: Arc<C>,
    peers: Peers,
    crashes: Mutex<CrashTable>,
    next_number: AtomicU64,
}

/// Quarantine of requests by the crashes that any VM of the fleet reports; see [`Quarantine`].
pub struct FleetQuarantine<C> {
    inner: Arc<Inner<C>>,
    jobs: Jobs,
}

impl<C: Config> FleetQuarantine<C> {
    /// Starts the component with no recorded crashes, and the task that asks other VMs for theirs.
    pub fn spawn(local_vm: VmName, incarnation: Incarnation, secret: Secret, config: Arc<C>) -> Self {
        let inner = Arc::new(Inner {
            local_vm,
            incarnation,
            config,
            peers: Peers::new(secret),
            crashes: Mutex::new(CrashTable::new(POLICY)),
            next_number: AtomicU64::new(1),
        });
        let jobs = Jobs::default();
        let fetcher = Arc::clone(&inner);
        jobs.spawn(async move { fetcher.fetch_records().await });
        Self { inner, jobs }
    }

    /// Adds the methods `quarantine.report` and `quarantine.records`.
    ///
    /// # Errors
    /// `Kernel` if a method is already registered.
    pub fn register(&self, module: &mut RpcModule<()>) -> Result<()> {
        let inner = Arc::clone(&self.inner);
        let added = module.register_method("quarantine.report", move |params, _, _| {
            let report: CrashReport = params.parse()?;
            inner.record(&report);
            Ok::<(), ErrorObjectOwned>(())
        });
        added.map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
        let inner = Arc::clone(&self.inner);
        let added = module.register_method("quarantine.records", move |_, _, _| {
            let mut records = inner.crashes.lock().unwrap().records(Instant::now(), 1);
            records.reverse();
            records.truncate(MAX_FETCHED);
            Ok::<Vec<CrashRecord>, ErrorObjectOwned>(records)
        });
        added.map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
        Ok(())
    }
}

impl<C: Config> Quarantine for FleetQuarantine<C> {
    fn block(&self, fingerprint: &str, now: Instant) -> Option<Block> {
        self.inner.crashes.lock().unwrap().block(now, fingerprint)
    }

    async fn report(&self, fingerprint: &str) {
        let report = CrashReport {
            fingerprint: fingerprint.into(),
            vm: self.inner.local_vm.clone(),
            incarnation: self.inner.incarnation,
            number: self.inner.next_number.fetch_add(1, Ordering::Relaxed),
        };
        self.inner.record(&report);
        fail_point!("quarantine.report", |_| ());
        let view = self.inner.config.view();
        let others = view.vms.keys().filter(|vm| **vm != self.inner.local_vm);
        let calls = others.map(|vm| {
            let (inner, vm, report) = (Arc::clone(&self.inner), vm.clone(), report.clone());
            task::spawn(async move { inner.send_report(&vm, &report).await })
        });
        // The calls continue after the wait, so a VM that does not answer delays the caller no longer.
        let _ = future::timeout(REPORT_WAIT, join_all(calls)).await;
    }
}

impl<C: Config> Component for FleetQuarantine<C> {
    const NAME: &'static str = "quarantine";

    async fn stop(&self) {
        self.jobs.stop().await;
    }
}

impl<C: Config> Inner<C> {
    fn record(&self, report: &CrashReport) {
        let crash = CrashRecord::of_crash(&report.fingerprint, report.id());
        self.crashes.lock().unwrap().merge(Instant::now(), &crash);
    }

    /// Asks other VMs for the crashes that they know, until enough of them have answered.
    async fn fetch_records(&self) {
        let mut answered: HashSet<VmName> = HashSet::new();
        for _ in 0..MAX_FETCH_ROUNDS {
            let view = self.config.view();
            let is_unasked = |vm: &&VmName| **vm != self.local_vm && !answered.contains(*vm);
            let mut others: Vec<VmName> = view.vms.keys().filter(is_unasked).cloned().collect();
            if answered.len() >= FETCH_ANSWERS || (others.is_empty() && !view.vms.is_empty()) {
                return;
            }
            others.shuffle(&mut rand::rng());
            for vm in others.into_iter().take(FETCH_ANSWERS - answered.len()) {
                let call = self
                    .peers
                    .call(&view, &vm, "quarantine.records", &(), CALL_TIMEOUT);
                let records: Result<Vec<CrashRecord>> = call.await;
                // A VM that does not answer is asked again, or another one in its place.
                let Ok(records) = records else { continue };
                info!("crashes fetched: vm={vm} records={}", records.len());
                let mut crashes = self.crashes.lock().unwrap();
                for record in &records {
                    crashes.merge(Instant::now(), record);
                }
                drop(crashes);
                answered.insert(vm);
            }
            task::sleep(FETCH_PAUSE).await;
        }
        warn!("crashes of other VMs not fetched: answers={}", answered.len());
    }

    async fn send_report(&self, vm: &VmName, report: &CrashReport) {
        for _ in 0..MAX_REPORT_TRIES {
            let view = self.config.view();
            let call = self
                .peers
                .call(&view, vm, "quarantine.report", report, CALL_TIMEOUT);
            let sent: Result<()> = call.await;
            if sent.is_ok() {
                return;
            }
        }
    }
}
