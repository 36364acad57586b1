//! Chooses when rejected callers return: as many as are likely to be served, spread over the time in which they can be.
//!
//! Load answered: more callers than the engines of a service can serve, for seconds or for good, and outages of all of its
//! endpoints. Told to return after the same short time whatever the load, callers return into the same overload, and are
//! rejected twice. Slots that first attempts leave free are the capacity for callers that return. It is not known in
//! advance, so that it is followed: by how many of those that returned lately began. Other callers are told to return
//! after their deadline at the earliest.

use crate::base::Millis;

/// Half-life of the counts of requests.
const HALF_LIFE: Millis = Millis(2000);

/// Time without a rejection after which what was counted of returning callers counts no more.
const CALM: Millis = Millis(2000);

/// Rate of returning callers that is assumed at the first rejection after a calm, as a share of the requests that begin:
/// most rejections in calm are those of short bursts.
const START_SHARE: f64 = 0.25;

/// The same where the calm ends with an outage of all endpoints, whose slots are empty after it.
const START_SHARE_OUTAGE: f64 = 0.4;

/// Rate at which callers are told to return, as a multiple of that at which returning ones began lately.
const GROWTH: f64 = 1.25;

/// Least rate of callers that are told to return, as a share of the requests that begin. They find out whether there is
/// capacity again.
const PROBE_SHARE: f64 = 1.0 / 32.0;

/// Least rate of callers that are told to return, for each millisecond; for entries where few requests begin.
const RATE_MIN: f64 = 0.0005;

/// Time for which callers that were not told to return leave their places to later ones.
const CARRIED: Millis = Millis(500);

/// Earliest time of a return: the requests that fill the slots now are still there before it.
const EARLIEST: Millis = Millis(100);

/// Earliest return in an outage whose end is not known: endpoints take seconds to start or to load weights.
const OUTAGE_MIN: Millis = Millis(900);

/// Time by which a return must precede the latest that its caller accepts: the way of the response, and rounding.
const MARGIN: Millis = Millis(50);

/// Part of the time left that callers wait at most before they return.
const WAIT_DIVISOR: u64 = 3;

/// Latest return of callers that do not say how long they wait.
const LATEST_UNKNOWN: Millis = Millis(2000);

/// Duration of the intervals in which returns are counted, and their number, which covers a third of the longest usual
/// deadline.
const INTERVAL: Millis = Millis(100);
const INTERVALS: usize = 100;

/// Requests counted with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount(f64);

impl DecayingCount {
    /// Returns the rate for each millisecond.
    fn rate(self) -> f64 {
        self.0 * std::f64::consts::LN_2 / HALF_LIFE.0 as f64
    }
}

/// What is known of a rejected request.
#[derive(Clone, Copy, Debug)]
pub struct RejectedRequest {
    /// Time for which its caller still waits; `None` if it did not say so.
    pub left: Option<Millis>,
    /// Time after which it can't meet its latency objective any more.
    pub objective: Millis,
    /// Time after which an endpoint is expected to take the request; `None` if it is not known.
    pub available: Option<Millis>,
    /// Whether no endpoint can run any request of the service now.
    pub outage: bool,
}

/// When the caller of a rejected request is told to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnTime {
    /// After this time, in which it still waits.
    After(Millis),
    /// After this time, which is later than its caller returns: it is not expected to be served within its deadline.
    TooLate(Millis),
}

impl ReturnTime {
    /// Returns the time after which the caller may return.
    pub fn wait(self) -> Millis {
        match self {
            Self::After(t) | Self::TooLate(t) => t,
        }
    }
}

/// Rejected callers of one service that one process told to return, and the rate at which they can be served.
#[derive(Clone, Debug)]
pub struct ReturnTimes {
    /// All requests that began, and those of returning callers among them.
    begun: DecayingCount,
    returned: DecayingCount,
    /// Number of callers that may be told to return now.
    places: f64,
    /// Time up to which the counts have decayed and places were added; never decreases.
    updated: Millis,
    /// Time of the last rejection.
    rejected: Option<Millis>,
    /// Callers that were told to return, by the number of the interval, modulo [`INTERVALS`].
    scheduled: [u16; INTERVALS],
}

impl Default for ReturnTimes {
    fn default() -> Self {
        Self {
            begun: DecayingCount::default(),
            returned: DecayingCount::default(),
            places: 1.0,
            updated: Millis::ZERO,
            rejected: None,
            scheduled: [0; INTERVALS],
        }
    }
}

fn interval(at: Millis) -> usize {
    (at.0 / INTERVAL.0) as usize
}

