//! Chunks in memory by content hash, shared between versions.

use std::sync::Arc;

use bytes::Bytes;

use super::{Manifest, WeightsError};
use crate::{
    base::{Digest, HashMap, HashSet, Size},
    decide::chunk::Bitmap,
};

/// A manifest with the positions of its chunks.
#[derive(Debug)]
pub struct Version {
    /// Hash of the encoded manifest.
    pub id: Digest,
    /// The decoded manifest.
    pub manifest: Manifest,
    /// The encoded manifest.
    pub encoded: Bytes,
    /// Positions of each chunk; content that occurs twice is stored once.
    index: HashMap<Digest, Vec<u32>>,
}

impl Version {
    /// Decodes and indexes a manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the hash differs or the manifest is malformed.
    pub fn decode(encoded: Bytes, id: Digest) -> Result<Self, WeightsError> {
        let manifest = Manifest::decode(&encoded, id)?;
        let mut index: HashMap<Digest, Vec<u32>> = HashMap::default();
        for (i, chunk) in manifest.chunks.iter().enumerate() {
            index.entry(*chunk).or_default().push(i as u32);
        }
        Ok(Self {
            id,
            manifest,
            encoded,
            index,
        })
    }

    /// Returns the positions of a chunk.
    pub fn positions(&self, chunk: &Digest) -> &[u32] {
        self.index.get(chunk).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of chunks.
    pub fn len(&self) -> u32 {
        self.manifest.chunks.len() as u32
    }

    /// Returns whether the version has no content.
    pub fn is_empty(&self) -> bool {
        self.manifest.chunks.is_empty()
    }
}

#[derive(Debug)]
struct Known {
    version: Arc<Version>,
    /// Positions whose chunk is in the store.
    held: Bitmap,
}

/// Verified chunks within a memory budget.
#[derive(Debug)]
pub struct ChunkStore {
    budget: Size,
    /// Sum of the sizes of `chunks`.
    used: Size,
    /// Every chunk belongs to a version in `versions`.
    chunks: HashMap<Digest, Bytes>,
    versions: HashMap<Digest, Known>,
}

impl ChunkStore {
    /// Creates an empty store.
    pub fn new(budget: Size) -> Self {
        Self {
            budget,
            used: Size(0),
            chunks: HashMap::default(),
            versions: HashMap::default(),
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> Size {
        self.used
    }

    /// Returns a version whose manifest is known.
    pub fn version(&self, id: &Digest) -> Option<Arc<Version>> {
        self.versions.get(id).map(|k| k.version.clone())
    }

    /// Returns the held positions of a version whose manifest is known.
    pub fn held(&self, id: &Digest) -> Option<&Bitmap> {
        self.versions.get(id).map(|k| &k.held)
    }

    /// Returns a chunk.
    pub fn chunk(&self, id: &Digest) -> Option<Bytes> {
        self.chunks.get(id).cloned()
    }

    /// Adds a version if its missing chunks fit the budget; incomplete other versions are dropped if that is needed.
    ///
    /// # Errors
    ///
    /// Returns [`WeightsError::Memory`], with the store unchanged, if the version does not fit.
    pub fn admit(&mut self, version: Arc<Version>) -> Result<(), WeightsError> {
        if self.versions.contains_key(&version.id) {
            return self.fits(&version);
        }
        if let Err(full) = self.fits(&version) {
            let complete = self.versions.iter().filter(|(_, k)| k.held.is_full());
            let keep: HashSet<Digest> = complete.map(|(id, _)| *id).collect();
            let kept = self.size_of(&keep, &version);
            if kept > self.budget {
                return Err(full);
            }
            // Chunks that the new version shares with a dropped one stay.
            self.insert_version(version.clone());
            self.retain(|id| keep.contains(id) || *id == version.id);
            return Ok(());
        }
        self.insert_version(version);
        Ok(())
    }

    fn insert_version(&mut self, version: Arc<Version>) {
        let mut held = Bitmap::new(version.len());
        for (i, chunk) in version.manifest.chunks.iter().enumerate() {
            if self.chunks.contains_key(chunk) {
                held.insert(i as u32);
            }
        }
        self.versions.insert(version.id, Known { version, held });
    }

    fn fits(&self, version: &Version) -> Result<(), WeightsError> {
        let needed = missing(version, |c| self.chunks.contains_key(c));
        if self.used.0.saturating_add(needed.0) <= self.budget.0 {
            return Ok(());
        }
        Err(WeightsError::Memory {
            needed,
            used: self.used,
            budget: self.budget,
        })
    }

    /// Size of the store if it held only the versions in `keep` and all of `version`.
    fn size_of(&self, keep: &HashSet<Digest>, version: &Version) -> Size {
        let mut kept = HashSet::default();
        let mut size = 0;
        for known in keep.iter().filter_map(|id| self.versions.get(id)) {
            for chunk in &known.version.manifest.chunks {
                if kept.insert(*chunk) {
                    size += self.chunks.get(chunk).map_or(0, |b| b.len() as u64);
                }
            }
        }
        Size(size + missing(version, |c| kept.contains(c)).0)
    }

    /// Adds a verified chunk; one that belongs to no known version is dropped.
    pub fn insert(&mut self, id: Digest, data: Bytes) {
        let mut wanted = false;
        for known in self.versions.values_mut() {
            for &i in known.version.positions(&id) {
                known.held.insert(i);
                wanted = true;
            }
        }
        let size = data.len() as u64;
        if wanted && self.chunks.insert(id, data).is_none() {
            self.used.0 += size;
        }
    }

    /// Drops versions and the chunks that no remaining version has.
    pub fn retain(&mut self, keep: impl Fn(&Digest) -> bool) {
        self.versions.retain(|id, _| keep(id));
        let versions = &self.versions;
        let used = &mut self.used;
        self.chunks.retain(|id, data| {
            let wanted = versions
                .values()
                .any(|k| !k.version.positions(id).is_empty());
            if !wanted {
                used.0 -= data.len() as u64;
            }
            wanted
        });
    }

    /// Returns all chunks of a version in order without copying them, or `None` if one is missing.
    pub fn assemble(&self, version: &Version) -> Option<Vec<Bytes>> {
        let chunks = &version.manifest.chunks;
        chunks.iter().map(|id| self.chunk(id)).collect()
    }
}

/// Size of the distinct chunks of a version that are not held.
fn missing(version: &Version, held: impl Fn(&Digest) -> bool) -> Size {
    let mut seen = HashSet::default();
    let chunks = version.manifest.chunks.iter().enumerate();
    let sizes = chunks
        .filter(|(_, id)| !held(id) && seen.insert(**id))
        .map(|(i, _)| version.manifest.chunk_size(i).0);
    Size(sizes.sum())
}
