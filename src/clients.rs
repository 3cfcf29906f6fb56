//! RPC clients of other processes, one for each address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::rpc::Client;
use crate::secret::Secret;

/// Clients that are shared by the services of a process, so that they share connections.
pub struct Clients {
    secret: Secret,
    list: Mutex<HashMap<SocketAddr, Arc<Client>>>,
}

impl Clients {
    /// Clients that present the fleet secret.
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            list: Mutex::default(),
        }
    }

    /// The client for an address.
    pub fn find(&self, address: SocketAddr) -> Arc<Client> {
        let mut list = self.list.lock().unwrap();
        let client = list
            .entry(address)
            .or_insert_with(|| Arc::new(Client::new(address, self.secret.clone())));
        Arc::clone(client)
    }

    /// Forgets the clients of addresses that are no longer in use.
    pub fn retain(&self, is_used: impl Fn(&SocketAddr) -> bool) {
        self.list.lock().unwrap().retain(|address, _| is_used(address));
    }
}