impl ReturnTimes {
    /// Records a request that began.
    pub fn record_begun(&mut self, returning: bool, now: Millis) {
        self.update(false, now);
        self.begun.0 += 1.0;
        self.returned.0 += f64::from(u8::from(returning));
    }

    /// Returns the rate, for each millisecond, at which callers are told to return.
    fn rate(&self) -> f64 {
        let probes = self.begun.rate() * PROBE_SHARE;
        let followed = self.returned.rate() * GROWTH;
        probes.max(followed).max(RATE_MIN)
    }

    /// Adds places up to now and lets the counts decay. In an outage the counts stay: nothing begins, which says nothing
    /// of the capacity after it.
    fn update(&mut self, outage: bool, now: Millis) {
        if now <= self.updated {
            return;
        }
        let time = now - self.updated;
        let rate = self.rate();
        let carried = (rate * CARRIED.0 as f64).max(1.0);
        self.places = (self.places + rate * time.0 as f64).min(carried);
        if !outage {
            let factor = (-(time.0 as f64) / HALF_LIFE.0 as f64).exp2();
            self.begun.0 *= factor;
            self.returned.0 *= factor;
        }
        let passed = interval(now) - interval(self.updated);
        for i in 0..passed.min(INTERVALS) {
            self.scheduled[(interval(self.updated) + i) % INTERVALS] = 0;
        }
        self.updated = now;
    }

    /// Chooses when the caller of a rejected request is to return, and counts it.
    pub fn schedule(&mut self, request: RejectedRequest, now: Millis) -> ReturnTime {
        self.update(request.outage, now);
        if self.rejected.is_none_or(|at| now >= at + CALM) {
            let share = if request.outage {
                START_SHARE_OUTAGE
            } else {
                START_SHARE
            };
            self.returned.0 = self.returned.0.max(self.begun.0 * share);
            self.places = self.places.max(self.rate() * CARRIED.0 as f64);
        }
        self.rejected = Some(now);
        let latest = request.left.map_or(LATEST_UNKNOWN, |left| {
            Millis(left.0 / WAIT_DIVISOR) - MARGIN
        });
        let latest = latest.min(Millis(INTERVAL.0 * (INTERVALS as u64 - 1)));
        let earliest = match request.available {
            Some(available) => available,
            // The later a return, the likelier it is that the outage is over.
            None if request.outage => OUTAGE_MIN.max(Millis(latest.0 / 4 * 3)),
            None => Millis::ZERO,
        };
        let earliest = earliest.max(EARLIEST);
        if latest < earliest || self.places < 1.0 {
            return self.too_late(request, earliest);
        }
        self.places -= 1.0;
        let wait = self.place(request, earliest, latest, now);
        let count = &mut self.scheduled[interval(now + wait) % INTERVALS];
        *count = count.saturating_add(1);
        ReturnTime::After(wait)
    }

    /// Chooses the time of a return: one in time for the latency objective unless as many return until then as are served.
    fn place(
        &self,
        request: RejectedRequest,
        earliest: Millis,
        latest: Millis,
        now: Millis,
    ) -> Millis {
        let full = (self.rate() * INTERVAL.0 as f64).ceil() as u16;
        let in_time = request.objective.min(latest);
        if in_time > earliest {
            let wait = self.least_scheduled(earliest, in_time, now);
            if self.scheduled_at(now + wait) < full {
                return wait;
            }
        }
        self.least_scheduled(earliest, latest, now)
    }

    /// Draws a time from the part between two in which the fewest callers return.
    fn least_scheduled(&self, from: Millis, to: Millis, now: Millis) -> Millis {
        let parts = ((to - from).0 / INTERVAL.0).max(1);
        let first = fastrand::u64(0..parts);
        let starts = (0..parts).map(|i| from + INTERVAL.times((first + i) % parts));
        let least = starts.min_by_key(|start| self.scheduled_at(now + *start));
        let start = least.unwrap_or(from);
        let length = INTERVAL.min(to - start).0.max(1);
        start + Millis(fastrand::u64(0..length))
    }

    fn scheduled_at(&self, at: Millis) -> u16 {
        self.scheduled[interval(at) % INTERVALS]
    }

    fn too_late(&self, request: RejectedRequest, earliest: Millis) -> ReturnTime {
        match request.left {
            Some(left) => ReturnTime::TooLate(left.max(earliest)),
            None => ReturnTime::After(earliest + crate::base::jitter(LATEST_UNKNOWN)),
        }
    }
}
