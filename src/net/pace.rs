//! Token buckets that keep transfers within a share of a link.

use std::sync::Mutex;

use crate::base::{lock, Clock, Millis, Rate, Size, SystemClock};

/// A token bucket with debt: a transfer of any size is admitted at once and delays those after it.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Rate,
    /// Largest level, in thousandths of a byte.
    burst: i64,
    /// Bytes that may be sent, in thousandths; negative while there is debt.
    level: i64,
    /// Time of the last refill.
    at: Millis,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, burst: Size, now: Millis) -> Self {
        let burst = i64::try_from(burst.0.saturating_mul(1000)).unwrap_or(i64::MAX);
        Self {
            rate,
            burst,
            level: burst,
            at: now,
        }
    }

    /// Takes tokens and returns the time until the transfer may start.
    pub fn take(&mut self, bytes: usize, now: Millis) -> Millis {
        let rate = i64::try_from(self.rate.0.max(1)).unwrap_or(i64::MAX);
        let elapsed = i64::try_from((now - self.at).0).unwrap_or(i64::MAX);
        let gain = rate.saturating_mul(elapsed);
        self.at = self.at.max(now);
        self.level = self.level.saturating_add(gain).min(self.burst);
        let wait = self.level.saturating_neg().max(0) / rate;
        let cost = i64::try_from(bytes)
            .unwrap_or(i64::MAX)
            .saturating_mul(1000);
        self.level = self.level.saturating_sub(cost);
        Millis(wait as u64)
    }
}

/// A token bucket shared by the transfers of one direction.
#[derive(Debug)]
pub struct Pacer {
    bucket: Mutex<Bucket>,
    clock: SystemClock,
}

impl Pacer {
    /// Creates a pacer with a full bucket.
    pub fn new(rate: Rate, burst: Size, clock: SystemClock) -> Self {
        Self {
            bucket: Mutex::new(Bucket::new(rate, burst, clock.now())),
            clock,
        }
    }

    /// Counts a transfer that may not wait; it delays those after it.
    pub fn charge(&self, bytes: usize) {
        lock(&self.bucket).take(bytes, self.clock.now());
    }

    /// Waits until a transfer may start; concurrent transfers are served in the order of their calls.
    pub async fn acquire(&self, bytes: usize) {
        let wait = {
            let mut bucket = lock(&self.bucket);
            bucket.take(bytes, self.clock.now())
        };
        if wait > Millis::ZERO {
            tokio::time::sleep(wait.duration()).await;
        }
    }
}
