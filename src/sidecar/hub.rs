//! State that a node shares with other nodes, and its handling of their messages.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use tokio::sync::Notify;

use crate::directory::Directory;
use crate::h1::Response;
use crate::link::{Entry, Hello, Offer, Packed, Service, Status, Target, Update, Wanted};
use crate::roster::{Crash, Presence, Suspicions};
use crate::sidecar::behind::{self, Behind};
use crate::sidecar::watcher::{self, Neighbours};
use crate::target::Runner;
use crate::verdict::Refusal;
use crate::version::Versions;

/// Time for which the watcher's entries may differ from this node's while updates are on their way.
const ROSTER_GRACE: Duration = Duration::from_millis(700);

/// The node among other nodes.
pub(crate) struct Hub {
    pub directory: Arc<Directory>,
    pub side: Arc<Runner>,
    pub versions: Arc<Versions>,
    pub suspicions: Arc<Suspicions>,
    /// Wakes the task that writes the node's entry to the platform.
    pub announce: Notify,
    /// Whether the store answers this node, while it is the watcher of its data centre.
    pub store_answers: AtomicBool,
    own: Mutex<Entry>,
    behind: Mutex<Behind>,
    neighbours: Mutex<Neighbours>,
    /// Since when the watcher knows other entries than this node.
    roster_differs: Mutex<Option<Instant>>,
}

