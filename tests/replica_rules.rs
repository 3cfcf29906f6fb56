//! Guards against errors in single rules of the replicated log that random runs rarely find, because other
//! rules usually prevent the same failure.

use std::time::Duration;
use std::time::Instant;

use zinnialoom::id::Index;
use zinnialoom::id::Term;
use zinnialoom::replica::Content;
use zinnialoom::replica::Entry;
use zinnialoom::replica::Envelope;
use zinnialoom::replica::HardState;
use zinnialoom::replica::Input;
use zinnialoom::replica::Member;
use zinnialoom::replica::Membership;
use zinnialoom::replica::Message;
use zinnialoom::replica::Output;
use zinnialoom::replica::Replica;
use zinnialoom::replica::ReplicaId;
use zinnialoom::replica::ReplicaSettings;
use zinnialoom::replica::Role;
use zinnialoom::replica::StoredState;

const HEARTBEAT: Duration = Duration::from_millis(100);
const ELECTION: Duration = Duration::from_millis(500);

fn member(id: ReplicaId) -> Member {
    let vm = format!("c{id}").into();
    Member { vm, id }
}

fn membership() -> Membership {
    Membership {
        voters: vec![member(1), member(2), member(3)],
        learners: Vec::new(),
    }
}

fn empty(index: Index, term: Term) -> Entry {
    let content = Content::Empty;
    Entry { index, term, content }
}

/// Replica 1 of three, whose log holds the membership and then entries of the given terms.
struct Fixture {
    replica: Replica,
    now: Instant,
}

impl Fixture {
    fn new(term: Term, terms: &[Term]) -> Self {
        let first = Entry {
            index: 1,
            term: 1,
            content: Content::Membership(membership()),
        };
        let rest = terms.iter().zip(2..).map(|(term, index)| empty(index, *term));
        let stored = StoredState {
            hard_state: HardState {
                id: 1,
                term,
                vote: None,
            },
            snapshot: None,
            log: [first].into_iter().chain(rest).collect(),
        };
        let now = Instant::now();
        let peers = (1..=3).map(|id| member(id).vm).collect();
        let settings = ReplicaSettings::new("c1".into(), peers, HEARTBEAT, ELECTION);
        let replica = Replica::new(settings, stored, now, 1);
        Self { replica, now }
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        self.replica.step(self.now, input)
    }

    fn receive(&mut self, from: ReplicaId, term: Term, body: Message) -> Vec<Output> {
        let envelope = Envelope {
            from: member(from),
            to: "c1".into(),
            to_id: Some(1),
            term,
            body,
        };
        self.step(Input::Message(envelope))
    }

    /// Wins an election with the vote of replica 2; returns the new term.
    fn win_election(&mut self) -> Term {
        self.now += ELECTION * 3;
        self.step(Input::Tick);
        let term = self.replica.status().term;
        let granted = true;
        self.receive(
            2,
            term,
            Message::PreVoteReply {
                term: term + 1,
                granted,
            },
        );
        self.receive(2, term + 1, Message::VoteReply { granted });
        assert_eq!(self.replica.status().role, Role::Leader);
        term + 1
    }

    fn acknowledge(&mut self, from: ReplicaId, term: Term, index: Index) {
        let matched = true;
        self.receive(from, term, Message::AppendReply { matched, index });
    }

    fn commit(&self) -> Index {
        self.replica.status().commit
    }
}

fn vote_granted(outputs: &[Output]) -> Option<bool> {
    outputs.iter().find_map(|o| match o {
        Output::Send(Envelope {
            body: Message::VoteReply { granted } | Message::PreVoteReply { granted, .. },
            ..
        }) => Some(*granted),
        _ => None,
    })
}

/// A replica without a committed entry could become leader and replace the entry.
#[test]
fn a_vote_needs_a_log_that_is_as_complete() {
    // The log of the voter ends with entry 3 of term 2.
    for (last, last_term, expected) in [
        (3, 2, true),
        (9, 1, false),
        (2, 2, false),
        (2, 3, true),
        (4, 2, true),
    ] {
        let body = Message::Vote { last, last_term };
        let outputs = Fixture::new(3, &[2, 2]).receive(2, 4, body);
        assert_eq!(vote_granted(&outputs), Some(expected), "{last} {last_term}");
        let term = 4;
        let body = Message::PreVote {
            term,
            last,
            last_term,
        };
        let outputs = Fixture::new(3, &[2, 2]).receive(2, 3, body);
        assert_eq!(vote_granted(&outputs), Some(expected), "{last} {last_term}");
    }
}

