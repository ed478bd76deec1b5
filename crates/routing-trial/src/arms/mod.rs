//! Which arm a conversation is on. No node asks another: the arm of a new conversation is a hash, and
//! the record of each turn carries it on.
use crate::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// The current policy.
    Control,
    Candidate,
}

impl Arm {
    pub const BOTH: [Arm; 2] = [Arm::Control, Arm::Candidate];

    pub fn index(self) -> usize {
        self as usize
    }
}

/// Groups of conversations within an arm. A conversation lies in one group whole, so the spread between
/// groups holds the likeness of its turns.
pub const BUCKETS: usize = 64;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn draw(key: u64, program: &str, salt: u64) -> u64 {
    mix(mix(key ^ salt) ^ fnv64(program.as_bytes()))
}

/// The arm of a new conversation: the candidate for `share` of all programs.
pub fn arm_of(key: u64, program: &str, share: f64) -> Arm {
    let unit = (draw(key, program, 1) >> 11) as f64 / (1u64 << 53) as f64;
    if unit < share {
        Arm::Candidate
    } else {
        Arm::Control
    }
}

/// The group of a program, independent of its arm.
pub fn bucket_of(key: u64, program: &str) -> usize {
    (draw(key, program, 2) % BUCKETS as u64) as usize
}

/// What the record of a turn says of its trial. Invariant: a later turn of a line carries the mark of
/// the turn it goes on from, unchanged, also through nodes that don't know the trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mark {
    /// `TrialRecord::key`.
    pub key: u64,
    pub arm: Arm,
}

const UNIT: char = '\u{1f}';

/// The engine that answered, with the mark behind it, as turn records keep it.
pub fn write_answered_by(engine: &str, mark: Option<Mark>) -> String {
    match mark {
        None => engine.to_string(),
        Some(m) => format!("{engine}{UNIT}{:x}.{}", m.key, m.arm.index()),
    }
}

/// The inverse of `write_answered_by`; a mark that can't be read is none.
pub fn read_answered_by(text: &str) -> (&str, Option<Mark>) {
    let Some((engine, mark)) = text.split_once(UNIT) else {
        return (text, None);
    };
    let read = || {
        let (key, arm) = mark.split_once('.')?;
        let arm = match arm {
            "0" => Arm::Control,
            "1" => Arm::Candidate,
            _ => return None,
        };
        Some(Mark { key: u64::from_str_radix(key, 16).ok()?, arm })
    };
    (engine, read())
}
