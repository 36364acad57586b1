//! Distribution of weights: manifests and complete versions.

mod manifest;
mod source;

pub use manifest::{Manifest, ManifestError};
pub use source::{Complete, OriginSource, Source, SourceError};
