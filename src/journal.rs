//! Durable state of a control replica: a log in segment files and a snapshot file.
//!
//! The folder holds numbered segments of checksummed records and one snapshot. Records are buffered and
//! are durable only after `sync`. Each segment starts with the hard state (term, vote and identity), so
//! that older segments can be deleted.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::Index;
use crate::journal::record::Record;
use crate::replica::Content;
use crate::replica::Entry;
use crate::replica::HardState;
use crate::replica::Snapshot;
use crate::replica::StoredState;

mod load;
mod record;
mod snapshot;

/// Size at which a sync closes the active segment and starts the next one.
const ROTATION_BYTES: u64 = 8 << 20;
/// First bytes of a segment; the last two are the format version.
const SEGMENT_MAGIC: &[u8; 8] = b"ZLJRNL01";
const SNAPSHOT_FILE: &str = "snapshot";
const TEMPORARY_EXTENSION: &str = "tmp";

/// A closed or active segment.
#[derive(Debug)]
struct Segment {
    number: u64,
    /// Largest index of an entry written to it, including entries that were replaced later.
    last_index: Index,
}

/// The files of one replica, open for appending.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    segments: Vec<Segment>,
    /// The last segment; `None` until the first hard state is saved.
    active: Option<File>,
    /// Size of the synced part of the active segment, in bytes.
    synced_bytes: u64,
    /// Encoded records that are not written yet.
    buffer: Vec<u8>,
    hard_state: Option<HardState>,
    /// The error of a failed write or sync; every later call returns it.
    failure: Option<Error>,
}

impl Journal {
    /// Opens the folder, creating it if necessary, and reads its state; `None` if it has no state yet.
    ///
    /// An incomplete last record, left by a crash during a write, is removed.
    ///
    /// # Errors
    /// `Io` if the folder cannot be read or written, `Corrupt` with file and offset if a file is damaged.
    pub fn open(folder: &Path) -> Result<(Self, Option<StoredState>)> {
        create_folder(folder).map_err(|e| Error::io(folder.display(), &e))?;
        let mut journal = Self {
            folder: folder.to_owned(),
            segments: Vec::new(),
            active: None,
            synced_bytes: 0,
            buffer: Vec::new(),
            hard_state: None,
            failure: None,
        };
        let stored = journal.load()?;
        Ok((journal, stored))
    }

    /// Buffers the hard state. The first call in an empty folder creates the first segment and syncs it.
    ///
    /// # Errors
    /// `Io` if the first segment cannot be created.
    pub fn save_hard_state(&mut self, hard_state: HardState) -> Result<()> {
        self.check_failure()?;
        self.hard_state = Some(hard_state);
        if self.active.is_none() {
            return self.rotate();
        }
        record::encode(&Record::HardState(hard_state), &mut self.buffer);
        Ok(())
    }

    /// Buffers entries that replace all entries from index `from` on.
    ///
    /// # Errors
    /// `Io` after an earlier failure or if no hard state was saved yet.
    pub fn append(&mut self, from: Index, entries: &[Entry]) -> Result<()> {
        self.check_failure()?;
        if self.active.is_none() {
            return Err(Error::new(
                Code::Io,
                "the journal needs a hard state before entries",
            ));
        }
        if entries.is_empty() {
            record::encode(&Record::Truncate(from), &mut self.buffer);
        }
        for entry in entries {
            record::encode(&Record::Entry(entry.clone()), &mut self.buffer);
        }
        let last = entries.last().map_or(0, |e| e.index);
        if let Some(segment) = self.segments.last_mut() {
            segment.last_index = segment.last_index.max(last);
        }
        Ok(())
    }

    /// Writes and syncs the buffered records; they are durable when it returns.
    ///
    /// # Errors
    /// `Io` for a failed write or sync. The journal then refuses every further call: after a failed
    /// sync the state of the file is unknown until it is read again.
    pub fn sync(&mut self) -> Result<()> {
        self.check_failure()?;
        if self.buffer.is_empty() {
            return Ok(());
        }
        let buffer = std::mem::take(&mut self.buffer);
        if let Err(e) = self.write(&buffer) {
            // Removes a partly written record, so that the synced part can be read.
            if let Some(file) = &self.active {
                let _ = file.set_len(self.synced_bytes);
                let _ = file.sync_all();
            }
            return Err(self.record_failure(&self.active_path(), &e));
        }
        self.synced_bytes += buffer.len() as u64;
        if self.synced_bytes >= ROTATION_BYTES {
            self.rotate()?;
        }
        Ok(())
    }

