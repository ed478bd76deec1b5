//! What operators are shown: ejections and returns, bounded in rate.
use crate::prelude::*;

#[derive(Debug, Clone, PartialEq)]
pub enum NoteKind {
    Ejected { why: &'static str, span: Duration },
    Returned,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Note {
    pub key: EngineKey,
    pub service: Arc<str>,
    pub kind: NoteKind,
}

const A_SECOND: u32 = 10;

/// Invariant: at most `A_SECOND` notes are taken in for each second.
#[derive(Default)]
pub struct Notes {
    waiting: Vec<Note>,
    second: u64,
    count: u32,
}

impl Notes {
    pub fn add(&mut self, n: Note, now: Duration) {
        if self.second != now.as_secs() {
            self.second = now.as_secs();
            self.count = 0;
        }
        if self.count < A_SECOND && self.waiting.len() < 100 {
            self.count += 1;
            self.waiting.push(n);
        }
    }

    pub fn take(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.waiting)
    }
}
