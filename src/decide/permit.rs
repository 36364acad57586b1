//! Permits: one process, the issuer, shares a rate limit among all processes that send requests.
//!
//! A limit over all processes cannot be kept by each of them alone: with more processes than requests that the limit
//! allows, even one request of each exceeds it. Each request therefore needs a permit of the issuer. Its token bucket
//! starts empty, so that an issuer that replaces another one adds nothing to what that one has granted.
//!
//! While the network is partitioned, each part has an issuer of its own. An issuer grants the share of the rate that
//! corresponds to the processes that it hears, so that the sum over all parts keeps to the limit.

use std::net::SocketAddr;

use crate::base::{Millis, RequestRate};

/// Credit of one permit, in millionths of a request.
const PERMIT: u64 = 1_000_000;

/// Most permits that are kept for a burst: this number, and those of [`BURST_TIME`].
const BURST: u64 = 2;

/// Time whose permits are kept for a burst beyond [`BURST`], so that requests below a high limit are seldom denied.
const BURST_TIME: Millis = Millis(100);

/// Lowest rate at which permits are granted. Without requests, nobody would learn that a limit was raised or withdrawn.
const RATE_MIN: RequestRate = RequestRate(50);

/// Requests for permits that an issuer aims at, in thousandths per second: processes whose requests are denied ask again
/// over a time that grows with their number, so that a large deployment costs its issuer no more than a small one.
const REQUESTS_AIM: u64 = 40_000;

/// Shortest time after which a process asks again.
const WAIT_MIN: Millis = Millis(20);

/// Time for which a process counts as asking after its last request; most that were denied have asked again by then.
const ASKING_TIME: Millis = Millis(15_000);

/// Rate at which an issuer grants permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitRate {
    /// Permits per second.
    pub rate: RequestRate,
    /// Most permits that are kept for a burst; `BURST` and those of `BURST_TIME` if `None`.
    pub kept: Option<f64>,
}

impl From<RequestRate> for PermitRate {
    fn from(rate: RequestRate) -> Self {
        Self { rate, kept: None }
    }
}

/// Processes that share a limit, as the issuer knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Processes that the issuer hears, itself included; at least 1.
    pub live: u32,
    /// Processes that share the limit; not below `live`.
    pub known: u32,
}

/// Decision on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// One request may be sent.
    Granted,
    /// No permit is left.
    Denied {
        /// Time after which the process may ask again.
        wait: Millis,
        /// Mean time between two permits for one process while the demand stays as it is.
        interval: Millis,
    },
}

/// Issuer of the permits of one rate limit.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    /// Credit in millionths of a request; at most that of [`BURST`] permits and of [`BURST_TIME`], or of
    /// [`PermitRate::kept`].
    credit: u64,
    /// Time up to which credit was added; never decreases.
    refilled: Millis,
    /// Processes that ask for permits, and the time of their last request.
    asking: Vec<(SocketAddr, Millis)>,
}

impl PermitIssuer {
    /// Creates an issuer without credit that gains credit from `start` on.
    pub fn new(start: Millis) -> Self {
        Self {
            credit: 0,
            refilled: start,
            asking: Vec::new(),
        }
    }

    /// Decides on a request of a process for a permit under a limit of `rate`.
    pub fn request(
        &mut self,
        from: SocketAddr,
        rate: impl Into<PermitRate>,
        fleet: Fleet,
        now: Millis,
    ) -> PermitDecision {
        let PermitRate { rate, kept } = rate.into();
        let rate = granted_rate(rate, fleet);
        let interval = PERMIT / rate;
        self.record(from, now);
        self.refill(rate, kept, now);
        if self.credit >= PERMIT {
            self.credit -= PERMIT;
            return PermitDecision::Granted;
        }
        let next = (self.refilled - now).0 + (PERMIT - self.credit).div_ceil(rate);
        let asking = self.asking.len() as u64;
        // Half as many more requests than permits, so that hardly any permit expires where the rate is high.
        let aim = REQUESTS_AIM.max(rate + rate / 2);
        let spread = (asking - 1) * 2 * PERMIT / aim;
        PermitDecision::Denied {
            wait: WAIT_MIN.max(Millis(next + fastrand::u64(0..=spread))),
            interval: Millis(interval * asking),
        }
    }

    /// Adds the credit of the time since the last call; `kept` is the most permits that are kept.
    fn refill(&mut self, rate: u64, kept: Option<f64>, now: Millis) {
        // Thousandths of a request per second are millionths per millisecond.
        let gained = rate.saturating_mul((now - self.refilled).0);
        let kept = kept.map(|n| (n * PERMIT as f64) as u64);
        let most = kept.unwrap_or(BURST * PERMIT + rate * BURST_TIME.0);
        self.credit = self.credit.saturating_add(gained).min(most);
        self.refilled = self.refilled.max(now);
    }

    /// Records that a process asks, and drops those that no longer do.
    fn record(&mut self, from: SocketAddr, now: Millis) {
        self.asking
            .retain(|(peer, at)| *peer != from && now < *at + ASKING_TIME);
        self.asking.push((from, now));
    }
}

/// Returns the rate in thousandths of a request per second at which permits are granted; at least 1.
fn granted_rate(rate: RequestRate, fleet: Fleet) -> u64 {
    let rate = u64::from(rate.max(RATE_MIN).0);
    (rate * u64::from(fleet.live) / u64::from(fleet.known.max(1))).max(1)
}
