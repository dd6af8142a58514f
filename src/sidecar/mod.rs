//! A node for a platform that distributes versions of the configuration and whose targets send
//! heartbeats.
//!
//! Compared with [`crate::Node`], which distributes signed bundles itself, a sidecar uses each
//! version as the platform stores it, and needs no registrars, leases or claims.

mod admin;
mod copies;
mod heartbeat;
mod hub;
mod quotas;
mod rollouts;
mod roster_lag;
mod settings;
mod tasks;
mod version_lag;
mod watcher;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, watch};

pub use settings::{Listen, Placement, Settings, Shutdown};

pub use crate::resources::Resources;

use crate::dialect::Dialect;
use crate::directory::{Directory, Locality};
use crate::error::Result;
use crate::forward::Forwarder;
use crate::http::{Capacity, Handler, Server};
use crate::ingress;
use crate::link::{self, Entry, Link};
use crate::memory::Pool;
use crate::platform;
use crate::quota::Quotas;
use crate::roster::{Presence, Suspicions};
use crate::sidecar::hub::Hub;
use crate::sidecar::rollouts::Rollouts;
use crate::store::{Change, Feed, Table};
use crate::target::{Finding, Runner};
use crate::telemetry::{Counters, Histograms, Limits};
use crate::version::Versions;

/// How long before the end of the grace time the node stops waiting for requests and connections.
/// Longer than [`LAST_WRITE_TIMEOUT`], because the entry may still be written after that.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time at the end of a shutdown for the last change of the node's entry to reach the store.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time before the exit that is left for connections to close: callers' requests that are still in
/// flight at its start are refused. It is also the wait after the callers' connections have closed
/// and the target is idle, in which the last replies to other nodes are still sent.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// A running sidecar node.
pub struct Sidecar {
    settings: Settings,
    hub: Arc<Hub>,
    runner: Arc<Runner>,
    forwarder: Arc<Forwarder>,
    caller_listener: ingress::Listener,
    /// Whether the shutdown has begun.
    leaving: Arc<AtomicBool>,
    store: Arc<platform::Store>,
    /// Admin, metrics and heartbeat listeners; closed when dropped.
    _servers: Vec<Server>,
    /// Stops the background tasks when dropped.
    _stop_sender: watch::Sender<()>,
}

