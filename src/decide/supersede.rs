//! When endpoints with an older version of the weights get their last requests, after a newer version became desired.
//!
//! A request counts from when its endpoint begins it. A sound endpoint may be silent for a while: it reads and sends
//! nothing, loses nothing, and then goes on with what lies in its sockets. What it was sent before the silence it begins
//! after it, even if the connection was closed meanwhile. So the last request is sent as long before the end of an older
//! version as a silence may last, and endpoints load the newer version by then.

use crate::base::Millis;

/// Longest silence of a sound endpoint.
pub const SILENCE_MAX: Millis = Millis(1750);

/// Time in which a request reaches an endpoint with a free slot and begins there.
const BEGIN_TIME: Millis = Millis(350);

/// Usual duration of a request. Requests must end by their host's load start, so that the last ones of a host are sent
/// about this long before it.
const USUAL_DURATION: Millis = Millis(1000);

/// Longest wait of a request in the queue of an endpoint whose slots are in use.
const QUEUE_TIME: Millis = Millis(1100);

/// Times before the end of an older version, by which a silence of an endpoint lets nothing begin after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Margins {
    silence: Millis,
}

impl Default for Margins {
    fn default() -> Self {
        Self::covering(SILENCE_MAX)
    }
}

impl Margins {
    /// Returns the margins that cover silences of up to `silence`.
    pub const fn covering(silence: Millis) -> Self {
        Self { silence }
    }

    /// Returns the time before the end at which requests that have not begun are cancelled.
    pub fn cancel(self) -> Millis {
        self.silence
    }

    /// Returns the time before the end by which the last host starts to load: its last requests are sent when no more
    /// may be.
    pub fn load(self) -> Millis {
        self.send() - USUAL_DURATION
    }

    /// Returns the time before the end from which no request is sent.
    pub fn send(self) -> Millis {
        self.cancel() + BEGIN_TIME
    }

    /// Returns the time before the end from which a request is sent only if a slot is free at once.
    pub fn queue(self) -> Millis {
        self.send() + QUEUE_TIME
    }

    /// Returns by when a request must be sent and must have begun if its version ends at `end`; `read_time` is the time
    /// in which an endpoint reads its prompt.
    pub fn expiry(self, end: Millis, read_time: Millis) -> Expiry {
        Expiry {
            send_by: end - (self.send() + read_time),
            begin_by: end - self.cancel(),
        }
    }
}

/// Times by which a request must be sent to an endpoint with superseded weights, and must have begun there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// Time from which the request is not sent.
    pub send_by: Millis,
    /// Time at which the request is cancelled if it has not begun.
    pub begin_by: Millis,
}
