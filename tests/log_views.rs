//! What entries tell each other of the end of the operator's log: datagrams of older and newer builds, and odd ones.

mod gateway_support;

use gateway_support::{addr, heartbeat, heartbeat_message};
use sesamewing::{
    base::{Era, Millis},
    decide::evacuation::EvacuationCopy,
    gateway::{LogView, Message, ReadTimes, Status},
};

fn parts() -> (Message, ReadTimes, EvacuationCopy) {
    let beat = heartbeat(addr(1, 8004), "a", 1, Status::default());
    let zone = "a".parse().expect("a valid name");
    let copy = EvacuationCopy {
        position: 7,
        age: Millis(300),
        zones: vec![zone],
        restored: Vec::new(),
    };
    (heartbeat_message(beat), ReadTimes(vec![Millis(400)]), copy)
}

const VIEW: LogView = LogView {
    era: Era(0),
    position: 1_000_000,
    age: Millis(5000),
};

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encoded")
}

/// Guards against a datagram of which a build without log views rejects a part, because of what follows the zones.
#[test]
fn older_builds_read_new_datagrams() {
    let (message, times, copy) = parts();
    let data = encode(&(&message, &times, &copy, Some(VIEW)));
    // Such a build decodes the message and the times, then the zones from all that follows.
    let (found, rest) = postcard::take_from_bytes::<Message>(&data).expect("a message");
    let (found_times, rest) = postcard::take_from_bytes::<ReadTimes>(rest).expect("the times");
    assert_eq!((found, found_times), (message, times));
    assert_eq!(postcard::from_bytes::<EvacuationCopy>(rest), Ok(copy));
}

/// Guards against a datagram of an older build that is taken to tell where the log ends, and against a view that is lost
/// where a newer build appends more.
#[test]
fn older_and_newer_datagrams() {
    let (message, times, copy) = parts();
    let decode = |data: &[u8]| Message::decode(data).expect("a message").1;
    assert_eq!(decode(&encode(&message)).log, None);
    assert_eq!(decode(&encode(&(&message, &times))).log, None);
    let old = decode(&encode(&(&message, &times, &copy)));
    assert_eq!((&old.times, old.log), (&times, None));
    assert_eq!(old.evacuation.as_ref(), Some(&copy));
    let none = decode(&encode(&(&message, &times, &copy, None::<LogView>)));
    assert_eq!((&none.evacuation, none.log), (&Some(copy.clone()), None));
    let new = decode(&encode(&(&message, &times, &copy, Some(VIEW), [9_u8; 30])));
    assert_eq!((new.evacuation, new.log), (Some(copy), Some(VIEW)));
}

/// Guards against an odd view that costs what comes before it in the datagram, and against one that ends early and is
/// taken for another one.
#[test]
fn odd_views_are_left_out() {
    let (message, times, copy) = parts();
    let head = encode(&(&message, &times, &copy));
    let view = encode(&Some(VIEW));
    let mut odd: Vec<Vec<u8>> = (1..view.len()).map(|n| view[..n].to_vec()).collect();
    // No encoding of an `Option`, and a number that is too long.
    odd.push(vec![2, 0, 0, 0]);
    odd.push([&[1][..], &[255; 12]].concat());
    for tail in odd {
        let data = [&head[..], &tail].concat();
        let (found, appended) = Message::decode(&data).expect("a message");
        assert_eq!(found, message, "{tail:?}");
        assert_eq!(appended.times, times, "{tail:?}");
        assert_eq!(appended.evacuation, Some(copy.clone()), "{tail:?}");
        assert_eq!(appended.log, None, "{tail:?}");
    }
}

/// Guards against a view that makes datagrams costly: they go out four times a second to up to 16 entries.
#[test]
fn views_are_small() {
    assert!(encode(&Some(VIEW)).len() <= 8);
}
