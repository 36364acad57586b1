//! How long work takes on a host for tens of seconds, from streams that it sent: what the pace that the host reports
//! leaves out, because that is relative to the host itself.

use crate::base::Millis;

/// Lowest and highest sample that is believed; one beyond them counts as the nearer one.
const MIN: f64 = 0.25;
const MAX: f64 = 4.0;

/// Time in which half of the samples are forgotten. An entry gets one sample in 5 s from an endpoint that it does not own.
const HALF_LIFE: Millis = Millis(20_000);

/// Largest number of samples whose mean is kept: a new one counts for at least a twentieth.
const SAMPLES_MAX: f64 = 20.0;

/// Number of samples at which the difference from the usual time counts for half.
const SAMPLES_HALF: f64 = 2.0;

/// Number of samples from which the mean is worth telling others.
const SAMPLES_KNOWN: f64 = 4.0;

/// Mean time that work takes, relative to the usual one; it approaches the usual time while there are no samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnSpeed {
    mean: f64,
    /// Number of samples that were not forgotten at the time of the last one.
    samples: f64,
    at: Millis,
}

impl OwnSpeed {
    /// Adds a sample, as a multiple of the usual time.
    pub fn report(&mut self, time: f64, now: Millis) {
        if !time.is_finite() {
            return;
        }
        self.samples = (self.samples_at(now) + 1.0).min(SAMPLES_MAX);
        self.mean += (time.clamp(MIN, MAX) - self.mean) / self.samples;
        self.at = self.at.max(now);
    }

    /// Returns the time that work takes, as a multiple of its usual time.
    pub fn factor(&self, now: Millis) -> f64 {
        let samples = self.samples_at(now);
        1.0 + (self.mean - 1.0) * samples / (samples + SAMPLES_HALF)
    }

    /// Returns whether there are enough samples to tell others.
    pub fn is_known(&self, now: Millis) -> bool {
        self.samples_at(now) >= SAMPLES_KNOWN
    }

    fn samples_at(&self, now: Millis) -> f64 {
        let age = (now - self.at).0 as f64;
        self.samples * (-age / HALF_LIFE.0 as f64).exp2()
    }
}
