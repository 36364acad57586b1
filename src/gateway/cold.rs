//! Limits the requests to cold endpoints: which endpoints are cold, and what entries tell each other of it.

use std::{io, net::SocketAddr};

use hyper::http::response::Parts;
use tokio::net::UdpSocket;

use super::{
    cold_times::{ColdNews, ColdReport},
    context::Context,
    datagram::send_to_all,
    endpoint_table::EndpointId,
    headers::text,
    limits::Limit,
    log_event,
    message::Message,
};
use crate::{
    base::{Millis, RequestRate},
    decide::cold::ColdStart,
    emit,
};

/// Largest number of reports in a datagram; keeps it below the smallest usual packet size.
const REPORTS_MAX: usize = 80;

/// Longest time, in milliseconds, for which a response may say that its endpoint stays cold.
const COLD_MAX_MS: f64 = 3_600_000.0;

/// Limits of the request rate of one endpoint that are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LimitInForce {
    /// Limit that the endpoint named in its responses.
    pub(super) named: Option<Limit>,
    /// Requests per second that it tolerates because it is cold.
    pub(super) cold: Option<RequestRate>,
}

impl LimitInForce {
    /// Returns whether requests need a permit.
    pub(super) fn is_limited(self) -> bool {
        self.named.is_some() || self.cold.is_some()
    }

    /// Returns the lower one of the limits; `None` without one.
    pub(super) fn rate(self) -> Option<RequestRate> {
        let named = self.named.map(|l| l.rate);
        match (named, self.cold) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Returns the age of the limit that the endpoint named; zero if it named none.
    pub(super) fn age(self, now: Millis) -> Millis {
        self.named.map_or(Millis::ZERO, |l| now - l.at)
    }
}

/// Returns the limits of an endpoint that are in force.
pub(super) fn limit_in_force(ctx: &Context, id: &EndpointId) -> LimitInForce {
    LimitInForce {
        named: ctx.limits.borrow().get(id),
        cold: cold_rate(ctx, id),
    }
}

/// Returns how the endpoints of an endpoint's service start; `None` if the service does not limit cold ones.
fn cold_start(ctx: &Context, id: &EndpointId) -> Option<ColdStart> {
    let catalog = ctx.catalog.borrow();
    let catalog = catalog.as_ref().filter(|c| c.limits_cold())?;
    let table = ctx.endpoints.borrow();
    let e = table.get(id)?;
    catalog.services.get(&e.record.service)?.cold
}

/// Returns the requests per second that an endpoint tolerates because it is cold; `None` if it is not.
fn cold_rate(ctx: &Context, id: &EndpointId) -> Option<RequestRate> {
    let start = cold_start(ctx, id)?;
    let table = ctx.endpoints.borrow();
    let cold = ctx.cold.borrow().is_cold(table.get(id)?, ctx.now());
    cold.then_some(start.rate)
}

/// Records what a response tells of the time for which its endpoint stays cold.
pub(super) fn record_cold(ctx: &Context, id: &EndpointId, head: &Parts) {
    if cold_start(ctx, id).is_none() {
        return;
    }
    let left = match text(&head.headers, &ctx.headers.cold).map(|v| v.trim().parse::<f64>()) {
        Some(Ok(ms)) if ms >= 0.0 => Millis(ms.min(COLD_MAX_MS) as u64),
        None => return,
        Some(_) => {
            emit!(
                log_event::RECORD,
                "endpoint={id} reason=\"the cold time is no number of milliseconds\""
            );
            return;
        }
    };
    let now = ctx.now();
    if ctx.cold.borrow_mut().record(id.hash(), left, now) {
        emit!(log_event::COLD, "endpoint={id} cold={left} source=response");
    }
}

/// Takes an endpoint for cold at whose address nothing listens: its process has ended, and the next one is cold before its
/// record is read.
pub(super) fn note_refused(ctx: &Context, id: &EndpointId, error: &io::Error) {
    if error.kind() != io::ErrorKind::ConnectionRefused {
        return;
    }
    let Some(start) = cold_start(ctx, id) else {
        return;
    };
    let now = ctx.now();
    if ctx.cold.borrow_mut().record(id.hash(), start.time, now) {
        emit!(
            log_event::COLD,
            "endpoint={id} cold={} source=connection",
            start.time
        );
    }
}

/// Merges cold times that another entry reported.
pub(super) fn merge_cold(ctx: &Context, reports: &[ColdReport], waited: Millis) {
    let now = ctx.now();
    for report in reports {
        let report = ColdReport {
            age: report.age + waited,
            ..*report
        };
        if !ctx.cold.borrow_mut().merge(&report, now) {
            continue;
        }
        let table = ctx.endpoints.borrow();
        let known = table.iter().find(|e| e.id.hash() == report.endpoint);
        let endpoint = known.map_or("?", |e| &e.id.0);
        let (left, age) = (report.left, report.age);
        emit!(
            log_event::COLD,
            "endpoint={endpoint} cold={left} age={age} source=entry"
        );
    }
}

/// Tells other entries what responses told of cold times.
pub(super) async fn send_reports(ctx: &Context, socket: &UdpSocket, targets: &[SocketAddr]) {
    let reports = ctx.cold.borrow().reports(ctx.now());
    for part in reports.chunks(REPORTS_MAX) {
        let news = ColdNews {
            reports: part.to_vec(),
            rate: None,
        };
        send_to_all(socket, &(Message::Limits(Vec::new()), news), targets).await;
    }
}
