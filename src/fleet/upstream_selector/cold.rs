//! Limits on the requests to cold upstreams.

use std::time::Instant;

use super::UpstreamSelector;
use crate::fleet::discovery::ListedUpstream;
use crate::fleet::health::HealthTable;
use crate::fleet::warmup::gate::Gate;

impl UpstreamSelector {
    /// Replaces the limits, of which there are none at first.
    pub fn set_gate(&mut self, gate: Gate) {
        self.gate = gate;
    }

    /// The limits.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// The limits.
    pub fn gate_mut(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// The better of the upstream with the lowest cost so far and a random cold one with a permit. Few of many cold
    /// upstreams have a permit, and would rarely be drawn before it expires.
    pub(super) fn prefer_permitted<'a>(
        &mut self,
        now: Instant,
        table: &HealthTable,
        free: &[&'a ListedUpstream],
        best: Option<(f32, &'a ListedUpstream)>,
    ) -> Option<&'a ListedUpstream> {
        let permitted = free.iter().copied().filter(|l| self.gate.has_permit(l));
        let permitted: Vec<&ListedUpstream> = permitted.collect();
        let Some(candidate) = self.random(&permitted) else {
            return best.map(|(_, chosen)| chosen);
        };
        let cost = self.cost(now, table, candidate);
        match best {
            Some((lowest, chosen)) if lowest <= cost => Some(chosen),
            _ => Some(candidate),
        }
    }
}
