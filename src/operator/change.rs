//! Operator methods that change the configuration.

use std::sync::Arc;

use jsonrpsee::types::ErrorObjectOwned;
use serde_json::json;

use crate::catalog::change::Change;
use crate::catalog::change::Fault;
use crate::catalog::change::JoinSecret;
use crate::catalog::change::Op;
use crate::catalog::change::Outcome;
use crate::catalog::change::RouteSpec;
use crate::code::Code;
use crate::id::ChangeId;
use crate::id::KeyId;
use crate::id::Version;
use crate::operator::Operator;
use crate::operator::WITNESS_TIMEOUT;
use crate::operator::params::ById;
use crate::operator::params::ChangeResult;
use crate::operator::params::CustomerRemove;
use crate::operator::params::CustomerSet;
use crate::operator::params::KeyIssue;
use crate::operator::params::RouteSet;
use crate::operator::params::ServiceSet;
use crate::operator::params::Versioned;
use crate::operator::params::VmRemove;
use crate::operator::table::Dispatch;
use crate::operator::table::MethodTable;
use crate::secret::MIN_SECRET_BYTES;
use crate::secret::digest;
use crate::secret::new_key;
use crate::secret::new_secret;
use crate::view::Limit;

type Answer = Result<Versioned<ChangeResult>, ErrorObjectOwned>;

/// Hexadecimal characters of a key id that is derived from a change id: 64 bits.
const KEY_ID_CHARS: usize = 16;
const KEY_NOTE: &str = "the key was issued by the first call with this change id and cannot be shown again";
const SECRET_NOTE: &str =
    "the secret was made by the first call with this change id and cannot be shown again";

pub(super) fn add(table: &mut MethodTable) {
    table.add("customer.set", Dispatch::Leader, customer_set);
    table.add("customer.remove", Dispatch::Leader, customer_remove);
    table.add("key.issue", Dispatch::Leader, key_issue);
    table.add("key.withdraw", Dispatch::Leader, key_withdraw);
    table.add("route.set", Dispatch::Leader, route_set);
    table.add("route.remove", Dispatch::Leader, route_remove);
    table.add("service.set", Dispatch::Leader, service_set);
    table.add("service.remove", Dispatch::Leader, service_remove);
    table.add("vm.remove", Dispatch::Leader, vm_remove);
}

async fn customer_set(operator: Arc<Operator>, p: CustomerSet) -> Answer {
    let limit = Limit {
        rate: p.rate,
        burst: p.burst,
    };
    operator
        .change(p.change, p.expect, Op::CustomerSet { id: p.id, limit })
        .await
}

async fn customer_remove(operator: Arc<Operator>, p: CustomerRemove) -> Answer {
    let op = Op::CustomerRemove {
        id: p.id,
        with_keys: p.with_keys,
    };
    operator.change(p.change, p.expect, op).await
}

async fn key_issue(operator: Arc<Operator>, p: KeyIssue) -> Answer {
    // Derived from the change id, so that a repeated call names the same key.
    let derived = || KeyId::from(&digest(&p.change)[..KEY_ID_CHARS]);
    let id = p.id.clone().unwrap_or_else(derived);
    let key = new_key(&id)?;
    let op = Op::KeyIssue {
        id,
        customer: p.customer,
        digest: digest(&key),
    };
    let mut answer = operator.change(p.change, 0, op).await?;
    if answer.content.repeated {
        answer.content.note = Some(KEY_NOTE.into());
    } else {
        answer.content.key = Some(key);
    }
    Ok(answer)
}

async fn key_withdraw(operator: Arc<Operator>, p: ById) -> Answer {
    operator
        .change(p.change, p.expect, Op::KeyWithdraw { id: p.id })
        .await
}

async fn route_set(operator: Arc<Operator>, p: RouteSet) -> Answer {
    let spec = RouteSpec {
        id: p.id,
        prefix: p.prefix,
        service: p.service,
        open: p.open,
        idempotent: p.idempotent,
        require_id: p.require_id,
        limit_ms: p.limit_ms,
    };
    operator.change(p.change, p.expect, Op::RouteSet(spec)).await
}

