//! Injects the faults of a run, reverts them, and checks that the mesh recovers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::soak::caller::{Connection, new_request_id};
use crate::soak::checker::{Checker, Outcome};
use crate::soak::node::Node;
use crate::soak::relay::Mode;
use crate::soak::target::SERVICE_TIME;
use crate::soak::{Endpoint, PORTS, SERVICES, Subnet, marker_prefix, publish, route_prefix};
use crate::standin::{StoreFault, StoreServer};

/// Longest pause between faults; shorter than most faults, so that they overlap.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Share of steps that publish a new version.
const PUBLISH_SHARE: f64 = 0.25;
/// Pause after each restart of the rolling restart.
const RESTART_PAUSE: Duration = Duration::from_secs(2);
/// Service time of targets during the rolling restart: longer than [`IN_FLIGHT_WAIT`], so that a
/// request is in flight when its node is terminated.
const RESTART_SERVICE_TIME: Duration = Duration::from_millis(700);
/// Time after which a request sent during the rolling restart is in flight.
const IN_FLIGHT_WAIT: Duration = Duration::from_millis(200);

/// A fault at one node, unless stated otherwise. The report shows the `Debug` output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Sets the mode of the relay in front of the mesh listener.
    Mesh(Mode),
    /// Resets the open mesh connections to the node.
    MeshReset,
    /// Silences the open mesh connections to the node for good.
    MeshMute,
    /// Sets the mode of the relay to the store.
    Store(Mode),
    /// Resets the open connections to the store.
    StoreReset,
    /// Sets the mode of the relay to the target.
    TargetLink(Mode),
    /// Resets the open connections to the target.
    TargetReset,
    /// Makes the target slow.
    TargetSlow,
    /// Stops the target and starts one with a new id.
    TargetReplaced,
    /// Drains the target, and replaces it when the fault ends.
    TargetDrained,
    /// Kills the process, and starts it again when the fault ends.
    Kill,
    /// As `Kill`, for all nodes.
    KillAll,
    /// Sends SIGTERM, and starts the process again when the fault ends.
    Restart,
    /// Stops the process with SIGSTOP until the fault ends.
    Pause,
    /// Sends SIGHUP.
    Reload,
    /// Makes the store itself fail, for all nodes.
    StoreFails(StoreFault),
}

/// Faults to draw from; their order decides which ones a seed draws.
const FAULTS: [Fault; 24] = [
    Fault::Mesh(Mode::Delay(Duration::from_millis(150))),
    Fault::Mesh(Mode::CutRequests),
    Fault::Mesh(Mode::CutAnswers),
    Fault::Mesh(Mode::Silent),
    Fault::Mesh(Mode::Refuse),
    Fault::MeshReset,
    Fault::MeshMute,
    Fault::Store(Mode::Silent),
    Fault::Store(Mode::Refuse),
    Fault::Store(Mode::CutAnswers),
    Fault::StoreReset,
    Fault::TargetLink(Mode::Delay(Duration::from_millis(200))),
    Fault::TargetLink(Mode::CutAnswers),
    Fault::TargetReset,
    Fault::TargetSlow,
    Fault::TargetReplaced,
    Fault::TargetDrained,
    Fault::Kill,
    Fault::KillAll,
    Fault::Restart,
    Fault::Pause,
    Fault::Reload,
    Fault::StoreFails(StoreFault::Silent),
    Fault::StoreFails(StoreFault::LoseAnswers),
];

/// A running mesh and the faults injected into it so far.
pub(super) struct Injector {
    pub nodes: Vec<Node>,
    pub store: Arc<StoreServer>,
    pub checker: Arc<Checker>,
    /// Newest published version.
    pub version: u64,
    pub faults: Vec<String>,
}

/// An injected fault that is yet to be reverted.
struct Injection {
    revert_at: Instant,
    node: usize,
    fault: Fault,
}

impl Injector {
    /// Injects random faults for `duration`, each at a node without an active one, then reverts
    /// those that are still active.
    pub(super) async fn inject_faults(&mut self, rng: &mut StdRng, duration: Duration) {
        let end = Instant::now() + duration;
        let mut active: Vec<Injection> = Vec::new();
        while Instant::now() < end {
            if rng.random_bool(PUBLISH_SHARE) {
                self.publish_next();
            }
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let node = rng.random_range(0..self.nodes.len());
            let fault_duration = Duration::from_millis(rng.random_range(300..4_000));
            let pause = MAX_PAUSE.mul_f64(rng.random::<f64>());
            let has_fault = active.iter().any(|injection| injection.node == node);
            if !has_fault {
                self.faults.push(format!("{fault:?} at {node}"));
                self.inject(node, fault).await;
                let revert_at = Instant::now() + fault_duration;
                active.push(Injection {
                    revert_at,
                    node,
                    fault,
                });
            }
            tokio::time::sleep(pause).await;
            let due: Vec<Injection> = active
                .extract_if(.., |injection| injection.revert_at <= Instant::now())
                .collect();
            for injection in due {
                self.revert(injection.node, injection.fault).await;
            }
        }
        for injection in active {
            self.revert(injection.node, injection.fault).await;
        }
    }

    fn publish_next(&mut self) {
        self.version += 1;
        publish(&self.store, &self.checker, self.version);
    }

