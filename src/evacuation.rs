//! Records on a process that evacuations of failure domains took effect or ended: log lines, events and a gauge.

use std::sync::LazyLock;

use log::info;
use log::warn;
use prometheus::IntGauge;

use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::id::DomainName;
use crate::view::Evacuation;

/// Number of evacuated failure domains in the configuration that this process uses.
static EVACUATED: LazyLock<Option<IntGauge>> = LazyLock::new(|| {
    let name = "zinnia_evacuated_domains";
    let gauge = IntGauge::new(name, "Failure domains whose upstreams get no requests");
    let registered = gauge.and_then(|g| prometheus::register(Box::new(g.clone())).map(|()| g));
    registered
        .inspect_err(|e| warn!("metric {name} not registered: {e}"))
        .ok()
});

/// Records the change from one list of evacuations to another. `upstreams` gives the number of listed upstreams in a failure domain.
pub fn record_change(before: &[Evacuation], after: &[Evacuation], upstreams: impl Fn(&DomainName) -> usize) {
    let count = after.len();
    if let Some(gauge) = EVACUATED.as_ref() {
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    for Evacuation { domain, version } in after.iter().filter(|e| !before.contains(e)) {
        let listed = upstreams(domain);
        info!("evacuation in force: domain={domain} version={version} upstreams={listed} domains={count}");
        event::record(
            Kind::DomainEvacuated,
            About::detail(format!("{domain} version {version}")),
        );
    }
    let is_over = |e: &&Evacuation| after.iter().all(|a| a.domain != e.domain);
    for Evacuation { domain, version } in before.iter().filter(is_over) {
        let listed = upstreams(domain);
        info!("evacuation over: domain={domain} version={version} upstreams={listed} domains={count}");
        event::record(
            Kind::DomainRestored,
            About::detail(format!("{domain} version {version}")),
        );
    }
}
