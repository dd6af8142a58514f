//! The version that decides on requests, as the platform holds it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use tokio::sync::watch;

use crate::bundle::{MAX_BUNDLE_BYTES, RequestLimits, Version};
use crate::dialect::Dialect;
use crate::error::{Error, Result};
use crate::link::Packed;
use crate::rollout::{compress, decompress_within};
use crate::route::Table;

/// A version in force.
pub(crate) struct InForce {
    /// Its number.
    pub version: Version,
    /// Bounds on what callers may send.
    pub intake: RequestLimits,
    /// Its routes, compiled.
    pub table: Table,
}

/// A version's bytes as the platform holds them.
#[derive(Clone)]
struct Source {
    version: u64,
    bytes: Bytes,
}

/// Versions that are kept to compress later ones against: those that other nodes are likely to
/// have during a series of changes.
const KEPT: usize = 4;

/// Takes versions whole, and only higher ones.
pub(crate) struct Versions {
    dialect: Arc<dyn Dialect>,
    in_force: Arc<ArcSwapOption<InForce>>,
    changed: watch::Sender<u64>,
    /// The latest versions, newest last.
    recent: Mutex<VecDeque<Source>>,
}

impl Versions {
    pub(crate) fn new(dialect: Arc<dyn Dialect>) -> Self {
        Self {
            dialect,
            in_force: Arc::new(ArcSwapOption::empty()),
            changed: watch::channel(0).0,
            recent: Mutex::default(),
        }
    }

    /// The version in force, shared with the request path.
    pub(crate) fn in_force(&self) -> &Arc<ArcSwapOption<InForce>> {
        &self.in_force
    }

    /// Number of the version in force, 0 before the first.
    pub(crate) fn number(&self) -> u64 {
        *self.changed.borrow()
    }

    fn keep(&self, source: Source) {
        let mut recent = self.recent();
        if recent.len() == KEPT {
            recent.pop_front();
        }
        recent.push_back(source);
    }

    /// The version in force, compressed, if it is above `version`, which the asker has.
    pub(crate) fn pack_above(&self, version: u64) -> Result<Option<Packed>> {
        let newest = self.recent().back().cloned();
        let Some(newest) = newest.filter(|newest| newest.version > version) else {
            return Ok(None);
        };
        let base = self.find(version);
        let bytes = compress(&newest.bytes, base.as_ref().map(|base| &base.bytes[..]))?;
        Ok(Some(Packed {
            base: base.map_or(0, |base| base.version),
            size: newest.bytes.len(),
            bytes: bytes.to_vec(),
        }))
    }

    /// Bytes of a version that another node has compressed.
    pub(crate) fn unpack(&self, packed: &Packed) -> Result<Bytes> {
        let base = self.find(packed.base);
        if packed.base > 0 && base.is_none() {
            return Err(Error::Bundle(format!(
                "version {} is not kept",
                packed.base
            )));
        }
        let limit = packed.size.min(MAX_BUNDLE_BYTES);
        decompress_within(
            &packed.bytes,
            base.as_ref().map(|base| &base.bytes[..]),
            limit,
        )
    }

    fn find(&self, version: u64) -> Option<Source> {
        let recent = self.recent();
        recent.iter().find(|kept| kept.version == version).cloned()
    }

    fn recent(&self) -> MutexGuard<'_, VecDeque<Source>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a version; returns whether it is in force now. One that is not higher, or not valid as
    /// a whole, changes nothing.
    pub(crate) fn take(&self, bytes: &[u8], from: &str) -> bool {
        let (version, bundle) = match self.dialect.version(bytes) {
            Ok(read) => read,
            Err(fault) => {
                log::warn!(event = "version_rejected", source = from; "{fault}");
                return false;
            }
        };
        if version.0 <= self.number() {
            log::debug!(event = "version_not_higher", version = version.0; "");
            return false;
        }
        let table = Table::compile(&bundle);
        let routes = bundle.routes.len();
        let in_force = InForce {
            version,
            intake: bundle.intake,
            table,
        };
        drop(bundle);
        let source = Source {
            version: version.0,
            bytes: Bytes::copy_from_slice(bytes),
        };
        let taken = self.changed.send_if_modified(|number| {
            if version.0 <= *number {
                return false;
            }
            self.in_force.store(Some(Arc::new(in_force)));
            self.keep(source);
            *number = version.0;
            true
        });
        log::info!(
            event = "version_in_force",
            version = version.0,
            routes = routes,
            bytes = bytes.len(),
            source = from;
            ""
        );
        taken
    }
}

#[cfg(test)]
mod tests;
