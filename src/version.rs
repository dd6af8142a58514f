//! Configuration versions that the platform supplies: the one in force, and recent ones as bases
//! for compression between nodes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::bundle::{MAX_BUNDLE_BYTES, RequestLimits, Version};
use crate::dialect::Dialect;
use crate::error::{Error, Result};
use crate::link::PackedVersion;
use crate::rollout::{compress, decompress_within};
use crate::route::Table;
use crate::tenant::Tenants;

/// Configuration of one version, ready for use by the request path.
pub(crate) struct Config {
    pub version: Version,
    /// Size and time limits for the requests of callers.
    pub request_limits: RequestLimits,
    /// Compiled routing table.
    pub table: Table,
    /// Tenants by their keys.
    pub tenants: Tenants,
}

/// Identity of a version. An operator may write other content under the same number after the store
/// has lost the former content, so that a number alone does not identify a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Mark {
    /// Number of the version, 0 before the first.
    pub number: u64,
    /// Latest era of the store in which this content was read; 0 if the store names no eras.
    pub era: u64,
    /// Digest of the content.
    pub digest: u32,
}

impl Mark {
    /// Whether this version replaces `other`: it has a higher number, or the same number and other
    /// content that was read in a later era.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        self.number > other.number
            || self.number == other.number && self.era > other.era && self.digest != other.digest
    }

    /// Whether this version has the same content as `other`, but was read in a later era.
    fn confirms(&self, other: &Self) -> bool {
        self.number == other.number && self.digest == other.digest && self.era > other.era
    }

    /// Number and era. Of two versions with different content, the one with the greater order
    /// replaces the other.
    pub(crate) fn order(&self) -> (u64, u64) {
        (self.number, self.era)
    }
}

/// Where a version comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    /// Name in log lines.
    pub name: &'static str,
    /// Era of the store in which the version was read; 0 if the store names no eras.
    pub era: u64,
}

impl From<&'static str> for Source {
    /// A source that knows of no eras.
    fn from(name: &'static str) -> Self {
        Self { name, era: 0 }
    }
}

/// Bytes of a version, unchanged from the platform.
#[derive(Clone)]
struct Document {
    version: u64,
    bytes: Bytes,
}

/// Number of recent versions kept as bases for compression. These are the versions that other nodes
/// are likely to have during a series of changes.
const MAX_RECENT_VERSIONS: usize = 4;

/// Holds the version in force. A version replaces it only if it is valid as a whole and has a
/// higher number, or other content of the same number from a later era of the store.
pub(crate) struct Versions {
    dialect: Arc<dyn Dialect>,
    in_force: Arc<ArcSwapOption<Config>>,
    /// Identity of the version in force.
    mark: watch::Sender<Mark>,
    /// Latest versions, newest last.
    recent: Mutex<VecDeque<Document>>,
}

impl Versions {
    pub(crate) fn new(dialect: Arc<dyn Dialect>) -> Self {
        Self {
            dialect,
            in_force: Arc::new(ArcSwapOption::empty()),
            mark: watch::channel(Mark::default()).0,
            recent: Mutex::default(),
        }
    }

    /// The configuration in force, shared with the request path; `None` before the first version.
    pub(crate) fn in_force(&self) -> &Arc<ArcSwapOption<Config>> {
        &self.in_force
    }

    /// Number of the version in force, 0 before the first.
    pub(crate) fn number(&self) -> u64 {
        self.mark().number
    }

    /// Identity of the version in force.
    pub(crate) fn mark(&self) -> Mark {
        *self.mark.borrow()
    }

    /// Records that content which may be that of the version in force was read in a later era.
    pub(crate) fn confirm(&self, seen: Mark) {
        // Every message of a peer names a version, so the usual case takes no write lock.
        if !seen.confirms(&self.mark()) {
            return;
        }
        self.mark.send_if_modified(|mark| {
            let confirmed = seen.confirms(mark);
            if confirmed {
                mark.era = seen.era;
            }
            confirmed
        });
    }

