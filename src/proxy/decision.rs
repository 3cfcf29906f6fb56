//! Where a request goes and what it may do, decided by its target as it was sent and nothing else.

use smol_str::SmolStr;
use tide::http::Method;

use crate::target::Target;
use crate::view::Route;
use crate::view::View;

use super::request;

/// What the proxy makes of paths besides comparing them with its routes, always as they were sent.
#[derive(Debug, Clone, Default)]
pub struct PathRules {
    /// Paths with this prefix are answered by the proxy itself; `None` if all paths are routed.
    pub own_prefix: Option<SmolStr>,
    /// Whether a request on an open route needs a key if its path without dot segments lies on a route that needs
    /// one: an upstream that resolves them would otherwise run it there without a key.
    pub guards_resolved: bool,
}

/// Where a request goes.
pub(super) enum Destination {
    /// The proxy answers it itself.
    Own,
    /// An upstream answers it.
    Route(Decision),
    /// No route matches.
    Nowhere,
}

/// The route of a request and what follows from it.
pub(super) struct Decision {
    /// The route, with the service that was drawn for this request.
    pub(super) route: Route,
    /// Whether the caller must send a valid key.
    pub(super) needs_key: bool,
    /// Whether the request may run more than once.
    pub(super) is_idempotent: bool,
}

/// Decides on a request by its method and target.
pub(super) fn decide(view: &View, rules: &PathRules, method: Method, target: &Target) -> Destination {
    if is_own(rules, target) {
        return Destination::Own;
    }
    let Some(route) = view.find_route(&target.host, target.path()) else {
        return Destination::Nowhere;
    };
    let mut route = route.clone();
    if let Some(service) = request::draw_service(&route.split) {
        route.service = service;
    }
    Destination::Route(Decision {
        needs_key: !route.open || (rules.guards_resolved && leads_to_closed(view, target)),
        is_idempotent: !route.once && (route.idempotent || is_idempotent(method)),
        route,
    })
}

/// Whether the proxy answers the request itself.
pub(super) fn is_own(rules: &PathRules, target: &Target) -> bool {
    let prefix = rules.own_prefix.as_deref();
    prefix.is_some_and(|prefix| target.path().starts_with(prefix))
}

/// Whether an upstream that resolves dot segments would find a path of a route that needs a key.
fn leads_to_closed(view: &View, target: &Target) -> bool {
    let resolved = target.resolved_path();
    let route = view.find_route(&target.host, &resolved);
    resolved != target.path() && route.is_some_and(|route| !route.open)
}

/// Whether the method is idempotent (RFC 9110 section 9.2.2).
fn is_idempotent(method: Method) -> bool {
    use Method::*;
    matches!(method, Get | Head | Options | Put | Delete | Trace)
}
