//! Calls to other entry VMs by name.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::VmName;
use crate::rpc::Client;
use crate::secret::Secret;
use crate::view::View;

/// RPC clients of entry VMs, one for each VM that was called.
pub struct Peers {
    secret: Secret,
    clients: Mutex<HashMap<VmName, Arc<Client>>>,
}

impl Peers {
    /// Clients that present the fleet secret.
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            clients: Mutex::default(),
        }
    }

    /// Calls a method of a VM at its address in the view.
    ///
    /// # Errors
    /// `Unreachable` if the VM is not in the view, and those of [`Client::call`].
    pub async fn call<P, R>(
        &self,
        view: &View,
        vm: &VmName,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        self.client(view, vm)?.call(method, params, timeout).await
    }

    fn client(&self, view: &View, vm: &VmName) -> Result<Arc<Client>> {
        let Some(record) = view.vms.get(vm) else {
            return Err(Error::new(
                Code::Unreachable,
                format!("VM {vm} is not registered"),
            ));
        };
        let mut clients = self.clients.lock().unwrap();
        clients.retain(|name, _| view.vms.contains_key(name));
        let client = clients
            .entry(vm.clone())
            .or_insert_with(|| Arc::new(Client::new(record.peer, self.secret.clone())));
        if client.address() != record.peer {
            *client = Arc::new(Client::new(record.peer, self.secret.clone()));
        }
        Ok(Arc::clone(client))
    }
}
