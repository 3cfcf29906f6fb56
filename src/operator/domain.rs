//! Operator methods that evacuate failure domains. They have no change id, since an order may be repeated.

use std::sync::Arc;

use jsonrpsee::types::ErrorObjectOwned;
use log::info;

use crate::catalog::change::Op;
use crate::operator::Operator;
use crate::operator::params::ChangeResult;
use crate::operator::params::List;
use crate::operator::params::ListResult;
use crate::operator::params::Versioned;
use crate::operator::params::domain::DomainInfo;
use crate::operator::params::domain::DomainOrder;
use crate::operator::table::Dispatch;
use crate::operator::table::MethodTable;
use crate::view::Evacuation;

pub(super) fn add(table: &mut MethodTable) {
    table.add("domain.evacuate", Dispatch::Leader, domain_evacuate);
    table.add("domain.restore", Dispatch::Leader, domain_restore);
    table.add("domain.list", Dispatch::Leader, domain_list);
}

async fn domain_evacuate(
    operator: Arc<Operator>,
    p: DomainOrder,
) -> Result<Versioned<ChangeResult>, ErrorObjectOwned> {
    let domain = p.id.clone();
    let answer = operator
        .change(Default::default(), 0, Op::Evacuate { domain })
        .await?;
    info!("evacuation accepted: domain={} version={}", p.id, answer.version);
    Ok(answer)
}

async fn domain_restore(
    operator: Arc<Operator>,
    p: DomainOrder,
) -> Result<Versioned<ChangeResult>, ErrorObjectOwned> {
    let (domain, was_evacuated) = (p.id.clone(), operator.view().is_evacuated(&p.id));
    let answer = operator
        .change(Default::default(), 0, Op::Restore { domain })
        .await?;
    info!(
        "evacuation end accepted: domain={} version={} evacuated_before={was_evacuated}",
        p.id, answer.version
    );
    Ok(answer)
}

async fn domain_list(
    operator: Arc<Operator>,
    p: List,
) -> Result<Versioned<ListResult<DomainInfo>>, ErrorObjectOwned> {
    let to_info = |e: &Evacuation| DomainInfo {
        id: e.domain.clone(),
        version: e.version,
    };
    operator
        .list(
            &p.after,
            p.limit,
            |v| v.evacuated.iter().collect(),
            |e| &e.domain,
            to_info,
        )
        .await
}
