//! Replication component: runs a replica with its journal, and exchanges messages with other replicas by RPC.
//!
//! One thread owns the replica and the journal. It takes all queued events, steps the replica, syncs the
//! journal once for all of them, and then sends messages, applies entries and answers callers.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::task;
use futures::channel::oneshot;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::Value;

use self::worker::Worker;
use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::id::Index;
use crate::id::Term;
use crate::id::VmName;
use crate::journal::Journal;
use crate::rendezvous;
use crate::replica::Bytes;
use crate::replica::Content;
use crate::replica::Entry;
use crate::replica::Envelope;
use crate::replica::HardState;
use crate::replica::Member;
use crate::replica::Membership;
use crate::replica::Message;
use crate::replica::Replica;
use crate::replica::ReplicaSettings;
use crate::replica::ReplicaStatus;
use crate::replica::Role;
use crate::replica::StoredState;
use crate::rpc::Client;
use crate::secret::Secret;
use crate::settings::ControlSettings;
use crate::timer::Ticks;
use crate::timer::Timer;

mod worker;

/// JSON-RPC method through which replicas exchange messages.
pub const RPC_METHOD: &str = "replica.step";
/// Capacity of the worker's event queue. When it is full, messages are dropped and callers wait.
const EVENT_QUEUE_LENGTH: usize = 4_096;
/// Capacity of the queue of small messages to one peer. Messages beyond it are dropped; the replica sends
/// what is still needed again.
const SMALL_QUEUE_LENGTH: usize = 64;
/// Concurrent calls with small messages to one peer, so that a call without an answer does not block the
/// next.
const MAX_SMALL_CALLS: usize = 3;
/// Capacity of the queue of messages with entries or parts of snapshots to one peer. The replica repeats a
/// message that is not answered, so one is enough for each replica on the peer: after a loss of its disk, the
/// former one and the new one are members until the new one has caught up.
const LARGE_QUEUE_LENGTH: usize = 2;
/// Concurrent calls with entries or parts of snapshots to one peer: one can be stuck on a connection that no
/// longer responds.
const MAX_LARGE_CALLS: usize = 2;
/// Slowest expected link. The timeout of a call grows with its size: with a fixed timeout, a batch too large
/// for a slow link would be cancelled and sent again forever.
const MIN_LINK_BYTES_PER_S: usize = 100_000;
/// Ticks of the replica per heartbeat interval; its timeouts are checked only at ticks.
const TICKS_PER_HEARTBEAT: u32 = 4;
/// Timeout of `propose` and `read_index`, in election timeouts: enough to detect the loss of the leader and
/// elect a new one.
const CALL_ELECTION_TIMEOUTS: u32 = 5;

/// Term of the first entry of a bootstrapped group.
const FIRST_TERM: Term = 1;

/// The replicated state machine; it must be deterministic.
pub trait StateMachine: Send + 'static {
    /// Applies a command and returns its result, which must depend on the state and the arguments only.
    fn apply(&mut self, index: Index, data: &[u8]) -> Vec<u8>;

    /// Serializes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by one from `snapshot`.
    ///
    /// # Errors
    /// `Corrupt` if the data cannot be read; the replica then stops.
    fn restore(&mut self, data: &[u8]) -> Result<()>;
}

/// Sends messages to other replicas, without a guarantee of delivery.
pub trait Transport: Send + 'static {
    /// Sends a message without waiting for its delivery.
    fn send(&mut self, envelope: Envelope);
}

/// How a replica starts on an empty disk.
#[derive(Debug, Clone, Default)]
pub struct Bootstrap {
    /// The first voters, in the same order on each of them; empty if the replica sends join requests instead.
    pub voters: Vec<VmName>,
}

/// Returns the result of a call to its caller.
type ReplySender<T> = oneshot::Sender<Result<T>>;

/// An event for the worker.
enum Event {
    Tick,
    Message(Envelope),
    Peers(Vec<VmName>),
    Propose(Bytes, ReplySender<Vec<u8>>),
    ReadIndex(ReplySender<Index>),
    Stop,
}

