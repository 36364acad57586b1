//! What an entry keeps of the worth of requests, and in which services it differs.

use super::catalog::{Catalog, CatalogVersion};
use crate::{
    base::{HashMap, Service},
    decide::worth::WorthLoad,
};

/// State of the requests of each service.
#[derive(Debug, Default)]
pub(super) struct WorthLoads {
    pub(super) loads: HashMap<Service, WorthLoad>,
    /// Services whose requests are weighed or not, in the catalog of a version.
    classes: HashMap<Service, bool>,
    version: CatalogVersion,
}

impl WorthLoads {
    pub(super) fn get(&self, service: &Service) -> Option<&WorthLoad> {
        self.loads.get(service)
    }

    /// Returns [`Catalog::has_classes`], which is determined once for each catalog.
    pub(super) fn has_classes(&mut self, catalog: &Catalog, service: &Service) -> bool {
        if self.version != catalog.version {
            self.classes.clear();
            self.version = catalog.version;
        }
        if let Some(known) = self.classes.get(service) {
            return *known;
        }
        let found = catalog.has_classes(service);
        self.classes.insert(service.clone(), found);
        found
    }
}

impl Catalog {
    /// Returns whether the routes or the workspaces of a service with engines have different priorities or latency
    /// objectives, so that some requests may be put before others.
    pub fn has_classes(&self, service: &Service) -> bool {
        if self
            .services
            .get(service)
            .is_none_or(|s| s.engine.is_none())
        {
            return false;
        }
        let mut routes = self
            .routes
            .values()
            .flatten()
            .filter(|r| r.targets.iter().any(|t| t.0 == *service));
        let Some(first) = routes.next() else {
            return false;
        };
        let mut keys = self.keys.iter().flat_map(HashMap::values);
        routes.any(|r| r.priority != first.priority || r.objective != first.objective)
            || keys.any(|w| w.priority.is_some_and(|p| p != first.priority))
    }
}
