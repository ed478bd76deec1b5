//! One text for all texts of the same JSON value: blanks left out, keys sorted, the last of equal keys kept.
//! It is written while the text is read, without a tree in between: configurations may be large.
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use std::fmt::{Formatter, Result as FmtResult};

/// The canonical text; none when it isn't JSON.
pub fn canonical_json(text: &[u8]) -> Option<Vec<u8>> {
    let mut writer = Writer::default();
    writer.out.reserve(text.len());
    let mut from = serde_json::Deserializer::from_slice(text);
    ValueSeed(&mut writer).deserialize(&mut from).ok()?;
    from.end().ok()?;
    Some(writer.out)
}

/// Invariant: `members` holds those of the objects that are being written, the innermost last.
#[derive(Default)]
struct Writer {
    out: Vec<u8>,
    members: Vec<Member>,
    scratch: Vec<u8>,
}

/// Where a member of an object lies in the text written so far.
#[derive(Clone, Copy)]
struct Member {
    from: usize,
    key_end: usize,
    end: usize,
}

impl Writer {
    fn scalar<T: serde::Serialize, E: Error>(&mut self, value: T) -> Result<(), E> {
        serde_json::to_writer(&mut self.out, &value).map_err(E::custom)
    }

    fn key(&self, m: &Member) -> &[u8] {
        &self.out[m.from..m.key_end]
    }

    /// Puts the members of the object that ends here, those from `first` on, in order.
    fn sort_members(&mut self, first: usize) {
        let mut members = self.members.split_off(first);
        if members.windows(2).all(|m| self.key(&m[0]) < self.key(&m[1])) {
            return;
        }
        let body = members[0].from;
        members.sort_by(|a, b| self.key(a).cmp(self.key(b)));
        self.scratch.clear();
        for (i, m) in members.iter().enumerate() {
            let next = members.get(i + 1);
            if next.is_some_and(|n| self.key(n) == self.key(m)) {
                continue;
            }
            self.scratch.extend_from_slice(&self.out[m.from..m.end]);
            self.scratch.push(b',');
        }
        self.scratch.pop();
        self.out.truncate(body);
        self.out.extend_from_slice(&self.scratch);
    }
}

struct ValueSeed<'a>(&'a mut Writer);

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.0.scalar(())
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<(), E> {
        self.0.scalar(v)
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<(), E> {
        self.0.scalar(v)
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<(), E> {
        self.0.scalar(v)
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<(), E> {
        self.0.scalar(v)
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<(), E> {
        self.0.scalar(v)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        self.0.out.push(b'[');
        let first = self.0.out.len();
        while seq.next_element_seed(ValueSeed(self.0))?.is_some() {
            self.0.out.push(b',');
        }
        if self.0.out.len() > first {
            self.0.out.pop();
        }
        self.0.out.push(b']');
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        self.0.out.push(b'{');
        let (body, first) = (self.0.out.len(), self.0.members.len());
        loop {
            let from = self.0.out.len();
            if map.next_key_seed(ValueSeed(self.0))?.is_none() {
                break;
            }
            let key_end = self.0.out.len();
            self.0.out.push(b':');
            map.next_value_seed(ValueSeed(self.0))?;
            let end = self.0.out.len();
            self.0.members.push(Member { from, key_end, end });
            self.0.out.push(b',');
        }
        if self.0.out.len() > body {
            self.0.out.pop();
            self.0.sort_members(first);
        }
        self.0.out.push(b'}');
        Ok(())
    }
}
