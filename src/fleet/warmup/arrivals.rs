//! Core: checks of the requests for permits that a control VM receives.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;

use super::MAX_WANTED;
use super::PERMIT_LIFETIME;
use super::REQUEST_INTERVAL;
use super::WarmupRequest;
use crate::id::ServiceId;
use crate::id::VmName;

/// How much earlier than the interval requires a request may arrive, because those before it were delayed.
const ARRIVAL_TOLERANCE: Duration = PERMIT_LIFETIME;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refused {
    /// It names another VM than the one that sent it.
    ForeignVm,
    /// Its service has no limit on cold upstreams.
    Unlimited,
    /// It asks for no permit or for more than [`MAX_WANTED`].
    Wanted,
    /// Requests of the VM for the service come faster than one in [`REQUEST_INTERVAL`].
    TooFast,
}

/// Requests of one VM by service. A request is refused before it adds a service without a limit.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// When the next request would arrive if all came at the allowed rate.
    due: HashMap<ServiceId, Instant>,
}

impl Arrivals {
    /// Checks a request that `vm` sent.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn admit(
        &mut self,
        now: Instant,
        vm: &VmName,
        is_limited: bool,
        request: &WarmupRequest,
    ) -> Result<(), Refused> {
        if request.vm != *vm {
            return Err(Refused::ForeignVm);
        }
        if !is_limited {
            return Err(Refused::Unlimited);
        }
        if !(1..=MAX_WANTED).contains(&request.wanted) {
            return Err(Refused::Wanted);
        }
        let due = self.due.get(&request.service).copied().unwrap_or(now);
        if due > now + ARRIVAL_TOLERANCE {
            return Err(Refused::TooFast);
        }
        self.due
            .insert(request.service.clone(), due.max(now) + REQUEST_INTERVAL);
        Ok(())
    }
}
