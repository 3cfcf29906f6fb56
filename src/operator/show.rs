//! Operator methods that read the configuration and the state of the replicas.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::types::ErrorObjectOwned;
use smol_str::SmolStr;

use crate::catalog::change::Fault;
use crate::code::Code;
use crate::error::Error;
use crate::id::VmName;
use crate::operator::Operator;
use crate::operator::ack_tracker::AckCount;
use crate::operator::params::CustomerInfo;
use crate::operator::params::DEFAULT_PAGE_SIZE;
use crate::operator::params::KeyInfo;
use crate::operator::params::KeyList;
use crate::operator::params::List;
use crate::operator::params::ListResult;
use crate::operator::params::MAX_PAGE_SIZE;
use crate::operator::params::RouteInfo;
use crate::operator::params::ServiceInfo;
use crate::operator::params::Show;
use crate::operator::params::ShowResult;
use crate::operator::params::Status;
use crate::operator::params::StatusParams;
use crate::operator::params::VersionWait;
use crate::operator::params::Versioned;
use crate::operator::params::VmInfo;
use crate::operator::params::WaitResult;
use crate::operator::table::Dispatch;
use crate::operator::table::MethodTable;
use crate::replica::Member;
use crate::view::Key;
use crate::view::ServiceRecord;
use crate::view::View;

type Answer<T> = Result<Versioned<T>, ErrorObjectOwned>;

/// Longest `wait_ms` of `version.wait`, in milliseconds; shorter than the timeout of a forwarded call.
pub const MAX_WAIT_MS: u64 = 10_000;
/// Time that `status` waits for the leader's count of acknowledgements.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

pub(super) fn add(table: &mut MethodTable) {
    table.add("customer.show", Dispatch::Leader, customer_show);
    table.add("customer.list", Dispatch::Leader, customer_list);
    table.add("key.list", Dispatch::Leader, key_list);
    table.add("route.show", Dispatch::Leader, route_show);
    table.add("route.list", Dispatch::Leader, route_list);
    table.add("service.show", Dispatch::Leader, service_show);
    table.add("service.list", Dispatch::Leader, service_list);
    table.add("vm.list", Dispatch::Leader, vm_list);
    table.add("version.wait", Dispatch::Leader, version_wait);
    table.add("status", Dispatch::Local, status);
}

async fn customer_show(operator: Arc<Operator>, p: Show) -> Answer<ShowResult<CustomerInfo>> {
    operator
        .show("customer", &p, |v| v.customers.get(&p.id).cloned())
        .await
}

async fn customer_list(operator: Arc<Operator>, p: List) -> Answer<ListResult<CustomerInfo>> {
    operator
        .list(
            &p.after,
            p.limit,
            |v| v.customers.values().collect(),
            |c| &c.id,
            |c| c.clone(),
        )
        .await
}

async fn key_list(operator: Arc<Operator>, p: KeyList) -> Answer<ListResult<KeyInfo>> {
    let is_selected = |k: &&Key| p.customer.as_ref().is_none_or(|c| *c == k.customer);
    let to_info = |k: &Key| KeyInfo {
        id: k.id.clone(),
        customer: k.customer.clone(),
        withdrawn: k.withdrawn,
        version: k.version,
    };
    operator
        .list(
            &p.after,
            p.limit,
            |v| v.keys.values().filter(is_selected).collect(),
            |k| &k.id,
            to_info,
        )
        .await
}

async fn route_show(operator: Arc<Operator>, p: Show) -> Answer<ShowResult<RouteInfo>> {
    operator
        .show("route", &p, |v| v.routes.iter().find(|r| r.id == p.id).cloned())
        .await
}

async fn route_list(operator: Arc<Operator>, p: List) -> Answer<ListResult<RouteInfo>> {
    operator
        .list(
            &p.after,
            p.limit,
            |v| v.routes.iter().collect(),
            |r| &r.id,
            |r| r.clone(),
        )
        .await
}

fn service_info(service: &ServiceRecord) -> ServiceInfo {
    ServiceInfo {
        id: service.id.clone(),
        floor: service.floor,
        version: service.version,
    }
}

async fn service_show(operator: Arc<Operator>, p: Show) -> Answer<ShowResult<ServiceInfo>> {
    operator
        .show("service", &p, |v| v.services.get(&p.id).map(service_info))
        .await
}

async fn service_list(operator: Arc<Operator>, p: List) -> Answer<ListResult<ServiceInfo>> {
    operator
        .list(
            &p.after,
            p.limit,
            |v| v.services.values().collect(),
            |s| &s.id,
            service_info,
        )
        .await
}

async fn vm_list(operator: Arc<Operator>, p: List) -> Answer<ListResult<VmInfo>> {
    let answer = operator
        .list(
            &p.after,
            p.limit,
            |v| v.vms.values().collect(),
            |vm| &vm.name,
            |vm| vm.clone(),
        )
        .await?;
    let view = operator.view();
    let tracker = operator.ack_tracker.lock().unwrap();
    let to_info = |vm: crate::view::Vm| VmInfo {
        acknowledged: tracker.acknowledged_version(&view, &vm.name),
        witness: view.witnesses.current.contains(&vm.name),
        vm,
    };
    let objects = answer.content.objects.into_iter().map(to_info).collect();
    Ok(Versioned {
        version: answer.version,
        in_force: answer.in_force,
        content: ListResult {
            objects,
            next: answer.content.next,
        },
    })
}

