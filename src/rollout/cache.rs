//! Cache of recent bundles in encoded form, from which a node serves its peers.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use tokio::sync::watch;

use crate::bundle::{Digest, MAX_BUNDLE_BYTES};
use crate::error::{Error, Result};

const MAX_BUNDLES: usize = 4;
const MAX_COMPRESSED: usize = 4;
const COMPRESSION_LEVEL: i32 = 9;

/// A compressed bundle, as a delta if `base` is set.
struct CompressedBundle {
    base: Option<Digest>,
    digest: Digest,
    bytes: Bytes,
}

#[derive(Default)]
struct Contents {
    bundles: Vec<(Digest, Bytes)>,
    compressed: Vec<CompressedBundle>,
}

/// The bundles that this node can serve. The oldest are evicted first.
pub(crate) struct BundleCache {
    contents: Mutex<Contents>,
    added: watch::Sender<()>,
}

impl BundleCache {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            contents: Mutex::new(Contents::default()),
            added: watch::Sender::new(()),
        })
    }

    /// Adds a bundle and wakes the callers that wait for it.
    pub(crate) fn add(&self, digest: Digest, bytes: Bytes) {
        let mut contents = self.lock();
        if contents.bundles.iter().all(|(cached, _)| *cached != digest) {
            contents.bundles.push((digest, bytes));
        }
        let excess = contents.bundles.len().saturating_sub(MAX_BUNDLES);
        contents.bundles.drain(..excess);
        drop(contents);
        self.added.send_replace(());
    }

    pub(crate) fn get(&self, digest: Digest) -> Option<Bytes> {
        let contents = self.lock();
        let found = contents
            .bundles
            .iter()
            .find(|(cached, _)| *cached == digest);
        found.map(|(_, bytes)| bytes.clone())
    }

    /// Waits until the cache has `digest`.
    pub(crate) async fn wait_for(&self, digest: Digest) -> Bytes {
        let mut added = self.added.subscribe();
        loop {
            added.mark_unchanged();
            if let Some(bytes) = self.get(digest) {
                return bytes;
            }
            if added.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Compressed bytes of `digest`, as a delta against `base` if the cache has that bundle too.
    /// Returns the base that was used as well.
    pub(crate) fn compressed(
        &self,
        digest: Digest,
        base: Option<Digest>,
    ) -> Result<(Option<Digest>, Bytes)> {
        let bytes = self
            .get(digest)
            .ok_or_else(|| Error::Bundle(format!("bundle {digest} is not in this node's cache")))?;
        let base_bytes = base.and_then(|base| self.get(base));
        let base = base.filter(|_| base_bytes.is_some());
        if let Some(bytes) = self.find_compressed(digest, base) {
            return Ok((base, bytes));
        }
        let compressed = compress(&bytes, base_bytes.as_deref())?;
        self.add_compressed(digest, base, compressed.clone());
        Ok((base, compressed))
    }

    fn find_compressed(&self, digest: Digest, base: Option<Digest>) -> Option<Bytes> {
        let contents = self.lock();
        let mut compressed = contents.compressed.iter();
        let found = compressed.find(|c| c.digest == digest && c.base == base);
        found.map(|compressed| compressed.bytes.clone())
    }

    fn add_compressed(&self, digest: Digest, base: Option<Digest>, bytes: Bytes) {
        let mut contents = self.lock();
        contents.compressed.push(CompressedBundle {
            base,
            digest,
            bytes,
        });
        let excess = contents.compressed.len().saturating_sub(MAX_COMPRESSED);
        contents.compressed.drain(..excess);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Compresses a bundle, as a delta against the bytes of another one if given.
pub(crate) fn compress(bytes: &[u8], base: Option<&[u8]>) -> Result<Bytes> {
    let mut compressor =
        zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, base.unwrap_or_default())?;
    Ok(compressor.compress(bytes)?.into())
}

/// Reverses [`compress`]. Fails if the result exceeds [`MAX_BUNDLE_BYTES`].
pub(crate) fn decompress(compressed: &[u8], base: Option<&[u8]>) -> Result<Bytes> {
    decompress_within(compressed, base, MAX_BUNDLE_BYTES)
}

/// Reverses [`compress`]. Allocates `limit` bytes up front and fails if the result exceeds them.
pub(crate) fn decompress_within(
    compressed: &[u8],
    base: Option<&[u8]>,
    limit: usize,
) -> Result<Bytes> {
    let mut decompressor = zstd::bulk::Decompressor::with_dictionary(base.unwrap_or_default())?;
    let bytes = decompressor
        .decompress(compressed, limit)
        .map_err(|error| Error::Bundle(format!("decompression failed: {error}")))?;
    Ok(bytes.into())
}
