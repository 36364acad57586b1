//! Numbered log events of HTTP connections.

crate::events! {
    /// An accepted connection ended with an error, or with bytes behind the last request that was read.
    CONNECTION = 700, "http-connection", Info,
        "an accepted connection ended with an error, or with bytes behind the last request that was read",
        "compare `requests` and `answers`: what is missing was read and not answered; see the reason";
}
