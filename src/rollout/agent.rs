//! Rollout on one node: verify, prepare and put in force a version.
//!
//! The version in force is replaced as a whole and never by a lower one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::bundle::{self, Bundle, Digest, Trust, Version};
use crate::error::{Error, Result};
use crate::rollout::state::{Head, Release};
use crate::rollout::tally::{RefusedBy, Tally};
use crate::rollout::{BundleCache, Fetcher};
use crate::route;

/// A verified and compiled bundle, as used for requests once it is in force.
pub(crate) struct ActiveBundle {
    /// Version of the bundle.
    pub version: Version,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Routes of the bundle, compiled for look-up.
    pub table: route::Table,
    /// Content of the bundle.
    pub bundle: Bundle,
}

/// Result of preparing a release on this node.
#[derive(Clone)]
enum Preparation {
    Ready(Arc<ActiveBundle>),
    Refused(String),
}

struct PreparedRelease {
    release: Release,
    preparation: Preparation,
}

#[derive(Default)]
struct State {
    head: Head,
    prepared: Vec<PreparedRelease>,
}

/// Sources that a bundle may be fetched from.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    /// Mesh listeners of peers, in order of preference.
    pub peers: Vec<SocketAddr>,
    /// Whether the object store may be used. It is tried before the peers.
    pub store: bool,
}

/// The version in force and the prepared versions of one node.
pub(crate) struct Agent {
    node: String,
    trust: Trust,
    cache: Arc<BundleCache>,
    fetcher: Fetcher,
    state: Mutex<State>,
    in_force: ArcSwapOption<ActiveBundle>,
    /// Held while a head is applied, so that only one call does so at a time.
    catching_up: tokio::sync::Mutex<()>,
    version: watch::Sender<Version>,
}

const MAX_PREPARED: usize = 4;
/// Number of times that the list of peers is tried.
const PEER_ATTEMPTS: u32 = 4;
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(50);

impl Agent {
    pub(crate) fn new(node: &str, trust: Trust, cache: Arc<BundleCache>, fetcher: Fetcher) -> Self {
        Self {
            node: node.to_owned(),
            trust,
            cache,
            fetcher,
            state: Mutex::new(State::default()),
            in_force: ArcSwapOption::empty(),
            catching_up: tokio::sync::Mutex::new(()),
            version: watch::Sender::new(Version(0)),
        }
    }

    /// The bundle in force. A request loads it once, so that it sees a single version throughout.
    pub(crate) fn in_force(&self) -> Option<Arc<ActiveBundle>> {
        self.in_force.load_full()
    }

    /// Number of the version in force, 0 before the first.
    pub(crate) fn version(&self) -> Version {
        self.in_force().map_or(Version(0), |bundle| bundle.version)
    }

    /// Bundle bytes that this node read from the object store.
    pub(crate) fn store_bytes(&self) -> u64 {
        self.fetcher.store_bytes()
    }

