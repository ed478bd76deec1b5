//! Reads the segments of a folder: which of them make up the log, and how far each counts.
use super::format::{parse_record, tells_of_sync, Parsed, ParsedHeader, SegmentHeader, HEADER_LEN};
use super::retry::io_error;
use crate::prelude::*;

/// The segments that make up a log, oldest first, and what else lies in the folder.
///
/// Invariants: each segment's header names the one before it in `segments`; `last_end` bytes of the
/// last one are sound; `leftovers` hold nothing that was acknowledged and still counts.
#[derive(Default)]
pub struct SegmentChain {
    /// Numbers of the segments of the log.
    pub segments: Vec<u64>,
    /// Whether the oldest of them is the first that there ever was.
    pub has_beginning: bool,
    /// Sound bytes of the last segment.
    pub last_end: u64,
    /// Where what may be seen and yet not be on disk goes on from: the sync of the process before
    /// may have failed.
    pub surely_synced: SegmentHeader,
    /// Files of removals and beginnings that a crash cut short.
    pub leftovers: Vec<u64>,
    /// The greatest number in the folder.
    pub greatest: u64,
}

/// A segment's file.
pub fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("segment-{number:010}.log"))
}

/// Reads the log of a folder without changing it; hands each record to `on`, oldest first, with its
/// segment's number.
pub fn read_chain(
    disk: &dyn DiskOps,
    dir: &Path,
    on: &mut dyn FnMut(u64, &[u8]),
) -> NodeResult<SegmentChain> {
    let numbers = segment_numbers(disk, dir)?;
    let headers = read_headers(disk, dir, &numbers)?;
    let mut chain = link_segments(&headers);
    chain.greatest = numbers.last().copied().unwrap_or(0);
    chain.leftovers = numbers.into_iter().filter(|n| !chain.segments.contains(n)).collect();
    for (i, number) in chain.segments.iter().enumerate() {
        let file = segment_path(dir, *number);
        let next = chain.segments.get(i + 1).and_then(|n| headers.get(n));
        let most = next.map_or(u64::MAX, |header| header.previous_end);
        let data = disk.read_start(&file, most).map_err(|e| io_error(&file, e))?;
        let end = read_records(&data, &mut |body| on(*number, body));
        match next {
            Some(header) if end as u64 != header.previous_end => {
                return Err(damaged(&file, end, "a bad record in a closed segment"));
            }
            None if tells_of_sync(&data, end + 1, end as u64) => {
                return Err(damaged(&file, end, "a bad record before the last sync"));
            }
            _ => {}
        }
        chain.last_end = end as u64;
        chain.surely_synced = match last_stamp(&data) {
            0 => headers[number],
            stamp => SegmentHeader { previous: *number, previous_end: stamp },
        };
    }
    Ok(chain)
}

fn segment_numbers(disk: &dyn DiskOps, dir: &Path) -> NodeResult<Vec<u64>> {
    let names = disk.list(dir).map_err(|e| io_error(dir, e))?;
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| name.strip_prefix("segment-")?.strip_suffix(".log")?.parse().ok())
        .collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn read_headers(
    disk: &dyn DiskOps,
    dir: &Path,
    numbers: &[u64],
) -> NodeResult<BTreeMap<u64, SegmentHeader>> {
    let mut headers = BTreeMap::new();
    for number in numbers {
        let file = segment_path(dir, *number);
        let start = disk.read_start(&file, HEADER_LEN as u64).map_err(|e| io_error(&file, e))?;
        match SegmentHeader::parse(&start) {
            ParsedHeader::Sound(header) => {
                headers.insert(*number, header);
            }
            ParsedHeader::Foreign(version) => {
                return Err(NodeError::UnknownFormat { file: file.display().to_string(), version });
            }
            ParsedHeader::Torn => {
                let data = disk.read_start(&file, u64::MAX).map_err(|e| io_error(&file, e))?;
                if let Parsed::Record { .. } = parse_record(&data, 0) {
                    // Segments of the first programs began with a record.
                    return Err(foreign(&file, 0));
                }
                if tells_of_sync(&data, 0, 0) {
                    return Err(damaged(&file, 0, "a bad header before synced records"));
                }
            }
        }
    }
    Ok(headers)
}

fn foreign(file: &Path, version: u32) -> NodeError {
    NodeError::UnknownFormat { file: file.display().to_string(), version }
}

/// Goes back from the newest segment that was begun, as far as there are segments.
fn link_segments(headers: &BTreeMap<u64, SegmentHeader>) -> SegmentChain {
    let mut chain = SegmentChain::default();
    let mut next = headers.last_key_value().map(|(number, _)| *number);
    while let Some(number) = next {
        chain.segments.push(number);
        let previous = headers[&number].previous;
        chain.has_beginning = previous == 0;
        next = (previous < number && headers.contains_key(&previous)).then_some(previous);
    }
    chain.segments.reverse();
    chain
}

/// Hands on the sound records after the header; gives the place where they end.
fn read_records(data: &[u8], on: &mut dyn FnMut(&[u8])) -> usize {
    let mut at = HEADER_LEN.min(data.len());
    while let Parsed::Record { body, len, .. } = parse_record(data, at) {
        on(body);
        at += len;
    }
    at
}

/// What the last sound record says was synced before it.
fn last_stamp(data: &[u8]) -> u64 {
    let mut at = HEADER_LEN.min(data.len());
    let mut stamp = 0;
    while let Parsed::Record { synced, len, .. } = parse_record(data, at) {
        stamp = synced;
        at += len;
    }
    stamp
}

fn damaged(file: &Path, offset: usize, reason: &str) -> NodeError {
    NodeError::Damaged {
        file: file.display().to_string(),
        offset: offset as u64,
        reason: reason.into(),
    }
}

/// Looks through a folder's segments without changing anything; tells what is damaged. A torn end of
/// the last segment is no damage: it is cut off at the next start.
pub fn verify_segments(dir: &Path) -> Vec<String> {
    match read_chain(&RealDisk, dir, &mut |_, _| {}) {
        Ok(_) => Vec::new(),
        Err(e) => vec![e.to_string()],
    }
}
