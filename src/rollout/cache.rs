//! Recent bundles as bytes, for peers that fetch them.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use tokio::sync::watch;

use crate::bundle::{Digest, MAX_BUNDLE_BYTES};
use crate::error::{Error, Result};

const KEPT_BUNDLES: usize = 4;
const KEPT_DELTAS: usize = 4;
const COMPRESSION_LEVEL: i32 = 9;

struct Delta {
    base: Option<Digest>,
    digest: Digest,
    bytes: Bytes,
}

#[derive(Default)]
struct Contents {
    bundles: Vec<(Digest, Bytes)>,
    deltas: Vec<Delta>,
}

/// The bundles that this node can serve, the newest last.
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

    pub(crate) fn add(&self, digest: Digest, bytes: Bytes) {
        let mut contents = self.lock();
        if contents.bundles.iter().all(|(held, _)| *held != digest) {
            contents.bundles.push((digest, bytes));
        }
        let excess = contents.bundles.len().saturating_sub(KEPT_BUNDLES);
        contents.bundles.drain(..excess);
        drop(contents);
        self.added.send_replace(());
    }

    pub(crate) fn get(&self, digest: Digest) -> Option<Bytes> {
        let contents = self.lock();
        let found = contents.bundles.iter().find(|(held, _)| *held == digest);
        found.map(|(_, bytes)| bytes.clone())
    }

    /// Waits until `digest` is on the shelf.
    pub(crate) async fn wait(&self, digest: Digest) -> Bytes {
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

    /// Compressed bytes of `digest`, against `base` if that is on the shelf as well; returns the
    /// base that was used.
    pub(crate) fn compressed(
        &self,
        digest: Digest,
        base: Option<Digest>,
    ) -> Result<(Option<Digest>, Bytes)> {
        let bytes = self
            .get(digest)
            .ok_or_else(|| Error::Bundle(format!("{digest} is not held here")))?;
        let base_bytes = base.and_then(|base| self.get(base));
        let base = base.filter(|_| base_bytes.is_some());
        if let Some(delta) = self.find_delta(digest, base) {
            return Ok((base, delta));
        }
        let packed = compress(&bytes, base_bytes.as_deref())?;
        self.keep_delta(digest, base, packed.clone());
        Ok((base, packed))
    }

    fn find_delta(&self, digest: Digest, base: Option<Digest>) -> Option<Bytes> {
        let contents = self.lock();
        let mut deltas = contents.deltas.iter();
        let found = deltas.find(|d| d.digest == digest && d.base == base);
        found.map(|delta| delta.bytes.clone())
    }

    fn keep_delta(&self, digest: Digest, base: Option<Digest>, bytes: Bytes) {
        let mut contents = self.lock();
        contents.deltas.push(Delta {
            base,
            digest,
            bytes,
        });
        let excess = contents.deltas.len().saturating_sub(KEPT_DELTAS);
        contents.deltas.drain(..excess);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Compresses a bundle, against the bytes of another one where given.
pub(crate) fn compress(bytes: &[u8], base: Option<&[u8]>) -> Result<Bytes> {
    let mut compressor =
        zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, base.unwrap_or_default())?;
    Ok(compressor.compress(bytes)?.into())
}

/// Reverses [`compress`]; at most [`MAX_BUNDLE_BYTES`] come out.
pub(crate) fn decompress(packed: &[u8], base: Option<&[u8]>) -> Result<Bytes> {
    decompress_within(packed, base, MAX_BUNDLE_BYTES)
}

/// Reverses [`compress`]; at most `limit` bytes come out, for which room is made at once.
pub(crate) fn decompress_within(packed: &[u8], base: Option<&[u8]>, limit: usize) -> Result<Bytes> {
    let mut decompressor = zstd::bulk::Decompressor::with_dictionary(base.unwrap_or_default())?;
    let bytes = decompressor
        .decompress(packed, limit)
        .map_err(|error| Error::Bundle(format!("cannot be decompressed: {error}")))?;
    Ok(bytes.into())
}
