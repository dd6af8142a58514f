//! Storage of bundles and of the rollout row at the platform.

use std::time::Duration;

use bytes::Bytes;

use crate::bundle::{Digest, Version};
use crate::error::{Error, Result};
use crate::rollout::cache::{compress, decompress};
use crate::rollout::state::{Phase, Rollout, VersionRecord};
use crate::rollout::{ROLLOUT_KEY, bundle_key};
use crate::store::{Platform, Transaction};

/// Maximum number of attempts of one operation at the platform.
pub(super) const MAX_ATTEMPTS: u32 = 8;
/// Pause between two attempts.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Name of the object with the complete bundle, compressed.
pub(crate) fn object_name(digest: Digest) -> String {
    format!("bundle-{digest}")
}

/// Name of the object with a bundle compressed against the bundle `base`.
pub(crate) fn delta_name(base: Digest, digest: Digest) -> String {
    format!("delta-{base}-{digest}")
}

/// Stores the complete bundle and, if a version is in force, a delta against that version.
pub(super) async fn store(platform: &Platform, bytes: &Bytes, digest: Digest) -> Result<()> {
    let objects = &platform.objects;
    let complete = compress(bytes, None)?;
    let name = object_name(digest);
    retry(|| store_object(platform, &name, &complete)).await?;
    let (rollout, _) = retry(|| read_rollout(platform)).await?;
    let Some(base) = rollout.active.map(|active| active.digest) else {
        return Ok(());
    };
    let base_name = object_name(base);
    let Some(compressed) = retry(|| objects.fetch(&base_name)).await? else {
        return Ok(());
    };
    let delta = compress(bytes, Some(&decompress(&compressed, None)?))?;
    let name = delta_name(base, digest);
    retry(|| store_object(platform, &name, &delta)).await
}

/// Stores an object. After an error, reads it back, because the write may have taken effect.
async fn store_object(platform: &Platform, name: &str, bytes: &Bytes) -> Result<()> {
    let objects = &platform.objects;
    let Err(error) = objects.store(name, bytes.clone()).await else {
        return Ok(());
    };
    match objects.fetch(name).await? {
        Some(stored) if stored == *bytes => Ok(()),
        _ => Err(error),
    }
}

/// Reads the rollout row and its revision; a default row and revision 0 if there is none yet.
pub(crate) async fn read_rollout(platform: &Platform) -> Result<(Rollout, u64)> {
    match platform.table.get(ROLLOUT_KEY).await? {
        Some(row) => Ok((row.parse()?, row.revision)),
        None => Ok((Rollout::default(), 0)),
    }
}

/// Adds a change of a version's phase to a transaction. Adds nothing if the version has no row.
pub(super) async fn set_phase(
    platform: &Platform,
    transaction: Transaction,
    version: Version,
    phase: Phase,
) -> Result<Transaction> {
    let key = bundle_key(version);
    let Some(row) = platform.table.get(&key).await? else {
        return Ok(transaction);
    };
    let mut record: VersionRecord = row.parse()?;
    record.phase = phase;
    Ok(transaction.require(&key, row.revision).put(&key, &record))
}

/// Retries an idempotent call while the platform is unavailable.
pub(super) async fn retry<T, F: Future<Output = Result<T>>>(call: impl Fn() -> F) -> Result<T> {
    let mut attempts = 1;
    loop {
        match call().await {
            Err(Error::Unavailable(_)) if attempts < MAX_ATTEMPTS => attempts += 1,
            outcome => return outcome,
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
