//! All nodes of the mesh that this node knows, indexed by node name and by service.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::canary::{Canary, Rule, Turn};
use crate::directory::endpoint::{Demand, Endpoint, Stats};
use crate::link::{Entry, Handler, Link, Target, Update};
use crate::overload::backlog;
use crate::roster::Presence;

/// Time for which a departed incarnation of a node is remembered, so that a delayed message cannot
/// add it again, and that nodes which missed its removal learn of it.
const DEPARTED_TTL: Duration = Duration::from_mins(10);
/// Most groups in which a peer may have its entries compared.
const MAX_GROUPS: usize = 1_024;

/// Name and location of this node.
#[derive(Clone, Debug)]
pub(crate) struct Locality {
    /// Name of the node, unique in the mesh.
    pub node: String,
    pub region: String,
    pub data_center: String,
}

/// Network distance from this node to a target, by where the target runs.
struct Distance {
    /// Round trip time to assume until the link has measured it.
    default_round_trip: Duration,
    /// Share of the latency objective that is added to the cost of the target. A nearer target is
    /// chosen even if it is slower by that much, because traffic over a distance costs money.
    penalty: f64,
}

const SAME_NODE: Distance = Distance {
    default_round_trip: Duration::ZERO,
    penalty: 0.0,
};
const SAME_DATA_CENTER: Distance = Distance {
    default_round_trip: Duration::from_micros(500),
    penalty: 0.0,
};
const SAME_REGION: Distance = Distance {
    default_round_trip: Duration::from_millis(3),
    penalty: 0.6,
};
const OTHER_REGION: Distance = Distance {
    default_round_trip: Duration::from_millis(60),
    penalty: 1.4,
};

/// A node that was removed.
struct Departed {
    /// Its last incarnation.
    incarnation: u64,
    removed_at: Instant,
    /// Last announcement of the target beside it.
    target: Option<Target>,
}

#[derive(Default)]
struct State {
    /// Endpoints by node name, this node's own included.
    endpoints: BTreeMap<String, Arc<Endpoint>>,
    /// Links by the address of the peer.
    links: HashMap<std::net::SocketAddr, Arc<Link>>,
    /// Departed nodes.
    departed: HashMap<String, Departed>,
    /// Nodes of this data centre that were removed because another node has their address. Their
    /// rows may still be in the store.
    replaced: Vec<String>,
}

impl State {
    /// Removes the other nodes with the address of `entry`: platforms reuse the addresses of
    /// deleted VMs. Returns `false`, and removes none, if one of them is this node or started later
    /// than the node of `entry`.
    fn evict_address_holders(&mut self, entry: &Entry, locality: &Locality) -> bool {
        let holders = self
            .endpoints
            .values()
            .map(|known| &known.entry)
            .filter(|known| known.address == entry.address && known.node != entry.node);
        let holders: Vec<Entry> = holders.cloned().collect();
        let keeps_address =
            |known: &Entry| known.node == locality.node || known.incarnation > entry.incarnation;
        if holders.iter().any(keeps_address) {
            return false;
        }
        for known in holders {
            log::info!(
                event = "node_replaced",
                node = known.node.as_str(),
                incarnation = known.incarnation,
                by = entry.node.as_str();
                "removed a node whose address another node has now"
            );
            self.remove(&known.node, known.incarnation);
            if known.data_center == locality.data_center {
                self.replaced.push(known.node);
            }
        }
        true
    }

    /// Removes a node, and records its incarnation as departed.
    fn remove(&mut self, node: &str, incarnation: u64) {
        let endpoint = self.endpoints.remove(node);
        self.departed
            .retain(|_, departed| departed.removed_at.elapsed() < DEPARTED_TTL);
        let departed = Departed {
            incarnation,
            removed_at: Instant::now(),
            target: endpoint.and_then(|endpoint| endpoint.last_target.clone()),
        };
        self.departed.insert(node.to_owned(), departed);
    }

    /// The last announcement of the target beside a node, by any of the node's processes.
    fn last_target(&self, node: &str) -> Option<&Target> {
        match self.endpoints.get(node) {
            Some(endpoint) => endpoint.last_target.as_ref(),
            None => self.departed.get(node)?.target.as_ref(),
        }
    }
}

