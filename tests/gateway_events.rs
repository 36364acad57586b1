//! Whole events of a stream, over several endpoints.

use bytes::Bytes;
use proptest::prelude::*;
use sesamewing::gateway::{EventError, EventId, Events};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn push(events: &mut Events, text: &str) -> Result<Bytes, EventError> {
    events.push(&Bytes::copy_from_slice(text.as_bytes()))
}

/// Guards against half an event that reaches the caller before its endpoint is lost.
#[test]
fn partial_events_are_held_back() {
    let mut events = Events::default();
    let (whole, half) = (event(1), &event(2)[..9]);
    let out = push(&mut events, &format!("{whole}{half}"));
    assert_eq!(out, Ok(Bytes::from(whole)));
    assert!(events.is_partial());
    events.restart();
    assert_eq!(push(&mut events, &event(2)), Ok(Bytes::from(event(2))));
    assert_eq!(events.last(), Some(EventId(2)));
}

/// Guards against events that the caller gets twice, or not at all, after another endpoint continued the stream.
#[test]
fn continued_streams_have_no_overlap_and_no_gap() {
    let mut events = Events::after(Some(EventId(4)));
    let out = push(&mut events, &(event(4) + &event(5)));
    assert_eq!(out, Ok(Bytes::from(event(5))));
    let gap = EventError::Gap {
        last: EventId(5),
        found: EventId(7),
    };
    assert_eq!(push(&mut events, &event(7)), Err(gap));
}

proptest! {
    /// Guards against events that are lost or changed because a read ended in the middle of one.
    #[test]
    fn any_split_gives_the_same_events(cuts in prop::collection::vec(1usize..40, 0..60), crlf: bool) {
        let mut text: String = (1..20).map(event).collect();
        if crlf {
            text = text.replace('\n', "\r\n");
        }
        let mut events = Events::default();
        let (mut rest, mut out) = (text.as_str(), Vec::new());
        for cut in cuts {
            let (part, tail) = rest.split_at(cut.min(rest.len()));
            out.extend_from_slice(&push(&mut events, part).expect("no gap"));
            rest = tail;
        }
        out.extend_from_slice(&push(&mut events, rest).expect("no gap"));
        prop_assert_eq!(out, text.into_bytes());
        prop_assert!(!events.is_partial());
    }
}
