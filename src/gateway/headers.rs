//! Names of the headers between callers, entries and endpoints.

use hyper::header::{AsHeaderName, HeaderMap, HeaderName};

/// Returns the value of a header as text.
pub(super) fn text(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Header names; [`Default`] has the project's own.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of one attempt of the caller; endpoints echo it.
    pub request_id: HeaderName,
    /// Milliseconds until the caller stops to wait.
    pub deadline: HeaderName,
    /// Key of the caller's workspace.
    pub key: HeaderName,
    /// Name of the workspace, set for the endpoint.
    pub workspace: HeaderName,
    /// Id of the endpoint that alone may run the request.
    pub instance: HeaderName,
    /// Version of the weights that alone may run the request.
    pub version: HeaderName,
    /// Urgency at the endpoint, 0 to 9; 0 is first.
    pub priority: HeaderName,
    /// Marks a response of an endpoint that did not run the request.
    pub not_run: HeaderName,
    /// Proof that an endpoint made the response.
    pub proof: HeaderName,
    /// Marks a response of an endpoint that leaves.
    pub leaving: HeaderName,
    /// Load of the endpoint: running, waiting, slots.
    pub load: HeaderName,
    /// Version of the weights of a response.
    pub versions: HeaderName,
    /// Model that a request is for.
    pub model: HeaderName,
    /// Prompt tokens and most output tokens.
    pub tokens: HeaderName,
    /// Output tokens that the caller expects.
    pub hint: HeaderName,
    /// Last event of a stream that the caller has.
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
            load: name("x-endpoint-load"),
            versions: name("x-weight-version"),
            model: name("x-model"),
            tokens: name("x-tokens"),
            hint: name("x-length-hint"),
            last_event: name("last-event-id"),
        }
    }
}
