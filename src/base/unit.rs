//! Sizes, rates and shares with their text forms.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A quantity whose text has the wrong unit, form or range.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
#[error("`{text}` is not valid; use {expected}")]
pub struct UnitError {
    text: String,
    expected: &'static str,
}

impl UnitError {
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.chars().take(64).collect(),
            expected,
        }
    }
}

/// Splits a quantity into its whole number and its unit.
pub(crate) fn split(s: &str) -> Result<(u64, &str), UnitError> {
    let end = s.find(|c: char| !c.is_ascii_digit()).unwrap_or(s.len());
    let number = s[..end]
        .parse()
        .map_err(|_| UnitError::new(s, "a whole number and a unit"))?;
    Ok((number, s[end..].trim_start()))
}

/// A size in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Size(pub u64);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % 1_000_000_000 == 0 => write!(f, "{}GB", n / 1_000_000_000),
            n if n > 0 && n % 1_000_000 == 0 => write!(f, "{}MB", n / 1_000_000),
            n if n > 0 && n % 1024 == 0 => write!(f, "{}KiB", n / 1024),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for Size {
    type Err = UnitError;

    /// Parses a whole number with unit `B`, `kB`, `KiB`, `MB`, `MiB`, `GB` or `GiB`.
    fn from_str(s: &str) -> Result<Self, UnitError> {
        let (number, unit) = split(s)?;
        let factor = match unit {
            "B" => 1,
            "kB" => 1000,
            "KiB" => 1 << 10,
            "MB" => 1_000_000,
            "MiB" => 1 << 20,
            "GB" => 1_000_000_000,
            "GiB" => 1 << 30,
            _ => {
                return Err(UnitError::new(
                    s,
                    "a size such as `64KiB`, `512MB` or `4GiB`",
                ))
            }
        };
        number
            .checked_mul(factor)
            .map(Self)
            .ok_or_else(|| UnitError::new(s, "a size below 2^64 bytes"))
    }
}

/// A data rate in bytes a second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(pub u64);

impl Rate {
    /// Returns a share of this rate.
    pub fn share(self, p: Percent) -> Self {
        Self((u128::from(self.0) * u128::from(p.0) / 100) as u64)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bits = self.0.saturating_mul(8);
        match bits {
            b if b > 0 && b % 1_000_000_000 == 0 => write!(f, "{}Gbit/s", b / 1_000_000_000),
            b if b > 0 && b % 1_000_000 == 0 => write!(f, "{}Mbit/s", b / 1_000_000),
            b if b > 0 && b % 1000 == 0 => write!(f, "{}kbit/s", b / 1000),
            _ => write!(f, "{}B/s", self.0),
        }
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    /// Parses a whole number with unit `B/s`, `kB/s`, `MB/s`, `kbit/s`, `Mbit/s` or `Gbit/s`.
    fn from_str(s: &str) -> Result<Self, UnitError> {
        let (number, unit) = split(s)?;
        let factor = match unit {
            "B/s" => 1,
            "kB/s" => 1000,
            "MB/s" => 1_000_000,
            "kbit/s" => 125,
            "Mbit/s" => 125_000,
            "Gbit/s" => 125_000_000,
            _ => return Err(UnitError::new(s, "a rate such as `20Mbit/s` or `4MB/s`")),
        };
        number
            .checked_mul(factor)
            .map(Self)
            .ok_or_else(|| UnitError::new(s, "a rate below 2^64 bytes a second"))
    }
}

/// A share in whole percent, 0 to 100.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Percent(pub u8);

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = UnitError;

    /// Parses a whole number from 0 to 100 followed by `%`.
    fn from_str(s: &str) -> Result<Self, UnitError> {
        match split(s)? {
            (n @ 0..=100, "%") => Ok(Self(n as u8)),
            _ => Err(UnitError::new(s, "a share from `0%` to `100%`")),
        }
    }
}
