//! Request path of a node: from a caller to the caller's node, on to the target's node and the
//! target, and back.

mod at_most_once;
mod attempt;
mod call;
mod caller;
mod headers;
mod intake;
mod mesh;
mod requests;
mod target;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::{Semaphore, watch};

use crate::claim::Claims;
use crate::http::Handler;
use crate::memory;
use crate::proxy::requests::Requests;
use crate::proxy::target::LocalTarget;
use crate::rollout::{Agent, BundleCache};
use crate::roster::{Change, Member, Presence, Roster, Suspicions};
use crate::route::{Balancer, Load, Locality, RetryBudget, Throttle};
use crate::settings::Settings;
use crate::telemetry::{Counters, Histograms, Traffic};

const IDLE_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Access of the request path to the node's own roster entry and to the registrar.
#[async_trait]
pub(crate) trait Membership: Send + Sync {
    /// The node's own entry; `None` once the node has ended.
    fn member(&self) -> Option<Member>;

    /// Changes the node's presence and announces the change.
    fn set_presence(&self, presence: Presence);

    /// Reports a change to the data centre's registrar.
    async fn report(&self, change: Change);
}

/// Shared components of the node that the request path uses.
#[derive(Clone)]
pub(crate) struct Dependencies {
    pub settings: Settings,
    pub agent: Arc<Agent>,
    pub bundles: Arc<BundleCache>,
    pub claims: Arc<Claims>,
    pub suspicions: Arc<Suspicions>,
    pub counters: Arc<Counters>,
    pub histograms: Arc<Histograms>,
    pub traffic: Arc<Traffic>,
    /// Memory for messages of others.
    pub memory: Arc<memory::Pool>,
}

/// Proxy of a node, for both its callers and its target.
pub(crate) struct Proxy {
    settings: Settings,
    agent: Arc<Agent>,
    bundles: Arc<BundleCache>,
    claims: Arc<Claims>,
    suspicions: Arc<Suspicions>,
    counters: Arc<Counters>,
    histograms: Arc<Histograms>,
    traffic: Arc<Traffic>,
    memory: Arc<memory::Pool>,
    membership: Arc<dyn Membership>,
    balancer: Balancer,
    retry_budget: RetryBudget,
    throttles: Mutex<HashMap<String, Arc<Throttle>>>,
    /// Requests from other nodes to the local target.
    requests: Requests,
    /// Limits how many inquiries run at a time, each of which opens a connection.
    inquiries: Semaphore,
    target: Option<LocalTarget>,
}

impl Proxy {
    pub(crate) fn new(dependencies: Dependencies, membership: Arc<dyn Membership>) -> Arc<Self> {
        let settings = &dependencies.settings;
        let locality = Locality {
            region: settings.region.clone(),
            data_center: settings.data_center.clone(),
        };
        let limits = settings.limits;
        let target = settings.target.clone();
        Arc::new_cyclic(|proxy| Self {
            balancer: Balancer::new(locality, limits.eject_percent),
            retry_budget: RetryBudget::new(limits.retry_percent),
            throttles: Mutex::new(HashMap::new()),
            requests: Requests::default(),
            inquiries: Semaphore::new(dependencies.settings.resources.control_connections()),
            target: target.map(|target| LocalTarget::new(&target, limits, proxy.clone())),
            settings: dependencies.settings,
            agent: dependencies.agent,
            bundles: dependencies.bundles,
            claims: dependencies.claims,
            suspicions: dependencies.suspicions,
            counters: dependencies.counters,
            histograms: dependencies.histograms,
            traffic: dependencies.traffic,
            memory: dependencies.memory,
            membership,
        })
    }

    /// Starts the health check of the target, which ends when `stopped` changes or closes.
    pub(crate) fn start(&self, stopped: watch::Receiver<()>) {
        if let Some(target) = &self.target {
            target.start(stopped);
        }
    }

    /// Replaces the balancer's targets by those of a new roster.
    pub(crate) fn update_roster(&self, roster: &Roster) {
        self.balancer.update(roster);
    }

    /// Makes the target refuse new requests.
    pub(crate) fn drain(&self) {
        if let Some(target) = &self.target {
            target.drain();
        }
    }

    /// Waits until no request runs at the target.
    pub(crate) async fn wait_until_idle(&self) {
        let Some(target) = &self.target else { return };
        while target.running() > 0 {
            tokio::time::sleep(IDLE_POLL_PERIOD).await;
        }
    }

    /// Load of the local target, if there is one.
    pub(crate) fn load(&self) -> Option<Load> {
        self.target.as_ref().map(LocalTarget::load)
    }

    fn throttle(&self, service: &str) -> Arc<Throttle> {
        let mut throttles = self
            .throttles
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(throttle) = throttles.get(service) {
            return throttle.clone();
        }
        let throttle = Arc::new(Throttle::new());
        throttles.insert(service.to_owned(), throttle.clone());
        throttle
    }
}

/// Handler of the caller listener.
pub(crate) fn caller_handler(proxy: Arc<Proxy>) -> Arc<dyn Handler> {
    Arc::new(caller::CallerHandler { proxy })
}

/// Handler of the mesh listener, for other nodes.
pub(crate) fn mesh_handler(proxy: Arc<Proxy>) -> Arc<dyn Handler> {
    Arc::new(mesh::MeshHandler { proxy })
}

#[cfg(all(test, feature = "standin"))]
mod tests;
