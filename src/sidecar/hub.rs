//! State that a node exchanges with other nodes, and the handling of their messages.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use tokio::sync::{Notify, watch};

use crate::canary;
use crate::directory::Directory;
use crate::h1::Response;
use crate::link::{Entry, Fetch, Handler, Hello, Offer, PackedVersion, Status, Target, Update};
use crate::memory::Budget;
use crate::quota;
use crate::roster::{Crash, Presence, Suspicions};
use crate::sidecar::quotas::Exchange;
use crate::sidecar::rollouts::{self, Inbox};
use crate::sidecar::roster_lag::RosterLag;
use crate::sidecar::version_lag::{self, VersionLag};
use crate::sidecar::watcher::{self, Neighbours};
use crate::store::Era;
use crate::target::Runner;
use crate::telemetry::Counters;
use crate::verdict::{Reason, Refusal};
use crate::version::{Mark, Source, Versions};

/// Number of groups in which the entries of two nodes are compared.
const ROSTER_GROUPS: usize = 64;

/// The state of this node that its links, background tasks and listeners share.
pub(crate) struct Hub {
    pub directory: Arc<Directory>,
    pub runner: Arc<Runner>,
    pub versions: Arc<Versions>,
    pub suspicions: Arc<Suspicions>,
    /// Wakes the task that writes the node's entry to the store.
    pub announcement_due: Notify,
    /// Whether this node's last read of the store succeeded; `true` before the first. Only the
    /// watcher reads the store, so the value on other nodes may be old.
    pub store_reachable: AtomicBool,
    /// Presence and target that the node's row in the store shows; `None` if unknown.
    stored: watch::Sender<Option<Stored>>,
    /// Memory for what all links receive and retain.
    budget: Arc<Budget>,
    counters: Arc<Counters>,
    /// Messages of other nodes about canary releases.
    pub releases: Inbox,
    own_entry: Mutex<Entry>,
    /// Whether the node had a row in the store when this process read it; `None` before.
    own_row: watch::Sender<Option<bool>>,
    /// Whether the entries of all nodes were read, or those of another node were found to be the same.
    knows_nodes: AtomicBool,
    version_lag: Mutex<VersionLag>,
    neighbours: Mutex<Neighbours>,
    roster_lag: Mutex<RosterLag>,
    /// Era of the store.
    pub store_era: Arc<Era>,
    /// Whether a packed version could not be unpacked, so that the next one is fetched without a base.
    fetch_without_base: AtomicBool,
    /// Set once at the start of a node that applies quotas.
    pub quotas: OnceLock<Arc<Exchange>>,
}

/// What the node's row in the store shows, and the era in which it was written or read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Stored {
    presence: Presence,
    target: Option<Target>,
    era: u64,
}

impl Hub {
    #[allow(clippy::too_many_arguments, reason = "assembled in one place")]
    pub(crate) fn new(
        own_entry: Entry,
        directory: &Arc<Directory>,
        runner: Arc<Runner>,
        versions: Arc<Versions>,
        suspicions: Arc<Suspicions>,
        store_era: Arc<Era>,
        budget: Arc<Budget>,
        counters: Arc<Counters>,
    ) -> Arc<Self> {
        let hub = Arc::new(Self {
            directory: directory.clone(),
            runner,
            versions,
            suspicions,
            announcement_due: Notify::new(),
            store_reachable: AtomicBool::new(true),
            stored: watch::Sender::new(None),
            budget,
            counters,
            releases: Inbox::default(),
            own_entry: Mutex::new(own_entry.clone()),
            own_row: watch::Sender::new(None),
            knows_nodes: AtomicBool::new(false),
            version_lag: Mutex::default(),
            neighbours: Mutex::default(),
            roster_lag: Mutex::default(),
            store_era,
            fetch_without_base: AtomicBool::new(false),
            quotas: OnceLock::new(),
        });
        directory.set_link_handler(hub.clone());
        directory.merge(vec![own_entry]);
        hub
    }

    /// The node's own entry.
    pub(crate) fn own_entry(&self) -> Entry {
        lock(&self.own_entry).clone()
    }

