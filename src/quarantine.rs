//! Blocks fingerprints of requests that crash upstreams (section 5.3 of the design).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::Incarnation;
use crate::id::VmName;

/// Two crashes within this time block a fingerprint.
pub const CRASH_WINDOW: Duration = Duration::from_secs(10 * 60);
/// Time for which a fingerprint is blocked.
pub const BLOCK_TIME: Duration = Duration::from_secs(10 * 60);
/// Largest number of stored fingerprints; they take about 4 MB.
const MAX_FINGERPRINTS: usize = 20_000;

/// Characters of a fingerprint in log lines; enough to tell apart those that a fleet holds.
const SHORT_FINGERPRINT: usize = 16;

/// The first characters of a fingerprint, by which log lines name it.
pub fn short(fingerprint: &str) -> &str {
    fingerprint.get(..SHORT_FINGERPRINT).unwrap_or(fingerprint)
}

/// Report that an upstream connection broke in the middle of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: SmolStr,
    /// VM that forwarded the request.
    pub vm: VmName,
    /// Run of that VM.
    pub incarnation: Incarnation,
    /// Number of the crash in that run; a report that arrives twice counts once.
    pub number: u64,
}

struct Entry {
    last_crash: Instant,
    /// Makes the keys of entries with the same `last_crash` distinct in [`CrashTable::by_age`].
    sequence: u64,
    first_report: CrashReport,
    blocked_until: Option<Instant>,
}

/// Fingerprints of requests that crashed an upstream recently; a second crash blocks the fingerprint.
#[derive(Default)]
pub struct CrashTable {
    entries: HashMap<SmolStr, Entry>,
    by_age: BTreeMap<(Instant, u64), SmolStr>,
    sequence: u64,
}

impl CrashTable {
    /// A table without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a crash; the second within [`CRASH_WINDOW`] blocks the fingerprint for [`BLOCK_TIME`].
    pub fn record(&mut self, now: Instant, report: &CrashReport) {
        self.expire(now);
        let previous = self.remove(&report.fingerprint);
        let (first_report, blocked_until) = match previous {
            // The same report arrived again.
            Some(entry) if entry.first_report == *report => {
                self.insert(entry.last_crash, entry.first_report, entry.blocked_until);
                return;
            }
            Some(entry) => (
                entry.first_report,
                Some(entry.blocked_until.unwrap_or(now + BLOCK_TIME)),
            ),
            None => (report.clone(), None),
        };
        self.insert(now, first_report, blocked_until);
    }

    /// Whether requests with the fingerprint are refused.
    pub fn is_blocked(&self, now: Instant, fingerprint: &str) -> bool {
        let entry = self.entries.get(fingerprint);
        entry
            .and_then(|e| e.blocked_until)
            .is_some_and(|until| until > now)
    }

    /// Number of stored fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fingerprint is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, last_crash: Instant, first_report: CrashReport, blocked_until: Option<Instant>) {
        if self.entries.len() >= MAX_FINGERPRINTS {
            // Evicts the fingerprint whose last crash is oldest. Without a limit, a customer that crashes
            // upstreams with ever new requests would use up the memory.
            if let Some(oldest) = self.by_age.first_key_value().map(|(_, f)| f.clone()) {
                self.remove(&oldest);
            }
        }
        self.sequence += 1;
        let fingerprint = first_report.fingerprint.clone();
        self.by_age
            .insert((last_crash, self.sequence), fingerprint.clone());
        let entry = Entry {
            last_crash,
            sequence: self.sequence,
            first_report,
            blocked_until,
        };
        self.entries.insert(fingerprint, entry);
    }

    fn remove(&mut self, fingerprint: &SmolStr) -> Option<Entry> {
        let entry = self.entries.remove(fingerprint)?;
        self.by_age.remove(&(entry.last_crash, entry.sequence));
        Some(entry)
    }

    fn expire(&mut self, now: Instant) {
        while let Some(((last_crash, _), fingerprint)) = self.by_age.first_key_value() {
            if *last_crash + CRASH_WINDOW.max(BLOCK_TIME) > now {
                break;
            }
            let fingerprint = fingerprint.clone();
            self.remove(&fingerprint);
        }
    }
}
