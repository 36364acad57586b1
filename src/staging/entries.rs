//! Long polls of entries for this agent's assignment, so that agents do not load the store and the links to it.

use std::{net::SocketAddr, pin::pin, rc::Rc};

use futures_util::future::{select, Either};
use hyper::StatusCode;

use super::{agent::Agent, log_event, EndpointHost, Origin};
use crate::{
    base::{jitter, Clock, Millis, SystemClock},
    emit,
    gateway::{
        read_list, Assignment, Decode, Heartbeat, RecordStore, Topic, ASSIGNMENT_PATH,
        ASSIGNMENT_WAIT,
    },
    http::{get, Pool},
};

/// Time limit of a request beyond the wait of the long poll.
const RESPONSE_TIMEOUT: Millis = Millis(500);

/// Mean delay after a request that failed, and after a read of the store that returned no entries.
const RETRY_DELAY: Millis = Millis(60);
const STORE_RETRY_DELAY: Millis = Millis(600);

/// Entries that can be polled, and the state of the long poll.
struct AssignmentSource {
    pool: Pool,
    clock: SystemClock,
    /// Entries to poll; the last one is polled next.
    entries: Vec<SocketAddr>,
    /// Entry that responded to the last request.
    current: Option<SocketAddr>,
    /// Hash of the last assignment; entries respond at once to a request with another tag.
    tag: u64,
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Polls entries for this agent's assignment without end, one entry at a time.
    pub(super) async fn poll_assignments(self: Rc<Self>) {
        let mut source = AssignmentSource {
            pool: Pool::default(),
            clock: SystemClock::start(),
            entries: Vec::new(),
            current: None,
            tag: 0,
        };
        let zone = &self.settings.zone;
        loop {
            let Some(&entry) = source.entries.last() else {
                source.entries = self.announced_entries().await;
                if source.entries.is_empty() {
                    tokio::time::sleep(jitter(STORE_RETRY_DELAY).duration()).await;
                }
                continue;
            };
            let service = &self.settings.service;
            let path = format!("{ASSIGNMENT_PATH}{service}/{zone}/{}", source.tag);
            let (entry, response) = source.request_first(entry, &path).await;
            let Some(assignment) = response else {
                emit!(log_event::ENTRY, "entry={entry} answers=false");
                source.current = None;
                source.entries.retain(|e| *e != entry);
                tokio::time::sleep(jitter(RETRY_DELAY).duration()).await;
                continue;
            };
            if assignment.era.is_some_and(|era| self.is_of_older_era(era)) {
                // The entry does not know yet that the store was restored, and may name hosts that have left.
                emit!(log_event::ENTRY, "entry={entry} answers=older-era");
                source.current = None;
                source.entries.retain(|e| *e != entry);
                tokio::time::sleep(jitter(RETRY_DELAY).duration()).await;
                continue;
            }
            if source.current.replace(entry) != Some(entry) {
                emit!(log_event::ENTRY, "entry={entry} answers=true");
            }
            self.set_readers(&assignment.readers);
            if assignment.tag != source.tag {
                self.assign(&assignment);
            } else if let Some(model) = &assignment.model {
                self.merge_desired(model, &assignment);
            }
            source.tag = assignment.tag;
            if !assignment.entries.is_empty() {
                source.entries = assignment.entries;
                // The entry that responded stays the one that is polled.
                source.entries.retain(|e| *e != entry);
                source.entries.push(entry);
            }
        }
    }

    /// Reads the entries that are announced in the store, in random order; those of the agent's zone come last and are
    /// therefore polled first.
    async fn announced_entries(&self) -> Vec<SocketAddr> {
        let zone = self.settings.zone.as_str();
        let mut heartbeats: Vec<Heartbeat> = Vec::new();
        let list = read_list(&self.store, Topic::Entries, |record| {
            let value = record.value;
            heartbeats.extend(value.and_then(|v| postcard::from_bytes(&v).ok()));
        });
        match list.await {
            Ok(list) if self.is_of_older_era(list.era) => return Vec::new(),
            Ok(_) => {}
            Err(e) => {
                log::debug!("cannot read the announcements of entries: {e}");
                return Vec::new();
            }
        }
        fastrand::shuffle(&mut heartbeats);
        heartbeats.sort_by_key(|b| b.zone.as_str() == zone);
        heartbeats.into_iter().map(|b| b.peer).collect()
    }
}

impl AssignmentSource {
    /// Requests the assignment from an entry; as long as there has been no response, also from the next one at the same time,
    /// because the first may have stopped. When one of them has no assignment and the other does not respond, all
    /// entries but the silent one are asked in turn meanwhile. Returns the first assignment, or the entry that failed last without one.
    async fn request_first(
        &self,
        entry: SocketAddr,
        path: &str,
    ) -> (SocketAddr, Option<Assignment>) {
        let next = self.entries.iter().rev().find(|e| **e != entry).copied();
        let Some(next) = next.filter(|_| self.tag == 0) else {
            return (entry, self.request(entry, path).await);
        };
        let first = pin!(async { (entry, self.request(entry, path).await) });
        let second = pin!(async { (next, self.request(next, path).await) });
        let (done, pending, rest) = match select(first, second).await {
            Either::Left((done, rest)) => (done, next, Either::Left(rest)),
            Either::Right((done, rest)) => (done, entry, Either::Right(rest)),
        };
        if done.1.is_some() {
            return done;
        }
        emit!(log_event::ENTRY, "entry={} answers=false", done.0);
        let others = pin!(self.request_in_turn(pending, path));
        match select(rest, others).await {
            Either::Left((response, _)) | Either::Right((response, _)) => response,
        }
    }

    /// Requests the assignment from all entries but one, in turn and without end, until one has it: after a kill of all
    /// processes, entries respond before they have assignments.
    async fn request_in_turn(
        &self,
        except: SocketAddr,
        path: &str,
    ) -> (SocketAddr, Option<Assignment>) {
        loop {
            tokio::time::sleep(jitter(RETRY_DELAY).duration()).await;
            for &entry in self.entries.iter().rev().filter(|e| **e != except) {
                let response = self.request(entry, path).await;
                if response.is_some() {
                    return (entry, response);
                }
                tokio::time::sleep(jitter(RETRY_DELAY).duration()).await;
            }
        }
    }

    async fn request(&self, entry: SocketAddr, path: &str) -> Option<Assignment> {
        let limit = ASSIGNMENT_WAIT + RESPONSE_TIMEOUT;
        match get(&self.pool, entry, path, self.clock.now(), limit).await {
            Ok(res) if res.status() == StatusCode::OK => Assignment::decode(res.body()).ok(),
            Ok(res) => {
                log::debug!(
                    "{entry} responded to a request for the assignment with status {}",
                    res.status()
                );
                None
            }
            Err(e) => {
                log::debug!("no assignment from {entry}: {e}");
                None
            }
        }
    }
}
