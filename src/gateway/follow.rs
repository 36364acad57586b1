//! Follows a compacted topic of the store.

use std::{convert::Infallible, future::Future, panic::AssertUnwindSafe, rc::Rc};

use futures_util::FutureExt;

use super::{
    log_event,
    log_view::LogView,
    record::{Record, RecordStore, Records, StoreError, Topic},
    steadiness::ResponseTime,
    write_time::{LogTimes, Pending, WriteAge, WriteBounds},
};
use crate::{
    base::{jitter, spread, Clock, Era, Millis, SystemClock},
    emit,
};

/// Mean pause after a failed read; short, because the time limit on applying a new configuration continues to run.
const READ_RETRY: Millis = Millis(300);

/// Pause between reads of a topic that is followed by long poll, while the store is unsteady.
const UNSTEADY_PAUSE: Millis = Millis(400);

/// Interval at which [`Follower::should_read`] is checked while the topic is not read.
const INACTIVE_POLL: Millis = Millis(120);

/// Time without a successful read, beyond the usual time between reads, after which the store counts as lost.
const STORE_TIMEOUT: Millis = Millis(1500);

/// Time after the begin of a read within which the time of its records is taken to be that begin.
const CHECK_MIN: Millis = Millis(300);

/// Shortest and longest limit of the time for which the records of a response are held until another read shows whether
/// the store responds as soon as usual. Without a lower limit, a busy machine alone fails the check.
const CHECK_LIMITS: (Millis, Millis) = (Millis(120), Millis(1000));

/// Pause after a panic of a follower, before all records are read again.
const PANIC_RETRY: Millis = Millis(1000);

/// Applies the records of a compacted topic.
pub trait Follower {
    /// Called before each record, and before all records of [`Follower::replace`], with what is known of their age;
    /// `None` if that is nothing, because this process had not followed the topic before.
    fn note_age(&self, _age: Option<WriteAge>) {}

    /// Returns the longest time from when another process last passed on the topic's content to when
    /// [`Follower::should_read`] becomes true; `None` if none did.
    fn handover_time(&self) -> Option<Millis> {
        None
    }

    /// Returns the newest known end of the topic's log if another process reported one. Versions before that position
    /// came with the report or before it.
    fn reported_end(&self) -> Option<LogView> {
        None
    }

    /// Applies one record.
    fn apply(&self, record: Record);

    /// Replaces the known state by all records of the topic; keys that are missing were removed.
    fn replace(&self, records: Vec<Record>);

    /// Called when a read succeeds after an outage of the store, before its records are applied.
    fn store_recovered(&self);

    /// Called when all records of a read are applied; `next` is the offset of the next record, and `age` the time since
    /// the moment at which the log ended there, `None` if it holds further records.
    fn batch_applied(&self, _next: u64, _age: Option<Millis>) {}

    /// Returns the offset before which all records are applied, if another process passed on the content of the topic up
    /// to there.
    fn applied_until(&self) -> Option<u64> {
        None
    }

    /// Called when the log turns out to have begun anew, so that offsets of before tell nothing.
    fn log_restarted(&self) {}

    /// Called with the era of each response of the store, before the response is examined.
    fn note_era(&self, _era: Era) {}

    /// Returns the newest era of the store that this process knows by other reads, or from other processes.
    fn era(&self) -> Option<Era> {
        None
    }

    /// Called for each response that is ignored because it is of an older era of the store.
    fn response_ignored(&self) {}

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

    /// Returns whether the store responds as soon as usual. While it does not, the topic is read at short intervals, because
    /// a long poll may not end with the next record.
    fn is_steady(&self) -> bool {
        true
    }

    /// Returns whether other processes read the topic, too, so that records end the waits of several readers at once.
    fn has_other_readers(&self) -> bool {
        false
    }

