//! Random spread of waiting times.

use super::Millis;

/// Returns a time between half and one and a half times `mean`, so that processes or callers that failed together do not
/// return together.
pub fn jitter(mean: Millis) -> Millis {
    Millis(mean.0 / 2 + fastrand::u64(0..=mean.0))
}

/// Returns a time between a quarter of `max` and `max`, so that processes that begin to wait together do not end
/// together.
pub fn spread(max: Millis) -> Millis {
    Millis(max.0 - fastrand::u64(0..=max.0 / 4 * 3))
}
