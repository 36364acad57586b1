//! Random spread of waiting times.

use super::Millis;

/// Returns a time between half and one and a half times `mean`, so that processes or callers that failed together do not
/// return together.
pub fn jitter(mean: Millis) -> Millis {
    Millis(mean.0 / 2 + fastrand::u64(0..=mean.0))
}