    /// Called at intervals while a read has no response, and when it ends.
    fn note_response(&self, _response: ResponseTime) {}

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
    let clock = SystemClock::start();
    let mut state = FollowState::new(wait + follower.pause());
    loop {
        state.restart(clock.now());
        let run = follow_topic(&store, topic, wait, &*follower, clock, &mut state);
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
    clock: SystemClock,
    state: &mut FollowState,
) -> Infallible {
    loop {
        if !follower.should_read() {
            state.stop(clock.now());
            tokio::time::sleep(INACTIVE_POLL.duration()).await;
            continue;
        }
        state.follow_era(topic, follower.era());
        let known = follower.applied_until();
        state.offset = state.offset.max(state.offset.and(known));
        // While reads fail, a long poll would delay the detection that the store is back.
        let polls = !state.failing && follower.is_steady();
        let least_pause = if polls || wait == Millis::ZERO {
            Millis::ZERO
        } else {
            UNSTEADY_PAUSE
        };
        let spreads = state.got_records && follower.has_other_readers();
        let wait = match (polls, spreads) {
            (false, _) => Millis::ZERO,
            (true, false) => wait,
            // All readers get records at the same time. Their next waits are of different length, so that they do not all
            // end together: the end of each shows that nothing was written until then.
            (true, true) => spread(wait),
        };
        let (result, pending) = match state.offset {
            None => Pending::observe(&clock, store.newest(topic), |_| {}).await,
            Some(from) => {
                let read = store.read(topic, from, wait);
                let pending = |time| follower.note_response(ResponseTime::Pending(time - wait));
                tokio::select! {
                    observed = Pending::observe(&clock, read, pending) => observed,
                    () = follower.read_interrupted() => continue,
                }
            }
        };
        let from = state.offset;
        note_response(follower, from.is_some(), wait, &result, &pending);
        let result = state.check_era(result, follower);
        let era = result.as_ref().ok().map(|r| r.era);
        let known = if state.follow_era(topic, era.max(follower.era())) {
            follower.applied_until()
        } else {
            known
        };
        match result {
            // Records before these may have been missed, because offsets are used again.
            Ok(_) if from.is_some() && state.offset.is_none() => {}
            Ok(records) if from.is_some_and(|at| records.end < at) => {
                log_restart(topic, from, records.end);
                follower.log_restarted();
                state.offset = None;
                tokio::time::sleep(jitter(READ_RETRY).duration()).await;
            }
            Ok(_) if from.is_some() && state.is_store_lost(clock.now()) => {
                // The backlog of an outage would come in pages, and other processes must not rely on this one before
                // the last page; the newest record of each key comes at once.
                state.offset = None;
            }
            Ok(records) => {
                let mut bounds = state.bounds(&records, &pending, wait, follower.handover_time());
                if from.is_some() && bounds.after > Some(pending.begun + CHECK_MIN) {
                    let check = check_response(store, topic, &records, &state.times, &clock);
                    bounds.check_wait(pending.begun, check.await);
                }
                if from.is_none() {
                    let reported = follower
                        .reported_end()
                        .filter(|v| v.position <= records.next);
                    bounds.use_report(reported.map(|v| clock.now() - v.age));
                }
                state.record_success(topic, clock.now(), follower);
                state.got_records =
                    !records.records.is_empty() && (from.is_some() || state.read > 0);
                state.offset = Some(records.next);
                let (next, end) = (records.next, records.end);
                if let Some(from) = from {
                    for (offset, record) in (from..).zip(records.records) {
                        follower.note_age(bounds.age(&state.times, offset, clock.now()));
                        follower.apply(record);
                    }
                } else {
                    if known > Some(next) {
                        // The store answers with its present state, so that the log has begun anew.
                        log_restart(topic, known, next);
                        follower.log_restarted();
                    }
                    follower.note_age(bounds.age(&state.times, state.read, clock.now()));
                    // What another process passed on during the read may be newer.
                    if follower.applied_until().is_none_or(|at| at <= next) {
                        follower.replace(records.records);
                    }
                }
                state.read = next;
                state.times.record_end(end, bounds.made, next);
                let age = (next >= end).then(|| clock.now() - bounds.made);
                follower.batch_applied(next, age);
                let pause = follower.pause().max(least_pause);
                tokio::time::sleep(pause.duration()).await;
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
                state.failed_at = pending.begun;
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

/// Returns how long the store takes to respond to a read right after a response; `None` if it takes longer than usual.
/// Then that response may have been under way for long, and its records were written long before it arrived.
async fn check_response<S: RecordStore>(
    store: &S,
    topic: Topic,
    records: &Records,
    times: &LogTimes,
    clock: &SystemClock,
) -> Option<Millis> {
    let begun = clock.now();
    let limit = times.latest_usual().clamp(CHECK_LIMITS.0, CHECK_LIMITS.1);
    let check = store.read(topic, records.next, Millis::ZERO);
    let check = tokio::time::timeout(limit.duration(), check).await;
    matches!(check, Ok(Ok(_))).then(|| clock.now() - begun)
}

/// Tells the follower how long a response took beyond its wait. Of a read of all records, which takes longer, only a
/// failure is told, and of a long poll that a record ended nothing is known.
fn note_response(
    follower: &impl Follower,
    is_continued: bool,
    wait: Millis,
    result: &Result<Records, StoreError>,
    pending: &Pending,
) {
    let Ok(records) = result else {
        follower.note_response(ResponseTime::Failed);
        return;
    };
    let waited = records.records.is_empty() || wait == Millis::ZERO;
    if is_continued && waited {
        let taken = pending.ended - pending.begun - records.body_time;
        follower.note_response(ResponseTime::Taken(taken - wait));
    }
}

fn log_restart(topic: Topic, known: Option<u64>, end: u64) {
    emit!(
        log_event::STORE,
        "topic={topic:?} outcome=restarted offset={known:?} end={end}"
    );
}

/// Progress of reading one topic, and whether the store answers.
struct FollowState {
    /// Offset of the next record to read; `None` before the first read and when all records must be read again.
    offset: Option<u64>,
    /// Offset up to which all records are applied.
    read: u64,
    times: LogTimes,
    /// Time up to which another process passed on the topic's content, or little less; `None` if none did.
    inactive_at: Option<Millis>,
    /// When the last read that failed began.
    failed_at: Millis,
    /// When a read succeeded last.
    last_success: Millis,
    /// Longest time between two successful reads while the store works.
    usual_interval: Millis,
    /// Whether the outage in progress was logged.
    lost: bool,
    /// Whether the last read failed.
    failing: bool,
    /// Whether the last successful read returned records, and was not the first one.
    got_records: bool,
    /// Newest era of the store that was seen; `None` before the first response.
    era: Option<Era>,
}

impl FollowState {
    fn new(usual_interval: Millis) -> Self {
        Self {
            offset: None,
            read: 0,
            times: LogTimes::default(),
            inactive_at: None,
            failed_at: Millis::ZERO,
            last_success: Millis::ZERO,
            usual_interval,
            lost: false,
            failing: false,
            got_records: false,
            era: None,
        }
    }

    /// Notes the era of a response; fails if that is older than the newest known one.
    fn check_era(
        &self,
        result: Result<Records, StoreError>,
        follower: &impl Follower,
    ) -> Result<Records, StoreError> {
        let records = result?;
        follower.note_era(records.era);
        if Some(records.era) < self.era.max(follower.era()) {
            follower.response_ignored();
            return Err(StoreError::Outdated(records.era));
        }
        Ok(records)
    }

    /// Begins a newer era of the store, whose offsets are those of another log; returns whether `newest` is one.
    fn follow_era(&mut self, topic: Topic, newest: Option<Era>) -> bool {
        if newest <= self.era {
            return false;
        }
        let before = std::mem::replace(&mut self.era, newest);
        if let Some((before, era)) = before.zip(newest) {
            emit!(
                log_event::STORE,
                "topic={topic:?} outcome=restored era={era} before={before} offset={:?}",
                self.offset
            );
            self.offset = None;
            self.times.restart(self.read);
            self.read = 0;
        }
        true
    }

    /// Makes the next read return all records.
    fn restart(&mut self, now: Millis) {
        self.offset = None;
        self.last_success = now;
        self.lost = false;
        self.failing = false;
    }

    /// Resets the state while the topic is not read.
    fn stop(&mut self, now: Millis) {
        self.restart(now);
        self.times = LogTimes::default();
        self.inactive_at = Some(now);
    }

    /// Returns the bounds on the write times of a response's records, and learns from it how long responses take.
    /// `handover` is [`Follower::handover_time`].
    fn bounds(
        &mut self,
        records: &Records,
        pending: &Pending,
        wait: Millis,
        handover: Option<Millis>,
    ) -> WriteBounds {
        let Pending { begun, ended, .. } = *pending;
        let mut out = WriteBounds {
            after: None,
            outage: Millis::ZERO,
            arrived: ended - records.body_time,
            made: begun,
        };
        let Some(from) = self.offset else {
            let passed_on = self.inactive_at.zip(handover);
            out.after = passed_on.map(|(at, time)| at - time);
            if self.is_store_lost(ended) {
                out.outage = self.failed_at;
            }
            self.times.record_latency(ended - begun - records.body_time);
            return out;
        };
        if !records.records.is_empty() {
            let arrived = pending.arrived_after(records.body_time);
            // A read that does not wait says nothing by the time of its response.
            let waited = self.times.waited_after(from, begun, arrived);
            out.after = waited.filter(|_| wait > Millis::ZERO);
            out.made = begun.max(out.after.unwrap_or_default());
        } else if ended >= begun + wait {
            self.times.record_latency(ended - (begun + wait));
            out.made = begun + wait;
        }
        out
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
