//! How a segment stands on disk: a header, then records.

const RECORD_MAGIC: u32 = 0x5b0c_e5e9;
const SEGMENT_MAGIC: u32 = 0x5b0c_5e61;
/// The format that this program writes and reads; another one is refused.
const SEGMENT_VERSION: u32 = 1;

/// Bytes of a segment's header.
pub const HEADER_LEN: usize = 32;
/// Bytes before a record's body: magic, length, checksum, `synced`.
const RECORD_HEAD: usize = 20;
const CHECKED_FROM: usize = 12;

/// Says which segment this one follows, and how much of that one counts.
///
/// Invariant: everything up to `previous_end` of the segment `previous` was synced before this
/// header was written; what stands there beyond it was never acknowledged and doesn't count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentHeader {
    /// 0 where there is none.
    pub previous: u64,
    /// Bytes of that segment that count.
    pub previous_end: u64,
}

/// What the first bytes of a segment's file say.
pub enum ParsedHeader {
    /// A whole header.
    Sound(SegmentHeader),
    /// Torn: the segment was never begun, unless synced records follow.
    Torn,
    /// Written by a program of another version.
    Foreign(u32),
}

impl SegmentHeader {
    /// The header's bytes: magic, version, checksum of the two (alike in all versions), the fields,
    /// checksum of all before.
    pub fn encode(&self) -> [u8; HEADER_LEN] {
        let mut out = [0; HEADER_LEN];
        out[..4].copy_from_slice(&SEGMENT_MAGIC.to_le_bytes());
        out[4..8].copy_from_slice(&SEGMENT_VERSION.to_le_bytes());
        let kind = crc32fast::hash(&out[..8]);
        out[8..12].copy_from_slice(&kind.to_le_bytes());
        out[12..20].copy_from_slice(&self.previous.to_le_bytes());
        out[20..28].copy_from_slice(&self.previous_end.to_le_bytes());
        let whole = crc32fast::hash(&out[..28]);
        out[28..].copy_from_slice(&whole.to_le_bytes());
        out
    }

    /// Reads the header from the beginning of a segment's bytes.
    pub fn parse(data: &[u8]) -> ParsedHeader {
        if data.len() < 12 || word(data, 0) != SEGMENT_MAGIC {
            return ParsedHeader::Torn;
        }
        if word(data, 8) != crc32fast::hash(&data[..8]) {
            return ParsedHeader::Torn;
        }
        if word(data, 4) != SEGMENT_VERSION {
            return ParsedHeader::Foreign(word(data, 4));
        }
        if data.len() < HEADER_LEN || word(data, 28) != crc32fast::hash(&data[..28]) {
            return ParsedHeader::Torn;
        }
        ParsedHeader::Sound(SegmentHeader {
            previous: long(data, 12),
            previous_end: long(data, 20),
        })
    }
}

/// What stands at a place of a segment.
pub enum Parsed<'a> {
    /// A whole record; `synced` is how much of its segment was surely on disk when it was written.
    Record { body: &'a [u8], synced: u64, len: usize },
    /// The end of the bytes.
    End,
    /// No record, or a damaged one.
    Bad,
}

/// Reads the record at a place.
pub fn parse_record(data: &[u8], at: usize) -> Parsed<'_> {
    let Some(rest) = data.get(at..).filter(|rest| !rest.is_empty()) else {
        return Parsed::End;
    };
    if rest.len() < RECORD_HEAD || word(rest, 0) != RECORD_MAGIC {
        return Parsed::Bad;
    }
    let len = word(rest, 4) as usize;
    if rest.len() - RECORD_HEAD < len {
        return Parsed::Bad;
    }
    if crc32fast::hash(&rest[CHECKED_FROM..RECORD_HEAD + len]) != word(rest, 8) {
        return Parsed::Bad;
    }
    let body = &rest[RECORD_HEAD..RECORD_HEAD + len];
    Parsed::Record { body, synced: long(rest, 12), len: RECORD_HEAD + len }
}

/// Adds a record to what is to be written.
pub fn push_record(out: &mut Vec<u8>, body: &[u8], synced: u64) {
    let start = out.len();
    out.extend_from_slice(&RECORD_MAGIC.to_le_bytes());
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&synced.to_le_bytes());
    out.extend_from_slice(body);
    let crc = crc32fast::hash(&out[start + CHECKED_FROM..]);
    out[start + 8..start + 12].copy_from_slice(&crc.to_le_bytes());
}

/// The same records, as written where `synced` bytes are on disk.
pub fn restamp_records(records: &[u8], synced: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(records.len());
    let mut at = 0;
    while let Parsed::Record { body, len, .. } = parse_record(records, at) {
        push_record(&mut out, body, synced);
        at += len;
    }
    out
}

/// Whether a sound record from `from` on says that more than `bytes` of its segment were synced
/// before it was written.
pub fn tells_of_sync(data: &[u8], from: usize, bytes: u64) -> bool {
    let last_start = data.len().saturating_sub(RECORD_HEAD);
    (from..last_start).any(|at| {
        data[at..at + 4] == RECORD_MAGIC.to_le_bytes()
            && matches!(parse_record(data, at), Parsed::Record { synced, .. } if synced > bytes)
    })
}

fn word(data: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([data[at], data[at + 1], data[at + 2], data[at + 3]])
}

fn long(data: &[u8], at: usize) -> u64 {
    u64::from(word(data, at)) | (u64::from(word(data, at + 4)) << 32)
}
