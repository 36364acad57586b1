//! Generated weights.

use bytes::Bytes;
use eyre::{ensure, Result};
use futures_util::{stream, StreamExt, TryStreamExt};
use sesamewing::{
    base::{Digest, Percent, Size, VersionName},
    weights::Manifest,
};

/// Uploads in progress at a time.
const PARALLEL: usize = 8;

/// Content of a generated version.
#[derive(Clone, Debug)]
pub struct Recipe {
    /// Version name.
    pub version: VersionName,
    /// Size of the content.
    pub size: Size,
    /// Chunk size.
    pub chunk: Size,
    /// Seed of the content.
    pub seed: u64,
    /// Seed of the version that this one changes, and the share of its chunks that change.
    pub base: Option<(u64, Percent)>,
}

impl Recipe {
    /// Returns whether a chunk differs from the base; changed chunks are spread evenly.
    fn is_changed(&self, index: u64) -> bool {
        let Some((_, percent)) = self.base else {
            return true;
        };
        let changed = |chunks: u64| chunks * u64::from(percent.0) / 100;
        changed(index + 1) > changed(index)
    }

    /// Generates the content.
    pub fn content(&self) -> Bytes {
        let mut out = vec![0; self.size.0 as usize];
        let size = self.chunk.0.max(1) as usize;
        for (index, chunk) in (0..).zip(out.chunks_mut(size)) {
            let seed = match self.base {
                Some((base, _)) if !self.is_changed(index) => base,
                _ => self.seed,
            };
            // The golden ratio spreads the seeds of neighbouring chunks.
            let seed = seed ^ (index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            fastrand::Rng::with_seed(seed).fill(chunk);
        }
        out.into()
    }
}

/// Uploads a generated version to the weight store and returns its manifest and the manifest's hash.
///
/// # Errors
///
/// Returns an error if the store cannot be reached or refuses the content.
pub async fn put_weights(platform: &str, recipe: &Recipe) -> Result<(Manifest, Digest)> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let content = recipe.content();
    let manifest = Manifest::describe(recipe.version.clone(), &content, recipe.chunk);
    let encoded = manifest.encode();
    let id = Digest::of(&encoded);
    let size = recipe.chunk.0.max(1) as usize;
    let chunks = manifest.chunks.iter().enumerate().map(|(i, hash)| {
        let end = content.len().min((i + 1) * size);
        ("chunks", *hash, content.slice(i * size..end))
    });
    let put = |(kind, hash, data): (&'static str, Digest, Bytes)| {
        let url = format!("{platform}/weights/{kind}/{hash}");
        let req = client.put(url).body(data);
        async move {
            let status = req.send().await?.status();
            ensure!(
                status.is_success(),
                "the store refused {kind}/{hash}: {status}"
            );
            Ok(())
        }
    };
    let uploads: Vec<_> = chunks.map(put).collect();
    stream::iter(uploads)
        .buffer_unordered(PARALLEL)
        .try_collect::<()>()
        .await?;
    put(("manifests", id, encoded.into())).await?;
    Ok((manifest, id))
}
