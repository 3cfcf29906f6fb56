//! Home regions at an entry VM: explains refusals, and checks again before a request is sent.

use log::info;

use super::state::State;
use crate::code::Code;
use crate::error::Error;
use crate::fleet::homes::AllowedRegions;
use crate::id::CustomerId;
use crate::id::RouteId;
use crate::stage::ChoiceCriteria;
use crate::stage::ChosenUpstream;

/// Number of home regions that a log line names.
const LOGGED_HOMES: usize = 4;

/// The first regions of the homes of route and customer, for a log line.
fn describe(allowed: &AllowedRegions<'_>) -> String {
    let (route, customer) = allowed.homes();
    let first = |homes: &[_]| homes[..homes.len().min(LOGGED_HOMES)].to_vec();
    format!(
        "route_homes={:?} customer_homes={:?}",
        first(route),
        first(customer)
    )
}

impl State {
    /// The error for a request for which no upstream was chosen.
    pub(super) fn no_choice(
        &self,
        code: Code,
        request: &ChoiceCriteria<'_>,
        allowed: &AllowedRegions<'_>,
    ) -> Error {
        if allowed.is_everywhere() {
            return Error::new(code, code.text());
        }
        let listed = self.upstreams.iter().map(|l| &l.report);
        let listed: Vec<_> = listed.filter(|r| r.service == *request.service).collect();
        info!(
            "no upstream in the homes of a request: code={} service={} route={} customer={} {} listed={} at_home={} tried={} config_age_ms={}",
            code.number(),
            request.service,
            request.route,
            request.customer.map_or("-", |c| c.as_str()),
            describe(allowed),
            listed.len(),
            listed.iter().filter(|r| allowed.includes(&r.domain)).count(),
            request.tried.len(),
            self.confirmed_at
                .map_or(-1, |at| at.elapsed().as_millis() as i128),
        );
        match code {
            Code::NoUpstream => Error::new(code, "no upstream in a home region of the request can take it"),
            _ => Error::new(code, code.text()),
        }
    }

    /// Whether a request may be run by an upstream that was chosen for it, by the configuration in force.
    pub(super) fn is_at_home(
        &self,
        chosen: &ChosenUpstream,
        route: &RouteId,
        customer: Option<&CustomerId>,
    ) -> bool {
        let allowed = self.homes.allowed(&self.view.homes, route, customer);
        let listed = self.upstreams.get(&chosen.upstream);
        let domain = listed.map_or(&chosen.domain, |l| &l.report.domain);
        let is_at_home = allowed.includes(domain);
        if !is_at_home {
            info!(
                "upstream outside of the homes of a request: upstream={} domain={domain} route={route} customer={} {} version={}",
                chosen.upstream,
                customer.map_or("-", |c| c.as_str()),
                describe(&allowed),
                self.view.version,
            );
        }
        is_at_home
    }
}
