//! Plans of the changes that evacuate a failure domain and end the evacuation.

use super::Plan;
use super::PlanResult;
use crate::catalog::Catalog;
use crate::catalog::change::Fault;
use crate::catalog::delta::Edit;
use crate::code::Code;
use crate::id::DomainName;
use crate::id::Index;
use crate::view::Evacuation;

/// Maximum number of failure domains that are evacuated at the same time; each is sent to every entry VM. A fleet of full
/// size has 17 failure domains.
pub const MAX_EVACUATED: usize = 64;
/// Longest name of a failure domain, in bytes. Longer than the names of other objects, because upstreams announce any
/// text as their failure domain.
pub const MAX_DOMAIN_BYTES: usize = 256;

impl Catalog {
    /// Records the evacuation of a failure domain; no effect if it is recorded already.
    pub(super) fn evacuate(&self, index: Index, domain: &DomainName) -> PlanResult {
        let is_printable = !domain.chars().any(char::is_control);
        if domain.is_empty() || domain.len() > MAX_DOMAIN_BYTES || !is_printable {
            let detail = format!("{domain:?} is not a printable name of 1 to {MAX_DOMAIN_BYTES} bytes");
            return Err(Fault::field("domain", detail));
        }
        if self.view.is_evacuated(domain) {
            return Ok(Plan::default());
        }
        if self.view.evacuated.len() >= MAX_EVACUATED {
            let detail = format!("{MAX_EVACUATED} failure domains are evacuated already");
            return Err(Fault::new(Code::EvacuationLimit, detail));
        }
        Ok(Plan::single(Edit::Evacuated(Evacuation {
            domain: domain.clone(),
            version: index,
        })))
    }

    /// Ends the evacuation of a failure domain; no effect if it is not evacuated.
    pub(super) fn restore(&self, domain: &DomainName) -> Plan {
        match self.view.is_evacuated(domain) {
            true => Plan::single(Edit::Restored(domain.clone())),
            false => Plan::default(),
        }
    }
}
