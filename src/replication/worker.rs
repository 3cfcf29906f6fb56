//! The thread that owns a replica and its journal.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use async_std::channel::Receiver;
use async_std::task;

use super::Event;
use super::ReplySender;
use super::Shared;
use super::StateMachine;
use super::TimedStatus;
use super::Transport;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::id::Index;
use crate::id::Term;
use crate::id::VmName;
use crate::journal::Journal;
use crate::replica::Content;
use crate::replica::Entry;
use crate::replica::Envelope;
use crate::replica::Input;
use crate::replica::Output;
use crate::replica::Replica;
use crate::replica::Snapshot;

/// Applied entries between snapshots.
const SNAPSHOT_ENTRIES: u64 = 1_000;
/// Size of the applied commands, in bytes, after which a snapshot is taken before there are that many entries. The
/// entries since the snapshot are kept in memory, and applied again at the next start.
const SNAPSHOT_BYTES: usize = 1 << 20;
/// The same relative to the size of the latest snapshot, since writing a large one takes long.
const SNAPSHOT_RATIO: usize = 2;
/// Largest number of events that are handled with one sync.
const MAX_BATCH_EVENTS: usize = 1_024;

/// A proposal that is in the log of the leader but not applied yet.
struct AcceptedProposal {
    term: Term,
    reply: ReplySender<Vec<u8>>,
}

/// The replica, the journal and the calls that are not answered yet.
pub(super) struct Worker<M, T> {
    events: Receiver<Event>,
    replica: Replica,
    journal: Journal,
    transport: T,
    shared: Arc<Shared<M>>,
    /// Number of the latest event, which identifies a proposal or read index request.
    last_token: u64,
    /// Proposals that the replica has not accepted yet, by token.
    proposals: HashMap<u64, ReplySender<Vec<u8>>>,
    /// Read index requests by token.
    reads: HashMap<u64, ReplySender<Index>>,
    /// Accepted proposals by the index of their entry.
    accepted_proposals: BTreeMap<Index, AcceptedProposal>,
    applied: Index,
    /// Last entry of the latest snapshot.
    snapshot_index: Index,
    /// Size of the latest snapshot, in bytes.
    snapshot_size: usize,
    /// Size of the commands applied since then, in bytes.
    applied_bytes: usize,
}

impl<M: StateMachine, T: Transport> Worker<M, T> {
    pub(super) fn new(
        events: Receiver<Event>,
        replica: Replica,
        journal: Journal,
        transport: T,
        shared: Arc<Shared<M>>,
        snapshot_size: usize,
    ) -> Self {
        let applied = replica.status().applied;
        Self {
            events,
            replica,
            journal,
            transport,
            shared,
            last_token: 0,
            proposals: HashMap::new(),
            reads: HashMap::new(),
            accepted_proposals: BTreeMap::new(),
            applied,
            snapshot_index: applied,
            snapshot_size,
            applied_bytes: 0,
        }
    }

    /// Runs until it is stopped, all handles are dropped, or an output fails.
    pub(super) fn run(mut self) {
        if let Err(error) = self.serve() {
            log::error!("replica stopped: {error}");
            *self.shared.failure.lock().unwrap() = Some(error);
        }
    }