async fn version_wait(operator: Arc<Operator>, p: VersionWait) -> Answer<WaitResult> {
    if p.wait_ms > MAX_WAIT_MS {
        return Err(out_of_range(
            "wait_ms",
            format!("{} is not a number from 0 to {MAX_WAIT_MS}", p.wait_ms),
        ));
    }
    operator.confirm_leadership().await?;
    let current = operator.view().version;
    if p.version > current {
        return Err(out_of_range(
            "version",
            format!("{} is later than the present version {current}", p.version),
        ));
    }
    let timeout = Duration::from_millis(p.wait_ms);
    let everywhere = operator
        .wait_for_acks(timeout, |tracker, view| {
            tracker.ack_count(view, p.version).is_complete()
        })
        .await;
    Ok(Versioned {
        version: p.version,
        in_force: operator.ack_count(p.version),
        content: WaitResult { everywhere },
    })
}

async fn status(operator: Arc<Operator>, _: StatusParams) -> Result<Status, ErrorObjectOwned> {
    let status = operator.replication.status();
    let view = operator.view();
    Ok(Status {
        vm: operator.vm.clone(),
        role: status.role.to_string(),
        term: status.term,
        leader: status.leader,
        commit: status.commit,
        applied: status.applied,
        voters: vm_names(&status.membership.voters),
        learners: vm_names(&status.membership.learners),
        version: view.version,
        in_force: operator.leader_ack_count(view.version).await,
        witnesses: view.witnesses.clone(),
        customers: view.customers.len(),
        keys: view.keys.len(),
        routes: view.routes.len(),
        services: view.services.len(),
        vms: view.vms.len(),
    })
}

fn vm_names(members: &[Member]) -> Vec<VmName> {
    members.iter().map(|m| m.vm.clone()).collect()
}

fn out_of_range(field: &str, detail: String) -> ErrorObjectOwned {
    let fault = Fault::field(field, detail);
    let data = serde_json::json!({"field": field});
    ErrorObjectOwned::owned(i32::from(fault.code), fault.detail, Some(data))
}

impl Operator {
    /// A configuration that includes all changes that were accepted before the call.
    ///
    /// # Errors
    /// Those of [`Operator::confirm_leadership`].
    async fn latest_view(&self) -> Result<Arc<View>, Error> {
        self.confirm_leadership().await?;
        Ok(self.view())
    }

    fn versioned<T>(&self, view: &View, content: T) -> Versioned<T> {
        Versioned {
            version: view.version,
            in_force: self.ack_tracker.lock().unwrap().ack_count(view, view.version),
            content,
        }
    }

    async fn show<T>(
        &self,
        kind: &str,
        params: &Show,
        find: impl Fn(&View) -> Option<T>,
    ) -> Answer<ShowResult<T>> {
        let view = self.latest_view().await?;
        let object = find(&view).ok_or_else(|| {
            let detail = format!("{kind} \"{}\" does not exist", params.id);
            Error::new(Code::NotFound, detail)
        })?;
        Ok(self.versioned(&view, ShowResult { object }))
    }

    /// One page of the objects that a function finds in the latest configuration, ordered by id.
    ///
    /// # Errors
    /// `BadParams` for a limit out of range, otherwise those of [`Operator::confirm_leadership`].
    pub(super) async fn list<T, U>(
        &self,
        after: &Option<SmolStr>,
        limit: Option<usize>,
        all: impl Fn(&View) -> Vec<&T>,
        id: impl Fn(&T) -> &SmolStr,
        to_info: impl Fn(&T) -> U,
    ) -> Answer<ListResult<U>> {
        let limit = limit.unwrap_or(DEFAULT_PAGE_SIZE);
        if !(1..=MAX_PAGE_SIZE).contains(&limit) {
            let detail = format!("{limit} is not a number from 1 to {MAX_PAGE_SIZE}");
            return Err(out_of_range("limit", detail));
        }
        let view = self.latest_view().await?;
        let mut found = all(&view);
        found.retain(|o| after.as_ref().is_none_or(|a| id(o) > a));
        found.sort_by(|a, b| id(a).cmp(id(b)));
        let has_more = found.len() > limit;
        found.truncate(limit);
        let next = found.last().filter(|_| has_more).map(|o| id(o).clone());
        let objects = found.into_iter().map(to_info).collect();
        Ok(self.versioned(&view, ListResult { objects, next }))
    }

    /// The leader's count of acknowledgements, since entry VMs acknowledge to the leader; `None` if it does
    /// not answer within [`STATUS_TIMEOUT`].
    async fn leader_ack_count(&self, version: u64) -> Option<AckCount> {
        if self.is_leader() {
            return Some(self.ack_count(version));
        }
        let client = &self.peers.get(&self.leader()?)?.operator;
        let params = VersionWait { version, wait_ms: 0 };
        let answer: Result<Versioned<WaitResult>, Error> =
            client.call("version.wait", &params, STATUS_TIMEOUT).await;
        answer.ok().map(|a| a.in_force)
    }
}
