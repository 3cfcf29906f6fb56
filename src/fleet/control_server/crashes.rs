//! Crashes of upstreams by the requests that caused them. The control VMs count those of the whole fleet, and send
//! suspects to the entry VMs.

use std::time::Instant;

use log::info;
use smol_str::SmolStr;

use super::Shared;
use super::state::Peer;
use super::state::State;
use crate::fleet::crash_policy::SUSPECT;
use crate::fleet::link::Link;
use crate::fleet::message::Frame;
use crate::id::CrashId;
use crate::quarantine;
use crate::quarantine::CrashRecord;

impl Shared {
    /// Notes the revision of a VM from its heartbeat. One that has just connected gets all suspects.
    pub(super) fn set_revision(&self, from: Option<&Peer>, number: u64, revision: u8) {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let (link, known) = match from {
            Some(Peer::Entry(vm)) => match state.entries.get_mut(vm) {
                Some(peer) if peer.number == number => (&peer.link, &mut peer.revision),
                _ => return,
            },
            Some(Peer::Control(vm)) => match state.controls.get_mut(vm) {
                Some(peer) if peer.number == number => (&peer.link, &mut peer.revision),
                _ => return,
            },
            None => return,
        };
        if known.replace(revision).is_some() || revision == 0 {
            return;
        }
        let suspects = state.crashes.records(Instant::now(), SUSPECT);
        if !suspects.is_empty() {
            link.send(&Frame::CrashRecords(suspects));
        }
    }

    /// Counts crashes. New ones that an entry VM reports go to the other control VMs, and all entry VMs connected
    /// here get new suspects.
    pub(super) fn record_crashes(&self, from: Option<&Peer>, records: Vec<CrashRecord>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        for record in records {
            let outcome = state.crashes.merge(now, &record);
            if !outcome.is_new {
                continue;
            }
            if outcome.is_newly_blocked {
                info!(
                    "fingerprint blocked: fingerprint={} crashes={}",
                    quarantine::short(&record.fingerprint),
                    outcome.crashes
                );
            }
            if matches!(from, Some(Peer::Entry(_))) {
                state.send_to_other_controls(&record);
            }
            state.send_suspect(now, from, &record);
        }
    }

    /// Takes back a crash, here and on the VMs that know of it.
    pub(super) fn take_back_crash(&self, from: Option<&Peer>, fingerprint: &SmolStr, crash: CrashId) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let known = state.crashes.record(now, fingerprint);
        if !state.crashes.take_back(now, fingerprint, crash) {
            return;
        }
        let frame = Frame::CrashTakenBack {
            fingerprint: fingerprint.clone(),
            crash,
        };
        if matches!(from, Some(Peer::Entry(_))) {
            let controls = state.controls.values().filter(|p| p.revision > Some(0));
            controls.for_each(|p| p.link.send(&frame));
        }
        if known.is_some_and(|r| r.crashes.len() >= SUSPECT) {
            let entries = state.entries.values().filter(|p| p.revision > Some(0));
            entries.for_each(|p| p.link.send(&frame));
        }
    }
}

impl State {
    /// Sends all that is known of a fingerprint to the entry VMs if it is a suspect. Older builds count the crashes
    /// themselves, so they get each one that another VM reported.
    fn send_suspect(&self, now: Instant, from: Option<&Peer>, record: &CrashRecord) {
        let suspect = self.crashes.record(now, &record.fingerprint);
        let suspect = suspect.filter(|s| s.crashes.len() >= SUSPECT);
        for (vm, peer) in &self.entries {
            let is_reporter = matches!(from, Some(Peer::Entry(reporter)) if reporter == vm);
            match peer.revision {
                Some(0) if !is_reporter => send_each_crash(&peer.link, record),
                Some(1..) => {
                    if let Some(suspect) = &suspect {
                        peer.link.send(&Frame::CrashRecords(vec![suspect.clone()]));
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends new crashes to the other control VMs.
    fn send_to_other_controls(&self, record: &CrashRecord) {
        for peer in self.controls.values() {
            match peer.revision {
                Some(0) => send_each_crash(&peer.link, record),
                Some(_) => peer.link.send(&Frame::CrashRecords(vec![record.clone()])),
                // It gets all suspects when it states its revision.
                None => {}
            }
        }
    }
}

/// Sends the crashes of a record to a build that counts messages.
fn send_each_crash(link: &Link, record: &CrashRecord) {
    for _ in &record.crashes {
        let fingerprint = record.fingerprint.clone();
        link.send(&Frame::Crash { fingerprint });
    }
}
