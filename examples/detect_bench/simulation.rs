//! A fleet in virtual time: entry VMs, upstreams, an arbiter, faults and a network with delays.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use zinnialoom::ejection::Arbiter;
use zinnialoom::ejection::Ejection;
use zinnialoom::ejection::Evidence;
use zinnialoom::member::Announcement;
use zinnialoom::member::UpstreamState;
use zinnialoom::stage::AttemptResult;
use zinnialoom::stage::ChoiceCriteria;
use zinnialoom::stage::Sample;
use zinnialoom::upstreams::capacity;

use super::policy::Policy;
use super::run::FaultKind;
use super::run::Micros;
use super::run::Report;
use super::run::Request;
use super::run::RunConfig;
use super::run::SECOND;
use super::run::Server;
use super::run::VmFault;

/// Virtual time at which a run starts. The first lease began at 0.
const START: Micros = 60 * SECOND;
/// Time until a lease that is not renewed ends.
const LEASE_TTL: Micros = 4 * SECOND;
/// Longest queue of an upstream; requests beyond it are shed.
const MAX_QUEUE: usize = 12;
/// Attempts of one request, the first included.
const MAX_ATTEMPTS: usize = 3;
const ATTEMPT_TIMEOUT: Micros = 2 * SECOND;
/// One-way delay between a VM and an upstream in the same failure domain.
const NEAR_DELAY: Micros = 250;
/// One-way delay between a VM and an upstream in another failure domain.
const FAR_DELAY: Micros = 750;
/// One-way delay that [`VmFault::SlowPath`] adds.
const SLOW_PATH_DELAY: Micros = 200_000;
/// One-way delay between VMs.
const PEER_DELAY: Micros = 1_000;
/// Number of the customer that [`RunConfig::slow_customer`] slows down.
const SLOW_CUSTOMER: usize = 7;
/// Name and median latency in seconds of each route.
const ROUTES: [(&str, f64); 2] = [("light", 0.030), ("heavy", 0.120)];

/// An event. A `u64` is the number of a request, a `usize` the number of a VM, and `Micros` the time at which
/// the evidence was sent.
#[derive(Debug)]
enum Event {
    Arrival,
    Tick,
    AtUpstream(u64),
    Done(u64),
    Answer(u64),
    Deadline(u64),
    EvidenceReport(usize, Evidence, Micros),
    Ejections(usize, Vec<Ejection>, Micros),
}

/// State of a run.
pub struct Simulation {
    config: RunConfig,
    base: Instant,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    /// Number of the last event or request.
    last_number: u64,
    requests: HashMap<u64, Request>,
    servers: Vec<Server>,
    policies: Vec<Policy>,
    announcements: Vec<Announcement>,
    /// Start of the lease and state of the arbiter of each VM that has held the lease.
    arbiters: HashMap<usize, (Micros, Arbiter)>,
    /// Holder, start and end of the lease; the end is set once its holder cannot renew it.
    lease: (usize, Micros, Micros),
    /// Time of the last evidence report of each VM.
    last_reports: Vec<Micros>,
    random: SmallRng,
    report: Report,
}

impl Simulation {
    /// A fleet whose VMs start with the run; the first VM has held the lease for a minute.
    pub fn new(config: RunConfig, seed: u64) -> Self {
        let domain = |n: usize| format!("d{}", n % config.domains);
        let announcements: Vec<Announcement> = (0..config.upstreams)
            .map(|n| Announcement {
                service: "s".into(),
                upstream: format!("u{n:02}").into(),
                address: ([127, 0, 0, 1], 9000).into(),
                domain: domain(n).into(),
                slots: config.slots,
                connections: 350,
                state: UpstreamState::Ready,
                sequence: 1,
            })
            .collect();
        let policies = (0..config.vms)
            .map(|n| {
                Policy::new(
                    config.policy,
                    domain(n).into(),
                    config.vms,
                    config.upstreams,
                    seed + n as u64,
                )
            })
            .collect();
        let mut simulation = Self {
            // The offset of an hour keeps the start of the lease, and times before it, representable on a
            // machine that has just started.
            base: Instant::now() + Duration::from_secs(3_600),
            now: START,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_number: 0,
            requests: HashMap::new(),
            servers: (0..config.upstreams).map(|_| Server::default()).collect(),
            policies,
            announcements,
            arbiters: HashMap::new(),
            lease: (0, 0, u64::MAX),
            last_reports: vec![0; config.vms],
            random: SmallRng::seed_from_u64(seed),
            report: Report {
                min_slots: u32::MAX,
                ..Report::default()
            },
            config,
        };
        simulation.schedule(0, Event::Tick);
        simulation.schedule(0, Event::Arrival);
        simulation
    }

