//! Tests of the journal: synced records survive crashes, and damaged files are refused.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use quickcheck::QuickCheck;
use tempfile::TempDir;
use zinnialoom::code::Code;
use zinnialoom::journal::Journal;
use zinnialoom::replica::Content;
use zinnialoom::replica::Entry;
use zinnialoom::replica::HardState;
use zinnialoom::replica::Member;
use zinnialoom::replica::Membership;
use zinnialoom::replica::Snapshot;
use zinnialoom::replica::StoredState;

const FIRST_SEGMENT: &str = "journal-0000000000000001";
const HARD_STATE: HardState = HardState {
    id: 77,
    term: 3,
    vote: Some(78),
};

fn entry(index: u64, term: u64, size: usize) -> Entry {
    let content = Content::Data(vec![index as u8 + 1; size].into());
    Entry { index, term, content }
}

fn entries(from: u64, to: u64) -> Vec<Entry> {
    (from..=to).map(|i| entry(i, 3, 20)).collect()
}

fn membership() -> Membership {
    let member = Member {
        vm: "c1".into(),
        id: 77,
    };
    Membership {
        voters: vec![member],
        learners: Vec::new(),
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index,
        term: 3,
        membership: membership(),
        data: vec![9; 1_000].into(),
    }
}

/// A folder with a hard state and the entries 1 to `count`, with a sync after each entry.
fn folder(count: u64) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, stored) = Journal::open(folder.path()).unwrap();
    assert!(stored.is_none());
    journal.save_hard_state(HARD_STATE).unwrap();
    for index in 1..=count {
        journal.append(index, &[entry(index, 3, 20)]).unwrap();
        journal.sync().unwrap();
    }
    folder
}

fn read(folder: &Path) -> StoredState {
    Journal::open(folder).unwrap().1.expect("existing state")
}

fn indexes(stored: &StoredState) -> Vec<u64> {
    stored.log.iter().map(|e| e.index).collect()
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let mut found: Vec<PathBuf> = files
        .filter(|p| p.to_string_lossy().contains("journal-"))
        .collect();
    found.sort();
    found
}

/// Guards against stored state that is read as an empty disk, which would get a new identity.
#[test]
fn an_empty_disk_is_told_from_existing_state() {
    let folder = folder(0);
    let expected = StoredState {
        hard_state: HARD_STATE,
        snapshot: None,
        log: Vec::new(),
    };
    assert_eq!(read(folder.path()), expected);
}

/// Guards against records that are read back although they were never synced.
#[test]
fn records_without_a_sync_do_not_count() {
    let folder = folder(2);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.append(3, &entries(3, 9)).unwrap();
    drop(journal);
    assert_eq!(indexes(&read(folder.path())), [1, 2]);
}

/// Guards against replaced or truncated entries that are read back after a restart.
#[test]
fn entries_replace_and_cut_what_follows() {
    let folder = folder(9);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.append(5, &[entry(5, 4, 8), entry(6, 4, 8)]).unwrap();
    journal.append(6, &[]).unwrap();
    journal.sync().unwrap();
    let stored = read(folder.path());
    assert_eq!(indexes(&stored), [1, 2, 3, 4, 5]);
    assert_eq!(stored.log[4], entry(5, 4, 8));
}

/// Guards against complete records that are lost, or a start that fails, after a crash during a write.
#[test]
fn a_tail_cut_at_any_byte_keeps_the_complete_records() {
    let source = folder(4);
    let bytes = fs::read(source.path().join(FIRST_SEGMENT)).unwrap();
    let record = (bytes.len() - fs::read(folder(3).path().join(FIRST_SEGMENT)).unwrap().len()) as u64;
    let start = bytes.len() as u64 - 4 * record;
    for length in start..=bytes.len() as u64 {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join(FIRST_SEGMENT);
        fs::write(&path, &bytes[..length as usize]).unwrap();
        let complete = (length - start) / record;
        let expected: Vec<u64> = (1..=complete).collect();
        let (mut journal, stored) = Journal::open(folder.path()).unwrap();
        assert_eq!(indexes(&stored.unwrap()), expected, "cut at {length}");
        let next = complete + 1;
        journal.append(next, &[entry(next, 5, 3)]).unwrap();
        journal.sync().unwrap();
        assert_eq!(read(folder.path()).log.last(), Some(&entry(next, 5, 3)));
    }
}

