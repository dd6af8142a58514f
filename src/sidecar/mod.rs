//! A node on a platform that supplies versions, and whose targets send heartbeats.
//!
//! Compared with [`crate::Node`], which distributes signed bundles itself, a sidecar takes each
//! version as the platform holds it and needs no registrars, leases or claims.

mod admin;
mod behind;
mod follow;
mod heartbeat;
mod hub;
mod settings;
mod watcher;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, watch};

pub use settings::{Listen, Settings, Shutdown};

use crate::dialect::Dialect;
use crate::directory::{Directory, Locality};
use crate::error::Result;
use crate::forward::Forwarder;
use crate::http::Server;
use crate::ingress;
use crate::link::{self, Entry, Link};
use crate::platform;
use crate::roster::{Presence, Suspicions};
use crate::sidecar::hub::Hub;
use crate::store::{Change, Feed, Table};
use crate::target::{Finding, Runner};
use crate::telemetry::{Counters, Histograms};
use crate::version::Versions;

/// Time before the end of the grace time at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time to delete the node's entry; whoever finds the node gone deletes it otherwise.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which connections end that have nothing in flight.
const FINISH_TIMEOUT: Duration = Duration::from_millis(300);

/// A running sidecar node.
pub struct Sidecar {
    settings: Settings,
    hub: Arc<Hub>,
    side: Arc<Runner>,
    forwarder: Arc<Forwarder>,
    caller: ingress::Listener,
    leaving: Arc<AtomicBool>,
    store: Arc<platform::Store>,
    /// Listeners that end with the node.
    _servers: Vec<Server>,
    _running: watch::Sender<()>,
}