    /// Runs to the end and returns the results.
    pub fn run(mut self) -> Report {
        let end = START + self.config.length;
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let event = self.events.remove(&number).expect("every entry has an event");
            self.handle(event);
        }
        self.report
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.queue.push(Reverse((self.now + delay, self.last_number)));
    }

    fn instant(&self, time: Micros) -> Instant {
        self.base + Duration::from_micros(time)
    }

    /// Time since the start of the run.
    fn time(&self) -> Micros {
        self.now - START
    }

    fn has_vm_fault(&self, vm: usize, kind: VmFault) -> bool {
        let time = self.time();
        let is_active =
            |f: &&(usize, VmFault, Micros, Micros)| f.0 == vm && f.1 == kind && (f.2..f.3).contains(&time);
        self.config.vm_faults.iter().any(|f| is_active(&f))
    }

    fn upstream_fault(&self, upstream: usize) -> Option<FaultKind> {
        let time = self.time();
        let fault = self
            .config
            .faults
            .iter()
            .find(|f| f.upstream == upstream && (f.start..f.end).contains(&time))?;
        match fault.kind {
            FaultKind::Flapping if (time - fault.start) / (10 * SECOND) % 2 == 1 => None,
            FaultKind::Flapping => Some(FaultKind::Slow(10.0)),
            kind => Some(kind),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Tick => self.tick(),
            Event::AtUpstream(id) => self.at_upstream(id),
            Event::Done(id) => self.done(id),
            Event::Answer(id) => self.finish(id, None),
            Event::Deadline(id) => self.finish(id, Some(AttemptResult::Late)),
            Event::EvidenceReport(vm, evidence, sent) => self.receive_evidence(vm, evidence, sent),
            Event::Ejections(vm, ejections, sent) => self.receive_ejections(vm, ejections, sent),
        }
    }

    fn arrival(&mut self) {
        let gap = -self.random.random_range(1e-9..1.0f64).ln() / self.config.rate;
        self.schedule((gap * SECOND as f64) as Micros, Event::Arrival);
        let vm = self.random.random_range(0..self.config.vms);
        if self.has_vm_fault(vm, VmFault::Killed) || self.has_vm_fault(vm, VmFault::Frozen) {
            return;
        }
        // Customers 0 and 1 send a fifth of the requests each, the other six a tenth each.
        let customer = match self.random.random_range(0..10) {
            n @ 0..=3 => n / 2,
            n => n - 2,
        };
        let route = usize::from(self.random.random_bool(0.2));
        let request = Request {
            vm,
            upstream: 0,
            route,
            customer,
            arrived: self.now,
            sent: self.now,
            work: 0.0,
            result: AttemptResult::Answered,
            finished: false,
            tried: Vec::new(),
        };
        self.send(request);
    }

    /// Starts an attempt at the upstream that the policy selects.
    fn send(&mut self, mut request: Request) {
        let service = "s".into();
        let route = ROUTES[request.route].0.into();
        let customer = format!("c{}", request.customer).into();
        let criteria = ChoiceCriteria {
            service: &service,
            route: &route,
            customer: Some(&customer),
            tried: &request.tried,
            urgent: true,
            rank: 0,
            idempotent: true,
        };
        let now = self.instant(self.now);
        let Some(upstream) = self.policies[request.vm].choose(now, &criteria) else {
            self.report.failures += 1;
            return;
        };
        let second = (self.time() / SECOND) as usize;
        self.report
            .sent
            .resize(second + 1, vec![0; self.config.upstreams]);
        self.report.sent[second][upstream] += 1;
        request.upstream = upstream;
        request.sent = self.now;
        request.tried.push(self.announcements[upstream].upstream.clone());
        // The sum of 12 uniform numbers less 6 is close to the standard normal distribution.
        let noise: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let heavy = self.random.random_bool(self.config.heavy);
        let slow = if request.customer == SLOW_CUSTOMER {
            self.config.slow_customer
        } else {
            1.0
        };
        request.work = ROUTES[request.route].1 * (0.3 * noise).exp() * slow * if heavy { 10.0 } else { 1.0 };
        let delay = self.network_delay(request.vm, upstream);
        self.last_number += 1;
        let id = self.last_number;
        self.requests.insert(id, request);
        self.schedule(delay, Event::AtUpstream(id));
        self.schedule(ATTEMPT_TIMEOUT, Event::Deadline(id));
    }

    fn network_delay(&self, vm: usize, upstream: usize) -> Micros {
        let is_near = vm % self.config.domains == upstream % self.config.domains;
        let delay = if is_near { NEAR_DELAY } else { FAR_DELAY };
        if self.has_vm_fault(vm, VmFault::SlowPath) {
            delay + SLOW_PATH_DELAY
        } else {
            delay
        }
    }

    fn at_upstream(&mut self, id: u64) {
        let upstream = self.requests[&id].upstream;
        let fault = self.upstream_fault(upstream);
        let server = &mut self.servers[upstream];
        let roll = self.random.random::<f64>();
        let immediate = match fault {
            Some(FaultKind::Errors(share)) if roll < share => Some(AttemptResult::Failed),
            Some(FaultKind::Sheds(share)) if roll < share => Some(AttemptResult::Shed),
            _ if server.queue.len() >= MAX_QUEUE => Some(AttemptResult::Shed),
            _ => None,
        };
        if let Some(result) = immediate {
            self.answer(id, result);
            return;
        }
        if matches!(fault, Some(FaultKind::Stalls(share)) if roll < share) {
            return;
        }
        if server.running >= self.config.slots {
            self.report.overruns += 1;
            server.queue.push_back(id);
            return;
        }
        self.serve(id);
    }

    fn serve(&mut self, id: u64) {
        let request = &self.requests[&id];
        let factor = match self.upstream_fault(request.upstream) {
            Some(FaultKind::Slow(factor)) => factor,
            _ => 1.0,
        };
        let work = (request.work * factor * SECOND as f64) as Micros;
        self.servers[request.upstream].running += 1;
        self.schedule(work, Event::Done(id));
    }

    fn done(&mut self, id: u64) {
        let upstream = self.requests[&id].upstream;
        self.servers[upstream].running -= 1;
        if self.upstream_fault(upstream) != Some(FaultKind::CutOut) {
            self.answer(id, AttemptResult::Answered);
        }
        if let Some(next) = self.servers[upstream].queue.pop_front() {
            self.serve(next);
        }
    }

    fn answer(&mut self, id: u64, result: AttemptResult) {
        let request = self.requests.get_mut(&id).expect("requests are kept to the end");
        request.result = result;
        let delay = self.network_delay(self.requests[&id].vm, self.requests[&id].upstream);
        self.schedule(delay, Event::Answer(id));
    }

    fn finish(&mut self, id: u64, late: Option<AttemptResult>) {
        let load = Some(self.servers[self.requests[&id].upstream].running);
        let request = self.requests.get_mut(&id).expect("requests are kept to the end");
        if request.finished {
            return;
        }
        request.finished = true;
        let result = late.unwrap_or(request.result);
        let sample = Sample {
            result,
            latency: Duration::from_micros(self.now - request.sent),
            route: ROUTES[request.route].0.into(),
            customer: Some(format!("c{}", request.customer).into()),
            load: load.filter(|_| late.is_none()),
        };
        let (vm, upstream, arrived, tried) = (
            request.vm,
            request.upstream,
            request.arrived,
            request.tried.clone(),
        );
        let (route, customer) = (request.route, request.customer);
        let now = self.instant(self.now);
        self.policies[vm].finish(now, upstream, &sample);
        match result {
            AttemptResult::Answered => self.report.latencies.push(self.now - arrived),
            AttemptResult::Shed if tried.len() < MAX_ATTEMPTS && self.policies[vm].take_retry() => {
                self.send(Request {
                    vm,
                    upstream,
                    route,
                    customer,
                    arrived,
                    sent: self.now,
                    work: 0.0,
                    result: AttemptResult::Answered,
                    finished: false,
                    tried,
                })
            }
            _ => self.report.failures += 1,
        }
    }

    fn tick(&mut self) {
        self.schedule(self.config.tick, Event::Tick);
        self.move_lease();
        let now = self.instant(self.now);
        for vm in 0..self.config.vms {
            if self.has_vm_fault(vm, VmFault::Killed) || self.has_vm_fault(vm, VmFault::Frozen) {
                continue;
            }
            if self.now % SECOND == 0 {
                for announcement in &self.announcements {
                    self.policies[vm].update(announcement, now);
                }
            }
            self.policies[vm].tick(now);
            self.record_baseline_ejections(vm);
            self.send_evidence(vm);
        }
        self.decide(now);
        self.record_min_slots(now);
    }

    /// Sets the end of a lease whose holder cannot renew it, and gives an ended lease to the next reachable VM.
    fn move_lease(&mut self) {
        let (holder, _, end) = self.lease;
        if end == u64::MAX && self.is_cut_off(holder) {
            self.lease.2 = self.now + LEASE_TTL;
        }
        if self.now >= end {
            let next = (holder + 1..self.config.vms)
                .find(|vm| !self.is_cut_off(*vm))
                .unwrap_or(0);
            self.lease = (next, self.now, u64::MAX);
            let time = self.time();
            self.report.lease_moves.push(time);
        }
    }

    fn record_baseline_ejections(&mut self, vm: usize) {
        let time = self.time();
        if let Policy::Baseline(baseline) = &mut self.policies[vm] {
            let ejected = baseline.new_ejections.drain(..);
            self.report.ejections.extend(ejected.map(|n| (time, n)));
        }
    }

    fn is_cut_off(&self, vm: usize) -> bool {
        [VmFault::Killed, VmFault::Frozen, VmFault::CutOut, VmFault::CutIn]
            .iter()
            .any(|f| self.has_vm_fault(vm, *f))
    }

    fn send_evidence(&mut self, vm: usize) {
        let Policy::Balancer(balancer) = &mut self.policies[vm] else {
            return;
        };
        let pause = if balancer.detector.is_urgent() {
            SECOND / 4
        } else {
            SECOND / 2
        };
        if self.now - self.last_reports[vm] < pause {
            return;
        }
        let tallies = balancer.detector.take_unsent();
        if tallies.is_empty() && self.now - self.last_reports[vm] < SECOND {
            return;
        }
        self.last_reports[vm] = self.now;
        let evidence = Evidence {
            vm: format!("vm{vm}").into(),
            domain: format!("d{}", vm % self.config.domains).into(),
            tallies,
        };
        let is_lost = vm != self.lease.0
            && (self.has_vm_fault(vm, VmFault::CutOut) || self.has_vm_fault(self.lease.0, VmFault::CutIn));
        if !is_lost {
            self.schedule(PEER_DELAY, Event::EvidenceReport(vm, evidence, self.now));
        }
    }

    fn receive_evidence(&mut self, vm: usize, evidence: Evidence, sent: Micros) {
        let (holder, since, end) = self.lease;
        if self.has_vm_fault(holder, VmFault::Frozen) {
            // The report waits in the socket until the process resumes, after the call has timed out.
            return;
        }
        if self.has_vm_fault(holder, VmFault::Killed) || self.now >= end {
            return;
        }
        let now = self.instant(self.now);
        let arbiter = self
            .arbiters
            .entry(holder)
            .or_insert_with(|| (since, Arbiter::default()));
        if arbiter.0 != since {
            *arbiter = (since, Arbiter::default());
        }
        arbiter.1.add_evidence(now, evidence);
        let ejections = arbiter.1.renew_ejections(now);
        let is_lost = vm != holder
            && (self.has_vm_fault(holder, VmFault::CutOut) || self.has_vm_fault(vm, VmFault::CutIn));
        if !is_lost {
            self.schedule(PEER_DELAY, Event::Ejections(vm, ejections, sent));
        }
    }

    fn receive_ejections(&mut self, vm: usize, ejections: Vec<Ejection>, sent: Micros) {
        if self.has_vm_fault(vm, VmFault::Killed) || self.has_vm_fault(vm, VmFault::Frozen) {
            return;
        }
        let sent = self.instant(sent);
        if let Policy::Balancer(balancer) = &mut self.policies[vm] {
            balancer.ejections.apply(sent, &ejections);
        }
    }

    /// Lets the arbiter of the lease holder decide about ejections.
    fn decide(&mut self, now: Instant) {
        let (holder, since, end) = self.lease;
        if self.now >= end
            || self.has_vm_fault(holder, VmFault::Killed)
            || self.has_vm_fault(holder, VmFault::Frozen)
        {
            return;
        }
        let capacities: Vec<_> = self.announcements.iter().map(capacity).collect();
        let since_instant = self.instant(since);
        let arbiter = self
            .arbiters
            .entry(holder)
            .or_insert_with(|| (since, Arbiter::default()));
        if arbiter.0 != since {
            *arbiter = (since, Arbiter::default());
        }
        let ejected = arbiter
            .1
            .decide(now, since_instant, &capacities, self.config.floor);
        let time = self.time();
        for name in ejected {
            let number = self.announcements.iter().position(|a| a.upstream == name);
            self.report.ejections.push((time, number.expect("announced")));
        }
    }

    /// Records the smallest number of slots that no VM had ejected. Ejections of baselines do not count.
    fn record_min_slots(&mut self, now: Instant) {
        let ejecting: Vec<&Policy> = self.policies.iter().filter(|p| p.has_ejections()).collect();
        let is_used = |a: &&Announcement| !ejecting.iter().any(|p| p.is_ejected(&a.upstream, now));
        let slots = self.announcements.iter().filter(is_used).map(|a| a.slots).sum();
        self.report.min_slots = self.report.min_slots.min(slots);
    }
}
