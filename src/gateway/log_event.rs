//! Numbered log events of the gateway.

crate::events! {
    /// A request ended without a stream: with an endpoint's response or one of this entry.
    ENDED = 450, "gateway-request", Info,
        "a request ended with a complete response, a rejection or a timeout", "see its attempts and the reason";
    /// An attempt at an endpoint ended without a usable response.
    ATTEMPT = 451, "gateway-attempt", Info,
        "an attempt at an endpoint ended without a usable response", "check the endpoint";
    /// A stream sent its first event, broke, was resumed or ended.
    STREAM = 452, "gateway-stream", Info,
        "a stream sent its first event, broke, was resumed or ended", "see the reason and its endpoints";
    /// A catalog was received from the store or another entry.
    CATALOG = 453, "gateway-catalog", Info,
        "a configuration was received and, unless a newer one is in force, applied", "none";
    /// A version of a model's weights became the desired one.
    VERSION = 454, "gateway-version", Info,
        "a version of weights became the desired one", "none";
    /// An endpoint was added, changed, paused or removed, or drains.
    ENDPOINT = 455, "gateway-endpoint", Info,
        "an endpoint was added, changed, paused or removed, or drains", "none";
    /// A record, datagram or reply of another process cannot be decoded and is ignored.
    RECORD = 456, "gateway-record", Warn,
        "a record of the store or data of another process cannot be decoded and is ignored", "check the process that wrote it";
    /// The store stopped responding, responds again, or no longer keeps the records to read next.
    STORE = 457, "gateway-store", Warn,
        "the store stopped responding or responds again", "check the store and the network path to it";
    /// Another entry became live, changed its readiness or did not serve its endpoint table.
    MEMBER = 458, "gateway-member", Info,
        "another entry became live, changed its readiness or did not serve its endpoint table", "check that entry";
    /// This entry begins or stops reading the store, or gets the endpoint table from another entry.
    READER = 460, "gateway-reader", Info,
        "the entry reads the store itself or gets the endpoint table from another one", "check the heartbeats of the zone's entries";
    /// An endpoint's limit of its request rate was named, changed or withdrawn.
    LIMIT = 461, "gateway-limit", Info,
        "an endpoint named, changed or withdrew the limit of its request rate", "check the load of the endpoint";
    /// A request was sent to an endpoint that limits its request rate.
    LIMITED = 462, "gateway-limited", Info,
        "a request was sent to an endpoint that limits its request rate", "none";
    /// An endpoint with a limit of its request rate gets no request of this entry for some time.
    DENIED = 463, "gateway-denied", Info,
        "no permit for a request to an endpoint that limits its request rate; the endpoint is skipped for a while", "check the load of the endpoint";
    /// The connection of a request in flight ended without a complete response.
    DROPPED = 464, "gateway-dropped", Info,
        "the connection of a request in flight ended without a complete response", "compare the parts of the prompts that were in flight at several ends of endpoints";
    /// A part of prompts was quarantined or released.
    QUARANTINE = 465, "gateway-quarantine", Warn,
        "a part of prompts was quarantined because endpoints ended with it in flight, or released", "look for the requests with the part among the gateway-dropped lines";
    /// A request with a quarantined part was rejected, or asked to be a probe.
    SCREENED = 466, "gateway-screened", Info,
        "a request with a quarantined part was rejected, or permission was asked to send it as a probe", "see the gateway-quarantine line of the part";
    /// A request ended without a whole response because its caller left or the process ended.
    ABANDONED = 467, "gateway-abandoned", Info,
        "a request ended without a whole response because its caller left or the process ended", "for reason=process-end, compare its deadline with the grace period";
    /// The wait for a response ended of a request at an endpoint with superseded weights.
    SUPERSEDED = 468, "gateway-superseded", Info,
        "a request to an endpoint with superseded weights began there or did not", "compare `sent` and `begun`, the times left until it had to begin";
    /// A request was rejected while slots were kept free for more urgent ones.
    RESERVED = 478, "gateway-reserved", Info,
        "a request was rejected while slots of engines were kept free for more urgent ones", "check the load of the service, and the priorities of its routes and workspaces";
    /// A rejected caller was told that its request is not expected to be served within its deadline.
    TOO_LATE = 486, "gateway-too-late", Info,
        "a rejected request is not expected to be served within its deadline, so that its caller was told to return later than that", "check the load of the service's engines";
    /// A request that can't meet its latency objective any more was sent with the lowest urgency.
    LATE = 488, "gateway-late", Info,
        "a request that can't meet its latency objective any more was sent with the lowest urgency, because slots are scarce", "check the load of the service's engines";
    /// A request was rejected while endpoints had too little memory for it.
    MEMORY = 490, "gateway-memory", Info,
        "a request was rejected while endpoints had too little memory for its prompt and its largest output", "check the load of the service's engines, and engine.kv_capacity_tokens in the configuration";
    /// A zone was evacuated or put back into service, as the operator's record says.
    EVACUATION = 472, "gateway-evacuation", Info,
        "a zone was evacuated, so that its endpoints get no requests, or put back into service", "for endpoints=0 check the name of the zone in the operator's record; for change=Ignored remove records of zones that don't exist";
    /// The store was restored from an older copy.
    RESTORED = 480, "gateway-restored", Warn,
        "the store was restored from an older copy; all topics are read again", "check that the operator's records and those of the endpoints are rewritten";
    /// Requests of a route or a workspace can be served in no region.
    RESIDENCY = 476, "gateway-residency", Warn,
        "no endpoint may serve the requests of a route or a workspace, because of the regions that it allows", "correct allowed_regions in the configuration, or the zones in the settings";
    /// An endpoint is cold or has warmed up, as a response told.
    COLD = 474, "gateway-cold", Info,
        "a response told that its endpoint is cold or has warmed up", "none";
    /// The share of requests that may go to another zone changed.
    SPILL = 482, "gateway-spill", Info,
        "the share of a service's requests that may go to another zone changed", "if it lasts, add endpoints in the zone of the entry";
    /// An endpoint began to count as slow, or no longer does.
    SPEED = 494, "gateway-speed", Info,
        "work takes longer than usual at an endpoint for tens of seconds, or no longer does", "for state=slow check the host of the endpoint";
    /// The process starts, drains, reloads its settings or stops.
    PROCESS = 459, "gateway-process", Info,
        "the process starts, drains, reloads or stops", "none";
}
