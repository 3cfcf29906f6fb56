//! JSON-RPC methods of the control VMs for operators and entry VMs.
//!
//! Operators and processes have separate method tables with separate secrets: the fleet secret, which is on
//! all VMs, must not admit changes of the configuration.

pub mod ack_tracker;
mod change;
mod domain;
mod edition;
pub mod params;
mod process;
mod show;
mod table;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use jsonrpsee::RpcModule;
use log::info;
use log::warn;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::catalog::Catalog;
use crate::catalog::change::Change;
use crate::catalog::change::Op;
use crate::catalog::change::Outcome;
use crate::catalog::edition::Edition;
use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::id::Version;
use crate::id::VmName;
use crate::operator::ack_tracker::AckCount;
use crate::operator::ack_tracker::AckTracker;
use crate::operator::table::MethodTable;
use crate::operator::table::Reply;
use crate::replica::Role;
use crate::replication::Replication;
use crate::rpc::Client;
use crate::secret::Secret;
use crate::settings::ControlSettings;
use crate::timer::Timer;
use crate::view::View;

/// Time that a call with a security change waits for the witness group before it is answered with `Pending`.
/// Entry VMs fetch every 500 ms, so a fleet without faults needs about one second.
pub const WITNESS_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that `config.fetch` waits for the confirmation of leadership; without it, the answer is marked as not
/// from the leader.
const LEADERSHIP_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a call that waits for acknowledgements checks them.
const ACK_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Interval at which the leader checks whether the joint phase of a witness group can end.
const WITNESS_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Clients of another control VM, one for each secret.
struct PeerClients {
    operator: Arc<Client>,
    fleet: Arc<Client>,
}

/// The last exchange that confirmed, or failed to confirm, the leadership of this replica.
struct LeadershipCheck {
    started: Instant,
    result: Result<()>,
}

/// Answers the calls of operators and entry VMs on one control replica.
pub struct Operator {
    vm: VmName,
    replication: Arc<Replication<Catalog>>,
    ack_tracker: Mutex<AckTracker>,
    peers: HashMap<VmName, PeerClients>,
    last_check: AsyncMutex<Option<LeadershipCheck>>,
    calls: IntCounterVec,
}

impl Operator {
    /// Creates the operator interface and starts the task that ends the joint phase of witness groups.
    ///
    /// # Errors
    /// `Kernel` if a metric of the same name is registered.
    pub fn spawn(
        settings: &ControlSettings,
        operator: &Secret,
        fleet: &Secret,
        replication: Arc<Replication<Catalog>>,
        timer: &Timer,
        registry: &Registry,
    ) -> Result<Arc<Self>> {
        let common = &settings.common;
        let others = common.control.iter().filter(|p| p.vm != common.vm);
        let peers = others
            .map(|p| {
                let clients = PeerClients {
                    operator: Arc::new(Client::new(p.address, operator.clone())),
                    fleet: Arc::new(Client::new(p.address, fleet.clone())),
                };
                (p.vm.clone(), clients)
            })
            .collect();
        let failed = |e: prometheus::Error| Error::new(Code::Kernel, format!("metric: {e}"));
        let opts = Opts::new(
            "zinnia_control_calls_total",
            "Calls by method and result code; calls with a wrong secret have no method.",
        );
        let calls = IntCounterVec::new(opts, &["method", "code"]).map_err(failed)?;
        registry.register(Box::new(calls.clone())).map_err(failed)?;
        let this = Arc::new(Self {
            vm: common.vm.clone(),
            replication,
            ack_tracker: Mutex::default(),
            peers,
            last_check: AsyncMutex::new(None),
            calls,
        });
        let ticks = timer.subscribe(WITNESS_CHECK_PERIOD);
        let weak = Arc::downgrade(&this);
        task::spawn(async move {
            while ticks.next().await.is_some() {
                let Some(this) = weak.upgrade() else { return };
                this.end_joint_phase().await;
            }
        });
        Ok(this)
    }

    /// RPC methods for operators.
    ///
    /// # Errors
    /// `Kernel` if a method is registered twice.
    pub fn operator_module(self: &Arc<Self>) -> Result<RpcModule<()>> {
        let client = |o: &Operator, vm: &str| o.peers.get(vm).map(|p| Arc::clone(&p.operator));
        let mut table = MethodTable::new("operator.forward", client);
        change::add(&mut table);
        domain::add(&mut table);
        edition::add(&mut table);
        show::add(&mut table);
        table.module(self)
    }

    /// RPC methods for other processes; the caller adds those of the replicated log.
    ///
    /// # Errors
    /// `Kernel` if a method is registered twice.
    pub fn process_module(self: &Arc<Self>) -> Result<RpcModule<()>> {
        let client = |o: &Operator, vm: &str| o.peers.get(vm).map(|p| Arc::clone(&p.fleet));
        let mut table = MethodTable::new("process.forward", client);
        process::add(&mut table);
        table.module(self)
    }

    /// Configuration at this replica.
    pub fn view(&self) -> Arc<View> {
        self.replication.read(Catalog::view)
    }

