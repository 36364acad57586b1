//! How endpoints number the events of their streams, by which one endpoint may continue the stream of another.

/// Id of a server-sent event. The ids of a stream increase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventId(pub u64);

impl std::fmt::Display for EventId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for EventId {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// Range of the differences between the ids of consecutive events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepRange {
    /// At most `most`.
    pub(super) least: u64,
    pub(super) most: u64,
}

impl StepRange {
    /// Creates the range that holds one step.
    pub fn of(step: u64) -> Self {
        Self {
            least: step,
            most: step,
        }
    }

    /// Returns the smallest range that holds both.
    pub(super) fn union(self, other: Self) -> Self {
        Self {
            least: self.least.min(other.least),
            most: self.most.max(other.most),
        }
    }

    fn overlaps(self, other: Self) -> bool {
        self.least <= other.most && other.least <= self.most
    }

    /// Returns whether a step is twice the largest one or more.
    pub(super) fn is_exceeded(self, step: u64) -> bool {
        step >= self.most.saturating_mul(2)
    }

    /// Returns whether a step is neither half of the smallest one or less nor twice the largest one or more.
    pub(super) fn is_like(self, step: u64) -> bool {
        step > self.least / 2 && !self.is_exceeded(step)
    }
}

/// How an endpoint numbers the events of its streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Numbering {
    /// By their count: 1, 2, 3 and so on.
    Counted,
    /// By steps of this range; only the step to the last event may be smaller.
    Stepped(StepRange),
}

impl Numbering {
    /// Returns whether a stream with one numbering can be continued with the other.
    pub fn is_compatible(self, other: Self) -> bool {
        match (self, other) {
            (Self::Stepped(a), Self::Stepped(b)) => a.overlaps(b),
            _ => self.even_step() == Some(1) && other.even_step() == Some(1),
        }
    }

    /// Returns the step between all events, if it is always the same.
    pub(super) fn even_step(self) -> Option<u64> {
        match self {
            Self::Counted => Some(1),
            Self::Stepped(range) => (range.least == range.most).then_some(range.least),
        }
    }

    /// Returns whether an event that is not the last one of its stream can have this id.
    pub fn contains(self, id: EventId) -> bool {
        self.even_step()
            .is_none_or(|step| id.0.is_multiple_of(step))
    }

    /// Returns what is known after another stream of the same endpoint showed `newer`.
    pub fn updated(self, newer: Self) -> Self {
        match (self, newer) {
            (Self::Stepped(a), Self::Stepped(b)) => Self::Stepped(a.union(b)),
            _ => newer,
        }
    }
}

/// Which endpoints may have sent the events up to one that a caller names, by how they number events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// Any: all that are known number events alike.
    Any,
    /// Those with a numbering that is compatible with this one.
    Like(Numbering),
    /// Endpoints of several numberings, and the id does not tell which.
    Ambiguous,
}

impl Sender {
    /// Finds the sender of an event among endpoints of which these numberings are known.
    pub fn find(known: &[Numbering], id: EventId) -> Self {
        let first = known.first();
        if known
            .iter()
            .all(|n| first.is_some_and(|f| f.is_compatible(*n)))
        {
            return Self::Any;
        }
        let mut able = known.iter().filter(|n| n.contains(id));
        match able.next() {
            Some(first) if able.all(|n| n.is_compatible(*first)) => Self::Like(*first),
            _ => Self::Ambiguous,
        }
    }

    /// Returns whether an endpoint may be the sender; one whose numbering is not known may, as its first events show it.
    pub fn may_be(self, endpoint: Option<Numbering>) -> bool {
        match self {
            Self::Any => true,
            Self::Like(numbering) => endpoint.is_none_or(|e| e.is_compatible(numbering)),
            Self::Ambiguous => false,
        }
    }
}
