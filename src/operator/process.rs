//! Methods for entry VMs: registration and the configuration feed.

use std::sync::Arc;

use jsonrpsee::types::ErrorObjectOwned;
use log::info;

use crate::catalog::change::Change;
use crate::catalog::change::Op;
use crate::catalog::change::VmSpec;
use crate::operator::Operator;
use crate::operator::params::FetchParams;
use crate::operator::params::FetchResult;
use crate::operator::params::JoinParams;
use crate::operator::params::JoinResult;
use crate::operator::table::Dispatch;
use crate::operator::table::MethodTable;

/// Maximum number of changes in one answer of `config.fetch`; the call may set a lower one.
pub const MAX_FETCH_CHANGES: usize = 500;

pub(super) fn add(table: &mut MethodTable) {
    table.add("config.fetch", Dispatch::PreferLeader, config_fetch);
    table.add("vm.join", Dispatch::Leader, vm_join);
}

async fn config_fetch(operator: Arc<Operator>, p: FetchParams) -> Result<FetchResult, ErrorObjectOwned> {
    let view = operator.view();
    operator
        .ack_tracker
        .lock()
        .unwrap()
        .record(&view, &p.vm, p.incarnation, p.version);
    // Leadership is confirmed before the configuration is read; in the other order, a change that another
    // leader accepted in between would be missing from a confirmed answer.
    let is_leader = operator.is_leader() && operator.try_confirm_leadership().await;
    let (view, changes) = operator
        .replication
        .read(|c| (c.view(), c.deltas_after(p.version)));
    let limit = p.limit.unwrap_or(MAX_FETCH_CHANGES).clamp(1, MAX_FETCH_CHANGES);
    let changes = changes.map(|mut list| {
        list.truncate(limit);
        list
    });
    Ok(FetchResult {
        version: view.version,
        leader: is_leader,
        registered: view.vms.get(&p.vm).map(|v| v.incarnation),
        snapshot: changes.is_none().then(|| (*view).clone()),
        changes,
    })
}

async fn vm_join(operator: Arc<Operator>, p: JoinParams) -> Result<JoinResult, ErrorObjectOwned> {
    let change = Change {
        id: "join".into(),
        expect: 0,
        op: Op::VmJoin(VmSpec {
            name: p.vm.clone(),
            domain: p.domain,
            caller: p.caller,
            peer: p.peer,
            incarnation: p.incarnation,
        }),
    };
    let outcome = operator.propose(&change).await?;
    if let Some(fault) = outcome.fault {
        let data = serde_json::json!({"field": fault.field, "version": outcome.version});
        return Err(ErrorObjectOwned::owned(
            i32::from(fault.code),
            fault.detail,
            Some(data),
        ));
    }
    info!("VM {} joined with incarnation {}", p.vm, p.incarnation);
    Ok(JoinResult {
        version: outcome.version,
    })
}
