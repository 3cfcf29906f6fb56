//! Faults and changes of the configuration.

use zinnialoom::id::VmName;
use zinnialoom::view::Limit;
use zinnialoom::view::Witnesses;

use super::Event;
use super::SECOND;
use super::SILENT;
use super::World;

impl World {
    pub fn kill(&mut self, n: usize, restart: u64) {
        if !self.is_up(n) {
            return;
        }
        self.nodes[n].up = false;
        self.nodes[n].down_since = Some(self.now);
        self.push(self.now + restart, Event::Restart(n));
        self.push(self.now + SILENT, Event::Detect);
    }

    pub fn freeze(&mut self, n: usize, time: u64) {
        if !self.is_up(n) {
            return;
        }
        self.nodes[n].frozen = true;
        self.nodes[n].down_since = Some(self.now);
        self.push(self.now + time, Event::Resume(n));
        self.push(self.now + SILENT, Event::Detect);
    }

    /// A change that is accepted now: each VM has it with its next exchange, and a VM without an
    /// exchange for 3 s does not serve.
    pub fn set_limit(&mut self, customer: usize, limit: Limit) {
        let old = self.meters[customer].limit;
        self.customers[customer].limit = limit;
        self.customers[customer].version += 1;
        // Until a lowered limit is in force the larger of both counts.
        let larger = Limit {
            rate: old.rate.max(limit.rate),
            burst: old.burst.max(limit.burst),
        };
        self.meters[customer].set_limit(self.now, larger);
        let in_force = self.now + SECOND * 3;
        self.push(in_force, Event::InForce(customer, limit));
    }

    pub fn group(&self) -> &Witnesses {
        &self.group
    }

    pub fn set_group(&mut self, group: Witnesses) {
        self.group = group;
    }

    /// Control drops the previous group once a majority of both has acknowledged the change.
    pub fn settle_group_later(&mut self, group: Witnesses) {
        self.push(self.now + SECOND, Event::Settle(group));
    }

    pub(super) fn settle(&mut self, group: Witnesses) {
        let knows = |n: &&VmName| self.nodes[self.index[*n]].group == self.group;
        let majority = |names: &[VmName]| names.iter().filter(knows).count() > names.len() / 2;
        if majority(&self.group.current) && majority(&self.group.previous) {
            self.group = group;
            return;
        }
        self.settle_group_later(group);
    }
}