impl Sidecar {
    /// Starts a node. Must be called inside a `tokio` runtime.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub fn start(settings: Settings) -> Result<Self> {
        let store = platform::Store::new(settings.platform);
        let dialect: Arc<dyn Dialect> = Arc::new(platform::Dialect);
        let (stop_sender, stopped) = watch::channel(());
        let counters = Arc::new(Counters::new());
        let histograms = Arc::new(Histograms::default());
        let resources = settings.limits;
        let memory = Pool::new(resources.held_bytes(), Limits::new(counters.clone()));
        let suspicions = Arc::new(Suspicions::default());
        let versions = Arc::new(Versions::new(dialect.clone()));
        let (finding_sender, findings) = mpsc::unbounded_channel();
        let runner = Runner::new(
            settings.target,
            dialect.clone(),
            suspicions.clone(),
            finding_sender,
            &memory,
            resources.target_connections(),
        );
        runner.hold();
        let directory = Arc::new(Directory::new(Locality {
            node: settings.node.clone(),
            region: settings.region.clone(),
            data_center: settings.data_center.clone(),
        }));
        let mesh_listener = crate::http::bind(settings.listen.mesh)?;
        let own = announce_start(&settings, &mesh_listener)?;
        let hub = Hub::new(
            own,
            &directory,
            runner.clone(),
            versions.clone(),
            suspicions.clone(),
            store.era().clone(),
            memory.budget().clone(),
            counters.clone(),
        );
        let mut forwarder = Forwarder::new(
            dialect.clone(),
            directory,
            runner.clone(),
            versions.in_force().clone(),
            suspicions,
            counters.clone(),
            histograms.clone(),
            settings.retries,
        );
        if settings.placement.cost {
            runner.estimate_work();
            forwarder = forwarder.with_costs();
        }
        let forwarder = Arc::new(forwarder);
        forwarder.set_caller_service(&settings.service);
        start_quotas(&settings, &forwarder, &hub, &counters, &stopped);
        let leaving = Arc::new(AtomicBool::new(false));
        let rollouts = Rollouts::new(
            hub.clone(),
            store.clone(),
            dialect.clone(),
            counters.clone(),
            settings.rollouts,
        );
        let admin = Arc::new(admin::Admin {
            hub: hub.clone(),
            forwarder: forwarder.clone(),
            leaving: leaving.clone(),
            counters,
            histograms,
            memory: memory.clone(),
        });
        let heartbeats = heartbeat::Handler {
            dialect: dialect.clone(),
            hub: hub.clone(),
        };
        let servers = start_servers(&settings, &admin, heartbeats)?;
        let caller_listener = ingress::Listener::start(
            settings.listen.caller,
            forwarder.clone(),
            memory,
            resources.caller_connections(),
        )?;
        let node = Self {
            settings,
            hub,
            runner,
            forwarder,
            caller_listener,
            leaving,
            store,
            _servers: servers,
            _stop_sender: stop_sender,
        };
        node.spawn_tasks(
            mesh_listener,
            findings,
            rollouts,
            dialect.version_key(),
            &stopped,
        );
        Ok(node)
    }

    /// Spawns the background tasks and the listener for links.
    fn spawn_tasks(
        &self,
        mesh_listener: tokio::net::TcpListener,
        findings: mpsc::UnboundedReceiver<Finding>,
        rollouts: Arc<Rollouts>,
        version_key: &'static str,
        stopped: &watch::Receiver<()>,
    ) {
        let hub = &self.hub;
        let feed: Arc<dyn Feed> = self.store.clone();
        let table: Arc<dyn Table> = self.store.clone();
        let version_table = version_key.split('/').next().unwrap_or_default();
        let orders = rollouts.clone();
        let apply_version_changes = move |hub: &Hub, changes: &[Change], era: u64| {
            tasks::apply_version_changes(hub, changes, version_key, era);
            orders.apply_changes(changes);
        };
        let port = hub.own_entry().address.port();
        let seeds = self.settings.seeds.iter().map(|seed| {
            let mesh_address = SocketAddr::new(seed.ip(), port);
            Arc::new(Link::new(mesh_address, hub.clone()))
        });
        tokio::spawn(link::listen(
            mesh_listener,
            hub.clone(),
            self.settings.limits.unknown_peers(),
            stopped.clone(),
        ));
        tokio::spawn(tasks::follow_table(
            feed.clone(),
            version_table,
            tasks::VERSION_POLLING,
            hub.clone(),
            apply_version_changes,
            stopped.clone(),
        ));
        tokio::spawn(tasks::follow_table(
            feed,
            tasks::NODE_TABLE,
            tasks::ENTRY_POLLING,
            hub.clone(),
            |hub: &Hub, changes: &[Change], _| tasks::apply_entry_changes(hub, changes),
            stopped.clone(),
        ));
        tokio::spawn(tasks::announce(table.clone(), hub.clone(), stopped.clone()));
        tokio::spawn(copies::release_target(hub.clone(), stopped.clone()));
        tokio::spawn(tasks::remove_lost_nodes(
            table,
            hub.clone(),
            stopped.clone(),
        ));
        tokio::spawn(rollouts.clone().exchange(stopped.clone()));
        tokio::spawn(rollouts.drive(stopped.clone()));
        tokio::spawn(tasks::ping_neighbours(hub.clone(), stopped.clone()));
        tokio::spawn(tasks::query_peers(
            seeds.collect(),
            hub.clone(),
            stopped.clone(),
        ));
        tokio::spawn(broadcast_presence(hub.clone(), self.runner.subscribe()));
        tokio::spawn(broadcast_findings(
            hub.clone(),
            self.runner.clone(),
            findings,
        ));
    }

    /// Applies changed settings. The callers' service changes at once, and the shutdown times apply
    /// to the next shutdown; other changes take effect at the next start.
    pub fn reload(&mut self, settings: Settings) {
        if settings == self.settings {
            return;
        }
        log::info!(
            event = "reload",
            service = settings.service.as_str();
            "settings changed; all but service and shutdown times take effect at the next start"
        );
        self.forwarder.set_caller_service(&settings.service);
        self.settings = settings;
    }

    /// Address at which the node accepts requests of callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_listener.address()
    }

    /// Number of the version in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.hub.versions.number()
    }

    /// Shuts the node down: reports that it is not ready, stops accepting requests for the target
    /// once callers have had time to notice, completes the requests in flight, and closes.
    pub async fn leave(mut self) {
        log::info!(event = "stop"; "shutting down");
        let shutdown = self.settings.shutdown;
        let started = tokio::time::Instant::now();
        self.leaving.store(true, Ordering::Relaxed);
        let deadline = started + shutdown.grace.saturating_sub(GRACE_MARGIN);
        let answer_deadline = deadline - CLOSE_GRACE;
        let answered = async {
            // The target still runs, so other nodes may send requests to it during the notice time.
            tokio::time::sleep(shutdown.notice).await;
            self.runner.drain();
            self.forwarder.drain_until(answer_deadline.into_std());
            self.runner.wait_until_idle().await;
            // Callers that have no other node still send requests; these are served meanwhile.
            self.forwarder.wait_until_idle().await;
        };
        let answered = tokio::time::timeout_at(answer_deadline, answered).await;
        let closed = async {
            self.caller_listener.finish().await;
            self.runner.wait_until_idle().await;
            tokio::time::sleep(CLOSE_GRACE).await;
        };
        let closed = tokio::time::timeout_at(deadline, closed).await;
        // The entry stays in the store: after a restart, it shows whether the target has left. The
        // watcher deletes it if the node does not come back.
        let _ = tokio::time::timeout(LAST_WRITE_TIMEOUT, self.hub.wait_until_stored()).await;
        log::info!(
            event = "stopped",
            unanswered = answered.is_err(),
            connections_open = closed.is_err();
            "shutdown finished"
        );
    }
}

