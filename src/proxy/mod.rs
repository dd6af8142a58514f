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
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::watch;

use crate::http::Handler;
use crate::node::Core;
use crate::proxy::requests::Requests;
use crate::proxy::target::TargetSide;
use crate::roster::Roster;
use crate::route::{Balancer, Budget, Load, Place, Throttle};
use crate::settings::Settings;

const IDLE_POLL: Duration = Duration::from_millis(10);

/// State of a node's request path.
pub(crate) struct Proxy {
    balancer: Balancer,
    budget: Budget,
    throttles: Mutex<HashMap<String, Arc<Throttle>>>,
    /// Requests that other nodes sent here.
    requests: Requests,
    target: Option<TargetSide>,
}

impl Proxy {
    pub(crate) fn new(settings: &Settings, core: Weak<Core>) -> Self {
        let place = Place {
            region: settings.region.clone(),
            data_center: settings.data_center.clone(),
        };
        let target = settings.target.as_ref();
        Self {
            balancer: Balancer::new(place, settings.limits.eject_percent),
            budget: Budget::new(settings.limits.retry_percent),
            throttles: Mutex::new(HashMap::new()),
            requests: Requests::default(),
            target: target.map(|target| TargetSide::new(target, settings.limits.queue, core)),
        }
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
pub(crate) fn caller_handler(core: Arc<Core>) -> Arc<dyn Handler> {
    Arc::new(caller::CallerSide { core })
}

/// Handler of the listener for other nodes.
pub(crate) fn mesh_handler(core: Arc<Core>) -> Arc<dyn Handler> {
    Arc::new(mesh::MeshSide { core })
}

#[cfg(all(test, feature = "standin"))]
mod tests;
