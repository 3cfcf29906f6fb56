//! Selects the entry addresses that a caller gets; does no input or output.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use serde::Serialize;

use crate::id::DomainName;
use crate::member::LiveVm;

/// Path of the directory on the caller port.
pub const PATH: &str = "/.zinnia/addresses";
/// Largest number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 8;
/// Number of addresses from the caller's failure domain; the others serve the caller when that domain fails.
const SAME_DOMAIN_ADDRESSES: usize = 5;

/// Answer of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// Addresses, the preferred ones first.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may keep them, in milliseconds.
    pub ttl_ms: u64,
}

/// Selects from the live VMs: first up to `SAME_DOMAIN_ADDRESSES` of the caller's failure domain, or more if
/// the other domains cannot fill the list, then VMs of other domains.
pub fn select(live: &[LiveVm], domain: Option<&str>, ttl: Duration, random: &mut impl Rng) -> Addresses {
    // A stale VM refuses keyed requests, so it is listed only while there is no other.
    let fresh: Vec<&LiveVm> = live.iter().filter(|vm| !vm.stale).collect();
    let live = if fresh.is_empty() {
        live.iter().collect()
    } else {
        fresh
    };
    let is_local = |vm: &&LiveVm| domain.is_some_and(|d| vm.endpoint.domain == d);
    let mut local: Vec<&LiveVm> = live.iter().copied().filter(is_local).collect();
    let mut remote: Vec<&LiveVm> = live.iter().copied().filter(|vm| !is_local(vm)).collect();
    let local_count = local
        .len()
        .min(SAME_DOMAIN_ADDRESSES.max(MAX_ADDRESSES.saturating_sub(remote.len())));
    let mut addresses = Vec::with_capacity(MAX_ADDRESSES);
    while addresses.len() < local_count {
        addresses.push(pick(&mut local, random));
    }
    while addresses.len() < MAX_ADDRESSES && !remote.is_empty() {
        addresses.push(pick(&mut remote, random));
    }
    Addresses {
        addresses,
        ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
    }
}

/// The failure domain that a query names.
pub fn query_domain(query: Option<&str>) -> Option<DomainName> {
    query?
        .split('&')
        .find_map(|pair| pair.strip_prefix("domain="))
        .map(DomainName::from)
}

/// Removes the less loaded of two random VMs from the list and returns its address.
fn pick(from: &mut Vec<&LiveVm>, random: &mut impl Rng) -> SocketAddr {
    let a = random.random_range(0..from.len());
    let b = random.random_range(0..from.len());
    let chosen = if from[b].load < from[a].load { b } else { a };
    from.swap_remove(chosen).endpoint.caller
}
