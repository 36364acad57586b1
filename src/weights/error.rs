//! Why a version cannot be completed.

use super::ManifestError;
use crate::base::{Digest, Size};

/// Why a version cannot be completed; failures of peers and of the origin are retried instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WeightsError {
    /// The manifest cannot be used.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// The missing chunks do not fit the memory for weights.
    #[error("{needed} of weights do not fit: {used} of {budget} are in use; raise `links.memory` or withdraw a version")]
    Memory {
        /// Size of the missing chunks.
        needed: Size,
        /// Bytes in use.
        used: Size,
        /// `links.memory` of the process settings.
        budget: Size,
    },
    /// Every chunk has its hash, but the whole does not.
    #[error("the whole of manifest {0} has another hash than the manifest states; build the manifest again")]
    Whole(Digest),
    /// Another version was asked for meanwhile; chunks that both share are kept.
    #[error("the copy of manifest {0} was replaced by another one")]
    Replaced(Digest),
}
