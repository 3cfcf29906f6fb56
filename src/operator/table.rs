//! Method tables: they parse parameters, forward calls to the leader and build an `RpcModule`.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use jsonrpsee::types::error::METHOD_NOT_FOUND_CODE;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::operator::Operator;
use crate::rpc::Client;

/// Result of a method as it is sent.
pub type Reply = std::result::Result<Value, ErrorObjectOwned>;

/// Timeout of a forwarded call; longer than the wait for witnesses and the longest `version.wait`.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(12);
/// Timeout of a forwarded `config.fetch`. An entry VM waits 450 ms for an answer, so the follower has time
/// left to answer the call itself.
const FETCH_FORWARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Replica on which a method runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Dispatch {
    /// On the leader only.
    Leader,
    /// On the leader, or else on the replica that was called if the leader does not answer.
    PreferLeader,
    /// On the replica that was called.
    Local,
}

type Handler = Arc<dyn Fn(Arc<Operator>, Map<String, Value>) -> BoxFuture<'static, Reply> + Send + Sync>;

#[derive(Clone)]
struct Method {
    dispatch: Dispatch,
    handler: Handler,
}

/// The methods that a caller with one of the secrets may call.
pub(crate) struct MethodTable {
    /// Name of the method with which a follower forwards a call to the leader.
    forward_method: &'static str,
    /// Returns the client that calls another control VM with the secret of this table.
    client: fn(&Operator, &str) -> Option<Arc<Client>>,
    methods: BTreeMap<&'static str, Method>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Forwarded {
    method: String,
    params: Map<String, Value>,
}

impl MethodTable {
    /// An empty table.
    pub(crate) fn new(
        forward_method: &'static str,
        client: fn(&Operator, &str) -> Option<Arc<Client>>,
    ) -> Self {
        Self {
            forward_method,
            client,
            methods: BTreeMap::new(),
        }
    }

    /// Adds a method with typed parameters.
    pub(crate) fn add<P, R, F, Fut>(&mut self, name: &'static str, dispatch: Dispatch, method: F)
    where
        P: DeserializeOwned + Send + 'static,
        R: Serialize,
        F: Fn(Arc<Operator>, P) -> Fut + Send + Sync + Clone + 'static,
        Fut: Future<Output = std::result::Result<R, ErrorObjectOwned>> + Send + 'static,
    {
        let handler: Handler = Arc::new(move |operator, params| {
            let method = method.clone();
            async move {
                let params = parse(params)?;
                let result = method(operator, params).await?;
                serde_json::to_value(result)
                    .map_err(|e| Error::new(Code::BadAnswer, format!("{name}: {e}")).into())
            }
            .boxed()
        });
        self.methods.insert(name, Method { dispatch, handler });
    }

    /// Builds the RPC module with all methods of the table and the forwarding method.
    ///
    /// # Errors
    /// `Kernel` if a method is registered twice.
    pub(crate) fn module(self, operator: &Arc<Operator>) -> Result<RpcModule<()>> {
        let mut module = RpcModule::new(());
        let table = Arc::new(self);
        let names = table.methods.keys().copied().chain([table.forward_method]);
        for name in names {
            let table = Arc::clone(&table);
            let operator = Arc::clone(operator);
            module
                .register_async_method(name, move |params, _, _| {
                    let table = Arc::clone(&table);
                    let operator = Arc::clone(&operator);
                    let params = parse_object(params.as_str());
                    async move {
                        let reply = match params {
                            Ok(params) => table.answer(&operator, name, params).await,
                            Err(fault) => Err(fault),
                        };
                        operator.record_reply(name, &reply);
                        reply
                    }
                })
                .map_err(|e| Error::new(Code::Kernel, format!("method {name}: {e}")))?;
        }
        Ok(module)
    }

    /// Runs a call on this replica or forwards it to the leader.
    async fn answer(&self, operator: &Arc<Operator>, name: &str, params: Map<String, Value>) -> Reply {
        if name == self.forward_method {
            let call: Forwarded = parse(params)?;
            return self.run_forwarded(operator, call).await;
        }
        let Some(method) = self.methods.get(name) else {
            return Err(unknown_method(name));
        };
        if method.dispatch == Dispatch::Local || operator.is_leader() {
            let reply = (method.handler)(Arc::clone(operator), params.clone()).await;
            if !is_not_leader(&reply) {
                return reply;
            }
        }
        let forwarded = self.forward(operator, name, method.dispatch, &params).await;
        match forwarded {
            Ok(reply) if method.dispatch == Dispatch::Leader || !is_not_leader(&reply) => reply,
            Err(error) if method.dispatch == Dispatch::Leader => Err(error.into()),
            _ => (method.handler)(Arc::clone(operator), params).await,
        }
    }

    /// Runs a call that a follower forwarded. It is never forwarded again: two replicas that each consider
    /// the other the leader would otherwise forward it forever.
    async fn run_forwarded(&self, operator: &Arc<Operator>, call: Forwarded) -> Reply {
        let Some(method) = self.methods.get(call.method.as_str()) else {
            return Err(unknown_method(&call.method));
        };
        if !operator.is_leader() {
            return Err(Error::from(Code::NotLeader).into());
        }
        (method.handler)(Arc::clone(operator), call.params).await
    }

    async fn forward(
        &self,
        operator: &Operator,
        name: &str,
        dispatch: Dispatch,
        params: &Map<String, Value>,
    ) -> Result<Reply> {
        let leader = operator.leader().ok_or_else(|| {
            Error::new(
                Code::NotLeader,
                "no leader is known; an election may be under way",
            )
        })?;
        let client = (self.client)(operator, &leader).ok_or_else(|| {
            let detail = format!("the leader \"{leader}\" is not another VM of the settings");
            Error::new(Code::NotLeader, detail)
        })?;
        let timeout = match dispatch {
            Dispatch::Leader => FORWARD_TIMEOUT,
            _ => FETCH_FORWARD_TIMEOUT,
        };
        let call = Forwarded {
            method: name.into(),
            params: params.clone(),
        };
        client
            .request(self.forward_method, &call, timeout)
            .await
            .map_err(|e| match e.code {
                // The call was not sent, so it did not run and may be repeated.
                Code::Unreachable => {
                    Error::new(Code::NotLeader, format!("leader \"{leader}\": {}", e.detail))
                }
                _ => e,
            })
    }
}

fn unknown_method(name: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        METHOD_NOT_FOUND_CODE,
        format!("unknown method {name:?}"),
        None::<()>,
    )
}

