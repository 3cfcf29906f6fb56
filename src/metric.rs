//! Metrics of this process in the text format of Prometheus.

use prometheus::Encoder;
use prometheus::TextEncoder;

/// Content type of [`text`].
pub const CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;

/// All metrics of the default registry, with CPU time and memory of the process.
pub fn text() -> String {
    let mut buffer = Vec::new();
    // Encoding into memory fails only for a metric without a name, which registration rules out.
    let _ = TextEncoder::new().encode(&prometheus::gather(), &mut buffer);
    String::from_utf8(buffer).unwrap_or_default()
}
