//! A fleet in virtual time: entry VMs that select upstreams of one service, upstreams with gray failures, and
//! the delays after which the VMs learn the results of each other's requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use zinnialoom::fleet::discovery::AnnouncedState;
use zinnialoom::fleet::discovery::Announcement;
use zinnialoom::fleet::discovery::UpstreamTable;
use zinnialoom::fleet::health::HealthTable;
use zinnialoom::fleet::health::HealthUpdate;
use zinnialoom::fleet::homes::AllowedRegions;
use zinnialoom::fleet::upstream_selector::Criteria;
use zinnialoom::fleet::upstream_selector::UpstreamSelector;
use zinnialoom::id::UpstreamId;

const MS: Duration = Duration::from_millis(1);
/// Time until a failure that one VM saw reaches the others.
const FAILURE_DELAY: Duration = Duration::from_millis(25);
/// Time between reports of successes and of requests in flight to all VMs.
const REPORT_PERIOD: Duration = Duration::from_millis(300);
/// A gray failure lasts for whole periods; each upstream begins one of its own.
const GRAY_PERIOD: Duration = Duration::from_secs(9);
const GRAY_SHARE: f64 = 0.3;
/// Part of its requests that an upstream with a gray failure does not serve.
const GRAY_FAILS: f64 = 0.75;
const SERVICE: &str = "forecast";
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Requests that an upstream runs at the same time.
const SLOTS: usize = 3;
/// An upstream counts as sound when its last gray failure ended this long ago.
const SOUND_AFTER: Duration = Duration::from_secs(2);
/// Length of a window in which the sound upstreams must get requests.
pub const FLOOR_WINDOW: Duration = Duration::from_secs(2);
/// The first seconds, in which no VM has results yet.
const WARM_UP: Duration = Duration::from_secs(4);

/// How a gray failure shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gray {
    /// No answer until the deadline.
    Hang,
    /// The connection breaks at once.
    Reset,
}

/// A simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub vms: usize,
    pub upstreams: usize,
    /// Requests in a second.
    pub rate: f64,
    /// Share of the requests that may be repeated.
    pub idempotent: f64,
    pub work: Duration,
    /// Time after which an attempt is overdue.
    pub overdue: Duration,
    pub deadline: Duration,
    pub gray: Gray,
    /// Part of the VMs that one in five upstreams does not hear, from 20 to 28 s.
    pub cut: f64,
    /// Factor on the rate from 30 to 33 s.
    pub burst: f64,
    pub length: Duration,
}

/// A service of few upstreams.
pub const SMALL: Deployment = Deployment {
    vms: 40,
    upstreams: 6,
    rate: 30.0,
    idempotent: 0.0,
    work: Duration::from_millis(160),
    overdue: Duration::from_millis(400),
    deadline: Duration::from_millis(3_000),
    gray: Gray::Hang,
    cut: 0.0,
    burst: 1.0,
    length: Duration::from_secs(60),
};

/// A service as on a site of 48 entry VMs.
pub const MEDIUM: Deployment = Deployment {
    vms: 48,
    upstreams: 19,
    rate: 76.0,
    work: Duration::from_millis(230),
    overdue: Duration::from_millis(900),
    ..SMALL
};

/// A service as on a site of 94 entry VMs.
pub const GROWN: Deployment = Deployment {
    vms: 94,
    upstreams: 159,
    rate: 576.0,
    work: Duration::from_millis(260),
    overdue: Duration::from_millis(900),
    ..SMALL
};

/// A service with many upstreams for its requests, of which each gets one in about a second.
pub const SPARSE: Deployment = Deployment {
    vms: 94,
    upstreams: 43,
    rate: 35.0,
    work: Duration::from_millis(180),
    overdue: Duration::from_millis(600),
    ..SMALL
};

/// Both kinds of gray failure, alone and with a burst and upstreams that some of the VMs cannot reach.
pub fn variants(deployment: Deployment) -> impl Iterator<Item = Deployment> {
    let kinds = [Gray::Hang, Gray::Reset];
    let alone = kinds.map(|gray| Deployment { gray, ..deployment });
    let disturbed = alone.map(|alone| Deployment {
        cut: 0.3,
        burst: 1.7,
        ..alone
    });
    alone.into_iter().chain(disturbed)
}

