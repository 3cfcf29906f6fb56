//! Component that selects upstreams, reports evidence to the arbiters and runs the arbiters of this VM.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use crate::balance::Balancer;
use crate::balance::Transition;
use crate::clients::Clients;
use crate::code::Code;
use crate::component::Component;
use crate::ejection::Arbiter;
use crate::ejection::Capacity;
use crate::ejection::Ejection;
use crate::ejection::Evidence;
use crate::error::Error;
use crate::error::Result;
use crate::evacuation;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::fleet::homes::HomeRules;
use crate::gossip::Membership;
use crate::gossip::VmIdentity;
use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::VmName;
use crate::job::Jobs;
use crate::member::Announcement;
use crate::member::UpstreamState;
use crate::stage::ChoiceCriteria;
use crate::stage::Chooser;
use crate::stage::ChosenUpstream;
use crate::stage::Config;
use crate::stage::Sample;
use crate::timer::Timer;
use crate::view::Evacuation;

/// Name of the RPC method that reports evidence to an arbiter and returns the ejections in force.
pub const REPORT_METHOD: &str = "permit.ask";
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two reports of a service while there is urgent evidence.
const URGENT_REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Shortest time between two reports with other evidence.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Time between two reports without evidence, which only fetch the ejections in force.
const IDLE_REPORT_PERIOD: Duration = Duration::from_millis(1_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Lease holders of the partitions; implemented by the lease component.
pub trait Leases: Send + Sync + 'static {
    /// Partition that a name, such as that of a service, belongs to.
    fn partition(&self, name: &str) -> u32;

    /// Since when this VM has held the lease of a partition without a gap; `None` if it does not hold it.
    fn held_since(&self, partition: u32, now: Instant) -> Option<Instant>;

    /// VMs that may hold the lease, in descending order of probability.
    fn candidates(&self, partition: u32) -> Vec<VmName>;
}

/// Evidence about the upstreams of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The service.
    pub service: ServiceId,
    /// What the caller observed since its last report.
    pub evidence: Evidence,
}

/// Answer of an arbiter; `None` if the VM is not the arbiter.
pub type EvidenceAnswer = Option<Vec<Ejection>>;

/// State of the reports of this VM about one service.
struct ReportState {
    /// VM that answered the last report as the arbiter.
    arbiter: Option<VmName>,
    /// Position of the next VM to try in the list of candidates, used while the arbiter is unknown.
    next_candidate: usize,
    /// When the last report ended; at first, when the first one was considered.
    last_ended: Instant,
    in_flight: bool,
}

/// An arbiter of this VM; a new one is created when the lease starts again.
struct LeasedArbiter {
    since: Instant,
    arbiter: Arbiter,
}

type Balancers = HashMap<ServiceId, Arc<Mutex<Balancer>>>;

struct Shared<C, L> {
    identity: VmIdentity,
    seed: u64,
    config: Arc<C>,
    members: Arc<Membership<C>>,
    leases: Arc<L>,
    clients: Arc<Clients>,
    balancers: RwLock<Balancers>,
    arbiters: Mutex<HashMap<ServiceId, LeasedArbiter>>,
    reports: Mutex<HashMap<ServiceId, ReportState>>,
    /// Evacuations in force since the last tick.
    evacuated: Mutex<Vec<Evacuation>>,
}

/// The running component; selects upstreams for the request path.
pub struct Upstreams<C, L> {
    shared: Arc<Shared<C, L>>,
    jobs: Jobs,
}

impl<C: Config, L: Leases> Upstreams<C, L> {
    /// Starts the component.
    pub fn spawn(
        identity: &VmIdentity,
        seed: u64,
        config: Arc<C>,
        members: Arc<Membership<C>>,
        leases: Arc<L>,
        clients: Arc<Clients>,
        timer: &Timer,
    ) -> Self {
        let shared = Arc::new(Shared {
            identity: identity.clone(),
            seed,
            config,
            members,
            leases,
            clients,
            balancers: RwLock::default(),
            arbiters: Mutex::default(),
            reports: Mutex::default(),
            evacuated: Mutex::default(),
        });
        let jobs = Jobs::default();
        let ticks = timer.subscribe(TICK_PERIOD);
        let worker = Arc::clone(&shared);
        jobs.spawn(async move {
            while let Some(now) = ticks.next().await {
                worker.tick(now);
            }
        });
        Self { shared, jobs }
    }

