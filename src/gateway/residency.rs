//! Data residency of the requests of a catalog: determines the zones of its regions when it is put in force, and tells the
//! operator what no endpoint can serve.

use std::{fmt, rc::Rc};

use super::{
    catalog::{Catalog, WorkspaceSpec},
    context::Context,
    endpoint_query::EndpointQuery,
    endpoint_table::Endpoint,
    job::Job,
    log_event,
    reply::Reject,
};
use crate::{
    base::{Excerpt, HashMap, HashSet},
    decide::residency::{AllowedRegions, ZoneRegions},
    emit,
};

/// Largest number of names in the log line.
const NAMES_MAX: usize = 6;

/// Largest number of invalid fields of a catalog that are logged.
const FAULTS_MAX: usize = 16;

/// Counts a rejected request whose route or workspace allows some regions only.
pub(super) fn count_rejected(ctx: &Context, job: &Job, reject: Reject) {
    let no_endpoint = matches!(reject, Reject::Unavailable(_) | Reject::Overloaded(_));
    if no_endpoint && job.residency.is_restricted() {
        ctx.metrics.restricted.inc();
    }
}

impl EndpointQuery<'_> {
    /// Returns whether the request may be served in the region of an endpoint.
    pub(super) fn is_allowed(&self, e: &Endpoint) -> bool {
        self.residency.is_none_or(|r| r.allows(&e.record.zone))
    }
}

/// Routes and workspaces whose requests no endpoint can serve because of their regions.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Unservable {
    names: Vec<String>,
    count: usize,
}

impl Unservable {
    fn add(&mut self, name: impl FnOnce() -> String) {
        if self.names.len() < NAMES_MAX {
            self.names.push(name());
        }
        self.count += 1;
    }

    /// Returns how many there are; a pair of a route and a workspace without a common region counts once for each pair
    /// of lists.
    pub fn count(&self) -> usize {
        self.count
    }
}

impl fmt::Display for Unservable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.names.join(", "))?;
        if self.count > self.names.len() {
            write!(f, ", and {} others", self.count - self.names.len())?;
        }
        Ok(())
    }
}

fn resolve(list: &mut Option<Rc<AllowedRegions>>, map: &ZoneRegions) {
    if let Some(list) = list {
        Rc::make_mut(list).resolve(map);
    }
}

impl Catalog {
    /// Determines the zones of the regions that routes and workspaces allow.
    pub fn resolve_regions(&mut self, map: &ZoneRegions) {
        for route in self.routes.values_mut().flatten() {
            if route.allowed_regions.is_some() {
                resolve(&mut Rc::make_mut(route).allowed_regions, map);
            }
        }
        for workspace in self.keys.iter_mut().flat_map(|keys| keys.values_mut()) {
            if workspace.allowed_regions.is_some() {
                resolve(&mut Rc::make_mut(workspace).allowed_regions, map);
            }
        }
    }

    /// Returns the lists of regions of a host's routes; none if the host is unknown.
    pub fn region_lists(&self, host: &str) -> Vec<&AllowedRegions> {
        let routes = self.routes_of(host).into_iter().flatten();
        routes
            .filter_map(|r| r.allowed_regions.as_deref())
            .collect()
    }

    /// Returns the routes and workspaces whose requests no endpoint can serve because of their regions.
    pub fn unservable(&self) -> Unservable {
        let mut out = Unservable::default();
        // Many routes and workspaces share few lists, one of each is named.
        let mut routes: HashMap<&AllowedRegions, &str> = HashMap::default();
        for route in self.routes.values().flatten() {
            let Some(list) = route.allowed_regions.as_deref() else {
                continue;
            };
            if list.is_closed() {
                out.add(|| format!("route {}", route.name));
            } else {
                let name = routes.entry(list).or_insert(&route.name);
                *name = (*name).min(&route.name);
            }
        }
        let mut workspaces: HashMap<&AllowedRegions, &WorkspaceSpec> = HashMap::default();
        let mut closed = HashSet::default();
        for workspace in self.keys.iter().flat_map(|keys| keys.values()) {
            let Some(list) = workspace.allowed_regions.as_deref() else {
                continue;
            };
            if !list.is_closed() {
                workspaces.insert(list, workspace);
            } else if closed.insert(&workspace.name) {
                out.add(|| format!("workspace {}", workspace.name));
            }
        }
        for (list, workspace) in workspaces {
            for (allowed, route) in &routes {
                if allowed.is_disjoint(list) {
                    let name = &workspace.name;
                    out.add(|| format!("route {route} with workspace {name}"));
                }
            }
        }
        out.names.sort_unstable();
        out
    }

    /// Logs what is wrong with the catalog, once it is in force.
    pub(super) fn log_faults(&self) {
        let version = self.version;
        for fault in self.faults.iter().take(FAULTS_MAX) {
            emit!(
                log_event::RECORD,
                "key=config version={version} reason=\"{}\"",
                Excerpt(fault)
            );
        }
        let unservable = self.unservable();
        if unservable.count() > 0 {
            emit!(
                log_event::RESIDENCY,
                "catalog={version} count={} unservable=\"{unservable}\"",
                unservable.count()
            );
        }
    }
}
