//! Records that wait for an append. One append is in flight at a time, while the next batch collects.

use std::collections::VecDeque;

use crate::{
    base::{Millis, RecordId, RequestId},
    kernel::{Body, Claim, Done, Record, Void},
};

/// Claims or voids in one record; keeps the record within its size limit even with the longest names.
const BATCH_MAX: usize = 512;

/// Outcomes in one record; keeps the record within its size limit even with the largest bodies.
const OUTCOMES_MAX: usize = 48;

/// The append in flight.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) record: Record,
    pub(super) since: Millis,
}

/// Records that wait for an append.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    voids: VecDeque<Void>,
    claims: VecDeque<Claim>,
    outcomes: VecDeque<Done>,
    /// Records of voids and outcomes whose append failed; they are appended again under the same record id.
    retries: VecDeque<Record>,
    /// Time at which the oldest item of the current batch was added.
    since: Option<Millis>,
    /// Whether the last batch had claims, so that outcomes are next.
    claims_last: bool,
    pub(super) in_flight: Option<InFlight>,
}

impl Outbox {
    /// Returns the number of voids and outcomes that wait for an append.
    pub(super) fn backlog(&self) -> usize {
        let retries = self.retries.iter().map(|r| match &r.body {
            Body::Voids(b) => b.len(),
            Body::Done(b) => b.len(),
            _ => 0,
        });
        self.voids.len() + self.outcomes.len() + retries.sum::<usize>()
    }

    pub(super) fn claim(&mut self, now: Millis, claim: Claim) {
        self.since.get_or_insert(now);
        self.claims.push_back(claim);
    }

    pub(super) fn void(&mut self, now: Millis, void: Void) {
        self.since.get_or_insert(now);
        self.voids.push_back(void);
    }

    pub(super) fn done(&mut self, now: Millis, done: Done) {
        self.since.get_or_insert(now);
        self.outcomes.push_back(done);
    }

    /// Removes the claim of a request from the queue; a claim that an append has taken stays.
    pub(super) fn remove_claim(&mut self, id: &RequestId) {
        self.claims.retain(|c| c.request != *id);
    }

    /// Queues a record for another append; it keeps its id, so that it takes effect only once.
    pub(super) fn retry(&mut self, record: Record) {
        self.retries.push_back(record);
    }

    /// Returns the time at which the next batch is due; `None` while an append is in flight or nothing waits.
    pub(super) fn due(&self, linger: Millis) -> Option<Millis> {
        if self.in_flight.is_some() {
            return None;
        }
        if !self.retries.is_empty() || self.claims.len() >= BATCH_MAX {
            return Some(Millis::ZERO);
        }
        self.since.map(|t| t + linger)
    }

    /// Removes the next batch from the queue and marks it as in flight.
    pub(super) fn start_append(&mut self, now: Millis) -> Option<Record> {
        let record = match self.retries.pop_front() {
            Some(record) => record,
            None => Record::new(self.batch()?),
        };
        if self.voids.is_empty() && self.claims.is_empty() && self.outcomes.is_empty() {
            self.since = None;
        }
        self.in_flight = Some(InFlight {
            record: record.clone(),
            since: now,
        });
        Some(record)
    }

    /// Removes the next batch from the queue.
    ///
    /// Voids go before claims, because a claim of a later attempt is valid only after the voids of the earlier ones.
    fn batch(&mut self) -> Option<Body> {
        if !self.voids.is_empty() {
            let n = self.voids.len().min(BATCH_MAX);
            return Some(Body::Voids(self.voids.drain(..n).collect()));
        }
        let claims = !self.claims.is_empty() && (self.outcomes.is_empty() || !self.claims_last);
        self.claims_last = claims;
        if claims {
            let n = self.claims.len().min(BATCH_MAX);
            return Some(Body::Claims(self.claims.drain(..n).collect()));
        }
        let n = self.outcomes.len().min(OUTCOMES_MAX);
        (n > 0).then(|| Body::Done(self.outcomes.drain(..n).collect()))
    }

    /// Returns the append in flight if it has this record id, and marks it as ended.
    pub(super) fn end_append(&mut self, id: RecordId) -> Option<InFlight> {
        self.in_flight.take_if(|f| f.record.id == id)
    }
}
