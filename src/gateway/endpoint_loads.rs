//! Loads of endpoints that entries report to each other in fleets in which a datagram does not reach all others.

use serde::{Deserialize, Serialize};

use super::endpoint_table::EndpointHash;
use crate::base::Millis;

/// Milliseconds in a unit of a reported age, so that the ages that matter fit in a byte.
const AGE_UNIT: u64 = 16;

/// A usual time of work in the reported speed, so that 0.1 to 3.98 times the usual time fits in a byte.
const USUAL_TIME: f64 = 64.0;

/// Load of an endpoint as an entry knows it: 7 bytes in a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    endpoint: [u8; 4],
    total: u8,
    age: u8,
    time: u8,
}

impl EndpointLoad {
    /// Creates a report: requests that the endpoint runs or keeps waiting, the time since it reported them, and the time
    /// that work takes there for long, as a multiple of the usual one. Values beyond what fits are reported as the largest
    /// that does.
    pub fn new(endpoint: EndpointHash, total: u32, age: Millis, time: Option<f64>) -> Self {
        Self {
            endpoint: endpoint.0.to_le_bytes(),
            total: u8::try_from(total).unwrap_or(u8::MAX),
            age: u8::try_from(age.0.div_ceil(AGE_UNIT)).unwrap_or(u8::MAX),
            time: time.map_or(0, |t| (t * USUAL_TIME).round().clamp(1.0, 255.0) as u8),
        }
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> EndpointHash {
        EndpointHash(u32::from_le_bytes(self.endpoint))
    }

    /// Returns the requests that the endpoint runs or keeps waiting.
    pub fn total(&self) -> u32 {
        u32::from(self.total)
    }

    /// Returns the time since the endpoint reported them.
    pub fn age(&self) -> Millis {
        Millis(u64::from(self.age) * AGE_UNIT)
    }

    /// Returns the time that work takes at the endpoint for long, as a multiple of the usual one; `None` if it is unknown.
    pub fn time(&self) -> Option<f64> {
        (self.time > 0).then(|| f64::from(self.time) / USUAL_TIME)
    }
}

/// Loads of endpoints that the sender of a datagram owns, or whose responses told it lately.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoads(pub Vec<EndpointLoad>);

impl EndpointLoads {
    /// Number of endpoints in a datagram up to which those that the sender doesn't own are added. Four take 1.9 KB/s at four
    /// datagrams a second to 15 entries.
    pub const MIN: usize = 4;

    /// Largest number of endpoints in a datagram; keeps it below the smallest usual packet size.
    pub const MAX: usize = 32;
}
