//! A node of the mesh: its components, start and shutdown.

mod admin;
mod control;
mod core;
mod delivery;
mod membership;
mod platform;
mod registrar;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::bundle::Version;
use crate::error::Result;
use crate::http::{Capacity, MAX_BUFFER_BYTES, Server};
use crate::proxy;
use crate::roster::Presence;
use crate::settings::Settings;
use crate::store::Platform;

pub(crate) use core::Core;

/// Addresses of a running node's listeners.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Addresses {
    /// For requests from callers and from the node's own target.
    pub caller: SocketAddr,
    /// For requests and bundle fetches from other nodes.
    pub mesh: SocketAddr,
    /// For control messages from other nodes.
    pub control: SocketAddr,
    /// For the node's status and readiness, as read by operators.
    pub admin: SocketAddr,
}

/// A running node. Dropping it stops it immediately; [`Node::leave`] stops it gracefully.
pub struct Node {
    core: Arc<Core>,
    caller: Server,
    mesh: Server,
    admin: Server,
    addresses: Addresses,
    control: control::Listener,
    /// Never sent on; the node's tasks end once it is dropped.
    shutdown: watch::Sender<()>,
}

impl Node {
    /// Starts a node that uses the given platform. Must be called within a `tokio` runtime.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub fn start(settings: Settings, platform: Platform) -> Result<Self> {
        let listen = settings.listen;
        let (shutdown, stopped) = watch::channel(());
        let control = control::Listener::bind(listen.control)?;
        let reserved_mesh = Server::bind(listen.mesh)?;
        let core = Core::new(
            settings,
            platform,
            reserved_mesh.address()?,
            control.address(),
        );
        let resources = core.settings.resources;
        let capacity = Capacity {
            connections: Some(resources.buffered_connections(MAX_BUFFER_BYTES)),
            pool: Some(core.memory.clone()),
            replace_running: false,
        };
        let mesh_handler = proxy::mesh_handler(core.proxy().clone());
        let mesh = reserved_mesh.start(mesh_handler, capacity.clone())?;
        let caller_handler = proxy::caller_handler(core.proxy().clone());
        let caller = Server::start_limited(listen.caller, caller_handler, capacity)?;
        let capacity = Capacity {
            connections: Some(resources.service_connections()),
            pool: None,
            replace_running: true,
        };
        let admin = Server::start_limited(listen.admin, admin::handler(core.clone()), capacity)?;
        let addresses = Addresses {
            caller: caller.address(),
            mesh: mesh.address(),
            control: control.address(),
            admin: admin.address(),
        };
        control.start(core.clone(), stopped.clone());
        core.proxy().start(stopped.clone());
        tokio::spawn(membership::run(core.clone(), stopped.clone()));
        tokio::spawn(membership::probe_neighbours(core.clone(), stopped.clone()));
        tokio::spawn(membership::pull_from_peers(core.clone(), stopped.clone()));
        tokio::spawn(registrar::run(core.clone(), stopped));
        Ok(Self {
            core,
            caller,
            mesh,
            admin,
            addresses,
            control,
            shutdown,
        })
    }

    /// Addresses of the node's listeners.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Number of the version in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> Version {
        self.core.agent.version()
    }

    /// Subscribes to changes of the version in force.
    #[must_use]
    pub fn subscribe_version(&self) -> watch::Receiver<Version> {
        self.core.agent.subscribe_version()
    }

    /// Whether this node acts as the registrar of its data centre.
    #[must_use]
    pub fn is_registrar(&self) -> bool {
        self.core.lease.presumed_holder().is_some()
    }

    /// Number of members in this node's copy of the roster, itself included.
    #[must_use]
    pub fn known_members(&self) -> usize {
        self.core.roster().data_centers.values().map(Vec::len).sum()
    }

    /// Number of targets of `group` that accept new requests, according to this node's roster.
    #[must_use]
    pub fn serving_targets(&self, group: &str) -> usize {
        let roster = self.core.roster();
        let members = roster.groups.get(group).map_or(&[][..], Vec::as_slice);
        let serving = members.iter().filter(|m| m.presence == Presence::Serving);
        serving.count()
    }

    /// Bytes exchanged on control connections that peers opened, by the peers' region.
    #[must_use]
    pub fn control_bytes(&self) -> std::collections::BTreeMap<String, u64> {
        self.core.traffic.snapshot()
    }

    /// Bundle bytes that this node read from the platform's object store.
    #[must_use]
    pub fn store_bytes(&self) -> u64 {
        self.core.agent.store_bytes()
    }

    /// Value of a counter, 0 if it was never incremented.
    #[must_use]
    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.core.counters.snapshot();
        counters
            .get(&format!("bluebellgap.{name}"))
            .copied()
            .unwrap_or(0)
    }

    /// Announces the departure, accepts no new requests, waits for the requests in flight and
    /// stops. Waits at most [`crate::settings::Timing::drain`] for requests in flight.
    pub async fn leave(self) {
        log::info!("shutdown started; announcing the departure");
        let timing = self.core.settings.timing;
        self.core.proxy().drain();
        self.core.set_presence(Presence::Leaving);
        tokio::time::sleep(timing.departure).await;
        let drained = async {
            self.core.proxy().wait_until_idle().await;
            tokio::join!(self.caller.close().finished(), self.mesh.close().finished());
        };
        if tokio::time::timeout(timing.drain, drained).await.is_err() {
            log::warn!(
                "requests still in flight after {:?}; stopping anyway",
                timing.drain
            );
        }
        let _ = self.core.lease.release().await;
        drop(self.shutdown);
        drop(self.control);
        let _ = tokio::time::timeout(Duration::from_secs(1), self.admin.close().finished()).await;
        log::info!("shutdown complete");
    }
}
