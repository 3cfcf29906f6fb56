//! Core: the configuration as a deterministic state machine of the replicated log.
//!
//! An accepted change sets the version of the configuration to its log index. A refused change
//! leaves the version as it is. The outcomes of recent operator changes, with the texts of refusals,
//! are part of the replicated state: all replicas must compute the same ones.

pub mod change;
pub mod delta;
pub mod edition;
mod outcomes;
pub mod plan;
mod snapshot;
pub mod witness;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::catalog::change::Change;
use crate::catalog::change::Fault;
use crate::catalog::change::Op;
use crate::catalog::change::Outcome;
use crate::catalog::delta::Delta;
use crate::catalog::delta::Edit;
use crate::catalog::edition::Edition;
use crate::catalog::outcomes::RecentOutcomes;
use crate::catalog::plan::Plan;
use crate::code::Code;
use crate::error::Result;
use crate::id::Index;
use crate::id::KeyId;
use crate::id::RouteId;
use crate::id::Version;
use crate::replication::StateMachine;
use crate::view::Key;
use crate::view::Route;
use crate::view::View;

/// Maximum number of recent deltas that are kept; an entry VM that is further behind fetches the whole
/// configuration.
pub const MAX_TAIL_DELTAS: usize = 2_000;
/// Maximum number of edits in these deltas: a change that replaces the whole configuration has thousands.
pub const MAX_TAIL_EDITS: usize = 10_000;
/// Longest change id, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 128;

/// Customers, keys, routes, services and entry VMs, with the outcomes of recent changes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    view: Arc<View>,
    /// Digests by key id, since the keys in the view are indexed by digest only.
    digests: HashMap<KeyId, SmolStr>,
    outcomes: RecentOutcomes,
    /// The most recent deltas, oldest first.
    tail: VecDeque<Delta>,
    /// Version of the newest delta that was dropped from the tail; 0 if none was.
    tail_base: Version,
    /// Version at which the witness group changed last.
    witness_version: Version,
    /// The last edition that replaced the records, as the operator sent it.
    edition: Option<Arc<Edition>>,
}

impl Catalog {
    /// The empty configuration, version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The current configuration.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// The deltas after a version, or `None` if some of them are no longer kept.
    pub fn deltas_after(&self, after: Version) -> Option<Vec<Delta>> {
        if after < self.tail_base {
            return None;
        }
        let start = self.tail.partition_point(|d| d.version <= after);
        Some(self.tail.range(start..).cloned().collect())
    }

    /// The key with this id.
    pub fn key(&self, id: &KeyId) -> Option<&Key> {
        self.digests.get(id).and_then(|d| self.view.keys.get(d))
    }

    /// The route with this id.
    pub fn route(&self, id: &RouteId) -> Option<&Route> {
        self.view.routes.iter().find(|r| r.id == *id)
    }

    /// Whether an edition with this number replaces the one in force, if there is one.
    pub fn is_newer_edition(&self, number: u64) -> bool {
        let is_first = self.edition.is_none() && self.view.edition == 0;
        is_first || number > self.view.edition
    }

    /// The last edition that replaced the records.
    pub fn edition(&self) -> Option<Arc<Edition>> {
        self.edition.clone()
    }

    /// Version at which the witness group changed last.
    pub fn witness_version(&self) -> Version {
        self.witness_version
    }

    /// Applies the change at a log index, or returns the first outcome if its id was applied before.
    pub fn apply_change(&mut self, index: Index, change: &Change) -> Outcome {
        if change.op.is_idempotent() {
            return self.execute(index, change);
        }
        if change.id.is_empty() || change.id.len() > MAX_CHANGE_ID_BYTES {
            let detail = format!("the change id has {} bytes", change.id.len());
            return self.refuse(Fault::field("change", detail));
        }
        let fingerprint = change.fingerprint();
        if let Some(first) = self.outcomes.get(&change.id) {
            if first.fingerprint != fingerprint {
                let detail = format!("change id {:?} was used with other content", change.id);
                return self.refuse(Fault::new(Code::ChangeIdReused, detail));
            }
            return Outcome {
                repeated: true,
                ..first.outcome.clone()
            };
        }
        let outcome = self.execute(index, change);
        self.outcomes
            .insert(change.id.clone(), fingerprint, outcome.clone());
        outcome
    }

    fn refuse(&self, fault: Fault) -> Outcome {
        Outcome {
            version: self.view.version,
            security: false,
            repeated: false,
            fault: Some(fault),
        }
    }

    fn execute(&mut self, index: Index, change: &Change) -> Outcome {
        let plan = match self.plan(index, change) {
            Ok(plan) => plan,
            Err(fault) => return self.refuse(fault),
        };
        let security = plan.security;
        if !plan.edits.is_empty() {
            if let Op::Replace(edition) = &change.op {
                self.edition = Some(Arc::clone(edition));
            }
            self.apply_plan(index, plan);
        }
        Outcome {
            version: self.view.version,
            security,
            repeated: false,
            fault: None,
        }
    }

    fn apply_plan(&mut self, index: Index, plan: Plan) {
        let mut delta = Delta {
            version: index,
            edits: plan.edits,
        };
        // `make_mut` copies the view only if a reader holds it.
        delta.apply(Arc::make_mut(&mut self.view));
        let next_group = plan.update_witnesses.then(|| self.next_witnesses()).flatten();
        if let Some(witnesses) = next_group {
            Arc::make_mut(&mut self.view).witnesses = witnesses.clone();
            delta.edits.push(Edit::Witnesses(witnesses));
        }
        for edit in &delta.edits {
            match edit {
                Edit::Key(key) => {
                    self.digests.insert(key.id.clone(), key.digest.clone());
                }
                Edit::KeyGone(digest) => self.digests.retain(|_, d| d != digest),
                Edit::Witnesses(_) => self.witness_version = index,
                _ => {}
            }
        }
        self.tail.push_back(delta);
        let mut edits: usize = self.tail.iter().map(|d| d.edits.len()).sum();
        while (self.tail.len() > MAX_TAIL_DELTAS || edits > MAX_TAIL_EDITS)
            && let Some(oldest) = self.tail.pop_front()
        {
            edits -= oldest.edits.len();
            self.tail_base = oldest.version;
        }
    }
}

impl StateMachine for Catalog {
    fn apply(&mut self, index: Index, data: &[u8]) -> Vec<u8> {
        let outcome = match serde_json::from_slice::<Change>(data) {
            Ok(change) => self.apply_change(index, &change),
            Err(e) => self.refuse(Fault::new(Code::BadParams, format!("change: {e}"))),
        };
        serde_json::to_vec(&outcome).expect("an outcome has a JSON form")
    }

    fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<()> {
        *self = snapshot::decode(data)?;
        Ok(())
    }
}
