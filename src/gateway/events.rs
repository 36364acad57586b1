//! Splits the response of one endpoint into whole server-sent events, so that none is forwarded in part, twice or out of order.

use bytes::{Buf, Bytes, BytesMut};

use crate::decide::{
    event_order::{Admission, Beginning, EventOrder, OrderError},
    numbering::{EventId, Numbering},
};

/// Largest event, in bytes; an endpoint that sends a larger one is faulty.
const EVENT_MAX: usize = 1 << 20;

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event exceeds 1 MiB.
    #[error("an event exceeds 1 MiB; check the endpoint")]
    TooLarge,
    /// An event has no id although earlier ones have.
    #[error("an event after {0} has no id; check the endpoint")]
    WithoutId(EventId),
    /// An event has more than one id, because the end of the one before it was corrupted.
    #[error("an event after {0} has several ids; check the endpoint")]
    SeveralIds(EventId),
    /// An event cannot follow the one before it.
    #[error(transparent)]
    Order(#[from] OrderError),
}

impl EventError {
    /// Returns the reason for the log.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "event too large",
            Self::WithoutId(_) => "event without id",
            Self::SeveralIds(_) => "event with several ids",
            Self::Order(OrderError::Gap { .. }) => "event missing",
            Self::Order(OrderError::Reversed { .. }) => "events out of order",
            Self::Order(OrderError::OtherNumbering { .. }) => "events numbered otherwise",
        }
    }
}

/// Splits the part of a stream that one endpoint sends into events, after those that the caller has already.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    /// How far the buffer was searched for the end of its first event.
    search: Search,
    order: EventOrder,
    /// Event that is not forwarded before the next one confirms its id.
    withheld: Bytes,
    /// Whether the endpoint has sent an event, with or without an id.
    begun: bool,
    /// Whether an event without an id was forwarded, so that no run can continue the stream.
    unnumbered: bool,
    /// Whether the last bytes completed an event that is new to the caller.
    advanced: bool,
    /// Why the endpoint's part of the stream ends here.
    fault: Option<EventError>,
}

impl Events {
    /// Creates a splitter for a stream of which the caller already has all events up to `last`.
    pub fn after(last: Option<EventId>) -> Self {
        Self::new(Beginning {
            last,
            ..Beginning::default()
        })
    }

    /// Creates a splitter for the stream that an endpoint begins or continues.
    pub fn new(start: Beginning) -> Self {
        Self {
            order: EventOrder::new(start),
            ..Self::default()
        }
    }

    /// Returns the last event that was forwarded or that the caller had before.
    pub fn last(&self) -> Option<EventId> {
        self.order.last()
    }

    /// Returns the number of events of this endpoint that were forwarded; those without an id do not count.
    pub fn count(&self) -> u64 {
        self.order.count()
    }

    /// Returns the numbering of the events that the caller has, as far as it is known.
    pub fn numbering(&self) -> Option<Numbering> {
        self.order.numbering()
    }

    /// Returns the numbering that the endpoint's events showed; `None` if there were too few.
    pub fn learned(&self) -> Option<Numbering> {
        self.order.learned()
    }

    /// Returns whether no endpoint can continue the stream, because it is not known which events the caller has.
    pub fn is_unresumable(&self) -> bool {
        self.unnumbered || self.order.is_refuted()
    }

    /// Returns whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the size of what is not forwarded yet, in bytes: an event that is withheld, and the part of one.
    pub fn buffered(&self) -> usize {
        self.buffer.len() + self.withheld.len()
    }

    /// Returns whether the endpoint has sent an event; comments are none.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Returns whether the endpoint's events end before the last one that the caller has, so that its end is not that of
    /// the stream.
    pub fn is_behind(&self) -> bool {
        self.order.is_behind()
    }

    /// Returns whether the bytes that [`Events::push`] returned last hold an event, not only comments.
    pub fn has_advanced(&self) -> bool {
        self.advanced
    }

    /// Returns why nothing after the last event that [`Events::push`] returned can be forwarded.
    pub fn fault(&self) -> Option<EventError> {
        self.fault
    }

