//! What the time line learns of a request that was refused or failed.

use smol_str::SmolStr;
use tide::http::Request;

use crate::code::Code;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::id::ServiceId;

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

    /// Records a request that got no answer of an upstream.
    pub(crate) fn end(&self, done: &mut Done) {
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
