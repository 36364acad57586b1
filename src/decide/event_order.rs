//! Order of the events of a stream that one endpoint sends, alone or as the continuation of another one's.
//!
//! Ids of events increase. Most endpoints count the events, others number them in larger and uneven steps, for example by the
//! tokens that the events hold. The connection keeps the events of one run in order, so that an event can be missing only where
//! another run continues the stream, or where bytes were corrupted. An id beyond the usual step is therefore withheld until
//! the next event shows whether the run goes on from there, and a continuation is accepted only with the numbering of the
//! events before it.

use super::numbering::{EventId, Numbering, StepRange};

/// Why a run of a stream is not read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// One or more events are missing.
    #[error("event {found} follows event {last}; check the endpoint")]
    Gap {
        /// Last event that was forwarded.
        last: EventId,
        /// Event that arrived instead of the next one.
        found: EventId,
    },
    /// An id does not exceed the one before it.
    #[error("event {found} arrived after event {last}; check the endpoint")]
    Reversed {
        /// The event before.
        last: EventId,
        /// Event with the same or a smaller id.
        found: EventId,
    },
    /// The endpoint numbers events in another way than the one that sent the events up to `last`, or it is not known
    /// whether it does.
    #[error("the events after {last} are numbered otherwise; check whether endpoints of one service differ")]
    OtherNumbering {
        /// Last event that was forwarded.
        last: EventId,
    },
}

/// What is known when an endpoint begins to send a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Beginning {
    /// Last event that the caller has.
    pub last: Option<EventId>,
    /// Numbering of the events up to that one; `None` if another process forwarded them.
    pub stream: Option<Numbering>,
    /// Numbering that earlier streams of the endpoint showed.
    pub endpoint: Option<Numbering>,
}

impl Beginning {
    /// Returns what is known of the ids to come.
    fn numbering(&self) -> Option<Numbering> {
        match (self.stream, self.endpoint) {
            (Some(stream), Some(endpoint)) => Some(endpoint.updated(stream)),
            (stream, endpoint) => stream.or(endpoint),
        }
    }
}

/// What becomes of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The caller has it already.
    Skip,
    /// It is forwarded.
    Forward,
    /// It is withheld until the next event arrives, or the end of the run.
    Withhold,
}

/// What becomes of an event and of the withheld one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the withheld event is forwarded now.
    pub release: bool,
    /// What becomes of the event that arrived.
    pub event: Admission,
}

impl Verdict {
    fn of(event: Admission) -> Self {
        Self {
            release: false,
            event,
        }
    }
}

/// Why an event is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// First event of the stream, with an id beyond the usual step.
    First,
    /// Its id is further from the one before than the steps so far.
    Jump,
    /// First event of a continuation by an endpoint whose numbering is not known.
    Joint,
}

/// Order of the events of one run; see the module's documentation.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventOrder {
    start: Beginning,
    /// What is known of the ids; `None` before the first step.
    numbering: Option<Numbering>,
    /// Last event that was forwarded or that the caller had before; at most `sent` once the run has passed it.
    last: Option<EventId>,
    /// Last event that the endpoint sent.
    sent: Option<EventId>,
    /// Event that is withheld.
    withheld: Option<(EventId, Doubt)>,
    /// Events of this run that were forwarded.
    count: u64,
    /// Last step, which enters the numbering when another event follows.
    step: Option<u64>,
    /// Whether an id contradicts one that was forwarded.
    refuted: bool,
}

impl EventOrder {
    /// Begins the run of an endpoint.
    pub fn new(start: Beginning) -> Self {
        Self {
            start,
            numbering: start.numbering(),
            last: start.last,
            ..Self::default()
        }
    }

    /// Returns the last event that was forwarded or that the caller had before.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Returns the number of events of this run that were forwarded.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the numbering of the events that were forwarded, as far as it is known.
    pub fn numbering(&self) -> Option<Numbering> {
        self.numbering.filter(|_| self.last.is_some())
    }

    /// Returns the numbering that this run showed; `None` if it had too few events.
    pub fn learned(&self) -> Option<Numbering> {
        self.numbering.filter(|_| self.count > 1)
    }

    /// Returns whether the run contradicts the id of an event that was forwarded, so that it is not known which events the
    /// caller has.
    pub fn is_refuted(&self) -> bool {
        self.refuted
    }

    /// Returns whether the run ends before the last event that the caller has, so that its end is not that of the stream.
    pub fn is_behind(&self) -> bool {
        self.sent.is_some() && self.sent < self.last
    }

