//! Core: the regions in which the requests of a route and a customer may be run.
//!
//! A route and a customer may name home regions; where both do, both bind. An upstream in a failure domain that the
//! deployment assigns to no region runs no request that has homes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::catalog::plan;
use crate::id::CustomerId;
use crate::id::DomainName;
use crate::id::RegionName;
use crate::id::RouteId;
use crate::view::Homes;
use crate::view::Route;
use crate::view::View;

/// Region of each failure domain of a deployment.
pub type Regions = BTreeMap<DomainName, RegionName>;

/// Time for which the homes of a route that was removed apply to its running requests, none of which lasts longer.
const FORMER_RETENTION: Duration = Duration::from_millis(plan::MAX_ROUTE_DEADLINE_MS);

/// The regions in which one request may be run. By default, it may be run everywhere.
#[derive(Debug, Clone, Copy, Default)]
pub struct AllowedRegions<'a> {
    regions: Option<&'a Regions>,
    /// Homes of its route and of its customer; empty for all regions.
    route: &'a [RegionName],
    customer: &'a [RegionName],
}

impl AllowedRegions<'_> {
    /// Whether the request may be run in every failure domain.
    pub fn is_everywhere(&self) -> bool {
        self.route.is_empty() && self.customer.is_empty()
    }

    /// Whether the request may be run in a failure domain.
    pub fn includes(&self, domain: &str) -> bool {
        if self.is_everywhere() {
            return true;
        }
        let region = self.regions.and_then(|regions| regions.get(domain));
        let is_in = |homes: &[RegionName], region| homes.is_empty() || homes.contains(region);
        region.is_some_and(|region| is_in(self.route, region) && is_in(self.customer, region))
    }

    /// Homes of the route and of the customer; empty for all regions.
    pub fn homes(&self) -> (&[RegionName], &[RegionName]) {
        (self.route, self.customer)
    }
}

/// Decides by the latest configuration in which regions requests may be run.
#[derive(Debug, Default)]
pub struct HomeRules {
    regions: Regions,
    /// Homes of routes that the configuration no longer has, and when they were removed. Requests on such a route may
    /// still be running.
    former: HashMap<RouteId, (Vec<RegionName>, Instant)>,
}

impl HomeRules {
    /// With the regions of a deployment.
    pub fn new(regions: Regions) -> Self {
        Self {
            regions,
            former: HashMap::new(),
        }
    }

    /// Region of each failure domain.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// The regions in which a request may be run.
    pub fn allowed<'a>(
        &'a self,
        homes: &'a Homes,
        route: &RouteId,
        customer: Option<&CustomerId>,
    ) -> AllowedRegions<'a> {
        let of_route = homes.routes.get(route);
        let of_route = of_route.or_else(|| self.former.get(route).map(|(homes, _)| homes));
        let of_customer = customer.and_then(|customer| homes.customers.get(customer));
        AllowedRegions {
            regions: Some(&self.regions),
            route: of_route.map_or(&[], Vec::as_slice),
            customer: of_customer.map_or(&[], Vec::as_slice),
        }
    }

    /// Keeps the homes of the routes that a new configuration no longer has, for their running requests. Requests of a
    /// customer that was removed are not sent, so its homes need not be kept.
    pub fn record_change(&mut self, now: Instant, before: &Homes, after: &View) {
        if before.routes.is_empty() && self.former.is_empty() {
            return;
        }
        let existing: HashSet<&RouteId> = after.routes.iter().map(|r| &r.id).collect();
        let is_recent = |removed: &Instant| now.saturating_duration_since(*removed) < FORMER_RETENTION;
        self.former
            .retain(|id, (_, removed)| !existing.contains(id) && is_recent(removed));
        let removed = before.routes.iter().filter(|(id, _)| !existing.contains(id));
        self.former
            .extend(removed.map(|(id, homes)| (id.clone(), (homes.clone(), now))));
    }
}

/// Homes of the routes of a host, each list not empty; none if its requests may be run everywhere. Routes for any host
/// are routes of each host.
pub fn of_host<'a>(view: &'a View, host: &str) -> Vec<&'a [RegionName]> {
    if view.homes.routes.is_empty() {
        return Vec::new();
    }
    let any_host = routes_on(&view.routes, "");
    let routes = match host.is_empty() {
        true => any_host.iter().chain(&[]),
        false => any_host.iter().chain(routes_on(&view.routes, host)),
    };
    let homes = routes.filter_map(|r| view.homes.routes.get(&r.id));
    homes.map(Vec::as_slice).filter(|h| !h.is_empty()).collect()
}

/// The routes of one host; they are ordered by host.
fn routes_on<'a>(routes: &'a [Route], host: &str) -> &'a [Route] {
    let start = routes.partition_point(|r| r.host.as_str() < host);
    let end = routes.partition_point(|r| r.host.as_str() <= host);
    &routes[start..end]
}