    /// Adds received bytes and returns the bytes of whole events that are new to the caller; empty if there are none.
    /// Comments are always returned, events without an id as long as no event of the stream has had one.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is missing, out of order, too large or without an id, and no event precedes it in the
    /// bytes; if one does, [`Events::fault`] returns the error.
    pub fn push(&mut self, data: &Bytes) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(data);
        let mut new = BytesMut::new();
        self.advanced = false;
        self.fault = self.split(&mut new).err();
        match self.fault {
            Some(e) if new.is_empty() => Err(e),
            _ => Ok(new.freeze()),
        }
    }

    /// Moves whole events from the buffer to `new`, up to the first fault.
    fn split(&mut self, new: &mut BytesMut) -> Result<(), EventError> {
        while let Some(end) = self.search.event_end(&self.buffer) {
            self.search = Search::default();
            let event = self.buffer.split_to(end);
            self.admit(event, new)?;
        }
        if self.buffer.remaining() > EVENT_MAX {
            return Err(EventError::TooLarge);
        }
        Ok(())
    }

    /// Appends an event to `new` if it is new to the caller, behind the one that was withheld before it.
    fn admit(&mut self, event: BytesMut, new: &mut BytesMut) -> Result<(), EventError> {
        if is_comment(&event) {
            new.unsplit(event);
            return Ok(());
        }
        self.begun = true;
        let last = self.last();
        let Some(id) =
            event_id(&event).map_err(|()| EventError::SeveralIds(last.unwrap_or_default()))?
        else {
            if let Some(last) = last {
                return Err(EventError::WithoutId(last));
            }
            (self.unnumbered, self.advanced) = (true, true);
            new.unsplit(event);
            return Ok(());
        };
        let verdict = self.order.admit(id)?;
        if verdict.release {
            self.release(new);
        }
        match verdict.event {
            Admission::Skip => {}
            Admission::Withhold => self.withheld = event.freeze(),
            Admission::Forward => {
                self.advanced = true;
                new.unsplit(event);
            }
        }
        Ok(())
    }

    fn release(&mut self, new: &mut BytesMut) {
        self.advanced = true;
        new.extend_from_slice(&std::mem::take(&mut self.withheld));
    }

    /// Ends the endpoint's part of the stream, which is complete; returns the event that was withheld, or no bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is missing, or if the endpoint does not show that the stream ends here.
    pub fn end(&mut self) -> Result<Bytes, EventError> {
        let mut new = BytesMut::new();
        self.advanced = false;
        if self.order.end()? {
            self.release(&mut new);
        }
        Ok(new.freeze())
    }
}

/// Returns whether all lines are comments, by which an endpoint keeps its connection open.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|&b| b == b'\n').map(<[u8]>::trim_ascii);
    lines.all(|line| line.is_empty() || line[0] == b':')
}

/// Search for the end of an event of which parts arrive; no byte is looked at twice, however small the parts are.
#[derive(Clone, Copy, Debug, Default)]
struct Search {
    /// Start of the line that is not whole yet.
    line: usize,
    /// Number of bytes that were searched.
    done: usize,
}

impl Search {
    /// Returns the length of the first event in bytes, with the empty line that ends it. `data` begins with what was
    /// searched before.
    fn event_end(&mut self, data: &[u8]) -> Option<usize> {
        for (i, &b) in data.iter().enumerate().skip(self.done) {
            if b != b'\n' {
                continue;
            }
            let text = &data[self.line..i];
            if i > 0 && (text.is_empty() || text == b"\r") {
                return Some(i + 1);
            }
            self.line = i + 1;
        }
        self.done = data.len();
        None
    }
}

/// Returns the id of an event, if it has one.
///
/// # Errors
///
/// Returns an error if it has several.
fn event_id(event: &[u8]) -> Result<Option<EventId>, ()> {
    let lines = event.split(|&b| b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next();
    if ids.next().is_some() {
        return Err(());
    }
    let text = id.and_then(|value| std::str::from_utf8(value).ok());
    Ok(text.and_then(|text| text.trim().parse().ok()))
}