    /// Receives the identity of each version that comes into force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Mark> {
        self.mark.subscribe()
    }

    /// Keeps a version as a base for compression; drops former content of the same number, and the
    /// oldest version if there are too many.
    fn add_recent(&self, document: Document) {
        let mut recent = self.recent();
        recent.retain(|kept| kept.version != document.version);
        if recent.len() == MAX_RECENT_VERSIONS {
            recent.pop_front();
        }
        recent.push_back(document);
    }

    /// Compresses the version in force for a node that has `version`. Returns `None` if the version
    /// in force is not higher.
    pub(crate) fn pack_above(&self, version: u64) -> Result<Option<PackedVersion>> {
        let newest = self.recent().back().cloned();
        let Some(newest) = newest.filter(|newest| newest.version > version) else {
            return Ok(None);
        };
        let base = self.find_recent(version);
        let bytes = compress(&newest.bytes, base.as_ref().map(|base| &base.bytes[..]))?;
        Ok(Some(PackedVersion {
            base: base.map_or(0, |base| base.version),
            size: newest.bytes.len(),
            bytes: bytes.to_vec(),
            era: self.mark().era,
            digest: digest(&newest.bytes),
        }))
    }

    /// Decompresses a version that another node has packed.
    pub(crate) fn unpack(&self, packed: &PackedVersion) -> Result<Bytes> {
        let base = self.find_recent(packed.base);
        if packed.base > 0 && base.is_none() {
            return Err(Error::Bundle(format!(
                "base version {} of a packed version is not held",
                packed.base
            )));
        }
        let limit = packed.size.min(MAX_BUNDLE_BYTES);
        let bytes = decompress_within(
            &packed.bytes,
            base.as_ref().map(|base| &base.bytes[..]),
            limit,
        )?;
        if digest(&bytes) != packed.digest {
            return Err(Error::Bundle(format!(
                "base version {} of a packed version has other content here",
                packed.base
            )));
        }
        Ok(bytes)
    }

    fn find_recent(&self, version: u64) -> Option<Document> {
        let recent = self.recent();
        recent
            .iter()
            .find(|document| document.version == version)
            .cloned()
    }

    fn recent(&self) -> MutexGuard<'_, VecDeque<Document>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a version in force, and returns whether it did. A version that is invalid in any part
    /// or does not replace the one in force changes nothing.
    pub(crate) fn apply(&self, bytes: &[u8], source: impl Into<Source>) -> bool {
        let source = source.into();
        let (version, bundle) = match self.dialect.parse_version(bytes) {
            Ok(decoded) => decoded,
            Err(error) => {
                log::warn!(
                    event = "version_rejected",
                    source = source.name;
                    "rejected a configuration version: {error}"
                );
                return false;
            }
        };
        let mark = Mark {
            number: version.0,
            era: source.era,
            digest: digest(bytes),
        };
        self.confirm(mark);
        if !mark.replaces(&self.mark()) {
            log::debug!(
                event = "version_not_higher",
                version = version.0;
                "ignored a version that does not replace the one in force"
            );
            return false;
        }
        let table = Table::compile(&bundle);
        let routes = bundle.routes.len();
        let config = Config {
            version,
            request_limits: bundle.intake,
            table,
            tenants: Tenants::compile(&bundle.tenants),
        };
        drop(bundle);
        let document = Document {
            version: version.0,
            bytes: Bytes::copy_from_slice(bytes),
        };
        let applied = self.mark.send_if_modified(|in_force| {
            if !mark.replaces(in_force) {
                return false;
            }
            self.in_force.store(Some(Arc::new(config)));
            self.add_recent(document);
            *in_force = mark;
            true
        });
        if applied {
            log::info!(
                event = "version_in_force",
                version = version.0,
                era = source.era,
                routes = routes,
                bytes = bytes.len(),
                source = source.name;
                "configuration version in force"
            );
        }
        applied
    }
}

/// Digest that distinguishes contents of one version number.
#[allow(
    clippy::cast_possible_truncation,
    reason = "32 bits tell a few contents apart"
)]
fn digest(bytes: &[u8]) -> u32 {
    xxh3_64(bytes) as u32
}

#[cfg(test)]
mod tests;
