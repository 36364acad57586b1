//! Numbered events of the agent.

crate::events! {
    /// The endpoint stopped or started to answer.
    ENDPOINT_SILENT = 500, "endpoint-silent", Error,
        "the endpoint does not answer; requests are refused", "check that the endpoint runs";
    /// The guard address is taken.
    GUARD_TAKEN = 501, "guard-taken", Error,
        "another process holds the guard address; the endpoint receives no commands",
        "end the earlier agent of this host or free the address";
    /// Weights could not be obtained.
    WEIGHTS_MISSING = 502, "weights-missing", Warn,
        "the version in the settings could not be obtained; the agent tries again", "check the weight store";
    /// A load command was not confirmed.
    LOAD_FAILED = 503, "load-failed", Error,
        "the endpoint did not confirm a load command; the agent tries again", "check the endpoint's log";
    /// A version was loaded.
    LOADED = 504, "loaded", Info,
        "the endpoint confirmed a version", "none";
    /// The lease could not be acquired or renewed.
    LEASE_WAIT = 505, "lease-wait", Warn,
        "the lease of the endpoint is not available", "check the log service and the earlier holder";
    /// An answer had another version than the request wants.
    VERSION_MIXED = 506, "version-mixed", Warn,
        "the endpoint changed or confirmed another version during an answer; the answer was ended as failed",
        "none, unless it happens outside of a rollout";
    /// Parts of another request's answer were dropped.
    ANSWER_CROSSED = 507, "answer-crossed", Warn,
        "the endpoint sent parts of another request's answer; they were dropped", "check the endpoint";
    /// An answer broke off and was resumed.
    ANSWER_RESUMED = 508, "answer-resumed", Warn,
        "an answer broke off and was resumed at the endpoint", "check the endpoint";
    /// A request was refused or ended without a whole answer.
    REQUEST_FAILED = 509, "request-failed", Info,
        "a request ended without a whole answer", "see the outcome in the text";
    /// A request was answered.
    REQUEST_DONE = 510, "request-done", Debug,
        "a request was answered", "none";
    /// The drain began or ended.
    DRAINING = 511, "draining", Info,
        "the agent takes no new work", "none";
    /// The claims stream cannot be followed.
    CLAIMS_BLOCKED = 512, "claims-blocked", Error,
        "the claims stream cannot be followed; non-repeatable requests are refused", "check the log service, update this process";
    /// Nothing is known of a claimed attempt that was sent.
    CLAIM_UNKNOWN = 513, "claim-unknown", Warn,
        "a non-repeatable request was sent to the endpoint and brought no answer", "check at the endpoint whether it ran";
    /// The credits end soon.
    CREDITS_END = 520, "credits-end", Warn,
        "the credits of the region end soon; its hosts drain by themselves",
        "nothing, or set `burst.ends` to the new end if the credits were extended";
    /// The host drains because the credits end.
    CREDITS_DRAIN = 521, "credits-drain", Warn,
        "the host began to drain because the credits of its region end", "none";
    /// Load made this host load the version.
    BURST_GREW = 522, "burst-grew", Info,
        "the hosts ranked before this one are loaded; this one loads the version too", "none";
    /// The copy in memory was given back.
    COPY_RELEASED = 523, "copy-released", Info,
        "the endpoint confirmed the version and this host is not a seed; the copy was dropped from memory", "none";
    /// The copy is fetched again.
    COPY_RESTORED = 524, "copy-restored", Info,
        "the host became a seed after it had dropped its copy and fetches it again", "none";
    /// Another agent answered a subscription.
    BURST_FOREIGN = 525, "burst-foreign", Warn,
        "another agent answers at the address of a watched one", "correct the settings file of one of them";
}
