//! The proxy's own answers. A 503 here is a promise: the request hasn't run and never will.
use crate::prelude::*;
use crate::relay::StreamBreak;
use hyper::body::{Body, Frame, SizeHint};

/// What an answer's body is: known whole, or relayed as it comes.
pub enum ProxyBody {
    /// Known whole; none when it has been given.
    Whole(Option<Bytes>),
    /// A stream, as its events come.
    Relay(Box<RelayBody>),
}

/// The answer had begun and can't be completed.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off: {cause}"))]
pub struct BrokenOff {
    /// What broke it off.
    pub cause: StreamBreak,
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            ProxyBody::Whole(b) => Poll::Ready(b.take().map(|b| Ok(Frame::data(b)))),
            ProxyBody::Relay(r) => match r.poll_next(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Ok(b))) => Poll::Ready(Some(Ok(Frame::data(b)))),
                Poll::Ready(Some(Err(cause))) => Poll::Ready(Some(Err(BrokenOff { cause }))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ProxyBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ProxyBody::Whole(b) => SizeHint::with_exact(b.as_ref().map_or(0, Bytes::len) as u64),
            ProxyBody::Relay(_) => SizeHint::default(),
        }
    }
}

/// An answer that the proxy gives itself.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnAnswer {
    /// 400: the head or body can't be read.
    Unreadable(String),
    /// 404: no route leads there.
    NoRoute,
    /// 404: no such earlier turn.
    NoTurn,
    /// 402: the allowance is spent.
    Spent,
    /// 413: the body is larger than allowed.
    TooLarge,
    /// 503: not run; come back after this.
    Refused {
        /// When to come back.
        after: Duration,
        /// What the body says.
        why: &'static str,
    },
    /// 502: it may have run, and there is no answer to give.
    Lost(&'static str),
    /// 504: its time is over; it may have run.
    Late,
}

impl From<StreamBreak> for OwnAnswer {
    fn from(cause: StreamBreak) -> Self {
        match cause {
            StreamBreak::EngineBrokeOff => OwnAnswer::Lost("the engine broke off"),
            StreamBreak::EngineSpoiled => OwnAnswer::Lost("the engine's answer is spoiled"),
            StreamBreak::TurnNotKept => OwnAnswer::Lost("too few stores kept the turn"),
            StreamBreak::TimeOver => OwnAnswer::Late,
        }
    }
}

impl OwnAnswer {
    /// A refusal, with the time after which to come back.
    pub fn refused(ms: u64, why: &'static str) -> Self {
        OwnAnswer::Refused { after: Duration::from_millis(ms), why }
    }

    /// The answer as the client gets it.
    pub fn into_response(self, request_id: Option<&str>) -> Response<ProxyBody> {
        let (status, text) = match &self {
            OwnAnswer::Unreadable(t) => (400, t.as_str()),
            OwnAnswer::NoRoute => (404, "no route leads there"),
            OwnAnswer::NoTurn => (404, "no such turn"),
            OwnAnswer::Spent => (402, "the token budget is spent"),
            OwnAnswer::TooLarge => (413, "the body is too large"),
            OwnAnswer::Refused { why, .. } => (503, *why),
            OwnAnswer::Lost(why) => (502, *why),
            OwnAnswer::Late => (504, "its time is over"),
        };
        let body = Bytes::from(format!("{{\"error\":{}}}", json_text(text)));
        let mut r = Response::new(ProxyBody::Whole(Some(body)));
        *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let h = r.headers_mut();
        h.insert("content-type", HeaderValue::from_static("application/json"));
        if let OwnAnswer::Refused { after, .. } = self {
            let s = format!("{:.3}", after.as_secs_f64().max(0.02));
            if let Ok(v) = HeaderValue::from_str(&s) {
                h.insert("retry-after", v);
            }
        }
        if let Some(v) = request_id.and_then(|id| HeaderValue::from_str(id).ok()) {
            h.insert(names::REQUEST_ID, v);
        }
        if matches!(status, 400 | 413) {
            h.insert("connection", HeaderValue::from_static("close"));
        }
        r
    }
}

fn json_text(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c.is_control() => out.push(' '),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
