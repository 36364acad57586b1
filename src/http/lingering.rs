//! An accepted connection that closes without losing its last response.
//!
//! The kernel resets a connection that is closed with unread bytes, and drops what it has not delivered of the response.
//! Such bytes are a body that its request was rejected without, or a request behind the last one that is served.

use std::{
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    task::{ready, Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{sleep, Sleep},
};

use super::callers::Held;
use crate::base::Millis;

/// Longest time for which a connection is read after its last response, until its peer closes it.
const LINGER: Millis = Millis(1000);

/// Largest number of bytes that are read at once before it: one less than at which the HTTP library doubles its buffer, so
/// that a connection keeps a small one.
const READ_MAX: usize = (8 << 10) - 1;

/// Bytes that are read at once after the last response.
const PART: usize = 4096;

/// An accepted connection. Its end tells the peer that nothing follows, and then reads and drops what the peer sends.
#[derive(Debug)]
pub(super) struct Lingering {
    stream: TcpStream,
    /// Time until which it is read; `None` while it is in use.
    timer: Option<Pin<Box<Sleep>>>,
    /// Bytes that were read and dropped then.
    discarded: usize,
    /// What the connection holds, if that counts.
    held: Option<Rc<Held>>,
}

impl Lingering {
    pub(super) fn new(stream: TcpStream, held: Option<Rc<Held>>) -> Self {
        Self {
            stream,
            timer: None,
            discarded: 0,
            held,
        }
    }

    /// Returns the number of bytes that were dropped after the last response.
    pub(super) fn discarded(&self) -> usize {
        self.discarded
    }

    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let (Some(held), Poll::Ready(Ok(n))) = (&self.held, written) {
            held.wrote(*n);
        }
    }
}

impl AsyncRead for Lingering {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some(held) = &this.held else {
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        };
        let limit = buf.remaining().min(READ_MAX);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part))?;
        let n = part.filled().len();
        buf.advance(n);
        held.read(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Lingering {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.count_written(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.count_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.timer.is_none() {
            if let Some(held) = &this.held {
                held.close();
            }
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let timer = this
            .timer
            .get_or_insert_with(|| Box::pin(sleep(LINGER.duration())));
        while timer.as_mut().poll(cx).is_pending() {
            let mut part = [0; PART];
            let mut part = ReadBuf::new(&mut part);
            let read = ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part));
            if read.is_err() || part.filled().is_empty() {
                break;
            }
            this.discarded += part.filled().len();
        }
        Poll::Ready(Ok(()))
    }
}
