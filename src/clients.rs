//! RPC clients of other processes, one for each address.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::id::VmName;
use crate::rpc::Client;
use crate::secret::Secret;

/// Clients that are shared by the components of a process, so that they share connections.
pub struct Clients {
    secret: Secret,
    by_address: Mutex<HashMap<SocketAddr, Arc<Client>>>,
    peers: Mutex<BTreeMap<VmName, SocketAddr>>,
}

impl Clients {
    /// Clients that present the fleet secret.
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            by_address: Mutex::default(),
            peers: Mutex::default(),
        }
    }

    /// The client for an address.
    pub fn client(&self, address: SocketAddr) -> Arc<Client> {
        let mut by_address = self.by_address.lock().unwrap();
        let client = by_address
            .entry(address)
            .or_insert_with(|| Arc::new(Client::new(address, self.secret.clone())));
        Arc::clone(client)
    }

    /// Records the address of a VM that called this one.
    pub fn add_peer(&self, vm: &VmName, address: SocketAddr) {
        self.peers.lock().unwrap().insert(vm.clone(), address);
    }

    /// Addresses of VMs that called this one. A restarted VM knows no other addresses of peers until it has a
    /// configuration.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.peers.lock().unwrap().values().copied().collect()
    }

    /// Drops the clients of addresses that are no longer in use.
    pub fn retain(&self, is_used: impl Fn(&SocketAddr) -> bool) {
        self.by_address
            .lock()
            .unwrap()
            .retain(|address, _| is_used(address));
    }
}
