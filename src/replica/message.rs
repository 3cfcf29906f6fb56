//! Log entries, stored state and messages of the replicated log.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Index;
use crate::id::Term;
use crate::id::VmName;

/// Identity of a replica, bound to its disk: a VM that lost its disk gets a new one.
pub type ReplicaId = u64;
/// Shared immutable bytes.
pub type Bytes = Arc<[u8]>;

/// A replica and the VM that it runs on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM of the replica.
    pub vm: VmName,
    /// Identity of its disk.
    pub id: ReplicaId,
}

/// The replicas that vote and those that only receive the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that count for majorities.
    pub voters: Vec<Member>,
    /// Replicas that receive the log and become voters once they have caught up.
    pub learners: Vec<Member>,
}

impl Membership {
    /// Smallest number of voters that is a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica counts for majorities.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.iter().any(|m| m.id == id)
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.members().any(|m| m.id == id)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// The first entry of a new leader; entries of earlier terms are committed together with it.
    Empty,
    /// The membership in effect from this entry on.
    Membership(Membership),
    /// A command for the state machine.
    Data(#[serde(with = "hex_bytes")] Bytes),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, counted from 1.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// Command, membership change, or empty.
    pub content: Content,
}

impl Entry {
    /// Size of the command in bytes, which counts against the limit of one message.
    pub fn size(&self) -> usize {
        match &self.content {
            Content::Data(data) => data.len(),
            _ => 0,
        }
    }
}

/// Raft's hard state: what must survive a restart besides the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HardState {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Latest term seen.
    pub term: Term,
    /// Replica that received the vote of this one in `term`.
    pub vote: Option<ReplicaId>,
}

/// State of the state machine after applying all entries up to an index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership in effect at that entry.
    pub membership: Membership,
    /// Serialized state of the state machine.
    pub data: Bytes,
}

/// The state of a replica on disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredState {
    /// Identity, term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub log: Vec<Entry>,
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Member,
    /// VM of the receiver.
    pub to: VmName,
    /// Identity of the receiver, if known; a replica with another identity ignores the message.
    pub to_id: Option<ReplicaId>,
    /// Term of the sender.
    pub term: Term,
    /// The message.
    pub body: Message,
}

/// Content of a message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Requests membership for the sender.
    Join {
        /// Whether it has neither log nor snapshot.
        fresh: bool,
    },
    /// Raft's pre-vote request: asks whether the receiver would vote for the sender in `term`.
    PreVote {
        /// Term of the election that the sender would start.
        term: Term,
        /// Last entry of the sender.
        last: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers `PreVote`.
    PreVoteReply {
        /// Term from the request.
        term: Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Raft's `RequestVote`, for the term of the envelope.
    Vote {
        /// Last entry of the sender.
        last: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers `Vote`.
    VoteReply {
        /// Whether the sender votes for the receiver.
        granted: bool,
    },
    /// Sent by the leader periodically and to confirm its leadership.
    Heartbeat {
        /// Commit index of the leader, at most the last entry known to match in the receiver's log.
        commit: Index,
        /// Number of the heartbeat round, repeated in the reply.
        round: u64,
    },
    /// Answers `Heartbeat`.
    HeartbeatReply {
        /// Round from the heartbeat.
        round: u64,
    },
    /// Raft's `AppendEntries`: entries that follow the entry `prev`.
    Append {
        /// Index of the entry before the first of `entries`.
        prev: Index,
        /// Term of `prev`.
        prev_term: Term,
        /// Entries without gaps.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
    },
    /// Answers `Append`, and the last `Chunk` of a snapshot.
    AppendReply {
        /// Whether the log is synced and equal to the leader's up to `index`. If not, the leader continues
        /// with the entry after `index`.
        matched: bool,
        /// Last matching entry, or the last entry that may match.
        index: Index,
    },
    /// Raft's `InstallSnapshot`: one part of a snapshot.
    Chunk {
        /// Last entry that the snapshot includes.
        index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Membership in effect at that entry.
        membership: Membership,
        /// Position of `data` in the snapshot, in bytes.
        offset: u64,
        /// Size of the snapshot, in bytes.
        total: u64,
        /// Bytes of the part.
        #[serde(with = "hex_bytes")]
        data: Bytes,
    },
    /// Answers a `Chunk` that did not complete the snapshot.
    ChunkReply {
        /// Index of the snapshot.
        index: Index,
        /// Bytes received without gaps from the start of the snapshot.
        received: u64,
    },
}

impl Message {
    /// Size of the commands or snapshot data in JSON, in bytes.
    pub fn encoded_size(&self) -> usize {
        let data = match self {
            Message::Append { entries, .. } => entries.iter().map(Entry::size).sum(),
            Message::Chunk { data, .. } => data.len(),
            _ => 0,
        };
        data * HEX_CHARS_PER_BYTE
    }
}

const HEX_CHARS_PER_BYTE: usize = 2;

/// Encodes bytes as hexadecimal text in JSON, which has no byte strings and needs twice the size for an array
/// of numbers. Binary formats get the raw bytes.
mod hex_bytes {
    use std::borrow::Cow;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use serde::de::Error;

    use super::Bytes;

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return bytes.serialize(serializer);
        }
        serializer.serialize_str(&hex::encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        if !deserializer.is_human_readable() {
            return Vec::<u8>::deserialize(deserializer).map(Bytes::from);
        }
        let text = Cow::<'de, str>::deserialize(deserializer)?;
        let bytes = hex::decode(text.as_bytes()).map_err(D::Error::custom)?;
        Ok(bytes.into())
    }
}