/// What callers and upstreams saw.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub lost: usize,
    pub refused: usize,
    /// Windows in which some, but too few, of the sound upstreams got requests while 10 to 50 % of the requests
    /// were not served.
    pub floor_breaks: usize,
    /// Smallest share of the sound upstreams that got requests in a window.
    pub least_used: f64,
}

impl Outcome {
    /// Requests that were not served.
    pub fn unserved(&self) -> usize {
        self.lost + self.refused
    }
}

/// The report of an upstream about itself; its address and failure domain follow from its number.
fn announcement(name: &UpstreamId, number: usize) -> Announcement {
    Announcement {
        upstream: name.clone(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        domain: DOMAINS[number % 3].into(),
        slots: SLOTS as u32,
        state: AnnouncedState::Ready,
        cold_ms: 0,
        born: 1_000,
        sequence: 1,
    }
}

enum Event {
    Arrival,
    Answer(usize),
    Overdue(usize),
    Deadline(usize),
    Deliver(HealthUpdate, usize),
    Report,
}

struct Request {
    vm: usize,
    upstream: usize,
    sent: Instant,
    is_overdue: bool,
    is_done: bool,
}

struct Vm {
    selector: UpstreamSelector,
    health: HealthTable,
    /// Answers since the last report, and when the latest of their requests was sent.
    unsent: BTreeMap<UpstreamId, (u16, Instant)>,
}

pub struct SelectionWorld {
    deployment: Deployment,
    start: Instant,
    now: Instant,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, usize)>>,
    queued: Vec<Option<Event>>,
    vms: Vec<Vm>,
    table: UpstreamTable,
    names: Vec<UpstreamId>,
    /// For each upstream, whether each of its periods is gray, and when its first one ends.
    gray: Vec<(Duration, Vec<bool>)>,
    in_flight: Vec<Vec<u32>>,
    /// When each slot of each upstream becomes free.
    slots: Vec<Vec<Instant>>,
    requests: Vec<Request>,
    /// Arrival times of requests, with whether they were served.
    served: Vec<(Instant, bool)>,
    arrivals: Vec<(Instant, usize)>,
    outcome: Outcome,
}

