//! Numbered log events.
//!
//! Each module registers its events with [`events!`](crate::events); `docs/events.md` is the catalogue. Numbers are never reused.
//! Ranges: 100 kernel and feed, 200 settings, 300 membership, 400 entry, 500 agent, 600 weights, 700 transport,
//! 800 operator, 900 platform and endpoint adapters.

use std::fmt;

use linkme::distributed_slice;

/// All events that the linked modules registered.
#[distributed_slice]
pub static EVENTS: [Event];

/// One entry of the event catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Unique in the program.
    pub number: u16,
    /// Short lower-case name with hyphens.
    pub name: &'static str,
    /// Severity at which the event is logged.
    pub level: log::Level,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub remedy: &'static str,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SW{:03} {}", self.number, self.name)
    }
}

/// Declares and registers numbered events.
///
/// ```
/// sesamewing::events! {
///     /// A peer presented a certificate of another authority.
///     PEER_REJECTED = 790, "peer-rejected-example", Warn,
///         "a peer presented a certificate of another authority", "check the peer's tls settings";
/// }
/// assert_eq!(PEER_REJECTED.to_string(), "SW790 peer-rejected-example");
/// ```
#[macro_export]
macro_rules! events {
    ($($(#[$doc:meta])* $id:ident = $number:literal, $name:literal, $level:ident, $meaning:literal, $remedy:literal;)+) => {
        $(
            $(#[$doc])*
            #[linkme::distributed_slice($crate::base::event::EVENTS)]
            pub(crate) static $id: $crate::base::event::Event = $crate::base::event::Event {
                number: $number,
                name: $name,
                level: log::Level::$level,
                meaning: $meaning,
                remedy: $remedy,
            };
        )+
    };
}

/// Logs a numbered event with further text.
///
/// The text must not contain keys, prompts or answers.
#[macro_export]
macro_rules! emit {
    ($event:expr, $($arg:tt)+) => {
        log::log!($event.level, "{}: {}", $event, format_args!($($arg)+))
    };
}
