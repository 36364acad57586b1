//! Progress of following a topic.

use super::{list::ListProgress, Follower, STORE_TIMEOUT};
use crate::{
    base::{Era, Millis},
    emit,
    gateway::{
        log_event,
        record::{PageStart, Records, StoreError, Topic},
        write_time::{LogTimes, Pending, WriteBounds},
    },
};

/// What to read next of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The first page of a list.
    Begin,
    /// A further page of a list.
    Page(PageStart),
    /// The log from an offset on.
    Log(u64),
}

/// Progress of reading one topic, and whether the store answers.
pub(super) struct FollowState {
    /// Offset of the next record of the log to read; `None` until the first page of a list is read.
    pub(super) offset: Option<u64>,
    /// List that is read in pages, from its first page on.
    pub(super) list: Option<ListProgress>,
    /// Offset up to which all records are applied.
    pub(super) read: u64,
    pub(super) times: LogTimes,
    /// Time up to which another process passed on the topic's content, or little less; `None` if none did.
    inactive_at: Option<Millis>,
    /// When the last read that failed began.
    pub(super) failed_at: Millis,
    /// When a read succeeded last.
    last_success: Millis,
    /// Longest time between two successful reads while the store works.
    usual_interval: Millis,
    /// Whether the outage in progress was logged.
    pub(super) lost: bool,
    /// Whether the last read failed.
    pub(super) failing: bool,
    /// Whether the last successful read returned records, and was not the first one.
    pub(super) got_records: bool,
    /// Newest era of the store that was seen; `None` before the first response.
    era: Option<Era>,
}

impl FollowState {
    pub(super) fn new(usual_interval: Millis) -> Self {
        Self {
            offset: None,
            list: None,
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
    pub(super) fn check_era(
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
    pub(super) fn follow_era(&mut self, topic: Topic, newest: Option<Era>) -> bool {
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
            self.begin_again();
            self.times.restart(self.read);
            self.read = 0;
        }
        true
    }

    /// Makes the next read return the first page of a list.
    pub(super) fn begin_again(&mut self) {
        self.offset = None;
        self.list = None;
    }

    /// Returns what to read next.
    pub(super) fn step(&self, now: Millis) -> Step {
        match (self.offset, &self.list) {
            (None, _) => Step::Begin,
            (Some(_), Some(list)) if list.is_page_next(now) => Step::Page(list.start.clone()),
            (Some(offset), _) => Step::Log(offset),
        }
    }

    /// Goes on from the offset before which another process applied all records, if it passed on more than was read here.
    /// What it passes on while a list is read replaces the list; returns whether it did.
    pub(super) fn follow_copy(&mut self, known: Option<u64>) -> bool {
        if self.list.as_ref().is_some_and(|l| l.known != known) {
            self.list = None;
            self.offset = known;
            return true;
        }
        self.offset = self.offset.max(self.offset.and(known));
        false
    }

    /// Begins again as after the start of the process.
    pub(super) fn restart(&mut self, now: Millis) {
        self.begin_again();
        self.last_success = now;
        self.lost = false;
        self.failing = false;
    }

    /// Resets the state while the topic is not read.
    pub(super) fn stop(&mut self, now: Millis) {
        self.restart(now);
        self.times = LogTimes::default();
        self.inactive_at = Some(now);
    }

    /// Returns the bounds on the write times of a response's records, and learns from it how long responses take.
    /// `handover` is [`Follower::handover_time`].
    pub(super) fn bounds(
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
    pub(super) fn is_store_lost(&self, now: Millis) -> bool {
        self.lost || now > self.last_success + self.usual_interval + STORE_TIMEOUT
    }

    /// Records a successful read, of the log or of a page.
    pub(super) fn record_success(&mut self, topic: Topic, now: Millis, follower: &impl Follower) {
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
    }

    pub(super) fn record_failure(&mut self, topic: Topic, now: Millis, error: &StoreError) {
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
