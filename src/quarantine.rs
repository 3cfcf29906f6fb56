//! Blocks fingerprints of requests that crash upstreams (section 5.3 of the design).
//!
//! VMs tell each other what they know as [`CrashRecord`]s. Merging them is idempotent and their order doesn't
//! matter, so a VM may get the same crash on several ways, and again after each lost connection.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::CrashId;
use crate::stage::Block;

/// Time for which a crash counts.
pub const CRASH_WINDOW: Duration = Duration::from_secs(10 * 60);
/// Longest time for which a fingerprint is blocked.
pub const MAX_BLOCK_TIME: Duration = Duration::from_secs(10 * 60);
/// Characters of a fingerprint in log lines; enough to tell apart those that a fleet holds.
const SHORT_FINGERPRINT: usize = 16;

/// The first characters of a fingerprint, by which log lines name it.
pub fn short(fingerprint: &str) -> &str {
    fingerprint.get(..SHORT_FINGERPRINT).unwrap_or(fingerprint)
}

/// When and for how long a fingerprint is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockPolicy {
    /// Number of crashes that block a fingerprint; at least 1.
    pub threshold: usize,
    /// Length of the first block, from the last crash on. One more crash after its end blocks again, for twice
    /// as long, up to [`MAX_BLOCK_TIME`].
    pub block_time: Duration,
    /// Largest number of fingerprints that are kept.
    pub capacity: usize,
}

/// What a VM knows of the crashes that requests with one fingerprint caused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the requests.
    pub fingerprint: SmolStr,
    /// The latest crashes, at most as many as block the fingerprint.
    pub crashes: Vec<CrashId>,
    /// Number of blocks so far.
    pub blocks: u8,
    /// Time since the last crash, in milliseconds.
    pub age_ms: u32,
}

impl CrashRecord {
    /// One crash that happened just now.
    pub fn of_crash(fingerprint: &str, crash: CrashId) -> Self {
        Self {
            fingerprint: fingerprint.into(),
            crashes: vec![crash],
            blocks: 0,
            age_ms: 0,
        }
    }
}

/// What [`CrashTable::merge`] changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the record held a crash or a block that the table didn't know.
    pub is_new: bool,
    /// Whether the fingerprint is blocked and wasn't before.
    pub is_newly_blocked: bool,
    /// Number of crashes that are known now, at most the threshold.
    pub crashes: usize,
}

struct Entry {
    /// The latest crashes, oldest first; at most the threshold.
    crashes: Vec<CrashId>,
    blocks: u8,
    last_crash: Instant,
    /// Makes the keys of entries with the same `last_crash` distinct in [`CrashTable::by_age`].
    sequence: u64,
}

/// Fingerprints of requests that crashed upstreams recently.
pub struct CrashTable {
    policy: BlockPolicy,
    entries: HashMap<SmolStr, Entry>,
    /// Fingerprints by number of crashes less one, and by age. The fingerprint with the fewest crashes is
    /// evicted first, so that requests that ended with a connection once don't displace a crashing one.
    by_age: Vec<BTreeMap<(Instant, u64), SmolStr>>,
    sequence: u64,
}

impl CrashTable {
    /// A table without crashes.
    pub fn new(policy: BlockPolicy) -> Self {
        Self {
            policy,
            entries: HashMap::new(),
            by_age: vec![BTreeMap::new(); policy.threshold],
            sequence: 0,
        }
    }

    /// Adds what another VM knows, or one crash; see [`CrashRecord::of_crash`].
    pub fn merge(&mut self, now: Instant, record: &CrashRecord) -> MergeOutcome {
        self.expire(now);
        let age = Duration::from_millis(record.age_ms.into());
        let at = now.checked_sub(age).unwrap_or(now);
        if age >= CRASH_WINDOW || record.crashes.is_empty() {
            return self.unchanged(&record.fingerprint);
        }
        let was_blocked = self.is_blocked(now, &record.fingerprint);
        let mut entry = self.remove(&record.fingerprint).unwrap_or(Entry {
            crashes: Vec::new(),
            blocks: 0,
            last_crash: at,
            sequence: 0,
        });
        let has_new_crash = self.add_new_crashes(&mut entry, record, at);
        let is_new = has_new_crash || record.blocks > entry.blocks;
        if is_new {
            entry.blocks = entry.blocks.max(record.blocks);
            entry.last_crash = entry.last_crash.max(at);
        }
        let crashes = entry.crashes.len();
        self.insert(record.fingerprint.clone(), entry);
        MergeOutcome {
            is_new,
            is_newly_blocked: !was_blocked && self.is_blocked(now, &record.fingerprint),
            crashes,
        }
    }

