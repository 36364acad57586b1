//! Cold endpoints: how many requests an endpoint gets while it warms up after a start.
//!
//! | load pattern | what happens |
//! |---|---|
//! | an endpoint starts while callers send more than it tolerates | all entries together send it its cold rate, under permits of one issuer |
//! | an entry takes over as issuer | grants nothing for a while, so that its permits and those before it add up to no more than is tolerated |
//! | an endpoint becomes cold again | limited from the first record or response that says so |
//! | a record from before the response that says so arrives late | does not end the limit |

use super::permit::PermitRate;
use crate::base::{Millis, RequestRate};

/// Longest time by which an endpoint's record may describe a state before that of a response that arrived first: the
/// record is written, then read at an interval.
const RECORD_LAG_MAX: Millis = Millis(3000);

/// Time from the request for a permit of a cold endpoint in which it must be used. Requests under older permits would
/// reach the endpoint together with those under newer ones.
pub const PERMIT_LIFETIME: Millis = Millis(250);

/// Time for which an entry that becomes the issuer of a cold endpoint grants nothing, for each entry of the deployment, and
/// its bounds. The entries that still ask the issuer before it learn of the change meanwhile, later where heartbeats are
/// relayed: without it, 32 requests came in a second at 410 entries in the model `cold_permits`, 30.5 were allowed.
const HANDOVER_PER_ENTRY: Millis = Millis(3);
const HANDOVER_MIN: Millis = Millis(150);
const HANDOVER_MAX: Millis = Millis(2000);

/// Returns the time for which an entry that becomes the issuer of a cold endpoint grants nothing, among `entries`.
pub fn issuer_pause(entries: usize) -> Millis {
    let time = HANDOVER_PER_ENTRY.times(entries as u64);
    time.clamp(HANDOVER_MIN, HANDOVER_MAX)
}

/// Most permits of a cold endpoint that are kept while none is asked for, if the bound leaves room for them.
const KEPT_MAX: f64 = 5.0;

/// Permits for each request that a cold endpoint tolerates, if the bound leaves room for them: some are lost on the way to
/// the entry that asked, or expire, and an issuer grants less while it does not hear all entries. In the model
/// `cold_permits`, with 7 % of datagrams late or lost, 1.1 gave 15.15 requests a second of 17 at 410 entries.
const SURPLUS: f64 = 1.15;

/// How a service's endpoints start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// Time for which an endpoint is cold after its start.
    pub time: Millis,
    /// Requests per second that a cold endpoint tolerates from all entries together; above 0.
    pub rate: RequestRate,
}

impl ColdStart {
    /// Returns how endpoints start by the seconds and the requests per second of the configuration; `None` without a
    /// limit, or with values that are none.
    pub fn new(seconds: f64, per_s: f64) -> Option<Self> {
        let rate = (per_s * 1000.0).min(f64::from(u32::MAX)) as u32;
        let time = Millis((seconds.max(0.0) * 1000.0) as u64);
        (rate > 0).then_some(Self {
            time,
            rate: RequestRate(rate),
        })
    }
}

/// Requests that a cold endpoint may get in any one second, beyond its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor of the rate; at least 1.
    pub overage: f64,
    /// Requests in addition.
    pub tolerance: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overage: 1.0,
            tolerance: 0.0,
        }
    }
}

impl ColdBound {
    /// Returns the rate at which permits of a cold endpoint are granted: its cold rate, or less where permits that are
    /// kept and used late would exceed the bound.
    pub fn permits(self, rate: RequestRate) -> PermitRate {
        let per_s = f64::from(rate.0) / 1000.0;
        let allowed = (per_s * self.overage.max(1.0) + self.tolerance.max(0.0)).floor();
        let kept = (allowed - per_s).clamp(1.0, KEPT_MAX);
        // Permits of this time can be used within one second; one more than allowed is never reached.
        let span = 1.0 + PERMIT_LIFETIME.duration().as_secs_f64();
        let most = (allowed + 1.0 - kept).max(0.0) / span * 0.999;
        let granted = ((per_s * SURPLUS).min(most) * 1000.0) as u32;
        PermitRate {
            rate: RequestRate(granted.max(1)),
            kept: Some(kept),
        }
    }
}

/// What the newest response that told it said of how long an endpoint stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardCold {
    /// When the response arrived.
    pub at: Millis,
    /// Time until which the endpoint stays cold; not after `at` if it is warm.
    pub until: Millis,
}

/// Returns whether an endpoint is cold, by its newest record and by what a response said: `recorded` is when the record
/// was learned, `until` the end of the cold time that it names.
pub fn is_cold(recorded: Millis, until: Millis, heard: Option<HeardCold>, now: Millis) -> bool {
    if now < until {
        return true;
    }
    heard.is_some_and(|h| now < h.until && recorded < h.at + RECORD_LAG_MAX)
}
