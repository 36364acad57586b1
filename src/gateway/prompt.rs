//! Parts of a prompt, as a request's header lists them.

use std::{fmt, str::FromStr};

use crate::base::{rendezvous, HashSet};

/// Longest id in hexadecimal digits that a [`PartId`] holds as it is; longer ones are hashed.
const DIGITS_MAX: usize = 16;

/// Largest number of parts of one prompt that are considered.
const PARTS_MAX: usize = 64;

/// Id of a part of a prompt; requests whose prompts share the part share the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
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

/// Returns the parts of a prompt that other requests may share, each once, from the value of the header that lists all
/// parts: all but the last one, which is the request's own. Parts whose id is not hexadecimal are left out.
///
/// Of a prompt with more than 64 parts, a random selection is returned, so that no fixed position escapes notice.
pub fn shared_parts(list: &str) -> Vec<PartId> {
    let Some((shared, _own)) = list.rsplit_once(',') else {
        return Vec::new();
    };
    let ids = shared.split(',').filter_map(|part| {
        let id = part.split_once(':').map_or(part, |(id, _)| id);
        id.trim().parse::<PartId>().ok()
    });
    let mut seen = HashSet::default();
    let mut parts: Vec<_> = ids.filter(|id| seen.insert(*id)).collect();
    if parts.len() > PARTS_MAX {
        fastrand::shuffle(&mut parts);
        parts.truncate(PARTS_MAX);
    }
    parts
}