    /// Adds the crashes of a record that are not known, of which the last was at `at`, and begins a block if they
    /// call for it; false if there are none.
    fn add_new_crashes(&self, entry: &mut Entry, record: &CrashRecord, at: Instant) -> bool {
        let unknown = record.crashes.iter().filter(|id| !entry.crashes.contains(id));
        let unknown: Vec<CrashId> = unknown.copied().collect();
        // A full entry has dropped its oldest crashes, so an unknown crash is new only if it is later.
        let is_full = entry.crashes.len() >= self.policy.threshold;
        if unknown.is_empty() || (is_full && at <= entry.last_crash) {
            return false;
        }
        entry.crashes.extend(unknown);
        let surplus = entry.crashes.len().saturating_sub(self.policy.threshold);
        entry.crashes.drain(..surplus);
        let block_end = entry.last_crash + self.block_time(entry.blocks);
        let begins_block = match entry.blocks {
            0 => entry.crashes.len() == self.policy.threshold,
            _ => at >= block_end,
        };
        entry.blocks = entry.blocks.saturating_add(u8::from(begins_block));
        true
    }

    /// Whether requests with the fingerprint are refused.
    pub fn is_blocked(&self, now: Instant, fingerprint: &str) -> bool {
        self.block(now, fingerprint).is_some()
    }

    /// The block of a fingerprint; `None` if its requests are sent.
    pub fn block(&self, now: Instant, fingerprint: &str) -> Option<Block> {
        let entry = self.entries.get(fingerprint).filter(|e| e.blocks > 0)?;
        let end = entry.last_crash + self.block_time(entry.blocks);
        let crashes = entry.crashes.len();
        (now < end).then(|| Block {
            crashes,
            left: end - now,
        })
    }

    /// Takes back the oldest crash of a fingerprint whose request was answered, and returns it; `None` if the
    /// fingerprint is blocked or has none. One answer outweighs one crash, because a request that crashes most
    /// upstreams may be answered by one that fails in another way.
    pub fn record_answer(&mut self, now: Instant, fingerprint: &str) -> Option<CrashId> {
        let oldest = *self.entries.get(fingerprint)?.crashes.first()?;
        self.take_back(now, fingerprint, oldest).then_some(oldest)
    }

    /// Takes back a crash; false if the fingerprint is blocked or the crash is not known.
    pub fn take_back(&mut self, now: Instant, fingerprint: &str, crash: CrashId) -> bool {
        let is_known = |e: &Entry| e.crashes.contains(&crash);
        if self.is_blocked(now, fingerprint) || !self.entries.get(fingerprint).is_some_and(is_known) {
            return false;
        }
        if let Some(mut entry) = self.remove(fingerprint) {
            entry.crashes.retain(|id| *id != crash);
            if !entry.crashes.is_empty() {
                self.insert(fingerprint.into(), entry);
            }
        }
        true
    }

    /// What is known of one fingerprint.
    pub fn record(&self, now: Instant, fingerprint: &str) -> Option<CrashRecord> {
        let entry = self.entries.get(fingerprint)?;
        Some(entry.to_record(now, fingerprint))
    }

    /// What is known of all fingerprints with at least this many crashes, at least 1.
    pub fn records(&self, now: Instant, min_crashes: usize) -> Vec<CrashRecord> {
        let ranks = self.by_age.iter().skip(min_crashes.saturating_sub(1));
        let fingerprints = ranks.flat_map(BTreeMap::values);
        fingerprints.filter_map(|f| self.record(now, f)).collect()
    }

    /// Number of stored fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fingerprint is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Length of a block by its number, which starts at 1.
    fn block_time(&self, blocks: u8) -> Duration {
        let doublings = u32::from(blocks.saturating_sub(1));
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        self.policy.block_time.saturating_mul(factor).min(MAX_BLOCK_TIME)
    }

    fn unchanged(&self, fingerprint: &str) -> MergeOutcome {
        MergeOutcome {
            is_new: false,
            is_newly_blocked: false,
            crashes: self.entries.get(fingerprint).map_or(0, |e| e.crashes.len()),
        }
    }

    fn insert(&mut self, fingerprint: SmolStr, mut entry: Entry) {
        if self.entries.len() >= self.policy.capacity {
            // Without a limit, a customer whose requests all end with their connections would use up the memory.
            let fewest = self.by_age.iter().find_map(|rank| rank.values().next().cloned());
            if let Some(fewest) = fewest {
                self.remove(&fewest);
            }
        }
        self.sequence += 1;
        entry.sequence = self.sequence;
        self.by_age[entry.rank()].insert((entry.last_crash, entry.sequence), fingerprint.clone());
        self.entries.insert(fingerprint, entry);
    }

    fn remove(&mut self, fingerprint: &str) -> Option<Entry> {
        let entry = self.entries.remove(fingerprint)?;
        self.by_age[entry.rank()].remove(&(entry.last_crash, entry.sequence));
        Some(entry)
    }

    fn expire(&mut self, now: Instant) {
        for rank in &mut self.by_age {
            while let Some(oldest) = rank.first_entry() {
                let (last_crash, _) = oldest.key();
                if *last_crash + CRASH_WINDOW > now {
                    break;
                }
                self.entries.remove(&oldest.remove());
            }
        }
    }
}

impl Entry {
    /// Index in [`CrashTable::by_age`].
    fn rank(&self) -> usize {
        self.crashes.len() - 1
    }

    fn to_record(&self, now: Instant, fingerprint: &str) -> CrashRecord {
        let age = now.saturating_duration_since(self.last_crash).as_millis();
        CrashRecord {
            fingerprint: fingerprint.into(),
            crashes: self.crashes.clone(),
            blocks: self.blocks,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}
