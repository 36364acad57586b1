//! Numbered log events of the agent that stages weights.

crate::events! {
    /// The agent started, received SIGHUP or is stopping, or a copy of a version changed its state.
    COPY = 650, "staging-copy", Info,
        "the agent started or is stopping, or a copy of weights began, was compared with that of a newer version, was superseded, restarted or is complete; an older version was preferred because the endpoint has nothing loaded, or its chunks were dropped from memory", "none";
    /// A chunk was not received or staged, or a staged chunk no longer matches its digest.
    CHUNK = 651, "staging-chunk", Info,
        "a chunk is corrupt or missing, or was not received or staged", "check the source of the chunk";
    /// A load at the endpoint was scheduled, ordered or completed, or not ordered because of its chunks.
    LOAD = 652, "staging-load", Info,
        "a load was scheduled, ordered from the endpoint or completed, or not ordered because chunks are corrupt or their checks take too long",
        "see the response of the endpoint, or the reason";
    /// The endpoint stopped or resumed responding, restarted, or reports another state.
    ENDPOINT = 653, "staging-endpoint", Info,
        "the endpoint on this host stopped or resumed responding, restarted or changed its state", "check the endpoint";
    /// A version of weights became the desired one.
    DESIRED = 654, "staging-version", Info,
        "a version of weights became the desired one", "none";
    /// A record of the operator's topic cannot be decoded.
    RECORD = 655, "staging-record", Warn,
        "a record of the store cannot be decoded and is ignored", "check the writer of the record";
    /// The entry that serves this agent's assignment stopped responding, or another entry took its place.
    ENTRY = 657, "staging-entry", Info,
        "an entry does not respond to a request for the agent's assignment, or another entry does", "check that entry";
    /// A request for a manifest or chunk failed at the origin of weights, or its manifest is in doubt.
    ORIGIN = 656, "staging-origin", Warn,
        "the origin of weights does not respond, rejects a request, or sends a manifest that is in doubt", "check the origin, and the configuration if the manifest is confirmed";
}
