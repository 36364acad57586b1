//! How long work takes on a host at present, from figures that change many times a second and are of different age at
//! different processes.

use crate::base::Millis;

/// Pace at which work takes its usual time, in hundredths.
const USUAL: f64 = 100.0;

/// Lowest and highest pace that is believed, in hundredths; a figure beyond them counts as the nearer one.
const MIN: f64 = 25.0;
const MAX: f64 = 800.0;

/// Weight of the newest figure in the moving average.
const WEIGHT: f64 = 0.2;

/// Time after the last figure in which half of the difference from the usual pace is forgotten.
const HALF_LIFE: Millis = Millis(1000);

/// Moving average of the paces that an endpoint reported; it approaches the usual pace while nothing is reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Difference of the average from the usual pace, in hundredths, at the time of the last figure.
    excess: f64,
    at: Millis,
    reported: bool,
}

impl Pace {
    /// Adds a figure, in hundredths of the usual time.
    pub fn report(&mut self, figure: u32, now: Millis) {
        let newest = f64::from(figure).clamp(MIN, MAX) - USUAL;
        let excess = self.excess_at(now);
        self.excess = excess + (newest - excess) * WEIGHT;
        self.at = self.at.max(now);
        self.reported = true;
    }

    /// Returns whether a figure was ever reported.
    pub fn is_reported(&self) -> bool {
        self.reported
    }

    /// Returns the time that work takes now, as a multiple of its usual time.
    pub fn factor(&self, now: Millis) -> f64 {
        (USUAL + self.excess_at(now)) / USUAL
    }

    fn excess_at(&self, now: Millis) -> f64 {
        let age = (now - self.at).0 as f64;
        self.excess * (-age / HALF_LIFE.0 as f64).exp2()
    }
}