    /// Changes the node's own entry, and notifies the other nodes.
    pub(crate) fn set_presence(&self, presence: Presence, target: Option<Target>) {
        let entry = {
            let mut own = lock(&self.own_entry);
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
            "presence, identity, service or slots of the target changed"
        );
        self.directory.merge(vec![entry.clone()]);
        self.publish(entry);
    }

    /// Sends the node's own entry to other nodes, and has it written to the store.
    fn publish(&self, entry: Entry) {
        let update = Update {
            entries: vec![entry],
            ..Update::default()
        };
        // While the store is reachable, its feed notifies the other data centres, which costs less
        // than a message to each of their nodes.
        self.directory.broadcast(&update, !self.source_reachable());
        self.announcement_due.notify_one();
    }

    /// Sends the node's own entry to all nodes, because the store did not accept it. Nodes of other data
    /// centres would not learn of it while the store answers only others.
    pub(super) fn send_to_all(&self, entry: Entry) {
        let update = Update {
            entries: vec![entry],
            ..Update::default()
        };
        self.directory.broadcast(&update, true);
    }

    /// Records what the node's row in the store shows in the given era.
    pub(crate) fn record_stored(&self, entry: Entry, era: u64) {
        self.stored.send_replace(Some(Stored {
            presence: entry.presence,
            target: entry.target,
            era,
        }));
    }

    /// Whether the node's row in the store shows what is known of the target. A row of a former era
    /// may have been lost.
    fn is_current(&self, stored: Option<&Stored>) -> bool {
        let known = self.runner.subscribe().borrow().clone();
        match stored {
            Some(stored) => {
                stored.era == self.store_era.known()
                    && (stored.presence, &stored.target) == (known.0, &known.1)
            }
            // Nothing has been written, and nothing is known yet.
            None => known == (Presence::Down, None),
        }
    }

    /// Waits until the node's row in the store shows what is known of the target, so that it outlives
    /// this process.
    pub(crate) async fn wait_until_stored(&self) {
        let mut stored = self.stored.subscribe();
        let _ = stored
            .wait_for(|stored| self.is_current(stored.as_ref()))
            .await;
    }

    /// Records whether the node had a row in the store.
    pub(super) fn record_own_row(&self, exists: bool) {
        self.own_row.send_if_modified(|own_row| {
            let is_first = own_row.is_none();
            own_row.get_or_insert(exists);
            is_first
        });
    }

    pub(super) fn subscribe_own_row(&self) -> watch::Receiver<Option<bool>> {
        self.own_row.subscribe()
    }

    /// Records that the entries of all nodes are known.
    pub(super) fn record_nodes(&self) {
        self.knows_nodes.store(true, Ordering::Relaxed);
    }

    /// Whether the entries of all nodes were known at some time since the start.
    pub(super) fn knows_nodes(&self) -> bool {
        self.knows_nodes.load(Ordering::Relaxed)
    }

    /// Has a row that shows what is known of the target written once more, because the store may have
    /// lost it since. [`Self::wait_until_stored`] then waits for that write.
    pub(crate) fn verify_stored(&self) {
        let forgotten = self.stored.send_if_modified(|stored| {
            let is_current = stored.is_some() && self.is_current(stored.as_ref());
            if is_current {
                *stored = None;
            }
            is_current
        });
        if forgotten {
            self.announcement_due.notify_one();
        }
    }

    /// Handles an entry of this node that came from elsewhere. One of an earlier process shows
    /// which heartbeats of the target are outdated.
    fn reconcile_own(&self, entry: &Entry) {
        if entry.incarnation < self.own_entry().incarnation
            && let Some(target) = &entry.target
        {
            self.runner.restore(target);
        }
        self.raise_incarnation_above(entry);
    }

    /// Raises the own incarnation above that of a conflicting entry if that entry is newer. It is
    /// newer if it was written while the clock was ahead, by an earlier process of this node or by
    /// the node that had this address before.
    fn raise_incarnation_above(&self, conflicting: &Entry) {
        if conflicting.is_newer_than(&self.own_entry()) {
            self.supersede(conflicting.incarnation);
        }
    }

