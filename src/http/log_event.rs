//! Numbered log events of HTTP connections.

crate::events! {
    /// An accepted connection ended with an error, or with bytes behind the last request that was read.
    CONNECTION = 700, "http-connection", Info,
        "an accepted connection ended with an error, or with bytes behind the last request that was read",
        "compare `requests` and `answers`: what is missing was read and not answered; see the reason";
    /// A caller's connection was shed or not accepted, because the memory or the connections for callers are used up.
    SHED = 701, "http-shed", Info,
        "a caller's connection was shed or refused, because the memory or the connections for callers are used up",
        "look for callers that do not finish their requests; compare the memory and the descriptors in the settings with the host's";
}