    /// Decides on the next event of the run.
    ///
    /// # Errors
    ///
    /// Returns an error if the event cannot follow; a withheld event is dropped then.
    pub fn admit(&mut self, id: EventId) -> Result<Verdict, OrderError> {
        let before = self.sent;
        if let Some(last) = before.filter(|sent| id <= *sent) {
            let counted = self.numbering == Some(Numbering::Counted);
            self.refuted = self.count > 0 && self.withheld.is_none() && !counted;
            return Err(OrderError::Reversed { last, found: id });
        }
        self.sent = Some(id);
        if self.start.last.is_some_and(|last| id <= last) {
            return self.skip(id);
        }
        let release = match self.withheld {
            Some((held, doubt)) => {
                self.resolve(held, doubt, id.0 - held.0)?;
                true
            }
            None => false,
        };
        let event = match self.last {
            None => self.admit_first(id),
            Some(last) if self.count == 0 => self.admit_joint(last, before, id)?,
            Some(last) => self.admit_next(last, id),
        };
        Ok(Verdict { release, event })
    }

    /// Ends the run, which is complete; returns whether the withheld event is forwarded.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is missing, or if the run does not show that the stream ends here.
    pub fn end(&mut self) -> Result<bool, OrderError> {
        let Some((held, doubt)) = self.withheld else {
            return self.end_empty().map(|()| false);
        };
        if doubt != Doubt::Joint && self.skips(held) {
            return Err(self.gap(held));
        }
        if doubt == Doubt::Joint && !self.is_last_shown(held) {
            return Err(self.other_numbering());
        }
        self.withheld = None;
        self.forward(held);
        Ok(true)
    }

    /// Checks a run without new events. An endpoint that counts events has none after an id of another numbering, however
    /// many the stream has left.
    fn end_empty(&self) -> Result<(), OrderError> {
        if self.last.is_none() || self.count > 0 || self.sent == self.last {
            return Ok(());
        }
        let same = match (self.start.stream, self.start.endpoint) {
            (Some(stream), Some(endpoint)) => stream.is_compatible(endpoint),
            (Some(Numbering::Stepped(_)), None) => false,
            _ => true,
        };
        if same {
            return Ok(());
        }
        Err(self.other_numbering())
    }

    /// Returns whether the only event of a continuation is shown to be the next one: a smaller step than usual can be that of
    /// the last event, or one of another numbering.
    fn is_last_shown(&self, id: EventId) -> bool {
        let step = id.0 - self.last.unwrap_or_default().0;
        match self.numbering {
            Some(Numbering::Stepped(range)) => self.start.endpoint.is_some() || range.is_like(step),
            _ => true,
        }
    }

    /// Returns whether an event is one or more whole steps behind the next one of an even numbering.
    fn skips(&self, id: EventId) -> bool {
        let even = self.numbering.and_then(Numbering::even_step);
        let step = id.0 - self.last.unwrap_or_default().0;
        even.is_some_and(|even| step > even && step.is_multiple_of(even))
    }

    fn other_numbering(&self) -> OrderError {
        let last = self.last.unwrap_or_default();
        OrderError::OtherNumbering { last }
    }

    fn gap(&self, found: EventId) -> OrderError {
        let last = self.last.unwrap_or_default();
        OrderError::Gap { last, found }
    }

    /// Skips an event of a run that began anew, which the caller has if the run numbers events alike.
    fn skip(&self, id: EventId) -> Result<Verdict, OrderError> {
        if self.numbering.is_some_and(|n| !n.contains(id)) {
            return Err(self.other_numbering());
        }
        Ok(Verdict::of(Admission::Skip))
    }

    fn admit_first(&mut self, id: EventId) -> Admission {
        let usual = match self.numbering {
            Some(Numbering::Stepped(range)) => range.most,
            _ => 1,
        };
        if id.0 > usual {
            return self.withhold(id, Doubt::First);
        }
        if id.0 == 1 {
            self.numbering.get_or_insert(Numbering::Counted);
        }
        self.forward(id)
    }

