//! Tests of how crashes of upstreams are told from lost answers, in virtual time.

use std::time::Duration;
use std::time::Instant;

use quickcheck::quickcheck;
use zinnialoom::crash_check::Added;
use zinnialoom::crash_check::CHECK_TIMEOUT;
use zinnialoom::crash_check::CrashChecks;
use zinnialoom::crash_check::Evidence;
use zinnialoom::crash_check::Judgement;
use zinnialoom::crash_check::REFUSED_PAUSE;
use zinnialoom::crash_check::RequestEnd;
use zinnialoom::crash_check::UpstreamRun;

use self::crash_model::Day;
use self::crash_model::Trouble;

#[path = "support/crash_model.rs"]
mod crash_model;

/// Seeds of each day of the model.
const SEEDS: u64 = 20;
const MILLIS: Duration = Duration::from_millis(1);

fn run(start: u64) -> UpstreamRun {
    UpstreamRun {
        upstream: "u".into(),
        start,
    }
}

fn end(fingerprint: &str, at: Instant) -> RequestEnd<()> {
    RequestEnd {
        fingerprint: fingerprint.into(),
        at,
        token: (),
    }
}

fn crashed(judgement: &Judgement<()>) -> Vec<&str> {
    judgement.crashed.iter().map(|e| e.fingerprint.as_str()).collect()
}

/// Guards against a crash that is never counted, and against one that is counted when an upstream only resets a
/// connection beyond its limit.
#[test]
fn two_refused_connections_show_a_crash() {
    let start = Instant::now();
    let mut checks = CrashChecks::default();
    assert_eq!(checks.add(&run(1), end("a", start)), Added::Started);
    assert_eq!(checks.add(&run(1), end("b", start)), Added::Joined);
    let first = checks.judge(start + MILLIS, &run(1), start, Evidence::Refused);
    assert!(crashed(&first).is_empty());
    let again = first.next.unwrap();
    assert_eq!(again, start + MILLIS + REFUSED_PAUSE);
    let second = checks.judge(again + MILLIS, &run(1), again, Evidence::Refused);
    assert_eq!(crashed(&second), ["a", "b"]);
    assert!(second.next.is_none() && checks.is_empty());
    checks.add(&run(1), end("c", again));
    checks.judge(again + MILLIS, &run(1), again, Evidence::Refused);
    let accepted = checks.judge(
        again + 300 * MILLIS,
        &run(1),
        again + 299 * MILLIS,
        Evidence::Accepted,
    );
    assert!(crashed(&accepted).is_empty() && checks.is_empty());
}

/// Guards against a crash that is taken for a lost answer because the upstream accepted a connection just before.
#[test]
fn an_observation_explains_only_ends_before_it() {
    let start = Instant::now();
    let mut checks = CrashChecks::default();
    checks.add(&run(1), end("before", start));
    let began = start + MILLIS;
    checks.add(&run(1), end("after", began + MILLIS));
    let judged = checks.judge(began + 2 * MILLIS, &run(1), began, Evidence::Accepted);
    assert_eq!(judged.cleared.len(), 1);
    assert!(judged.next.is_some());
    let judged = checks.judge(
        began + 9 * MILLIS,
        &run(1),
        began + 8 * MILLIS,
        Evidence::Replaced,
    );
    assert_eq!(crashed(&judged), ["after"]);
}

/// Guards against a planned end of an upstream, or a link that is cut, that blocks the requests there.
#[test]
fn a_planned_end_and_a_cut_link_are_no_crashes() {
    let start = Instant::now();
    let mut checks = CrashChecks::default();
    checks.add(&run(1), end("a", start));
    let left = checks.judge(start + MILLIS, &run(1), start, Evidence::Left);
    assert_eq!((left.cleared.len(), left.crashed.len()), (1, 0));
    checks.add(&run(2), end("a", start));
    let mut now = start;
    while let Some(next) = checks.judge(now, &run(2), now, Evidence::Silent).next {
        now = next;
    }
    assert!(now >= start + CHECK_TIMEOUT && checks.is_empty());
}

