//! Keeps slots of engines free for more urgent requests while the engines of a service have too few.
//!
//! Load answered: requests of several priorities, together more than the slots can begin. Taken alike, each priority loses
//! the same share, also the most urgent one. While requests are rejected, those that are less urgent leave some slots of
//! each engine to those that are more urgent. None is shut out: a priority that begins too rarely beside the others leaves
//! nothing.

use crate::base::Millis;

/// Number of priorities that are told apart; all lower ones count as the last.
const LEVELS: usize = 3;

/// Time after a rejection for want of a slot in which less urgent requests leave slots free.
const PRESSURE_TIME: Millis = Millis(2000);

/// Divisor of an engine's slots that gives the slots which a request leaves to each more urgent priority.
const RESERVE_DIVISOR: u32 = 6;

/// Least share of the requests of a priority that begin, as a part of that of all requests of the service; a priority
/// below it leaves no slots free.
const SHARE_MIN: f64 = 0.4;

/// Half-life of the counts of requests.
const HALF_LIFE: Millis = Millis(2000);

/// Count of a priority below which it counts as absent.
const COUNT_MIN: f64 = 0.05;

/// Requests of one priority, counted with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    offered: f64,
    /// Those that began; never more than `offered`.
    begun: f64,
}

impl Level {
    fn share(self) -> f64 {
        self.begun / self.offered.max(COUNT_MIN)
    }
}

/// Requests of one service by priority, as one process sees them.
#[derive(Clone, Debug, Default)]
pub struct PriorityLoad {
    levels: [Level; LEVELS],
    /// Time up to which the counts have decayed; never decreases.
    decayed: Millis,
    /// Time until which slots are kept free.
    pressed_until: Millis,
}

impl PriorityLoad {
    fn level(priority: u8) -> usize {
        usize::from(priority).min(LEVELS - 1)
    }

    /// Records whether a request of a priority began, or was rejected for want of a slot. A rejection by a reserve says
    /// nothing of the load, so that it does not prolong the reserve.
    pub fn record(&mut self, priority: u8, begun: bool, now: Millis) {
        if !begun && self.reserved_levels(priority, now) == 0 {
            self.pressed_until = now + PRESSURE_TIME;
        }
        self.decay(now);
        let level = &mut self.levels[Self::level(priority)];
        level.offered += 1.0;
        level.begun += f64::from(u8::from(begun));
    }

    /// Returns the slots of an engine with `slots` slots that a request of a priority leaves free.
    pub fn reserve(&self, priority: u8, slots: u32, now: Millis) -> u32 {
        let levels = self.reserved_levels(priority, now);
        let reserve = slots.div_ceil(RESERVE_DIVISOR).saturating_mul(levels);
        reserve.min(slots.saturating_sub(1))
    }

    /// Returns the number of more urgent priorities for which a request leaves slots free.
    fn reserved_levels(&self, priority: u8, now: Millis) -> u32 {
        if now >= self.pressed_until {
            return 0;
        }
        let level = Self::level(priority);
        let urgent = self.levels[..level]
            .iter()
            .filter(|l| l.offered > COUNT_MIN);
        let urgent = urgent.count() as u32;
        if urgent == 0 || self.levels[level].share() < SHARE_MIN * self.share() {
            return 0;
        }
        urgent
    }

    /// Returns the share of all requests that began.
    fn share(&self) -> f64 {
        let sum = |count: fn(&Level) -> f64| self.levels.iter().map(count).sum::<f64>();
        Level {
            offered: sum(|l| l.offered),
            begun: sum(|l| l.begun),
        }
        .share()
    }

    fn decay(&mut self, now: Millis) {
        let time = now - self.decayed;
        self.decayed = self.decayed.max(now);
        let factor = (-(time.0 as f64) / HALF_LIFE.0 as f64).exp2();
        for level in &mut self.levels {
            level.offered *= factor;
            level.begun *= factor;
        }
    }
}
