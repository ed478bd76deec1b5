//! Settled and stopped attempts, packed: eight bytes of the request's hash and a varint of tokens.
use crate::prelude::*;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use serde::Serializer;

/// (hash of the request's id, tokens it came to).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Finished(pub Vec<(u64, u32)>);

impl Finished {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn pack(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.0.len() * 10);
        for (req, tokens) in &self.0 {
            out.extend_from_slice(&req.to_le_bytes());
            let mut t = *tokens;
            while t >= 0x80 {
                out.push(t as u8 | 0x80);
                t >>= 7;
            }
            out.push(t as u8);
        }
        out
    }

    fn unpack(mut b: &[u8]) -> Option<Self> {
        let mut out = Vec::new();
        while !b.is_empty() {
            let (head, rest) = b.split_at_checked(8)?;
            let req = u64::from_le_bytes(head.try_into().ok()?);
            let mut tokens = 0u64;
            b = rest;
            for shift in (0..35).step_by(7) {
                let (x, rest) = b.split_first()?;
                b = rest;
                tokens |= u64::from(x & 0x7f) << shift;
                if x & 0x80 == 0 {
                    break;
                }
                if shift == 28 {
                    return None;
                }
            }
            out.push((req, u32::try_from(tokens).ok()?));
        }
        Some(Finished(out))
    }
}

impl Serialize for Finished {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(&self.pack())
    }
}

impl<'de> Deserialize<'de> for Finished {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Bytes;
        impl<'de> Visitor<'de> for Bytes {
            type Value = Finished;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("packed finished attempts")
            }

            fn visit_bytes<E: Error>(self, b: &[u8]) -> Result<Finished, E> {
                Finished::unpack(b).ok_or_else(|| E::custom("finished attempts cut short"))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut a: A) -> Result<Finished, A::Error> {
                let mut b = Vec::new();
                while let Some(x) = a.next_element::<u8>()? {
                    b.push(x);
                }
                self.visit_bytes(&b)
            }
        }
        d.deserialize_byte_buf(Bytes)
    }
}