    /// Adds `permit.ask` to the methods of the process.
    ///
    /// # Errors
    /// `Kernel` if the method is already registered.
    pub fn register(&self, module: &mut RpcModule<()>) -> Result<()> {
        let shared = Arc::clone(&self.shared);
        module
            .register_method(
                REPORT_METHOD,
                move |params, _, _| -> std::result::Result<EvidenceAnswer, ErrorObjectOwned> {
                    Ok(shared.handle_report(params.parse()?, Instant::now()))
                },
            )
            .map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
        Ok(())
    }

    /// Requests of this VM in flight at all upstreams.
    pub fn in_flight(&self) -> usize {
        let balancers = self.shared.balancers.read().unwrap();
        balancers.values().map(|b| b.lock().unwrap().in_flight()).sum()
    }
}

impl<C: Config, L: Leases> Component for Upstreams<C, L> {
    const NAME: &'static str = "upstreams";

    async fn stop(&self) {
        self.jobs.stop().await;
    }
}

impl<C: Config, L: Leases> Chooser for Upstreams<C, L> {
    fn choose(&self, criteria: &ChoiceCriteria<'_>) -> Result<ChosenUpstream> {
        if self.shared.has_homes(criteria.route, criteria.customer) {
            let detail = "the request has home regions, and these VMs know the region of no upstream";
            return Err(Error::new(Code::NoUpstream, detail));
        }
        let balancer = self.shared.balancer(criteria.service)?;
        balancer.lock().unwrap().choose(Instant::now(), criteria)
    }

    fn is_available(&self, chosen: &ChosenUpstream, route: &RouteId, customer: Option<&CustomerId>) -> bool {
        if self.shared.has_homes(route, customer) {
            return false;
        }
        let balancer = self.shared.balancer(&chosen.service);
        balancer.is_ok_and(|b| !b.lock().unwrap().is_evacuated(&chosen.upstream))
    }

    fn finish(&self, chosen: ChosenUpstream, sample: Sample) {
        if let Ok(balancer) = self.shared.balancer(&chosen.service) {
            balancer.lock().unwrap().finish(Instant::now(), &chosen, &sample);
        }
    }

    fn take_retry(&self, service: &ServiceId) -> bool {
        let balancer = self.shared.balancer(service);
        balancer.is_ok_and(|b| b.lock().unwrap().take_retry())
    }

    fn reuse_timeout(&self, route: &RouteId) -> Duration {
        let view = self.shared.config.view();
        let service = view.routes.iter().find(|r| r.id == *route).map(|r| &r.service);
        let balancer = service.and_then(|s| self.shared.balancer(s).ok());
        balancer.map_or(crate::balance::MIN_REUSE_TIMEOUT, |b| {
            b.lock().unwrap().reuse_timeout(route)
        })
    }
}

impl<C: Config, L: Leases> Shared<C, L> {
    /// Whether a request may be run only in some regions.
    fn has_homes(&self, route: &RouteId, customer: Option<&CustomerId>) -> bool {
        let homes = &self.config.view().homes;
        let rules = HomeRules::default();
        !rules.allowed(homes, route, customer).is_everywhere()
    }

    fn balancer(&self, service: &ServiceId) -> Result<Arc<Mutex<Balancer>>> {
        let balancers = self.balancers.read().unwrap();
        balancers.get(service).cloned().ok_or_else(|| {
            Error::new(
                Code::NoUpstream,
                format!("service {service}: no upstream announced"),
            )
        })
    }

