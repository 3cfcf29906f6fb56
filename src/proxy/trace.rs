//! What logs and the time line learn of a request.

use std::time::Duration;

use log::info;
use smol_str::SmolStr;
use tide::http::Request;

use crate::code::Code;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::Version;

use super::run::Done;

/// Header of an answer made by the system; operators look the request up by it.
const HEADER: &str = "zinnia-request";
/// Longest request id of a caller that is taken over, in bytes.
const ID_BYTES: usize = 128;

/// Names a request and whom it concerns, as far as that is known.
#[derive(Default)]
pub(crate) struct Trace {
    pub(crate) id: RequestId,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) service: Option<ServiceId>,
    pub(crate) route: Option<RouteId>,
    /// Version of the configuration that admitted or refused it.
    pub(crate) version: Version,
}

impl Trace {
    /// Takes over the caller's id if it sent a usable one.
    pub(crate) fn new(request: &Request, made: impl FnOnce() -> SmolStr) -> Self {
        let named = ["idempotency-key", "x-request-id"];
        let given = named
            .iter()
            .find_map(|name| request.header(*name))
            .map(|v| v.as_str());
        let id = given.filter(|id| is_usable(id)).map(SmolStr::from);
        Self {
            id: id.unwrap_or_else(made),
            ..Self::default()
        }
    }

    /// Logs how the request ended; one without an answer of an upstream is recorded as an event too.
    pub(crate) fn end(&self, done: &mut Done, elapsed: Duration) {
        info!(
            "request: id={} route={} service={} customer={} version={} code={} run={} status={} ms={} detail=\"{}\"",
            self.id,
            self.route.as_deref().unwrap_or("-"),
            self.service.as_deref().unwrap_or("-"),
            self.customer.as_deref().unwrap_or("-"),
            self.version,
            done.code.number(),
            done.run,
            done.response.status() as u16,
            elapsed.as_millis(),
            done.detail
        );
        if done.code == Code::Ok {
            return;
        }
        let about = About {
            code: done.code.number(),
            detail: done.detail.clone(),
            ..About::default()
        };
        let customer = self.customer.as_deref().unwrap_or_default();
        let service = self.service.as_deref().unwrap_or_default();
        event::record(
            Kind::RequestFailed,
            about.request(&self.id).customer(customer).upstream(service, ""),
        );
        done.response.insert_header(HEADER, self.id.as_str());
    }
}

/// A caller may put its key into the wrong header, and events must not hold keys.
fn is_usable(id: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/');
    id.len() <= ID_BYTES && id.chars().all(is_plain) && !id.contains(crate::secret::KEY_PREFIX)
}
