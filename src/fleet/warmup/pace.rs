//! Core: requests of a VM without a control VM to the upstreams of limited services.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::UpstreamId;
use crate::moment::Moment;
use crate::rendezvous;

/// One request to each upstream in an interval that depends on the size of the fleet.
#[derive(Debug)]
pub struct Pace {
    seed: u64,
    sent: HashMap<UpstreamId, Moment>,
}

impl Pace {
    /// Without requests; each VM has its own seed.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            sent: HashMap::new(),
        }
    }

    /// Whether a request may be sent. The first comes at a random time in the first interval: all VMs of a fleet may
    /// lose their control VMs at once.
    pub fn allows(&self, now: Moment, lost_since: Moment, interval: Duration, upstream: &UpstreamId) -> bool {
        if let Some(sent) = self.sent.get(upstream)
            && now.since(*sent) < interval
        {
            return false;
        }
        let (seed, since) = (self.seed.to_le_bytes(), lost_since.boot.as_nanos().to_le_bytes());
        let hash = rendezvous::hash(&[&seed, &since, upstream.as_bytes()]);
        let delay = interval.mul_f64(hash as f64 / u64::MAX as f64);
        // By the clock on which less has passed: a suspension must not let all VMs that it hit send at once.
        let monotonic = now.monotonic.saturating_duration_since(lost_since.monotonic);
        monotonic >= delay
    }

    /// Records a request.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId) {
        self.sent.insert(upstream.clone(), now);
    }

    /// Drops the requests that no longer delay another one.
    pub fn expire(&mut self, now: Moment, interval: Duration) {
        self.sent.retain(|_, sent| now.since(*sent) < interval);
    }
}
