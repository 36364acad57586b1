//! Splits a stream of server-sent events into whole events, so that none is forwarded in part, twice or out of order.

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
    /// One or more events are missing.
    #[error("event {found} follows event {last}; check the endpoint")]
    Gap {
        /// Last event that was forwarded.
        last: EventId,
        /// Event that arrived instead of the next one.
        found: EventId,
    },
}

/// Splits one stream into events, across all endpoints that produce parts of it.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    /// Last event that was forwarded or that the caller had before.
    last: Option<EventId>,
}

impl Events {
    /// Creates a splitter for a stream of which the caller already has all events up to `last`.
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
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

    /// Discards a partial event, because another endpoint continues the stream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds received bytes and returns the bytes of whole events that are new to the caller; empty if there are none.
    /// Events without an id are always returned.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is missing or too large.
    pub fn push(&mut self, data: &Bytes) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(data);
        let mut new = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            let Some(id) = event_id(&event) else {
                new.unsplit(event);
                continue;
            };
            if self.last.is_some_and(|last| id <= last) {
                continue;
            }
            if let Some(last) = self.last.filter(|last| id.0 > last.0 + 1) {
                return Err(EventError::Gap { last, found: id });
            }
            self.last = Some(id);
            new.unsplit(event);
        }
        if self.buffer.remaining() > EVENT_MAX {
            return Err(EventError::TooLarge);
        }
        Ok(new.freeze())
    }
}

/// Returns the length of the first event in bytes, with the empty line that ends it.
fn event_end(data: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (i, &b) in data.iter().enumerate() {
        if b != b'\n' {
            continue;
        }
        let text = &data[line..i];
        if i > 0 && (text.is_empty() || text == b"\r") {
            return Some(i + 1);
        }
        line = i + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<EventId> {
    event.split(|&b| b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
