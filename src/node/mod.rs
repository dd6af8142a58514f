//! One node: assembly of the parts, start and shutdown.

mod admin;
mod control;
mod core;
mod delivery;
mod lead;
mod membership;
mod source;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::bundle::Version;
use crate::error::Result;
use crate::http::Server;
use crate::proxy;
use crate::roster::Presence;
use crate::settings::Settings;
use crate::store::Platform;

pub(crate) use core::Core;

/// Addresses that a running node listens at.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Addresses {
    /// Calls from callers and from the node's own target.
    pub caller: SocketAddr,
    /// Calls from other nodes.
    pub mesh: SocketAddr,
    /// Control messages.
    pub control: SocketAddr,
    /// Operators' look at this node.
    pub admin: SocketAddr,
}

/// A running node. Dropping it stops it at once; [`Node::leave`] stops it gracefully.
pub struct Node {
    core: Arc<Core>,
    caller: Server,
    mesh: Server,
    admin: Server,
    addresses: Addresses,
    control: control::Listener,
    running: watch::Sender<()>,
}

impl Node {
    /// Starts a node at the platform whose ports are given. Must be called inside a `tokio`
    /// runtime.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub fn start(settings: Settings, platform: Platform) -> Result<Self> {
        let listen = settings.listen;
        let (running, stopped) = watch::channel(());
        let control = control::Listener::bind(listen.control)?;
        let mesh_port = Server::reserve(listen.mesh)?;
        let core = Core::new(settings, platform, mesh_port.address()?, control.address());
        let mesh = mesh_port.start(proxy::mesh_handler(core.proxy().clone()))?;
        let caller = Server::start(listen.caller, proxy::caller_handler(core.proxy().clone()))?;
        let admin = Server::start(listen.admin, admin::handler(core.clone()))?;
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
        tokio::spawn(lead::run(core.clone(), stopped));
        Ok(Self {
            core,
            caller,
            mesh,
            admin,
            addresses,
            control,
            running,
        })
    }

    /// Addresses that the node listens at.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Number of the version in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> Version {
        self.core.agent.version()
    }

    /// Follows the version in force.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Version> {
        self.core.agent.watch()
    }

    /// Whether this node holds its data centre's lease.
    #[must_use]
    pub fn is_registrar(&self) -> bool {
        self.core.lease.acting().is_some()
    }

    /// Number of nodes that this node knows of.
    #[must_use]
    pub fn known_members(&self) -> usize {
        self.core.roster().centers.values().map(Vec::len).sum()
    }

    /// Number of targets of `group` that this node would send new work to.
    #[must_use]
    pub fn serving_targets(&self, group: &str) -> usize {
        let roster = self.core.roster();
        let members = roster.groups.get(group).map_or(&[][..], Vec::as_slice);
        let serving = members.iter().filter(|m| m.presence == Presence::Serving);
        serving.count()
    }

    /// Control bytes exchanged on connections that peers opened, by the peers' region.
    #[must_use]
    pub fn control_bytes(&self) -> std::collections::BTreeMap<String, u64> {
        self.core.traffic.snapshot()
    }

    /// Bundle bytes that this node read from the platform's object store.
    #[must_use]
    pub fn store_bytes(&self) -> u64 {
        self.core.agent.store_bytes()
    }

    /// Value of a counter, 0 if it was never counted.
    #[must_use]
    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.core.counters.snapshot();
        counters
            .get(&format!("bluebellgap.{name}"))
            .copied()
            .unwrap_or(0)
    }

    /// Announces departure, takes no new work, finishes what is in flight and stops. Waits at
    /// most [`crate::settings::Timing::drain`] for requests in flight.
    pub async fn leave(self) {
        log::info!("leaving");
        let timing = self.core.settings.timing;
        self.core.proxy().drain();
        self.core.set_presence(Presence::Leaving);
        tokio::time::sleep(timing.departure).await;
        let drained = async {
            self.core.proxy().wait_idle().await;
            tokio::join!(self.caller.close().finished(), self.mesh.close().finished());
        };
        if tokio::time::timeout(timing.drain, drained).await.is_err() {
            log::warn!("requests were still in flight after {:?}", timing.drain);
        }
        let _ = self.core.lease.release().await;
        drop(self.running);
        drop(self.control);
        let _ = tokio::time::timeout(Duration::from_secs(1), self.admin.close().finished()).await;
        log::info!("left");
    }
}
