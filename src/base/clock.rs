//! The project's clock type: milliseconds as a point in time or a duration.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use super::UnitError;

/// A point in time or a duration, in milliseconds.
///
/// Points in time are relative to the start of the [`Clock`] that produced them, and are comparable only with points of
/// the same clock. Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero duration.
    pub const ZERO: Self = Self(0);
    /// A time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// Multiplies a duration by a whole factor, saturating.
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Converts to the standard library's duration.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl From<Duration> for Millis {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            ms if ms > 0 && ms % 86_400_000 == 0 => write!(f, "{}d", ms / 86_400_000),
            ms if ms > 0 && ms % 3_600_000 == 0 => write!(f, "{}h", ms / 3_600_000),
            ms if ms > 0 && ms % 60_000 == 0 => write!(f, "{}min", ms / 60_000),
            ms if ms > 0 && ms % 1000 == 0 => write!(f, "{}s", ms / 1000),
            ms => write!(f, "{ms}ms"),
        }
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    /// Parses a whole number with unit `ms`, `s`, `min`, `h` or `d`.
    fn from_str(s: &str) -> Result<Self, UnitError> {
        let (number, unit) = super::unit::split(s)?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1000,
            "min" => 60_000,
            "h" => 3_600_000,
            "d" => 86_400_000,
            _ => {
                return Err(UnitError::new(
                    s,
                    "a duration such as `250ms`, `6s`, `5min`, `2h` or `7d`",
                ))
            }
        };
        number
            .checked_mul(factor)
            .map(Self)
            .ok_or_else(|| UnitError::new(s, "a duration below 2^64 ms"))
    }
}

/// A source of monotonic time.
pub trait Clock {
    /// Returns the time since this clock started; never goes back.
    fn now(&self) -> Millis;
}

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
    /// Time at the start.
    offset: Millis,
}

/// Time at the start of a clock whose process hears of events that are older than itself.
const PAST: Millis = Millis::from_secs(3600);

impl SystemClock {
    /// Starts a clock after [`Millis::ZERO`] by more than any bound, so that zero means long ago.
    pub fn start_late() -> Self {
        Self::start_at(PAST)
    }

    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self::start_at(Millis::ZERO)
    }

    /// Starts a clock at a later time, so that points in time before its start can be expressed.
    fn start_at(offset: Millis) -> Self {
        Self {
            start: Instant::now(),
            offset,
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        self.offset + self.start.elapsed().into()
    }
}

/// A clock that moves only when told to, for tests and model checking.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Millis) {
        self.now.fetch_add(by.0, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::Relaxed))
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch; used only for display, request ids, the
/// end of credits, and as the lower bound of counters that must outlast a process.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| Millis::from(d).0)
}
