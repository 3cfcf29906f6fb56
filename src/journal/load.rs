//! Reads the segments and the snapshot of a replica at its start.

use std::fs;
use std::fs::OpenOptions;
use std::path::Path;

use super::Entry;
use super::HardState;
use super::Index;
use super::Journal;
use super::SEGMENT_MAGIC;
use super::SNAPSHOT_FILE;
use super::Segment;
use super::Snapshot;
use super::StoredState;
use super::TEMPORARY_EXTENSION;
use super::corrupt;
use super::record;
use super::record::ReadResult;
use super::record::Record;
use super::snapshot;
use crate::error::Error;
use crate::error::Result;

/// State rebuilt from the records that were read so far.
#[derive(Default)]
struct Replay {
    hard_state: Option<HardState>,
    log: Vec<Entry>,
    /// Index of the last entry in the snapshot; 0 without one.
    base: Index,
}

impl Replay {
    /// Applies a record; returns `false` if entries are missing before it.
    fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::HardState(state) => self.hard_state = Some(state),
            Record::Truncate(from) => self.truncate(from),
            Record::Entry(entry) => {
                self.truncate(entry.index);
                let next = self.log.last().map_or(entry.index, |e| e.index + 1);
                // If the snapshot came from the leader, entries that it covers may be missing.
                if next != entry.index && entry.index <= self.base + 1 {
                    self.log.clear();
                } else if next != entry.index {
                    return false;
                }
                self.log.push(entry);
            }
        }
        true
    }

    fn truncate(&mut self, from: Index) {
        let kept = self.log.partition_point(|e| e.index < from);
        self.log.truncate(kept);
    }
}

impl Journal {
    pub(super) fn load(&mut self) -> Result<Option<StoredState>> {
        let numbers = self.list_segments()?;
        let snapshot = self.load_snapshot()?;
        let mut replay = Replay {
            base: snapshot.as_ref().map_or(0, |s| s.index),
            ..Replay::default()
        };
        for &number in &numbers {
            let is_last = numbers.last() == Some(&number);
            self.load_segment(number, is_last, &mut replay)?;
        }
        self.remove_before_gap(replay.base)?;
        let Some(hard_state) = replay.hard_state else {
            if snapshot.is_some() {
                let path = self.folder.join(SNAPSHOT_FILE);
                return Err(corrupt(&path, 0, "there is a snapshot but no journal"));
            }
            return Ok(None);
        };
        self.hard_state = Some(hard_state);
        let base = replay.base;
        let log: Vec<Entry> = replay.log.into_iter().filter(|e| e.index > base).collect();
        if log.first().is_some_and(|e| e.index != base + 1) {
            let cause = format!("entries after {base} are missing before the first one");
            return Err(corrupt(&self.path(numbers[0]), 0, &cause));
        }
        Ok(Some(StoredState {
            hard_state,
            snapshot,
            log,
        }))
    }

    /// Numbers of the segments in order. Removes temporary files, which a crash can leave.
    fn list_segments(&self) -> Result<Vec<u64>> {
        let folder = self.folder.display();
        let mut numbers = Vec::new();
        for file in fs::read_dir(&self.folder).map_err(|e| Error::io(&folder, &e))? {
            let path = file.map_err(|e| Error::io(&folder, &e))?.path();
            if path.extension().is_some_and(|e| e == TEMPORARY_EXTENSION) {
                fs::remove_file(&path).map_err(|e| Error::io(path.display(), &e))?;
                continue;
            }
            let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
            let number = name.strip_prefix("journal-");
            numbers.extend(number.and_then(|n| u64::from_str_radix(n, 16).ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Removes the segments before a gap in their numbers. A power loss can keep some of the segments that were
    /// deleted after a snapshot, and not the later ones.
    ///
    /// # Errors
    /// `Corrupt` if one of them has entries that the snapshot does not cover.
    fn remove_before_gap(&mut self, base: Index) -> Result<()> {
        let numbers: Vec<u64> = self.segments.iter().map(|s| s.number).collect();
        let Some(gap) = numbers.windows(2).rposition(|w| w[0] + 1 != w[1]) else {
            return Ok(());
        };
        if self.segments[..=gap].iter().any(|s| s.last_index > base) {
            return Err(corrupt(&self.path(numbers[gap] + 1), 0, "the segment is missing"));
        }
        for segment in self.segments.drain(..=gap).collect::<Vec<_>>() {
            let path = self.path(segment.number);
            log::warn!("{}: removed, as the snapshot covers it", path.display());
            fs::remove_file(&path).map_err(|e| Error::io(path.display(), &e))?;
        }
        Ok(())
    }

    fn load_snapshot(&self) -> Result<Option<Snapshot>> {
        let path = self.folder.join(SNAPSHOT_FILE);
        if !path.exists() {
            return Ok(None);
        }
        let bytes = fs::read(&path).map_err(|e| Error::io(path.display(), &e))?;
        let decoded = snapshot::decode(&bytes);
        decoded
            .map(Some)
            .map_err(|(offset, cause)| corrupt(&path, offset, cause))
    }

    fn load_segment(&mut self, number: u64, is_last: bool, replay: &mut Replay) -> Result<()> {
        let path = self.path(number);
        let bytes = fs::read(&path).map_err(|e| Error::io(path.display(), &e))?;
        if !bytes.starts_with(SEGMENT_MAGIC) {
            return Err(corrupt(&path, 0, "not a journal segment"));
        }
        let mut offset = SEGMENT_MAGIC.len();
        let mut last_index = 0;
        loop {
            match record::read(&bytes, offset) {
                ReadResult::Record(record, length) => {
                    if let Record::Entry(entry) = &record {
                        last_index = last_index.max(entry.index);
                    }
                    if !replay.apply(record) {
                        return Err(corrupt(
                            &path,
                            offset as u64,
                            "entries are missing before this one",
                        ));
                    }
                    offset += length;
                }
                ReadResult::End => break,
                // A crash can leave an incomplete record only in the active segment, after the hard state: a
                // segment is created together with its hard state and closed only after a sync.
                ReadResult::Torn if is_last && offset > SEGMENT_MAGIC.len() => break,
                ReadResult::Torn => return Err(corrupt(&path, offset as u64, "incomplete record")),
                ReadResult::Damaged(cause) => return Err(corrupt(&path, offset as u64, cause)),
            }
        }
        self.segments.push(Segment { number, last_index });
        if is_last {
            self.open_active(&path, offset as u64, bytes.len() as u64)?;
        }
        Ok(())
    }

    /// Opens the last segment for appending and truncates it to its complete records.
    fn open_active(&mut self, path: &Path, valid_bytes: u64, file_bytes: u64) -> Result<()> {
        let file_name = path.display();
        let file = OpenOptions::new().append(true).open(path);
        let file = file.map_err(|e| Error::io(&file_name, &e))?;
        if valid_bytes < file_bytes {
            log::warn!(
                "{file_name}: removed {} bytes of an incomplete record",
                file_bytes - valid_bytes
            );
            file.set_len(valid_bytes).map_err(|e| Error::io(&file_name, &e))?;
            file.sync_all().map_err(|e| Error::io(&file_name, &e))?;
        }
        self.active = Some(file);
        self.synced_bytes = valid_bytes;
        Ok(())
    }
}
