//! What the node hears from and tells other nodes.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use tokio::sync::Notify;

use crate::directory::Directory;
use crate::h1::Response;
use crate::link::{Entry, Hello, News, Offer, Service, Status, Target};
use crate::roster::{Crash, Presence, Suspicions};
use crate::target::Side;
use crate::verdict::Refusal;
use crate::version::Versions;

/// Pause between questions for the same version, so that not every message of a newer peer asks.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// The node among other nodes.
pub(crate) struct Hub {
    pub directory: Arc<Directory>,
    pub side: Arc<Side>,
    pub versions: Arc<Versions>,
    pub suspicions: Arc<Suspicions>,
    /// Wakes the task that writes the node's entry to the platform.
    pub announce: Notify,
    /// Whether the store answers.
    pub store_answers: AtomicBool,
    own: Mutex<Entry>,
    asked: Mutex<Option<(u64, Instant)>>,
    /// Highest version that any node was heard to have.
    heard_version: AtomicU64,
}

impl Hub {
    pub(crate) fn new(
        own: Entry,
        directory: &Arc<Directory>,
        side: Arc<Side>,
        versions: Arc<Versions>,
        suspicions: Arc<Suspicions>,
    ) -> Arc<Self> {
        let hub = Arc::new(Self {
            directory: directory.clone(),
            side,
            versions,
            suspicions,
            announce: Notify::new(),
            store_answers: AtomicBool::new(true),
            own: Mutex::new(own.clone()),
            asked: Mutex::new(None),
            heard_version: AtomicU64::new(0),
        });
        directory.connect(hub.clone());
        directory.learn(vec![own]);
        hub
    }

    /// The node's own entry.
    pub(crate) fn own(&self) -> Entry {
        lock(&self.own).clone()
    }

    /// Changes the node's own entry, and tells everybody.
    pub(crate) fn set_presence(&self, presence: Presence, target: Option<Target>) {
        let entry = {
            let mut own = lock(&self.own);
            own.presence = presence;
            own.target = target;
            own.revision += 1;
            own.clone()
        };
        log::info!(
            event = "presence",
            presence = presence.to_string().as_str(),
            target_id = entry.target.as_ref().map_or("", |t| t.id.as_str()),
            revision = entry.revision;
            ""
        );
        self.directory.learn(vec![entry.clone()]);
        self.publish(entry);
    }

    fn publish(&self, entry: Entry) {
        let news = News {
            entries: vec![entry],
            ..News::default()
        };
        self.directory.broadcast(&news);
        self.announce.notify_one();
    }

    /// Raises the own entry above one that claims to be newer: an earlier process of this node, whose
    /// clock was ahead.
    fn outdo(&self, claimed: &Entry) {
        let entry = {
            let mut own = lock(&self.own);
            if !claimed.is_newer_than(&own) {
                return;
            }
            own.incarnation = claimed.incarnation + 1;
            own.revision += 1;
            own.clone()
        };
        log::info!(event = "incarnation_raised", incarnation = entry.incarnation; "");
        self.directory.learn(vec![entry.clone()]);
        self.publish(entry);
    }

    /// Takes entries from any source; returns whether the own entry was among them as it is now.
    pub(crate) fn learn_entries(&self, entries: Vec<Entry>) {
        let own = self.own();
        let (mine, others): (Vec<Entry>, Vec<Entry>) = entries
            .into_iter()
            .partition(|entry| entry.node == own.node);
        for entry in &mine {
            self.outdo(entry);
        }
        self.directory.learn(others);
    }

    /// Tells everybody of a crash of the target.
    pub(crate) fn report_crash(&self, crash: Crash) {
        log::warn!(
            event = "target_crashed",
            number = crash.number,
            in_flight = crash.fingerprints.len();
            ""
        );
        self.suspicions.note(&crash);
        let news = News {
            crashes: vec![crash],
            ..News::default()
        };
        self.directory.broadcast(&news);
    }

    /// What the node says of itself with every message.
    pub(crate) fn status(&self) -> Status {
        Status {
            version: self.versions.number(),
            load: self.side.load(),
        }
    }

    /// Whether some node has a higher version than this one.
    pub(crate) fn is_behind(&self) -> bool {
        self.heard_version.load(Ordering::Relaxed) > self.versions.number()
    }
}

#[async_trait]
impl Service for Hub {
    fn hello(&self) -> Hello {
        Hello {
            entry: self.own(),
            status: self.status(),
        }
    }

    async fn run(&self, offer: Offer) -> Result<Response, Refusal> {
        self.side.run(offer).await
    }

    fn heard(&self, node: &str, status: Status) -> bool {
        if let Some(endpoint) = self.directory.find(node) {
            endpoint.note_load(status.load);
        }
        self.heard_version
            .fetch_max(status.version, Ordering::Relaxed);
        if status.version <= self.versions.number() {
            return false;
        }
        let mut asked = lock(&self.asked);
        let lately = asked
            .is_some_and(|(version, at)| version >= status.version && at.elapsed() < ASK_PAUSE);
        if lately {
            return false;
        }
        *asked = Some((status.version, Instant::now()));
        true
    }

    fn learn(&self, news: News) {
        for crash in &news.crashes {
            self.suspicions.note(crash);
        }
        for fingerprint in &news.cleared {
            self.suspicions.clear(*fingerprint);
        }
        self.learn_entries(news.entries);
    }

    fn roster(&self) -> News {
        News {
            entries: self.directory.entries(),
            ..News::default()
        }
    }

    fn version_above(&self, version: u64) -> Option<Vec<u8>> {
        let in_force = self.versions.in_force().load_full()?;
        (in_force.version.0 > version).then(|| in_force.bytes.clone())
    }

    fn learn_version(&self, bytes: &[u8]) {
        self.versions.take(bytes, "peer");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
