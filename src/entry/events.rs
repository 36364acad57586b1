//! Numbered events of the entry.

crate::events! {
    /// A request arrived.
    RECEIVED = 400, "request-received", Debug,
        "a caller sent a request", "none";
    /// A request passed admission.
    ADMITTED = 401, "request-admitted", Debug,
        "a request passed admission", "none";
    /// A request was sent to an agent.
    ROUTED = 402, "request-routed", Debug,
        "a request was sent to an agent", "none";
    /// The answer began.
    FIRST_BYTE = 403, "request-first-byte", Debug,
        "the first part of an answer arrived", "none";
    /// The answer is whole.
    ENDED = 404, "request-ended", Debug,
        "a request was answered whole", "none";
    /// A request ended without an answer.
    REFUSED = 405, "request-refused", Debug,
        "a request ended with a typed outcome instead of an answer", "follow the remedy in the outcome";
    /// A request is tried again.
    RETRIED = 406, "request-retried", Debug,
        "an attempt failed and the request is tried on another agent", "look for the failing agent in the timeline";
    /// The callers' address cannot be served.
    CALLERS_FAILED = 407, "callers-failed", Error,
        "the callers' HTTP server ended", "check `callers` in the process settings";
    /// A workspace has no keys.
    WORKSPACE_OPEN = 408, "workspace-open", Warn,
        "a workspace accepts requests without a key", "publish `access.keys` for the workspace";
    /// An attempt is settled.
    SETTLED = 409, "attempt-settled", Info,
        "the fate of an attempt whose agent was lost was asked from another agent", "look for the lost agent";
    /// The entry drains.
    DRAINING = 410, "entry-draining", Info,
        "the entry takes no new requests and ends those in progress", "none";
    /// Nothing is in progress any more.
    DRAINED = 411, "entry-drained", Info,
        "all requests of a draining entry have ended", "none";
    /// A stream continues on another agent.
    RESUMED = 412, "request-resumed", Info,
        "a broken stream continues on another agent of the same version", "look for the failing agent in the timeline";
    /// A peer answers under another name.
    REPORT_FOREIGN = 300, "report-foreign", Warn,
        "another process answers at the address of an agent", "check the peer addresses in the process settings";
}
