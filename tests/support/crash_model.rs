//! A model of a fleet whose upstreams crash, lose answers and restart, with the parts that block requests.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use zinnialoom::crash_check::Added;
use zinnialoom::crash_check::CrashChecks;
use zinnialoom::crash_check::Evidence;
use zinnialoom::crash_check::RequestEnd;
use zinnialoom::crash_check::UpstreamRun;
use zinnialoom::quarantine::BlockPolicy;
use zinnialoom::quarantine::CrashRecord;
use zinnialoom::quarantine::CrashTable;

const VMS: usize = 4;
const UPSTREAMS: usize = 10;
/// Requests a second of each VM: of the wanted page, and of pages that are asked for once.
const HOT_PER_S: f64 = 12.0;
const RARE_PER_S: f64 = 12.0;
/// Time between two requests that crash their upstreams.
const CRASHING_EVERY: Duration = Duration::from_millis(700);
const WORK: Duration = Duration::from_millis(50);
/// Time of a connection to an upstream, and until all VMs know of a crash.
const ROUND_TRIP: Duration = Duration::from_millis(1);
const NEWS: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(40);
const MAX_ATTEMPTS: usize = 2;
const HOT: &str = "hot-page-of-all";
const CRASHING: &str = "crashing-request";

/// What happens besides the requests that crash upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// For 2 s nine of ten answers are lost.
    LostAnswers,
    /// Every two seconds an upstream ends and returns.
    Restarts,
    /// Six upstreams end at once.
    HerdKill,
}

/// What was seen on a day.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Sound requests that were refused because they are blocked.
    pub refused_sound: usize,
    /// Upstreams that the crashing request ended.
    pub crashed_upstreams: usize,
    pub answered: usize,
}

enum Event {
    Send {
        vm: usize,
        fingerprint: SmolStr,
        tried: Vec<usize>,
    },
    Answer {
        vm: usize,
        fingerprint: SmolStr,
        tried: Vec<usize>,
        run: u64,
        is_lost: bool,
    },
    Observe {
        vm: usize,
        upstream: usize,
        run: u64,
    },
    Judge {
        vm: usize,
        upstream: usize,
        run: u64,
        began: Instant,
        evidence: Evidence,
    },
    News {
        vm: usize,
        record: CrashRecord,
    },
    End {
        upstream: usize,
    },
    Return {
        upstream: usize,
    },
}

struct Vm {
    checks: CrashChecks<()>,
    table: CrashTable,
}

/// A day of the model.
pub struct Day {
    rng: StdRng,
    trouble: Trouble,
    start: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    vms: Vec<Vm>,
    /// Number of the run of each upstream, and whether it is up.
    upstreams: Vec<(u64, bool)>,
    crash_id: u64,
    outcome: Outcome,
}

