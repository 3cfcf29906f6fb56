//! Log line and event of a request.

use std::time::Duration;

use log::info;
use smol_str::SmolStr;
use tide::http::Request;

use crate::code::Code;
use crate::conventions::HttpConventions;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::Version;

use super::run::Completion;

/// Header with the request id in answers made by the proxy; operators look the request up by it.
const ID_HEADER: &str = "zinnia-request";
/// Longest id of a caller that is used as the request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Id of a request, with its customer, service and route as far as they are known.
#[derive(Default)]
pub(crate) struct Trace {
    pub(crate) id: RequestId,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) service: Option<ServiceId>,
    pub(crate) route: Option<RouteId>,
    /// Whether the request may run once at most; `None` if that was not decided.
    pub(crate) once: Option<bool>,
    /// Version of the configuration by which it was admitted or refused.
    pub(crate) version: Version,
}

impl Trace {
    /// Uses the id that the caller sent if it is usable, or else a generated one.
    pub(crate) fn new(
        request: &Request,
        conventions: &HttpConventions,
        generate: impl FnOnce() -> SmolStr,
    ) -> Self {
        let claim_header = conventions.claim_header.as_deref();
        let mut headers = claim_header.into_iter().chain([conventions.id_header.as_str()]);
        let sent = headers.find_map(|name| request.header(name)).map(|v| v.as_str());
        let id = sent.filter(|id| is_usable(id)).map(SmolStr::from);
        Self {
            id: id.unwrap_or_else(generate),
            ..Self::default()
        }
    }

    /// Logs the result of the request; one without an answer of an upstream is also recorded as an event.
    pub(crate) fn end(&self, completion: &mut Completion, elapsed: Duration) {
        info!(
            "request: id={} route={} once={} service={} customer={} version={} code={} run={} status={} ms={} detail=\"{}\"",
            self.id,
            self.route.as_deref().unwrap_or("-"),
            self.once.map_or("-", |once| if once { "yes" } else { "no" }),
            self.service.as_deref().unwrap_or("-"),
            self.customer.as_deref().unwrap_or("-"),
            self.version,
            completion.code.number(),
            completion.execution,
            completion.response.status() as u16,
            elapsed.as_millis(),
            completion.detail
        );
        if completion.code == Code::Ok {
            return;
        }
        let about = About {
            code: completion.code.number(),
            detail: completion.detail.clone(),
            ..About::default()
        };
        let customer = self.customer.as_deref().unwrap_or_default();
        let service = self.service.as_deref().unwrap_or_default();
        event::record(
            Kind::RequestFailed,
            about.request(&self.id).customer(customer).upstream(service, ""),
        );
        completion.response.insert_header(ID_HEADER, self.id.as_str());
    }
}

/// Whether an id may appear in logs and events: a caller may put its key into the wrong header, and events
/// must not hold keys.
fn is_usable(id: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/');
    id.len() <= MAX_REQUEST_ID_BYTES && id.chars().all(is_plain) && !id.contains(crate::secret::KEY_PREFIX)
}
