//! Runs of endpoints that are leaving: what responses announce, and what entries tell each other of it.

use super::{super::record::Incarnation, EndpointHash, EndpointId, EndpointTable};
use crate::base::Millis;

/// Time for which gossip repeats that an endpoint is leaving: a few gossip intervals, because datagrams are lost.
const LEAVING_GOSSIP: Millis = Millis(1500);

/// A run of an endpoint that announced in a response header that it is leaving, or that drained before the next one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    /// Start of the endpoint in Unix milliseconds; a run with another start takes requests again.
    pub(super) born: u64,
    /// Time at which this entry first received the announcement; zero if the record told it.
    pub(super) at: Millis,
}

impl EndpointTable {
    /// Marks a run of an endpoint as draining because it announced that it is leaving; returns whether that changed its
    /// record. An announcement of another run than that of the record changes nothing.
    pub fn mark_leaving(&mut self, id: &EndpointId, run: Incarnation, now: Millis) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        if known.incarnation() != run {
            return false;
        }
        let born = run.0;
        if self.announced.get(id).is_some_and(|l| l.born == born) {
            return false;
        }
        self.announced.insert(id.clone(), Leaving { born, at: now });
        if known.record.draining {
            return false;
        }
        known.record.draining = true;
        known.mark_changed(&mut self.sum, &mut self.changes);
        true
    }

    /// Returns whether a run of an endpoint was leaving when it was last heard of; `None` if it is not known.
    pub fn is_leaving(&self, id: &EndpointId, run: Incarnation) -> Option<bool> {
        let known = self.endpoints.get(id)?;
        if known.incarnation() == run {
            return Some(known.record.draining);
        }
        Some(self.announced.get(id).is_some_and(|l| l.born == run.0))
    }

    /// Returns whether a run is that of an endpoint's record, or none is known to have followed it.
    pub fn is_current(&self, id: &EndpointId, run: Incarnation) -> bool {
        let known = self.endpoints.get(id);
        known.is_none_or(|e| e.incarnation() == run)
    }

    /// Marks runs of endpoints as draining that other entries report as leaving; returns the endpoints whose records changed.
    /// Hashes of ids alone, as builds send that know no runs, tell nothing: the endpoint may have started again since.
    pub fn merge_leaving(&mut self, leaving: &[EndpointHash], now: Millis) -> Vec<EndpointId> {
        if leaving.is_empty() {
            return Vec::new();
        }
        let runs = self.endpoints.values().map(|e| (&e.id, e.incarnation()));
        let runs = runs.filter(|(id, run)| leaving.contains(&id.hash_of(*run)));
        let runs: Vec<_> = runs.map(|(id, run)| (id.clone(), run)).collect();
        let changed = runs.into_iter();
        let changed = changed.filter(|(id, run)| self.mark_leaving(id, *run, now));
        changed.map(|(id, _)| id).collect()
    }

    /// Returns the runs of endpoints that announced within `LEAVING_GOSSIP` that they are leaving: the hash of each run, and
    /// that of its id for entries of a build that knows no runs.
    pub fn leaving(&self, now: Millis) -> Vec<EndpointHash> {
        let recent = self
            .announced
            .iter()
            .filter(|(_, l)| now < l.at + LEAVING_GOSSIP);
        let hashes =
            |(id, l): (&EndpointId, &Leaving)| [id.hash(), id.hash_of(Incarnation(l.born))];
        recent.flat_map(hashes).collect()
    }
}
