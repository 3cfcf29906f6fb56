//! Guards against a failure between two steps that harms synced state. Failpoints are global to a
//! process, so these tests have a file of their own and run one at a time.
#![cfg(feature = "failpoints")]

use std::path::Path;

use zinnialoom::code::Code;
use zinnialoom::journal::Journal;
use zinnialoom::replica::Content;
use zinnialoom::replica::Entry;
use zinnialoom::replica::HardState;
use zinnialoom::replica::Membership;
use zinnialoom::replica::Snapshot;

fn entry(index: u64, size: usize) -> Entry {
    let content = Content::Data(vec![7; size].into());
    Entry {
        index,
        term: 3,
        content,
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 2,
        term: 3,
        membership: Membership::default(),
        data: vec![9; 1_000].into(),
    }
}

/// A journal with three synced entries.
fn journal(folder: &Path) -> Journal {
    let (mut journal, _) = Journal::open(folder).unwrap();
    let (id, term, vote) = (77, 3, None);
    journal.save_hard_state(HardState { id, term, vote }).unwrap();
    for index in 1..=3 {
        journal.append(index, &[entry(index, 20)]).unwrap();
    }
    journal.sync().unwrap();
    journal
}

/// Each failure must leave what was synced before, and the journal must not go on after it.
#[test]
fn a_full_disk_leaves_the_earlier_state() {
    let scenario = fail::FailScenario::setup();
    for point in ["journal::write", "journal::sync", "journal::replace"] {
        let folder = tempfile::tempdir().unwrap();
        let mut journal = journal(folder.path());
        fail::cfg(point, "return").unwrap();
        let error = match point {
            "journal::replace" => journal.save_snapshot(&snapshot()).unwrap_err(),
            _ => {
                journal.append(4, &[entry(4, 5_000)]).unwrap();
                journal.sync().unwrap_err()
            }
        };
        fail::remove(point);
        assert_eq!(error.code, Code::Io, "{point}");
        assert!(
            error.detail.contains(&*folder.path().to_string_lossy()),
            "{error}"
        );
        assert_eq!(journal.append(4, &[entry(4, 20)]).unwrap_err(), error);
        assert_eq!(journal.sync().unwrap_err(), error);
        let stored = Journal::open(folder.path()).unwrap().1.unwrap();
        assert_eq!((stored.log.len(), stored.snapshot), (3, None), "{point}");
    }
    scenario.teardown();
}
