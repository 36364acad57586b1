//! Rate of requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::UnitError;

/// Thousandths in one request.
const PARTS: f64 = 1000.0;

/// A rate of requests, in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate(pub u32);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / PARTS)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    /// Parses a decimal number of requests per second; what is below a thousandth is cut off.
    fn from_str(s: &str) -> Result<Self, UnitError> {
        let expected = "requests per second as a decimal number such as `2.4`";
        let rate: f64 = s.trim().parse().map_err(|_| UnitError::new(s, expected))?;
        // Decimal numbers such as 2.3 have no exact binary form; the margin keeps them from losing a thousandth.
        let parts = (rate * PARTS + 1e-6).floor();
        if !(0.0..=f64::from(u32::MAX)).contains(&parts) || rate < 0.0 {
            return Err(UnitError::new(s, expected));
        }
        Ok(Self(parts as u32))
    }
}