impl Sidecar {
    /// Starts a node. Must be called inside a `tokio` runtime.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub fn start(settings: Settings) -> Result<Self> {
        let store = platform::Store::new(settings.platform);
        let dialect: Arc<dyn Dialect> = Arc::new(platform::Dialect);
        let (running, stopped) = watch::channel(());
        let counters = Arc::new(Counters::new());
        let histograms = Arc::new(Histograms::default());
        let suspicions = Arc::new(Suspicions::default());
        let versions = Arc::new(Versions::new(dialect.clone()));
        let (report, findings) = mpsc::unbounded_channel();
        let side = Runner::new(settings.target, dialect.clone(), suspicions.clone(), report);
        let directory = Arc::new(Directory::new(Locality {
            node: settings.node.clone(),
            region: settings.region.clone(),
            data_center: settings.data_center.clone(),
        }));
        let mesh = crate::http::bind(settings.listen.mesh)?;
        let advertised = settings.listen.advertise;
        let own = own_entry(&settings, advertised.map_or_else(|| mesh.local_addr(), Ok)?);
        log::info!(
            event = "start",
            node = own.node.as_str(),
            incarnation = own.incarnation,
            data_center = own.data_center.as_str(),
            service = settings.service.as_str();
            ""
        );
        let hub = Hub::new(
            own,
            &directory,
            side.clone(),
            versions.clone(),
            suspicions.clone(),
        );
        let forwarder = Arc::new(Forwarder::new(
            dialect.clone(),
            directory,
            side.clone(),
            versions.in_force().clone(),
            suspicions,
            counters.clone(),
            histograms.clone(),
            settings.retries,
        ));
        forwarder.set_caller_service(&settings.service);
        let leaving = Arc::new(AtomicBool::new(false));
        let admin = Arc::new(admin::Admin {
            hub: hub.clone(),
            leaving: leaving.clone(),
            counters,
            histograms,
        });
        let listen = settings.listen;
        let mut servers = vec![Server::start(listen.admin, admin.clone())?];
        if let Some(address) = listen.metrics {
            servers.push(Server::start(address, admin)?);
        }
        if let Some(address) = listen.heartbeat {
            let registry = heartbeat::Registry {
                dialect: dialect.clone(),
                side: side.clone(),
            };
            servers.push(Server::start(address, Arc::new(registry))?);
        }
        let caller = ingress::Listener::start(listen.caller, forwarder.clone())?;
        let node = Self {
            settings,
            hub,
            side,
            forwarder,
            caller,
            leaving,
            store,
            _servers: servers,
            _running: running,
        };
        node.spawn(mesh, findings, dialect.version_key(), &stopped);
        Ok(node)
    }

    fn spawn(
        &self,
        mesh: tokio::net::TcpListener,
        findings: mpsc::UnboundedReceiver<Finding>,
        version_key: &'static str,
        stopped: &watch::Receiver<()>,
    ) {
        let hub = &self.hub;
        let feed: Arc<dyn Feed> = self.store.clone();
        let table: Arc<dyn Table> = self.store.clone();
        let version_table = version_key.split('/').next().unwrap_or_default();
        let take_version =
            move |hub: &Hub, changes: &[Change]| follow::take_version(hub, changes, version_key);
        let port = hub.own().address.port();
        let seeds = self.settings.seeds.iter().map(|seed| {
            let mesh = SocketAddr::new(seed.ip(), port);
            Arc::new(Link::new(mesh, hub.clone()))
        });
        tokio::spawn(link::listen(mesh, hub.clone(), stopped.clone()));
        tokio::spawn(follow::follow(
            feed.clone(),
            version_table,
            follow::VERSIONS,
            hub.clone(),
            take_version,
            stopped.clone(),
        ));
        tokio::spawn(follow::follow(
            feed,
            follow::NODES,
            follow::ENTRIES,
            hub.clone(),
            follow::take_entries,
            stopped.clone(),
        ));
        tokio::spawn(follow::announce(
            table.clone(),
            hub.clone(),
            stopped.clone(),
        ));
        tokio::spawn(follow::sweep(table, hub.clone(), stopped.clone()));
        tokio::spawn(follow::watch_neighbours(hub.clone(), stopped.clone()));
        tokio::spawn(follow::consult(
            seeds.collect(),
            hub.clone(),
            stopped.clone(),
        ));
        tokio::spawn(follow_target(hub.clone(), self.side.subscribe()));
        tokio::spawn(report_findings(hub.clone(), self.side.clone(), findings));
    }

    /// Takes changed settings. What can change while the node runs is the service of its callers;
    /// other changes take effect at the next start.
    pub fn reload(&mut self, settings: Settings) {
        if settings == self.settings {
            return;
        }
        log::info!(event = "reload", service = settings.service.as_str(); "settings changed");
        self.forwarder.set_caller_service(&settings.service);
        self.settings = settings;
    }

    /// Where the node takes requests of callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Number of the version in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.hub.versions.number()
    }

    /// Says that the node is not ready, takes no new work for the target once callers know, finishes
    /// what is in flight, and ends.
    pub async fn leave(mut self) {
        log::info!(event = "stop"; "leaving");
        let shutdown = self.settings.shutdown;
        let began = tokio::time::Instant::now();
        self.leaving.store(true, Ordering::Relaxed);
        let deadline = began + shutdown.grace.saturating_sub(GRACE_MARGIN);
        let end = deadline - FINISH_TIMEOUT;
        let answered = async {
            // The target still runs, so other nodes may use it until this one has to end.
            tokio::time::sleep(shutdown.notice).await;
            self.side.drain();
            self.forwarder.drain_until(end.into_std());
            self.side.wait_until_idle().await;
            // Callers that have no other node still come, and are served meanwhile.
            self.forwarder.idle().await;
        };
        let answered = tokio::time::timeout_at(end, answered).await;
        let finished = async {
            self.caller.finish().await;
            self.side.wait_until_idle().await;
            tokio::time::sleep(FINISH_TIMEOUT).await;
        };
        let finished = tokio::time::timeout_at(deadline, finished).await;
        if !self.side.has_target() {
            // A node outlives its target only where the VM is given back.
            let withdrawn = follow::withdraw(self.store.as_ref(), &self.settings.node);
            let _ = tokio::time::timeout(WITHDRAW_TIMEOUT, withdrawn).await;
        }
        log::info!(
            event = "stopped",
            unanswered = answered.is_err(),
            connections_open = finished.is_err();
            ""
        );
    }
}

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

/// Announces what becomes of the target.
async fn follow_target(
    hub: Arc<Hub>,
    mut presence: watch::Receiver<(Presence, Option<link::Target>)>,
) {
    while presence.changed().await.is_ok() {
        let (presence, target) = presence.borrow_and_update().clone();
        hub.set_presence(presence, target);
    }
}

/// Passes on what the target side learns about crashing requests.
async fn report_findings(
    hub: Arc<Hub>,
    side: Arc<Runner>,
    mut findings: mpsc::UnboundedReceiver<Finding>,
) {
    while let Some(finding) = findings.recv().await {
        match finding {
            Finding::Crashed(fingerprints) => {
                let own = hub.own();
                hub.report_crash(side.latest_crash(&own.node, own.incarnation, fingerprints));
            }
            Finding::Cleared(fingerprint) => hub.report_cleared(fingerprint),
        }
    }
}

#[cfg(test)]
mod tests;
