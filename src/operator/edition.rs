//! Operator method that replaces the whole configuration.

use std::sync::Arc;

use jsonrpsee::types::ErrorObjectOwned;
use serde_json::json;

use crate::catalog::change::Fault;
use crate::catalog::change::Op;
use crate::catalog::delta::Edit;
use crate::catalog::edition::CustomerKeys;
use crate::catalog::edition::Edition;
use crate::catalog::plan::MAX_RATE_OR_BURST;
use crate::catalog::plan::check_digest;
use crate::catalog::plan::check_name;
use crate::catalog::plan::check_range;
use crate::code::Code;
use crate::operator::Operator;
use crate::operator::change::refusal;
use crate::operator::params::ApplyResult;
use crate::operator::params::CustomerSpec;
use crate::operator::params::EditionApply;
use crate::operator::params::PlannedChange;
use crate::operator::params::RouteSpec;
use crate::operator::params::ServiceSpec;
use crate::operator::params::Versioned;
use crate::operator::table::Dispatch;
use crate::operator::table::MethodTable;
use crate::view::Customer;
use crate::view::Limit;
use crate::view::Route;
use crate::view::ServiceRecord;
use crate::view::View;

/// Hexadecimal characters of a key's digest that name the key in a plan.
const PLAN_DIGEST_CHARS: usize = 16;

pub(super) fn add(table: &mut MethodTable) {
    table.add("edition.apply", Dispatch::Leader, edition_apply);
}

async fn edition_apply(
    operator: Arc<Operator>,
    p: EditionApply,
) -> Result<Versioned<ApplyResult>, ErrorObjectOwned> {
    let is_plan = p.plan;
    let edition = edition(p).map_err(|fault| refused(&fault))?;
    edition.check().map_err(|fault| refused(&fault))?;
    // Without this check, a leader that was replaced would compute the plan from an outdated view.
    operator.confirm_leadership().await?;
    let view = operator.view();
    let repeated = view.edition == edition.number && operator.has_edition(&edition);
    if view.edition >= edition.number && !repeated {
        let detail = format!("number {} is in force, higher ones replace it", view.edition);
        let fault = Fault {
            current: Some(view.edition),
            ..Fault::new(Code::Conflict, detail)
        };
        return Err(refused(&fault));
    }
    let content = ApplyResult {
        number: if is_plan { view.edition } else { edition.number },
        repeated,
        objects: if repeated {
            Vec::new()
        } else {
            planned_changes(&edition, &view)
        },
    };
    if is_plan || repeated {
        let version = view.version;
        return Ok(Versioned {
            version,
            in_force: operator.ack_count(version),
            content,
        });
    }
    let op = Op::Replace(Arc::new(edition));
    let accepted = operator.change(Default::default(), 0, op).await?;
    Ok(Versioned {
        version: accepted.version,
        in_force: accepted.in_force,
        content,
    })
}

fn refused(fault: &Fault) -> ErrorObjectOwned {
    refusal(fault, json!({"field": fault.field, "current": fault.current}))
}

fn edition(p: EditionApply) -> Result<Edition, Fault> {
    let edition = Edition {
        number: p.number,
        customers: p
            .customers
            .into_iter()
            .map(customer_keys)
            .collect::<Result<_, _>>()?,
        services: p.services.into_iter().map(service).collect::<Result<_, _>>()?,
        routes: p.routes.into_iter().map(route).collect::<Result<_, _>>()?,
        ..Edition::default()
    };
    check_range("number", edition.number, 1, u64::MAX)?;
    Ok(edition)
}

fn customer_keys(spec: CustomerSpec) -> Result<CustomerKeys, Fault> {
    check_name("customers", &spec.id)?;
    check_range("rate", spec.rate.into(), 1, MAX_RATE_OR_BURST.into())?;
    check_range("burst", spec.burst.into(), 1, MAX_RATE_OR_BURST.into())?;
    spec.digests.iter().try_for_each(|d| check_digest("digests", d))?;
    Ok(CustomerKeys {
        customer: Customer {
            id: spec.id,
            limit: Limit {
                rate: spec.rate,
                burst: spec.burst,
            },
            priority: spec.priority,
            ..Customer::default()
        },
        digests: spec.digests,
    })
}

fn service(spec: ServiceSpec) -> Result<ServiceRecord, Fault> {
    check_name("services", &spec.id)?;
    Ok(ServiceRecord {
        id: spec.id,
        floor: spec.floor,
        connections: spec.connections,
        ..ServiceRecord::default()
    })
}

fn route(spec: RouteSpec) -> Result<Route, Fault> {
    check_name("routes", &spec.id)?;
    Ok(Route {
        id: spec.id,
        host: spec.host,
        prefix: spec.prefix,
        service: spec.service,
        attempts: spec.attempts,
        priority: spec.priority,
        target_ms: spec.target_ms,
        limit_ms: spec.limit_ms,
        open: spec.open,
        idempotent: spec.idempotent,
        require_id: spec.require_id,
        ..Route::default()
    })
}

/// Changes of an edition, in the order in which they are applied.
fn planned_changes(edition: &Edition, view: &View) -> Vec<PlannedChange> {
    // The version of the records is not part of a plan.
    let edits = edition.diff(0, view);
    edits.iter().filter_map(planned_change).collect()
}

fn planned_change(edit: &Edit) -> Option<PlannedChange> {
    let key_name = |digest: &str| digest[..digest.len().min(PLAN_DIGEST_CHARS)].into();
    let (act, kind, id) = match edit {
        Edit::Customer(c) => ("set", "customer", c.id.clone()),
        Edit::CustomerGone(id) => ("remove", "customer", id.clone()),
        Edit::Key(k) => ("set", "key", key_name(&k.digest)),
        Edit::KeyGone(digest) => ("remove", "key", key_name(digest)),
        Edit::Route(r) => ("set", "route", r.id.clone()),
        Edit::RouteGone(id) => ("remove", "route", id.clone()),
        Edit::Service(s) => ("set", "service", s.id.clone()),
        Edit::ServiceGone(id) => ("remove", "service", id.clone()),
        // The remaining edits concern no object that an edition lists.
        _ => return None,
    };
    Some(PlannedChange {
        act: act.into(),
        kind: kind.into(),
        id,
    })
}