/// Guards against a start that fails after a power loss stored the size of a write but not its data.
#[test]
fn a_tail_of_zeros_is_cut() {
    let folder = folder(3);
    let path = folder.path().join(FIRST_SEGMENT);
    let mut bytes = fs::read(&path).unwrap();
    bytes.extend([0; 700]);
    fs::write(&path, bytes).unwrap();
    assert_eq!(indexes(&read(folder.path())), [1, 2, 3]);
}

/// Guards against a start that fails after a power loss stored only the first sectors of a record.
#[test]
fn a_half_written_large_record_is_cut() {
    let folder = folder(1);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.append(2, &[entry(2, 3, 4_000)]).unwrap();
    journal.sync().unwrap();
    let path = folder.path().join(FIRST_SEGMENT);
    let mut bytes = fs::read(&path).unwrap();
    let end = bytes.len();
    bytes[end - 2_000..].fill(0);
    fs::write(&path, bytes).unwrap();
    assert_eq!(indexes(&read(folder.path())), [1]);
}

/// Guards against damage that is read as an incomplete record: a replica without its last records could
/// elect a leader that lacks committed entries.
#[test]
fn a_flipped_byte_anywhere_is_refused_with_file_and_offset() {
    let source = folder(4);
    let bytes = fs::read(source.path().join(FIRST_SEGMENT)).unwrap();
    for at in 0..bytes.len() {
        for bit in [1, 0x80] {
            let folder = tempfile::tempdir().unwrap();
            let path = folder.path().join(FIRST_SEGMENT);
            let mut damaged = bytes.clone();
            damaged[at] ^= bit;
            fs::write(&path, damaged).unwrap();
            let error = Journal::open(folder.path()).unwrap_err();
            assert_eq!(error.code, Code::Corrupt, "byte {at}");
            assert_eq!(error.code.exit_code(), 4);
            let place = format!("{} at byte ", path.display());
            let offset = error.detail.strip_prefix(&place).expect("file and offset");
            let offset: usize = offset.split(':').next().unwrap().parse().unwrap();
            // The offset is that of the damaged record, which is shorter than 100 bytes.
            assert!(offset <= at && at < offset + 100, "byte {at}, reported {offset}");
        }
    }
}

/// Guards against a damaged or incomplete snapshot that is accepted.
#[test]
fn a_damaged_snapshot_is_refused() {
    let folder = folder(4);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.save_snapshot(&snapshot(3)).unwrap();
    let path = folder.path().join("snapshot");
    let bytes = fs::read(&path).unwrap();
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 4;
        fs::write(&path, damaged).unwrap();
        let error = Journal::open(folder.path()).unwrap_err();
        assert_eq!(error.code, Code::Corrupt, "byte {at}");
        assert!(error.detail.contains("snapshot at byte"), "{error}");
    }
    fs::write(&path, &bytes[..bytes.len() - 1]).unwrap();
    assert_eq!(Journal::open(folder.path()).unwrap_err().code, Code::Corrupt);
}

/// Guards against segments that are deleted with entries after the snapshot, or never deleted.
#[test]
fn a_snapshot_replaces_the_entries_it_covers() {
    let folder = folder(9);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.save_snapshot(&snapshot(7)).unwrap();
    // Entries 8 and 9 are only in the first segment, so it must stay.
    assert_eq!(segments(folder.path()).len(), 2);
    journal.append(10, &entries(10, 12)).unwrap();
    journal.sync().unwrap();
    let stored = read(folder.path());
    assert_eq!(stored.snapshot, Some(snapshot(7)));
    assert_eq!(indexes(&stored), [8, 9, 10, 11, 12]);
    journal.save_snapshot(&snapshot(12)).unwrap();
    assert_eq!(segments(folder.path()).len(), 1);
    let stored = read(folder.path());
    assert_eq!((stored.hard_state, stored.log.len()), (HARD_STATE, 0));
}

/// Guards against a start that fails because entries before an installed snapshot are missing.
#[test]
fn a_snapshot_from_the_leader_may_leave_a_gap() {
    let folder = folder(4);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.save_snapshot(&snapshot(50)).unwrap();
    journal.append(51, &entries(51, 52)).unwrap();
    journal.sync().unwrap();
    assert_eq!(indexes(&read(folder.path())), [51, 52]);
}

/// Guards against a start with a segment missing, or with a snapshot but no segment.
#[test]
fn missing_files_are_refused() {
    let folder = folder(4);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.save_snapshot(&snapshot(3)).unwrap();
    journal.append(5, &entries(5, 6)).unwrap();
    journal.sync().unwrap();
    fs::remove_file(&segments(folder.path())[0]).unwrap();
    let error = Journal::open(folder.path()).unwrap_err();
    assert_eq!(error.code, Code::Corrupt, "entry 4 is missing");
    fs::remove_file(&segments(folder.path())[0]).unwrap();
    let error = Journal::open(folder.path()).unwrap_err();
    assert_eq!(error.code, Code::Corrupt, "a snapshot is not an empty disk");
}

