//! Admission control: concurrency and rate limits of each workspace, fairness between workspaces, and deadlines.
//!
//! A [`Limiter`] decides for one service at one entry. A request is admitted at once if its workspace is within its
//! share and the service has room; otherwise it waits in the queue of its workspace, at most for `limit.wait` and never
//! past its deadline. It is rejected at once if the queue and the measured durations of requests show that it would
//! wait longer. A request whose wait has ended leaves the queue and is never admitted.
//!
//! When the service has no room, queues are served by start-time fair queueing: each workspace has a virtual time that
//! advances by the inverse of its weight with each admitted request, and the workspace with the lowest virtual time is
//! next. A workspace that offers at least its share gets `weight / sum of weights` of the admissions.
//!
//! Status checks (repeatable requests of plain services) that would wait or be rejected use a reserve of their own
//! ([`STATUS_RESERVE`] for each workspace), so that they are admitted while other requests queue.
//!
//! # Limits over all entries of a region
//!
//! The limits of a workspace hold for a region, so each entry uses a share ([`share`]). For each workspace the first
//! live entry by rendezvous hash is the coordinator: entries with demand report it and are granted a share by max-min
//! fairness; the coordinator never grants more than the limit. An entry without a valid grant, at its start or while
//! the coordinator cannot be reached, uses an equal share of the limit, and at least one request at once.
//!
//! Worst overshoot: while a coordinator changes, entries may hold grants of both, or a grant beside the equal shares of
//! others, so that up to twice the limit (plus one request for each entry, if there are more entries than the limit
//! allows requests) is admitted for at most the lifetime of a grant, 3 report intervals; for as long as the entries of
//! one region are partitioned from each other, each part may use the whole limit.

mod limiter;
pub mod share;

pub use limiter::{
    AdmissionRequest, Class, Limiter, Reason, Ticket, Verdict, QUEUE_MAX, STATUS_RESERVE,
};
