//! What an engine's answer is worth: pure.
use crate::prelude::*;

/// The request that an answer came for, as far as judging it needs.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// Its id, which engines carry back.
    pub request_id: &'a str,
    /// Nothing else was ever asked on the connection, and nothing came on it before this request was
    /// written whole: whatever answers there answers this request.
    pub alone: bool,
    /// It may run more than once.
    pub repeatable: bool,
}

/// What is to be made of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The engine's own answer to this request.
    Sound,
    /// The engine says that it did not run the request.
    NotRun,
    /// Another engine lives at this address; nothing ran.
    Elsewhere,
    /// Not an answer to this request, or not whole: it may have run.
    Spoiled(&'static str),
}

/// Statuses by which clients hold a request for not run, now or later.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// How far an answer's id ties it to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tie {
    Own,
    Absent,
    Foreign,
}

fn tie_of(h: &HeaderMap, request_id: &str) -> Tie {
    let mut ids = h.get_all(names::REQUEST_ID).iter().peekable();
    if ids.peek().is_none() {
        return Tie::Absent;
    }
    match ids.all(|v| v.as_bytes() == request_id.as_bytes()) {
        true => Tie::Own,
        false => Tie::Foreign,
    }
}

/// Judges an answer by its head. Invariant: `NotRun` and `Elsewhere` are said only of an answer that
/// bears the request's id, or that nothing else can have caused.
pub fn judge(status: u16, h: &HeaderMap, asked: &Asked<'_>) -> Verdict {
    let tie = tie_of(h, asked.request_id);
    if tie == Tie::Foreign {
        return Verdict::Spoiled("an answer to another request");
    }
    let refusal = refusal_of(status, h);
    if tie == Tie::Absent && !(refusal.is_some() && asked.alone) {
        return Verdict::Spoiled("an answer without the request's id");
    }
    if let Some(refused) = refusal {
        return refused;
    }
    if h.contains_key("content-encoding") {
        return Verdict::Spoiled("an encoded answer");
    }
    if (200..300).contains(&status) && !h.contains_key(names::STAMP) {
        return Verdict::Spoiled("a success without a stamp");
    }
    if !h.contains_key("content-length") && !h.contains_key("transfer-encoding") && status != 204 {
        return Verdict::Spoiled("an answer whose end can't be known");
    }
    if !asked.repeatable && PROMISES.contains(&status) {
        return Verdict::Spoiled("a promise that the engine did not give");
    }
    Verdict::Sound
}

fn refusal_of(status: u16, h: &HeaderMap) -> Option<Verdict> {
    if status == 421 {
        return Some(Verdict::Elsewhere);
    }
    (status >= 400 && h.contains_key(names::NOT_RUN)).then_some(Verdict::NotRun)
}