/// The status of a replica, with the time after which it names no leader. The worker cannot update it while it waits
/// for the disk, and another replica may be elected meanwhile.
struct TimedStatus {
    status: ReplicaStatus,
    leader_until: Option<Instant>,
}

impl TimedStatus {
    fn of(replica: &Replica) -> Self {
        Self {
            status: replica.status(),
            leader_until: replica.leader_until(Instant::now()),
        }
    }

    fn at(&self, now: Instant) -> ReplicaStatus {
        let mut status = self.status.clone();
        if self.leader_until.is_none_or(|until| now >= until) {
            status.leader = None;
            if status.role == Role::Leader {
                status.role = Role::Follower;
            }
        }
        status
    }
}

/// State that the handles and the worker share.
struct Shared<M> {
    machine: Mutex<M>,
    status: Mutex<TimedStatus>,
    /// The error that stopped the worker.
    failure: Mutex<Option<Error>>,
}

/// A running replica of a state machine.
pub struct Replication<M> {
    shared: Arc<Shared<M>>,
    events: Sender<Event>,
    worker: Mutex<Option<JoinHandle<()>>>,
    call_timeout: Duration,
}

impl<M: StateMachine> Replication<M> {
    /// Reads the state from disk and starts the replica.
    ///
    /// # Errors
    /// `Io` if the data folder cannot be read or written, `Corrupt` if a file in it is damaged or the
    /// state machine cannot read its snapshot.
    pub async fn open(settings: &ControlSettings, secret: Secret, machine: M, timer: &Timer) -> Result<Self> {
        let common = &settings.common;
        let peers = common.control.iter().map(|p| p.vm.clone()).collect();
        let replica_settings =
            ReplicaSettings::new(common.vm.clone(), peers, settings.heartbeat, settings.election);
        let others = common.control.iter().filter(|p| p.vm != common.vm);
        let clients = others.map(|p| (p.vm.clone(), Client::new(p.address, secret.clone())));
        let transport = RpcTransport(
            clients
                .map(|(vm, client)| (vm, PeerQueues::spawn(client, settings.election)))
                .collect(),
        );
        Self::open_with_transport(
            replica_settings,
            &settings.data,
            &Bootstrap::default(),
            machine,
            timer,
            transport,
        )
        .await
    }

    /// Like `open`, with the given settings, bootstrap and transport.
    ///
    /// # Errors
    /// As for `open`.
    pub async fn open_with_transport<T: Transport>(
        settings: ReplicaSettings,
        folder: &Path,
        bootstrap: &Bootstrap,
        mut machine: M,
        timer: &Timer,
        transport: T,
    ) -> Result<Self> {
        let (folder, bootstrap, vm) = (folder.to_owned(), bootstrap.clone(), settings.vm.clone());
        let (journal, stored) = task::spawn_blocking(move || open_journal(&folder, &vm, &bootstrap)).await?;
        if let Some(snapshot) = &stored.snapshot {
            machine.restore(&snapshot.data)?;
        }
        let snapshot_size = stored.snapshot.as_ref().map_or(0, |s| s.data.len());
        let (heartbeat_interval, election_timeout) = (settings.heartbeat_interval, settings.election_timeout);
        let replica = Replica::new(settings, stored, Instant::now(), random_u64()?);
        let shared = Arc::new(Shared {
            machine: Mutex::new(machine),
            status: Mutex::new(TimedStatus::of(&replica)),
            failure: Mutex::default(),
        });
        let (events, event_receiver) = channel::bounded(EVENT_QUEUE_LENGTH);
        let worker = Worker::new(
            event_receiver,
            replica,
            journal,
            transport,
            Arc::clone(&shared),
            snapshot_size,
        );
        let worker = thread::Builder::new()
            .name("replication".into())
            .spawn(move || worker.run())
            .map_err(|e| Error::io("cannot start the replication thread", &e))?;
        let ticks = timer.subscribe(heartbeat_interval / TICKS_PER_HEARTBEAT);
        task::spawn(forward_ticks(ticks, events.clone()));
        Ok(Self {
            shared,
            events,
            worker: Mutex::new(Some(worker)),
            call_timeout: election_timeout * CALL_ELECTION_TIMEOUTS,
        })
    }

