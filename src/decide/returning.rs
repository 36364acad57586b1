//! Tells callers that return after a rejection from those at their first attempt, by the requests that entries rejected.
//!
//! A caller sends its request again under a new id, at any entry. Two things stay the same: the content of the request, and
//! the time at which its caller stops waiting. Neither a route's timeout nor any other setting changes them, so that the
//! order in which callers are served doesn't depend on settings.

use serde::{Deserialize, Serialize};

use crate::base::{HashMap, Millis};

/// Largest difference between the deadlines of two attempts of one caller: connections take their time to open, and news
/// of other entries to arrive.
const DEADLINE_TOLERANCE: Millis = Millis(250);

/// Time after a rejection from which its caller isn't expected to return any more, however long it waits.
const RETENTION: Millis = Millis(10_000);

/// Interval at which rejections are removed whose callers have stopped waiting or aren't expected any more.
const REMOVAL_INTERVAL: Millis = Millis(1000);

/// Largest number of rejections that are remembered; beyond it, callers count as being at their first attempt.
const REJECTIONS_MAX: usize = 16_384;

/// Identity of a request over the attempts of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey(u32);

impl RequestKey {
    /// Creates the key of a request from everything that its caller sends again unchanged.
    pub fn new<'a>(content: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in content {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let [a, b, c, d, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// A rejected request, as one entry tells others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The request.
    pub key: RequestKey,
    /// Time for which its caller still waits.
    pub left: Millis,
}

/// Returns whether two attempts with these deadlines may be those of one caller.
fn is_same_caller(a: Millis, b: Millis) -> bool {
    a + DEADLINE_TOLERANCE >= b && b + DEADLINE_TOLERANCE >= a
}

/// When the caller of a rejected request stops waiting, and until when the rejection is remembered.
#[derive(Clone, Copy, Debug)]
struct Remembered {
    /// That of the first rejection, so that many callers whose deadlines differ little from one to the next don't pass
    /// for one.
    deadline: Millis,
    /// When the first rejection became known.
    at: Millis,
    until: Millis,
    /// Whether several callers sent this request, so that it doesn't tell who returns.
    shared: bool,
}

/// Requests that entries rejected and whose callers may return.
#[derive(Debug, Default)]
pub struct Rejections {
    requests: HashMap<RequestKey, Remembered>,
    /// Rejections of this entry that others have not been told of, with the callers' deadlines.
    news: Vec<(RequestKey, Millis)>,
    removed_at: Millis,
}

impl Rejections {
    /// Records that this entry rejected a request whose caller waits until `deadline`.
    pub fn record(&mut self, key: RequestKey, deadline: Millis, now: Millis) {
        self.insert(key, deadline, now);
        if self.news.len() < REJECTIONS_MAX {
            self.news.push((key, deadline));
        }
    }

    /// Records what another entry rejected.
    pub fn merge(&mut self, rejections: &[Rejection], now: Millis) {
        for rejection in rejections {
            self.insert(rejection.key, now + rejection.left, now);
        }
    }

    fn insert(&mut self, key: RequestKey, deadline: Millis, now: Millis) {
        self.remove_old(now);
        let until = deadline.min(now + RETENTION);
        if let Some(known) = self.requests.get_mut(&key) {
            known.shared |= !is_same_caller(known.deadline, deadline);
            known.until = known.until.max(until);
            return;
        }
        if self.requests.len() < REJECTIONS_MAX {
            let shared = false;
            let request = Remembered {
                deadline,
                at: now,
                until,
                shared,
            };
            self.requests.insert(key, request);
        }
    }

    fn remove_old(&mut self, now: Millis) {
        if now >= self.removed_at + REMOVAL_INTERVAL {
            self.requests.retain(|_, known| known.until > now);
            self.removed_at = now;
        }
    }

    /// Returns whether no rejection is remembered, so that no caller can be one that returns.
    pub fn is_empty(&mut self, now: Millis) -> bool {
        self.remove_old(now);
        self.requests.is_empty()
    }

    /// Returns whether the caller of a request, which waits until `deadline`, returns after a rejection; `false` if other
    /// callers that were rejected asked the same.
    pub fn is_returning(&self, key: RequestKey, deadline: Millis) -> bool {
        self.rejected_at(key, deadline).is_some()
    }

    /// Returns when the first rejection of the caller of a request became known, if the caller returns after one; as
    /// [`Self::is_returning`].
    pub fn rejected_at(&self, key: RequestKey, deadline: Millis) -> Option<Millis> {
        let known = self.requests.get(&key)?;
        let same = !known.shared && is_same_caller(known.deadline, deadline);
        same.then_some(known.at)
    }

    /// Takes the rejections of this entry that others have not been told of.
    pub fn take_news(&mut self, now: Millis) -> Vec<Rejection> {
        let news = self.news.drain(..).filter(|(_, deadline)| *deadline > now);
        news.map(|(key, deadline)| Rejection {
            key,
            left: deadline - now,
        })
        .collect()
    }
}
