//! Manifests: what a version consists of.

use serde::{Deserialize, Serialize};

use crate::base::{Digest, Size, VersionName};

/// Largest manifest, in bytes.
const MANIFEST_MAX: usize = 4 << 20;

/// Largest chunk, in bytes; fits a frame between processes.
const CHUNK_MAX: u64 = 16 << 20;

/// Content of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Name of the version.
    pub version: VersionName,
    /// Sum of all chunk sizes.
    pub size: Size,
    /// Size of each chunk except the last, which may be smaller; at least 1 B.
    pub chunk: Size,
    /// Hashes of the chunks in order.
    pub chunks: Vec<Digest>,
    /// Hash over the whole content.
    pub whole: Digest,
}

/// A manifest that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    /// The bytes do not have the hash that the settings name.
    #[error("the manifest has hash {found}, the settings name {wanted}; publish the right hash or mend the store")]
    Hash {
        /// Hash in the settings.
        wanted: Digest,
        /// Hash of the bytes.
        found: Digest,
    },
    /// The bytes are not a consistent manifest.
    #[error("the manifest is malformed ({0}); build it again")]
    Malformed(String),
}

impl Manifest {
    /// Describes some content.
    pub fn describe(version: VersionName, content: &[u8], chunk: Size) -> Self {
        let chunks = content
            .chunks(chunk.0.max(1) as usize)
            .map(Digest::of)
            .collect();
        Self {
            version,
            size: Size(content.len() as u64),
            chunk,
            chunks,
            whole: Digest::of(content),
        }
    }

    /// Encodes the manifest; its hash is the hash of these bytes.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes and checks a manifest against the hash that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error if the hash differs or the fields contradict each other.
    pub fn decode(data: &[u8], wanted: Digest) -> Result<Self, ManifestError> {
        let found = Digest::of(data);
        if found != wanted {
            return Err(ManifestError::Hash { wanted, found });
        }
        let malformed = |reason: &str| ManifestError::Malformed(reason.to_owned());
        if data.len() > MANIFEST_MAX {
            return Err(malformed("larger than 4 MiB"));
        }
        let m: Self = serde_json::from_slice(data).map_err(|e| malformed(&e.to_string()))?;
        if m.chunk.0 == 0 || m.chunk.0 > CHUNK_MAX {
            return Err(malformed("the chunk size is not between 1 B and 16 MiB"));
        }
        if m.size.0.div_ceil(m.chunk.0) != m.chunks.len() as u64 {
            return Err(malformed("the number of chunks does not match the size"));
        }
        Ok(m)
    }

    /// Returns the size of the chunk at an index.
    pub fn chunk_size(&self, index: usize) -> Size {
        let start = index as u64 * self.chunk.0;
        Size(self.chunk.0.min(self.size.0.saturating_sub(start)))
    }
}