/// A vote that is lost in a restart could be given twice in one term.
#[test]
fn a_vote_is_stored_before_it_is_sent() {
    let (last, last_term) = (3, 2);
    let outputs = Fixture::new(4, &[2, 2]).receive(2, 4, Message::Vote { last, last_term });
    let stored = outputs
        .iter()
        .position(|o| matches!(o, Output::SaveHardState(h) if h.term == 4 && h.vote == Some(2)));
    let sent = outputs.iter().position(|o| matches!(o, Output::Send(_)));
    assert!(stored.is_some() && stored < sent, "{outputs:?}");
    assert_eq!(vote_granted(&outputs), Some(true));
}

/// Another leader could replace a committed entry of an earlier term, although a majority holds it.
#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_own_term() {
    let mut fixture = Fixture::new(3, &[2, 2]);
    let term = fixture.win_election();
    fixture.acknowledge(2, term, 3);
    fixture.acknowledge(3, term, 3);
    assert_eq!(fixture.commit(), 0);
    fixture.acknowledge(2, term, 4);
    assert_eq!(fixture.commit(), 0, "the local append is not synced yet");
    fixture.step(Input::Persisted { index: 4, term });
    assert_eq!(fixture.commit(), 4);
}

/// The sync of a replaced entry could count as the sync of the new entry at the same index.
#[test]
fn the_sync_of_a_replaced_entry_does_not_count() {
    let mut fixture = Fixture::new(3, &[]);
    let first_term = fixture.win_election();
    for token in 0..4 {
        let data = vec![1].into();
        fixture.step(Input::Propose { token, data });
    }
    let body = Message::Append {
        prev: 1,
        prev_term: 1,
        entries: vec![empty(2, first_term + 1)],
        commit: 1,
    };
    fixture.receive(3, first_term + 1, body);
    let term = fixture.win_election();
    for token in 4..8 {
        let data = vec![2].into();
        fixture.step(Input::Propose { token, data });
    }
    // Both terms proposed an entry at this index.
    let index = 6;
    fixture.acknowledge(2, term, index);
    fixture.step(Input::Persisted {
        index,
        term: first_term,
    });
    assert_eq!(fixture.commit(), 1);
    fixture.step(Input::Persisted { index, term });
    assert_eq!(fixture.commit(), index);
}

/// A follower whose disk lost synced entries rejects appends below the index that it acknowledged. If the
/// leader answered each rejection at once, the two could exchange messages without end.
#[test]
fn a_rejection_below_the_acknowledged_index_is_not_answered_at_once() {
    let mut fixture = Fixture::new(3, &[]);
    let term = fixture.win_election();
    fixture.acknowledge(2, term, 2);
    let data = vec![1].into();
    fixture.step(Input::Propose { token: 1, data });
    let (matched, index) = (false, 1);
    let outputs = fixture.receive(2, term, Message::AppendReply { matched, index });
    assert!(
        !outputs.iter().any(|o| matches!(o, Output::Send(_))),
        "{outputs:?}"
    );
    fixture.now += HEARTBEAT * 2;
    fixture.receive(2, term, Message::HeartbeatReply { round: 1 });
    let outputs = fixture.step(Input::Tick);
    let is_append =
        |o: &Output| matches!(o, Output::Send(e) if e.to == "c2" && matches!(e.body, Message::Append { .. }));
    assert!(outputs.iter().any(is_append), "{outputs:?}");
}

/// After a crash, conflicting stored entries could follow an installed snapshot.
#[test]
fn a_conflicting_log_is_removed_before_a_snapshot_is_stored() {
    let mut fixture = Fixture::new(3, &[2, 2, 2, 2, 2]);
    let body = Message::Chunk {
        index: 4,
        last_term: 3,
        membership: membership(),
        offset: 0,
        total: 1,
        data: vec![7].into(),
    };
    let outputs = fixture.receive(2, 3, body);
    let truncated = outputs
        .iter()
        .position(|o| matches!(o, Output::Append { from: 5, entries } if entries.is_empty()));
    let saved = outputs.iter().position(|o| matches!(o, Output::SaveSnapshot(_)));
    assert!(truncated.is_some() && truncated < saved, "{outputs:?}");
    assert_eq!(fixture.replica.status().last, 4);
}

