//! Core: the number of entry VMs that share a limit or a budget without a leader.

use std::time::Duration;
use std::time::Instant;

/// Time for which a larger number counts after it fell. A control VM that has restarted lists few VMs or none until
/// all have connected again, and each of these would take a larger share.
const RETENTION: Duration = Duration::from_secs(10);

/// The number of entry VMs in the lists of the control VMs.
#[derive(Debug, Default)]
pub struct VmCount {
    current: usize,
    /// A larger number before, and until when it counts.
    former: Option<(usize, Instant)>,
}

impl VmCount {
    /// Records the length of a list.
    pub fn observe(&mut self, now: Instant, count: usize) {
        if count < self.current {
            self.former = Some((self.get(now), now + RETENTION));
        }
        self.current = count;
    }

    /// The number of VMs that may hold a share; 0 before the first list.
    pub fn get(&self, now: Instant) -> usize {
        let former = self.former.filter(|(_, until)| now < *until);
        former.map_or(self.current, |(count, _)| count.max(self.current))
    }
}
