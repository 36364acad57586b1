//! Timer of a connection for the heads of requests and the pauses before them. Its limit can change while it runs, so
//! that a new limit holds for connections that are open.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    task::{ready, Context, Poll},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};

use crate::base::Millis;

/// Longest time that is waited for at once.
const WAIT_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Time limit that a connection shares with its timer. Atomic because hyper wants timers that other threads can use.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit(Arc<AtomicU64>);

impl HeadLimit {
    pub(super) fn set(&self, limit: Millis) {
        self.0.store(limit.0, Ordering::Relaxed);
    }

    pub(super) fn get(&self) -> Duration {
        Millis(self.0.load(Ordering::Relaxed))
            .duration()
            .min(WAIT_MAX)
    }
}

/// Timer whose waits last until the limit of the connection, whatever the deadline that is asked for.
#[derive(Debug)]
pub(super) struct HeadTimer(pub(super) HeadLimit);

impl Timer for HeadTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        let begin = tokio::time::Instant::now();
        Box::pin(Wait {
            limit: self.0.clone(),
            begin,
            sleep: Box::pin(tokio::time::sleep_until(begin + self.0.get())),
        })
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(Duration::ZERO)
    }
}

#[derive(Debug)]
struct Wait {
    limit: HeadLimit,
    begin: tokio::time::Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for Wait {}

impl Future for Wait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let end = self.begin + self.limit.get();
            if end <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
    }
}
