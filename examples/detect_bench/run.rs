//! Parameters, faults and report of a run.

use std::collections::VecDeque;

use zinnialoom::id::UpstreamId;
use zinnialoom::stage::AttemptResult;

use super::policy::PolicyKind;

/// Microseconds since the start of a run.
pub type Micros = u64;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Kind of fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, strum::Display)]
pub enum FaultKind {
    /// Every request takes this many times as long.
    Slow(f64),
    /// This share of requests fails at once.
    Errors(f64),
    /// This share of requests is never answered.
    Stalls(f64),
    /// Responses to all VMs are lost.
    CutOut,
    /// Ten times slower for 10 s, then healthy for 10 s.
    Flapping,
    /// This share of requests is refused as overload.
    Sheds(f64),
}

/// A fault of one upstream during a time span.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Number of the upstream.
    pub upstream: usize,
    /// Start, in microseconds since the start of the run.
    pub start: Micros,
    /// End, in microseconds since the start of the run.
    pub end: Micros,
}

/// Kind of fault of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmFault {
    /// The process has ended.
    Killed,
    /// The process is paused; it handles messages after it resumes.
    Frozen,
    /// Messages from this VM to others are lost.
    CutOut,
    /// Messages from other VMs to this one are lost.
    CutIn,
    /// All its requests to upstreams take ten times as long.
    SlowPath,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// Entry VMs.
    pub vms: usize,
    /// Failure domains.
    pub domains: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Requests per second to the service.
    pub rate: f64,
    /// Floor of the service: the number of slots that ejections must leave in use.
    pub floor: u32,
    /// Share of requests that take ten times as long.
    pub heavy: f64,
    /// Latency factor of the last of the 8 customers.
    pub slow_customer: f64,
    /// Time between two ticks of a VM.
    pub tick: Micros,
    /// Duration of the run.
    pub length: Micros,
    /// How VMs select upstreams.
    pub policy: PolicyKind,
    /// Faults of upstreams.
    pub faults: Vec<Fault>,
    /// Faults of VMs: number of the VM, kind, start, end.
    pub vm_faults: Vec<(usize, VmFault, Micros, Micros)>,
}

impl Default for RunConfig {
    fn default() -> Self {
        Self {
            vms: 48,
            domains: 3,
            upstreams: 20,
            slots: 6,
            rate: 100.0,
            floor: 90,
            heavy: 0.02,
            slow_customer: 1.0,
            tick: SECOND / 10,
            length: 60 * SECOND,
            policy: PolicyKind::Balancer,
            faults: Vec::new(),
            vm_faults: Vec::new(),
        }
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Ejections: time and number of the upstream.
    pub ejections: Vec<(Micros, usize)>,
    /// Latencies of answered requests in microseconds.
    pub latencies: Vec<Micros>,
    /// Requests that ended without a successful answer.
    pub failures: u64,
    /// Attempts that found all slots of their upstream in use.
    pub overruns: u64,
    /// Smallest number of slots, over the run, of upstreams that no VM had ejected. Ejections of baselines do
    /// not count.
    pub min_slots: u32,
    /// Times at which the arbiter's lease moved to another VM.
    pub lease_moves: Vec<Micros>,
    /// Attempts sent to each upstream, by second.
    pub sent: Vec<Vec<u32>>,
}

impl Report {
    /// 99th percentile of the latencies in milliseconds.
    pub fn p99(&mut self) -> f64 {
        self.latencies.sort_unstable();
        let index = self.latencies.len() * 99 / 100;
        self.latencies.get(index).map_or(0.0, |l| *l as f64 / 1000.0)
    }
}

/// One attempt of a request in flight.
pub struct Request {
    pub vm: usize,
    pub upstream: usize,
    pub route: usize,
    pub customer: usize,
    /// Arrival of the request.
    pub arrived: Micros,
    /// Start of this attempt.
    pub sent: Micros,
    /// Seconds that the upstream takes without a fault.
    pub work: f64,
    pub result: AttemptResult,
    pub finished: bool,
    /// Upstreams of this attempt and the earlier ones.
    pub tried: Vec<UpstreamId>,
}

/// Running and queued requests of an upstream.
#[derive(Default)]
pub struct Server {
    pub running: u32,
    pub queue: VecDeque<u64>,
}
