//! A client's socket: whether everything written to it has been handed to the kernel, and its orderly end.
//!
//! hyper takes an answer's last bytes into its own buffer before the socket takes them, and a socket that is
//! closed with unread bytes in its receive buffer sends a reset, by which the client's kernel discards what
//! the client hasn't read yet (RFC 9112, section 9.6).
use crate::observed_stream::{ObservedStream, ReadOutcome, StreamObserver};
use crate::prelude::*;
use std::io;
use std::sync::atomic::AtomicBool;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Whether bytes wait in front of the socket; shared with the stream that hyper works on.
#[derive(Debug, Clone, Default)]
pub(super) struct WriteProgress(Arc<AtomicBool>);

impl WriteProgress {
    /// The kernel has all that was ever written.
    pub fn is_flushed(&self) -> bool {
        !self.0.load(Ordering::Relaxed)
    }

    fn set_pending(&self, pending: bool) {
        self.0.store(pending, Ordering::Relaxed);
    }
}

/// How long the orderly end of a connection may take.
#[derive(Debug, Clone, Copy)]
pub(super) struct LingerLimits {
    /// From one read to the next.
    pub quiet: Duration,
    /// In all.
    pub total: Duration,
}

/// What a client may still be sending as its connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnreadBytes {
    /// The rest of a body whose request has been answered; it is read, so that the client isn't stopped in
    /// the middle of sending it.
    RestOfBody,
    /// At most another request, which is left unread: its client sends it again elsewhere.
    NextRequest,
}

/// What is known of a client's socket. Invariants: `progress` is pending from a write until the flush that covers
/// it, or until nothing more can be written; `is_read_out` once the client's end of stream was read.
pub(super) struct ClientObserver {
    progress: WriteProgress,
    is_read_out: bool,
}

impl StreamObserver for ClientObserver {
    fn after_write(&mut self, written: &Poll<io::Result<usize>>) {
        // After an error nothing that was written before can arrive any more.
        self.progress.set_pending(!matches!(written, Poll::Ready(Err(_))));
    }

    fn after_flush(&mut self, _flushed: &io::Result<()>) {
        self.progress.set_pending(false);
    }

    fn after_read(&mut self, outcome: ReadOutcome) {
        self.is_read_out |= outcome == ReadOutcome::Ended;
    }
}

/// A client's socket.
pub(super) type ClientStream = ObservedStream<ClientObserver>;

/// Wraps a new connection.
pub(super) fn observe_client(socket: TcpStream) -> (ClientStream, WriteProgress) {
    let progress = WriteProgress::default();
    let observer = ClientObserver { progress: progress.clone(), is_read_out: false };
    (ClientStream { socket, observer }, progress)
}

/// Ends a connection so that the client can read everything that was written: says that nothing more comes,
/// then waits until the client has closed its side, too.
pub(super) async fn close_in_order(
    stream: ClientStream,
    unread: UnreadBytes,
    limits: LingerLimits,
) {
    let ClientStream { mut socket, observer } = stream;
    if observer.is_read_out || socket.shutdown().await.is_err() {
        return;
    }
    let client_closes = async {
        match unread {
            UnreadBytes::RestOfBody => discard(&mut socket, limits.quiet).await,
            UnreadBytes::NextRequest => wait_for_end(&socket).await,
        }
    };
    let _ = tokio::time::timeout(limits.total, client_closes).await;
}

async fn discard(socket: &mut TcpStream, quiet: Duration) {
    let mut discarded = [0; 4096];
    loop {
        match tokio::time::timeout(quiet, socket.read(&mut discarded)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => return,
        }
    }
}

/// Takes nothing out of the socket.
async fn wait_for_end(socket: &TcpStream) {
    match socket.peek(&mut [0]).await {
        // An end behind these bytes can't be seen.
        Ok(n) if n > 0 => std::future::pending().await,
        _ => {}
    }
}