    fn tick(self: &Arc<Self>, now: Instant) {
        let announcements = self.members.upstreams();
        let vms = self.members.live().len();
        let evacuated = self.update_evacuated(&announcements);
        for (announcement, announced_at) in &announcements {
            let balancer = self.balancer(&announcement.service).unwrap_or_else(|_| {
                let balancer = Balancer::new(self.identity.domain.clone(), self.seed);
                let balancer = Arc::new(Mutex::new(balancer));
                let mut balancers = self.balancers.write().unwrap();
                balancers.insert(announcement.service.clone(), Arc::clone(&balancer));
                balancer
            });
            balancer.lock().unwrap().update(announcement, *announced_at, now);
        }
        let balancers: Vec<(ServiceId, Arc<Mutex<Balancer>>)> = {
            let balancers = self.balancers.read().unwrap();
            balancers
                .iter()
                .map(|(s, b)| (s.clone(), Arc::clone(b)))
                .collect()
        };
        let mut in_flight = 0;
        for (service, balancer) in balancers {
            let (transitions, is_urgent) = {
                let mut balancer = balancer.lock().unwrap();
                balancer.set_vms(vms);
                balancer.set_evacuated(evacuated.clone());
                in_flight += balancer.in_flight();
                (balancer.tick(now), balancer.detector.is_urgent())
            };
            for (upstream, transition) in transitions {
                event::record(transition.into(), About::default().upstream(&service, &upstream));
            }
            self.run_arbiter(&service, &announcements, now);
            self.report(&service, &balancer, is_urgent, now);
        }
        self.members
            .set_load(u32::try_from(in_flight).unwrap_or(u32::MAX));
    }

    /// The failure domains that the configuration evacuates; records what changed since the last call.
    fn update_evacuated(&self, announcements: &[(Announcement, Instant)]) -> Vec<DomainName> {
        let view = self.config.view();
        let mut evacuated = self.evacuated.lock().unwrap();
        if *evacuated != view.evacuated {
            let count = |d: &DomainName| announcements.iter().filter(|(a, _)| a.domain == *d).count();
            evacuation::record_change(&evacuated, &view.evacuated, count);
            evacuated.clone_from(&view.evacuated);
        }
        evacuated.iter().map(|e| e.domain.clone()).collect()
    }

    /// Updates the ejections of a service if this VM holds the lease of the service's partition.
    fn run_arbiter(&self, service: &ServiceId, announcements: &[(Announcement, Instant)], now: Instant) {
        let view = self.config.view();
        let Some(record) = view.services.get(service) else {
            return;
        };
        let mut arbiters = self.arbiters.lock().unwrap();
        let Some(since) = self.leases.held_since(self.leases.partition(service), now) else {
            arbiters.remove(service);
            return;
        };
        let leased = arbiters
            .entry(service.clone())
            .or_insert_with(|| LeasedArbiter::new(since));
        if leased.since != since {
            *leased = LeasedArbiter::new(since);
        }
        let capacities: Vec<Capacity> = announcements
            .iter()
            .filter(|(a, _)| a.service == *service)
            // Upstreams that get no requests add nothing to the capacity that the floor protects.
            .filter(|(a, _)| !view.is_evacuated(&a.domain))
            .map(|(a, _)| capacity(a))
            .collect();
        for upstream in leased.arbiter.decide(now, since, &capacities, record.floor) {
            let about = About::detail("permit issued").upstream(service, &upstream);
            event::record(Kind::Ejected, about);
        }
    }

    fn handle_report(&self, report: EvidenceReport, now: Instant) -> EvidenceAnswer {
        let since = self
            .leases
            .held_since(self.leases.partition(&report.service), now)?;
        let mut arbiters = self.arbiters.lock().unwrap();
        let leased = arbiters.get_mut(&report.service).filter(|l| l.since == since)?;
        leased.arbiter.add_evidence(now, report.evidence);
        Some(leased.arbiter.renew_ejections(now))
    }

