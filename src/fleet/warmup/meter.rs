//! Counters of permits and of refused messages.

use std::sync::LazyLock;

use prometheus::IntCounterVec;
use prometheus::Opts;

/// Permits by what became of them.
static PERMITS: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let help = "Permits for cold upstreams: granted (leader), received, expired unused (entry VM)";
    register("zinnia_warmup_permits_total", help, "event")
});
/// Refused messages by reason.
static REFUSED: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let help = "Messages about permits for cold upstreams that were refused, by reason";
    register("zinnia_warmup_refused_total", help, "reason")
});

fn register(name: &str, help: &str, label: &str) -> Option<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label]);
    let registered = counters.and_then(|c| prometheus::register(Box::new(c.clone())).map(|()| c));
    registered
        .inspect_err(|e| log::warn!("metric {name} not registered: {e}"))
        .ok()
}

/// Counts permits.
pub(crate) fn count_permits(event: &str, count: usize) {
    if let Some(counters) = PERMITS.as_ref() {
        counters.with_label_values(&[event]).inc_by(count as u64);
    }
}

/// Counts a refused message.
pub(crate) fn count_refused(reason: &str) {
    if let Some(counters) = REFUSED.as_ref() {
        counters.with_label_values(&[reason]).inc();
    }
}