impl Hub {
    pub(crate) fn new(
        own: Entry,
        directory: &Arc<Directory>,
        side: Arc<Runner>,
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
            behind: Mutex::default(),
            neighbours: Mutex::default(),
            roster_differs: Mutex::new(None),
        });
        directory.set_link_service(hub.clone());
        directory.merge(vec![own]);
        hub
    }

    /// The node's own entry.
    pub(crate) fn own(&self) -> Entry {
        lock(&self.own).clone()
    }

    /// Changes the node's own entry, and notifies the other nodes.
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
        self.directory.merge(vec![entry.clone()]);
        self.publish(entry);
    }

    fn publish(&self, entry: Entry) {
        let update = Update {
            entries: vec![entry],
            ..Update::default()
        };
        // The store's feed notifies other data centres, and costs less than a message to each node.
        self.directory.broadcast(&update, !self.source_reachable());
        self.announce.notify_one();
    }

    /// Takes the node's own entry as an earlier process or the store has it.
    fn reconcile_own(&self, entry: &Entry) {
        if entry.incarnation < self.own().incarnation
            && let Some(target) = &entry.target
        {
            self.side.restore(target);
        }
        self.supersede(entry);
    }

    /// Raises the own entry above one that claims to be newer: of an earlier process of this node, or
    /// of the node that had this address before, whose clock was ahead.
    fn supersede(&self, claimed: &Entry) {
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
        self.directory.merge(vec![entry.clone()]);
        self.publish(entry);
    }

    /// Takes entries from any source.
    pub(crate) fn learn_entries(&self, entries: Vec<Entry>) {
        let own = self.own();
        let (mine, others): (Vec<Entry>, Vec<Entry>) = entries
            .into_iter()
            .partition(|entry| entry.node == own.node);
        for entry in &mine {
            self.reconcile_own(entry);
        }
        for earlier in others.iter().filter(|other| other.address == own.address) {
            self.supersede(earlier);
        }
        self.directory.merge(others);
    }

    /// Notifies all nodes of a crash of the target.
    pub(crate) fn report_crash(&self, crash: Crash) {
        log::warn!(
            event = "target_crashed",
            number = crash.number,
            in_flight = crash.fingerprints.len();
            ""
        );
        self.suspicions.note(&crash);
        let update = Update {
            crashes: vec![crash],
            ..Update::default()
        };
        self.directory.broadcast(&update, true);
    }

    /// Notifies all nodes that a suspected request has completed.
    pub(crate) fn report_cleared(&self, fingerprint: u64) {
        log::info!(event = "suspicion_cleared", fingerprint = fingerprint; "");
        let update = Update {
            cleared: vec![fingerprint],
            ..Update::default()
        };
        self.directory.broadcast(&update, true);
    }

    /// The node's status, which goes with every reply.
    pub(crate) fn status(&self) -> Status {
        Status {
            version: self.versions.number(),
            store_reachable: self.store_answers.load(Ordering::Relaxed),
            roster: self.directory.digest(),
            load: self.side.load(),
        }
    }

    /// The node of this data centre that reads the store for the others.
    pub(crate) fn watcher(&self) -> Option<String> {
        let (ranked, _) = self.ranked();
        let own = self.own();
        let neighbours = lock(&self.neighbours);
        neighbours.watcher(&own.node, &ranked).map(str::to_owned)
    }

    /// Whether this node reads the store for its data centre.
    pub(crate) fn is_watcher(&self) -> bool {
        self.watcher()
            .is_none_or(|watcher| watcher == self.own().node)
    }

    /// Whether what the store holds reaches this node, directly or through the watcher.
    pub(crate) fn source_reachable(&self) -> bool {
        self.reaches_source(self.watcher().as_deref())
    }

    fn reaches_source(&self, watcher: Option<&str>) -> bool {
        let other = watcher.is_some_and(|watcher| watcher != self.own().node);
        other || self.store_answers.load(Ordering::Relaxed)
    }

    /// The nodes of this data centre by rank.
    fn ranked(&self) -> (Vec<String>, Vec<(String, u64)>) {
        let neighbours = self.directory.neighbours();
        let names = neighbours.iter().map(|(node, _)| node.clone()).collect();
        (watcher::rank(names), neighbours)
    }

    /// Place of this node in the order in which nodes become the watcher, from 0.
    pub(crate) fn rank(&self) -> usize {
        let own = self.own().node;
        let (ranked, _) = self.ranked();
        ranked.iter().position(|node| *node == own).unwrap_or(0)
    }

    /// Asks the nodes that rank above this one for signs of life.
    pub(crate) fn ping_neighbours(&self) {
        let (ranked, incarnations) = self.ranked();
        let own = self.own();
        {
            let mut neighbours = lock(&self.neighbours);
            neighbours.retain(&ranked);
            for (node, incarnation) in &incarnations {
                neighbours.note(node, *incarnation);
            }
        }
        for node in watcher::watched(&own.node, &ranked) {
            if let Some(link) = self.directory.find(node).and_then(|e| e.link.clone()) {
                link.ping();
            }
        }
    }

    /// Neighbours that could not be reached for long and nodes whose addresses others have now, if
    /// this node is the watcher. Asks all other neighbours for a sign of life.
    pub(crate) fn lost_nodes(&self) -> Vec<String> {
        let mut lost = self.directory.take_replaced();
        if !self.is_watcher() {
            return Vec::new();
        }
        let (ranked, _) = self.ranked();
        for node in ranked {
            let Some(link) = self.directory.find(&node).and_then(|e| e.link.clone()) else {
                continue;
            };
            link.ping();
            if link
                .unreachable_for()
                .is_some_and(|since| since > watcher::LOST_AFTER)
            {
                lost.push(node);
            }
        }
        lost
    }

    /// Passes entries and the version on that the store brought to this node as the watcher.
    pub(crate) fn pass_on_entries(&self, entries: Vec<Entry>) {
        let update = Update {
            entries,
            ..Update::default()
        };
        self.directory.broadcast(&update, false);
    }

    /// Forgets a node whose row was deleted, and notifies the neighbours.
    pub(crate) fn forget(&self, node: &str) {
        if node == self.own().node {
            // Another node took this one for lost.
            self.announce.notify_one();
            return;
        }
        let Some(known) = self.directory.find(node) else {
            return;
        };
        let gone = vec![(node.to_owned(), known.entry.incarnation)];
        self.directory.forget(node, known.entry.incarnation);
        let update = Update {
            gone,
            ..Update::default()
        };
        self.directory.broadcast(&update, false);
    }

    /// Sends the version in force to the neighbours, against the one that they are likely to have.
    pub(crate) fn pass_on_version(&self, before: u64) {
        if let Some(packed) = self.version_above(before) {
            for link in self.directory.data_center_links() {
                link.push(packed.clone());
            }
        }
    }

    /// Whether to ask the watcher for its entries: they have differed for a while.
    fn wants_roster(&self, differs: bool) -> bool {
        let mut since = lock(&self.roster_differs);
        if !differs {
            *since = None;
            return false;
        }
        let began = *since.get_or_insert_with(Instant::now);
        if began.elapsed() < ROSTER_GRACE {
            return false;
        }
        *since = None;
        true
    }

    /// Whether some node has a higher version than this one.
    pub(crate) fn is_behind(&self) -> bool {
        lock(&self.behind).highest() > self.versions.number()
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

    fn observe(&self, node: &str, status: Status) -> Wanted {
        let endpoint = self.directory.find(node);
        if let Some(endpoint) = &endpoint {
            endpoint.record_load(status.load);
        }
        let near = endpoint.is_some_and(|endpoint| endpoint.is_in_same_data_center());
        let own = self.versions.number();
        lock(&self.neighbours).heard(node, status.store_reachable);
        let watcher = self.watcher();
        let from_watcher = watcher.as_deref() == Some(node);
        let reaches_source = self.reaches_source(watcher.as_deref());
        let grace = if from_watcher || own == 0 && near || !reaches_source {
            Duration::ZERO
        } else if near {
            behind::WATCHER_GRACE
        } else {
            behind::FEED_GRACE
        };
        let differs = from_watcher && status.roster != self.directory.digest();
        Wanted {
            version: lock(&self.behind).hear(status.version, own, grace),
            roster: self.wants_roster(differs),
        }
    }

    fn learn(&self, update: Update) {
        for crash in &update.crashes {
            self.suspicions.note(crash);
        }
        for fingerprint in &update.cleared {
            self.suspicions.clear(*fingerprint);
        }
        for (node, incarnation) in &update.gone {
            self.directory.forget(node, *incarnation);
        }
        self.learn_entries(update.entries);
    }

    fn roster(&self) -> Update {
        Update {
            entries: self.directory.entries(),
            ..Update::default()
        }
    }

    fn version_above(&self, version: u64) -> Option<Packed> {
        match self.versions.pack_above(version) {
            Ok(packed) => packed,
            Err(error) => {
                log::warn!(event = "version_not_packed"; "{error}");
                None
            }
        }
    }

    fn learn_version(&self, packed: &Packed) {
        match self.versions.unpack(packed) {
            Ok(bytes) => {
                self.versions.apply(&bytes, "peer");
            }
            Err(error) => log::warn!(event = "version_rejected", source = "peer"; "{error}"),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
