//! Values in force: the tree flattened for each service and workspace.

use super::{
    section::Section, Access, Burst, ClaimConfig, Limit, LogConfig, Request, Retry, Route,
    ValueError, Weights,
};
use crate::{
    base::{HashMap, Offset, Region, Service, Workspace},
    kernel::{Config, NodePath},
};

/// Settings in force for a service in a region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSettings {
    /// Version and distribution of weights.
    pub weights: Weights,
    /// Size of the burst.
    pub burst: Burst,
    /// Request bounds.
    pub request: Request,
    /// Retry limits.
    pub retry: Retry,
    /// Routing.
    pub route: Route,
    /// Claims.
    pub claim: ClaimConfig,
    /// Log service; equal for all services.
    pub log: LogConfig,
    /// Workspaces that may use the service.
    pub workspaces: HashMap<Workspace, WorkspaceSettings>,
}

/// Settings in force for a workspace of a service in a region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceSettings {
    /// Admission limits.
    pub limit: Limit,
    /// Request bounds.
    pub request: Request,
    /// Keys.
    pub access: Access,
}

/// All settings in force after some offset of the control stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    /// Applied offset of the control stream that these settings belong to.
    pub offset: Offset,
    /// Log service.
    pub log: LogConfig,
    /// Settings by region and service.
    services: HashMap<Region, HashMap<Service, ServiceSettings>>,
}

/// Sets an option of a section if the key belongs to it.
fn set<S: Section>(section: &mut S, key: &str, text: &str) -> Option<Result<(), ValueError>> {
    let name = key.strip_prefix(S::NAME)?.strip_prefix('.')?;
    Some(section.set(name, text))
}

impl ServiceSettings {
    /// Sets an option by its full key; options of other sections are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the section has no such option or the value is not valid.
    pub fn set(&mut self, key: &str, text: &str) -> Result<(), ValueError> {
        set(&mut self.weights, key, text)
            .or_else(|| set(&mut self.burst, key, text))
            .or_else(|| set(&mut self.request, key, text))
            .or_else(|| set(&mut self.retry, key, text))
            .or_else(|| set(&mut self.route, key, text))
            .or_else(|| set(&mut self.claim, key, text))
            .or_else(|| set(&mut self.log, key, text))
            .unwrap_or(Ok(()))
    }
}

impl WorkspaceSettings {
    /// Sets an option by its full key; options of other sections are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the section has no such option or the value is not valid.
    pub fn set(&mut self, key: &str, text: &str) -> Result<(), ValueError> {
        set(&mut self.limit, key, text)
            .or_else(|| set(&mut self.request, key, text))
            .or_else(|| set(&mut self.access, key, text))
            .unwrap_or(Ok(()))
    }
}

impl InForce {
    /// Flattens the tree.
    ///
    /// Values that this build does not know or accept are passed to `ignored` and do not change the defaults, so that
    /// an older process keeps working with a tree that a newer one wrote.
    pub fn resolve(
        offset: Offset,
        config: &Config,
        mut ignored: impl FnMut(&NodePath, ValueError),
    ) -> Self {
        let mut out = Self {
            offset,
            ..Self::default()
        };
        fold(config, &NodePath::Root, &mut ignored, |k, v| {
            set(&mut out.log, k, v).unwrap_or(Ok(()))
        });
        for (path, node) in config.nodes() {
            match path {
                NodePath::Service(r, s) if node.live => {
                    let mut service = ServiceSettings::default();
                    fold(config, path, &mut ignored, |k, v| service.set(k, v));
                    out.services
                        .entry(r.clone())
                        .or_default()
                        .insert(s.clone(), service);
                }
                NodePath::Workspace(r, s, w) if node.live => {
                    let mut workspace = WorkspaceSettings::default();
                    fold(config, path, &mut ignored, |k, v| workspace.set(k, v));
                    // Path order puts a service before its workspaces.
                    if let Some(service) = out.services.get_mut(r).and_then(|m| m.get_mut(s)) {
                        service.workspaces.insert(w.clone(), workspace);
                    }
                }
                _ => {}
            }
        }
        out
    }

    /// Returns the settings of a service in a region.
    pub fn service(&self, region: &Region, service: &Service) -> Option<&ServiceSettings> {
        self.services.get(region)?.get(service)
    }

    /// Iterates over the services of a region.
    pub fn services(&self, region: &Region) -> impl Iterator<Item = (&Service, &ServiceSettings)> {
        self.services.get(region).into_iter().flatten()
    }
}

/// Applies the values of a node and its ancestors, root first.
fn fold(
    config: &Config,
    path: &NodePath,
    ignored: &mut impl FnMut(&NodePath, ValueError),
    mut set: impl FnMut(&str, &str) -> Result<(), ValueError>,
) {
    for ancestor in path.lineage() {
        for (key, text) in config.node(&ancestor).iter().flat_map(|n| &n.values) {
            if let Err(err) = set(key, text) {
                ignored(&ancestor, err);
            }
        }
    }
}
