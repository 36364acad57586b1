//! Distribution of weights: manifests, chunks in memory and their exchange between agents.

mod copy;
mod counters;
mod distribution;
mod driver;
mod error;
mod fetch;
mod hosts;
mod manifest;
mod source;
mod store;
mod upload;

pub use counters::{Counters, Totals};
pub use distribution::{Complete, Distribution};
pub(crate) use driver::{Driver, Fetched, Transfer};
pub use error::WeightsError;
pub use manifest::{Manifest, ManifestError};
pub use source::Source;
pub use store::{ChunkStore, Version};

crate::events! {
    /// A peer sent content with a wrong hash.
    PEER_CORRUPT = 600, "peer-corrupt", Error,
        "an agent sent content with a wrong hash; it is avoided", "restart that agent and check its host's memory";
    /// The origin sent content with a wrong hash.
    ORIGIN_CORRUPT = 601, "origin-corrupt", Error,
        "the weight store sent content with a wrong hash; it is fetched again", "upload the content again";
    /// The origin does not answer.
    ORIGIN_FAILED = 602, "origin-failed", Warn,
        "the weight store cannot be reached or lacks content; agents continue among themselves", "check the weight store";
    /// A copy is complete.
    COPY_COMPLETE = 603, "copy-complete", Info,
        "every chunk of a version is held and the whole is verified", "none";
    /// A copy was abandoned.
    COPY_REPLACED = 604, "copy-replaced", Info,
        "another version is wanted; chunks that both share are kept", "none";
}
