//! Ids and records of endpoints for tests of the endpoint table.

use sesamewing::{
    base::Millis,
    gateway::{EndpointId, EndpointRecord, Revision},
};

pub(crate) fn id(text: &str) -> EndpointId {
    text.parse().expect("any text is an id")
}

/// Returns the record of an endpoint without weights.
pub(crate) fn record(born: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        service: "llm".parse().expect("a valid name"),
        addr: "10.0.0.1:80".parse().expect("a valid address"),
        zone: "a".parse().expect("a valid name"),
        slots: 4,
        draining: false,
        cold: Millis::ZERO,
        models: Vec::new(),
        revision: Revision { born, sequence },
    }
}