/// Guards against a request that is sent again for long, although its upstream was replaced, because the link to
/// its address is cut.
#[test]
fn a_later_run_shows_a_crash_behind_a_cut_link() {
    let start = Instant::now();
    let mut checks = CrashChecks::default();
    checks.add(&run(1), end("a", start));
    checks.judge(start, &run(1), start, Evidence::Silent);
    let judged = checks.judge(start + MILLIS, &run(1), start, Evidence::Replaced);
    assert_eq!(crashed(&judged), ["a"]);
}

/// Guards against a frequent request that is blocked when several upstreams end at once for another reason.
#[test]
fn a_request_that_is_answered_crashes_nothing() {
    let start = Instant::now();
    let mut checks = CrashChecks::default();
    checks.record_answer(start, "often");
    assert_eq!(checks.add(&run(1), end("often", start + MILLIS)), Added::Answered);
    checks.add(&run(1), end("late", start));
    checks.add(&run(1), end("never", start));
    checks.record_answer(start + MILLIS, "late");
    let judged = checks.judge(start + 2 * MILLIS, &run(1), start, Evidence::Replaced);
    assert_eq!(crashed(&judged), ["never"]);
}

quickcheck! {
    /// Guards against an end that is lost, explained twice, or taken for a crash of a run that went on: whatever the
    /// order of ends and observations, all ends up to the crash are cleared and all at it are counted.
    fn each_end_is_explained_once_by_its_run(steps: Vec<(u8, bool)>, refuses: bool) -> bool {
        let start = Instant::now();
        let mut checks = CrashChecks::default();
        let mut now = start;
        let (mut added, mut cleared, mut wrong) = (0, 0, 0);
        for (pause, is_end) in steps {
            now += Duration::from_millis(1 + u64::from(pause));
            if is_end {
                let outcome = checks.add(&run(1), end(&format!("alive{added}"), now));
                added += usize::from(matches!(outcome, Added::Started | Added::Joined));
            } else {
                let began = now - Duration::from_millis(1);
                let judged = checks.judge(now, &run(1), began, Evidence::Accepted);
                cleared += judged.cleared.len();
                wrong += judged.crashed.len();
            }
        }
        // The run goes on until here, then a request ends it.
        while !checks.is_empty() {
            now += MILLIS;
            let judged = checks.judge(now, &run(1), now, Evidence::Accepted);
            cleared += judged.cleared.len();
            wrong += judged.crashed.len();
        }
        checks.add(&run(1), end("crashing", now));
        let evidence = if refuses { Evidence::Refused } else { Evidence::Replaced };
        let mut counted = Vec::new();
        let mut next = Some(now);
        while let Some(at) = next {
            let judged = checks.judge(at + MILLIS, &run(1), at, evidence);
            counted.extend(judged.crashed.into_iter().map(|e| e.fingerprint));
            next = judged.next;
        }
        cleared == added && wrong == 0 && counted == ["crashing"]
    }
}

/// Guards against 2 s of lost answers that become an outage of the most wanted page.
#[test]
fn lost_answers_block_no_sound_request() {
    for seed in 0..SEEDS {
        let outcome = Day::new(seed, Trouble::LostAnswers).play();
        assert_eq!(outcome.refused_sound, 0, "seed {seed}: {outcome:?}");
    }
}

/// Guards against a wanted page that is blocked because upstreams restart or are killed under it.
#[test]
fn restarts_and_kills_block_no_sound_request() {
    for seed in 0..SEEDS {
        for trouble in [Trouble::Restarts, Trouble::HerdKill] {
            let outcome = Day::new(seed, trouble).play();
            assert_eq!(outcome.refused_sound, 0, "seed {seed} {trouble:?}: {outcome:?}");
        }
    }
}

/// Guards against a request that goes on crashing upstreams, alone and beside other trouble: three crashes block it,
/// and what is on its way until the fleet knows of the third one may reach three more.
#[test]
fn a_crashing_request_ends_few_upstreams() {
    for seed in 0..SEEDS {
        for trouble in [Trouble::None, Trouble::LostAnswers, Trouble::Restarts] {
            let outcome = Day::new(seed, trouble).with_crashing().play();
            assert!(
                (3..=6).contains(&outcome.crashed_upstreams),
                "seed {seed} {trouble:?}: {outcome:?}"
            );
        }
    }
}
