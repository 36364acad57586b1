//! How endpoints number the events of their streams, by which a stream is continued only where its numbers go on.

use super::{
    super::{
        endpoint_table::{Endpoint, EndpointId},
        record::Incarnation,
    },
    LoadBalancer,
};
use crate::decide::numbering::{Numbering, Sender};

impl LoadBalancer {
    /// Returns how a run of an endpoint numbers the events of its streams; `None` if it has completed none that tells it.
    pub fn numbering(&self, id: &EndpointId, run: Incarnation) -> Option<Numbering> {
        let known = self.views.get(id)?.numbering;
        known.filter(|(of, _)| *of == run).map(|(_, n)| n)
    }

    /// Records how a run of an endpoint numbers the events of a complete stream.
    pub fn learn_numbering(&mut self, id: &EndpointId, run: Incarnation, newer: Numbering) {
        let known = self.numbering(id, run);
        let numbering = known.map_or(newer, |known| known.updated(newer));
        if let Some(view) = self.views.get_mut(id) {
            view.numbering = Some((run, numbering));
        }
    }

    /// Returns the numberings of endpoints, as far as they are known.
    pub fn numberings<'e>(&self, endpoints: impl Iterator<Item = &'e Endpoint>) -> Vec<Numbering> {
        let known = endpoints.filter_map(|e| self.numbering(&e.id, e.incarnation()));
        known.collect()
    }

    /// Returns the endpoints that cannot have sent the events which a caller has.
    pub fn other_senders<'e>(
        &self,
        endpoints: impl Iterator<Item = &'e Endpoint>,
        sender: Sender,
    ) -> Vec<EndpointId> {
        let others = endpoints.filter(|e| !sender.may_be(self.numbering(&e.id, e.incarnation())));
        others.map(|e| e.id.clone()).collect()
    }
}
