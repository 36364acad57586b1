//! State of the attempts to have one request served by endpoints, and their results.

use std::{
    cell::{Cell, Ref, RefCell},
    net::SocketAddr,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, http::response::Parts, Response};

use tokio::sync::Notify;

use super::{
    context::Context,
    endpoint_table::EndpointId,
    in_flight::InFlight,
    record::{Incarnation, WeightVersion},
};
use crate::{
    base::Millis,
    decide::{numbering::Numbering, quarantine::Generation, retry::RetryDraw},
    http::Connection,
};

/// The endpoint of an attempt, and the connection to it.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
    pub(super) flight: InFlight,
    pub(super) connection: Connection,
    /// Whether the connection was idle before, so that the endpoint may close it just when the request is sent.
    pub(super) reused: bool,
    /// Largest number of idle connections to the endpoint.
    pub(super) idle_max: usize,
    /// When the request is sent.
    pub(super) sent_at: Millis,
    /// Ends of endpoints that were known then of the parts of the prompt.
    pub(super) known: Vec<Generation>,
    /// Whether the request is a probe of a quarantined part.
    pub(super) probe: bool,
    /// Version of the weights that the endpoint is known to hold; `None` for services without engines.
    pub(super) version: Option<WeightVersion>,
    /// Version of the weights that the request asks the endpoint for.
    pub(super) expected: Option<WeightVersion>,
    /// Run of the endpoint to which the request is sent.
    pub(super) run: Incarnation,
}

impl Target {
    /// Returns the endpoint as that of a stream of which it has sent nothing yet.
    pub(super) fn supplier(&self) -> Supplier {
        Supplier {
            id: self.id.clone(),
            addr: self.addr,
            events: 0,
        }
    }
}

/// A response that is forwarded while its body arrives.
#[derive(Debug)]
pub(super) struct StreamingResponse {
    pub(super) target: Target,
    pub(super) head: Parts,
    pub(super) body: Incoming,
}

/// Result of an attempt.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The endpoint runs the request and streams the response.
    Streaming(Box<StreamingResponse>),
    /// A complete response to forward.
    Complete(Response<Full<Bytes>>),
    /// The endpoint did not run the request and said so.
    NotRun,
    /// The request was not sent.
    NotSent,
    /// The request was sent, and no usable response arrived; it may have run.
    Lost,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// A complete response with a server error.
    Failed(Response<Full<Bytes>>),
}

/// An endpoint that sends a stream.
#[derive(Clone, Debug)]
pub(super) struct Supplier {
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
    /// Number of its events that were forwarded.
    pub(super) events: u64,
}

/// Progress of a request over its attempts.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Endpoints that were tried and are not chosen again for the request.
    tried: RefCell<Vec<EndpointId>>,
    /// Number of attempts that were sent.
    pub(super) sent: Cell<u32>,
    /// Version of the weights on which the response began.
    pub(super) version: Cell<Option<WeightVersion>>,
    /// Numbering of the events that the caller has; `None` if there are none, or if another entry sent them.
    pub(super) numbering: Cell<Option<Numbering>>,
    /// Whether the response has begun as a stream, which only another stream of events can continue.
    pub(super) streaming: Cell<bool>,
    /// Why the next attempt may be sent.
    pub(super) pass: Cell<Pass>,
    /// Draw of the next retry.
    pub(super) draw: Cell<RetryDraw>,
    /// Endpoint whose response is forwarded.
    pub(super) answered: RefCell<Option<EndpointId>>,
    /// Endpoint that sends the stream.
    pub(super) supplier: RefCell<Option<Supplier>>,
    /// Number of attempts that were sent to endpoints which have ended since; at most `sent`.
    pub(super) ended: Cell<u32>,
    /// When another attempt may begin beside those in flight.
    next_at: Cell<Millis>,
    /// Wakes the wait for `next_at` when it changes.
    changed: Notify,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried: RefCell::default(),
            sent: Cell::new(0),
            version: Cell::new(None),
            numbering: Cell::new(None),
            streaming: Cell::new(false),
            pass: Cell::new(Pass::Clear),
            draw: Cell::new(RetryDraw::random()),
            answered: RefCell::default(),
            supplier: RefCell::default(),
            ended: Cell::new(0),
            next_at: Cell::new(Millis::MAX),
            changed: Notify::new(),
        }
    }

    /// Returns the endpoints that are not chosen again, in the order in which they were tried.
    pub(super) fn tried(&self) -> Ref<'_, [EndpointId]> {
        Ref::map(self.tried.borrow(), Vec::as_slice)
    }

    /// Returns the endpoint whose response is forwarded, or else the one that was tried last.
    pub(super) fn endpoint(&self) -> Option<EndpointId> {
        let answered = self.answered.borrow().clone();
        answered.or_else(|| self.tried().last().cloned())
    }

    /// Returns the number of attempts that count against the limit of the route: those whose endpoints may still run the
    /// request, or have run it.
    pub(super) fn counted(&self) -> u32 {
        self.sent.get() - self.ended.get()
    }

    /// Sets when another attempt may begin beside those in flight.
    pub(super) fn schedule(&self, at: Millis) {
        self.next_at.set(at);
        self.changed.notify_one();
    }

    /// Waits until another attempt may begin beside those in flight.
    pub(super) async fn due(&self, ctx: &Context) {
        loop {
            let wait = self.next_at.get() - ctx.now();
            if wait == Millis::ZERO {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(wait.duration()) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Excludes an endpoint from further attempts.
    pub(super) fn exclude(&self, id: EndpointId) {
        self.tried.borrow_mut().push(id);
    }

    /// Allows an endpoint to be chosen again, because the request was not sent to it.
    pub(super) fn readmit(&self, id: &EndpointId) {
        self.tried.borrow_mut().retain(|other| other != id);
    }
}

/// Why a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pass {
    /// No part of its prompt is quarantined.
    Clear,
    /// It is a probe of a quarantined part.
    Probe,
}