    fn serve(&mut self) -> Result<()> {
        while let Ok(first) = task::block_on(self.events.recv()) {
            let mut outputs = Vec::new();
            let mut event = Some(first);
            let mut count = 0;
            let mut has_tick = false;
            while let Some(next) = event {
                match next {
                    Event::Stop => return Ok(()),
                    Event::Tick => has_tick = true,
                    next => outputs.extend(self.handle(next)),
                }
                count += 1;
                event = match count < MAX_BATCH_EVENTS {
                    true => self.events.try_recv().ok(),
                    false => None,
                };
            }
            // Messages that arrived during a slow sync are handled before timeouts, which they may prevent.
            if has_tick {
                outputs.extend(self.replica.step(Instant::now(), Input::Tick));
            }
            self.execute_all(outputs)?;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Vec<Output> {
        self.last_token += 1;
        let token = self.last_token;
        let input = match event {
            Event::Tick | Event::Stop => return Vec::new(),
            Event::Message(envelope) => Input::Message(envelope),
            Event::Peers(peers) => Input::Peers(peers),
            Event::Propose(data, reply) => {
                self.proposals.insert(token, reply);
                Input::Propose { token, data }
            }
            Event::ReadIndex(reply) => {
                self.reads.insert(token, reply);
                Input::ReadIndex { token }
            }
        };
        self.replica.step(Instant::now(), input)
    }

    /// Carries out outputs, and the outputs of the inputs that result from them.
    fn execute_all(&mut self, mut outputs: Vec<Output>) -> Result<()> {
        while !outputs.is_empty() {
            let inputs = self.execute_batch(outputs)?;
            let now = Instant::now();
            outputs = inputs
                .into_iter()
                .flat_map(|i| self.replica.step(now, i))
                .collect();
        }
        *self.shared.status.lock().unwrap() = TimedStatus::of(&self.replica);
        Ok(())
    }

    /// Carries out outputs in order with one sync; those after the first write are carried out after the
    /// sync. Returns the inputs for the replica that result from them.
    fn execute_batch(&mut self, outputs: Vec<Output>) -> Result<Vec<Input>> {
        let mut inputs = Vec::new();
        let mut persisted = None;
        let mut deferred = Vec::new();
        let mut needs_sync = false;
        for output in outputs {
            match output {
                Output::SaveHardState(hard_state) => {
                    self.journal.save_hard_state(hard_state)?;
                    needs_sync = true;
                }
                Output::Append { from, entries } => {
                    fail::fail_point!("replication::before_append");
                    self.journal.append(from, &entries)?;
                    persisted = entries.last().map(|e| (e.index, e.term));
                    needs_sync = true;
                }
                Output::SaveSnapshot(snapshot) => {
                    self.journal.save_snapshot(&snapshot)?;
                    self.snapshot_index = snapshot.index;
                    self.snapshot_size = snapshot.data.len();
                }
                output if needs_sync => deferred.push(output),
                output => self.execute(output)?,
            }
        }
        if needs_sync {
            fail::fail_point!("replication::before_sync");
            self.journal.sync()?;
            fail::fail_point!("replication::after_sync");
        }
        for output in deferred {
            self.execute(output)?;
        }
        if let Some((index, term)) = persisted {
            inputs.push(Input::Persisted { index, term });
        }
        inputs.extend(self.snapshot_if_due());
        Ok(inputs)
    }

    /// Carries out an output that does not write to the disk.
    fn execute(&mut self, output: Output) -> Result<()> {
        match output {
            Output::Send(envelope) => self.send(envelope),
            Output::Apply(entry) => self.apply(entry),
            Output::Restore(snapshot) => self.restore(&snapshot)?,
            Output::Accepted { token, index, term } => self.on_accepted(token, index, term),
            Output::ReadConfirmed { token, .. } => {
                // Outputs are carried out in order, so every committed entry is applied here.
                let applied = self.applied;
                let reply = self.reads.remove(&token);
                let _ = reply.map(|r| r.send(Ok(applied)));
            }
            Output::Rejected { token, leader } => self.on_rejected(token, leader),
            Output::RoleChanged(role) => {
                let status = self.replica.status();
                event::record(
                    Kind::Role,
                    About::detail(format!("{role} in term {}", status.term)),
                );
                let leader = status.leader.unwrap_or_default();
                log::info!("replica is {role} in term {}, leader \"{leader}\"", status.term);
            }
            Output::SaveHardState(_) | Output::Append { .. } | Output::SaveSnapshot(_) => {}
        }
        Ok(())
    }

    fn send(&mut self, envelope: Envelope) {
        fail::fail_point!("replication::before_send");
        self.transport.send(envelope);
    }

    fn on_accepted(&mut self, token: u64, index: Index, term: Term) {
        let Some(reply) = self.proposals.remove(&token) else {
            return;
        };
        let earlier = self
            .accepted_proposals
            .insert(index, AcceptedProposal { term, reply });
        // The earlier proposal is no longer in this log, but another replica may still commit it.
        let _ = earlier.map(|p| p.reply.send(Err(Code::NoQuorum.into())));
    }

    fn apply(&mut self, entry: Entry) {
        fail::fail_point!("replication::before_apply");
        self.applied = entry.index;
        self.applied_bytes += entry.size();
        let result = match &entry.content {
            Content::Data(data) => self.shared.machine.lock().unwrap().apply(entry.index, data),
            Content::Empty | Content::Membership(_) => Vec::new(),
        };
        let Some(proposal) = self.accepted_proposals.remove(&entry.index) else {
            return;
        };
        fail::fail_point!("replication::before_answer");
        // With another term, an entry of another leader has replaced the proposal.
        let result = match proposal.term == entry.term {
            true => Ok(result),
            false => Err(not_leader(self.replica.status().leader)),
        };
        let _ = proposal.reply.send(result);
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.shared.machine.lock().unwrap().restore(&snapshot.data)?;
        self.applied = snapshot.index;
        self.applied_bytes = 0;
        let later = self.accepted_proposals.split_off(&(snapshot.index + 1));
        for proposal in std::mem::replace(&mut self.accepted_proposals, later).into_values() {
            let _ = proposal.reply.send(Err(Code::NoQuorum.into()));
        }
        Ok(())
    }

    fn on_rejected(&mut self, token: u64, leader: Option<VmName>) {
        let error = not_leader(leader);
        if let Some(reply) = self.proposals.remove(&token) {
            let _ = reply.send(Err(error));
        } else if let Some(reply) = self.reads.remove(&token) {
            let _ = reply.send(Err(error));
        }
    }

    fn snapshot_if_due(&mut self) -> Option<Input> {
        let max_bytes = SNAPSHOT_BYTES.max(self.snapshot_size * SNAPSHOT_RATIO);
        if self.applied < self.snapshot_index + SNAPSHOT_ENTRIES && self.applied_bytes < max_bytes {
            return None;
        }
        let index = self.applied;
        self.snapshot_index = index;
        self.applied_bytes = 0;
        let state = self.shared.machine.lock().unwrap().snapshot().into();
        Some(Input::Compact { index, state })
    }
}

impl<M, T> Drop for Worker<M, T> {
    /// Runs after a panic too: callers must neither wait for this replica nor use it as the leader.
    fn drop(&mut self) {
        self.events.close();
        if let Ok(mut status) = self.shared.status.lock() {
            status.leader_until = None;
        }
    }
}

fn not_leader(leader: Option<VmName>) -> Error {
    let detail = leader.map_or_else(|| "no leader is known".into(), String::from);
    Error::new(Code::NotLeader, detail)
}
