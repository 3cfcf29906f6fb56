//! Core: limit on the requests that a cold upstream gets from the whole fleet.
//!
//! The leader of the control group grants permits ([`issuer`]); an entry VM holds them ([`permits`]) and sends to a
//! cold upstream only with one ([`gate`]). docs/design/warmup.md derives the bound.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VmName;
use crate::view::Warmup;

pub mod arrivals;
pub mod contact;
pub mod gate;
pub mod issuer;
pub(crate) mod meter;
pub mod pace;
pub mod permits;

/// Time from the request of an entry VM until the permits of its answer expire. Several round trips between failure
/// domains; it adds to the time over which the grants of a window count.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);
/// Shortest time between two requests of a VM for a service. Shorter than [`PERMIT_LIFETIME`], so that a VM with
/// steady demand always holds permits.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Most permits that a VM may ask for at once: the demand of 640 requests/s at one VM, ten times that of a busy one.
pub const MAX_WANTED: u16 = 64;
/// Most permits in one grant, by number of requests.
pub const MAX_PERMITS: usize = 64;

/// Part of the slack for requests without a permit: of VMs that do not know yet that an upstream is cold, of VMs
/// without a control VM, and of the time in which two VMs may lead.
const UNPERMITTED_SLACK: f64 = 0.5;
/// Part of the slack that a token bucket may hold at once.
const BURST_SLACK: f64 = 0.25;
/// Smallest burst in tokens: a bucket that cannot hold a whole token grants nothing.
const MIN_BURST: f64 = 1.0;
/// Time over which the bound counts requests.
const WINDOW: Duration = Duration::from_secs(1);

/// How far the requests to a cold upstream may exceed what it tolerates, set by the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupBound {
    /// Multiple of the tolerated rate.
    pub overshoot: f64,
    /// Further requests in any second.
    pub slack: f64,
}

impl Default for WarmupBound {
    /// Nothing beyond what the upstream tolerates.
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

impl WarmupBound {
    /// Requests without a permit that the fleet may send to an upstream in a second.
    fn unpermitted(&self) -> f64 {
        self.slack * UNPERMITTED_SLACK
    }

    /// Time between two requests of one VM to an upstream of a limited service while the VM has no control VM, for a
    /// fleet of this size; `None` if it may send none.
    pub fn isolated_interval(&self, vms: usize) -> Option<Duration> {
        let seconds = vms as f64 / self.unpermitted();
        let interval = Duration::try_from_secs_f64(seconds).ok();
        // Without a list of entry VMs their number is not known.
        interval.filter(|_| vms > 0)
    }
}

/// Rate and burst of the token bucket of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketLimit {
    /// Tokens per second.
    pub rate: f64,
    /// Most tokens at once.
    pub burst: f64,
}

impl BucketLimit {
    /// The limit that keeps the requests in any second within the bound: those with a permit stem from the grants of
    /// that second and of [`PERMIT_LIFETIME`] before it.
    pub fn new(warmup: Warmup, bound: &WarmupBound) -> Self {
        let allowed = warmup.per_second() * bound.overshoot + bound.slack;
        let burst = (bound.slack * BURST_SLACK).max(MIN_BURST);
        let refilled = (allowed - bound.unpermitted() - burst).max(0.0);
        let rate = refilled / (WINDOW + PERMIT_LIFETIME).as_secs_f64();
        Self { rate, burst }
    }
}

/// Request of an entry VM for permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupRequest {
    /// The requesting VM.
    pub vm: VmName,
    /// Service whose cold upstreams it wants to use.
    pub service: ServiceId,
    /// Number of permits that it can use.
    pub wanted: u16,
    /// Number of the request, unique for the VM.
    pub number: u64,
}

/// Answer of the leader to a [`WarmupRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmupGrant {
    /// Number of the request.
    pub number: u64,
    /// Service of the request.
    pub service: ServiceId,
    /// The permits; each is for one run of an upstream.
    pub permits: Vec<Permit>,
}

/// Permission to send a number of requests to a cold upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start of the run, in milliseconds since 1970 by its clock.
    pub run_start: u64,
    /// Number of requests.
    pub count: u8,
}
