//! Splits the response of one endpoint into whole server-sent events, so that none is forwarded in part, twice or out of order.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes; an endpoint that sends a larger one is faulty.
const EVENT_MAX: usize = 1 << 20;

/// Id of a server-sent event: its number within the stream. Ids of consecutive events differ by one.
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

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event exceeds 1 MiB.
    #[error("an event exceeds 1 MiB; check the endpoint")]
    TooLarge,
    /// An event has no id although earlier ones have.
    #[error("an event after {0} has no id; check the endpoint")]
    WithoutId(EventId),
    /// One or more events are missing.
    #[error("event {found} follows event {last}; check the endpoint")]
    Gap {
        /// Last event that was forwarded.
        last: EventId,
        /// Event that arrived instead of the next one.
        found: EventId,
    },
}

impl EventError {
    /// Returns the reason for the log.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "event too large",
            Self::WithoutId(_) => "event without id",
            Self::Gap { .. } => "event missing",
        }
    }
}

/// Splits the part of a stream that one endpoint sends into events, after those that the caller has already.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    /// How far the buffer was searched for the end of its first event.
    search: Search,
    /// Last event that was forwarded or that the caller had before.
    last: Option<EventId>,
    /// Last event that the endpoint sent, forwarded or not.
    sent: Option<EventId>,
    /// Whether the endpoint has sent an event, with or without an id.
    begun: bool,
    /// Whether the last bytes completed an event that is new to the caller.
    advanced: bool,
    /// Why the endpoint's part of the stream ends here.
    fault: Option<EventError>,
}

impl Events {
    /// Creates a splitter for a stream of which the caller already has all events up to `last`.
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the last event that was forwarded or that the caller had before.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Returns whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the size of the part of an event that is buffered, in bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the endpoint has sent an event; comments are none.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Returns whether the endpoint's events end before the last one that the caller has, so that its end is not that of
    /// the stream.
    pub fn is_behind(&self) -> bool {
        self.sent.is_some() && self.sent < self.last
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
    /// Returns an error if an event is missing, too large or without an id, and no event precedes it in the bytes; if
    /// one does, [`Events::fault`] returns the error.
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
            if self.admit(&event)? {
                new.unsplit(event);
            }
        }
        if self.buffer.remaining() > EVENT_MAX {
            return Err(EventError::TooLarge);
        }
        Ok(())
    }

    /// Returns whether an event is new to the caller, and records it as forwarded.
    fn admit(&mut self, event: &[u8]) -> Result<bool, EventError> {
        if is_comment(event) {
            return Ok(true);
        }
        self.begun = true;
        let Some(id) = event_id(event) else {
            if let Some(last) = self.last {
                return Err(EventError::WithoutId(last));
            }
            self.advanced = true;
            return Ok(true);
        };
        self.sent = Some(id);
        if self.last.is_some_and(|last| id <= last) {
            return Ok(false);
        }
        if let Some(last) = self.last.filter(|last| id.0 > last.0 + 1) {
            return Err(EventError::Gap { last, found: id });
        }
        self.last = Some(id);
        self.advanced = true;
        Ok(true)
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

fn event_id(event: &[u8]) -> Option<EventId> {
    event.split(|&b| b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
