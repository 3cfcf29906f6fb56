//! Core of the replicated log: a Raft replica without I/O, driven by time and inputs.
//!
//! The algorithm is Raft with pre-vote, leader step-down, learners and single-server membership
//! changes. It differs in one point: a replica is identified by its disk and not by its VM, so that
//! a VM that lost its disk cannot vote or acknowledge entries under its former identity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use strum::Display;

use self::leader::Progress;
use self::log::Log;
pub use self::message::Bytes;
pub use self::message::Content;
pub use self::message::Entry;
pub use self::message::Envelope;
pub use self::message::HardState;
pub use self::message::Member;
pub use self::message::Membership;
pub use self::message::Message;
pub use self::message::ReplicaId;
pub use self::message::Snapshot;
pub use self::message::StoredState;
pub use self::settings::ReplicaSettings;
use crate::id::Index;
use crate::id::Term;
use crate::id::VmName;

mod election;
mod follower;
mod leader;
mod log;
mod member;
mod message;
mod settings;

/// With dynamic membership, divides the election timeout of a candidate, and of a replica without contact
/// with a leader in the current term.
const SHORT_TIMEOUT_DIVISOR: u32 = 3;
/// With dynamic membership, divides the first election timeout after a start: when a whole group restarts,
/// the replicas connect within about 50 ms, and nothing is served before there is a leader.
const STARTUP_TIMEOUT_DIVISOR: u32 = 8;

/// Size of committed entries after which one step ends. Applying large entries takes so long that the heartbeats
/// between them must be handled.
const COMMIT_STEP_BYTES: usize = 1 << 20;

/// An input of a replica.
#[derive(Debug, Clone)]
pub enum Input {
    /// A periodic tick, at which the timers that are due fire.
    Tick,
    /// A message from another replica.
    Message(Envelope),
    /// A command for the state machine.
    Propose {
        /// Repeated in `Accepted` or `Rejected`.
        token: u64,
        /// The command.
        data: Bytes,
    },
    /// A request for the commit index after leadership is confirmed by a majority.
    ReadIndex {
        /// Repeated in `ReadConfirmed` or `Rejected`.
        token: u64,
    },
    /// Replaces the control VMs that receive join requests; used with dynamic membership only.
    Peers(Vec<VmName>),
    /// All appended entries up to this one are synced to disk.
    Persisted {
        /// Index of the last synced entry.
        index: Index,
        /// Term of that entry.
        term: Term,
    },
    /// A snapshot of the state machine, up to which the log may be compacted.
    Compact {
        /// Last entry that the state includes.
        index: Index,
        /// State of the state machine.
        state: Bytes,
    },
}

/// An action that the caller of [`Replica::step`] carries out.
///
/// Outputs are carried out in order. A `Send` or `Apply` that follows a `SaveHardState`, `Append`
/// or `SaveSnapshot` is carried out only after the sync.
#[derive(Debug, Clone)]
pub enum Output {
    /// Sends a message, which may be lost.
    Send(Envelope),
    /// Stores the hard state.
    SaveHardState(HardState),
    /// Stores entries; all stored entries from `from` on are replaced.
    Append {
        /// Index of the first entry, or the first index removed if there are none.
        from: Index,
        /// Entries without gaps.
        entries: Vec<Entry>,
    },
    /// Replaces the stored snapshot.
    SaveSnapshot(Snapshot),
    /// Applies a committed entry to the state machine.
    Apply(Entry),
    /// Replaces the state of the state machine.
    Restore(Snapshot),
    /// The command was appended to the log of the leader but is not committed yet.
    Accepted {
        /// From the proposal.
        token: u64,
        /// Its index in the log.
        index: Index,
        /// Its term; in a later term, another entry can replace it at the same index.
        term: Term,
    },
    /// A majority confirmed leadership after the read index was requested.
    ReadConfirmed {
        /// From the read index request.
        token: u64,
        /// Commit index. A state machine that has applied it includes every change committed before the
        /// request.
        index: Index,
    },
    /// The replica is not the leader; nothing was done.
    Rejected {
        /// From the proposal or read index request.
        token: u64,
        /// VM of the leader, if known.
        leader: Option<VmName>,
    },
    /// The role, term or leader changed.
    RoleChanged(Role),
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Receives the log but does not count for majorities.
    Learner,
    /// Replicates the log of a leader, or waits for an election.
    Follower,
    /// Requests pre-votes, which do not change the term.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Accepts commands and replicates the log.
    Leader,
}

/// Public state of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReplicaStatus {
    /// This VM.
    pub vm: VmName,
    /// Identity of its disk.
    pub id: ReplicaId,
    /// Role.
    pub role: Role,
    /// Latest term seen.
    pub term: Term,
    /// VM of the leader, if known.
    pub leader: Option<VmName>,
    /// Last entry known to be committed.
    pub commit: Index,
    /// Last entry applied to the state machine.
    pub applied: Index,
    /// Whether an entry of the current term is committed here, and so every entry committed in earlier terms
    /// is applied.
    pub is_current: bool,
    /// Last entry in the log.
    pub last: Index,
    /// Latest membership in the log of this replica, committed or not.
    pub membership: Membership,
}

