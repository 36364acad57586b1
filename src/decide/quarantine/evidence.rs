//! What processes tell each other of the ends of endpoints.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{part::PartKey, probe::ProbeProgress};

/// One end of one endpoint process: hash of the endpoint's id and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndId(pub u32);

impl fmt::Display for EndId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for EndId {
    type Err = ParseIntError;

    /// Parses hexadecimal digits.
    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        u32::from_str_radix(s, 16).map(Self)
    }
}

/// Position of an end in the causal order of the ends of one part: higher than those of all ends of the part that the
/// observing process knew, and no lower than its time of day in Unix milliseconds. Zero is before the first one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Generation {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}

/// How strongly an end points to a part that was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Strength {
    /// Nothing of the response had arrived; the request may have waited in the endpoint's queue.
    Weak,
    /// The response had begun, and no event of it had arrived.
    Strong,
}

/// An end of an endpoint while a part was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Which end it is.
    pub id: EndId,
    /// Position among the ends of the part.
    pub generation: Generation,
    /// Newest end of the part that was known when the request was sent.
    pub after: Generation,
    /// How strongly the end points to the part.
    pub strength: Strength,
}

/// What a process knows of a part, for other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PartKey,
    /// Newest end after which a request with the part was answered, or that another part explains; it and earlier ones
    /// no longer count.
    pub cleared: Generation,
    /// Newest ends after `cleared`.
    pub ends: Vec<End>,
    /// Whether requests with the part were answered before the ends.
    pub served: bool,
    /// Progress of the probes, if the part is quarantined.
    pub probes: Option<ProbeProgress>,
}