    /// Decides on the first event that is new to the caller, of which an earlier run has sent those up to `last`.
    fn admit_joint(
        &mut self,
        last: EventId,
        before: Option<EventId>,
        id: EventId,
    ) -> Result<Admission, OrderError> {
        if let Some(before) = before {
            // The run began anew, and must have sent the caller's last event, too.
            if before != last {
                return Err(self.other_numbering());
            }
            return Ok(self.admit_next(last, id));
        }
        let both = self.start.stream.zip(self.start.endpoint);
        if both.is_some_and(|(stream, endpoint)| !stream.is_compatible(endpoint)) {
            return Err(self.other_numbering());
        }
        let step = id.0 - last.0;
        let usual = match self.numbering {
            Some(Numbering::Counted) if step != 1 => return Err(self.gap(id)),
            Some(Numbering::Stepped(range)) if step > range.most => return Err(self.gap(id)),
            Some(Numbering::Stepped(range)) => range.is_like(step),
            Some(Numbering::Counted) => true,
            None => false,
        };
        if usual && self.start.endpoint.is_some() {
            return Ok(self.forward(id));
        }
        Ok(self.withhold(id, Doubt::Joint))
    }

    /// Decides on an event after another one of the same run.
    fn admit_next(&mut self, last: EventId, id: EventId) -> Admission {
        let step = id.0 - last.0;
        let usual = match self.numbering {
            Some(Numbering::Stepped(range)) => range.most,
            _ => 1,
        };
        if step > usual {
            return self.withhold(id, Doubt::Jump);
        }
        self.numbering.get_or_insert(Numbering::Counted);
        self.forward(id)
    }

    /// Forwards the withheld event, if the step from it to the next one shows that the run goes on from there.
    fn resolve(&mut self, held: EventId, doubt: Doubt, next: u64) -> Result<(), OrderError> {
        self.withheld = None;
        let step = held.0 - self.last.unwrap_or_default().0;
        let even = self.numbering.and_then(Numbering::even_step);
        let counted = self.numbering == Some(Numbering::Counted);
        // The usual steps go on behind what is missing. The first id of larger steps may be any.
        let checked = doubt == Doubt::Jump || doubt == Doubt::First && counted;
        if checked && self.skips(held) && even == Some(next) {
            return Err(self.gap(held));
        }
        match doubt {
            Doubt::First => self.set_steps(step, next),
            Doubt::Jump if counted && self.start.last.is_some() => {
                return Err(self.other_numbering());
            }
            Doubt::Jump => self.add_step(step),
            Doubt::Joint => self.resolve_joint(step, next)?,
        }
        self.forward(held);
        Ok(())
    }

    /// Checks the first steps of a continuation by an endpoint whose numbering is not known.
    fn resolve_joint(&mut self, step: u64, next: u64) -> Result<(), OrderError> {
        let same = match self.numbering {
            Some(Numbering::Counted) => next == 1,
            // The second event may be the last one.
            Some(Numbering::Stepped(range)) => range.is_like(step) && !range.is_exceeded(next),
            None => (step == 1) == (next == 1) && StepRange::of(step).is_like(next),
        };
        if !same {
            return Err(self.other_numbering());
        }
        match self.numbering {
            None if step == 1 => self.numbering = Some(Numbering::Counted),
            None => self.set_steps(step, next),
            Some(_) => {}
        }
        Ok(())
    }

    /// Sets the numbering by the first step, from 0 if there is no event before it, and the one after it. The first id may
    /// be any, and the step after it may be a corrupted one.
    fn set_steps(&mut self, step: u64, next: u64) {
        let first = StepRange::of(step);
        let range = match next {
            next if first.is_like(next) => first.union(StepRange::of(next)),
            next if next < step => StepRange::of(next),
            _ => first,
        };
        self.numbering = Some(match self.numbering {
            Some(Numbering::Stepped(known)) => Numbering::Stepped(known.union(range)),
            _ => Numbering::Stepped(range),
        });
    }

    /// Adds the step to an event behind which the run goes on.
    fn add_step(&mut self, step: u64) {
        let range = StepRange::of(step);
        self.numbering = Some(match self.numbering {
            Some(Numbering::Stepped(known)) => Numbering::Stepped(known.union(range)),
            _ => Numbering::Stepped(range),
        });
    }

    fn withhold(&mut self, id: EventId, doubt: Doubt) -> Admission {
        self.withheld = Some((id, doubt));
        Admission::Withhold
    }

    fn forward(&mut self, id: EventId) -> Admission {
        // Only the step to the last event may be smaller than the others.
        if let (Some(Numbering::Stepped(range)), Some(step)) = (self.numbering, self.step) {
            self.numbering = Some(Numbering::Stepped(range.union(StepRange::of(step))));
        }
        self.step = self.last.map(|last| id.0 - last.0);
        self.last = Some(id);
        self.count += 1;
        Admission::Forward
    }
}
