//! Host whose endpoint has nothing loaded: copies the version that its neighbours serve first, if that is in time.

use std::{net::SocketAddr, rc::Rc};

use futures_util::future::join_all;

use super::{
    agent::{Agent, Target},
    exchange::LINK_SHARE,
    inventory::HeldVersion,
    log_event,
    manifest_check::Sender,
    EndpointHost, Manifest, Origin,
};
use crate::{
    base::Millis,
    decide::{
        chunk::{FirstLoad, Progress},
        supersede::Margins,
    },
    emit,
    gateway::{Decode, DesiredVersions, RecordStore, WeightVersion},
};

/// Interval at which a host without weights asks neighbours for the versions that they hold.
const INTERVAL: Millis = Millis(400);

/// Number of hosts of the region that are asked. Where 21 of 58 hosts are new, all 6 are new in one of a thousand cases.
const ASKED_MAX: usize = 6;

/// A version that a neighbour holds in full.
struct Available {
    version: WeightVersion,
    chunks: u32,
    holder: SocketAddr,
}

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Returns whether the endpoint has nothing loaded and is not about to load. One that has not responded since the
    /// agent started is about to start; one that stopped responding may hold weights.
    pub(super) fn is_unloaded(&self) -> bool {
        let report = self.report.borrow();
        let starting = match &*report {
            Some(report) => !report.busy,
            None => !self.has_responded(),
        };
        starting && self.loaded().is_none() && !self.loader.is_pending()
    }

    /// Records which version the endpoint has loaded, whose chunks are to be kept.
    pub(super) fn note_loaded(&self) {
        // Until an ordered load is complete, the endpoint may still report the version before.
        let settled = self.loaded().filter(|_| !self.loader.loading.get());
        let model = self.model.borrow().clone();
        if let Some((model, version)) = model.zip(settled) {
            self.inventory.set_loaded(&model, version);
        }
    }

    /// Drops the chunks of the loaded version that are kept in memory, when they are of no more use.
    pub(super) fn drop_unused(&self) {
        let Some((model, manifest)) = self.inventory.kept() else {
            return;
        };
        let desired = self.desired.borrow();
        let superseded = desired
            .get(&model)
            .and_then(|d| d.superseded_at(manifest.version));
        let until = superseded.map(|at| at + self.settings.bound);
        let retention = manifest.retention(self.settings.host.memory, until);
        if retention.keeps(self.now()) {
            return;
        }
        self.inventory.drop_kept();
        let version = manifest.version;
        emit!(
            log_event::COPY,
            "model={model} version={version} state=dropped bytes={}",
            retention.copy.0
        );
    }

    /// Decides again and again, while the endpoint has nothing loaded, whether to copy an older version first.
    pub(super) async fn choose_first_loads(self: Rc<Self>) {
        loop {
            let first = self.choose_first_load().await;
            let before = self.first_load.replace(first.clone());
            if first != before {
                if let Some((model, version)) = first.and_then(|f| Some((f.model, f.version?))) {
                    emit!(
                        log_event::COPY,
                        "model={model} version={version} state=preferred"
                    );
                }
                self.changed.notify_one();
            }
            tokio::time::sleep(INTERVAL.duration()).await;
        }
    }

    /// Returns the older version to copy first, if any.
    async fn choose_first_load(&self) -> Option<Target> {
        if !self.is_unloaded() {
            return None;
        }
        let model = self.model.borrow().clone()?;
        let newest = self.newest(&model)?;
        // Older versions than the one before the newest are out of use even earlier.
        let latest = self.older_until(&model, WeightVersion(newest.0.saturating_sub(1)))?;
        let whole = FirstLoad {
            copy: Millis::ZERO,
            older: Progress::default(),
            older_available: false,
            newer_available: false,
            older_until: latest,
        };
        if !whole.is_in_time(self.now()) {
            return None;
        }
        let available = self.available(&model).await;
        let own = self.inventory.versions(&model);
        let is_complete = |version| {
            let own = own.iter().any(|v| v.version == version && v.is_complete());
            own || available.iter().any(|a| a.version == version)
        };
        let mut older: Vec<_> = available.iter().filter(|a| a.version < newest).collect();
        older.sort_by_key(|a| std::cmp::Reverse(a.version));
        for candidate in older {
            let Some(manifest) = self.manifest_of(&model, candidate).await else {
                continue;
            };
            let held = own.iter().find(|v| v.version == candidate.version);
            let bytes = manifest.chunk.0.saturating_mul(candidate.chunks.into());
            let rate = self.settings.link_rate.share(LINK_SHARE).0.max(1);
            let choice = FirstLoad {
                copy: Millis(bytes.saturating_mul(1000) / rate),
                older: Progress {
                    known: held.map_or(0, |v| v.held),
                    chunks: candidate.chunks,
                },
                older_available: true,
                newer_available: is_complete(newest),
                older_until: self.older_until(&model, candidate.version)?,
            };
            if choice.loads_older(self.now()) && self.is_unloaded() {
                let target = Target {
                    model: model.clone(),
                    version: Some(candidate.version),
                    older: true,
                };
                *self.next_manifest.borrow_mut() = Some((target.clone(), manifest));
                return Some(target);
            }
        }
        None
    }

    fn newest(&self, model: &str) -> Option<WeightVersion> {
        let desired = self.desired.borrow();
        desired.get(model).and_then(DesiredVersions::newest)
    }

    /// Returns the time from which no request is sent to hosts with an older version.
    fn older_until(&self, model: &str, version: WeightVersion) -> Option<Millis> {
        let desired = self.desired.borrow();
        let superseded = desired.get(model)?.superseded_at(version)?;
        Some(superseded + (self.settings.bound - Margins::default().send()))
    }

    /// Asks some hosts of the region which versions they hold in full.
    async fn available(&self, model: &str) -> Vec<Available> {
        let hosts = self.peers.borrow().random_local(ASKED_MAX);
        let answers = hosts.into_iter().map(|addr| async move {
            let held = self.client.versions(addr, model).await;
            (addr, held)
        });
        let answers = join_all(answers).await;
        let complete = answers.into_iter().flat_map(|(holder, held)| {
            let held = held.into_iter().filter(HeldVersion::is_complete);
            held.map(move |v| Available {
                version: v.version,
                chunks: v.chunks,
                holder,
            })
        });
        complete.collect()
    }

    /// Returns the manifest of an older version, from this host or from one that holds the version in full.
    async fn manifest_of(&self, model: &str, of: &Available) -> Option<Manifest> {
        // The configuration may name the chunks of the newest version only.
        let usable = |m: &Manifest| {
            let mut checks = self.manifest_checks.borrow_mut();
            let checked = checks.check(m, Some(of.version), None, Sender::Host);
            checked.is_ok()
        };
        let known = self.inventory.manifest(model, of.version);
        if let Some(known) = known.filter(|m| usable(m)) {
            return Some((*known).clone());
        }
        let manifest = self.client.manifest(of.holder, model, of.version).await;
        manifest.filter(usable)
    }
}