/// State of one Raft replica.
pub struct Replica {
    settings: ReplicaSettings,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<VmName>,
    commit_index: Index,
    /// Last entry that is synced to the local disk.
    persisted_index: Index,
    /// When the last message of the current leader arrived.
    leader_contact: Option<Instant>,
    /// When an election starts unless a message of a leader arrives.
    election_deadline: Instant,
    /// When the next heartbeats (on the leader) or join requests (on other replicas) are due.
    heartbeat_due: Instant,
    /// Replicas that granted the pre-vote or vote, including this one.
    votes: BTreeSet<ReplicaId>,
    /// Replication state of the other members, on the leader only.
    progress: BTreeMap<ReplicaId, Progress>,
    /// Latest heartbeat round of the leader.
    heartbeat_round: u64,
    /// Recent heartbeat rounds of the leader and when they were sent, oldest first.
    round_starts: VecDeque<(u64, Instant)>,
    pending_reads: Vec<leader::PendingRead>,
    join_requests: BTreeMap<VmName, member::JoinRequest>,
    incoming_snapshot: Option<follower::IncomingSnapshot>,
    /// Role, term and leader at the last `RoleChanged`.
    reported_role: (Role, Term, Option<VmName>),
    rng: StdRng,
    outputs: Vec<Output>,
}

impl Replica {
    /// Creates a replica from its stored state. The state machine must already be restored from the stored
    /// snapshot.
    pub fn new(settings: ReplicaSettings, stored: StoredState, now: Instant, seed: u64) -> Self {
        let commit_index = stored.snapshot.as_ref().map_or(0, |s| s.index);
        let log = Log::new(stored.snapshot, stored.log);
        let mut replica = Self {
            settings,
            hard_state: stored.hard_state,
            role: Role::Follower,
            leader: None,
            commit_index,
            persisted_index: log.last(),
            log,
            leader_contact: None,
            election_deadline: now,
            heartbeat_due: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            heartbeat_round: 0,
            round_starts: VecDeque::new(),
            pending_reads: Vec::new(),
            join_requests: BTreeMap::new(),
            incoming_snapshot: None,
            reported_role: (Role::Learner, 0, None),
            rng: StdRng::seed_from_u64(seed),
            outputs: Vec::new(),
        };
        replica.reset_deadline(now);
        if replica.settings.is_dynamic {
            // After a restart of the whole group there is no leader. The pre-vote prevents a replica that
            // restarts alone from deposing a leader.
            replica.shorten_deadline(now, STARTUP_TIMEOUT_DIVISOR);
        }
        replica
    }

