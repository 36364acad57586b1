//! Logs, counts and records requests in flight whose connections ended before their responses were complete.

use super::{
    accept::Job,
    context::Context,
    ending::{Ending, Progress},
    endpoint_table::EndpointId,
    log_event,
    screen::record_end,
};
use crate::{decide::quarantine::Generation, emit};

/// Logs and counts a request in flight whose connection ended, and records what that says of the parts of its prompt.
/// `known` are the generations of the parts from the time at which the request was sent.
pub(super) fn note_dropped(
    ctx: &Context,
    job: &Job,
    endpoint: &EndpointId,
    known: &[Generation],
    progress: Progress,
    ending: Ending,
) {
    ctx.metrics.count_dropped(progress.name());
    let parts: Vec<_> = job.parts.iter().map(|p| p.part.to_string()).collect();
    emit!(
        log_event::DROPPED,
        "id={} endpoint={endpoint} progress={} ending={ending} parts={}",
        job.id(),
        progress.name(),
        parts.join(",")
    );
    record_end(ctx, job, endpoint, known, progress, ending);
}