    /// Syncs the buffered records, replaces the snapshot and deletes the segments that it covers.
    ///
    /// # Errors
    /// `Io` for a failed write or sync. If the new snapshot could not be written, the earlier one stays.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.sync()?;
        let path = self.folder.join(SNAPSHOT_FILE);
        let bytes = snapshot::encode(snapshot);
        self.replace_file(&path, &bytes)
            .map_err(|e| self.record_failure(&path, &e))?;
        self.rotate()?;
        self.delete_covered(snapshot.index)
    }

    fn check_failure(&self) -> Result<()> {
        self.failure.clone().map_or(Ok(()), Err)
    }

    fn record_failure(&mut self, path: &Path, error: &io::Error) -> Error {
        let error = Error::io(path.display(), error);
        self.failure = Some(error.clone());
        error
    }

    fn write(&mut self, buffer: &[u8]) -> io::Result<()> {
        let Some(file) = &mut self.active else {
            return Err(io::ErrorKind::NotFound.into());
        };
        fail::fail_point!("journal::write", |_| {
            let _ = file.write_all(&buffer[..buffer.len() / 2]);
            Err(io::ErrorKind::StorageFull.into())
        });
        file.write_all(buffer)?;
        fail::fail_point!("journal::sync", |_| Err(io::Error::other(
            "injected sync failure"
        )));
        file.sync_data()
    }

    /// Starts the next segment, which becomes the active one.
    fn rotate(&mut self) -> Result<()> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let path = self.path(number);
        let mut bytes = SEGMENT_MAGIC.to_vec();
        if let Some(hard_state) = self.hard_state {
            record::encode(&Record::HardState(hard_state), &mut bytes);
        }
        self.replace_file(&path, &bytes)
            .map_err(|e| self.record_failure(&path, &e))?;
        let file = OpenOptions::new().append(true).open(&path);
        self.active = Some(file.map_err(|e| self.record_failure(&path, &e))?);
        self.synced_bytes = bytes.len() as u64;
        self.segments.push(Segment {
            number,
            last_index: 0,
        });
        Ok(())
    }

    /// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
    fn replace_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        let result = write_file(&temporary, bytes).and_then(|()| fs::rename(&temporary, path));
        if result.is_err() {
            let _ = fs::remove_file(&temporary);
        }
        result?;
        self.sync_folder()
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    /// Deletes the segments whose entries are all in the snapshot at `index`, oldest first. It stops at the
    /// first segment with a later entry, since records that replace that entry may be in the segments after
    /// it.
    fn delete_covered(&mut self, index: Index) -> Result<()> {
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let path = self.path(self.segments[0].number);
            fs::remove_file(&path).map_err(|e| self.record_failure(&path, &e))?;
            self.segments.remove(0);
        }
        let folder = self.folder.clone();
        self.sync_folder().map_err(|e| self.record_failure(&folder, &e))
    }

    fn active_path(&self) -> PathBuf {
        self.path(self.segments.last().map_or(0, |s| s.number))
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("journal-{number:016x}"))
    }
}

/// Creates a folder and syncs the parent of each new folder; otherwise a power loss could remove the
/// folder with files that were synced.
fn create_folder(folder: &Path) -> io::Result<()> {
    let is_missing = |p: &&Path| !p.as_os_str().is_empty() && !p.exists();
    let missing: Vec<&Path> = folder.ancestors().take_while(is_missing).collect();
    fs::create_dir_all(folder)?;
    for path in missing {
        let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
        File::open(parent.unwrap_or(Path::new(".")))?.sync_all()?;
    }
    Ok(())
}

fn write_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    fail::fail_point!("journal::replace", |_| Err(io::ErrorKind::StorageFull.into()));
    file.sync_all()
}

fn corrupt(path: &Path, offset: u64, cause: &str) -> Error {
    let detail = format!("{} at byte {offset}: {cause}", path.display());
    Error::new(Code::Corrupt, detail)
}
