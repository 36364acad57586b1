//! Numbered events of staging.

crate::events! {
    /// A copy of a version began, made progress or is complete.
    COPY = 650, "staging-copy", Info,
        "a copy of weights began or is complete", "none";
    /// A chunk is spoilt or failed to arrive.
    CHUNK = 651, "staging-chunk", Info,
        "a chunk is spoilt, missing or did not arrive", "look for its source";
    /// The endpoint was ordered to load, or loaded.
    LOAD = 652, "staging-load", Info,
        "the endpoint was ordered to load a version or has loaded it", "see the answer of the endpoint";
    /// The endpoint was lost or answers again, or has restarted.
    ENDPOINT = 653, "staging-endpoint", Info,
        "the endpoint on this host was lost, answers again or has restarted", "look for the endpoint";
    /// The operator named a version.
    NAMED = 654, "staging-version", Info,
        "a version of weights was named", "none";
    /// A record cannot be used.
    RECORD = 655, "staging-record", Warn,
        "a record of the store cannot be decoded and is ignored", "look for its writer";
    /// An entry does not answer, or another one does.
    ENTRY = 657, "staging-entry", Info,
        "an entry that tells the agent its work does not answer, or the next one does", "look for that entry";
    /// The origin does not answer.
    ORIGIN = 656, "staging-origin", Warn,
        "the origin of weights does not answer or refuses", "check the origin";
}
