//! What an engine's answer is worth: pure.
use crate::prelude::*;

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

pub fn judge(status: u16, h: &HeaderMap, request_id: &str) -> Verdict {
    let id = h.get(names::REQUEST_ID).map(|v| v.as_bytes());
    if id.is_some_and(|v| v != request_id.as_bytes()) {
        return Verdict::Spoiled("an answer to another request");
    }
    if status == 421 {
        return Verdict::Elsewhere;
    }
    if h.contains_key(names::NOT_RUN) && status >= 400 {
        return Verdict::NotRun;
    }
    if id.is_none() {
        return Verdict::Spoiled("an answer without the request's id");
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
    Verdict::Sound
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_engine_s_own_whole_answer_counts() {
        let id = (names::REQUEST_ID, "a1");
        let stamp = (names::STAMP, "s");
        let len = ("content-length", "3");
        let not_run = (names::NOT_RUN, "1");
        type Row<'a> = (u16, Vec<(&'a str, &'a str)>, Verdict);
        let rows: Vec<Row> = vec![
            (200, vec![id, stamp, len], Verdict::Sound),
            (200, vec![id, stamp, ("transfer-encoding", "chunked")], Verdict::Sound),
            (500, vec![id, len], Verdict::Sound),
            (503, vec![id, len], Verdict::Sound),
            (503, vec![not_run, len], Verdict::NotRun),
            (429, vec![id, not_run, len], Verdict::NotRun),
            (421, vec![len], Verdict::Elsewhere),
            (
                503,
                vec![(names::REQUEST_ID, "b2"), not_run],
                Verdict::Spoiled("an answer to another request"),
            ),
            (
                200,
                vec![(names::REQUEST_ID, "b2"), stamp, len],
                Verdict::Spoiled("an answer to another request"),
            ),
            (200, vec![stamp, len], Verdict::Spoiled("an answer without the request's id")),
            (200, vec![id, len], Verdict::Spoiled("a success without a stamp")),
            (
                200,
                vec![id, stamp, len, ("content-encoding", "gzip")],
                Verdict::Spoiled("an encoded answer"),
            ),
            (200, vec![id, stamp], Verdict::Spoiled("an answer whose end can't be known")),
        ];
        for (status, headers, want) in rows {
            let mut h = HeaderMap::new();
            for (k, v) in &headers {
                h.append(http::HeaderName::from_bytes(k.as_bytes()).unwrap(), v.parse().unwrap());
            }
            assert_eq!(judge(status, &h, "a1"), want, "{status} {headers:?}");
        }
    }
}
