//! Follows a compacted topic of the store: its newest records first, page by page, and its log from there on.

mod follower;
mod list;
mod state;

use std::{convert::Infallible, panic::AssertUnwindSafe, rc::Rc};

use futures_util::FutureExt;

use super::{
    log_event,
    record::{PageStart, RecordStore, Records, StoreError, Topic},
    steadiness::ResponseTime,
    write_time::{LogTimes, Pending},
};
use crate::{
    base::{jitter, spread, Clock, Millis, SystemClock},
    emit,
};

pub use follower::Follower;
pub use list::read_list;
use list::ListProgress;
use state::{FollowState, Step};

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

/// Follows a topic and never returns. Each read waits up to `wait` for new records; the follower's pause separates
/// reads. If the follower panics, all records are read again.
pub async fn follow<S: RecordStore>(
    store: S,
    topic: Topic,
    wait: Millis,
    follower: Rc<impl Follower>,
) {
    let clock = SystemClock::start();
    let mut reader = Reader {
        store: &store,
        topic,
        wait,
        follower: &*follower,
        clock,
        least_pause: Millis::ZERO,
        state: FollowState::new(wait + follower.pause()),
    };
    loop {
        reader.state.restart(clock.now());
        if AssertUnwindSafe(reader.run()).catch_unwind().await.is_err() {
            emit!(
                log_event::RECORD,
                "topic={topic:?} reason=\"a record made the follower panic; all records are read again\""
            );
            tokio::time::sleep(PANIC_RETRY.duration()).await;
        }
    }
}

/// A response of the store with the times of its read.
struct Response {
    records: Records,
    pending: Pending,
    /// Longest wait that the read asked for.
    wait: Millis,
}

/// Reads a topic and has its records applied.
struct Reader<'a, S, F> {
    store: &'a S,
    topic: Topic,
    /// Longest wait of a read.
    wait: Millis,
    follower: &'a F,
    clock: SystemClock,
    /// Least pause after the read in progress.
    least_pause: Millis,
    state: FollowState,
}

