//! A socket under hyper whose every read, write and flush is observed.
//!
//! hyper doesn't say how far an answer or a request has come on the wire. Whoever must know implements
//! `StreamObserver`; the forwarding to the socket stands here once.
use crate::prelude::*;
use std::io;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What one read came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many bytes; 0 while none are there.
    Bytes(usize),
    /// The other side has closed, or the connection has failed.
    Ended,
}

/// What is to be known of a socket's use.
pub trait StreamObserver: Unpin {
    /// Before each write; an error refuses it.
    fn before_write(&mut self, _socket: &TcpStream) -> io::Result<()> {
        Ok(())
    }
    /// After each write: what the kernel took, or why it couldn't.
    fn after_write(&mut self, written: &Poll<io::Result<usize>>);
    /// After each flush that isn't pending. hyper flushes only once its own buffer is empty.
    fn after_flush(&mut self, flushed: &io::Result<()>);
    /// After each read.
    fn after_read(&mut self, outcome: ReadOutcome);
}

/// A socket and who observes it.
pub struct ObservedStream<O> {
    /// The socket.
    pub socket: TcpStream,
    /// Who observes it.
    pub observer: O,
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, had_room) = (buf.filled().len(), buf.remaining() > 0);
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        let has_ended = match &polled {
            Poll::Ready(Ok(())) => had_room && count == 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        self.observer.after_read(match has_ended {
            true => ReadOutcome::Ended,
            false => ReadOutcome::Bytes(count),
        });
        polled
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.observer.before_write(&this.socket)?;
        let written = Pin::new(&mut this.socket).poll_write(cx, buf);
        this.observer.after_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.observer.before_write(&this.socket)?;
        let written = Pin::new(&mut this.socket).poll_write_vectored(cx, bufs);
        this.observer.after_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        if let Poll::Ready(result) = &flushed {
            self.observer.after_flush(result);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
