//! How a VM selects upstreams: by the balancer of an entry VM or by one of the baselines.

use std::time::Duration;
use std::time::Instant;

use zinnialoom::balance::Balancer;
use zinnialoom::id::DomainName;
use zinnialoom::member::Announcement;
use zinnialoom::stage::AttemptResult;
use zinnialoom::stage::ChoiceCriteria;
use zinnialoom::stage::ChosenUpstream;
use zinnialoom::stage::Sample;

/// Consecutive errors after which the [`PolicyKind::ConsecutiveErrors`] baseline ejects an upstream.
const ERROR_THRESHOLD: u32 = 5;
const EJECTION_TIME: Duration = Duration::from_secs(30);

/// Which policy a run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum PolicyKind {
    /// The balancer of an entry VM, with ejections that an arbiter decides from the evidence of all VMs.
    #[strum(to_string = "Fleet")]
    Balancer,
    /// Round robin without ejection.
    RoundRobin,
    /// Round robin; each VM ejects an upstream for 30 s after 5 consecutive errors.
    #[strum(to_string = "Consecutive")]
    ConsecutiveErrors,
}

/// Selection state of one VM.
pub enum Policy {
    /// The balancer of an entry VM.
    Balancer(Box<Balancer>),
    /// A baseline.
    Baseline(Baseline),
}

/// Round robin, with or without ejection after consecutive errors.
pub struct Baseline {
    /// Whether consecutive errors eject an upstream.
    can_eject: bool,
    /// Upstream chosen last, at the start one given by the seed; the next choice starts after it.
    last_chosen: usize,
    /// Consecutive errors of each upstream.
    errors: Vec<u32>,
    /// End of the last ejection of each upstream.
    ejected_until: Vec<Option<Instant>>,
    /// Upstreams that were ejected since the caller last emptied the list.
    pub new_ejections: Vec<usize>,
}

impl Policy {
    /// The state of a VM that has just started.
    pub fn new(policy: PolicyKind, domain: DomainName, vms: usize, upstreams: usize, seed: u64) -> Self {
        if policy == PolicyKind::Balancer {
            let mut balancer = Balancer::new(domain, seed);
            balancer.set_vms(vms);
            return Self::Balancer(Box::new(balancer));
        }
        Self::Baseline(Baseline {
            can_eject: policy == PolicyKind::ConsecutiveErrors,
            last_chosen: seed as usize % upstreams,
            errors: vec![0; upstreams],
            ejected_until: vec![None; upstreams],
            new_ejections: Vec::new(),
        })
    }

    /// Handles an announcement of an upstream, which arrives without delay. Baselines ignore it.
    pub fn update(&mut self, announcement: &Announcement, now: Instant) {
        if let Self::Balancer(balancer) = self {
            balancer.update(announcement, now, now);
        }
    }

    /// Advances the balancer to the given time; does nothing for a baseline.
    pub fn tick(&mut self, now: Instant) {
        if let Self::Balancer(balancer) = self {
            balancer.tick(now);
        }
    }

    /// Selects an upstream; returns its number.
    pub fn choose(&mut self, now: Instant, criteria: &ChoiceCriteria<'_>) -> Option<usize> {
        match self {
            Self::Balancer(balancer) => balancer
                .choose(now, criteria)
                .ok()
                .map(|p| upstream_number(&p.upstream)),
            Self::Baseline(baseline) => baseline.choose(now),
        }
    }

    /// Records the result of an attempt on an upstream.
    pub fn finish(&mut self, now: Instant, upstream: usize, sample: &Sample) {
        match self {
            Self::Balancer(balancer) => balancer.finish(now, &chosen_upstream(upstream), sample),
            Self::Baseline(baseline) => baseline.finish(now, upstream, sample),
        }
    }

    /// Whether the last answer of the arbiter to this VM listed ejections, expired ones included. The arbiter
    /// is the VM that decides the ejections for all VMs. Baselines have none, so this is always false for
    /// them.
    pub fn has_ejections(&self) -> bool {
        matches!(self, Self::Balancer(balancer) if !balancer.ejections.is_empty())
    }

    /// Whether this VM applies an ejection of the upstream by the arbiter; always false for a baseline.
    pub fn is_ejected(&self, upstream: &str, now: Instant) -> bool {
        matches!(self, Self::Balancer(balancer) if balancer.is_ejected(&upstream.into(), now))
    }

    /// Takes a retry from the budget; false if none is left. Baselines have no budget.
    pub fn take_retry(&mut self) -> bool {
        match self {
            Self::Balancer(balancer) => balancer.take_retry(),
            Self::Baseline(_) => true,
        }
    }
}

impl Baseline {
    fn choose(&mut self, now: Instant) -> Option<usize> {
        let count = self.ejected_until.len();
        let is_available = |n: &usize| self.ejected_until[*n].is_none_or(|end| end <= now);
        let found = (1..=count)
            .map(|k| (self.last_chosen + k) % count)
            .find(is_available)?;
        self.last_chosen = found;
        Some(found)
    }

    fn finish(&mut self, now: Instant, upstream: usize, sample: &Sample) {
        if matches!(sample.result, AttemptResult::Answered | AttemptResult::Shed) {
            self.errors[upstream] = 0;
            return;
        }
        self.errors[upstream] += 1;
        if self.can_eject && self.errors[upstream] >= ERROR_THRESHOLD {
            self.errors[upstream] = 0;
            self.ejected_until[upstream] = Some(now + EJECTION_TIME);
            self.new_ejections.push(upstream);
        }
    }
}

fn upstream_number(name: &str) -> usize {
    name.trim_start_matches('u')
        .parse()
        .expect("named u00, u01, ... by the simulation")
}

fn chosen_upstream(upstream: usize) -> ChosenUpstream {
    ChosenUpstream {
        run_start: 0,
        service: "s".into(),
        upstream: format!("u{upstream:02}").into(),
        domain: "d".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        connections: 1,
        reason: "policy",
        permit: None,
    }
}
