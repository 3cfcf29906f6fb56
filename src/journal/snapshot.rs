//! Encoding of the snapshot file: magic, CRC-32 of the rest, length of the header, header as JSON, state.

use serde::Deserialize;
use serde::Serialize;

use super::Snapshot;
use crate::id::Index;
use crate::id::Term;
use crate::replica::Membership;

/// First bytes of the file; the last two are the format version.
const SNAPSHOT_MAGIC: &[u8; 8] = b"ZLSNAP01";
/// Offset after the magic and the checksum.
const CHECKSUM_END: usize = 12;
/// Offset after the length of the header.
const HEADER_START: usize = 16;

#[derive(Serialize, Deserialize)]
struct Header {
    index: Index,
    term: Term,
    membership: Membership,
    /// Size of the state, in bytes.
    size: usize,
}

pub(super) fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let header = Header {
        index: snapshot.index,
        term: snapshot.term,
        membership: snapshot.membership.clone(),
        size: snapshot.data.len(),
    };
    let header = serde_json::to_vec(&header).unwrap_or_default();
    let mut out = Vec::with_capacity(HEADER_START + header.len() + snapshot.data.len());
    out.extend(SNAPSHOT_MAGIC);
    out.extend([0; 4]);
    out.extend((header.len() as u32).to_le_bytes());
    out.extend(header);
    out.extend_from_slice(&snapshot.data);
    let checksum = crc32fast::hash(&out[CHECKSUM_END..]).to_le_bytes();
    out[SNAPSHOT_MAGIC.len()..CHECKSUM_END].copy_from_slice(&checksum);
    out
}

/// Reads a snapshot file.
///
/// # Errors
/// Offset and cause of the damage. An incomplete file counts as damaged, since the file gets its name only
/// after it was synced.
pub(super) fn decode(bytes: &[u8]) -> Result<Snapshot, (u64, &'static str)> {
    if bytes.len() < HEADER_START || &bytes[..SNAPSHOT_MAGIC.len()] != SNAPSHOT_MAGIC {
        return Err((0, "not a snapshot file"));
    }
    let u32_at = |n: usize| u32::from_le_bytes([bytes[n], bytes[n + 1], bytes[n + 2], bytes[n + 3]]);
    if crc32fast::hash(&bytes[CHECKSUM_END..]) != u32_at(SNAPSHOT_MAGIC.len()) {
        return Err((CHECKSUM_END as u64, "wrong checksum of the snapshot"));
    }
    let end = HEADER_START + u32_at(CHECKSUM_END) as usize;
    let unreadable = (HEADER_START as u64, "unreadable head of the snapshot");
    let header = bytes.get(HEADER_START..end).ok_or(unreadable)?;
    let header: Header = serde_json::from_slice(header).map_err(|_| unreadable)?;
    let data = &bytes[end..];
    if data.len() != header.size {
        return Err((end as u64, "wrong size of the snapshot"));
    }
    Ok(Snapshot {
        index: header.index,
        term: header.term,
        membership: header.membership,
        data: data.into(),
    })
}
