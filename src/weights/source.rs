//! Where an agent gets complete versions from.

use std::{fmt::Display, future::Future, sync::Arc};

use super::{Complete, Distribution, WeightsError};
use crate::{backing::WeightStore, base::Digest};

/// A source of complete versions.
pub trait Source: Send + Sync + 'static {
    /// Why a version could not be obtained.
    type Error: Display + Send;

    /// Obtains all content of a manifest and verifies each chunk and the whole.
    ///
    /// Dropping the future abandons the copy.
    ///
    /// # Errors
    ///
    /// Returns an error if the content cannot be obtained; a later call may succeed.
    fn ensure(
        &self,
        manifest: Digest,
    ) -> impl Future<Output = Result<Complete, Self::Error>> + Send;

    /// Gives back the memory of all content that these manifests do not name.
    fn retain(&self, manifests: &[Digest]);

    /// Returns the chunks held and needed of the version that was last asked for.
    fn progress(&self) -> Option<(u32, u32)>;
}

impl<S: WeightStore> Source for Arc<Distribution<S>> {
    type Error = WeightsError;

    async fn ensure(&self, manifest: Digest) -> Result<Complete, WeightsError> {
        Distribution::ensure(self, manifest).await
    }

    fn retain(&self, manifests: &[Digest]) {
        Distribution::retain(self, manifests);
    }

    fn progress(&self) -> Option<(u32, u32)> {
        Distribution::progress(self)
    }
}