impl SelectionWorld {
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let start = Instant::now() + Duration::from_secs(1_000);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = UpstreamTable::default();
        let names: Vec<UpstreamId> = (0..deployment.upstreams)
            .map(|n| SmolStr::from(format!("u{n}")))
            .collect();
        for (n, name) in names.iter().enumerate() {
            table.announce(start, announcement(name, n));
        }
        let periods = deployment.length.as_secs() / GRAY_PERIOD.as_secs() + 2;
        let gray = (0..deployment.upstreams).map(|_| {
            let first = GRAY_PERIOD.mul_f64(rng.random());
            (first, (0..periods).map(|_| rng.random_bool(GRAY_SHARE)).collect())
        });
        let gray = gray.collect();
        let vms = (0..deployment.vms).map(|n| Vm {
            selector: UpstreamSelector::new(DOMAINS[n % 3].into(), StdRng::seed_from_u64(rng.random())),
            health: HealthTable::default(),
            unsent: BTreeMap::new(),
        });
        let vms = vms.collect();
        Self {
            start,
            now: start,
            rng,
            events: BinaryHeap::new(),
            queued: Vec::new(),
            vms,
            table,
            names,
            gray,
            in_flight: vec![vec![0; deployment.upstreams]; deployment.vms],
            slots: vec![vec![start; SLOTS]; deployment.upstreams],
            requests: Vec::new(),
            served: Vec::new(),
            arrivals: Vec::new(),
            outcome: Outcome::default(),
            deployment,
        }
    }

    pub fn run(mut self) -> Outcome {
        self.schedule(self.now, Event::Arrival);
        self.schedule(self.now, Event::Report);
        let end = self.start + self.deployment.length;
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let Some(event) = self.queued[number].take() else {
                continue;
            };
            if at > end + self.deployment.deadline {
                break;
            }
            self.handle(event, at < end);
        }
        self.measure()
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, self.queued.len())));
        self.queued.push(Some(event));
    }

    fn handle(&mut self, event: Event, has_traffic: bool) {
        match event {
            Event::Arrival if has_traffic => self.arrive(),
            Event::Arrival => {}
            Event::Answer(number) => self.end(number, true),
            Event::Overdue(number) => {
                let request = &mut self.requests[number];
                if request.is_done {
                    return;
                }
                request.is_overdue = true;
                let (vm, upstream) = (request.vm, request.upstream);
                let id = self.names[upstream].clone();
                let listed = self.table.get(&id).unwrap();
                if self.vms[vm].selector.load(listed) > 1.0 {
                    return;
                }
                self.vms[vm].selector.record_no_answer(self.now, &id);
                self.fail(
                    vm,
                    HealthUpdate {
                        soft: 1,
                        ..HealthUpdate::empty(&id)
                    },
                );
            }
            Event::Deadline(number) => self.end(number, false),
            Event::Deliver(update, except) => {
                for (number, vm) in self.vms.iter_mut().enumerate() {
                    if number != except {
                        vm.health.apply(self.now, &update);
                    }
                }
            }
            Event::Report => {
                self.report();
                self.schedule(self.now + REPORT_PERIOD, Event::Report);
            }
        }
    }

    fn arrive(&mut self) {
        let at = self.now - self.start;
        let is_burst = (30..33).contains(&at.as_secs());
        let rate = self.deployment.rate * if is_burst { self.deployment.burst } else { 1.0 };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        self.outcome.requests += 1;
        let vm = self.rng.random_range(0..self.deployment.vms);
        let idempotent = self.rng.random_bool(self.deployment.idempotent);
        self.attempt(vm, idempotent, &[]);
    }

    fn attempt(&mut self, vm: usize, idempotent: bool, tried: &[UpstreamId]) {
        let service = SmolStr::from(SERVICE);
        let criteria = Criteria {
            service: &service,
            may_test: idempotent,
            idempotent,
            max_load: 2.0,
            tried,
            vms: self.deployment.vms,
            evacuated: &[],
            allowed: AllowedRegions::default(),
        };
        let Vm { selector, health, .. } = &mut self.vms[vm];
        let Ok(choice) = selector.choose(self.now, &self.table, health, &criteria) else {
            self.outcome.refused += 1;
            self.served.push((self.now, false));
            return;
        };
        let id = choice.listed.report.upstream;
        let upstream: usize = id[1..].parse().unwrap();
        self.arrivals.push((self.now, upstream));
        self.in_flight[vm][upstream] += 1;
        let number = self.requests.len();
        self.requests.push(Request {
            vm,
            upstream,
            sent: self.now,
            is_overdue: false,
            is_done: false,
        });
        let at = self.now - self.start;
        let is_cut = (20..28).contains(&at.as_secs())
            && upstream % 5 == 0
            && (vm as f64) < self.deployment.cut * self.deployment.vms as f64;
        let fails = self.is_gray(upstream, at) && self.rng.random_bool(GRAY_FAILS);
        self.schedule(self.now + self.deployment.overdue, Event::Overdue(number));
        let deadline = self.now + self.deployment.deadline;
        match (is_cut, fails, self.deployment.gray) {
            (true, ..) | (_, true, Gray::Hang) => self.schedule(deadline, Event::Deadline(number)),
            (_, true, Gray::Reset) => {
                self.end(number, false);
                // An idempotent request is sent again.
                if idempotent && tried.is_empty() {
                    self.outcome.lost -= 1;
                    self.served.pop();
                    self.attempt(vm, true, &[id]);
                }
            }
            _ => {
                let work = self.deployment.work.mul_f64(self.rng.random_range(0.5..1.5));
                let slot = self.slots[upstream].iter_mut().min().unwrap();
                *slot = (*slot).max(self.now) + work;
                let answer = *slot;
                self.schedule(
                    answer.min(deadline),
                    match answer < deadline {
                        true => Event::Answer(number),
                        false => Event::Deadline(number),
                    },
                );
            }
        }
    }

    fn is_gray(&self, upstream: usize, at: Duration) -> bool {
        let (first, periods) = &self.gray[upstream];
        let period = (at + GRAY_PERIOD).saturating_sub(*first).as_secs_f64() / GRAY_PERIOD.as_secs_f64();
        periods[period as usize]
    }

    fn end(&mut self, number: usize, is_answered: bool) {
        let request = &mut self.requests[number];
        if request.is_done {
            return;
        }
        request.is_done = true;
        let (vm, upstream, sent, is_overdue) =
            (request.vm, request.upstream, request.sent, request.is_overdue);
        let id = self.names[upstream].clone();
        self.in_flight[vm][upstream] -= 1;
        self.vms[vm].selector.finish(&id);
        self.served.push((sent, is_answered));
        if is_answered {
            self.vms[vm].selector.record_answer(&id);
        } else {
            self.outcome.lost += 1;
        }
        if is_overdue {
            return;
        }
        let age_ms = (self.now - sent).as_millis() as u16;
        let update = HealthUpdate {
            age_ms,
            ..HealthUpdate::empty(&id)
        };
        match (is_answered, self.deployment.gray) {
            (true, _) => {
                self.vms[vm]
                    .health
                    .apply(self.now, &HealthUpdate { good: 1, ..update });
                let unsent = self.vms[vm].unsent.entry(id).or_insert((0, sent));
                *unsent = (unsent.0 + 1, unsent.1.max(sent));
            }
            (false, Gray::Reset) => self.fail(vm, HealthUpdate { hard: 1, ..update }),
            (false, Gray::Hang) => self.fail(vm, HealthUpdate { soft: 1, ..update }),
        }
    }

    /// Applies a failure at the VM that saw it, and later at all others.
    fn fail(&mut self, vm: usize, update: HealthUpdate) {
        self.vms[vm].health.apply(self.now, &update);
        self.schedule(self.now + FAILURE_DELAY, Event::Deliver(update, vm));
    }

    /// Tells all VMs the successes and requests in flight of the others.
    fn report(&mut self) {
        let mut updates = Vec::new();
        for (number, vm) in self.vms.iter_mut().enumerate() {
            for (id, (good, sent)) in std::mem::take(&mut vm.unsent) {
                let age_ms = (self.now - sent).as_millis() as u16;
                updates.push((
                    HealthUpdate {
                        good,
                        age_ms,
                        ..HealthUpdate::empty(&id)
                    },
                    number,
                ));
            }
        }
        for (update, number) in updates {
            self.schedule(self.now + MS * 10, Event::Deliver(update, number));
        }
        for (upstream, id) in self.names.iter().enumerate() {
            let total: u32 = self.in_flight.iter().map(|counts| counts[upstream]).sum();
            for (vm, counts) in self.vms.iter_mut().zip(&self.in_flight) {
                vm.selector
                    .set_remote_in_flight(id, (total - counts[upstream]) as f32);
            }
        }
    }

    fn measure(mut self) -> Outcome {
        let mut least_used = 1.0_f64;
        let mut from = WARM_UP;
        while from + FLOOR_WINDOW <= self.deployment.length {
            let is_within = |at: Instant| (from..from + FLOOR_WINDOW).contains(&(at - self.start));
            let is_sound = |n: usize| {
                let mut at = from.saturating_sub(SOUND_AFTER);
                while at <= from + FLOOR_WINDOW {
                    if self.is_gray(n, at) {
                        return false;
                    }
                    at += MS * 100;
                }
                true
            };
            let sound: HashSet<usize> = (0..self.deployment.upstreams).filter(|n| is_sound(*n)).collect();
            let arrived = self
                .arrivals
                .iter()
                .filter(|(at, n)| is_within(*at) && sound.contains(n));
            let used: HashSet<usize> = arrived.map(|(_, n)| *n).collect();
            let share = used.len() as f64 / sound.len().max(1) as f64;
            let results = self.served.iter().filter(|(at, _)| is_within(*at));
            let (all, lost) = results.fold((0_u32, 0_u32), |(all, lost), (_, ok)| {
                (all + 1, lost + u32::from(!ok))
            });
            let lost = f64::from(lost) / f64::from(all.max(1));
            let is_judged = lost > 0.1 && lost < 0.5;
            self.outcome.floor_breaks += usize::from(is_judged && !used.is_empty() && share < 0.7);
            least_used = least_used.min(share);
            from += MS * 250;
        }
        Outcome {
            least_used,
            ..self.outcome
        }
    }
}
