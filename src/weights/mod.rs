//! Distribution of weights: manifests and complete versions.

mod manifest;

pub use manifest::{Manifest, ManifestError};