    /// Raises the own incarnation if it is not above this one, and announces it.
    fn supersede(&self, incarnation: u64) {
        let entry = {
            let mut own = lock(&self.own_entry);
            if own.incarnation > incarnation {
                return;
            }
            own.incarnation = incarnation + 1;
            own.revision += 1;
            own.clone()
        };
        log::info!(
            event = "incarnation_raised",
            incarnation = entry.incarnation;
            "own incarnation raised above a conflicting entry or a removed one"
        );
        self.directory.merge(vec![entry.clone()]);
        self.publish(entry);
    }

    /// Applies entries received from the store or from another node.
    pub(crate) fn apply_entries(&self, entries: Vec<Entry>) {
        let own = self.own_entry();
        let (own_entries, others): (Vec<Entry>, Vec<Entry>) = entries
            .into_iter()
            .filter(Entry::is_plausible)
            .partition(|entry| entry.node == own.node);
        for entry in &own_entries {
            self.reconcile_own(entry);
        }
        for previous in others.iter().filter(|other| other.address == own.address) {
            self.raise_incarnation_above(previous);
        }
        self.directory.merge(others);
    }

    /// Notifies all nodes of a crash of the target.
    pub(crate) fn report_crash(&self, crash: Crash) {
        log::warn!(
            event = "target_crashed",
            number = crash.number,
            in_flight = crash.fingerprints.len();
            "target crashed; notifying all nodes"
        );
        self.suspicions.record_crash(&crash);
        let update = Update {
            crashes: vec![crash],
            ..Update::default()
        };
        self.directory.broadcast(&update, true);
    }

    /// Notifies all nodes that a suspected request has completed.
    pub(crate) fn report_cleared(&self, fingerprint: u64) {
        log::info!(
            event = "suspicion_cleared",
            fingerprint = fingerprint;
            "a suspected request completed; notifying all nodes"
        );
        let update = Update {
            cleared: vec![fingerprint],
            ..Update::default()
        };
        self.directory.broadcast(&update, true);
    }

    /// The node's current status.
    pub(crate) fn status(&self) -> Status {
        let mark = self.versions.mark();
        Status {
            version: mark.number,
            store_reachable: self.store_reachable.load(Ordering::Relaxed),
            roster_digest: self.directory.digest(),
            load: self.runner.load(),
            store_era: self.store_era.known(),
            version_era: mark.era,
            version_digest: mark.digest,
        }
    }

    /// Name of the node that reads the store for this data centre.
    pub(crate) fn watcher(&self) -> Option<String> {
        let (ranked, _) = self.ranked_neighbours();
        let own = self.own_entry();
        let neighbours = lock(&self.neighbours);
        neighbours.watcher(&own.node, &ranked).map(str::to_owned)
    }

    /// The first node in rank of this data centre that answers.
    pub(crate) fn first_alive(&self) -> String {
        let (ranked, _) = self.ranked_neighbours();
        let own = self.own_entry().node;
        let neighbours = lock(&self.neighbours);
        let first = neighbours.first_alive(&own, &ranked).map(str::to_owned);
        first.unwrap_or(own)
    }

    /// Whether this node reads the store for its data centre.
    pub(crate) fn is_watcher(&self) -> bool {
        self.watcher()
            .is_none_or(|watcher| watcher == self.own_entry().node)
    }

    /// Whether changes in the store reach this node, directly or through the watcher.
    pub(crate) fn source_reachable(&self) -> bool {
        self.source_reachable_through(self.watcher().as_deref())
    }

    fn source_reachable_through(&self, watcher: Option<&str>) -> bool {
        let other_node_is_watcher = watcher.is_some_and(|watcher| watcher != self.own_entry().node);
        other_node_is_watcher || self.store_reachable.load(Ordering::Relaxed)
    }

    /// Names of the nodes of this data centre by rank, this node included, and their names with
    /// incarnations.
    fn ranked_neighbours(&self) -> (Vec<String>, Vec<(String, u64)>) {
        let neighbours = self.directory.neighbours();
        let names = neighbours.iter().map(|(node, _)| node.clone()).collect();
        (watcher::rank(names), neighbours)
    }

    /// Position of this node in the order in which nodes become the watcher, from 0.
    pub(crate) fn rank(&self) -> usize {
        let own_node = self.own_entry().node;
        let (ranked, _) = self.ranked_neighbours();
        ranked
            .iter()
            .position(|node| *node == own_node)
            .unwrap_or(0)
    }

