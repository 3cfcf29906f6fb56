//! Encoding of the whole catalog as JSON, for snapshots of the replicated log.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Catalog;
use crate::catalog::delta::Delta;
use crate::catalog::edition::Edition;
use crate::catalog::outcomes::RecentOutcomes;
use crate::catalog::outcomes::StoredOutcome;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::Version;
use crate::view::View;

const FORMAT_VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct CatalogSnapshot<'a> {
    format: u32,
    view: Arc<View>,
    #[serde(rename = "memos")]
    outcomes: Vec<Cow<'a, StoredOutcome>>,
    tail: Cow<'a, VecDeque<Delta>>,
    #[serde(rename = "floor")]
    tail_base: Version,
    witness_version: Version,
    #[serde(default)]
    edition: Option<Arc<Edition>>,
}

pub(super) fn encode(catalog: &Catalog) -> Vec<u8> {
    // A snapshot may be sent to a control VM of an older build, which cannot read all edits. Entry VMs that are behind
    // the tail get the whole configuration.
    let unknown = |d: &Delta| !d.is_known_before_revision_3();
    let (tail, tail_base) = match catalog.tail.iter().rposition(unknown) {
        Some(last) => (
            Cow::Owned(catalog.tail.range(last + 1..).cloned().collect()),
            catalog.tail[last].version,
        ),
        None => (Cow::Borrowed(&catalog.tail), catalog.tail_base),
    };
    let snapshot = CatalogSnapshot {
        format: FORMAT_VERSION,
        view: Arc::clone(&catalog.view),
        outcomes: catalog.outcomes.iter().map(Cow::Borrowed).collect(),
        tail,
        tail_base,
        witness_version: catalog.witness_version,
        edition: catalog.edition.clone(),
    };
    // Panics rather than return an empty snapshot, from which the next start would restore no configuration.
    serde_json::to_vec(&snapshot).expect("the records have a JSON form")
}

pub(super) fn decode(data: &[u8]) -> Result<Catalog> {
    let corrupt = |detail: String| Error::new(Code::Corrupt, format!("catalog snapshot: {detail}"));
    let snapshot: CatalogSnapshot<'_> = serde_json::from_slice(data).map_err(|e| corrupt(e.to_string()))?;
    if snapshot.format != FORMAT_VERSION {
        return Err(corrupt(format!(
            "format {} is not {FORMAT_VERSION}",
            snapshot.format
        )));
    }
    let mut outcomes = RecentOutcomes::default();
    for stored in snapshot.outcomes {
        let stored = stored.into_owned();
        outcomes.insert(stored.id, stored.fingerprint, stored.outcome);
    }
    let id_and_digest = |k: &crate::view::Key| (k.id.clone(), k.digest.clone());
    Ok(Catalog {
        digests: snapshot.view.keys.values().map(id_and_digest).collect(),
        view: snapshot.view,
        outcomes,
        tail: snapshot.tail.into_owned(),
        tail_base: snapshot.tail_base,
        witness_version: snapshot.witness_version,
        edition: snapshot.edition,
    })
}
