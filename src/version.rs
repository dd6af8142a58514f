//! The version that decides on requests, as the platform holds it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use tokio::sync::watch;

use crate::bundle::{Bundle, MAX_BUNDLE_BYTES, Version};
use crate::dialect::Dialect;
use crate::error::{Error, Result};
use crate::link::Packed;
use crate::rollout::{compress, decompress_within};
use crate::route::Table;

/// A version in force.
pub(crate) struct InForce {
    /// Its number.
    pub version: Version,
    /// Its content.
    pub bundle: Bundle,
    /// Its routes, compiled.
    pub table: Table,
    /// Its bytes as the platform holds them.
    pub bytes: Vec<u8>,
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
    recent: Mutex<VecDeque<Arc<InForce>>>,
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

    fn keep(&self, in_force: Arc<InForce>) {
        let mut recent = self.recent();
        if recent.len() == KEPT {
            recent.pop_front();
        }
        recent.push_back(in_force);
    }

    /// The version in force, compressed, if it is above `version`, which the asker has.
    pub(crate) fn pack_above(&self, version: u64) -> Result<Option<Packed>> {
        let in_force = self.in_force.load_full();
        let Some(in_force) = in_force.filter(|in_force| in_force.version.0 > version) else {
            return Ok(None);
        };
        let base = self.find(version);
        let bytes = compress(&in_force.bytes, base.as_ref().map(|base| &base.bytes[..]))?;
        Ok(Some(Packed {
            base: base.map_or(0, |base| base.version.0),
            size: in_force.bytes.len(),
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

    fn find(&self, version: u64) -> Option<Arc<InForce>> {
        let recent = self.recent();
        recent
            .iter()
            .find(|kept| kept.version.0 == version)
            .cloned()
    }

    fn recent(&self) -> MutexGuard<'_, VecDeque<Arc<InForce>>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a version; returns whether it is in force now. One that is not higher, or not valid as
    /// a whole, changes nothing.
    pub(crate) fn take(&self, bytes: &[u8], source: &str) -> bool {
        let (version, bundle) = match self.dialect.version(bytes) {
            Ok(read) => read,
            Err(fault) => {
                log::warn!(event = "version_rejected", source = source; "{fault}");
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
            bundle,
            table,
            bytes: bytes.to_vec(),
        };
        let taken = self.changed.send_if_modified(|number| {
            if version.0 <= *number {
                return false;
            }
            let in_force = Arc::new(in_force);
            self.in_force.store(Some(in_force.clone()));
            self.keep(in_force);
            *number = version.0;
            true
        });
        log::info!(
            event = "version_in_force",
            version = version.0,
            routes = routes,
            bytes = bytes.len(),
            source = source;
            ""
        );
        taken
    }
}

#[cfg(test)]
mod tests;