    fn report(
        self: &Arc<Self>,
        service: &ServiceId,
        balancer: &Arc<Mutex<Balancer>>,
        is_urgent: bool,
        now: Instant,
    ) {
        let Some(target) = self.target(service, is_urgent, now) else {
            return;
        };
        let (tallies, has_evidence) = {
            let mut balancer = balancer.lock().unwrap();
            let tallies = balancer.detector.take_unsent();
            let has_evidence = !tallies.is_empty();
            (tallies, has_evidence)
        };
        let since_last = self.begin_report(service, now);
        if !has_evidence && since_last < IDLE_REPORT_PERIOD {
            self.end_report(service, None, false);
            return;
        }
        let report = EvidenceReport {
            service: service.clone(),
            evidence: Evidence {
                vm: self.identity.vm.clone(),
                domain: self.identity.domain.clone(),
                tallies,
            },
        };
        let (shared, balancer) = (Arc::clone(self), Arc::clone(balancer));
        task::spawn(async move { shared.send_report(target, report, balancer).await });
    }

    async fn send_report(&self, target: VmName, report: EvidenceReport, balancer: Arc<Mutex<Balancer>>) {
        let sent = Instant::now();
        let service = report.service.clone();
        let answer = if target == self.identity.vm {
            self.handle_report(report, sent)
        } else {
            self.call_peer(&target, &report).await.ok().flatten()
        };
        self.end_report(&service, answer.is_some().then_some(target), true);
        if let Some(ejections) = answer {
            balancer.lock().unwrap().ejections.apply(sent, &ejections);
        }
    }

    async fn call_peer(&self, target: &VmName, report: &EvidenceReport) -> Result<EvidenceAnswer> {
        let address = self.members.peer(target).ok_or(Code::Unreachable)?;
        let client = self.clients.client(address);
        client.call(REPORT_METHOD, report, CALL_TIMEOUT).await
    }

    /// The VM to which a report is due; `None` if the last one is recent or unanswered, or no VM is known.
    fn target(&self, service: &ServiceId, is_urgent: bool, now: Instant) -> Option<VmName> {
        let mut reports = self.reports.lock().unwrap();
        let state = reports.entry(service.clone()).or_insert_with(|| ReportState {
            arbiter: None,
            next_candidate: 0,
            last_ended: now,
            in_flight: false,
        });
        let period = if is_urgent {
            URGENT_REPORT_PERIOD
        } else {
            REPORT_PERIOD
        };
        if state.in_flight || now.saturating_duration_since(state.last_ended) < period {
            return None;
        }
        if let Some(arbiter) = &state.arbiter {
            return Some(arbiter.clone());
        }
        let candidates = self.leases.candidates(self.leases.partition(service));
        let found = candidates
            .get(state.next_candidate % candidates.len().max(1))
            .cloned();
        state.next_candidate += 1;
        found
    }

    /// Marks a report as in flight; returns the time since the last one ended.
    fn begin_report(&self, service: &ServiceId, now: Instant) -> Duration {
        let mut reports = self.reports.lock().unwrap();
        let Some(state) = reports.get_mut(service) else {
            return Duration::ZERO;
        };
        state.in_flight = true;
        now.saturating_duration_since(state.last_ended)
    }

    /// Ends a report; `arbiter` is the VM that answered it as the arbiter.
    fn end_report(&self, service: &ServiceId, arbiter: Option<VmName>, was_sent: bool) {
        let mut reports = self.reports.lock().unwrap();
        let Some(state) = reports.get_mut(service) else {
            return;
        };
        state.in_flight = false;
        if !was_sent {
            return;
        }
        state.last_ended = Instant::now();
        if arbiter.is_some() {
            state.next_candidate = 0;
        }
        state.arbiter = arbiter;
    }
}

impl LeasedArbiter {
    fn new(since: Instant) -> Self {
        Self {
            since,
            arbiter: Arbiter::default(),
        }
    }
}

/// Capacity of an upstream for the floor: its slots if it is ready, otherwise 0.
pub fn capacity(announcement: &Announcement) -> Capacity {
    let is_ready = announcement.state == UpstreamState::Ready;
    Capacity {
        upstream: announcement.upstream.clone(),
        slots: if is_ready { announcement.slots } else { 0 },
    }
}

impl From<Transition> for Kind {
    fn from(transition: Transition) -> Self {
        match transition {
            Transition::Shifted => Kind::Shifted,
            Transition::Ejected => Kind::Ejected,
            Transition::Reinstated => Kind::Reinstated,
        }
    }
}
