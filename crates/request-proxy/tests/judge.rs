//! What an engine's answer is worth.
use request_proxy::prelude::*;
use request_proxy::sending::{judge, Asked, Verdict};

const ID: (&str, &str) = (names::REQUEST_ID, "a1");
const OTHER_ID: (&str, &str) = (names::REQUEST_ID, "b2");
const STAMP: (&str, &str) = (names::STAMP, "s");
const LENGTH: (&str, &str) = ("content-length", "3");
const NOT_RUN: (&str, &str) = (names::NOT_RUN, "1");

fn judged(status: u16, headers: &[(&str, &str)], alone: bool, repeatable: bool) -> Verdict {
    let mut h = HeaderMap::new();
    for (k, v) in headers {
        h.append(http::HeaderName::from_bytes(k.as_bytes()).unwrap(), v.parse().unwrap());
    }
    judge(status, &h, &Asked { request_id: "a1", alone, repeatable })
}

#[test]
fn only_the_engine_s_own_whole_answer_counts() {
    let other = Verdict::Spoiled("an answer to another request");
    type Row<'a> = (u16, Vec<(&'a str, &'a str)>, Verdict);
    let rows: Vec<Row> = vec![
        (200, vec![ID, STAMP, LENGTH], Verdict::Sound),
        (200, vec![ID, STAMP, ("transfer-encoding", "chunked")], Verdict::Sound),
        (500, vec![ID, LENGTH], Verdict::Sound),
        (429, vec![ID, NOT_RUN, LENGTH], Verdict::NotRun),
        (503, vec![ID, NOT_RUN], Verdict::NotRun),
        (421, vec![ID, LENGTH], Verdict::Elsewhere),
        (503, vec![OTHER_ID, NOT_RUN], other),
        (421, vec![OTHER_ID], other),
        (503, vec![ID, OTHER_ID, NOT_RUN], other),
        (200, vec![OTHER_ID, STAMP, LENGTH], other),
        (200, vec![STAMP, LENGTH], Verdict::Spoiled("an answer without the request's id")),
        (200, vec![ID, LENGTH], Verdict::Spoiled("a success without a stamp")),
        (
            200,
            vec![ID, STAMP, LENGTH, ("content-encoding", "gzip")],
            Verdict::Spoiled("an encoded answer"),
        ),
        (200, vec![ID, STAMP], Verdict::Spoiled("an answer whose end can't be known")),
    ];
    for (status, headers, want) in rows {
        for alone in [false, true] {
            for repeatable in [false, true] {
                let got = judged(status, &headers, alone, repeatable);
                assert_eq!(got, want, "{status} {headers:?}");
            }
        }
    }
}

#[test]
fn a_refusal_without_an_id_counts_only_where_nothing_else_can_have_caused_it() {
    let untied = Verdict::Spoiled("an answer without the request's id");
    for repeatable in [false, true] {
        for (status, headers, alone_means) in [
            (503, vec![NOT_RUN, LENGTH], Verdict::NotRun),
            (429, vec![NOT_RUN], Verdict::NotRun),
            (400, vec![NOT_RUN], Verdict::NotRun),
            (421, vec![LENGTH], Verdict::Elsewhere),
        ] {
            assert_eq!(judged(status, &headers, true, repeatable), alone_means, "{status}");
            assert_eq!(judged(status, &headers, false, repeatable), untied, "{status}");
        }
        // Not a refusal at all.
        assert_eq!(judged(503, &[LENGTH], true, repeatable), untied);
    }
}

#[test]
fn a_promise_is_passed_on_only_where_the_engine_gave_it_or_none_is_needed() {
    for status in [408, 429, 503] {
        let unkept = Verdict::Spoiled("a promise that the engine did not give");
        for alone in [false, true] {
            assert_eq!(judged(status, &[ID, LENGTH], alone, false), unkept, "{status}");
            assert_eq!(judged(status, &[ID, LENGTH], alone, true), Verdict::Sound, "{status}");
        }
    }
}
