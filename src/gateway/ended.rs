//! Tells an endpoint whose process has ended from one that closed a connection: nothing listens at the address of the
//! first.
//!
//! A request does not run any more at an endpoint that has ended, so that such an attempt does not count against the limit
//! of the route. This holds only after a part of the stream was served: a request that ends endpoints as soon as they run
//! it gets no further one.

use std::{io::ErrorKind, net::SocketAddr};

use tokio::net::TcpStream;

use super::{attempt::Supplier, log_event, standby::StreamView};
use crate::{base::Millis, emit};

/// Longest time to learn whether something listens at an address.
const LISTEN_TIMEOUT: Millis = Millis(400);

/// Number of endpoints of one request whose ends leave an attempt.
const ENDED_MAX: u32 = 1;

/// Least number of events that the caller got of the endpoint.
const EVENTS_MIN: u64 = 2;

/// Returns whether nothing listens at an address; `false` if that is unknown.
async fn is_refused(addr: SocketAddr) -> bool {
    let opened = TcpStream::connect(addr);
    let opened = tokio::time::timeout(LISTEN_TIMEOUT.duration(), opened).await;
    matches!(opened, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Leaves another attempt to a stream if the endpoint that broke it off has ended, and returns whether it has.
pub(super) async fn discount_ended(stream: StreamView<'_>, broken: Option<Supplier>) -> bool {
    let StreamView { job, attempts, .. } = stream;
    let Some(broken) = broken else {
        return false;
    };
    if attempts.ended.get() >= ENDED_MAX || broken.events < EVENTS_MIN {
        return false;
    }
    if !is_refused(broken.addr).await {
        return false;
    }
    attempts.ended.set(attempts.ended.get() + 1);
    emit!(
        log_event::ATTEMPT,
        "id={} endpoint={} outcome=ended",
        job.id(),
        broken.id
    );
    true
}