    /// Queues a message from another replica; it is dropped if the queue is full.
    pub fn receive(&self, envelope: Envelope) {
        if self.events.try_send(Event::Message(envelope)).is_err() {
            log::debug!("message from a replica dropped: the event queue is full or closed");
        }
    }

    /// Sets the control VMs that receive join requests in a group with dynamic membership.
    pub fn set_peers(&self, peers: Vec<VmName>) {
        if self.events.try_send(Event::Peers(peers)).is_err() {
            log::debug!("list of control VMs dropped: the event queue is full or closed");
        }
    }

    /// Proposes a command and waits until it is committed and applied; returns the result of `apply`.
    ///
    /// # Errors
    /// `NotLeader`: the command was not applied; the detail is the VM name of the leader, if one is known.
    /// `NoQuorum`, `Io` (the disk failed): the outcome is unknown. `Stopping`: the command was not proposed.
    pub async fn propose(&self, data: Vec<u8>) -> Result<Vec<u8>> {
        fail::fail_point!("replication::propose");
        let (reply, result) = oneshot::channel();
        self.call(Event::Propose(data.into(), reply), result).await
    }

    /// Confirms leadership with a majority and returns the last index applied on this replica. A later read
    /// of this replica sees every change that was committed before the call.
    ///
    /// # Errors
    /// As for `propose`; the state is not changed in any case.
    pub async fn read_index(&self) -> Result<Index> {
        let (reply, result) = oneshot::channel();
        self.call(Event::ReadIndex(reply), result).await
    }

    /// Reads the state of this replica, which may be behind that of the leader.
    pub fn read<T>(&self, f: impl FnOnce(&M) -> T) -> T {
        f(&self.shared.machine.lock().unwrap())
    }

    /// Role, term, leader, indexes and membership. Role and leader hold at the time of the call, also while the
    /// replica waits for its disk: a leader whose term another replica may have ended is no leader here.
    pub fn status(&self) -> ReplicaStatus {
        self.shared.status.lock().unwrap().at(Instant::now())
    }

    /// The error that stopped the replica: a failed disk or a damaged snapshot.
    pub fn failure(&self) -> Option<Error> {
        self.shared.failure.lock().unwrap().clone()
    }

    /// Registers the RPC method that receives the messages of other replicas.
    ///
    /// # Errors
    /// `Kernel` if the method is registered already.
    pub fn register(&self, module: &mut RpcModule<()>) -> Result<()> {
        let events = self.events.clone();
        let method = move |params: jsonrpsee::types::Params<'_>, _: &(), _: &_| {
            let envelope: Envelope = params.parse()?;
            // A message that does not fit into the queue counts as lost; the sender repeats it.
            let _ = events.try_send(Event::Message(envelope));
            Ok::<_, ErrorObjectOwned>(Value::Null)
        };
        module
            .register_method(RPC_METHOD, method)
            .map(|_| ())
            .map_err(|e| Error::new(Code::Kernel, e.to_string()))
    }

    async fn call<T>(&self, event: Event, result: oneshot::Receiver<Result<T>>) -> Result<T> {
        let exchange = async {
            if self.events.send(event).await.is_err() {
                return Err(self.stopped_error());
            }
            // The event was queued, so the other replicas may still commit the command.
            let unknown = || self.failure().unwrap_or_else(|| Code::NoQuorum.into());
            result.await.unwrap_or_else(|_| Err(unknown()))
        };
        future::timeout(self.call_timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(Code::NoQuorum.into()))
    }

    fn stopped_error(&self) -> Error {
        let failure = self.failure();
        failure.unwrap_or_else(|| Error::new(Code::Stopping, "the replica has stopped"))
    }
}

impl<M: StateMachine> Component for Replication<M> {
    const NAME: &'static str = "replication";

    async fn stop(&self) {
        let _ = self.events.send(Event::Stop).await;
        let worker = self.worker.lock().unwrap().take();
        task::spawn_blocking(move || worker.map(JoinHandle::join)).await;
    }
}

impl<M> Drop for Replication<M> {
    fn drop(&mut self) {
        self.events.close();
    }
}

