//! Logs requests that are dropped before their response is whole.

use super::{context::Context, job::Job, log_event};
use crate::emit;

/// Logs a request that is dropped, with the time that its deadline left and the last event that its caller got.
pub(super) fn log_abandoned(ctx: &Context, job: &Job, progress: &str) {
    let now = ctx.now();
    let reason = if ctx.ended.get() {
        "process-end"
    } else {
        "caller-left"
    };
    emit!(
        log_event::ABANDONED,
        "id={} route={} service={} progress={progress} ms={} left={} reason={reason}",
        job.id(),
        job.route.name,
        job.service,
        (now - job.start).0,
        (job.deadline - now).0
    );
}

/// A request whose response has not begun. Dropped without [`Awaited::begun`], it is logged as abandoned.
pub(super) struct Awaited<'a> {
    ctx: &'a Context,
    job: &'a Job,
    begun: bool,
}

impl<'a> Awaited<'a> {
    pub(super) fn new(ctx: &'a Context, job: &'a Job) -> Self {
        Self {
            ctx,
            job,
            begun: false,
        }
    }

    /// Records that the response of the request begins.
    pub(super) fn begun(mut self) {
        self.begun = true;
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        if !self.begun {
            log_abandoned(self.ctx, self.job, "waiting");
        }
    }
}
