//! A connection that outlasts a pause of its peer in reading, and ends when the host of its peer is gone.
//!
//! The user timeout of the kernel ends a connection whose receive window stays closed, whether the peer acknowledges the
//! probes or not. While bytes of a long request are undelivered, it is therefore extended as long as the peer acknowledges.
//!
//! The kernel counts the user timeout only from when it sends a segment again. A short request without a response is
//! therefore looked at as well, once it may have been undelivered for too long.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{sleep, Instant, Sleep},
};

use super::tcp_info::send_state;
use crate::{
    base::Millis,
    decide::silence::{SilenceWatch, Verdict, SILENCE},
};

/// Interval at which undelivered bytes of a long request are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of bytes that a peer can be sent without a response before they are looked at. They fit into its receive window.
const UNCHECKED_MAX: usize = 8 << 10;

/// Longest step of the kernel's clock, by which the reported time of an acknowledgement can be too late.
const CLOCK_STEP: Millis = Millis(10);

/// A check of undelivered bytes in progress.
#[derive(Debug)]
struct Check {
    timer: Pin<Box<Sleep>>,
    began: Instant,
    watch: SilenceWatch,
    /// Whether nothing was looked at yet because the request is short; a response ends the check then.
    waits: bool,
}

impl Check {
    /// Checks a request that is long or blocked.
    fn of_long() -> Self {
        Self {
            timer: Box::pin(sleep(CHECK_INTERVAL)),
            began: Instant::now(),
            watch: SilenceWatch::default(),
            waits: false,
        }
    }

    /// Checks a short request whose last bytes the kernel has just taken.
    fn of_short() -> Self {
        Self {
            timer: Box::pin(sleep((CLOCK_STEP + SILENCE).duration())),
            began: Instant::now(),
            watch: SilenceWatch::asked_at(CLOCK_STEP),
            waits: true,
        }
    }

    /// Returns when to look again: after the interval, or when the peer would be dark if that is earlier.
    fn next_look(&self) -> Instant {
        let regular = Instant::now() + CHECK_INTERVAL;
        let due = self.watch.due();
        due.map_or(regular, |at| regular.min(self.began + at.duration()))
    }
}

/// A connection whose undelivered bytes are looked at.
#[derive(Debug)]
pub(super) struct Guarded {
    stream: TcpStream,
    /// Bytes that were written since the peer last showed that it had read all.
    unchecked: usize,
    check: Option<Check>,
    /// Whether the kernel reports the state of the connection; else its user timeout stays as it is.
    supported: bool,
}

impl Guarded {
    /// Guards a connection whose user timeout is [`SILENCE`].
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unchecked: 0,
            check: None,
            supported: true,
        }
    }

    /// Records that the kernel took bytes, or none because its buffer is full, and starts a check.
    fn note_write(&mut self, written: Option<usize>) {
        self.unchecked += written.unwrap_or(0);
        let looked_at = self.check.as_ref().is_some_and(|c| !c.waits);
        if looked_at || !self.supported {
            return;
        }
        let long = written.is_none() || self.unchecked > UNCHECKED_MAX;
        self.check = Some(if long {
            Check::of_long()
        } else {
            Check::of_short()
        });
    }

    /// Records that bytes arrived, by which the peer has read a short request.
    fn note_read(&mut self) {
        if self.check.as_ref().is_none_or(|c| c.waits) {
            self.check = None;
            self.unchecked = 0;
        }
    }

    /// Looks at the undelivered bytes whenever it is time to.
    ///
    /// # Errors
    ///
    /// Returns an error if the host of the peer is gone.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while let Some(check) = &mut self.check {
            if check.timer.as_mut().poll(cx).is_pending() {
                return Ok(());
            }
            check.waits = false;
            match look(&self.stream, check) {
                Ok(Verdict::Present | Verdict::Silent) => {
                    let next = check.next_look();
                    check.timer.as_mut().reset(next);
                }
                Ok(Verdict::Delivered) => {
                    self.check = None;
                    self.unchecked = 0;
                }
                Ok(Verdict::Dark) => return Err(io::ErrorKind::TimedOut.into()),
                Err(e) => {
                    log::debug!("the state of a connection is not reported: {e}");
                    self.check = None;
                    self.supported = false;
                }
            }
        }
        Ok(())
    }
}

/// Judges the peer by the present state of its connection, and sets the user timeout accordingly.
fn look(stream: &TcpStream, check: &mut Check) -> io::Result<Verdict> {
    let now = check.began.elapsed().into();
    let verdict = check.watch.judge(send_state(stream)?, now);
    let timeout = match verdict {
        // The kernel counts it from a time after the check began, and asks the peer once more before it is over.
        Verdict::Present => now + SILENCE,
        Verdict::Delivered => SILENCE,
        Verdict::Silent | Verdict::Dark => return Ok(verdict),
    };
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout.duration()))?;
    Ok(verdict)
}

impl AsyncRead for Guarded {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if read.is_pending() {
            this.poll_check(cx)?;
        } else {
            this.note_read();
        }
        read
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.after_write(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.after_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl Guarded {
    /// Records a write, and registers the wake-up of the check that it may have started.
    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(n)) => self.note_write(Some(*n)),
            Poll::Pending => self.note_write(None),
            Poll::Ready(Err(_)) => return written,
        }
        self.poll_check(cx)?;
        written
    }
}
