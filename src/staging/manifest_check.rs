//! Which manifests an agent copies by. A manifest may be corrupted in transit, at the origin's response to this host or to
//! the one that passed it on. Its digests are checked by the chunks, its other fields by the configuration.
//!
//! | manifest | from another host | from the origin |
//! |---|---|---|
//! | as the configuration names it | used | used |
//! | another number or size of chunks | not used | used if the origin has sent the same before |
//! | refuted by chunks | not used | the same |
//!
//! Two responses with the same fault are unlikely, so that the origin is right if it repeats what it said; the configuration
//! may be the one that is wrong.

use super::{host::ManifestFault, log_event, Manifest};
use crate::{
    emit,
    gateway::{ChunkLayout, WeightVersion},
};

/// Largest number of doubtful manifests that are remembered.
const DOUBTFUL_MAX: usize = 4;

/// Sender of a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sender {
    /// The origin, in response to this agent.
    Origin,
    /// Another host, which may pass on what the origin sent to a third one.
    Host,
}

/// What an agent knows of manifests beyond their content.
#[derive(Debug, Default)]
pub(super) struct ManifestChecks {
    /// Manifests that differ from the configuration or were refuted, oldest first; at most [`DOUBTFUL_MAX`].
    doubtful: Vec<Manifest>,
    /// Doubtful manifest that the origin has repeated.
    confirmed: Option<Manifest>,
}

impl ManifestChecks {
    /// Checks a manifest of a version, if one was requested; `layout` is what the configuration names.
    ///
    /// # Errors
    ///
    /// Returns why it is not used.
    pub(super) fn check(
        &mut self,
        manifest: &Manifest,
        version: Option<WeightVersion>,
        layout: Option<ChunkLayout>,
        sender: Sender,
    ) -> Result<(), ManifestFault> {
        manifest.check(version)?;
        if self.is_confirmed(manifest) {
            return Ok(());
        }
        let known = self.doubtful.contains(manifest);
        let named = layout.filter(|layout| *layout != manifest.layout());
        let fault = match named {
            Some(layout) => ManifestFault::Layout(manifest.layout(), layout),
            None if known => ManifestFault::Refuted,
            None => return Ok(()),
        };
        if sender == Sender::Origin && known {
            let (version, layout) = (manifest.version, manifest.layout());
            emit!(
                log_event::ORIGIN,
                "version={version} chunks=\"{layout}\" confirmed=true reason=\"{fault}\""
            );
            self.confirmed = Some(manifest.clone());
            return Ok(());
        }
        self.doubt(manifest);
        Err(fault)
    }

    /// Records that chunks did not match a manifest.
    pub(super) fn refute(&mut self, manifest: &Manifest) {
        if self.is_confirmed(manifest) {
            self.confirmed = None;
        }
        self.doubt(manifest);
    }

    /// Returns whether a manifest is the doubtful one that the origin has repeated.
    pub(super) fn is_confirmed(&self, manifest: &Manifest) -> bool {
        self.confirmed.as_ref() == Some(manifest)
    }

    /// Returns whether chunks refuted a manifest, and the origin has not repeated it since.
    pub(super) fn is_doubtful(&self, manifest: &Manifest) -> bool {
        self.doubtful.contains(manifest) && !self.is_confirmed(manifest)
    }

    fn doubt(&mut self, manifest: &Manifest) {
        if self.doubtful.contains(manifest) {
            return;
        }
        if self.doubtful.len() == DOUBTFUL_MAX {
            self.doubtful.remove(0);
        }
        self.doubtful.push(manifest.clone());
    }
}
