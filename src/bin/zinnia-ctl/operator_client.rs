//! Calls to the control VMs; if one is not the leader or is unreachable, the next address is called.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::Value;

use zinnialoom::code::Code;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::rpc::Client;
use zinnialoom::secret::Secret;

/// Pause after all addresses were called without success; an election takes 1 to 3 s.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Client for the operator interface of the control VMs of a fleet.
pub struct OperatorClient {
    clients: Vec<Client>,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client for the addresses, which are separated by commas. `timeout` limits one call,
    /// with its attempts at all addresses and its retries.
    ///
    /// # Errors
    /// `BadParams` if one is not an address.
    pub fn new(addresses: &str, secret: &Secret, timeout: Duration) -> Result<Self> {
        let clients = addresses
            .split(',')
            .map(|text| {
                let address: SocketAddr = text.trim().parse().map_err(|_| {
                    let detail = format!("--control: {text:?} is not an address IP:PORT");
                    Error::new(Code::BadParams, detail)
                })?;
                Ok(Client::new(address, secret.clone()))
            })
            .collect::<Result<Vec<Client>>>()?;
        Ok(Self { clients, timeout })
    }

    /// Calls a method. The next address is called only after `Unreachable` (nothing was sent) or `NotLeader`
    /// (the call was refused), so the call runs at most once.
    ///
    /// # Errors
    /// `Unreachable` or `NotLeader` if no leader was reached in time, `Timeout` or `BadAnswer` if the call
    /// may have run. Any other refusal by the VM is returned as `Ok(Err(object))`.
    pub async fn call(
        &self,
        method: &str,
        params: &Value,
    ) -> Result<std::result::Result<Value, ErrorObjectOwned>> {
        let end = Instant::now() + self.timeout;
        loop {
            let mut last_error = Error::new(Code::Unreachable, "no address was tried in time");
            for client in &self.clients {
                let remaining = end.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                match client.request(method, params, remaining).await {
                    Ok(Err(fault)) if fault.code() == i32::from(Code::NotLeader.number()) => {
                        last_error = Error::new(Code::NotLeader, fault.message());
                    }
                    Ok(reply) => return Ok(reply),
                    Err(e) if e.code == Code::Unreachable => last_error = e,
                    Err(e) => return Err(e),
                }
            }
            if Instant::now() + RETRY_PAUSE >= end {
                return Err(last_error);
            }
            task::sleep(RETRY_PAUSE).await;
        }
    }
}
