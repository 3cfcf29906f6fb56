//! What connections hold, and the counter of those that gave way.

use std::sync::LazyLock;

use prometheus::IntCounterVec;
use prometheus::Opts;
use strum::IntoStaticStr;

use crate::answer::MAX_BUFFERED_BYTES;
use crate::head::MAX_REQUEST_HEAD_BYTES;

/// Memory for a head that isn't complete: a buffer that grows by doubling.
pub(super) const MAX_HEAD_HELD_BYTES: usize = 2 * MAX_REQUEST_HEAD_BYTES;
/// Memory for the buffers through which an answer is written, in bytes.
const WRITE_BYTES: usize = 16 << 10;
/// Memory for an answer of any size, in bytes: the part that is read before the caller gets a byte, and the chunks that
/// are queued for the caller.
const MAX_ANSWER_BYTES: usize = MAX_BUFFERED_BYTES + (80 << 10);

/// What a connection was doing when it gave way.
#[derive(Debug, Clone, Copy, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Phase {
    /// Its head was not complete.
    Head,
    /// Its body was not complete.
    Body,
    /// Its answer was not read.
    Answer,
}

/// Memory that an answer takes until it is read.
pub(super) fn answer_bytes(length: Option<usize>) -> usize {
    WRITE_BYTES + length.map_or(MAX_ANSWER_BYTES, |length| length.min(MAX_ANSWER_BYTES))
}

static EVICTIONS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let options = Opts::new(
        "zinnia_connections_evicted_total",
        "Connections that gave way because connections held too much memory, by what they were doing",
    );
    let counter = IntCounterVec::new(options, &["phase"]).expect("the metric is valid");
    // Fails only if a metric with this name exists, which no other file registers.
    let _ = prometheus::register(Box::new(counter.clone()));
    counter
});

pub(super) fn count_eviction(phase: &str) {
    EVICTIONS.with_label_values(&[phase]).inc();
}
