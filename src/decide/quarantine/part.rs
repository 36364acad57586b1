//! Ids of the parts of prompts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::base::{rendezvous, Service};

/// Longest id in hexadecimal digits that a [`PartId`] holds as it is; longer ones are hashed.
const DIGITS_MAX: usize = 16;

/// Id of a part of a prompt; requests whose prompts share the part share the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// A text that is not the id of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the id of a prompt's part is not hexadecimal; send `ID:TOKENS` with an ID in hexadecimal digits")]
pub struct PartIdError;

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = PartIdError;

    /// Parses hexadecimal digits; leading zeros and the case of letters make no difference.
    fn from_str(s: &str) -> Result<Self, PartIdError> {
        if s.is_empty() || !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(PartIdError);
        }
        let digits = s.trim_start_matches('0');
        if digits.len() > DIGITS_MAX {
            let digits = digits.to_ascii_lowercase();
            return Ok(Self(rendezvous(b"part", digits.as_bytes())));
        }
        Ok(Self(u64::from_str_radix(digits, 16).unwrap_or(0)))
    }
}

/// A part of prompts at the endpoints of one service. A part that ends the endpoints of one service may be harmless at
/// those of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    /// Hash of the service's name.
    pub service: u32,
    /// Id of the part.
    pub part: PartId,
}

impl PartKey {
    /// Creates the key of a part at a service's endpoints.
    pub fn new(service: &Service, part: PartId) -> Self {
        Self {
            service: rendezvous(b"service", service.as_str().as_bytes()) as u32,
            part,
        }
    }

    /// Returns a number that spreads keys evenly, for the choice of the process that grants probes of the part.
    pub fn rank(self) -> u32 {
        rendezvous(&self.service.to_le_bytes(), &self.part.0.to_le_bytes()) as u32
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:08x}", self.part, self.service)
    }
}

impl FromStr for PartKey {
    type Err = PartIdError;

    /// Parses the id of a part, `@`, and the hash of a service's name, both in hexadecimal.
    fn from_str(s: &str) -> Result<Self, PartIdError> {
        let (part, service) = s.split_once('@').ok_or(PartIdError)?;
        let service = u32::from_str_radix(service, 16).map_err(|_| PartIdError)?;
        let part = part.parse()?;
        Ok(Self { service, part })
    }
}
