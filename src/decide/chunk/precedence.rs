//! Which of two versions to copy first, when a newer one becomes desired while the older one is being copied.
//!
//! The origin's link is the scarce resource: what it sends of one version, it does not send of the other. Every host
//! compares how long callers would have no endpoint on which requests may begin, for both orders. The origin may become
//! unavailable just then, so the comparison takes it to be away for [`OUTAGE`].
//!
//! All hosts should choose alike, or the origin's link is shared between both versions. How many chunks the hosts of the
//! fleet hold together follows from the times at which the versions became desired, which all know; what a host knows of
//! its neighbours lags behind by up to a second in other regions. It counts only where it differs by more than
//! [`DEVIATION`]: if the copy began late or the origin was away, or if the origin is faster.

use crate::base::Millis;

/// Longest time for which the origin is expected to be unavailable.
const OUTAGE: Millis = Millis(6000);

/// Share of the bound in which the origin sends one copy: 4.3 s of 13.4 s where it was measured.
const COPY_SHARE: (u64, u64) = (1, 3);

/// Time from the last chunk that the origin sends until hosts have passed it on and some of them have loaded; in the
/// simulation of 60 hosts in three regions half of them are complete 1.0 s after the origin's last chunk.
const SPREAD: Millis = Millis(1000);

/// Least time that finishing the older version must save: each host drains its requests and loads once more, and while it
/// drains it serves no new ones.
pub(super) const LOAD_COST: Millis = Millis(600);

/// Share of the chunks by which the expected progress may differ from the known one.
const DEVIATION: (u32, u32) = (1, 4);

/// Chunks of a version, as far as this host knows of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of chunks that this host or a neighbour holds.
    pub known: u32,
    /// Number of chunks of the version.
    pub chunks: u32,
}

impl Progress {
    /// Returns the time in which the origin sends the chunks that are not known, if it takes `copy` for all.
    pub(super) fn rest(self, copy: Millis) -> Millis {
        let missing = u64::from(self.chunks.saturating_sub(self.known));
        Millis(copy.0 * missing / u64::from(self.chunks.max(1)))
    }

    /// Returns the progress that is expected after the origin has sent for `elapsed`, unless the known one is much
    /// different.
    fn expected(self, elapsed: Millis, copy: Millis) -> Self {
        let sent = u64::from(self.chunks) * elapsed.0 / copy.0.max(1);
        let sent = u32::try_from(sent).unwrap_or(u32::MAX).min(self.chunks);
        if self.known.abs_diff(sent) * DEVIATION.1 > self.chunks * DEVIATION.0 {
            return self;
        }
        Self {
            known: sent,
            ..self
        }
    }

    fn is_complete(self) -> bool {
        self.known >= self.chunks
    }
}

/// Two versions, of which the older one is being copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prospect {
    /// Time after a version became desired for which requests may begin on older ones.
    pub bound: Millis,
    /// Time at which the older version became desired.
    pub older_named: Millis,
    /// Progress of the older version.
    pub older: Progress,
    /// Progress of the newer version; no chunk is known if its copy has not begun.
    pub newer: Progress,
    /// Time at which the newer version became desired.
    pub newer_named: Millis,
    /// Time at which this host learnt of the newer version. The comparison is as of then: later ones would differ between
    /// the hosts, and a copy that is given up halfway costs the origin's link twice.
    pub learnt: Millis,
    /// Time from which no request is sent to hosts with the loaded version.
    pub loaded_until: Millis,
    /// Time from which no request is sent to hosts with the older version.
    pub older_until: Millis,
}

impl Prospect {
    /// Returns whether to finish and load the older version before the newer one is copied.
    pub fn finishes_older(&self, now: Millis) -> bool {
        if now + SPREAD >= self.older_until || self.newer.is_complete() {
            return false;
        }
        if self.older.is_complete() {
            // The hosts need nothing more of the older version from the origin.
            return true;
        }
        let copy = Millis(self.bound.0 * COPY_SHARE.0 / COPY_SHARE.1);
        let resumed = self.learnt.max(self.newer_named + OUTAGE);
        let elapsed = self.newer_named - self.older_named;
        let older = self.older.expected(elapsed, copy).rest(copy);
        let newer = self.newer.rest(copy);
        let older_done = resumed + older + SPREAD;
        let newer_done = older_done + newer;
        let loss = if older_done < self.older_until {
            (older_done - self.loaded_until) + (newer_done - self.older_until)
        } else {
            newer_done - self.loaded_until
        };
        let direct_loss = resumed + newer + SPREAD - self.loaded_until;
        loss + LOAD_COST <= direct_loss
    }
}
