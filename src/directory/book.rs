//! All entries that the node knows.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::directory::endpoint::{Endpoint, Record};
use crate::link::{Entry, Handler, Link, Update};
use crate::roster::Presence;

/// Time for which the end of a node is remembered, so that a late message cannot bring it back.
const DEPARTED_TERM: Duration = Duration::from_mins(1);

/// Where the node stands.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// Name of the node.
    pub node: String,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_center: String,
}

/// How far away the targets of a place are until it is measured, and how much a nearer one is
/// preferred beyond that, for the price of traffic.
struct Distance {
    round_trip: Duration,
    /// Share of the latency objective that a nearer target may be slower.
    preference: f64,
}

const SAME_NODE: Distance = Distance {
    round_trip: Duration::ZERO,
    preference: 0.0,
};
const SAME_CENTER: Distance = Distance {
    round_trip: Duration::from_micros(500),
    preference: 0.0,
};
const SAME_REGION: Distance = Distance {
    round_trip: Duration::from_millis(3),
    preference: 0.6,
};
const OTHER_REGION: Distance = Distance {
    round_trip: Duration::from_millis(60),
    preference: 1.4,
};

#[derive(Default)]
struct State {
    endpoints: BTreeMap<String, Arc<Endpoint>>,
    links: HashMap<std::net::SocketAddr, Arc<Link>>,
    /// Incarnations that ended, by node.
    departed: HashMap<String, (u64, Instant)>,
    /// Nodes of this data centre whose addresses other nodes have now, and whose rows may still be in
    /// the store.
    replaced: Vec<String>,
}

impl State {
    /// Ends the nodes that were at the address of `entry` before: platforms give addresses of VMs
    /// that are gone to others. Returns `false` if a node that started later is there, or the node
    /// itself.
    fn take_over_address(&mut self, entry: &Entry, place: &Place) -> bool {
        let others = self
            .endpoints
            .values()
            .map(|known| &known.entry)
            .filter(|known| known.address == entry.address && known.node != entry.node);
        let others: Vec<Entry> = others.cloned().collect();
        let keeps =
            |known: &Entry| known.node == place.node || known.incarnation > entry.incarnation;
        if others.iter().any(keeps) {
            return false;
        }
        for known in others {
            log::info!(
                event = "node_replaced",
                node = known.node.as_str(),
                incarnation = known.incarnation,
                by = entry.node.as_str();
                "another node is at its address"
            );
            self.end(&known.node, known.incarnation);
            if known.data_center == place.data_center {
                self.replaced.push(known.node);
            }
        }
        true
    }

    /// Forgets a node, and remembers that its process has ended.
    fn end(&mut self, node: &str, incarnation: u64) {
        self.endpoints.remove(node);
        self.departed
            .retain(|_, (_, since)| since.elapsed() < DEPARTED_TERM);
        let ended = (incarnation, Instant::now());
        self.departed.insert(node.to_owned(), ended);
    }
}

type ByService = HashMap<String, Vec<Arc<Endpoint>>>;

/// The node's knowledge of all nodes and their targets.
pub(crate) struct Directory {
    place: Place,
    service: OnceLock<Arc<dyn Handler>>,
    state: Mutex<State>,
    by_service: ArcSwap<ByService>,
    digest: AtomicU64,
}

impl Directory {
    pub(crate) fn new(place: Place) -> Self {
        Self {
            place,
            service: OnceLock::new(),
            state: Mutex::default(),
            by_service: ArcSwap::default(),
            digest: AtomicU64::new(0),
        }
    }

    /// Gives the service that links to other nodes speak for. Entries are taken from then on.
    pub(crate) fn connect(&self, service: Arc<dyn Handler>) {
        let _ = self.service.set(service);
    }

    /// Takes entries; returns those that are newer than what was known.
    pub(crate) fn learn(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let Some(service) = self.service.get() else {
            return Vec::new();
        };
        let mut state = self.lock();
        let mut fresh = Vec::new();
        for entry in entries {
            if self.take(&mut state, service, entry.clone()) {
                fresh.push(entry);
            }
        }
        if !fresh.is_empty() {
            self.publish(&state);
        }
        fresh
    }

