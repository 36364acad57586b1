//! Records that wait for an append: one append is in flight while the next batch gathers.

use std::collections::VecDeque;

use crate::{
    base::{Millis, RecordId, RequestId},
    kernel::{Body, Claim, Done, Record, Void},
};

/// Claims or voids in one record; below the size limit of a record with the longest names.
const BATCH_MAX: usize = 512;

/// Outcomes in one record; below the size limit of a record with the largest bodies.
const DONE_MAX: usize = 48;

/// The append in flight.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) record: Record,
    pub(super) since: Millis,
}

/// Records that wait for an append.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    voids: VecDeque<Void>,
    claims: VecDeque<Claim>,
    dones: VecDeque<Done>,
    /// Voids and outcomes whose append failed; they are appended again with the same record id.
    retries: VecDeque<Record>,
    /// When the oldest member of the current batch was added.
    since: Option<Millis>,
    /// Whether claims were appended last, so that outcomes are next.
    turn: bool,
    pub(super) flight: Option<Flight>,
}

impl Outbox {
    /// Returns the number of voids and outcomes that wait.
    pub(super) fn backlog(&self) -> usize {
        let retries = self.retries.iter().map(|r| match &r.body {
            Body::Voids(b) => b.len(),
            Body::Done(b) => b.len(),
            _ => 0,
        });
        self.voids.len() + self.dones.len() + retries.sum::<usize>()
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
        self.dones.push_back(done);
    }

    /// Removes a claim that was not appended yet.
    pub(super) fn withdraw(&mut self, id: &RequestId) {
        self.claims.retain(|c| c.request != *id);
    }

    /// Keeps a failed record for another append; its id stays, so that it applies once.
    pub(super) fn retry(&mut self, record: Record) {
        self.retries.push_back(record);
    }

    /// Returns when the next batch is due.
    pub(super) fn due(&self, linger: Millis) -> Option<Millis> {
        if self.flight.is_some() {
            return None;
        }
        if !self.retries.is_empty() || self.claims.len() >= BATCH_MAX {
            return Some(Millis::ZERO);
        }
        self.since.map(|t| t + linger)
    }

    /// Takes the next batch and puts it in flight.
    pub(super) fn take(&mut self, now: Millis) -> Option<Record> {
        let record = match self.retries.pop_front() {
            Some(record) => record,
            None => Record::new(self.batch()?),
        };
        if self.voids.is_empty() && self.claims.is_empty() && self.dones.is_empty() {
            self.since = None;
        }
        self.flight = Some(Flight {
            record: record.clone(),
            since: now,
        });
        Some(record)
    }

    /// Voids precede claims, because a claim of a later attempt needs the voids of the earlier ones.
    fn batch(&mut self) -> Option<Body> {
        if !self.voids.is_empty() {
            let n = self.voids.len().min(BATCH_MAX);
            return Some(Body::Voids(self.voids.drain(..n).collect()));
        }
        let claims = !self.claims.is_empty() && (self.dones.is_empty() || !self.turn);
        self.turn = claims;
        if claims {
            let n = self.claims.len().min(BATCH_MAX);
            return Some(Body::Claims(self.claims.drain(..n).collect()));
        }
        let n = self.dones.len().min(DONE_MAX);
        (n > 0).then(|| Body::Done(self.dones.drain(..n).collect()))
    }

    /// Ends the flight of a record.
    pub(super) fn land(&mut self, id: RecordId) -> Option<Flight> {
        self.flight.take_if(|f| f.record.id == id)
    }
}
