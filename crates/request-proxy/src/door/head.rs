//! A request's head as typed values, borrowed from the headers.
use crate::prelude::*;

/// Invariant: every number was read whole; text is as the client sent it.
#[derive(Debug)]
pub struct Head<'a> {
    /// The host, as the request names it.
    pub host: &'a str,
    /// The try's own id.
    pub request_id: &'a str,
    /// How long the client will wait.
    pub deadline: Option<Duration>,
    /// The model asked for.
    pub model: Option<&'a str>,
    /// Tokens of the prompt, and the most out.
    pub tokens: Option<(u32, u32)>,
    /// The parts of its prompt, in order.
    pub parts: Vec<Part<'a>>,
    /// The program it belongs to.
    pub program: Option<&'a str>,
    /// The session within the program.
    pub session: Option<&'a str>,
    /// The time left until the program should be over.
    pub finish: Option<Duration>,
    /// What all turns of the program may put out.
    pub allowance: Option<u64>,
    /// The turn it goes on from.
    pub previous: Option<&'a str>,
}

/// Why a head can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum HeadFault {
    #[snafu(display("{name} is missing"))]
    /// A header that every request must have.
    Missing {
        /// Its name.
        name: &'static str,
    },
    #[snafu(display("{name} can't be read"))]
    /// A header whose value has another form.
    Unreadable {
        /// Its name.
        name: &'static str,
    },
    #[snafu(display("{name} is there twice"))]
    /// A header that may stand there only once.
    Twice {
        /// Its name.
        name: &'static str,
    },
}

fn text<'a>(h: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, HeadFault> {
    let mut all = h.get_all(name).iter();
    let Some(v) = all.next() else {
        return Ok(None);
    };
    if all.next().is_some() {
        return Err(HeadFault::Twice { name });
    }
    match v.to_str() {
        Ok(s) if !s.trim().is_empty() => Ok(Some(s.trim())),
        _ => Err(HeadFault::Unreadable { name }),
    }
}

fn num(h: &HeaderMap, name: &'static str) -> Result<Option<f64>, HeadFault> {
    match text(h, name)? {
        None => Ok(None),
        Some(s) => match s.parse::<f64>() {
            Ok(f) if f.is_finite() && (0.0..1e12).contains(&f) => Ok(Some(f)),
            _ => Err(HeadFault::Unreadable { name }),
        },
    }
}

impl<'a> Head<'a> {
    /// Reads a head whole, or says what is wrong.
    pub fn read(parts: &'a RequestParts) -> Result<Self, HeadFault> {
        let h = &parts.headers;
        let host = match parts.uri.authority() {
            Some(a) => a.as_str(),
            None => text(h, "host")?.ok_or(HeadFault::Missing { name: "host" })?,
        };
        let request_id =
            text(h, names::REQUEST_ID)?.ok_or(HeadFault::Missing { name: names::REQUEST_ID })?;
        let ms = |f: f64| Duration::from_secs_f64(f / 1e3);
        let tokens = match text(h, names::TOKENS)? {
            None => None,
            Some(s) => Some(read_pair(s).ok_or(HeadFault::Unreadable { name: names::TOKENS })?),
        };
        let prefix = match text(h, names::PREFIX)? {
            None => Vec::new(),
            Some(s) => read_parts(s).ok_or(HeadFault::Unreadable { name: names::PREFIX })?,
        };
        Ok(Head {
            host,
            request_id,
            deadline: num(h, names::DEADLINE)?.map(ms),
            model: text(h, names::MODEL)?,
            tokens,
            parts: prefix,
            program: text(h, names::PROGRAM)?,
            session: text(h, names::SESSION)?,
            finish: num(h, names::FINISH)?.map(ms),
            allowance: num(h, names::BUDGET)?.map(|f| f as u64),
            previous: text(h, names::PREVIOUS)?,
        })
    }
}

fn read_pair(s: &str) -> Option<(u32, u32)> {
    let (a, b) = s.split_once(',')?;
    Some((a.trim().parse().ok()?, b.trim().parse().ok()?))
}

fn read_parts(s: &str) -> Option<Vec<Part<'_>>> {
    s.split(',')
        .map(|p| {
            let (id, n) = p.trim().split_once(':')?;
            Some(Part { id, tokens: n.trim().parse().ok()? })
        })
        .collect()
}