    fn take(&self, state: &mut State, service: &Arc<dyn Handler>, entry: Entry) -> bool {
        let ended = state.departed.get(&entry.node);
        if ended.is_some_and(|(incarnation, _)| entry.incarnation <= *incarnation) {
            return false;
        }
        let known = state.endpoints.get(&entry.node);
        if known.is_some_and(|known| !entry.is_newer_than(&known.entry)) {
            return false;
        }
        if !state.take_over_address(&entry, &self.place) {
            return false;
        }
        let own = entry.node == self.place.node;
        let link = (!own).then(|| {
            let link = state.links.entry(entry.address);
            link.or_insert_with(|| Arc::new(Link::new(entry.address, service.clone())))
                .clone()
        });
        let same_target = |known: &&Arc<Endpoint>| {
            let ids = |e: &Entry| e.target.as_ref().map(|t| (t.id.clone(), t.started_ms));
            ids(&known.entry) == ids(&entry)
        };
        let kept = state.endpoints.get(&entry.node).filter(same_target);
        let record = kept.map_or_else(Record::new, |known| known.record.clone());
        let since = kept.map_or_else(Instant::now, |known| known.since);
        let distance = self.distance(&entry);
        let near = entry.data_center == self.place.data_center;
        if !own {
            log::info!(
                event = "entry",
                node = entry.node.as_str(),
                incarnation = entry.incarnation,
                revision = entry.revision,
                presence = entry.presence.to_string().as_str(),
                target_id = entry.target.as_ref().map_or("", |t| t.id.as_str());
                ""
            );
        }
        let node = entry.node.clone();
        let endpoint = Endpoint {
            entry,
            link,
            since,
            record,
            distance: distance.round_trip,
            preference: distance.preference,
            near,
        };
        state.endpoints.insert(node, Arc::new(endpoint));
        true
    }

    /// Forgets a node whose process has ended for good.
    pub(crate) fn forget(&self, node: &str, incarnation: u64) {
        let mut state = self.lock();
        let known = state.endpoints.get(node);
        if known.is_none_or(|known| known.entry.incarnation > incarnation) {
            return;
        }
        state.end(node, incarnation);
        let addresses: Vec<_> = state.endpoints.values().map(|e| e.entry.address).collect();
        state.links.retain(|address, _| addresses.contains(address));
        self.publish(&state);
        log::info!(event = "node_forgotten", node = node, incarnation = incarnation; "");
    }

    /// Nodes of this data centre whose addresses other nodes have taken since the last question.
    pub(crate) fn take_replaced(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().replaced)
    }

    /// All entries.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let state = self.lock();
        state.endpoints.values().map(|e| e.entry.clone()).collect()
    }

    /// Digest of all entries; equal where two nodes know the same.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.load(Ordering::Relaxed)
    }

    /// Names and incarnations of the nodes in this data centre, this node included.
    pub(crate) fn neighbours(&self) -> Vec<(String, u64)> {
        let state = self.lock();
        let near = |e: &&Arc<Endpoint>| e.entry.data_center == self.place.data_center;
        let near = state.endpoints.values().filter(near);
        near.map(|e| (e.entry.node.clone(), e.entry.incarnation))
            .collect()
    }

    /// One endpoint by its node's name.
    pub(crate) fn find(&self, node: &str) -> Option<Arc<Endpoint>> {
        self.lock().endpoints.get(node).cloned()
    }

    /// Number of nodes.
    pub(crate) fn len(&self) -> usize {
        self.lock().endpoints.len()
    }

    /// Links to all other nodes.
    pub(crate) fn links(&self) -> Vec<Arc<Link>> {
        let state = self.lock();
        let links = state.endpoints.values().filter_map(|e| e.link.clone());
        links.collect()
    }

    /// Links to the other nodes of this data centre.
    pub(crate) fn near_links(&self) -> Vec<Arc<Link>> {
        let state = self.lock();
        let near = |e: &&Arc<Endpoint>| e.entry.data_center == self.place.data_center;
        let near = state.endpoints.values().filter(near);
        near.filter_map(|e| e.link.clone()).collect()
    }

    /// Sends update to the other nodes of this data centre, or to all.
    pub(crate) fn broadcast(&self, update: &Update, everywhere: bool) {
        let links = if everywhere {
            self.links()
        } else {
            self.near_links()
        };
        for link in links {
            link.send_update(update.clone());
        }
    }

    /// Targets of a service that take new work and are not in `excluded`, best first.
    pub(crate) fn rank(
        &self,
        service: &str,
        expected: Duration,
        objective: Duration,
        excluded: &[String],
    ) -> Vec<Arc<Endpoint>> {
        let by_service = self.by_service.load();
        let Some(endpoints) = by_service.get(service) else {
            return Vec::new();
        };
        let usable = |endpoint: &&Arc<Endpoint>| {
            endpoint.is_serving() && !excluded.contains(&endpoint.entry.node)
        };
        let mut ranked: Vec<(Duration, &Arc<Endpoint>)> = endpoints
            .iter()
            .filter(usable)
            .map(|endpoint| (endpoint.cost(expected, objective), endpoint))
            .collect();
        ranked.sort_by_key(|(cost, _)| *cost);
        ranked.into_iter().map(|(_, e)| e.clone()).collect()
    }

    fn publish(&self, state: &State) {
        let mut by_service = ByService::new();
        for endpoint in state.endpoints.values() {
            let Some(target) = &endpoint.entry.target else {
                continue;
            };
            if endpoint.entry.presence == Presence::Serving {
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
        if entry.node == self.place.node {
            SAME_NODE
        } else if entry.data_center == self.place.data_center {
            SAME_CENTER
        } else if entry.region == self.place.region {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