/// Group of a node among so many groups.
fn group(node: &str, groups: usize) -> usize {
    let groups = groups as u64;
    usize::try_from(xxh3_64(node.as_bytes()) % groups).unwrap_or_default()
}

/// Position of `holder` among the nodes that keep copies for the node `name`.
fn weight(name: &str, holder: &str) -> u64 {
    xxh3_64_with_seed(holder.as_bytes(), xxh3_64(name.as_bytes()))
}

/// Keeps `count` endpoints, which are the same at every node: a trial uses few targets.
fn keep_first(ranked: &mut Vec<Arc<Endpoint>>, count: usize) {
    if ranked.len() <= count {
        return;
    }
    let hash = |endpoint: &Arc<Endpoint>| xxh3_64(endpoint.entry.node.as_bytes());
    let mut hashes: Vec<u64> = ranked.iter().map(hash).collect();
    hashes.sort_unstable();
    let last = hashes[count - 1];
    ranked.retain(|endpoint| hash(endpoint) <= last);
}

type ByService = HashMap<String, Vec<Arc<Endpoint>>>;

/// This node's view of all nodes of the mesh and the targets beside them.
pub(crate) struct Directory {
    locality: Locality,
    /// Handles the messages that arrive on links to other nodes.
    link_handler: OnceLock<Arc<dyn Handler>>,
    state: Mutex<State>,
    /// Serving endpoints by service. Replaced as a whole after each change, so that the request
    /// path reads it without the lock.
    by_service: ArcSwap<ByService>,
    /// XOR of the digests of all entries.
    digest: AtomicU64,
    /// What this node knows of canary releases, which exclude versions of targets.
    pub(crate) canary: Arc<Canary>,
}

impl Directory {
    pub(crate) fn new(locality: Locality) -> Self {
        Self {
            locality,
            link_handler: OnceLock::new(),
            state: Mutex::default(),
            by_service: ArcSwap::default(),
            digest: AtomicU64::new(0),
            canary: Arc::default(),
        }
    }

    /// Sets the handler of messages that arrive on links to other nodes. Entries are ignored until
    /// then.
    pub(crate) fn set_link_handler(&self, handler: Arc<dyn Handler>) {
        let _ = self.link_handler.set(handler);
    }

    /// Merges entries into the directory, and returns those that were new or newer than the known
    /// ones.
    pub(crate) fn merge(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let Some(handler) = self.link_handler.get() else {
            return Vec::new();
        };
        let mut state = self.lock();
        let mut accepted = Vec::new();
        for entry in entries {
            if self.merge_entry(&mut state, handler, entry.clone()) {
                accepted.push(entry);
            }
        }
        if !accepted.is_empty() {
            self.rebuild(&state);
        }
        accepted
    }

    /// Merges one entry; returns `false` if it is ignored.
    fn merge_entry(&self, state: &mut State, handler: &Arc<dyn Handler>, entry: Entry) -> bool {
        let departed = state.departed.get(&entry.node);
        if departed.is_some_and(|departed| entry.incarnation <= departed.incarnation) {
            return false;
        }
        let known = state.endpoints.get(&entry.node);
        if let Some(known) = known
            && !entry.is_newer_than(&known.entry)
        {
            // A copy of what an earlier process announced still counts.
            let replaces = |target: &Target| {
                let last = known.last_target.as_ref();
                last.is_none_or(|last| target.replaces(last))
            };
            if let Some(target) = entry.target.filter(replaces) {
                let endpoint = known.with_last_target(target);
                state.endpoints.insert(entry.node, Arc::new(endpoint));
                self.rebuild(state);
            }
            return false;
        }
        if !state.evict_address_holders(&entry, &self.locality) {
            return false;
        }
        let is_own = entry.node == self.locality.node;
        let last_target = match (&entry.target, state.last_target(&entry.node)) {
            (Some(target), Some(last)) if last.replaces(target) => Some(last.clone()),
            (Some(target), _) => Some(target.clone()),
            (None, last) => last.cloned(),
        };
        let link = (!is_own).then(|| {
            let link = state.links.entry(entry.address);
            link.or_insert_with(|| Arc::new(Link::new(entry.address, handler.clone())))
                .clone()
        });
        let same_target = |known: &&Arc<Endpoint>| {
            let ids = |e: &Entry| e.target.as_ref().map(|t| (t.id.clone(), t.started_ms));
            ids(&known.entry) == ids(&entry)
        };
        // Another process of the target starts without the statistics of the former one.
        let same = state.endpoints.get(&entry.node).filter(same_target);
        let target_stats = same.map_or_else(Stats::new, |known| known.stats.clone());
        let first_seen = same.map_or_else(Instant::now, |known| known.first_seen);
        let distance = self.distance(&entry);
        let same_data_center = entry.data_center == self.locality.data_center;
        let remote = entry.region != self.locality.region;
        if !is_own {
            log::info!(
                event = "entry",
                node = entry.node.as_str(),
                incarnation = entry.incarnation,
                revision = entry.revision,
                presence = entry.presence.to_string().as_str(),
                target_id = entry.target.as_ref().map_or("", |t| t.id.as_str());
                "entry of another node added or updated"
            );
        }
        let node = entry.node.clone();
        let endpoint = Endpoint {
            entry,
            link,
            last_target,
            first_seen,
            stats: target_stats,
            default_round_trip: distance.default_round_trip,
            distance_penalty: distance.penalty,
            same_data_center,
            remote,
        };
        state.endpoints.insert(node, Arc::new(endpoint));
        true
    }