/// Builds the node's entry, with the address at which other nodes reach its links, and logs the start.
fn announce_start(settings: &Settings, mesh_listener: &tokio::net::TcpListener) -> Result<Entry> {
    let advertised = settings.listen.advertise;
    let own = own_entry(
        settings,
        advertised.map_or_else(|| mesh_listener.local_addr(), Ok)?,
    );
    log::info!(
        event = "start",
        node = own.node.as_str(),
        incarnation = own.incarnation,
        data_center = own.data_center.as_str(),
        service = settings.service.as_str();
        "sidecar starting"
    );
    Ok(own)
}

/// Applies quotas to the requests of callers, and spawns the task that exchanges their use with other
/// nodes.
fn start_quotas(
    settings: &Settings,
    forwarder: &Forwarder,
    hub: &Arc<Hub>,
    counters: &Arc<Counters>,
    stopped: &watch::Receiver<()>,
) {
    let quotas = Arc::new(Quotas::new(
        settings.quotas,
        &settings.node,
        counters.clone(),
        Instant::now(),
    ));
    forwarder.set_quotas(quotas.clone());
    let exchange = Arc::new(quotas::Exchange::new(&settings.quotas, quotas));
    let _ = hub.quotas.set(exchange.clone());
    tokio::spawn(quotas::exchange(exchange, hub.clone(), stopped.clone()));
}

/// Starts the admin, metrics and heartbeat listeners.
fn start_servers(
    settings: &Settings,
    admin: &Arc<admin::Admin>,
    heartbeats: heartbeat::Handler,
) -> Result<Vec<Server>> {
    let listen = &settings.listen;
    let capacity = Capacity {
        connections: Some(settings.limits.service_connections()),
        pool: None,
        replace_running: true,
    };
    let start = |address, handler: Arc<dyn Handler>| {
        Server::start_limited(address, handler, capacity.clone())
    };
    let mut servers = vec![start(listen.admin, admin.clone())?];
    if let Some(address) = listen.metrics {
        servers.push(start(address, admin.clone())?);
    }
    if let Some(address) = listen.heartbeat {
        servers.push(start(address, Arc::new(heartbeats))?);
    }
    Ok(servers)
}

/// The node's entry at its start: not serving, with the start time as incarnation.
fn own_entry(settings: &Settings, address: SocketAddr) -> Entry {
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = started.unwrap_or_default().as_millis();
    Entry {
        node: settings.node.clone(),
        incarnation: u64::try_from(started).unwrap_or(u64::MAX),
        revision: 0,
        address,
        region: settings.region.clone(),
        data_center: settings.data_center.clone(),
        presence: Presence::Down,
        target: None,
    }
}

/// Announces each change of the target's presence to other nodes.
async fn broadcast_presence(
    hub: Arc<Hub>,
    mut presence: watch::Receiver<(Presence, Option<link::Target>)>,
) {
    while presence.changed().await.is_ok() {
        let (presence, target) = presence.borrow_and_update().clone();
        hub.set_presence(presence, target);
    }
}

/// Notifies other nodes of crashes of the target and of suspected requests that completed.
async fn broadcast_findings(
    hub: Arc<Hub>,
    runner: Arc<Runner>,
    mut findings: mpsc::UnboundedReceiver<Finding>,
) {
    while let Some(finding) = findings.recv().await {
        match finding {
            Finding::Crashed(fingerprints) => {
                let own = hub.own_entry();
                hub.report_crash(runner.latest_crash(&own.node, own.incarnation, fingerprints));
            }
            Finding::Cleared(fingerprint) => hub.report_cleared(fingerprint),
        }
    }
}

#[cfg(test)]
mod tests;