    /// Pings the first nodes that rank above this one, and updates the list of neighbours.
    pub(crate) fn ping_neighbours(&self) {
        let (ranked, incarnations) = self.ranked_neighbours();
        let own = self.own_entry();
        {
            let mut neighbours = lock(&self.neighbours);
            neighbours.retain(&ranked);
            for (node, incarnation) in &incarnations {
                neighbours.track(node, *incarnation);
            }
        }
        for node in watcher::monitored(&own.node, &ranked) {
            if let Some(link) = self.directory.find(node).and_then(|e| e.link.clone()) {
                link.ping();
            }
        }
    }

    /// If this node is the watcher: pings all neighbours, and returns those that have been
    /// unreachable for [`watcher::LOST_AFTER`] and the nodes whose addresses other nodes have
    /// taken.
    pub(crate) fn find_lost_nodes(&self) -> Vec<String> {
        // Also empties the list of replaced nodes on a node that is not the watcher.
        let mut lost = self.directory.take_replaced();
        if !self.is_watcher() {
            return Vec::new();
        }
        let (ranked, _) = self.ranked_neighbours();
        for node in ranked {
            let Some(link) = self.directory.find(&node).and_then(|e| e.link.clone()) else {
                continue;
            };
            link.ping();
            if link
                .unreachable_for()
                .is_some_and(|duration| duration > watcher::LOST_AFTER)
            {
                lost.push(node);
            }
        }
        lost
    }

    /// Sends the neighbours the entries that this node, as the watcher, has read from the store.
    pub(crate) fn relay_entries(&self, entries: Vec<Entry>) {
        let update = Update {
            entries,
            ..Update::default()
        };
        self.directory.broadcast(&update, false);
    }

    /// Removes a node whose row was deleted from the store, and notifies the neighbours.
    pub(crate) fn remove_node(&self, node: &str) {
        let own = self.own_entry();
        if node == own.node {
            // The watcher found this node unreachable and deleted its row.
            self.supersede(own.incarnation);
            return;
        }
        let Some(known) = self.directory.find(node) else {
            return;
        };
        let removed = vec![(node.to_owned(), known.entry.incarnation)];
        self.directory.forget(node, known.entry.incarnation);
        let update = Update {
            removed,
            ..Update::default()
        };
        self.directory.broadcast(&update, false);
    }

    /// Sends the version in force to the neighbours, compressed against `previous`, which they are
    /// likely to have.
    pub(crate) fn relay_version(&self, previous: u64) {
        if let Some(packed) = self.version_above(previous) {
            for link in self.directory.data_center_links() {
                link.send_version(packed.clone());
            }
        }
    }

    /// Whether another node has reported a higher version than this one has.
    pub(crate) fn is_behind(&self) -> bool {
        lock(&self.version_lag).highest() > self.versions.mark().order()
    }
}

#[async_trait]
impl Handler for Hub {
    fn hello(&self) -> Hello {
        Hello {
            entry: self.own_entry(),
            status: self.status(),
        }
    }

    async fn run(&self, offer: Offer) -> Result<Response, Refusal> {
        if self.directory.canary.is_known() {
            let target = lock(&self.own_entry).target.clone();
            let version = target.map_or_else(String::new, |target| target.version);
            if self.directory.is_retired(&offer.service, &version) {
                return Err(Refusal::not_run(Reason::Draining));
            }
        }
        self.runner.run(offer).await
    }

    fn budget(&self) -> Arc<Budget> {
        self.budget.clone()
    }

    fn count(&self, counter: &str) {
        self.counters.count(counter);
    }

