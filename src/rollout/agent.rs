//! A node's own part in a roll: verify, prepare, put in force. Never a lower version, never a
//! part of one.

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

/// The bundle that decides on requests.
pub(crate) struct ActiveBundle {
    /// Its number.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// Its routes, ready for look-up.
    pub table: route::Table,
    /// Its content.
    pub bundle: Bundle,
}

/// Where a release stands on this node.
#[derive(Clone)]
enum Preparation {
    Ready(Arc<ActiveBundle>),
    Refused(String),
}

struct Prepared {
    release: Release,
    preparation: Preparation,
}

#[derive(Default)]
struct State {
    head: Head,
    prepared: Vec<Prepared>,
}

/// Where bundle bytes may come from, the best first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    /// Mesh listeners of peers.
    pub peers: Vec<SocketAddr>,
    /// Whether the object store may be asked, before the peers.
    pub store: bool,
}

/// The versions that one node has in force and in preparation.
pub(crate) struct Agent {
    node: String,
    trust: Trust,
    shelf: Arc<BundleCache>,
    fetcher: Fetcher,
    state: Mutex<State>,
    in_force: ArcSwapOption<ActiveBundle>,
    preparing: tokio::sync::Mutex<()>,
    changed: watch::Sender<Version>,
}

const KEPT_PREPARED: usize = 4;
const PEER_ROUNDS: u32 = 4;
const ROUND_PAUSE: Duration = Duration::from_millis(50);

impl Agent {
    pub(crate) fn new(node: &str, trust: Trust, shelf: Arc<BundleCache>, fetcher: Fetcher) -> Self {
        Self {
            node: node.to_owned(),
            trust,
            shelf,
            fetcher,
            state: Mutex::new(State::default()),
            in_force: ArcSwapOption::empty(),
            preparing: tokio::sync::Mutex::new(()),
            changed: watch::Sender::new(Version(0)),
        }
    }

    /// The bundle in force; one load per request.
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

    /// Follows the version in force.
    pub(crate) fn watch(&self) -> watch::Receiver<Version> {
        self.changed.subscribe()
    }

    /// The newest head that this node was told of.
    pub(crate) fn head(&self) -> Head {
        self.lock().head.clone()
    }

    /// Remembers `head` if it is newer than the one known; returns whether it is.
    pub(crate) fn learn(&self, head: &Head) -> bool {
        let mut state = self.lock();
        let newer = head.revision > state.head.revision;
        if newer {
            state.head = head.clone();
            let wanted =
                |r: &Release| head.active.as_ref() == Some(r) || head.candidate.as_ref() == Some(r);
            state.prepared.retain(|prepared| wanted(&prepared.release));
        }
        newer
    }

    /// Brings the node up to the newest head it knows: prepares the candidate and the active
    /// version, and puts the active version in force if it is higher than the one in force.
    pub(crate) async fn catch_up(&self, sources: &Sources) {
        let _one_at_a_time = self.preparing.lock().await;
        let head = self.head();
        for release in head.active.iter().chain(&head.candidate) {
            if !self.knows(release) && release.version > self.version() {
                self.prepare(release, sources).await;
            }
        }
        if let Some(active) = &head.active {
            self.put_in_force(active);
        }
    }

    /// Whether the newest head is carried out as far as this node can.
    pub(crate) fn settled(&self) -> bool {
        let head = self.head();
        let done = |r: &Release| r.version <= self.version() || self.knows(r);
        head.active
            .iter()
            .all(|r| r.version <= self.version() || self.refused(r).is_some())
            && head.candidate.iter().all(done)
    }

    /// This node's own line in the tally.
    pub(crate) fn tally(&self, has_targets: impl Fn(&str) -> bool) -> Tally {
        let head = self.head();
        let mut tally = Tally::default();
        tally.in_force.insert(self.version(), 1);
        for release in head.active.iter().chain(&head.candidate) {
            match self.find(release) {
                _ if release.version <= self.version() => {}
                Some(Preparation::Ready(ready)) => {
                    tally.prepared.insert(release.version, 1);
                    let is_candidate = head.candidate.as_ref() == Some(release);
                    if is_candidate && self.awaits_targets(&ready, &has_targets) {
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

    /// Whether `next` has a service that is new and has no target yet.
    fn awaits_targets(&self, next: &ActiveBundle, has_targets: impl Fn(&str) -> bool) -> bool {
        let current = self.in_force();
        let known = |name: &String| {
            current
                .as_ref()
                .is_some_and(|c| c.bundle.services.contains_key(name))
        };
        let services = next.bundle.services.iter();
        let mut fresh = services.filter(|(name, _)| !known(name));
        fresh.any(|(_, service)| !has_targets(&service.group))
    }

    async fn prepare(&self, release: &Release, sources: &Sources) {
        if let Err(error) = self.check_signatures(release) {
            return self.keep(release, Preparation::Refused(error.to_string()));
        }
        let Some(bytes) = self.obtain(release, sources).await else {
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
            self.shelf.add(release.digest, bytes);
        }
        self.keep(release, preparation);
    }

    fn check_signatures(&self, release: &Release) -> Result<()> {
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

    async fn obtain(&self, release: &Release, sources: &Sources) -> Option<bytes::Bytes> {
        let digest = release.digest;
        if let Some(bytes) = self.shelf.get(digest) {
            return Some(bytes);
        }
        let base = self.in_force().map(|bundle| bundle.digest);
        if sources.store
            && let Ok(bytes) = self.fetcher.read_store(digest, base).await
        {
            return Some(bytes);
        }
        for _ in 0..PEER_ROUNDS {
            for peer in &sources.peers {
                match self.fetcher.read_peer(*peer, digest, base).await {
                    Ok(bytes) => return Some(bytes),
                    Err(error) => log::debug!("fetch of {digest:?} from {peer}: {error}"),
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        None
    }

    fn put_in_force(&self, release: &Release) {
        let Some(Preparation::Ready(ready)) = self.find(release) else {
            return;
        };
        let state = self.lock();
        if ready.version <= self.version() {
            return;
        }
        let version = ready.version;
        self.in_force.store(Some(ready));
        drop(state);
        self.changed.send_replace(version);
        log::info!("version {version} in force");
    }

    fn keep(&self, release: &Release, preparation: Preparation) {
        if let Preparation::Refused(reason) = &preparation {
            log::warn!("version {} refused: {reason}", release.version);
        }
        let mut state = self.lock();
        state.prepared.push(Prepared {
            release: release.clone(),
            preparation,
        });
        let excess = state.prepared.len().saturating_sub(KEPT_PREPARED);
        state.prepared.drain(..excess);
    }

    fn find(&self, release: &Release) -> Option<Preparation> {
        let state = self.lock();
        let found = state.prepared.iter().find(|p| p.release == *release);
        found.map(|prepared| prepared.preparation.clone())
    }

    fn knows(&self, release: &Release) -> bool {
        self.find(release).is_some()
    }

    fn refused(&self, release: &Release) -> Option<String> {
        match self.find(release)? {
            Preparation::Refused(reason) => Some(reason),
            Preparation::Ready(_) => None,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
