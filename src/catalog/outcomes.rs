//! Outcomes of recent changes by change id, so that a resent change gets the answer of the first one.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::catalog::change::Outcome;
use crate::id::ChangeId;

/// Maximum number of outcomes that are kept; a change that is resent after this many others is treated as a
/// new one.
pub const MAX_OUTCOMES: usize = 100_000;

/// Outcome of one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredOutcome {
    pub id: ChangeId,
    /// Digest of the content that a resent change must repeat.
    pub fingerprint: SmolStr,
    pub outcome: Outcome,
}

/// The last [`MAX_OUTCOMES`] outcomes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct RecentOutcomes {
    /// Change ids, oldest first.
    order: VecDeque<ChangeId>,
    by_id: HashMap<ChangeId, StoredOutcome>,
}

impl RecentOutcomes {
    pub(super) fn get(&self, id: &ChangeId) -> Option<&StoredOutcome> {
        self.by_id.get(id)
    }

    pub(super) fn insert(&mut self, id: ChangeId, fingerprint: SmolStr, outcome: Outcome) {
        let stored = StoredOutcome {
            id: id.clone(),
            fingerprint,
            outcome,
        };
        self.by_id.insert(id.clone(), stored);
        self.order.push_back(id);
        if self.order.len() > MAX_OUTCOMES {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }

    /// All outcomes, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &StoredOutcome> {
        self.order.iter().filter_map(|id| self.by_id.get(id))
    }
}
