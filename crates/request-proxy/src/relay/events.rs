//! Reads a series of events: whole ones pass, their data is kept for the turn's record.
use crate::prelude::*;

/// Why bytes are no proper series of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventFault {
    /// An id that doesn't rise.
    Order,
    /// Bytes that are no event.
    NoEvent,
    /// An event larger than any engine sends.
    TooLong,
}

/// Invariants: `output` holds the data of every event passed so far, each with a line feed; ids rise.
pub struct EventReader {
    rest: BytesMut,
    last_id: Option<u64>,
    /// From the first id to the second.
    step: Option<u64>,
    /// Places where ids rose by another step than at first: events in between are missing.
    pub holes: u32,
    /// Events with data passed so far.
    pub events: u32,
    /// The data of all events passed, each with a line feed.
    pub output: Vec<u8>,
}

const MOST_EVENT: usize = 1 << 20;

impl Default for EventReader {
    fn default() -> Self {
        EventReader {
            rest: BytesMut::new(),
            last_id: None,
            step: None,
            holes: 0,
            events: 0,
            output: Vec::new(),
        }
    }
}

impl EventReader {
    /// Takes bytes as they came; gives back the whole events among them, unchanged.
    pub fn take(&mut self, b: &[u8]) -> Result<Option<Bytes>, EventFault> {
        self.rest.extend_from_slice(b);
        let mut end = 0;
        while let Some(n) = event_end(&self.rest[end..]) {
            let one = self.rest[end..end + n].to_vec();
            self.event(&one)?;
            end += n;
        }
        if self.rest.len() - end > MOST_EVENT {
            return Err(EventFault::TooLong);
        }
        if end == 0 {
            return Ok(None);
        }
        Ok(Some(self.rest.split_to(end).freeze()))
    }

    /// True when nothing is left of an event cut short.
    pub fn whole(&self) -> bool {
        self.rest.is_empty()
    }

    fn event(&mut self, one: &[u8]) -> Result<(), EventFault> {
        let mut data: Option<Vec<u8>> = None;
        for line in one.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() || line[0] == b':' {
                continue;
            }
            let (name, value) = match line.iter().position(|b| *b == b':') {
                Some(i) => (&line[..i], line[i + 1..].strip_prefix(b" ").unwrap_or(&line[i + 1..])),
                None => (line, &b""[..]),
            };
            match name {
                b"data" => match &mut data {
                    Some(d) => {
                        d.push(b'\n');
                        d.extend_from_slice(value);
                    }
                    None => data = Some(value.to_vec()),
                },
                b"id" => {
                    let id = std::str::from_utf8(value).ok().and_then(|s| s.trim().parse().ok());
                    let id: u64 = id.ok_or(EventFault::NoEvent)?;
                    if self.last_id.is_some_and(|l| id <= l) {
                        return Err(EventFault::Order);
                    }
                    if let Some(l) = self.last_id {
                        let step = *self.step.get_or_insert(id - l);
                        self.holes += u32::from(id - l != step);
                    }
                    self.last_id = Some(id);
                }
                n if n.iter().all(|b| b.is_ascii_alphanumeric() || *b == b'-' || *b == b'_') => {}
                _ => return Err(EventFault::NoEvent),
            }
        }
        if let Some(d) = data {
            self.events += 1;
            self.output.extend_from_slice(&d);
            self.output.push(b'\n');
        }
        Ok(())
    }
}

/// The length of the first event with the blank line that ends it.
fn event_end(b: &[u8]) -> Option<usize> {
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'\n' {
            match b.get(i + 1) {
                Some(b'\n') => return Some(i + 2),
                Some(b'\r') if b.get(i + 2) == Some(&b'\n') => return Some(i + 3),
                _ => {}
            }
        }
        i += 1;
    }
    None
}
