//! Callers of a crowd, and what comes of them.

use std::ops::AddAssign;

use sesamewing::base::Millis;

/// Callers as they are on the deployments, and when entries tell them to return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    /// Whether entries spread returns over the time in which there is capacity; otherwise callers return after the load
    /// balancer's time.
    pub(crate) spread: bool,
    /// Time in which no engine is there, if any: its begin and its end.
    pub(crate) outage: Option<(Millis, Millis)>,
}

/// Callers in percent that wait for [`SHORT_PATIENCE`] and up to [`SHORT_SPREAD`] more, and those that send again at
/// once and more often than they should.
pub(super) const SHORT: u32 = 40;
pub(super) const IMPATIENT: u32 = 3;
pub(super) const SHORT_PATIENCE: Millis = Millis(1500);
pub(super) const SHORT_SPREAD: u64 = 1000;
pub(super) const IMPATIENT_TIME: Millis = Millis(20);
pub(super) const IMPATIENT_TRIES: u32 = 4;

/// Time from the start at an engine to the first event, and the latency objectives of the routes.
pub(super) const FIRST_EVENT: Millis = Millis(100);
pub(super) const OBJECTIVES: [Millis; 2] = [Millis(400), Millis(800)];

/// Worth of a response that is later than the objective, in comparison to one in time.
pub(super) const LATE_WORTH: f64 = 0.2;

/// Callers whose first attempt came after [`Load::from`](super::Load::from).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) requests: u32,
    pub(crate) rejections: u32,
    /// Callers that returned as they were told, and were rejected again.
    pub(crate) twice: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
}

impl AddAssign for Totals {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.rejections += other.rejections;
        self.twice += other.twice;
        self.in_time += other.in_time;
        self.late += other.late;
    }
}

impl Totals {
    fn per_request(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.requests.max(1))
    }

    pub(crate) fn rejections(&self) -> f64 {
        self.per_request(self.rejections)
    }

    pub(crate) fn twice(&self) -> f64 {
        self.per_request(self.twice)
    }

    pub(crate) fn in_time(&self) -> f64 {
        self.per_request(self.in_time)
    }

    pub(crate) fn served(&self) -> f64 {
        self.per_request(self.in_time + self.late)
    }

    pub(crate) fn worth(&self) -> f64 {
        self.in_time() + self.per_request(self.late) * LATE_WORTH
    }
}