    /// What the process of `entry` may not know of the target beside its node: an announcement of an
    /// earlier process, as an entry of that process.
    pub(crate) fn former_entry(&self, entry: &Entry) -> Option<Entry> {
        let state = self.lock();
        let last = state.last_target(&entry.node)?;
        let is_known = entry.target.as_ref().is_some_and(|t| !last.replaces(t));
        (!is_known).then(|| Entry {
            incarnation: entry.incarnation.saturating_sub(1),
            revision: 0,
            presence: Presence::Down,
            target: Some(last.clone()),
            ..entry.clone()
        })
    }

    /// Links to all other nodes in the order in which they keep copies of what the node `name` has
    /// acknowledged. Nodes that know the same members have the same order.
    pub(crate) fn holders(&self, name: &str) -> Vec<Arc<Link>> {
        let state = self.lock();
        let others = state.endpoints.values().filter_map(|endpoint| {
            let link = endpoint.link.clone()?;
            Some((weight(name, &endpoint.entry.node), link))
        });
        let mut others: Vec<_> = others.collect();
        others.sort_unstable_by_key(|(weight, _)| *weight);
        others.into_iter().map(|(_, link)| link).collect()
    }

    /// Removes a node whose process has ended for good. Does nothing if a higher incarnation of the
    /// node is known.
    pub(crate) fn forget(&self, node: &str, incarnation: u64) {
        let mut state = self.lock();
        let known = state.endpoints.get(node);
        if known.is_none_or(|known| known.entry.incarnation > incarnation) {
            return;
        }
        state.remove(node, incarnation);
        let addresses: Vec<_> = state.endpoints.values().map(|e| e.entry.address).collect();
        state.links.retain(|address, _| addresses.contains(address));
        self.rebuild(&state);
        log::info!(
            event = "node_forgotten",
            node = node,
            incarnation = incarnation;
            "node removed"
        );
    }

