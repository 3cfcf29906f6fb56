//! Prometheus gauges of an entry process.

use std::time::Instant;

use prometheus::IntGauge;
use prometheus::Registry;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::feed::ConfigFeed;
use crate::gossip::Membership;
use crate::stage::Config;

/// Gauges for the components that register no metrics of their own.
pub struct Gauges {
    version: IntGauge,
    fresh: IntGauge,
    live: IntGauge,
    upstreams: IntGauge,
    in_flight: IntGauge,
}

impl Gauges {
    /// Adds the gauges to a registry.
    ///
    /// # Errors
    /// `Kernel` if the registry already has a metric of the same name.
    pub fn register(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| {
            let failed = |e: prometheus::Error| Error::new(Code::Kernel, format!("metric {name}: {e}"));
            let gauge = IntGauge::new(name, help).map_err(failed)?;
            registry.register(Box::new(gauge.clone())).map_err(failed)?;
            Ok::<_, Error>(gauge)
        };
        Ok(Self {
            version: gauge(
                "zinnia_config_version",
                "Version of the configuration that this VM holds.",
            )?,
            fresh: gauge(
                "zinnia_config_fresh",
                "1 if the configuration was confirmed within the last 3 s.",
            )?,
            live: gauge(
                "zinnia_vms_live",
                "Entry VMs whose heartbeat advances and that are not leaving.",
            )?,
            upstreams: gauge(
                "zinnia_upstreams_known",
                "Upstreams that announced themselves within the last 5 s.",
            )?,
            in_flight: gauge("zinnia_upstream_requests", "Requests in flight at upstreams.")?,
        })
    }

    /// Sets the gauges to the current state.
    pub fn update(&self, feed: &ConfigFeed, members: &Membership<ConfigFeed>, in_flight: usize) {
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let version = feed.view().version;
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.fresh.set(feed.is_fresh(Instant::now()).into());
        self.live.set(count(members.live().len()));
        self.upstreams.set(count(members.upstreams().len()));
        self.in_flight.set(count(in_flight));
    }
}