impl<S: RecordStore, F: Follower> Reader<'_, S, F> {
    async fn run(&mut self) -> Infallible {
        loop {
            let pause = if self.follower.should_read() {
                self.read_next().await
            } else {
                self.drop_list();
                self.state.stop(self.clock.now());
                INACTIVE_POLL
            };
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Makes one read and has its response applied; returns the pause before the next read.
    async fn read_next(&mut self) -> Millis {
        self.state.follow_era(self.topic, self.follower.era());
        let known = self.follower.applied_until();
        if self.state.follow_copy(known) {
            self.follower.list_dropped();
        }
        let step = self.state.step(self.clock.now());
        let wait = self.next_wait();
        self.least_pause = self.next_least_pause();
        let (result, pending) = match &step {
            Step::Begin => self.read_page(&PageStart::default()).await,
            Step::Page(start) => self.read_page(start).await,
            Step::Log(from) => {
                let read = self.store.read(self.topic, *from, wait);
                let pending = |time| {
                    self.follower
                        .note_response(ResponseTime::Pending(time - wait))
                };
                tokio::select! {
                    observed = Pending::observe(&self.clock, read, pending) => observed,
                    () = self.follower.read_interrupted() => return Millis::ZERO,
                }
            }
        };
        let is_log = matches!(step, Step::Log(_));
        note_response(self.follower, is_log, wait, &result, &pending);
        let result = self.state.check_era(result, self.follower);
        let era = result.as_ref().ok().map(|r| r.era);
        let newest = era.max(self.follower.era());
        let known = if self.state.follow_era(self.topic, newest) {
            self.follower.applied_until()
        } else {
            known
        };
        match result {
            // Records before these may have been missed, because offsets are used again.
            Ok(_) if step != Step::Begin && self.state.offset.is_none() => Millis::ZERO,
            Ok(records) => {
                let response = Response {
                    records,
                    pending,
                    wait,
                };
                self.accept(step, response, known).await
            }
            Err(e) => self.fail(is_log, &e, &pending),
        }
    }

    async fn read_page(&self, start: &PageStart) -> (Result<Records, StoreError>, Pending) {
        let read = self.store.newest(self.topic, start);
        let (page, pending) = Pending::observe(&self.clock, read, |_| {}).await;
        (page.and_then(|p| start.check(p)), pending)
    }

    /// Returns the longest wait of the next read.
    fn next_wait(&self) -> Millis {
        if self.state.list.is_some() || !self.polls() {
            return Millis::ZERO;
        }
        if self.state.got_records && self.follower.has_other_readers() {
            // All readers get records at the same time. Their next waits are of different length, so that they do not all
            // end together: the end of each shows that nothing was written until then.
            return spread(self.wait);
        }
        self.wait
    }

    /// Returns whether reads wait for records. While reads fail, a long poll would delay the detection that the store is
    /// back.
    fn polls(&self) -> bool {
        !self.state.failing && self.follower.is_steady()
    }

    /// Returns the least pause after the next read.
    fn next_least_pause(&self) -> Millis {
        if self.polls() || self.wait == Millis::ZERO {
            Millis::ZERO
        } else {
            UNSTEADY_PAUSE
        }
    }

    /// Applies a response, unless it shows that all records have to be read; returns the pause before the next read.
    async fn accept(&mut self, step: Step, response: Response, known: Option<u64>) -> Millis {
        let now = self.clock.now();
        let end = response.records.end;
        match step {
            Step::Log(from) if end < from => {
                log_restart(self.topic, Some(from), end);
                self.follower.log_restarted();
                self.begin_again();
                jitter(READ_RETRY)
            }
            // The backlog of an outage would come in pages, and other processes must not rely on this one before the last
            // page; a list holds only the newest record of each key.
            Step::Log(_) | Step::Page(_) if self.state.is_store_lost(now) => {
                self.begin_again();
                Millis::ZERO
            }
            Step::Log(from) => self.apply_log(from, response).await,
            Step::Page(_) => self.apply_page(response.records),
            Step::Begin => self.begin_list(response, known),
        }
    }

    /// Applies records of the log from the offset `from` on.
    async fn apply_log(&mut self, from: u64, response: Response) -> Millis {
        let Response {
            records,
            pending,
            wait,
        } = response;
        let mut bounds = self.state.bounds(&records, &pending, wait, None);
        if bounds.after > Some(pending.begun + CHECK_MIN) {
            let times = &self.state.times;
            let check = check_response(self.store, self.topic, &records, times, &self.clock);
            bounds.check_wait(pending.begun, check.await);
        }
        let now = self.clock.now();
        self.state.record_success(self.topic, now, self.follower);
        if self.state.list.is_none() {
            self.follower.read_succeeded();
        }
        self.state.got_records = !records.records.is_empty();
        let (next, end) = (records.next, records.end);
        self.state.offset = Some(next);
        for (offset, record) in (from..).zip(records.records) {
            let age = bounds.age(&self.state.times, offset, self.clock.now());
            self.follower.note_age(age);
            self.follower.apply(record);
        }
        self.state.times.record_end(end, bounds.made, next);
        if let Some(list) = &mut self.state.list {
            list.log_applied(next >= end, bounds.made, self.clock.now());
            let pause = self.continue_list();
            // A log that holds records and brings none is not asked without a pause.
            let stuck = next == from && next < end;
            return if stuck { jitter(READ_RETRY) } else { pause };
        }
        let pause = self.finish_read(next, (next >= end).then_some(bounds.made));
        // A response has a limit of records and bytes; what is beyond it takes effect no later.
        let has_more = from < next && next < end;
        if has_more {
            Millis::ZERO
        } else {
            pause
        }
    }

    /// Begins a list with its first page. `known` is the offset before which another process had applied all records when
    /// the read began.
    fn begin_list(&mut self, response: Response, known: Option<u64>) -> Millis {
        let Response {
            records,
            pending,
            wait,
        } = response;
        let handover = self.follower.handover_time();
        let mut bounds = self.state.bounds(&records, &pending, wait, handover);
        let reported = self.follower.reported_end();
        let reported = reported.filter(|v| v.position <= records.next);
        bounds.use_report(reported.map(|v| self.clock.now() - v.age));
        let now = self.clock.now();
        self.state.record_success(self.topic, now, self.follower);
        self.state.got_records = !records.records.is_empty() && self.state.read > 0;
        let next = records.next;
        self.state.offset = Some(next);
        if known > Some(next) {
            // The store answers with its present state, so that the log has begun anew.
            log_restart(self.topic, known, next);
            self.follower.log_restarted();
        }
        let times = &mut self.state.times;
        self.follower
            .note_age(bounds.age(times, self.state.read, self.clock.now()));
        times.record_end(records.end, bounds.made, next);
        // What another process passed on during the read may be newer.
        let known = self.follower.applied_until();
        if known > Some(next) {
            self.follower.read_succeeded();
            return self.finish_read(next, Some(bounds.made));
        }
        self.state.list = Some(ListProgress::new(&records, known, bounds.made, now));
        self.follower.list_begun();
        records
            .records
            .into_iter()
            .for_each(|r| self.follower.apply(r));
        self.continue_list()
    }

    /// Applies a further page of a list.
    fn apply_page(&mut self, page: Records) -> Millis {
        let known = self.follower.applied_until();
        let Some(list) = self.state.list.as_mut().filter(|l| l.known == known) else {
            // Another process passed on its content meanwhile.
            return Millis::ZERO;
        };
        list.page_applied(&page);
        self.state
            .record_success(self.topic, self.clock.now(), self.follower);
        page.records
            .into_iter()
            .for_each(|r| self.follower.apply(r));
        self.continue_list()
    }

    /// Ends a list if all its records are applied; returns the pause before the next read.
    fn continue_list(&mut self) -> Millis {
        let offset = self.state.offset.unwrap_or_default();
        let complete = |l: &mut ListProgress| l.is_complete(offset);
        let Some(list) = self.state.list.take_if(complete) else {
            self.follower.list_continued();
            return Millis::ZERO;
        };
        self.follower.read_succeeded();
        self.follower.list_ended();
        self.finish_read(offset, list.made)
    }

    /// Notes that all records before an offset are applied, where the log ended at or after `made`; `None` if it holds
    /// further records.
    fn finish_read(&mut self, offset: u64, made: Option<Millis>) -> Millis {
        self.state.read = offset;
        let age = made.map(|at| self.clock.now() - at);
        self.follower.batch_applied(offset, age);
        self.pause()
    }

    /// Handles a read that failed; returns the pause before the next one.
    fn fail(&mut self, is_log: bool, error: &StoreError, pending: &Pending) -> Millis {
        if *error == StoreError::Trimmed {
            emit!(
                log_event::STORE,
                "topic={:?} outcome=trimmed offset={:?}",
                self.topic,
                self.state.offset
            );
            self.begin_again();
            return Millis::ZERO;
        }
        self.state.failed_at = pending.begun;
        let now = self.clock.now();
        self.state.record_failure(self.topic, now, error);
        let unreadable = matches!(error, StoreError::Malformed(_));
        let pages_left = self.state.list.as_mut().filter(|l| l.has_pages());
        if self.state.lost {
            self.begin_again();
        } else if let Some(list) = pages_left.filter(|_| unreadable && is_log) {
            list.log_unreadable();
        } else if unreadable {
            // The log may remain unreadable from this offset on.
            self.begin_again();
        }
        jitter(READ_RETRY)
    }

    /// Makes the next read begin a list.
    fn begin_again(&mut self) {
        self.drop_list();
        self.state.begin_again();
    }

    fn drop_list(&mut self) {
        if self.state.list.take().is_some() {
            self.follower.list_dropped();
        }
    }

    /// Returns the pause after a read whose records are applied.
    fn pause(&self) -> Millis {
        self.follower.pause().max(self.least_pause)
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
