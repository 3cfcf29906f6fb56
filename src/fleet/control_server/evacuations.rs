//! Orders to evacuate a failure domain, and to end the evacuation.
//!
//! Every order is proposed to the replicated log, also one that this replica shows as done already: the replica may be
//! behind, and an order must not be acknowledged by a state that a later order has changed.

use std::sync::LazyLock;

use log::info;
use log::warn;
use prometheus::IntCounterVec;
use prometheus::Opts;

use super::ControlServer;
use super::Shared;
use crate::catalog::Catalog;
use crate::catalog::change::Op;
use crate::catalog::change::Outcome;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::message::PLACEMENT_REVISION;
use crate::id::DomainName;

impl ControlServer {
    /// Orders that the upstreams of a failure domain get no requests. The order is durable on a majority of the control
    /// VMs when this returns, and may be repeated.
    ///
    /// # Errors
    /// `UnknownDomain` if the settings list failure domains without this one, `BadParams` if it is no name,
    /// `EvacuationLimit`, `MixedBuilds`; `NotLeader`, `NoQuorum` or `Timeout`: the order may or may not have been
    /// recorded.
    pub async fn evacuate(&self, domain: DomainName) -> Result<()> {
        let shared = &self.shared;
        let op = Op::Evacuate {
            domain: domain.clone(),
        };
        let outcome = shared.order(&domain, op).await?;
        let upstreams = shared.count_upstreams(&domain);
        let version = outcome.version;
        match upstreams {
            0 => warn!(
                "evacuation accepted: domain={domain} version={version} upstreams=0 reason=\"none is listed yet\""
            ),
            _ => info!("evacuation accepted: domain={domain} version={version} upstreams={upstreams}"),
        }
        Ok(())
    }

    /// Ends the evacuation of a failure domain; changes nothing if it is not evacuated. Durable when this returns, and
    /// may be repeated.
    ///
    /// # Errors
    /// As for `evacuate`.
    pub async fn restore(&self, domain: DomainName) -> Result<()> {
        let was_evacuated = self.shared.is_evacuated(&domain)?;
        let op = Op::Restore {
            domain: domain.clone(),
        };
        let outcome = self.shared.order(&domain, op).await?;
        info!(
            "evacuation end accepted: domain={domain} version={} evacuated_before={was_evacuated}",
            outcome.version
        );
        Ok(())
    }
}

/// Orders to this control VM by the number of their result code, 0 for accepted ones.
static ORDERS: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let name = "zinnia_evacuation_orders_total";
    let opts = Opts::new(name, "Orders to start or end an evacuation, by result code");
    let counters = IntCounterVec::new(opts, &["code"]);
    let registered = counters.and_then(|c| prometheus::register(Box::new(c.clone())).map(|()| c));
    registered
        .inspect_err(|e| warn!("metric {name} not registered: {e}"))
        .ok()
});

impl Shared {
    async fn order(&self, domain: &DomainName, op: Op) -> Result<Outcome> {
        let result = self.try_order(domain, op).await;
        let code = result.as_ref().map_or_else(|e| e.code.number(), |_| 0);
        if let Some(orders) = ORDERS.as_ref() {
            orders.with_label_values(&[&code.to_string()]).inc();
        }
        result.inspect_err(|e| warn!("evacuation order not accepted: domain={domain} reason=\"{e}\""))
    }

    async fn try_order(&self, domain: &DomainName, op: Op) -> Result<Outcome> {
        self.check_domain(domain).await?;
        self.check_revisions(PLACEMENT_REVISION).await?;
        let outcome = self.propose_change(op).await?;
        match &outcome.fault {
            Some(fault) => Err(Error::new(fault.code(), fault.detail.clone())),
            None => Ok(outcome),
        }
    }

    /// Checks that the settings list the failure domain, if they list any. One that is evacuated is known in any case:
    /// the settings may have changed since.
    async fn check_domain(&self, domain: &DomainName) -> Result<()> {
        if self.domains.is_empty() || self.domains.contains(domain) {
            return Ok(());
        }
        // This replica may be behind the one that accepted the evacuation.
        self.catch_up().await?;
        if self.is_evacuated(domain)? {
            return Ok(());
        }
        let detail = format!(
            "{domain:?} is not one of the {} known domains",
            self.domains.len()
        );
        Err(Error::new(Code::UnknownDomain, detail))
    }

    fn is_evacuated(&self, domain: &DomainName) -> Result<bool> {
        Ok(self.replication()?.read(Catalog::view).is_evacuated(domain))
    }

    fn count_upstreams(&self, domain: &DomainName) -> usize {
        let state = self.state.lock();
        state.upstreams.count_in(domain)
    }
}