    /// Number of registered VMs that have acknowledged a version to this replica.
    pub fn ack_count(&self, version: Version) -> AckCount {
        self.ack_tracker.lock().unwrap().ack_count(&self.view(), version)
    }

    /// Whether the edition in force has the same records as this one.
    fn has_edition(&self, edition: &Edition) -> bool {
        let current = self.replication.read(Catalog::edition);
        current.is_some_and(|c| *c == *edition)
    }

    fn is_leader(&self) -> bool {
        self.replication.status().role == Role::Leader
    }

    fn leader(&self) -> Option<VmName> {
        self.replication.status().leader
    }

    /// Counts a call with a wrong secret. It is not logged, since any sender could flood the log.
    pub(crate) fn count_unauthorized(&self) {
        let number = Code::Unauthorized.number().to_string();
        self.calls.with_label_values(&["", &number]).inc();
    }

    /// Counts a call by its result, and records refusals in the log and as events for `zinnia-events`.
    fn record_reply(&self, method: &'static str, reply: &Reply) {
        let number = reply.as_ref().err().map_or(0, |e| e.code());
        self.calls.with_label_values(&[method, &number.to_string()]).inc();
        let Err(fault) = reply else { return };
        if method != "config.fetch" {
            let code = u16::try_from(number).unwrap_or_default();
            let about = About {
                code,
                ..About::detail(format!("{method}: {}", fault.message()))
            };
            event::record(Kind::ChangeRefused, about);
            warn!("{method} refused with {number}: {}", fault.message());
        }
    }

    /// Replicates a change and returns its outcome.
    async fn propose(&self, change: &Change) -> Result<Outcome> {
        let data =
            serde_json::to_vec(change).map_err(|e| Error::new(Code::BadParams, format!("change: {e}")))?;
        let outcome = self.replication.propose(data).await?;
        let outcome: Outcome = serde_json::from_slice(&outcome)
            .map_err(|e| Error::new(Code::BadAnswer, format!("outcome: {e}")))?;
        if outcome.fault.is_none() && !outcome.repeated {
            let detail = format!("{} version {} change {}", change.op, outcome.version, change.id);
            event::record(Kind::ChangeAccepted, About::detail(detail));
        }
        Ok(outcome)
    }

    /// Confirms that this replica led a majority at some time after the call began.
    ///
    /// Concurrent calls share one exchange with the other replicas.
    ///
    /// # Errors
    /// Those of [`Replication::read_index`].
    async fn confirm_leadership(&self) -> Result<()> {
        let called = Instant::now();
        let mut last_check = self.last_check.lock().await;
        if let Some(last) = last_check.as_ref().filter(|c| c.started >= called) {
            return last.result.clone();
        }
        let started = Instant::now();
        let result = self.replication.read_index().await.map(|_| ());
        *last_check = Some(LeadershipCheck {
            started,
            result: result.clone(),
        });
        result
    }

    /// Like `confirm_leadership`; `false` if it fails or takes longer than [`LEADERSHIP_TIMEOUT`].
    async fn try_confirm_leadership(&self) -> bool {
        matches!(
            future::timeout(LEADERSHIP_TIMEOUT, self.confirm_leadership()).await,
            Ok(Ok(()))
        )
    }

    /// Waits until a majority of the witness group has acknowledged a version; false after a timeout.
    async fn wait_for_witnesses(&self, version: Version) -> bool {
        self.wait_for_acks(WITNESS_TIMEOUT, |tracker, view| tracker.has_quorum(view, version))
            .await
    }

    /// Waits until a condition on the acknowledgements holds; false after a timeout.
    async fn wait_for_acks(&self, timeout: Duration, done: impl Fn(&AckTracker, &View) -> bool) -> bool {
        let end = Instant::now() + timeout;
        loop {
            let view = self.view();
            if done(&self.ack_tracker.lock().unwrap(), &view) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            task::sleep(ACK_POLL_PERIOD).await;
        }
    }

    /// Ends the joint phase of a witness group once majorities of both groups have acknowledged the change.
    async fn end_joint_phase(&self) {
        if !self.is_leader() {
            return;
        }
        let (view, version) = self.replication.read(|c| (c.view(), c.witness_version()));
        let is_due = {
            let mut tracker = self.ack_tracker.lock().unwrap();
            tracker.prune(&view);
            !view.witnesses.previous.is_empty() && tracker.has_quorum(&view, version)
        };
        if !is_due {
            return;
        }
        let change = Change {
            id: "settle".into(),
            expect: 0,
            op: Op::WitnessSettle { version },
        };
        match self.propose(&change).await {
            Ok(_) => info!("witness group change completed: version={version}"),
            Err(e) => warn!("witness group change not completed: version={version}: {e}"),
        }
    }
}

/// Registers the operator interface with the components. It has nothing to stop, since the HTTP server
/// finishes the calls in progress.
pub struct OperatorComponent(pub Arc<Operator>);

impl Component for OperatorComponent {
    const NAME: &'static str = "operator";

    async fn stop(&self) {}
}
