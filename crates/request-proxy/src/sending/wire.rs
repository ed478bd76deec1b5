//! A connection to an engine, watched byte by byte: whether anything of a request has gone out, and
//! whether anything came out of turn.
//!
//! hyper knows neither: it hands a request back only if it never began to encode it, takes an answer that
//! comes before its request is written for that request's, and looks at an idle socket only when the
//! reactor has reported it.
use crate::app::locked;
use crate::observed_stream::{ObservedStream, ReadOutcome, StreamObserver};
use crate::prelude::*;
use std::io;
use std::mem::MaybeUninit;

/// Where a connection stands between a request and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing is asked; nothing may come.
    Resting,
    /// A request is being written; nothing may come yet.
    Writing,
    /// A request has been written whole; its answer is due.
    Asked,
}

/// Invariants: `sent` counts the bytes of the newest request that the kernel has taken; once
/// `out_of_turn` or `sealed` is true it stays so; nothing is written once `sealed` is true.
#[derive(Debug)]
struct Observed {
    stage: Stage,
    sent: u64,
    out_of_turn: bool,
    sealed: bool,
}

/// What is known of a connection's bytes, shared with the stream that hyper works on.
#[derive(Debug, Clone)]
pub struct WireWatch(Arc<Mutex<Observed>>);

impl WireWatch {
    /// Wraps a new connection.
    pub fn over(stream: TcpStream) -> (WatchedStream, WireWatch) {
        let watch = WireWatch(Arc::new(Mutex::new(Observed {
            stage: Stage::Resting,
            sent: 0,
            out_of_turn: false,
            sealed: false,
        })));
        (WatchedStream { socket: stream, observer: watch.clone() }, watch)
    }

    /// The connection rests: its answer is whole, and the next request counts from nothing.
    pub fn rest(&self) {
        let mut seen = locked(&self.0);
        seen.stage = Stage::Resting;
        seen.sent = 0;
    }

    /// Not a byte of the newest request has gone out.
    pub fn unsent(&self) -> bool {
        locked(&self.0).sent == 0
    }

    /// Something came while nothing was asked, or before the request was written whole.
    pub fn out_of_turn(&self) -> bool {
        locked(&self.0).out_of_turn
    }

    /// From now on nothing more is written.
    pub fn seal(&self) {
        locked(&self.0).sealed = true;
    }

    /// Before a write: the first of a request needs a socket on which nothing waits to be read.
    fn may_write(&self, stream: &TcpStream) -> io::Result<()> {
        let mut seen = locked(&self.0);
        if !seen.sealed && seen.stage == Stage::Resting {
            seen.sealed = !is_quiet(stream);
            seen.out_of_turn |= seen.sealed;
        }
        if seen.sealed {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        seen.stage = Stage::Writing;
        Ok(())
    }

    fn wrote(&self, n: usize) {
        locked(&self.0).sent += n as u64;
    }

    /// hyper flushes once its buffer is empty: a request that was begun is then written whole.
    fn flushed(&self) {
        let mut seen = locked(&self.0);
        if seen.stage == Stage::Writing {
            seen.stage = Stage::Asked;
        }
    }

    fn read(&self, n: usize) {
        let mut seen = locked(&self.0);
        seen.out_of_turn |= n > 0 && seen.stage != Stage::Asked;
    }
}

/// Neither bytes nor an end wait to be read.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut one = [MaybeUninit::uninit(); 1];
    let got = socket2::SockRef::from(stream).peek(&mut one);
    matches!(got, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// A connection's stream, which reports every byte to its watch.
pub type WatchedStream = ObservedStream<WireWatch>;

impl StreamObserver for WireWatch {
    fn before_write(&mut self, socket: &TcpStream) -> io::Result<()> {
        self.may_write(socket)
    }

    fn after_write(&mut self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = written {
            self.wrote(*n);
        }
    }

    fn after_flush(&mut self, flushed: &io::Result<()>) {
        if flushed.is_ok() {
            self.flushed();
        }
    }

    fn after_read(&mut self, outcome: ReadOutcome) {
        if let ReadOutcome::Bytes(n) = outcome {
            self.read(n);
        }
    }
}
