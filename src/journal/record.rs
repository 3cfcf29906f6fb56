//! Encoding of the records of a segment.
//!
//! A record is a header of 12 bytes (length of the payload, CRC-32 of these 4 bytes, CRC-32 of the
//! payload; little endian) and the payload. The length has a checksum of its own, since a damaged
//! length would look like an incomplete last record.

use super::Content;
use super::Entry;
use super::HardState;
use crate::id::Index;

pub(super) const HEADER_BYTES: usize = 12;
/// Size of a disk sector, the unit of a write; a payload with a sector of zeros was not written completely.
const SECTOR_BYTES: usize = 512;

/// Kinds of records: the first byte of the payload.
const KIND_HARD_STATE: u8 = 1;
const KIND_EMPTY: u8 = 2;
const KIND_MEMBERSHIP: u8 = 3;
const KIND_DATA: u8 = 4;
const KIND_TRUNCATE: u8 = 5;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Record {
    HardState(HardState),
    Entry(Entry),
    /// Removes the entries from this index on.
    Truncate(Index),
}

/// Result of reading at an offset of a segment.
pub(super) enum ReadResult {
    /// A record and its length in bytes, with the header.
    Record(Record, usize),
    /// The end of the segment, after a complete record.
    End,
    /// A record at the end of the segment that was not written completely.
    Torn,
    /// A damaged record, with the cause.
    Damaged(&'static str),
}

pub(super) fn encode(record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend([0; HEADER_BYTES]);
    match record {
        Record::HardState(state) => {
            out.push(KIND_HARD_STATE);
            write_u64(out, state.id);
            write_u64(out, state.term);
            out.push(u8::from(state.vote.is_some()));
            write_u64(out, state.vote.unwrap_or_default());
        }
        Record::Entry(entry) => encode_entry(entry, out),
        Record::Truncate(from) => {
            out.push(KIND_TRUNCATE);
            write_u64(out, *from);
        }
    }
    let payload = &out[start + HEADER_BYTES..];
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(payload).to_le_bytes();
    out[start..start + 4].copy_from_slice(&length);
    out[start + 4..start + 8].copy_from_slice(&crc32fast::hash(&length).to_le_bytes());
    out[start + 8..start + 12].copy_from_slice(&checksum);
}

fn encode_entry(entry: &Entry, out: &mut Vec<u8>) {
    let kind = match &entry.content {
        Content::Empty => KIND_EMPTY,
        Content::Membership(_) => KIND_MEMBERSHIP,
        Content::Data(_) => KIND_DATA,
    };
    out.push(kind);
    write_u64(out, entry.index);
    write_u64(out, entry.term);
    match &entry.content {
        Content::Empty => {}
        Content::Membership(m) => out.extend(serde_json::to_vec(m).unwrap_or_default()),
        Content::Data(data) => out.extend_from_slice(data),
    }
}

fn write_u64(out: &mut Vec<u8>, number: u64) {
    out.extend(number.to_le_bytes());
}

/// Reads the record at an offset.
pub(super) fn read(bytes: &[u8], offset: usize) -> ReadResult {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return ReadResult::End;
    }
    // After a power loss a file can end with zeros: its size was stored but not its data.
    if rest.len() < HEADER_BYTES || rest.iter().all(|&b| b == 0) {
        return ReadResult::Torn;
    }
    let u32_at = |n: usize| u32::from_le_bytes([rest[n], rest[n + 1], rest[n + 2], rest[n + 3]]);
    if crc32fast::hash(&rest[..4]) != u32_at(4) {
        return ReadResult::Damaged("wrong checksum of the record length");
    }
    let length = HEADER_BYTES + u32_at(0) as usize;
    if length > rest.len() {
        return ReadResult::Torn;
    }
    let payload = &rest[HEADER_BYTES..length];
    if crc32fast::hash(payload) != u32_at(8) {
        let is_last = length == rest.len();
        if is_last && has_zero_sector(bytes, offset + HEADER_BYTES) {
            return ReadResult::Torn;
        }
        return ReadResult::Damaged("wrong checksum of the record");
    }
    match decode(payload) {
        Some(record) => ReadResult::Record(record, length),
        None => ReadResult::Damaged("unknown record"),
    }
}

fn has_zero_sector(bytes: &[u8], from: usize) -> bool {
    let first = from.next_multiple_of(SECTOR_BYTES);
    let tail = bytes.get(first..).unwrap_or_default();
    tail.chunks(SECTOR_BYTES).any(|s| s.iter().all(|&b| b == 0))
}

fn decode(payload: &[u8]) -> Option<Record> {
    let (&kind, rest) = payload.split_first()?;
    match kind {
        KIND_HARD_STATE => {
            let (id, rest) = read_u64(rest)?;
            let (term, rest) = read_u64(rest)?;
            let (&has_vote, rest) = rest.split_first()?;
            let (vote, _) = read_u64(rest)?;
            let vote = (has_vote != 0).then_some(vote);
            Some(Record::HardState(HardState { id, term, vote }))
        }
        KIND_TRUNCATE => Some(Record::Truncate(read_u64(rest)?.0)),
        KIND_EMPTY | KIND_MEMBERSHIP | KIND_DATA => {
            let (index, rest) = read_u64(rest)?;
            let (term, rest) = read_u64(rest)?;
            let content = match kind {
                KIND_EMPTY => Content::Empty,
                KIND_MEMBERSHIP => Content::Membership(serde_json::from_slice(rest).ok()?),
                _ => Content::Data(rest.into()),
            };
            let entry = Entry { index, term, content };
            Some(Record::Entry(entry))
        }
        _ => None,
    }
}

fn read_u64(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (number, rest) = bytes.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*number), rest))
}
