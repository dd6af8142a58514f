//! Routing table: the routes of a bundle, compiled for look-up by host, path and method.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::bundle::{Bundle, ClassKind, Route};

/// A bundle's route with its class, service and group resolved.
#[derive(Debug)]
pub(crate) struct CompiledRoute {
    pub name: String,
    pub service: String,
    /// Target group of the service.
    pub group: String,
    pub class: String,
    /// Kind of the class.
    pub kind: ClassKind,
    /// Share of the slots that long classes may not use, in percent.
    pub reserved_short_percent: u32,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// Time within which the answer must begin.
    pub timeout: Duration,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Time within which an answer is worth most to its caller; the timeout if the route sets no
    /// objective.
    pub objective: Duration,
    /// Rank in a target's queue; 0 is served first.
    pub rank: u32,
    /// Whether requests need no tenant's key.
    pub public: bool,
    split: Split,
    method: Option<String>,
}

impl CompiledRoute {
    /// Service of the next request, by the weights of the split; each call advances the split.
    pub(crate) fn next_service(&self) -> &str {
        self.split.next().unwrap_or(&self.service)
    }
}

/// Weighted split of a route's requests among services.
#[derive(Debug, Default)]
struct Split {
    weights: Vec<(String, u32)>,
    total_weight: u32,
    /// Point of the next request on the weights, as a fraction of 2^32.
    position: AtomicU32,
}

/// 2^32 divided by the golden ratio: multiples of it spread evenly over the range of `u32`, so any
/// run of consecutive requests is split closely to the weights.
const GOLDEN_STEP: u32 = 2_654_435_769;

impl Split {
    fn new(weights: &BTreeMap<String, u32>) -> Self {
        Self {
            weights: weights.iter().map(|(name, w)| (name.clone(), *w)).collect(),
            total_weight: weights.values().sum(),
            position: AtomicU32::new(rand::random()),
        }
    }

    fn next(&self) -> Option<&str> {
        let position = self.position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let mut point = (u64::from(position) * u64::from(self.total_weight)) >> 32;
        for (name, weight) in &self.weights {
            if point < u64::from(*weight) {
                return Some(name);
            }
            point -= u64::from(*weight);
        }
        None
    }
}

/// Routing table of a bundle, with the weights of its tenants.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Routes by host (`None` for any host) and path prefix as written; those for a method come first.
    by_host: HashMap<Option<String>, HashMap<String, Vec<Arc<CompiledRoute>>>>,
    tenant_weights: HashMap<String, u32>,
}

impl Table {
    /// Compiles the routes of a checked bundle.
    pub(crate) fn compile(bundle: &Bundle) -> Self {
        let mut table = Self::default();
        for (name, route) in &bundle.routes {
            let paths = table.by_host.entry(route.host.clone()).or_default();
            paths
                .entry(route.path.clone())
                .or_default()
                .push(Arc::new(resolve(bundle, name, route)));
        }
        for routes in table.by_host.values_mut().flat_map(HashMap::values_mut) {
            routes.sort_by_key(|route| route.method.is_none());
        }
        let tenants = bundle.tenants.iter();
        table.tenant_weights = tenants
            .map(|(name, tenant)| (name.clone(), tenant.weight))
            .collect();
        table
    }

    /// Finds the route with the longest matching path prefix; routes for the host go before routes
    /// for any host, routes for the method before routes for any method.
    pub(crate) fn find(&self, host: &str, method: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let host = host.split(':').next().unwrap_or_default();
        let for_host = self.by_host.get(&Some(host.to_owned()));
        let for_any_host = self.by_host.get(&None);
        let mut candidates = for_host.into_iter().chain(for_any_host);
        candidates.find_map(|paths| find_path(paths, method, path))
    }

    /// Name and weight of a tenant; those of `default`, or weight 1, if the bundle does not list
    /// it.
    pub(crate) fn tenant<'a>(&self, name: &'a str) -> (&'a str, u32) {
        match self.tenant_weights.get(name) {
            Some(weight) => (name, *weight),
            None => (
                "default",
                self.tenant_weights.get("default").copied().unwrap_or(1),
            ),
        }
    }
}

/// Finds the route with the longest prefix that begins the path. A prefix that ends with a slash
/// begins only paths that contain this slash; another one ends at the end of a path segment.
fn find_path<'a>(
    paths: &'a HashMap<String, Vec<Arc<CompiledRoute>>>,
    method: &str,
    path: &str,
) -> Option<&'a Arc<CompiledRoute>> {
    let method_matches =
        |route: &&Arc<CompiledRoute>| route.method.as_deref().is_none_or(|m| m == method);
    let find = |prefix: &str| paths.get(prefix)?.iter().find(method_matches);
    let slashes = path.rmatch_indices('/').map(|(index, _)| index);
    find(path).or_else(|| {
        slashes
            .flat_map(|slash| [&path[..=slash], &path[..slash]])
            .find_map(find)
    })
}

fn resolve(bundle: &Bundle, name: &str, route: &Route) -> CompiledRoute {
    let group = &bundle.services[&route.service].group;
    CompiledRoute {
        name: name.to_owned(),
        service: route.service.clone(),
        group: group.clone(),
        class: route.class.clone(),
        kind: bundle.classes[&route.class].kind,
        reserved_short_percent: bundle.groups[group].reserved_short_percent,
        idempotent: route.idempotent,
        timeout: Duration::from_millis(route.timeout_ms),
        attempts: route.attempts,
        objective: Duration::from_millis(route.objective_ms.unwrap_or(route.timeout_ms)),
        rank: route.rank,
        public: route.public,
        split: Split::new(&route.split),
        method: route.method.clone(),
    }
}

#[cfg(test)]
mod tests;
