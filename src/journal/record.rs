//! Encoding of the records of a segment.
//!
//! A record is a header of 12 bytes (length of the payload, CRC-32 of these 4 bytes, CRC-32 of the
//! payload; little endian) and the payload. The length has its own checksum so that a damaged
//! length is not taken for an incomplete last record.

use super::Content;
use super::Entry;
use super::HardState;
use crate::id::Index;

pub(super) const HEADER_BYTES: usize = 12;
/// Unit in which a disk writes; a record with an all-zero sector was not written completely.
const SECTOR_BYTES: usize = 512;

const HARD: u8 = 1;
const EMPTY: u8 = 2;
const MEMBERSHIP: u8 = 3;
const DATA: u8 = 4;
const TRUNCATE: u8 = 5;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Record {
    Hard(HardState),
    Entry(Entry),
    /// Removes the entries from this index on.
    Truncate(Index),
}

/// What stands at a position of a segment.
pub(super) enum Found {
    /// A record and its length with the header, in bytes.
    Record(Record, usize),
    /// The end, after a complete record.
    End,
    /// A record that was not written completely.
    Torn,
    /// Damage, with its cause.
    Damaged(&'static str),
}

pub(super) fn encode(record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend([0; HEADER_BYTES]);
    match record {
        Record::Hard(hard) => {
            out.push(HARD);
            put(out, hard.id);
            put(out, hard.term);
            out.push(u8::from(hard.vote.is_some()));
            put(out, hard.vote.unwrap_or_default());
        }
        Record::Entry(entry) => encode_entry(entry, out),
        Record::Truncate(from) => {
            out.push(TRUNCATE);
            put(out, *from);
        }
    }
    let payload = &out[start + HEADER_BYTES..];
    let length = (payload.len() as u32).to_le_bytes();
    let sum = crc32fast::hash(payload).to_le_bytes();
    out[start..start + 4].copy_from_slice(&length);
    out[start + 4..start + 8].copy_from_slice(&crc32fast::hash(&length).to_le_bytes());
    out[start + 8..start + 12].copy_from_slice(&sum);
}

fn encode_entry(entry: &Entry, out: &mut Vec<u8>) {
    let kind = match &entry.content {
        Content::Empty => EMPTY,
        Content::Membership(_) => MEMBERSHIP,
        Content::Data(_) => DATA,
    };
    out.push(kind);
    put(out, entry.index);
    put(out, entry.term);
    match &entry.content {
        Content::Empty => {}
        Content::Membership(m) => out.extend(serde_json::to_vec(m).unwrap_or_default()),
        Content::Data(data) => out.extend_from_slice(data),
    }
}

fn put(out: &mut Vec<u8>, number: u64) {
    out.extend(number.to_le_bytes());
}

/// Reads the record at a position.
pub(super) fn find(bytes: &[u8], at: usize) -> Found {
    let rest = &bytes[at..];
    if rest.is_empty() {
        return Found::End;
    }
    // A file that grew before a power loss can end with zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|&b| b == 0) {
        return Found::Torn;
    }
    let word = |n: usize| u32::from_le_bytes([rest[n], rest[n + 1], rest[n + 2], rest[n + 3]]);
    if crc32fast::hash(&rest[..4]) != word(4) {
        return Found::Damaged("wrong checksum of the record length");
    }
    let length = HEADER_BYTES + word(0) as usize;
    if length > rest.len() {
        return Found::Torn;
    }
    let payload = &rest[HEADER_BYTES..length];
    if crc32fast::hash(payload) != word(8) {
        let is_last = length == rest.len();
        if is_last && has_empty_sector(bytes, at + HEADER_BYTES) {
            return Found::Torn;
        }
        return Found::Damaged("wrong checksum of the record");
    }
    match decode(payload) {
        Some(record) => Found::Record(record, length),
        None => Found::Damaged("unknown record"),
    }
}

fn has_empty_sector(bytes: &[u8], from: usize) -> bool {
    let first = from.next_multiple_of(SECTOR_BYTES);
    let tail = bytes.get(first..).unwrap_or_default();
    tail.chunks(SECTOR_BYTES).any(|s| s.iter().all(|&b| b == 0))
}

fn decode(payload: &[u8]) -> Option<Record> {
    let (&kind, rest) = payload.split_first()?;
    match kind {
        HARD => {
            let (id, rest) = take(rest)?;
            let (term, rest) = take(rest)?;
            let (&has_vote, rest) = rest.split_first()?;
            let (vote, _) = take(rest)?;
            let vote = (has_vote != 0).then_some(vote);
            Some(Record::Hard(HardState { id, term, vote }))
        }
        TRUNCATE => Some(Record::Truncate(take(rest)?.0)),
        EMPTY | MEMBERSHIP | DATA => {
            let (index, rest) = take(rest)?;
            let (term, rest) = take(rest)?;
            let content = match kind {
                EMPTY => Content::Empty,
                MEMBERSHIP => Content::Membership(serde_json::from_slice(rest).ok()?),
                _ => Content::Data(rest.into()),
            };
            let entry = Entry { index, term, content };
            Some(Record::Entry(entry))
        }
        _ => None,
    }
}

fn take(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (number, rest) = bytes.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*number), rest))
}
