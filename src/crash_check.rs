//! Core: tells upstreams that crashed from upstreams whose answers were lost, by what they do afterwards.
//!
//! A connection that ends inside a request is a possible crash. It counts once the run of the upstream is known to
//! have ended: the upstream refuses new connections twice, or another run is listed under its name. It doesn't count
//! if the run accepts a new connection or had announced that it leaves. See section 5.3 of the design.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;

use crate::id::UpstreamId;
use crate::quarantine;

/// Time between two refused connections that show a crash. An upstream that only resets connections beyond its
/// limit accepts one again soon.
pub const REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// Time between attempts to reach an upstream that doesn't answer, of which each takes up to
/// [`CONNECT_TIMEOUT`](crate::pool::CONNECT_TIMEOUT).
pub const SILENT_PAUSE: Duration = Duration::from_millis(500);
/// Time after which an end that could not be explained counts as a lost answer.
pub const CHECK_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an answer outweighs crashes of other requests with its fingerprint: upstreams that end for other reasons
/// take down whatever they run, most often the most frequent requests.
pub const ANSWER_MEMORY: Duration = Duration::from_secs(10);
/// Largest number of fingerprints whose answers are remembered; they take about 300 KB.
pub const MAX_ANSWERED: usize = 4_000;
/// Largest number of upstreams that are checked at the same time.
pub const MAX_CHECKS: usize = 1_000;
/// Largest number of possible crashes of one upstream that are checked together.
pub const MAX_ENDS: usize = 1_000;

/// One run of an upstream, from a start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamRun {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Its start, in milliseconds since 1970 by the upstream's clock.
    pub start: u64,
}

/// What an upstream was seen to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Evidence {
    /// It accepted a new connection.
    Accepted,
    /// It refused a new connection.
    Refused,
    /// It did not answer.
    Silent,
    /// Another run is listed under its name.
    Replaced,
    /// It had announced that it leaves.
    Left,
}

/// The end of a connection inside a request.
#[derive(Debug)]
pub struct RequestEnd<T> {
    /// Fingerprint of the request.
    pub fingerprint: SmolStr,
    /// When the connection ended.
    pub at: Instant,
    /// What the caller of [`CrashChecks::add`] gave with it.
    pub token: T,
}

/// What becomes of a possible crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Added {
    /// The caller must observe the run and pass what it sees to [`CrashChecks::judge`].
    Started,
    /// The run is observed already.
    Joined,
    /// It is no crash, as a request with the fingerprint was answered recently.
    Answered,
    /// It is not checked, as too many are; it counts as a lost answer.
    Full,
}

/// What [`CrashChecks::judge`] found.
#[derive(Debug)]
pub struct Judgement<T> {
    /// The ends that are crashes.
    pub crashed: Vec<RequestEnd<T>>,
    /// The ends that are none.
    pub cleared: Vec<RequestEnd<T>>,
    /// When the upstream must be looked at again; `None` if the check has ended.
    pub next: Option<Instant>,
}

/// A check of one run.
struct Check<T> {
    ends: Vec<RequestEnd<T>>,
    refused_at: Option<Instant>,
}

/// The possible crashes that are being checked, and the requests that were answered recently.
pub struct CrashChecks<T> {
    checks: HashMap<UpstreamRun, Check<T>>,
    answered: AnsweredRequests,
}

impl<T> Default for CrashChecks<T> {
    fn default() -> Self {
        Self {
            checks: HashMap::new(),
            answered: AnsweredRequests::default(),
        }
    }
}

impl<T> CrashChecks<T> {
    /// Records that a request was answered.
    pub fn record_answer(&mut self, now: Instant, fingerprint: &str) {
        self.answered.insert(now, fingerprint);
    }

    /// Adds a possible crash of a run.
    pub fn add(&mut self, run: &UpstreamRun, end: RequestEnd<T>) -> Added {
        if self.answered.contains(end.at, &end.fingerprint) {
            return Added::Answered;
        }
        let is_full = self.checks.len() >= MAX_CHECKS;
        match self.checks.get_mut(run) {
            Some(check) if check.ends.len() >= MAX_ENDS => Added::Full,
            Some(check) => {
                check.ends.push(end);
                Added::Joined
            }
            None if is_full => Added::Full,
            None => {
                let ends = vec![end];
                let refused_at = None;
                self.checks.insert(run.clone(), Check { ends, refused_at });
                Added::Started
            }
        }
    }

