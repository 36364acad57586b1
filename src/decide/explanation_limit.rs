//! Limit of the explanations that an entry gives: each takes the time of some requests.

use std::collections::VecDeque;

use crate::base::Millis;

/// Largest number of explanations per second.
pub const EXPLANATIONS_MAX: usize = 4;

/// Time within which explanations are counted.
const WINDOW: Millis = Millis(1000);

/// Times of the latest explanations.
#[derive(Debug, Default)]
pub struct ExplanationLimit {
    /// In ascending order; at most [`EXPLANATIONS_MAX`].
    given: VecDeque<Millis>,
}

impl ExplanationLimit {
    /// Counts an explanation.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next one may be given if there were as many as are allowed.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        if self.given.len() >= EXPLANATIONS_MAX {
            let next = self.given[0] + WINDOW;
            if now < next {
                return Err(next - now);
            }
            self.given.pop_front();
        }
        self.given.push_back(now);
        Ok(())
    }
}