fn is_not_leader(reply: &Reply) -> bool {
    let number = i32::from(Code::NotLeader.number());
    matches!(reply, Err(fault) if fault.code() == number)
}

fn invalid_params(detail: String, field: Option<&str>) -> ErrorObjectOwned {
    let data = field.map(|f| json!({"field": f}));
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, detail, data)
}

fn parse_object(text: Option<&str>) -> std::result::Result<Map<String, Value>, ErrorObjectOwned> {
    match text.map(serde_json::from_str) {
        None | Some(Ok(Value::Null)) => Ok(Map::new()),
        Some(Ok(Value::Object(map))) => Ok(map),
        Some(Ok(_)) => Err(invalid_params(
            "params is not an object with named parameters".into(),
            None,
        )),
        Some(Err(e)) => Err(invalid_params(format!("params: {e}"), None)),
    }
}

fn parse<P: DeserializeOwned>(params: Map<String, Value>) -> std::result::Result<P, ErrorObjectOwned> {
    let error = match deserialize::<P>(params.clone()) {
        Ok(parsed) => return Ok(parsed),
        Err(error) => error,
    };
    // serde's error does not name the field, so the fields are left out one by one: the error changes without
    // the invalid field.
    let field = params.keys().find(|name| {
        let mut rest = params.clone();
        rest.remove(*name);
        deserialize::<P>(rest).err().as_ref() != Some(&error)
    });
    let detail = match field {
        // serde's error contains the value, which is secret here.
        Some(name) if name == "secret" => "secret: not a string".into(),
        Some(name) if !error.contains(&format!("`{name}`")) => format!("{name}: {error}"),
        _ => error,
    };
    Err(invalid_params(detail, field.map(String::as_str)))
}

fn deserialize<P: DeserializeOwned>(params: Map<String, Value>) -> std::result::Result<P, String> {
    serde_json::from_value(Value::Object(params)).map_err(|e| e.to_string())
}