    /// Subscribes to changes of the version in force.
    pub(crate) fn subscribe_version(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// The newest head that this node received.
    pub(crate) fn head(&self) -> Head {
        self.lock().head.clone()
    }

    /// Replaces the head if `head` is newer, and drops prepared releases that it does not name.
    /// Returns whether it is newer.
    pub(crate) fn update_head(&self, head: &Head) -> bool {
        let mut state = self.lock();
        let is_newer = head.revision > state.head.revision;
        if is_newer {
            state.head = head.clone();
            let is_named =
                |r: &Release| head.active.as_ref() == Some(r) || head.candidate.as_ref() == Some(r);
            state
                .prepared
                .retain(|prepared| is_named(&prepared.release));
        }
        is_newer
    }

    /// Applies the newest head: prepares the active version and the candidate, and puts the active
    /// version in force if it is higher than the one in force.
    pub(crate) async fn catch_up(&self, sources: &Sources) {
        let _guard = self.catching_up.lock().await;
        let head = self.head();
        for release in head.active.iter().chain(&head.candidate) {
            if !self.has_prepared(release) && release.version > self.version() {
                self.prepare(release, sources).await;
            }
        }
        if let Some(active) = &head.active {
            self.put_in_force(active);
        }
    }

    /// Whether the newest head is applied: the active version is in force or refused, and the
    /// candidate is prepared or refused.
    pub(crate) fn has_applied_head(&self) -> bool {
        let head = self.head();
        let is_done = |r: &Release| r.version <= self.version() || self.has_prepared(r);
        head.active
            .iter()
            .all(|r| r.version <= self.version() || self.refusal(r).is_some())
            && head.candidate.iter().all(is_done)
    }

    /// The tally of this node alone. `has_targets` says whether a target group has members.
    pub(crate) fn tally(&self, has_targets: impl Fn(&str) -> bool) -> Tally {
        let head = self.head();
        let mut tally = Tally::default();
        tally.in_force.insert(self.version(), 1);
        for release in head.active.iter().chain(&head.candidate) {
            match self.find(release) {
                _ if release.version <= self.version() => {}
                Some(Preparation::Ready(bundle)) => {
                    tally.prepared.insert(release.version, 1);
                    let is_candidate = head.candidate.as_ref() == Some(release);
                    if is_candidate && self.awaits_targets(&bundle, &has_targets) {
                        tally.awaiting_targets = 1;
                    }
                }
                Some(Preparation::Refused(reason)) => {
                    tally.refused += 1;
                    tally.refused_by.push(RefusedBy {
                        node: self.node.clone(),
                        version: release.version,
                        reason,
                    });
                }
                None => {}
            }
        }
        tally
    }

    /// Whether `next` has a service that is not in the bundle in force and has no target yet.
    fn awaits_targets(&self, next: &ActiveBundle, has_targets: impl Fn(&str) -> bool) -> bool {
        let current = self.in_force();
        let is_current = |name: &String| {
            current
                .as_ref()
                .is_some_and(|c| c.bundle.services.contains_key(name))
        };
        let services = next.bundle.services.iter();
        let mut new_services = services.filter(|(name, _)| !is_current(name));
        new_services.any(|(_, service)| !has_targets(&service.group))
    }

    async fn prepare(&self, release: &Release, sources: &Sources) {
        if let Err(error) = self.check_size_and_signatures(release) {
            return self.store_preparation(release, Preparation::Refused(error.to_string()));
        }
        let Some(bytes) = self.fetch(release, sources).await else {
            return;
        };
        let preparation = match bundle::decode(&bytes, release.digest) {
            Ok(bundle) => Preparation::Ready(Arc::new(ActiveBundle {
                version: release.version,
                digest: release.digest,
                table: route::Table::compile(&bundle),
                bundle,
            })),
            Err(error) => Preparation::Refused(error.to_string()),
        };
        if matches!(preparation, Preparation::Ready(_)) {
            self.cache.add(release.digest, bytes);
        }
        self.store_preparation(release, preparation);
    }

    fn check_size_and_signatures(&self, release: &Release) -> Result<()> {
        if release.size > bundle::MAX_BUNDLE_BYTES {
            return Err(Error::Bundle(format!(
                "{} bytes are too many",
                release.size
            )));
        }
        let signatures = &release.signatures;
        self.trust
            .verify(release.version, release.digest, signatures)
    }

    /// Reads the bundle from the cache, the object store or a peer; `None` if no source has it.
    async fn fetch(&self, release: &Release, sources: &Sources) -> Option<bytes::Bytes> {
        let digest = release.digest;
        if let Some(bytes) = self.cache.get(digest) {
            return Some(bytes);
        }
        let base = self.in_force().map(|bundle| bundle.digest);
        if sources.store
            && let Ok(bytes) = self.fetcher.read_store(digest, base).await
        {
            return Some(bytes);
        }
        for _ in 0..PEER_ATTEMPTS {
            for peer in &sources.peers {
                match self.fetcher.read_peer(*peer, digest, base).await {
                    Ok(bytes) => return Some(bytes),
                    Err(error) => {
                        log::debug!("fetching bundle {digest:?} from {peer} failed: {error}");
                    }
                }
            }
            tokio::time::sleep(PEER_RETRY_PAUSE).await;
        }
        None
    }

    fn put_in_force(&self, release: &Release) {
        let Some(Preparation::Ready(bundle)) = self.find(release) else {
            return;
        };
        let state = self.lock();
        if bundle.version <= self.version() {
            return;
        }
        let version = bundle.version;
        self.in_force.store(Some(bundle));
        drop(state);
        self.version.send_replace(version);
        log::info!("version {version} is in force");
    }

    fn store_preparation(&self, release: &Release, preparation: Preparation) {
        if let Preparation::Refused(reason) = &preparation {
            log::warn!("version {} refused by this node: {reason}", release.version);
        }
        let mut state = self.lock();
        state.prepared.push(PreparedRelease {
            release: release.clone(),
            preparation,
        });
        let excess = state.prepared.len().saturating_sub(MAX_PREPARED);
        state.prepared.drain(..excess);
    }

    fn find(&self, release: &Release) -> Option<Preparation> {
        let state = self.lock();
        let found = state.prepared.iter().find(|p| p.release == *release);
        found.map(|prepared| prepared.preparation.clone())
    }

    fn has_prepared(&self, release: &Release) -> bool {
        self.find(release).is_some()
    }

    fn refusal(&self, release: &Release) -> Option<String> {
        match self.find(release)? {
            Preparation::Refused(reason) => Some(reason),
            Preparation::Ready(_) => None,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