/// A snapshot could keep an uncommitted membership that is replaced later.
#[test]
fn a_snapshot_holds_the_membership_of_its_last_entry() {
    let mut fixture = Fixture::new(3, &[]);
    let term = fixture.win_election();
    fixture.step(Input::Persisted { index: 2, term });
    fixture.acknowledge(2, term, 2);
    let join = Envelope {
        from: Member {
            vm: "c3".into(),
            id: 33,
        },
        to: "c1".into(),
        to_id: None,
        term: 0,
        body: Message::Join { fresh: true },
    };
    fixture.step(Input::Message(join));
    fixture.now += HEARTBEAT;
    fixture.step(Input::Tick);
    assert_eq!(fixture.replica.status().membership.learners.len(), 1);
    let (index, state) = (2, vec![1].into());
    let outputs = fixture.step(Input::Compact { index, state });
    let saved = outputs.iter().find_map(|o| match o {
        Output::SaveSnapshot(snapshot) => Some(&snapshot.membership),
        _ => None,
    });
    assert_eq!(saved, Some(&membership()));
}

/// A leader that hears nothing could grant tokens beside its successor until it next steps.
#[test]
fn a_leader_is_one_only_for_an_election_timeout_after_a_round_that_a_majority_answered() {
    let mut fixture = Fixture::new(3, &[2, 2]);
    let term = fixture.win_election();
    let elected = fixture.now;
    assert_eq!(
        fixture.replica.leader_until(fixture.now),
        None,
        "no round is answered yet"
    );
    fixture.now += HEARTBEAT / 2;
    fixture.receive(2, term, Message::HeartbeatReply { round: 1 });
    let until = |f: &Fixture| f.replica.leader_until(f.now);
    assert_eq!(until(&fixture), Some(elected + ELECTION));
    fixture.now = elected + HEARTBEAT;
    fixture.step(Input::Tick);
    assert_eq!(
        until(&fixture),
        Some(elected + ELECTION),
        "the second round is not answered"
    );
    fixture.now += HEARTBEAT;
    fixture.receive(2, term, Message::HeartbeatReply { round: 2 });
    assert_eq!(until(&fixture), Some(elected + HEARTBEAT + ELECTION));
    fixture.receive(3, term, Message::HeartbeatReply { round: 1 });
    assert_eq!(until(&fixture), Some(elected + HEARTBEAT + ELECTION));
}

/// A follower whose worker waits for its disk could name a leader that has been replaced.
#[test]
fn a_follower_names_a_leader_until_its_election_timeout() {
    let mut fixture = Fixture::new(3, &[2, 2]);
    assert_eq!(fixture.replica.leader_until(fixture.now), None);
    let (commit, round) = (0, 1);
    fixture.receive(2, 3, Message::Heartbeat { commit, round });
    let until = fixture.replica.leader_until(fixture.now).unwrap();
    assert!(until >= fixture.now + ELECTION && until <= fixture.now + ELECTION * 2);
}

/// Entries of hundreds of kilobytes could fill the memory, and delay all heartbeats while they are applied together.
#[test]
fn large_entries_are_applied_in_steps_and_not_retained() {
    const SIZE: usize = 400 << 10;
    const COUNT: Index = 20;
    let mut fixture = Fixture::new(3, &[]);
    let term = fixture.win_election();
    let mut applied = 0;
    for token in 0..COUNT {
        let data = vec![7; SIZE].into();
        fixture.step(Input::Propose { token, data });
    }
    let last = fixture.replica.status().last;
    fixture.step(Input::Persisted { index: last, term });
    let matched = true;
    let reply = Message::AppendReply { matched, index: last };
    let mut outputs = fixture.receive(2, term, reply);
    while fixture.commit() < last {
        let count = outputs.iter().filter(|o| matches!(o, Output::Apply(_))).count();
        assert!((1..=5).contains(&count), "{count} entries in one step");
        applied += count;
        outputs = fixture.step(Input::Tick);
    }
    assert!(applied as Index >= COUNT - 5);
    let state = vec![1; 100].into();
    fixture.step(Input::Compact { index: last, state });
    // A follower that misses the large entries gets the snapshot, as they are no longer in memory.
    let reply = Message::AppendReply {
        matched: false,
        index: 1,
    };
    fixture.now += HEARTBEAT * 3;
    let mut sent = fixture.receive(3, term, reply);
    sent.extend(fixture.step(Input::Tick));
    let is_chunk = |o: &Output| matches!(o, Output::Send(e) if matches!(e.body, Message::Chunk { .. }));
    assert!(sent.iter().any(is_chunk), "{sent:?}");
}
