//! Requests that count as in progress until they are dropped: at an endpoint, and of a caller.

use std::rc::Rc;

use super::{
    context::Context, endpoint_table::EndpointId, load_view::Outcome, record::Incarnation,
    spill::Traffic,
};
use crate::decide::memory::Tokens;

/// A request in flight at an endpoint. Dropped without [`InFlight::end`], it counts as abandoned.
#[derive(Debug)]
pub(super) struct InFlight {
    ctx: Rc<Context>,
    id: EndpointId,
    run: Incarnation,
    outcome: Outcome,
    /// Prompt tokens that the endpoint has yet to read.
    prompt: u32,
    /// Prompt and largest output.
    tokens: Tokens,
    pub(super) traffic: Traffic,
}

impl InFlight {
    /// Counts a request that is sent to a run of an endpoint; `prompt` is its length in tokens, `tokens` that with its largest
    /// output.
    pub(super) fn begin(
        ctx: &Rc<Context>,
        id: EndpointId,
        run: Incarnation,
        prompt: u32,
        tokens: Tokens,
    ) -> Self {
        {
            let mut balancer = ctx.balancer.borrow_mut();
            balancer.begin(&id, prompt, ctx.now());
            balancer.begin_tokens(&id, tokens);
        }
        Self {
            ctx: ctx.clone(),
            id,
            run,
            outcome: Outcome::Abandoned,
            prompt,
            tokens,
            traffic: Traffic::default(),
        }
    }

    /// Records that the endpoint has read the prompt.
    pub(super) fn prompt_read(&mut self) {
        let prompt = std::mem::take(&mut self.prompt);
        let mut balance = self.ctx.balancer.borrow_mut();
        balance.prompt_read(&self.id, prompt);
    }

    /// Records whether the endpoint has been silent for long; a request that is dropped then counts as failed.
    pub(super) fn set_silent(&mut self, silent: bool) {
        self.outcome = if silent {
            Outcome::Failed
        } else {
            Outcome::Abandoned
        };
    }

    /// Ends the request with its outcome at the endpoint.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_read();
        self.ctx
            .balancer
            .borrow_mut()
            .end_tokens(&self.id, self.tokens);
        self.ctx.count_traffic(&self.id, self.traffic);
        self.ctx.end(&self.id, self.run, self.outcome);
    }
}

/// A caller's request in progress; counted until it is dropped.
#[derive(Debug)]
pub(super) struct Running(Rc<Context>);

impl Running {
    pub(super) fn begin(ctx: &Rc<Context>) -> Self {
        ctx.running.set(ctx.running.get() + 1);
        Self(ctx.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