/// Guards against a temporary file, left by a crash before the rename, that is read or kept.
#[test]
fn a_file_under_a_temporary_name_is_ignored() {
    let folder = folder(4);
    fs::write(folder.path().join("snapshot.tmp"), b"half").unwrap();
    fs::write(folder.path().join("journal-0000000000000002.tmp"), b"half").unwrap();
    assert_eq!(indexes(&read(folder.path())), [1, 2, 3, 4]);
    assert!(!folder.path().join("snapshot.tmp").exists());
}

/// Guards against a large journal in one file, and against a closed segment that may end early.
#[test]
fn large_journals_are_split_and_read_in_order() {
    let folder = folder(0);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    for index in 1..=20 {
        journal.append(index, &[entry(index, 3, 1 << 20)]).unwrap();
        journal.sync().unwrap();
    }
    assert!(segments(folder.path()).len() >= 3);
    assert_eq!(read(folder.path()).log.len(), 20);
    let middle = &segments(folder.path())[1];
    let bytes = fs::read(middle).unwrap();
    fs::write(middle, &bytes[..bytes.len() - 1]).unwrap();
    let error = Journal::open(folder.path()).unwrap_err();
    assert_eq!(error.code, Code::Corrupt, "only the last segment may end early");
}

/// Guards against an error without the path of the folder that cannot be used.
#[test]
fn a_folder_that_cannot_be_written_gives_one_error() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("file");
    fs::write(&path, b"").unwrap();
    let error = Journal::open(&path).unwrap_err();
    assert_eq!(error.code, Code::Io);
    assert!(error.detail.contains(&*path.to_string_lossy()), "{error}");
}

/// Guards against random appends, truncations and snapshots that are not read back as written.
#[test]
fn any_sequence_of_writes_is_read_back() {
    fn check(steps: Vec<(u8, u8)>) -> bool {
        let folder = folder(0);
        let (mut journal, _) = Journal::open(folder.path()).unwrap();
        // Index of the last entry in the snapshot.
        let mut base = 0;
        let mut log: Vec<Entry> = Vec::new();
        // Each step is chosen by `kind`, and `size` chooses the entry that it starts or ends with.
        for (n, (kind, size)) in steps.into_iter().enumerate() {
            let last = base + log.len() as u64;
            let from = base + 1 + u64::from(size) % (last - base + 1);
            match kind % 4 {
                // Saves a snapshot.
                0 if last > base => {
                    base = base + 1 + u64::from(size) % (last - base);
                    journal.save_snapshot(&snapshot(base)).unwrap();
                    log.retain(|e| e.index > base);
                }
                // Truncates the log.
                1 => {
                    journal.append(from, &[]).unwrap();
                    log.retain(|e| e.index < from);
                }
                // Replaces the entries from `from` on by three new ones.
                _ => {
                    let new: Vec<Entry> = (from..from + 3).map(|i| entry(i, n as u64, 5)).collect();
                    journal.append(from, &new).unwrap();
                    log.retain(|e| e.index < from);
                    log.extend(new);
                }
            }
            // Reopens the journal after more than half of the steps.
            if kind > 100 {
                journal.sync().unwrap();
                journal = Journal::open(folder.path()).unwrap().0;
            }
        }
        journal.sync().unwrap();
        read(folder.path()).log == log
    }
    QuickCheck::new()
        .tests(15)
        .quickcheck(check as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a replica that never starts again because its power failed while segments were deleted: the removal
/// of a later one can be durable without that of an earlier one.
#[test]
fn a_covered_segment_before_a_gap_is_removed() {
    let folder = folder(4);
    let first = fs::read(folder.path().join(FIRST_SEGMENT)).unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.save_snapshot(&snapshot(4)).unwrap();
    journal.append(5, &entries(5, 6)).unwrap();
    journal.sync().unwrap();
    journal.save_snapshot(&snapshot(6)).unwrap();
    journal.append(7, &entries(7, 8)).unwrap();
    journal.sync().unwrap();
    fs::write(folder.path().join(FIRST_SEGMENT), first).unwrap();
    let before = segments(folder.path()).len();
    let stored = read(folder.path());
    assert_eq!(
        (stored.snapshot, indexes(&read(folder.path()))),
        (Some(snapshot(6)), vec![7, 8])
    );
    assert_eq!(segments(folder.path()).len(), before - 1);
}
