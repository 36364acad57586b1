//! Cold time that the record of an endpoint names.

use super::record::EndpointRecord;
use crate::base::Millis;

/// Cold time that an endpoint's record names.
#[derive(Clone, Copy, Debug)]
pub struct ColdTime {
    /// Time at which this entry learned the record.
    pub learned: Millis,
    /// Latest time at which the endpoint has warmed up.
    pub until: Millis,
}

impl ColdTime {
    pub(super) fn new(record: &EndpointRecord, now: Millis) -> Self {
        Self {
            learned: now,
            until: now + record.cold,
        }
    }
}
