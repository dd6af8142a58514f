//! Routes compiled for look-up.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::bundle::{Bundle, ClassKind, Route};

/// A route with the names it refers to resolved.
#[derive(Debug)]
pub(crate) struct Matched {
    /// Service.
    pub service: String,
    /// Target group of the service.
    pub group: String,
    /// Class.
    pub class: String,
    /// Kind of the class.
    pub kind: ClassKind,
    /// Share of the slots that long classes may not use, in percent.
    pub reserved_short_percent: u32,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// Time for the answer to begin.
    pub timeout: Duration,
    method: Option<String>,
}

/// Routes by host and path prefix.
#[derive(Debug, Default)]
pub(crate) struct Table {
    by_host: HashMap<Option<String>, HashMap<String, Vec<Arc<Matched>>>>,
    weights: HashMap<String, u32>,
}

impl Table {
    /// Compiles the routes of a checked bundle.
    pub(crate) fn compile(bundle: &Bundle) -> Self {
        let mut table = Self::default();
        for route in bundle.routes.values() {
            let paths = table.by_host.entry(route.host.clone()).or_default();
            let path = route.path.trim_end_matches('/').to_owned();
            paths
                .entry(path)
                .or_default()
                .push(Arc::new(resolve(bundle, route)));
        }
        for routes in table.by_host.values_mut().flat_map(HashMap::values_mut) {
            routes.sort_by_key(|route| route.method.is_none());
        }
        let tenants = bundle.tenants.iter();
        table.weights = tenants
            .map(|(name, tenant)| (name.clone(), tenant.weight))
            .collect();
        table
    }

    /// Finds the route with the longest matching path; routes for the host go before routes for
    /// any host, routes for the method before routes for any method.
    pub(crate) fn find(&self, host: &str, method: &str, path: &str) -> Option<&Arc<Matched>> {
        let host = host.split(':').next().unwrap_or_default();
        let own = self.by_host.get(&Some(host.to_owned()));
        let any = self.by_host.get(&None);
        let mut candidates = own.into_iter().chain(any);
        candidates.find_map(|paths| find_path(paths, method, path))
    }

    /// Name of the tenant if the bundle knows it, and its weight.
    pub(crate) fn tenant<'a>(&self, name: &'a str) -> (&'a str, u32) {
        match self.weights.get(name) {
            Some(weight) => (name, *weight),
            None => ("default", self.weights.get("default").copied().unwrap_or(1)),
        }
    }
}

fn find_path<'a>(
    paths: &'a HashMap<String, Vec<Arc<Matched>>>,
    method: &str,
    path: &str,
) -> Option<&'a Arc<Matched>> {
    let mut prefix = path.trim_end_matches('/');
    loop {
        let routes = paths.get(prefix).map_or(&[][..], Vec::as_slice);
        let fits = |route: &&Arc<Matched>| route.method.as_deref().is_none_or(|m| m == method);
        if let Some(route) = routes.iter().find(fits) {
            return Some(route);
        }
        prefix = &prefix[..prefix.rfind('/')?];
    }
}

fn resolve(bundle: &Bundle, route: &Route) -> Matched {
    let group = &bundle.services[&route.service].group;
    Matched {
        service: route.service.clone(),
        group: group.clone(),
        class: route.class.clone(),
        kind: bundle.classes[&route.class].kind,
        reserved_short_percent: bundle.groups[group].reserved_short_percent,
        idempotent: route.idempotent,
        timeout: Duration::from_millis(route.timeout_ms),
        method: route.method.clone(),
    }
}