/// Opens the journal. On an empty disk, the identity of the replica is stored before any message is sent.
///
/// The bootstrap voters derive their identities from their VM names, so that all of them write the same
/// first entry without exchanging messages. Any other replica, such as one on a replaced disk, gets a random
/// identity.
fn open_journal(folder: &Path, vm: &VmName, bootstrap: &Bootstrap) -> Result<(Journal, StoredState)> {
    let (mut journal, stored) = Journal::open(folder)?;
    if let Some(stored) = stored {
        return Ok((journal, stored));
    }
    let mut stored = StoredState {
        hard_state: HardState {
            id: random_u64()?,
            term: 0,
            vote: None,
        },
        snapshot: None,
        log: Vec::new(),
    };
    if bootstrap.voters.contains(vm) {
        let member = |vm: &VmName| Member {
            vm: vm.clone(),
            id: rendezvous::hash(&[b"founder", vm.as_bytes()]),
        };
        let voters: Vec<Member> = bootstrap.voters.iter().map(member).collect();
        stored.hard_state.id = member(vm).id;
        stored.hard_state.term = FIRST_TERM;
        let learners = Vec::new();
        stored.log.push(Entry {
            index: 1,
            term: FIRST_TERM,
            content: Content::Membership(Membership { voters, learners }),
        });
    }
    journal.save_hard_state(stored.hard_state)?;
    if !stored.log.is_empty() {
        journal.append(1, &stored.log)?;
        journal.sync()?;
    }
    Ok((journal, stored))
}

fn random_u64() -> Result<u64> {
    getrandom::u64().map_err(|e| Error::new(Code::Io, format!("cannot get random bytes: {e}")))
}

/// Sends messages by JSON-RPC to a fixed list of control VMs.
struct RpcTransport(BTreeMap<VmName, PeerQueues>);

impl Transport for RpcTransport {
    fn send(&mut self, envelope: Envelope) {
        if let Some(peer) = self.0.get(&envelope.to) {
            peer.send(envelope);
        }
    }
}

/// Queues of messages to one peer. Entries and parts of snapshots have a separate queue, so that they do not
/// delay heartbeats and votes.
struct PeerQueues {
    small: Sender<Envelope>,
    large: Sender<Envelope>,
}

impl PeerQueues {
    /// Starts the tasks that deliver messages to one peer.
    fn spawn(client: Client, election_timeout: Duration) -> Self {
        let (small, small_queue) = channel::bounded(SMALL_QUEUE_LENGTH);
        let (large, large_queue) = channel::bounded(LARGE_QUEUE_LENGTH);
        let client = Arc::new(client);
        for _ in 0..MAX_SMALL_CALLS {
            task::spawn(deliver_queued(
                Arc::clone(&client),
                small_queue.clone(),
                election_timeout,
            ));
        }
        for _ in 0..MAX_LARGE_CALLS {
            task::spawn(deliver_queued(
                Arc::clone(&client),
                large_queue.clone(),
                election_timeout,
            ));
        }
        Self { small, large }
    }

    /// Queues a message; it is dropped if the queue is full.
    fn send(&self, envelope: Envelope) {
        let is_large = matches!(envelope.body, Message::Append { .. } | Message::Chunk { .. });
        let queue = if is_large { &self.large } else { &self.small };
        let _ = queue.try_send(envelope);
    }
}

async fn deliver_queued(client: Arc<Client>, receiver: Receiver<Envelope>, election_timeout: Duration) {
    while let Ok(envelope) = receiver.recv().await {
        let transfer_seconds = envelope.body.encoded_size() as f64 / MIN_LINK_BYTES_PER_S as f64;
        let timeout = election_timeout + Duration::from_secs_f64(transfer_seconds);
        // The replica repeats messages that are not answered, so a failed call needs no retry here.
        let _ = client.call::<_, Value>(RPC_METHOD, &envelope, timeout).await;
    }
}

async fn forward_ticks(ticks: Ticks, events: Sender<Event>) {
    while ticks.next().await.is_some() {
        if matches!(
            events.try_send(Event::Tick),
            Err(channel::TrySendError::Closed(_))
        ) {
            return;
        }
    }
}
