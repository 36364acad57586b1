//! Logs, counts and records requests in flight whose connections ended before their responses were complete.

use super::{
    attempt::Target,
    context::Context,
    ending::{Ending, Progress},
    job::Job,
    log_event,
    screen::record_end,
};
use crate::emit;

/// Logs and counts a request in flight whose connection ended, and records what that says of the parts of its prompt.
pub(super) fn note_dropped(
    ctx: &Context,
    job: &Job,
    target: &Target,
    progress: Progress,
    ending: Ending,
) {
    let endpoint = &target.id;
    ctx.metrics.count_dropped(progress.name());
    let parts: Vec<_> = job.parts.iter().map(|p| p.part.to_string()).collect();
    emit!(
        log_event::DROPPED,
        "id={} endpoint={endpoint} progress={} ending={ending} parts={}",
        job.id(),
        progress.name(),
        parts.join(",")
    );
    record_end(ctx, job, target, progress, ending);
}
