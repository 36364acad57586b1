//! One run of a claimed request.

use bytes::BytesMut;

use crate::{
    base::{Clock, Millis, RequestId},
    decide::claim::RunResult,
    endpoint::{Endpoint, EndpointError, Part, Run},
    wire::RunRequest,
};

/// Largest answer to a claimed request, in bytes.
const BODY_MAX: usize = 16 << 20;

/// Sends a request to the endpoint exactly once and collects the answer.
pub(super) async fn once<E: Endpoint, C: Clock>(
    endpoint: E,
    clock: C,
    req: RunRequest,
    deadline: Millis,
) -> RunResult {
    match collect(&endpoint, &clock, &req, deadline).await {
        Ok(end) => end,
        Err(e) if e.is_unsent() => RunResult::NotSent,
        Err(_) => RunResult::Unknown,
    }
}

async fn collect<E: Endpoint, C: Clock>(
    endpoint: &E,
    clock: &C,
    req: &RunRequest,
    deadline: Millis,
) -> Result<RunResult, EndpointError> {
    let foreign = |id: Option<RequestId>| id.is_some_and(|id| id != req.id);
    let mut run = endpoint.run(req, deadline - clock.now()).await?;
    let head = run.head().clone();
    if foreign(head.id) {
        return Ok(RunResult::Unknown);
    }
    let mut body = BytesMut::new();
    loop {
        // Once the head is here, no error means that the request did not run.
        match run.next(deadline - clock.now()).await {
            Ok(Part::Data { id, .. } | Part::End { id, .. }) if foreign(id) => {}
            Ok(Part::Data { data, .. }) if body.len() + data.len() <= BODY_MAX => {
                body.extend_from_slice(&data);
            }
            Ok(Part::End { .. }) => break,
            Ok(Part::Data { .. }) | Err(_) => return Ok(RunResult::Unknown),
        }
    }
    Ok(RunResult::Responded {
        status: head.status,
        media: head.media,
        body: body.freeze(),
    })
}