    /// Handles one input and returns the actions to carry out.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(envelope) => self.receive(now, envelope),
            Input::Propose { token, data } => self.propose(now, token, data),
            Input::ReadIndex { token } => self.request_read_index(now, token),
            Input::Peers(peers) => self.settings.peers = peers,
            Input::Persisted { index, term } => self.on_persisted(now, index, term),
            Input::Compact { index, state } => self.compact(index, state),
        }
        self.report_role();
        std::mem::take(&mut self.outputs)
    }

    /// The state for operators and tests. `applied` equals `commit`, because the step that commits an entry
    /// also outputs its `Apply`.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            vm: self.settings.vm.clone(),
            id: self.hard_state.id,
            role: self.effective_role(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            commit: self.commit_index,
            applied: self.commit_index,
            is_current: self.has_committed_own_term(),
            last: self.log.last(),
            membership: self.log.membership().cloned().unwrap_or_default(),
        }
    }

    /// Until when role and leader in [`Replica::status`] hold without another input. After that, another replica
    /// may have been elected. `None` if no leader is known, or the leader has no majority's confirmation yet.
    pub fn leader_until(&self, now: Instant) -> Option<Instant> {
        match self.role {
            Role::Leader => self.lease_end(now),
            _ => self.leader.as_ref().map(|_| self.election_deadline),
        }
    }

    fn tick(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.tick_leader(now);
            return;
        }
        // With dynamic membership, a voter may have been removed while it was unreachable, so that its own
        // log still lists it as a voter.
        if !self.is_voter() || self.settings.is_dynamic {
            self.send_join_requests(now);
        }
        if now >= self.election_deadline {
            self.reset_deadline(now);
            if self.settings.is_dynamic && self.leader_contact.is_none() {
                self.shorten_deadline(now, SHORT_TIMEOUT_DIVISOR);
            }
            self.leader = None;
            self.start_pre_vote(now);
        }
    }

    fn receive(&mut self, now: Instant, envelope: Envelope) {
        let is_for_self =
            envelope.to == self.settings.vm && envelope.to_id.is_none_or(|id| id == self.hard_state.id);
        // A message for the former identity of this VM must not be answered by the new one.
        if !is_for_self || envelope.from.id == self.hard_state.id {
            return;
        }
        let Envelope {
            from,
            to_id,
            term,
            body,
            ..
        } = envelope;
        // Pre-votes must not change the term, and a join request may come from outside the group. The
        // rejection of a pre-vote can carry a later term, which the candidate has to adopt.
        let adopts_term = !matches!(
            body,
            Message::Join { .. } | Message::PreVote { .. } | Message::PreVoteReply { granted: true, .. }
        );
        if adopts_term && term > self.hard_state.term {
            self.adopt_term(now, term);
        }
        match body {
            Message::Join { fresh } => self.on_join(now, from, to_id, term, fresh),
            Message::PreVote {
                term,
                last,
                last_term,
            } => self.on_pre_vote(now, from, term, last, last_term),
            Message::PreVoteReply { term, granted } => self.on_pre_vote_reply(now, from.id, term, granted),
            Message::Vote { last, last_term } => self.on_vote(now, from, term, last, last_term),
            Message::VoteReply { granted } => self.on_vote_reply(now, from.id, term, granted),
            body if term == self.hard_state.term => self.receive_current(now, from, body),
            // The reply carries the later term, so that a leader of an earlier term steps down.
            Message::Heartbeat { round, .. } => self.send(from, Message::HeartbeatReply { round }),
            Message::Append { .. } | Message::Chunk { .. } => {
                let index = self.commit_index;
                self.send(
                    from,
                    Message::AppendReply {
                        matched: false,
                        index,
                    },
                );
            }
            _ => {}
        }
    }

    /// Handles a message of the current term between a leader and its followers.
    fn receive_current(&mut self, now: Instant, from: Member, body: Message) {
        match body {
            Message::Heartbeat { commit, round } => self.on_heartbeat(now, from, commit, round),
            Message::Append {
                prev,
                prev_term,
                entries,
                commit,
            } => self.on_append(now, from, prev, prev_term, entries, commit),
            Message::Chunk { .. } => self.on_chunk(now, from, body),
            Message::HeartbeatReply { round } => self.on_heartbeat_reply(now, from.id, round),
            Message::AppendReply { matched, index } => self.on_append_reply(now, from.id, matched, index),
            Message::ChunkReply { index, received } => self.on_chunk_reply(now, from.id, index, received),
            _ => {}
        }
    }

    fn on_persisted(&mut self, now: Instant, index: Index, term: Term) {
        if self.log.term(index) != Some(term) {
            return;
        }
        self.persisted_index = self.persisted_index.max(index);
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
    }

    fn compact(&mut self, index: Index, state: Bytes) {
        let snapshot_index = self.log.snapshot().map_or(0, |s| s.index);
        if index <= snapshot_index || index > self.commit_index {
            return;
        }
        let (Some(term), Some(membership)) = (self.log.term(index), self.log.membership_at(index)) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            membership: membership.clone(),
            data: state,
        };
        self.outputs.push(Output::SaveSnapshot(snapshot.clone()));
        let (count, bytes) = (self.settings.retained_entries, self.settings.retained_bytes);
        let base = self.log.retained_base(index, count, bytes);
        self.log.compact(snapshot, base);
    }

    /// Advances the commit index and outputs the newly committed entries for applying, at most
    /// [`COMMIT_STEP_BYTES`] of them; the next message or tick continues.
    fn commit_to(&mut self, index: Index) {
        let mut bytes = 0;
        while self.commit_index < index && bytes < COMMIT_STEP_BYTES {
            self.commit_index += 1;
            let entry = self.log.get(self.commit_index).cloned();
            bytes += entry.as_ref().map_or(0, Entry::size);
            self.outputs.extend(entry.map(Output::Apply));
        }
    }

    fn is_voter(&self) -> bool {
        self.log
            .membership()
            .is_some_and(|m| m.is_voter(self.hard_state.id))
    }

    fn effective_role(&self) -> Role {
        if self.role == Role::Follower && !self.is_voter() {
            return Role::Learner;
        }
        self.role
    }

    /// Outputs a change of the role, term or leader.
    fn report_role(&mut self) {
        let current = (self.effective_role(), self.hard_state.term, self.leader.clone());
        if current != self.reported_role {
            self.outputs.push(Output::RoleChanged(current.0));
            self.reported_role = current;
        }
    }

    fn local_member(&self) -> Member {
        Member {
            vm: self.settings.vm.clone(),
            id: self.hard_state.id,
        }
    }

    fn send(&mut self, to: Member, body: Message) {
        self.send_to(to.vm, Some(to.id), body);
    }

    fn send_to(&mut self, to: VmName, to_id: Option<ReplicaId>, body: Message) {
        let envelope = Envelope {
            from: self.local_member(),
            to,
            to_id,
            term: self.hard_state.term,
            body,
        };
        self.outputs.push(Output::Send(envelope));
    }

    /// Divides the remaining time until the election deadline.
    fn shorten_deadline(&mut self, now: Instant, divisor: u32) {
        self.election_deadline = now + (self.election_deadline - now) / divisor;
    }

    /// Restarts the election timeout, with a random part against split votes.
    fn reset_deadline(&mut self, now: Instant) {
        let timeout = self.settings.election_timeout;
        let jitter = self.rng.random_range(Duration::ZERO..=timeout);
        self.election_deadline = now + timeout + jitter;
    }
}
