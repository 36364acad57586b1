//! Where an agent gets the manifest of a version: from this host, another one or the origin.

use super::{
    agent::{Agent, Target},
    copy::version_id,
    host::ManifestFault,
    log_event,
    manifest_check::Sender,
    EndpointHost, Manifest, Origin,
};
use crate::{
    base::Excerpt,
    emit,
    gateway::{Decode, RecordStore, WeightVersion},
};

impl<S: RecordStore, D: Decode, H: EndpointHost, O: Origin> Agent<S, D, H, O> {
    /// Returns the manifest of a target: one that is known here, else from another host, else from the origin.
    pub(super) async fn manifest(&self, target: &Target) -> Option<Manifest> {
        let version = target
            .version
            .filter(|_| !self.manifest_rejected.replace(false));
        let doubtful = |m: &Manifest| self.manifest_checks.borrow().is_doubtful(m);
        if let Some((_, manifest)) = self.next_manifest.take().filter(|n| n.0 == *target) {
            if !doubtful(&manifest) {
                return Some(manifest);
            }
        }
        if let Some(version) = version {
            let known = self.inventory.manifest(&target.model, version);
            if let Some(known) = known.filter(|m| !doubtful(m)) {
                return Some((*known).clone());
            }
            if let Some(manifest) = self.peer_manifest(&target.model, version).await {
                return Some(manifest);
            }
        }
        let addr = self.origin_addr(target)?;
        let read = self.origin.manifest(addr, &target.model, target.version);
        let checked = read.await.map_err(|e| e.to_string()).and_then(|manifest| {
            let checked = self.check_manifest(&manifest, target.version, Sender::Origin);
            checked.map(|()| manifest).map_err(|e| {
                self.manifest_rejected.set(true);
                e.to_string()
            })
        });
        checked
            .inspect_err(|e| {
                let (model, reason) = (&target.model, Excerpt(e));
                emit!(log_event::ORIGIN, "model={model} reason=\"{reason}\"");
            })
            .ok()
    }

    /// Checks a manifest against the requested version, the configuration and what is known of earlier ones.
    ///
    /// # Errors
    ///
    /// Returns why it is not used.
    fn check_manifest(
        &self,
        manifest: &Manifest,
        version: Option<WeightVersion>,
        sender: Sender,
    ) -> Result<(), ManifestFault> {
        let mut checks = self.manifest_checks.borrow_mut();
        checks.check(manifest, version, self.layout.get(), sender)
    }

    /// Fetches a manifest from other hosts of the region, so that few hosts request it from the origin.
    async fn peer_manifest(&self, model: &str, version: WeightVersion) -> Option<Manifest> {
        let id = version_id(model, version);
        let sources = self.peers.borrow().manifest_sources(&id);
        for addr in sources {
            let Some(manifest) = self.client.manifest(addr, model, version).await else {
                continue;
            };
            match self.check_manifest(&manifest, Some(version), Sender::Host) {
                Ok(()) => return Some(manifest),
                Err(e) => {
                    let reason = e.to_string();
                    emit!(
                        log_event::COPY,
                        "model={model} version={version} state=doubted source={addr} reason=\"{reason}\""
                    );
                }
            }
        }
        None
    }
}
