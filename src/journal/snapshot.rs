//! Encoding of the snapshot file: magic, CRC-32 of the rest, length of the head, JSON head, state.

use serde::Deserialize;
use serde::Serialize;

use super::Snapshot;
use crate::id::Index;
use crate::id::Term;
use crate::replica::Membership;

/// First bytes of the file; the last two are the format version.
const MAGIC: &[u8; 8] = b"ZLSNAP01";
const SUM_END: usize = 12;
const HEAD_START: usize = 16;

#[derive(Serialize, Deserialize)]
struct Head {
    index: Index,
    term: Term,
    membership: Membership,
    /// Size of the state, in bytes.
    size: usize,
}

pub(super) fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let head = Head {
        index: snapshot.index,
        term: snapshot.term,
        membership: snapshot.membership.clone(),
        size: snapshot.data.len(),
    };
    let head = serde_json::to_vec(&head).unwrap_or_default();
    let mut out = Vec::with_capacity(HEAD_START + head.len() + snapshot.data.len());
    out.extend(MAGIC);
    out.extend([0; 4]);
    out.extend((head.len() as u32).to_le_bytes());
    out.extend(head);
    out.extend_from_slice(&snapshot.data);
    let sum = crc32fast::hash(&out[SUM_END..]).to_le_bytes();
    out[MAGIC.len()..SUM_END].copy_from_slice(&sum);
    out
}

/// Reads a snapshot file.
///
/// # Errors
/// Offset and cause of the damage. The file is renamed only after it was synced, so an incomplete
/// one is damage too.
pub(super) fn decode(bytes: &[u8]) -> Result<Snapshot, (u64, &'static str)> {
    if bytes.len() < HEAD_START || &bytes[..MAGIC.len()] != MAGIC {
        return Err((0, "not a snapshot file"));
    }
    let word = |n: usize| u32::from_le_bytes([bytes[n], bytes[n + 1], bytes[n + 2], bytes[n + 3]]);
    if crc32fast::hash(&bytes[SUM_END..]) != word(MAGIC.len()) {
        return Err((SUM_END as u64, "wrong checksum of the snapshot"));
    }
    let end = HEAD_START + word(SUM_END) as usize;
    let unreadable = (HEAD_START as u64, "unreadable head of the snapshot");
    let head = bytes.get(HEAD_START..end).ok_or(unreadable)?;
    let head: Head = serde_json::from_slice(head).map_err(|_| unreadable)?;
    let data = &bytes[end..];
    if data.len() != head.size {
        return Err((end as u64, "wrong size of the snapshot"));
    }
    Ok(Snapshot {
        index: head.index,
        term: head.term,
        membership: head.membership,
        data: data.into(),
    })
}
