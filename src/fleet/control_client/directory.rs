//! The directory of an entry VM: which addresses a caller gets.

use std::net::SocketAddr;
use std::time::Instant;

use async_std::task;
use log::info;
use log::warn;

use super::ControlClient;
use super::STARTUP_POLL_PERIOD;
use super::state::State;
use crate::fleet::entry_vms;
use crate::fleet::entry_vms::CallerPlace;
use crate::fleet::homes;
use crate::fleet::message::EntryVm;
use crate::target::Target;

/// Number of characters of a value of a caller in a log line.
const LOGGED_CHARS: usize = 64;

/// The start of a value that a caller sent.
fn shorten(value: &str) -> String {
    value.chars().take(LOGGED_CHARS).collect()
}

impl ControlClient {
    /// The entry VMs that callers may be told of.
    pub fn entries(&self) -> Vec<EntryVm> {
        let state = self.shared.state.lock();
        state.entry_list.current(Instant::now(), &state.entry)
    }

    /// Addresses of ready entry VMs for a caller, at most `limit`. While this process is starting, waits until one VM
    /// is ready.
    pub async fn resolve(&self, caller: &CallerPlace<'_>, limit: usize) -> Vec<SocketAddr> {
        let entries = self.wait_ready_entries().await;
        let near = self.near_or_home(&entries, caller);
        let candidates = near.as_ref().unwrap_or(&entries);
        let addresses = entry_vms::choose(candidates, caller.domain, limit, &mut rand::rng());
        if addresses.is_empty() {
            let domain = shorten(caller.domain);
            info!(
                "no address for a caller: domain={domain:?} known={}",
                entries.len()
            );
        }
        addresses
    }

    /// The VMs that a caller of a host with homes may get; `None` if it may get all, as the host has no homes or none
    /// of them is ready.
    fn near_or_home(&self, entries: &[EntryVm], caller: &CallerPlace<'_>) -> Option<Vec<EntryVm>> {
        // Compared in the form in which the host of a request is, so another spelling finds the same routes.
        let host = Target::parse("/", caller.host)
            .map(|t| t.host)
            .unwrap_or_default();
        let state = self.shared.state.lock();
        let homes = homes::of_host(&state.view, &host);
        if homes.is_empty() {
            return None;
        }
        let found = entry_vms::near_or_home(entries, state.homes.regions(), &homes, caller);
        if found.is_none() {
            info!(
                "no ready VM near a caller or in a home: host={:?} region={:?} domain={:?} known={}",
                shorten(caller.host),
                shorten(caller.region),
                shorten(caller.domain),
                entries.len()
            );
        }
        found
    }

    /// The entry VMs. While this process is starting, waits until one of them is ready.
    async fn wait_ready_entries(&self) -> Vec<EntryVm> {
        loop {
            let entries = self.entries();
            if entries.iter().any(|e| e.is_ready) || !self.is_starting() {
                return entries;
            }
            task::sleep(STARTUP_POLL_PERIOD).await;
        }
    }
}

impl State {
    /// Records that this process runs.
    pub(super) fn observe_running(&mut self, now: Instant) {
        if let Some(pause) = self.entry_list.observe(now) {
            warn!("process did not run: ms={}", pause.as_millis());
        }
        let age = self.entry_list.age(now).unwrap_or_default();
        if let Some(naming) = self.entry_list.change(now) {
            info!(
                "directory changed: names={naming} list_age_ms={}",
                age.as_millis()
            );
        }
    }
}