impl Day {
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let policy = BlockPolicy {
            threshold: 3,
            block_time: Duration::from_secs(30),
            capacity: 1_000,
        };
        let vm = || Vm {
            checks: CrashChecks::default(),
            table: CrashTable::new(policy),
        };
        let mut day = Self {
            rng: StdRng::seed_from_u64(seed),
            trouble,
            start: Instant::now(),
            events: BTreeMap::new(),
            sequence: 0,
            vms: (0..VMS).map(|_| vm()).collect(),
            upstreams: vec![(1, true); UPSTREAMS],
            crash_id: 0,
            outcome: Outcome::default(),
        };
        day.plan_requests();
        day.plan_trouble();
        day
    }

    /// Adds a request that crashes each upstream that runs it, at any VM.
    pub fn with_crashing(mut self) -> Self {
        let mut at = self.start + CRASHING_EVERY;
        while at < self.start + LENGTH {
            let vm = self.rng.random_range(0..VMS);
            self.send(at, vm, CRASHING.into(), Vec::new());
            at += CRASHING_EVERY;
        }
        self
    }

    pub fn play(mut self) -> Outcome {
        while let Some(((now, _), event)) = self.events.pop_first() {
            self.handle(now, event);
        }
        self.outcome
    }

    fn plan_requests(&mut self) {
        for vm in 0..VMS {
            for (per_s, name) in [(HOT_PER_S, Some(HOT)), (RARE_PER_S, None)] {
                let mut at = self.start;
                while at < self.start + LENGTH {
                    at += Duration::from_secs_f64(self.rng.random_range(0.5..1.5) / per_s);
                    let number = self.sequence;
                    let fingerprint = name.map_or_else(|| format_smolstr!("rare{number:06}"), SmolStr::from);
                    self.send(at, vm, fingerprint, Vec::new());
                }
            }
        }
    }

    fn plan_trouble(&mut self) {
        let ends: Vec<(u64, usize)> = match self.trouble {
            Trouble::None | Trouble::LostAnswers => Vec::new(),
            Trouble::Restarts => (1..20).map(|n| (n * 2_000, n as usize % UPSTREAMS)).collect(),
            Trouble::HerdKill => (0..6).map(|n| (15_000, n)).collect(),
        };
        for (millis, upstream) in ends {
            self.plan(
                self.start + Duration::from_millis(millis),
                Event::End { upstream },
            );
        }
    }

    fn plan(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn send(&mut self, at: Instant, vm: usize, fingerprint: SmolStr, tried: Vec<usize>) {
        self.plan(
            at,
            Event::Send {
                vm,
                fingerprint,
                tried,
            },
        );
    }

    fn is_losing(&self, now: Instant) -> bool {
        let second = (now - self.start).as_secs();
        self.trouble == Trouble::LostAnswers && (10..12).contains(&second)
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Send {
                vm,
                fingerprint,
                tried,
            } => self.handle_send(now, vm, fingerprint, tried),
            Event::Answer {
                vm,
                fingerprint,
                tried,
                run,
                is_lost,
            } => self.handle_answer(now, vm, fingerprint, tried, run, is_lost),
            Event::Observe { vm, upstream, run } => {
                let evidence = match self.upstreams[upstream] {
                    (current, _) if current > run => Evidence::Replaced,
                    (_, true) => Evidence::Accepted,
                    (_, false) => Evidence::Refused,
                };
                let event = Event::Judge {
                    vm,
                    upstream,
                    run,
                    began: now,
                    evidence,
                };
                self.plan(now + ROUND_TRIP, event);
            }
            Event::Judge {
                vm,
                upstream,
                run,
                began,
                evidence,
            } => self.judge(now, vm, upstream, run, began, evidence),
            Event::News { vm, record } => {
                self.vms[vm].table.merge(now, &record);
            }
            Event::End { upstream } => {
                self.upstreams[upstream].1 = false;
                self.plan(now + DOWN, Event::Return { upstream });
            }
            Event::Return { upstream } => {
                self.upstreams[upstream] = (self.upstreams[upstream].0 + 1, true);
            }
        }
    }

    fn handle_send(&mut self, now: Instant, vm: usize, fingerprint: SmolStr, mut tried: Vec<usize>) {
        if self.vms[vm].table.is_blocked(now, &fingerprint) {
            self.outcome.refused_sound += usize::from(fingerprint != CRASHING);
            return;
        }
        let up = (0..UPSTREAMS).filter(|u| self.upstreams[*u].1 && !tried.contains(u));
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        tried.push(upstream);
        let run = self.upstreams[upstream].0;
        let is_lost = self.is_losing(now) && self.rng.random_bool(0.9);
        if fingerprint == CRASHING {
            self.outcome.crashed_upstreams += 1;
            self.plan(now + WORK / 2, Event::End { upstream });
        }
        let event = Event::Answer {
            vm,
            fingerprint,
            tried,
            run,
            is_lost,
        };
        self.plan(now + WORK, event);
    }

    fn handle_answer(
        &mut self,
        now: Instant,
        vm: usize,
        fingerprint: SmolStr,
        tried: Vec<usize>,
        run: u64,
        is_lost: bool,
    ) {
        let upstream = tried[tried.len() - 1];
        let is_up = self.upstreams[upstream] == (run, true);
        if is_up && !is_lost {
            self.outcome.answered += 1;
            self.vms[vm].checks.record_answer(now, &fingerprint);
            self.vms[vm].table.record_answer(now, &fingerprint);
            return;
        }
        let end = RequestEnd {
            fingerprint: fingerprint.clone(),
            at: now,
            token: (),
        };
        let key = UpstreamRun {
            upstream: format_smolstr!("u{upstream}"),
            start: run,
        };
        if self.vms[vm].checks.add(&key, end) == Added::Started {
            self.plan(now, Event::Observe { vm, upstream, run });
        }
        if tried.len() < MAX_ATTEMPTS {
            self.send(now, vm, fingerprint, tried);
        }
    }

    fn judge(
        &mut self,
        now: Instant,
        vm: usize,
        upstream: usize,
        run: u64,
        began: Instant,
        evidence: Evidence,
    ) {
        let key = UpstreamRun {
            upstream: format_smolstr!("u{upstream}"),
            start: run,
        };
        let judgement = self.vms[vm].checks.judge(now, &key, began, evidence);
        for end in judgement.crashed {
            self.crash_id += 1;
            let record = CrashRecord::of_crash(&end.fingerprint, self.crash_id);
            for other in 0..VMS {
                let delay = if other == vm { Duration::ZERO } else { NEWS };
                let record = record.clone();
                self.plan(now + delay, Event::News { vm: other, record });
            }
        }
        if let Some(next) = judgement.next {
            self.plan(next, Event::Observe { vm, upstream, run });
        }
    }
}
