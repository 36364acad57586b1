//! Follows a compacted topic of the store.

use std::{future::Future, rc::Rc};

use super::{
    log_event,
    record::{Record, RecordStore, StoreError, Topic},
};
use crate::{
    base::{jitter, Clock, Millis, SystemClock},
    emit,
};

/// Time after a failed read; short, because a bound on configuration runs on.
const RETRY: Millis = Millis(300);

/// Time between two looks whether a topic is wanted again.
const REST: Millis = Millis(120);

/// Time without an answer after which the store counts as lost.
const LOST: Millis = Millis(1500);

/// Takes what a topic says.
pub trait Follower {
    /// Takes a record.
    fn apply(&self, record: Record);

    /// Takes all records of the topic; keys that are missing were removed.
    fn replace(&self, records: Vec<Record>);

    /// Notes that the store answers again after an outage; called before the records are taken.
    fn store_recovered(&self);

    /// Notes that all records of a read were taken.
    fn batch_applied(&self) {}

    /// Notes that the store answered.
    fn read_succeeded(&self) {}

    /// Returns whether the topic is to be read; while it is not, another process tells what it says.
    fn should_read(&self) -> bool {
        true
    }

    /// Returns the pause after a read; topics that change all the time are read at intervals.
    fn pause(&self) -> Millis {
        Millis::ZERO
    }

    /// Returns when a waiting read should be given up and made again, because there is news of which it says nothing.
    fn read_interrupted(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }
}

/// Follows a topic for ever: reads with a wait of `wait`, with the follower's pause between two reads.
pub async fn follow<S: RecordStore>(
    store: S,
    topic: Topic,
    wait: Millis,
    follower: Rc<impl Follower>,
) {
    let clock = SystemClock::start();
    let mut state = State {
        offset: None,
        answered: clock.now(),
        usual: wait + follower.pause(),
        lost: false,
        failing: false,
    };
    loop {
        if !follower.should_read() {
            state.rest(clock.now());
            tokio::time::sleep(REST.duration()).await;
            continue;
        }
        let result = match state.offset {
            None => store.newest(topic).await.map(|r| (r, true)),
            Some(from) => {
                // A read that waits would notice the end of an outage late.
                let wait = if state.failing { Millis::ZERO } else { wait };
                let read = store.read(topic, from, wait);
                tokio::select! {
                    result = read => result.map(|r| (r, false)),
                    () = follower.read_interrupted() => continue,
                }
            }
        };
        match result {
            Ok((_, false)) if state.is_away(clock.now()) => {
                // Records since the outage come in pages; until the last one, others must not rely on this process.
                state.offset = None;
            }
            Ok((records, all)) => {
                state.answer(topic, clock.now(), &*follower);
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
                state.fail(topic, clock.now(), &e);
                tokio::time::sleep(jitter(RETRY).duration()).await;
            }
        }
    }
}

struct State {
    offset: Option<u64>,
    answered: Millis,
    /// Longest time between two answers when all is well.
    usual: Millis,
    lost: bool,
    /// Whether the last call failed.
    failing: bool,
}

impl State {
    /// Starts anew after a time without reads.
    fn rest(&mut self, now: Millis) {
        self.offset = None;
        self.answered = now;
        self.lost = false;
        self.failing = false;
    }

    /// Returns whether the store has not answered for so long that it counts as lost.
    fn is_away(&self, now: Millis) -> bool {
        self.lost || now > self.answered + self.usual + LOST
    }

    fn answer(&mut self, topic: Topic, now: Millis, follower: &impl Follower) {
        if self.is_away(now) {
            let away = now - self.answered;
            emit!(
                log_event::STORE,
                "topic={topic:?} outcome=regained away={}",
                away.0
            );
            follower.store_recovered();
        }
        self.lost = false;
        self.failing = false;
        self.answered = now;
        follower.read_succeeded();
    }

    fn fail(&mut self, topic: Topic, now: Millis, error: &StoreError) {
        self.failing = true;
        if !self.lost && self.is_away(now) {
            self.lost = true;
            emit!(
                log_event::STORE,
                "topic={topic:?} outcome=lost reason=\"{error}\""
            );
        }
    }
}