async fn route_remove(operator: Arc<Operator>, p: ById) -> Answer {
    operator
        .change(p.change, p.expect, Op::RouteRemove { id: p.id })
        .await
}

async fn service_set(operator: Arc<Operator>, p: ServiceSet) -> Answer {
    let (join, generated) = join_secret(&p)?;
    let op = Op::ServiceSet {
        id: p.id,
        floor: p.floor,
        join,
    };
    let mut answer = operator.change(p.change, p.expect, op).await?;
    match generated {
        Some(_) if answer.content.repeated => answer.content.note = Some(SECRET_NOTE.into()),
        generated => answer.content.secret = generated,
    }
    Ok(answer)
}

/// The join secret as the replicated log stores it, and its plain text if it is generated here.
fn join_secret(p: &ServiceSet) -> Result<(JoinSecret, Option<String>), ErrorObjectOwned> {
    match &p.secret {
        Some(_) if p.new_secret => {
            let fault = Fault::field("new_secret", "a secret is given as well");
            Err(refusal(&fault, json!({"field": "new_secret"})))
        }
        Some(given) if given.len() < MIN_SECRET_BYTES => {
            let fault = Fault::field("secret", format!("fewer than {MIN_SECRET_BYTES} characters"));
            Err(refusal(&fault, json!({"field": "secret"})))
        }
        Some(given) => Ok((JoinSecret::Given(digest(given)), None)),
        None if p.new_secret || p.expect == 0 => {
            let generated = new_secret()?;
            Ok((JoinSecret::Made(digest(&generated)), Some(generated)))
        }
        None => Ok((JoinSecret::Keep, None)),
    }
}

async fn service_remove(operator: Arc<Operator>, p: ById) -> Answer {
    operator
        .change(p.change, p.expect, Op::ServiceRemove { id: p.id })
        .await
}

async fn vm_remove(operator: Arc<Operator>, p: VmRemove) -> Answer {
    let op = Op::VmRemove {
        name: p.id,
        ended: p.ended,
    };
    operator.change(p.change, p.expect, op).await
}

/// JSON-RPC error of a fault.
pub(super) fn refusal(fault: &Fault, data: serde_json::Value) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(i32::from(fault.code), fault.detail.clone(), Some(data))
}

impl Operator {
    /// Replicates a change; a security change is answered once the witness group has acknowledged it.
    ///
    /// # Errors
    /// The fault of a refused change; `Pending` if the witness group does not acknowledge it in time.
    pub(super) async fn change(&self, id: ChangeId, expect: Version, op: Op) -> Answer {
        let outcome = self.propose(&Change { id, expect, op }).await?;
        if let Some(fault) = &outcome.fault {
            return Err(self.refused_error(&outcome, fault));
        }
        if outcome.security && !self.wait_for_witnesses(outcome.version).await {
            return Err(self.pending_error(&outcome));
        }
        Ok(Versioned {
            version: outcome.version,
            in_force: self.ack_count(outcome.version),
            content: ChangeResult {
                repeated: outcome.repeated,
                key: None,
                secret: None,
                note: None,
            },
        })
    }

    fn refused_error(&self, outcome: &Outcome, fault: &Fault) -> ErrorObjectOwned {
        let mut data = json!({
            "version": outcome.version,
            "in_force": self.ack_count(outcome.version),
            "repeated": outcome.repeated,
        });
        if let Some(field) = &fault.field {
            data["field"] = json!(field);
        }
        if let Some(current) = fault.current {
            data["current"] = json!(current);
        }
        refusal(fault, data)
    }

    fn pending_error(&self, outcome: &Outcome) -> ErrorObjectOwned {
        let detail = format!(
            "version {} is durable, but no majority of the witness group acknowledged it within \
             {WITNESS_TIMEOUT:?}",
            outcome.version
        );
        let data = json!({
            "version": outcome.version,
            "in_force": self.ack_count(outcome.version),
            "repeated": outcome.repeated,
        });
        refusal(&Fault::new(Code::Pending, detail), data)
    }
}