    /// Names of nodes of this data centre that were removed since the last call because another
    /// node has their address.
    pub(crate) fn take_replaced(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().replaced)
    }

    /// Entries of all nodes, this node included.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let state = self.lock();
        state.endpoints.values().map(|e| e.entry.clone()).collect()
    }

    /// Digest of all entries. Two nodes with the same entries have the same digest.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.load(Ordering::Relaxed)
    }

    /// Digests of all entries in `groups` groups, by the names of their nodes.
    pub(crate) fn group_digests(&self, groups: usize) -> Vec<u64> {
        let mut digests = vec![0; groups];
        for endpoint in self.lock().endpoints.values() {
            digests[group(&endpoint.entry.node, groups)] ^= endpoint.entry.digest();
        }
        digests
    }

    /// The entries and removals of the groups whose digests differ from these.
    pub(crate) fn difference(&self, digests: &[u64]) -> Update {
        let groups = digests.len();
        if groups == 0 || groups > MAX_GROUPS {
            return Update::default();
        }
        let own = self.group_digests(groups);
        let differs = |node: &str| {
            let group = group(node, groups);
            own[group] != digests[group]
        };
        let state = self.lock();
        let entries = state.endpoints.values().map(|endpoint| &endpoint.entry);
        let removed = state.departed.iter();
        Update {
            entries: entries
                .filter(|entry| differs(&entry.node))
                .cloned()
                .collect(),
            removed: removed
                .filter(|(node, _)| differs(node))
                .map(|(node, departed)| (node.clone(), departed.incarnation))
                .collect(),
            ..Update::default()
        }
    }

    /// Names and incarnations of the nodes in this data centre, this node included.
    pub(crate) fn neighbours(&self) -> Vec<(String, u64)> {
        let state = self.lock();
        let is_local = |e: &&Arc<Endpoint>| e.entry.data_center == self.locality.data_center;
        let local = state.endpoints.values().filter(is_local);
        local
            .map(|e| (e.entry.node.clone(), e.entry.incarnation))
            .collect()
    }

    /// Names of all nodes by data centre.
    pub(crate) fn nodes_by_data_center(&self) -> BTreeMap<String, Vec<String>> {
        let state = self.lock();
        let mut nodes: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for entry in state.endpoints.values().map(|e| &e.entry) {
            let names = nodes.entry(entry.data_center.clone()).or_default();
            names.push(entry.node.clone());
        }
        nodes
    }

    /// Endpoint of the node with this name.
    pub(crate) fn find(&self, node: &str) -> Option<Arc<Endpoint>> {
        self.lock().endpoints.get(node).cloned()
    }

    /// Number of nodes, this node included.
    pub(crate) fn len(&self) -> usize {
        self.lock().endpoints.len()
    }

    /// All nodes, this one included; only those of this data centre if `local`.
    pub(crate) fn members(&self, local: bool) -> Vec<Arc<Endpoint>> {
        let state = self.lock();
        let wanted = |e: &&Arc<Endpoint>| !local || e.is_in_same_data_center();
        state.endpoints.values().filter(wanted).cloned().collect()
    }

    /// Links to all other nodes.
    pub(crate) fn links(&self) -> Vec<Arc<Link>> {
        let state = self.lock();
        let links = state.endpoints.values().filter_map(|e| e.link.clone());
        links.collect()
    }

    /// Links to the other nodes of this data centre.
    pub(crate) fn data_center_links(&self) -> Vec<Arc<Link>> {
        let state = self.lock();
        let is_local = |e: &&Arc<Endpoint>| e.entry.data_center == self.locality.data_center;
        let local = state.endpoints.values().filter(is_local);
        local.filter_map(|e| e.link.clone()).collect()
    }

    /// Sends an update to the other nodes of this data centre, or to those of all data centres.
    pub(crate) fn broadcast(&self, update: &Update, all_data_centers: bool) {
        let links = if all_data_centers {
            self.links()
        } else {
            self.data_center_links()
        };
        for link in links {
            link.send_update(update.clone());
        }
    }

    /// Endpoints of a service that accept new requests and whose nodes are not in `excluded`, the
    /// one with the lowest cost first. If the demand compares them by work, the first one is drawn
    /// among those that may well be the best.
    pub(crate) fn rank(&self, demand: &Demand<'_>, excluded: &[String]) -> Vec<Arc<Endpoint>> {
        let by_service = self.by_service.load();
        let Some(endpoints) = by_service.get(demand.service) else {
            return Vec::new();
        };
        let is_candidate = |endpoint: &&Arc<Endpoint>| {
            endpoint.is_serving() && !excluded.contains(&endpoint.entry.node)
        };
        let now = Instant::now();
        let candidates = endpoints.iter().filter(is_candidate);
        order(candidates, demand, now, &mut rand::rng())
    }

    /// Ranks as [`Directory::rank`], but only the endpoints whose versions a canary release allows. All
    /// are ranked if no endpoint of an allowed version serves, unless the version was withdrawn and
    /// endpoints of others are known, which may serve again.
    pub(crate) fn rank_versions(
        &self,
        demand: &Demand<'_>,
        excluded: &[String],
        turn: Turn,
    ) -> Vec<Arc<Endpoint>> {
        let ranked = self.rank(demand, excluded);
        let Some(rule) = self.canary.rule(demand.service, turn) else {
            return ranked;
        };
        if !self.excludes(demand.service, &rule) {
            return ranked;
        }
        let (mut allowed, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|endpoint| rule.allows(endpoint.version()));
        if let Some(count) = rule.trial_targets(others.len()) {
            keep_first(&mut allowed, count);
            // A trial takes no slots from a target that has none to spare.
            allowed.extend(others);
        }
        allowed
    }

    /// Whether a request must not run at a target of `version`, because a canary release has retired
    /// or withdrawn the version and a target of another one serves.
    pub(crate) fn is_retired(&self, service: &str, version: &str) -> bool {
        if !self.canary.is_known() {
            return false;
        }
        let rule = self.canary.arrival_rule(service);
        rule.is_some_and(|rule| !rule.allows(version) && self.excludes(service, &rule))
    }

    /// Whether a target of the service serves whose version is `version`.
    pub(crate) fn serves_version(&self, service: &str, version: &str) -> bool {
        let by_service = self.by_service.load();
        let mut endpoints = by_service.get(service).into_iter().flatten();
        endpoints.any(|e| e.version() == version && e.is_serving())
    }

    /// Share of the serving targets of the service whose version is `version`.
    pub(crate) fn version_share(&self, service: &str, version: &str) -> f64 {
        let by_service = self.by_service.load();
        let endpoints = by_service.get(service).into_iter().flatten();
        let (mut all, mut matching) = (0.0, 0.0);
        for endpoint in endpoints.filter(|e| e.is_serving()) {
            all += 1.0;
            matching += f64::from(u8::from(endpoint.version() == version));
        }
        if all > 0.0 { matching / all } else { 0.0 }
    }

    /// Whether the versions that the rule does not allow receive nothing.
    fn excludes(&self, service: &str, rule: &Rule) -> bool {
        self.serves_allowed(service, rule)
            || rule.is_withdrawn() && self.knows_allowed(service, rule)
    }

    /// Whether an endpoint of an allowed version is known, serving or not. Looks at all endpoints, but
    /// only while none of them serves.
    fn knows_allowed(&self, service: &str, rule: &Rule) -> bool {
        let state = self.lock();
        let mut targets = state
            .endpoints
            .values()
            .filter_map(|e| e.entry.target.as_ref());
        targets.any(|t| t.service == service && !t.has_departed() && rule.allows(&t.version))
    }

    fn serves_allowed(&self, service: &str, rule: &Rule) -> bool {
        let by_service = self.by_service.load();
        let mut endpoints = by_service.get(service).into_iter().flatten();
        endpoints.any(|e| rule.allows(e.version()) && e.is_serving())
    }

    /// Rebuilds the index by service and the digest after a change.
    fn rebuild(&self, state: &State) {
        let mut by_service = ByService::new();
        for endpoint in state.endpoints.values() {
            let Some(target) = &endpoint.entry.target else {
                continue;
            };
            if endpoint.entry.presence == Presence::Serving && !endpoint.is_outdated() {
                let list = by_service.entry(target.service.clone()).or_default();
                list.push(endpoint.clone());
            }
        }
        self.by_service.store(Arc::new(by_service));
        let digests = state.endpoints.values().map(|e| e.entry.digest());
        let digest = digests.fold(0, |sum, digest| sum ^ digest);
        self.digest.store(digest, Ordering::Relaxed);
    }

    fn distance(&self, entry: &Entry) -> Distance {
        if entry.node == self.locality.node {
            SAME_NODE
        } else if entry.data_center == self.locality.data_center {
            SAME_DATA_CENTER
        } else if entry.region == self.locality.region {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Orders endpoints by their cost at `now`. If the demand compares them by work, one of the best is
/// drawn for the first place.
pub(crate) fn order<'a>(
    candidates: impl Iterator<Item = &'a Arc<Endpoint>>,
    demand: &Demand<'_>,
    now: Instant,
    rng: &mut impl rand::Rng,
) -> Vec<Arc<Endpoint>> {
    let mut ranked: Vec<(Duration, &Arc<Endpoint>)> = candidates
        .map(|endpoint| (endpoint.cost(demand, now), endpoint))
        .collect();
    ranked.sort_by_key(|(cost, _)| *cost);
    if demand.by_work
        && let Some((_, first)) = ranked.first()
    {
        let uncertainty = first.uncertainty(now);
        backlog::draw(&mut ranked, demand.expected_latency, uncertainty, rng);
    }
    ranked.into_iter().map(|(_, e)| e.clone()).collect()
}
