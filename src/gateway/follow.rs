//! Follows a compacted topic of the store.

use std::{convert::Infallible, future::Future, panic::AssertUnwindSafe, rc::Rc};

use futures_util::FutureExt;

use super::{
    log_event,
    record::{Record, RecordStore, StoreError, Topic},
};
use crate::{
    base::{jitter, Clock, Millis, SystemClock},
    emit,
};

/// Mean pause after a failed read; short, because the time limit on applying a new configuration continues to run.
const READ_RETRY: Millis = Millis(300);

/// Interval at which [`Follower::should_read`] is checked while the topic is not read.
const INACTIVE_POLL: Millis = Millis(120);

/// Time without a successful read, beyond the usual time between reads, after which the store counts as lost.
const STORE_TIMEOUT: Millis = Millis(1500);

/// Pause after a panic of a follower, before all records are read again.
const PANIC_RETRY: Millis = Millis(1000);

/// Applies the records of a compacted topic.
pub trait Follower {
    /// Applies one record.
    fn apply(&self, record: Record);

    /// Replaces the known state by all records of the topic; keys that are missing were removed.
    fn replace(&self, records: Vec<Record>);

    /// Called when a read succeeds after an outage of the store, before its records are applied.
    fn store_recovered(&self);

    /// Called when all records of a read are applied.
    fn batch_applied(&self) {}

    /// Called after each successful read, before its records are applied.
    fn read_succeeded(&self) {}

    /// Returns whether to read the topic; while this is false, another process passes on its content.
    fn should_read(&self) -> bool {
        true
    }

    /// Returns the pause after a read; topics that change continually are read at intervals instead of by long poll.
    fn pause(&self) -> Millis {
        Millis::ZERO
    }

    /// Completes when a waiting read must be abandoned and issued again, because there may be records that would not end
    /// its wait, for example after the read of another topic found the store to be back.
    fn read_interrupted(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }
}

/// Follows a topic and never returns. Each read waits up to `wait` for new records; the follower's pause separates
/// reads. If the follower panics, all records are read again.
pub async fn follow<S: RecordStore>(
    store: S,
    topic: Topic,
    wait: Millis,
    follower: Rc<impl Follower>,
) {
    loop {
        let run = follow_topic(&store, topic, wait, &*follower);
        if AssertUnwindSafe(run).catch_unwind().await.is_err() {
            emit!(
                log_event::RECORD,
                "topic={topic:?} reason=\"a record made the follower panic; all records are read again\""
            );
            tokio::time::sleep(PANIC_RETRY.duration()).await;
        }
    }
}

async fn follow_topic<S: RecordStore>(
    store: &S,
    topic: Topic,
    wait: Millis,
    follower: &impl Follower,
) -> Infallible {
    let clock = SystemClock::start();
    let mut state = FollowState {
        offset: None,
        last_success: clock.now(),
        usual_interval: wait + follower.pause(),
        lost: false,
        failing: false,
    };
    loop {
        if !follower.should_read() {
            state.reset(clock.now());
            tokio::time::sleep(INACTIVE_POLL.duration()).await;
            continue;
        }
        let result = match state.offset {
            None => store.newest(topic).await.map(|r| (r, true)),
            Some(from) => {
                // While reads fail, a long poll would delay the detection that the store is back.
                let wait = if state.failing { Millis::ZERO } else { wait };
                let read = store.read(topic, from, wait);
                tokio::select! {
                    result = read => result.map(|r| (r, false)),
                    () = follower.read_interrupted() => continue,
                }
            }
        };
        match result {
            Ok((_, false)) if state.is_store_lost(clock.now()) => {
                // The backlog of an outage would come in pages, and other processes must not rely on this one before
                // the last page; the newest record of each key comes at once.
                state.offset = None;
            }
            Ok((records, all)) => {
                state.record_success(topic, clock.now(), follower);
                state.offset = Some(records.next);
                if all {
                    follower.replace(records.records);
                } else {
                    for record in records.records {
                        follower.apply(record);
                    }
                }
                follower.batch_applied();
                tokio::time::sleep(follower.pause().duration()).await;
            }
            Err(StoreError::Trimmed) => {
                emit!(
                    log_event::STORE,
                    "topic={topic:?} outcome=trimmed offset={:?}",
                    state.offset
                );
                state.offset = None;
            }
            Err(e) => {
                state.record_failure(topic, clock.now(), &e);
                if state.lost || matches!(e, StoreError::Malformed(_)) {
                    // The log may remain unreadable from this offset on, for example if the response is too large.
                    state.offset = None;
                }
                tokio::time::sleep(jitter(READ_RETRY).duration()).await;
            }
        }
    }
}

/// Progress of reading one topic, and whether the store answers.
struct FollowState {
    /// Offset of the next record to read; `None` before the first read and when all records must be read again.
    offset: Option<u64>,
    /// When a read succeeded last.
    last_success: Millis,
    /// Longest time between two successful reads while the store works.
    usual_interval: Millis,
    /// Whether the outage in progress was logged.
    lost: bool,
    /// Whether the last read failed.
    failing: bool,
}

impl FollowState {
    /// Resets the state while the topic is not read.
    fn reset(&mut self, now: Millis) {
        self.offset = None;
        self.last_success = now;
        self.lost = false;
        self.failing = false;
    }

    /// Returns whether reads have failed for so long that the store counts as lost.
    fn is_store_lost(&self, now: Millis) -> bool {
        self.lost || now > self.last_success + self.usual_interval + STORE_TIMEOUT
    }

    fn record_success(&mut self, topic: Topic, now: Millis, follower: &impl Follower) {
        if self.is_store_lost(now) {
            let away = now - self.last_success;
            emit!(
                log_event::STORE,
                "topic={topic:?} outcome=regained away={}",
                away.0
            );
            follower.store_recovered();
        }
        self.lost = false;
        self.failing = false;
        self.last_success = now;
        follower.read_succeeded();
    }

    fn record_failure(&mut self, topic: Topic, now: Millis, error: &StoreError) {
        self.failing = true;
        if !self.lost && self.is_store_lost(now) {
            self.lost = true;
            emit!(
                log_event::STORE,
                "topic={topic:?} outcome=lost reason=\"{error}\""
            );
        }
    }
}
