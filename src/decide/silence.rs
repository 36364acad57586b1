//! Tells a peer that does not read for a while from one whose host is gone, while bytes that were sent to it are not
//! delivered: the kernel of the first one acknowledges what it is sent, also while its receive window is closed.

use crate::base::Millis;

/// Time without an acknowledgement after which the host of a peer is taken for gone. A round trip between regions takes a
/// few milliseconds; one lost packet is sent again within this time.
pub const SILENCE: Millis = Millis(1200);

/// What the kernel reports of the bytes that were sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendState {
    /// Segments that were sent and not acknowledged.
    pub unacked: u32,
    /// Bytes that were not sent yet, for example because the receive window is closed.
    pub unsent: u32,
    /// Probes of a closed receive window that were not acknowledged.
    pub probes: u8,
    /// Time since a segment with bytes was sent, also once more.
    pub sent_ago: Millis,
    /// Time since the last acknowledgement.
    pub acked_ago: Millis,
}

/// State of the peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All bytes were acknowledged.
    Delivered,
    /// Its host acknowledged what was sent last, though not all bytes are delivered.
    Present,
    /// Its host has not acknowledged what was sent last.
    Silent,
    /// Its host was asked and acknowledged nothing for [`SILENCE`].
    Dark,
}

/// Judges the peer of a connection with undelivered bytes by successive states of it.
#[derive(Debug, Default)]
pub struct SilenceWatch {
    /// When the oldest segment or probe was sent that has no acknowledgement, or a later time; `None` if there is none.
    asked: Option<Millis>,
}

impl SilenceWatch {
    /// Starts to watch a peer that was sent a segment at a time, or shortly before.
    pub fn asked_at(at: Millis) -> Self {
        Self { asked: Some(at) }
    }

    /// Returns when the peer is to be taken for dark if it acknowledges nothing until then; `None` if it is not asked
    /// anything.
    pub fn due(&self) -> Option<Millis> {
        self.asked.map(|at| at + SILENCE)
    }

    /// Judges the peer by the present state of its connection.
    pub fn judge(&mut self, state: SendState, now: Millis) -> Verdict {
        let (sent, acked) = (now - state.sent_ago, now - state.acked_ago);
        let unanswered = state.probes > 0 || (state.unacked > 0 && sent > acked);
        if !unanswered {
            self.asked = None;
            let delivered = state.unacked == 0 && state.unsent == 0;
            return if delivered {
                Verdict::Delivered
            } else {
                Verdict::Present
            };
        }
        let asked = match self.asked {
            Some(asked) if acked <= asked => asked,
            // When a probe was sent is not reported.
            _ if state.probes > 0 => now,
            _ => sent,
        };
        self.asked = Some(asked);
        if now - asked >= SILENCE {
            Verdict::Dark
        } else {
            Verdict::Silent
        }
    }
}