    /// Takes what was seen of a run by an observation that began at `began`. It explains only ends from before: the
    /// run may have crashed since.
    pub fn judge(
        &mut self,
        now: Instant,
        run: &UpstreamRun,
        began: Instant,
        evidence: Evidence,
    ) -> Judgement<T> {
        let mut judgement = Judgement {
            crashed: Vec::new(),
            cleared: Vec::new(),
            next: None,
        };
        let Some(check) = self.checks.get_mut(run) else {
            return judgement;
        };
        match evidence {
            Evidence::Replaced => judgement.crashed = take(&mut check.ends, |_| true),
            Evidence::Left => judgement.cleared = take(&mut check.ends, |_| true),
            Evidence::Accepted => {
                check.refused_at = None;
                judgement.cleared = take(&mut check.ends, |end| end.at <= began);
            }
            Evidence::Refused => match check.refused_at {
                Some(first) if began >= first + REFUSED_PAUSE => {
                    judgement.crashed = take(&mut check.ends, |end| end.at <= began);
                }
                Some(_) => {}
                None => check.refused_at = Some(now),
            },
            Evidence::Silent => {
                judgement.cleared = take(&mut check.ends, |end| now >= end.at + CHECK_TIMEOUT)
            }
        }
        // A request that was answered meanwhile, by another upstream, is none that crashes them.
        let is_answered = |end: &RequestEnd<T>| self.answered.contains(now, &end.fingerprint);
        let answered = take(&mut judgement.crashed, is_answered);
        judgement.cleared.extend(answered);
        if check.ends.is_empty() {
            self.checks.remove(run);
            return judgement;
        }
        judgement.next = Some(match evidence {
            Evidence::Refused => now + REFUSED_PAUSE,
            Evidence::Silent => now + SILENT_PAUSE,
            Evidence::Accepted | Evidence::Replaced | Evidence::Left => now,
        });
        judgement
    }

    /// Number of runs that are being checked.
    pub fn len(&self) -> usize {
        self.checks.len()
    }

    /// Whether no run is being checked.
    pub fn is_empty(&self) -> bool {
        self.checks.is_empty()
    }
}

/// Moves the elements that meet the condition out of the list.
fn take<E>(list: &mut Vec<E>, is_taken: impl Fn(&E) -> bool) -> Vec<E> {
    let (taken, kept) = std::mem::take(list).into_iter().partition(is_taken);
    *list = kept;
    taken
}

/// Fingerprints of requests that were answered in the last [`ANSWER_MEMORY`].
#[derive(Default)]
struct AnsweredRequests {
    last: HashMap<SmolStr, Instant>,
    /// All answers, oldest first; each fingerprint counts with its last one.
    order: VecDeque<(Instant, SmolStr)>,
}

impl AnsweredRequests {
    fn insert(&mut self, now: Instant, fingerprint: &str) {
        // The first characters tell fingerprints apart and are stored without an allocation.
        let name = SmolStr::from(quarantine::short(fingerprint));
        while let Some((at, _)) = self.order.front()
            && (now >= *at + ANSWER_MEMORY || self.order.len() >= MAX_ANSWERED)
        {
            if let Some((at, oldest)) = self.order.pop_front()
                && self.last.get(&oldest) == Some(&at)
            {
                self.last.remove(&oldest);
            }
        }
        // A frequent request is entered once a second only, so that it doesn't displace the others.
        let is_recent = |at: &Instant| now < *at + ANSWER_MEMORY / 10;
        if self.last.get(&name).is_some_and(is_recent) {
            return;
        }
        self.last.insert(name.clone(), now);
        self.order.push_back((now, name));
    }

    fn contains(&self, now: Instant, fingerprint: &str) -> bool {
        let last = self.last.get(quarantine::short(fingerprint));
        last.is_some_and(|at| now < *at + ANSWER_MEMORY)
    }
}
