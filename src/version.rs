//! The version that decides on requests, as the platform holds it.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::bundle::{Bundle, Version};
use crate::dialect::Dialect;
use crate::route::Table;

/// A version in force.
pub(crate) struct InForce {
    /// Its number.
    pub version: Version,
    /// What it says.
    pub bundle: Bundle,
    /// Its routes, compiled.
    pub table: Table,
    /// Its bytes as the platform holds them.
    pub bytes: Vec<u8>,
}

/// Takes versions whole, and only higher ones.
pub(crate) struct Versions {
    dialect: Arc<dyn Dialect>,
    in_force: Arc<ArcSwapOption<InForce>>,
    changed: watch::Sender<u64>,
}

impl Versions {
    pub(crate) fn new(dialect: Arc<dyn Dialect>) -> Self {
        Self {
            dialect,
            in_force: Arc::new(ArcSwapOption::empty()),
            changed: watch::channel(0).0,
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
            self.in_force.store(Some(Arc::new(in_force)));
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
