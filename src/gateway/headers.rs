//! Names of the HTTP headers that callers, entries and endpoints exchange.

use hyper::header::{AsHeaderName, HeaderMap, HeaderName};

/// Returns the value of a header as text; `None` if it is absent or not printable ASCII.
pub(super) fn text(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Header names; [`Default`] gives this project's own, and a platform may use others.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id that the caller gives each request, also each retry; endpoints echo it in responses.
    pub request_id: HeaderName,
    /// Milliseconds until the caller stops waiting; entries set the remaining time for the endpoint.
    pub deadline: HeaderName,
    /// Key that identifies the caller's workspace; entries remove it.
    pub key: HeaderName,
    /// Name of the workspace, set by the entry.
    pub workspace: HeaderName,
    /// Id of the only endpoint that may run the request, set by the entry.
    pub instance: HeaderName,
    /// The only version of the weights that may run the request, set by the entry.
    pub version: HeaderName,
    /// Urgency of the request at the endpoint, 0 to 9, set by the entry; 0 runs first.
    pub priority: HeaderName,
    /// Present in a response if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Proof that the response comes from the endpoint; each successful response has it.
    pub proof: HeaderName,
    /// Present in a response if the endpoint is draining.
    pub leaving: HeaderName,
    /// Requests per second that the endpoint takes from all entries together; present in each response while the
    /// endpoint limits them.
    pub limit: HeaderName,
    /// Milliseconds for which the endpoint stays cold.
    pub cold: HeaderName,
    /// Load that the endpoint reports in a response: running requests, waiting requests, slots.
    pub load: HeaderName,
    /// Version of the weights that produced a response.
    pub versions: HeaderName,
    /// Model that the request asks for.
    pub model: HeaderName,
    /// Number of prompt tokens and largest number of output tokens, separated by a comma.
    pub tokens: HeaderName,
    /// Parts of the prompt in order, as comma-separated `ID:TOKENS`, with ids in hexadecimal. Requests share parts; the
    /// last part is the request's own.
    pub parts: HeaderName,
    /// Number of output tokens that the caller expects.
    pub hint: HeaderName,
    /// Id of the last event that the caller has of the stream that it resumes.
    pub last_event: HeaderName,
}

impl Default for Headers {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("x-request-id"),
            deadline: name("x-deadline-ms"),
            key: name("x-workspace-key"),
            workspace: name("x-workspace"),
            instance: name("x-expect-endpoint"),
            version: name("x-expect-version"),
            priority: name("x-priority"),
            not_run: name("x-not-run"),
            proof: name("x-endpoint-proof"),
            leaving: name("x-endpoint-leaving"),
            limit: name("x-endpoint-limit"),
            cold: name("x-endpoint-cold-ms"),
            load: name("x-endpoint-load"),
            versions: name("x-weight-version"),
            model: name("x-model"),
            tokens: name("x-tokens"),
            parts: name("x-prompt-parts"),
            hint: name("x-length-hint"),
            last_event: name("last-event-id"),
        }
    }
}
