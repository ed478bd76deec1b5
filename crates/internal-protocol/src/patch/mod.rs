//! The difference between two texts of many records, such as a configuration's routes: what the new one
//! takes over from the old is named by its offset, the rest is carried along.
use crate::prelude::*;

/// A part of the new text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PatchPart {
    /// Bytes of the old text: from, length.
    #[serde(rename = "o")]
    Old(u32, u32),
    /// Bytes that the old text doesn't have.
    #[serde(rename = "n")]
    New(ByteBuf),
}

/// Invariant: applied to the text it was made from it gives a text whose digest is `digest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Joined they are the new text.
    #[serde(rename = "p")]
    pub parts: Vec<PatchPart>,
    /// Of the new text.
    #[serde(rename = "d")]
    pub digest: u64,
}

/// Records end where an object does; a text without objects is one record.
fn records(text: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut at = 0;
    text.split_inclusive(|b| *b == b'}').map(move |r| {
        let from = at;
        at += r.len();
        (from, r)
    })
}

impl Patch {
    /// What leads from one text to the other.
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let offsets: HashMap<&[u8], usize> = records(old).map(|(from, r)| (r, from)).collect();
        let mut parts: Vec<PatchPart> = Vec::new();
        for (_, r) in records(new) {
            match (offsets.get(r), parts.last_mut()) {
                (Some(from), Some(PatchPart::Old(f, n))) if (*f + *n) as usize == *from => {
                    *n += r.len() as u32;
                }
                (Some(from), _) => parts.push(PatchPart::Old(*from as u32, r.len() as u32)),
                (None, Some(PatchPart::New(b))) => b.extend_from_slice(r),
                (None, _) => parts.push(PatchPart::New(ByteBuf::from(r.to_vec()))),
            }
        }
        Patch { parts, digest: fnv64(new) }
    }

    /// Bytes on the wire, roughly.
    pub fn size(&self) -> usize {
        let one = |p: &PatchPart| match p {
            PatchPart::Old(..) => 16,
            PatchPart::New(b) => 8 + b.len(),
        };
        self.parts.iter().map(one).sum()
    }

    /// The new text; none when `old` isn't the text this was made from.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let mut out = Vec::with_capacity(old.len());
        for p in &self.parts {
            match p {
                PatchPart::Old(from, n) => {
                    let from = *from as usize;
                    out.extend_from_slice(old.get(from..from.checked_add(*n as usize)?)?);
                }
                PatchPart::New(b) => out.extend_from_slice(b),
            }
        }
        (fnv64(&out) == self.digest).then_some(out)
    }
}
