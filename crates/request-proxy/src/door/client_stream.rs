//! A client's socket: whether everything written to it has been handed to the kernel, and its orderly end.
//!
//! hyper takes an answer's last bytes into its own buffer before the socket takes them, and a socket that is
//! closed with unread bytes in its receive buffer sends a reset, by which the client's kernel discards what
//! the client hasn't read yet (RFC 9112, section 9.6).
use crate::prelude::*;
use std::io;
use std::sync::atomic::AtomicBool;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

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

/// A client's socket. Invariants: `progress` is pending from a write until the flush that covers it, or
/// until nothing more can be written; `is_read_out` once the client's end of stream was read.
pub(super) struct ClientStream {
    socket: TcpStream,
    progress: WriteProgress,
    is_read_out: bool,
}

impl ClientStream {
    /// Wraps a new connection.
    pub fn new(socket: TcpStream) -> (Self, WriteProgress) {
        let progress = WriteProgress::default();
        (ClientStream { socket, progress: progress.clone(), is_read_out: false }, progress)
    }

    /// Ends the connection so that the client can read everything that was written: says that nothing more
    /// comes, then waits until the client has closed its side, too.
    pub async fn close_in_order(mut self, unread: UnreadBytes, limits: LingerLimits) {
        if self.is_read_out || self.socket.shutdown().await.is_err() {
            return;
        }
        let client_closes = async {
            match unread {
                UnreadBytes::RestOfBody => self.discard(limits.quiet).await,
                UnreadBytes::NextRequest => self.wait_for_end().await,
            }
        };
        let _ = tokio::time::timeout(limits.total, client_closes).await;
    }

    async fn discard(&mut self, quiet: Duration) {
        let mut discarded = [0; 4096];
        loop {
            match tokio::time::timeout(quiet, self.socket.read(&mut discarded)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return,
            }
        }
    }

    /// Takes nothing out of the socket.
    async fn wait_for_end(&self) {
        match self.socket.peek(&mut [0]).await {
            // An end behind these bytes can't be seen.
            Ok(n) if n > 0 => std::future::pending().await,
            _ => {}
        }
    }

    fn wrote<T>(&self, polled: &Poll<io::Result<T>>) {
        // After an error nothing that was written before can arrive any more.
        self.progress.set_pending(!matches!(polled, Poll::Ready(Err(_))));
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, had_room) = (buf.filled().len(), buf.remaining() > 0);
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        let has_ended = match &polled {
            Poll::Ready(Ok(())) => had_room && buf.filled().len() == before,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        self.is_read_out |= has_ended;
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.wrote(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.wrote(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    /// hyper flushes only once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.socket).poll_flush(cx);
        if polled.is_ready() {
            self.progress.set_pending(false);
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
