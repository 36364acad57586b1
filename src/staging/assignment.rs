//! Assignment of an agent: its model, the desired versions and the other hosts, from an entry or from the store.

use std::{net::SocketAddr, rc::Rc};

use super::{
    agent::Agent,
    log_event,
    peers::{Location, Peers},
    EndpointHost, Origin,
};
use crate::{
    base::{Era, Millis, Zone},
    decide::{chunk::Topology, era::EraChange},
    emit,
    gateway::{
        read_list, Assignment, Catalog, CatalogVersion, Decode, DesiredVersions, EndpointUpdate,
        LoggedAge, RecordStore, Topic, WeightVersion, WriteAge,
    },
};

/// Time without a response from any entry after which the agent reads the store instead.
const ASSIGNMENT_TIMEOUT: Millis = Millis(2500);

/// Time within which an entry learns of a new version.
const ENTRY_LAG: Millis = Millis(1000);

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Applies a configuration from the store: the origin and the model of this host's service.
    pub(super) fn set_catalog(&self, catalog: &Catalog) {
        if !self.admits(Some(catalog.version)) {
            return;
        }
        let spec = catalog.services.get(&self.settings.service);
        let weights = spec.and_then(|s| s.weights.as_ref());
        let model = weights.and_then(|w| w.models.first().cloned());
        self.layout.set(weights.and_then(|w| w.layout));
        *self.origin_spec.borrow_mut() = catalog.origin().cloned();
        self.set_model(model);
    }

    /// Notes the version of a catalog from which model and origin may be taken; returns whether they may: an older one
    /// never replaces a newer one. `None` comes from a build that does not tell the version.
    fn admits(&self, catalog: Option<CatalogVersion>) -> bool {
        let newest = self.catalog.get().max(catalog);
        self.catalog.set(newest);
        catalog.is_none() || catalog == newest
    }

    fn set_model(&self, model: Option<Rc<str>>) {
        if self.model.replace(model.clone()) != model {
            self.changed.notify_one();
        }
    }

    /// Records that a version became desired; `age` is `None` if that was at an unknown time, as before the agent started.
    pub(super) fn add_desired(
        &self,
        model: Rc<str>,
        version: WeightVersion,
        age: Option<WriteAge>,
    ) {
        let now = self.now();
        let newer = {
            let mut desired = self.desired.borrow_mut();
            let versions = desired.entry(model.clone()).or_default();
            versions.record(version, age, now)
        };
        emit!(
            log_event::DESIRED,
            "model={model} version={version} newer={newer} {}",
            LoggedAge(age)
        );
        if newer {
            self.changed.notify_one();
        }
    }

    /// Records that an entry responded, and which entries read the store.
    pub(super) fn set_readers(&self, readers: &[SocketAddr]) {
        self.last_assigned.set(Some(self.now()));
        *self.readers.borrow_mut() = readers.to_vec();
    }

    /// Returns whether what an entry or the store sent is of an older era of the store than the newest known one, and notes
    /// a newer one.
    pub(super) fn is_of_older_era(&self, era: Era) -> bool {
        let mut known = self.store_era.borrow_mut();
        known.observe(era, self.now()) == EraChange::Older
    }

    /// Applies the assignment from an entry. One that is behind tells nothing of model and origin.
    pub(super) fn assign(&self, assignment: &Assignment) {
        let admitted = self.admits(assignment.catalog);
        if admitted {
            *self.origin_spec.borrow_mut() = assignment.origin.clone();
            self.layout.set(assignment.layout.or(self.layout.get()));
        }
        self.set_hosts(&assignment.hosts);
        let Some(model) = &assignment.model else {
            return;
        };
        if admitted {
            self.set_model(Some(model.clone()));
        }
        self.merge_desired(model, assignment);
        let known = self
            .desired
            .borrow()
            .get(model)
            .and_then(DesiredVersions::newest);
        if let Some(newest) = assignment.newest.filter(|n| known < Some(*n)) {
            self.add_desired(model.clone(), newest, None);
        }
    }

    /// Merges the ages of the desired versions in the assignment from an entry. Each assignment has them, because an
    /// entry corrects them, and because this process may have read an earlier assignment late.
    pub(super) fn merge_desired(&self, model: &Rc<str>, assignment: &Assignment) {
        let now = self.now();
        for n in &assignment.desired {
            let mut desired = self.desired.borrow_mut();
            let versions = desired.entry(model.clone()).or_default();
            let before = versions.newest();
            if versions.merge(n.version, n.write_age(), now) {
                let (version, age) = (n.version, n.age);
                emit!(
                    log_event::DESIRED,
                    "model={model} version={version} age={age} source=entry"
                );
            }
            if versions.newest() != before {
                self.changed.notify_one();
            }
        }
    }

    /// Returns whether no entry has responded for [`ASSIGNMENT_TIMEOUT`], so that the store has to be read.
    pub(super) fn is_assignment_stale(&self) -> bool {
        let last = self.last_assigned.get().unwrap_or(self.started);
        self.now() > last + ASSIGNMENT_TIMEOUT
    }

    /// Returns the longest time from when an entry knew of all versions to when the agent reads the store; `None` if no
    /// entry has responded to it.
    pub(super) fn handover_time(&self) -> Option<Millis> {
        let assigned = self.last_assigned.get();
        assigned.map(|_| ASSIGNMENT_TIMEOUT + ENTRY_LAG)
    }

    /// Replaces the list of hosts that serve the service; `hosts` are the addresses and zones of their endpoints.
    fn set_hosts(&self, hosts: &[(SocketAddr, Zone)]) {
        let origin = self.origin_spec.borrow();
        let location = Location {
            own_addr: self.settings.peer_addr,
            zone: self.settings.zone.clone(),
            regions: self.settings.regions.clone(),
            origin: origin.as_ref().and_then(|o| o.zone.clone()),
        };
        let peers = Peers::new(&location, hosts);
        let same = |a: &Topology, b: &Topology| a.members() == b.members();
        let own = |h: &&(SocketAddr, Zone)| h.0.ip() == self.settings.peer_addr.ip();
        self.endpoint.set(hosts.iter().find(own).map(|h| h.0));
        let changed = !same(&peers.topology, &self.peers.borrow().topology);
        if changed {
            *self.peers.borrow_mut() = Rc::new(peers);
        }
    }

    /// Reads the hosts of the service from the store if no entry responds.
    pub(super) async fn read_peers(&self) {
        if !self.is_assignment_stale() {
            return;
        }
        let mut hosts = Vec::new();
        let list = read_list(&self.store, Topic::Endpoints, |record| {
            let decoded = record.value.and_then(|v| D::endpoint(&v).ok());
            let sound = decoded.filter(|e| e.check().is_ok());
            let own = sound.filter(|e| e.service == self.settings.service);
            hosts.extend(own.map(|e| (e.addr, e.zone)));
        });
        match list.await {
            Ok(list) if self.is_of_older_era(list.era) => {}
            Ok(_) => self.set_hosts(&hosts),
            Err(e) => log::debug!("cannot read the list of hosts: {e}"),
        }
    }

    /// Returns the state of the endpoint and the entries to notify; `None` if the endpoint does not respond or its
    /// address is not known.
    pub(super) fn endpoint_update(&self) -> Option<(EndpointUpdate, Vec<SocketAddr>)> {
        let report = self.report.borrow();
        let report = report.as_ref()?;
        let loading = self.loader.loading.get();
        let update = EndpointUpdate {
            addr: self.endpoint.get()?,
            born: report.born,
            models: if loading {
                Vec::new()
            } else {
                report.models.clone()
            },
        };
        Some((update, self.readers.borrow().clone()))
    }
}