    fn record_status(&self, node: &str, status: Status) -> Fetch {
        let endpoint = self.directory.find(node);
        if let Some(endpoint) = &endpoint {
            endpoint.record_load(status.load, Instant::now());
        }
        let same_data_center = endpoint.is_some_and(|endpoint| endpoint.is_in_same_data_center());
        self.store_era.raise(status.store_era, node);
        let version = Mark {
            number: status.version,
            era: status.version_era,
            digest: status.version_digest,
        };
        self.versions.confirm(version);
        let own_version = self.versions.mark();
        lock(&self.neighbours).record_status(node, status.store_reachable);
        self.releases.record_store(node, status.store_reachable);
        let watcher = self.watcher();
        let from_watcher = watcher.as_deref() == Some(node);
        let source_reachable = self.source_reachable_through(watcher.as_deref());
        // Fetches without delay from the watcher, from any neighbour if this node has no version yet,
        // and from any node if changes in the store do not reach this one. Otherwise the watcher or
        // the feed gets time to deliver the version.
        let grace =
            if from_watcher || own_version.number == 0 && same_data_center || !source_reachable {
                Duration::ZERO
            } else if same_data_center {
                version_lag::WATCHER_GRACE
            } else {
                version_lag::FEED_GRACE
            };
        let roster_differs = status.roster_digest != self.directory.digest();
        if !roster_differs {
            self.record_nodes();
        }
        // Nobody has to know all entries while changes in the store reach no node. A process that has
        // just started lacks them.
        let compares_at_once = !source_reachable || !self.knows_nodes();
        let compares_roster = (from_watcher || compares_at_once)
            && lock(&self.roster_lag).record(node, roster_differs, compares_at_once);
        if compares_roster {
            self.counters.count("roster.comparisons");
        }
        let should_fetch =
            lock(&self.version_lag).record(version.order(), own_version.order(), grace);
        // Of the same number, or after a failure, the whole version: the contents of a base differ.
        let whole = version.number == own_version.number
            || should_fetch && self.fetch_without_base.load(Ordering::Relaxed);
        Fetch {
            version: should_fetch.then_some(if whole { 0 } else { own_version.number }),
            roster: compares_roster,
        }
    }

    fn apply_update(&self, update: Update) {
        for crash in &update.crashes {
            self.suspicions.record_crash(crash);
        }
        for fingerprint in &update.cleared {
            self.suspicions.clear(*fingerprint);
        }
        let own_node = self.own_entry().node;
        for (node, incarnation) in &update.removed {
            if *node == own_node {
                self.supersede(*incarnation);
            } else {
                self.directory.forget(node, *incarnation);
            }
        }
        self.apply_entries(update.entries);
    }

    fn roster(&self) -> Update {
        Update {
            entries: self.directory.entries(),
            ..Update::default()
        }
    }

    fn roster_digests(&self) -> Vec<u64> {
        self.directory.group_digests(ROSTER_GROUPS)
    }

    fn roster_difference(&self, digests: &[u64]) -> Update {
        self.directory.difference(digests)
    }

    fn introduction(&self, peer: &Entry) -> Option<Update> {
        let crashes = self.suspicions.crashes();
        let former = self.directory.former_entry(peer);
        (!crashes.is_empty() || former.is_some()).then(|| Update {
            entries: former.into_iter().collect(),
            crashes,
            ..Update::default()
        })
    }

    fn apply_quota(&self, node: &str, message: quota::Message) {
        if let Some(exchange) = self.quotas.get() {
            exchange.receive(node, message, Instant::now());
        }
    }

    fn apply_canary(&self, message: canary::Message) -> Option<canary::Message> {
        rollouts::apply(self, message)
    }

    fn canary_notices(&self) -> Option<canary::Message> {
        let notices = self.directory.canary.notices();
        (!notices.is_empty()).then_some(canary::Message::Notices(notices))
    }

    fn version_above(&self, version: u64) -> Option<PackedVersion> {
        match self.versions.pack_above(version) {
            Ok(packed) => packed,
            Err(error) => {
                log::warn!(
                    event = "version_not_packed";
                    "version could not be compressed for a peer: {error}"
                );
                None
            }
        }
    }

    fn apply_version(&self, packed: &PackedVersion) {
        match self.versions.unpack(packed) {
            Ok(bytes) => {
                let source = Source {
                    name: "peer",
                    era: packed.era,
                };
                self.versions.apply(&bytes, source);
                self.fetch_without_base.store(false, Ordering::Relaxed);
            }
            Err(error) => {
                self.fetch_without_base.store(true, Ordering::Relaxed);
                log::warn!(
                    event = "version_rejected",
                    source = "peer";
                    "version could not be decompressed: {error}"
                );
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
