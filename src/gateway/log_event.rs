//! Numbered events of the gateway.

crate::events! {
    /// A request was answered.
    ENDED = 450, "gateway-request", Info,
        "a request was answered whole, refused or given up", "see its attempts and the reason";
    /// An attempt at an endpoint brought no usable response.
    ATTEMPT = 451, "gateway-attempt", Info,
        "an attempt at an endpoint brought no usable response", "look for the endpoint";
    /// A stream began, broke, was resumed or ended.
    STREAM = 452, "gateway-stream", Info,
        "a stream began, broke, was resumed or ended", "see the reason and its endpoints";
    /// A catalog is in force.
    CATALOG = 453, "gateway-catalog", Info,
        "a configuration is in force", "none";
    /// The operator named a version of weights.
    VERSION = 454, "gateway-version", Info,
        "a version of weights was named", "none";
    /// An endpoint came, changed or left.
    ENDPOINT = 455, "gateway-endpoint", Info,
        "an endpoint came, changed or left", "none";
    /// A record of the store cannot be used.
    RECORD = 456, "gateway-record", Warn,
        "a record of the store cannot be decoded and is ignored", "look for its writer";
    /// The store was lost or answers again.
    STORE = 457, "gateway-store", Warn,
        "the store stopped to answer or answers again", "check the store and the path to it";
    /// Another entry came or left.
    MEMBER = 458, "gateway-member", Info,
        "another entry came, left or fell silent", "look for that entry";
    /// This entry reads the store or relies on another one, or changes the one that it relies on.
    READER = 460, "gateway-reader", Info,
        "the entry reads the store itself or takes the endpoints from another one", "see the beats of the zone's entries";
    /// The process starts, drains or stops.
    PROCESS = 459, "gateway-process", Info,
        "the process starts, drains, reloads or stops", "none";
}