    async fn inject(&mut self, index: usize, fault: Fault) {
        if fault == Fault::KillAll {
            for node in &mut self.nodes {
                node.kill().await;
            }
            return;
        }
        let node = &mut self.nodes[index];
        match fault {
            Fault::Mesh(mode) => node.mesh_relay.set_mode(mode),
            Fault::MeshReset => node.mesh_relay.reset(),
            Fault::MeshMute => node.mesh_relay.mute(),
            Fault::Store(mode) => node.store_relay.set_mode(mode),
            Fault::StoreReset => node.store_relay.reset(),
            Fault::TargetLink(mode) => node.target_relay.set_mode(mode),
            Fault::TargetReset => node.target_relay.reset(),
            Fault::TargetSlow => node.target.set_service_time(Duration::from_millis(400)),
            Fault::TargetReplaced => record_failure(&self.checker, node.target.replace().await),
            Fault::TargetDrained => {
                node.target.drain().await;
            }
            Fault::Kill => node.kill().await,
            Fault::Restart => record_failure(&self.checker, node.terminate().await),
            Fault::Pause => node.signal(Signal::STOP),
            Fault::Reload => node.signal_after_startup(Signal::HUP).await,
            Fault::StoreFails(fault) => self.store.set_fault(Some(fault)),
            Fault::KillAll => {}
        }
    }

    async fn revert(&mut self, index: usize, fault: Fault) {
        if fault == Fault::KillAll {
            for node in &mut self.nodes {
                record_failure(&self.checker, node.spawn());
            }
            return;
        }
        let node = &mut self.nodes[index];
        match fault {
            Fault::Mesh(_) => node.mesh_relay.set_mode(Mode::Pass),
            Fault::Store(_) => node.store_relay.set_mode(Mode::Pass),
            Fault::TargetLink(_) => node.target_relay.set_mode(Mode::Pass),
            Fault::TargetSlow => node.target.set_service_time(SERVICE_TIME),
            Fault::TargetDrained => record_failure(&self.checker, node.target.replace().await),
            Fault::Kill | Fault::Restart => record_failure(&self.checker, node.spawn()),
            Fault::Pause => node.signal(Signal::CONT),
            Fault::StoreFails(_) => self.store.set_fault(None),
            _ => {}
        }
    }

    /// Clears the fault of the store, publishes one more version and gives nodes time to read it.
    pub(super) async fn clear_faults(&mut self) {
        self.store.set_fault(None);
        self.publish_next();
        tokio::time::sleep(Duration::from_millis(500)).await;
    }

    /// Checks that every node serves every route and the newest version within `limit`.
    pub(super) async fn check_recovery(&self, subnet: Subnet, limit: Duration) {
        let deadline = Instant::now() + limit;
        for node in &self.nodes {
            let address = subnet.address(node.index, Endpoint::Node, PORTS.caller);
            let mut paths = vec![marker_prefix(self.version)];
            for service in SERVICES {
                paths.extend([true, false].map(|idempotent| route_prefix(service, idempotent)));
            }
            for path in paths {
                if !is_served_by(address, &format!("{path}x"), &self.checker, deadline).await {
                    self.checker
                        .record_violation(format!("RECOVER: {} does not serve {path}", node.name));
                }
            }
        }
    }

    /// Restarts the nodes one by one, and checks that a request in flight at a node is answered
    /// with status 200 although the node is terminated.
    pub(super) async fn rolling_restart(&mut self, subnet: Subnet) {
        for index in 0..self.nodes.len() {
            let address = subnet.address(self.nodes[index].index, Endpoint::Node, PORTS.caller);
            for node in &self.nodes {
                node.target.set_service_time(RESTART_SERVICE_TIME);
            }
            let path = format!("{}x", route_prefix(SERVICES[0], false));
            let id = new_request_id();
            let (checker, sent_path, sent_id) = (self.checker.clone(), path.clone(), id.clone());
            let request = tokio::spawn(async move {
                let outcome = Connection::new(address)
                    .exchange(&sent_id, &sent_path)
                    .await;
                checker.record_outcome(&sent_id, &sent_path, &outcome);
                outcome
            });
            tokio::time::sleep(IN_FLIGHT_WAIT).await;
            let result = self.nodes[index].terminate().await;
            record_failure(&self.checker, result);
            match request.await {
                Ok(Outcome::Answer { status: 200, .. }) => {}
                outcome => self
                    .checker
                    .record_violation(format!("LOST: {id} {path} ended as {outcome:?}")),
            }
            for node in &self.nodes {
                node.target.set_service_time(SERVICE_TIME);
            }
            record_failure(&self.checker, self.nodes[index].spawn());
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    }

    /// Kills all processes and stops their targets.
    pub(super) async fn stop(mut self) {
        for node in &mut self.nodes {
            node.kill().await;
            node.target.stop();
        }
    }
}

/// Retries a request until it is answered with status 200; returns false after `deadline`.
async fn is_served_by(
    address: std::net::SocketAddr,
    path: &str,
    checker: &Checker,
    deadline: Instant,
) -> bool {
    loop {
        let id = new_request_id();
        let outcome = Connection::new(address).exchange(&id, path).await;
        checker.record_outcome(&id, path, &outcome);
        if matches!(outcome, Outcome::Answer { status: 200, .. }) {
            return true;
        }
        if Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Records a node or target that could not be started or stopped as a violation.
fn record_failure(checker: &Checker, result: crate::Result<()>) {
    if let Err(error) = result {
        checker.record_violation(format!("PROCESS: {error}"));
    }
}
