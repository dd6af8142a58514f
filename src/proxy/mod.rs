//! The path of a request: from a caller to its node, to the target's node, to the target and
//! back.

mod attempt;
mod call;
mod caller;
mod claimed;
mod headers;
mod mesh;
mod requests;
mod target;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

use crate::claim::Claims;
use crate::http::Handler;
use crate::proxy::requests::Requests;
use crate::proxy::target::TargetSide;
use crate::rollout::{Agent, BundleCache};
use crate::roster::{Change, Member, Presence, Roster, Suspicions};
use crate::route::{Balancer, Budget, Load, Place, Throttle};
use crate::settings::Settings;
use crate::telemetry::{Counters, Histograms, Traffic};

const IDLE_POLL: Duration = Duration::from_millis(10);

/// What the request path tells the node of its target, and the roster through it.
#[async_trait]
pub(crate) trait Membership: Send + Sync {
    /// The node's own entry; `None` once the node has ended.
    fn member(&self) -> Option<Member>;

    /// Changes the node's presence and announces it.
    fn set_presence(&self, presence: Presence);

    /// Tells the data centre's registrar of a change.
    async fn report(&self, change: Change);
}

/// Parts of the node that its request path shares.
#[derive(Clone)]
pub(crate) struct Parts {
    pub settings: Settings,
    pub agent: Arc<Agent>,
    pub shelf: Arc<BundleCache>,
    pub claims: Arc<Claims>,
    pub suspicions: Arc<Suspicions>,
    pub counters: Arc<Counters>,
    pub histograms: Arc<Histograms>,
    pub traffic: Arc<Traffic>,
}

/// A node's request path.
pub(crate) struct Proxy {
    settings: Settings,
    agent: Arc<Agent>,
    shelf: Arc<BundleCache>,
    claims: Arc<Claims>,
    suspicions: Arc<Suspicions>,
    counters: Arc<Counters>,
    histograms: Arc<Histograms>,
    traffic: Arc<Traffic>,
    membership: Arc<dyn Membership>,
    balancer: Balancer,
    budget: Budget,
    throttles: Mutex<HashMap<String, Arc<Throttle>>>,
    /// Requests that other nodes sent here.
    requests: Requests,
    target: Option<TargetSide>,
}

impl Proxy {
    pub(crate) fn new(parts: Parts, membership: Arc<dyn Membership>) -> Arc<Self> {
        let settings = &parts.settings;
        let place = Place {
            region: settings.region.clone(),
            data_center: settings.data_center.clone(),
        };
        let limits = settings.limits;
        let target = settings.target.clone();
        Arc::new_cyclic(|proxy| Self {
            balancer: Balancer::new(place, limits.eject_percent),
            budget: Budget::new(limits.retry_percent),
            throttles: Mutex::new(HashMap::new()),
            requests: Requests::default(),
            target: target.map(|target| TargetSide::new(&target, limits.queue, proxy.clone())),
            settings: parts.settings,
            agent: parts.agent,
            shelf: parts.shelf,
            claims: parts.claims,
            suspicions: parts.suspicions,
            counters: parts.counters,
            histograms: parts.histograms,
            traffic: parts.traffic,
            membership,
        })
    }

    /// Starts the tasks of the request path, which end when `stopped` closes.
    pub(crate) fn start(&self, stopped: watch::Receiver<()>) {
        if let Some(target) = &self.target {
            target.start(stopped);
        }
    }

    /// Takes a new roster.
    pub(crate) fn roster_changed(&self, roster: &Roster) {
        self.balancer.update(roster);
    }

    /// Takes no new work for the target.
    pub(crate) fn drain(&self) {
        if let Some(target) = &self.target {
            target.drain();
        }
    }

    /// Waits until the target runs nothing.
    pub(crate) async fn idle(&self) {
        let Some(target) = &self.target else { return };
        while target.running() > 0 {
            tokio::time::sleep(IDLE_POLL).await;
        }
    }

    /// Load of the target beside this node.
    pub(crate) fn load(&self) -> Option<Load> {
        self.target.as_ref().map(TargetSide::load)
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

/// Handler of the listener for callers.
pub(crate) fn caller_handler(proxy: Arc<Proxy>) -> Arc<dyn Handler> {
    Arc::new(caller::CallerSide { proxy })
}

/// Handler of the listener for other nodes.
pub(crate) fn mesh_handler(proxy: Arc<Proxy>) -> Arc<dyn Handler> {
    Arc::new(mesh::MeshSide { proxy })
}

#[cfg(all(test, feature = "standin"))]
mod tests;
