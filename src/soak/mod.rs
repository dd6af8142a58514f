//! A randomized soak: real node processes on loopback, faults from outside, and checks of what
//! callers and targets see.
//!
//! Every choice comes from the seed, so a seed plays the same faults in the same order again; the
//! processes themselves run in real time. Only processes that the soak started are signalled.

mod caller;
mod fleet;
mod injector;
mod ledger;
mod relay;

mod target;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::error::{Error, Result};
use crate::platform::sample::{self, Route};
use crate::soak::fleet::Node;
use crate::soak::ledger::Ledger;
use crate::standin::StoreServer;

/// Host of all routes.
const HOST: &str = "soak.example";
/// Services of the mesh.
const SERVICES: [&str; 2] = ["alpha", "beta"];
/// Data centres with their regions; nodes take them in turn.
const CENTERS: [(&str, &str); 3] = [("east-a", "east"), ("east-b", "east"), ("west-a", "west")];
/// Time for the mesh to start before faults begin.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the last fault in which everything has to be served again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Ports of each node, the same on all addresses.
const PORTS: Ports = Ports {
    caller: 7_101,
    mesh: 7_102,
    heartbeat: 7_103,
    admin: 7_104,
    store: 7_105,
    target: 7_106,
};

struct Ports {
    caller: u16,
    mesh: u16,
    heartbeat: u16,
    admin: u16,
    store: u16,
    target: u16,
}

/// What to play.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all choices.
    pub seed: u64,
    /// Time with faults.
    pub duration: Duration,
    /// Number of nodes, each with its target.
    pub nodes: u8,
    /// The program that runs a node.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// What was seen.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests answered with success.
    pub served: u64,
    /// Faults that were played.
    pub faults: Vec<String>,
    /// Broken promises, each with what was seen.
    pub violations: Vec<String>,
}

/// Addresses of one run: a part of loopback of its own for each process that plays.
#[derive(Clone, Copy, Debug)]
struct Net(u8);

/// Which address of a node is meant.
#[derive(Clone, Copy, Debug)]
enum Role {
    /// The node itself.
    Node,
    /// Relay in front of its mesh listener.
    Mesh,
    /// Relay between it and the store.
    Store,
    /// Relay between it and its target.
    Target,
    /// Its target.
    Origin,
}

impl Net {
    /// Addresses that no other seed of this or another process is likely to use at the same time.
    fn of(seed: u64) -> Self {
        let part = (u64::from(std::process::id()) + seed) % 211;
        Self(20 + u8::try_from(part).unwrap_or_default())
    }

    fn address(self, node: u8, role: Role, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.0, node + 1, role as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}

/// Plays one seed.
///
/// # Errors
/// Fails if the mesh cannot be started; broken promises are in the report.
pub async fn run(options: &Options) -> Result<Report> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let net = Net::of(options.seed);
    let store = Arc::new(StoreServer::start_at(net.address(
        200,
        Role::Node,
        PORTS.store,
    ))?);
    let ledger = Arc::new(Ledger::default());
    std::fs::create_dir_all(&options.folder)?;
    publish(&store, &ledger, 1);
    let mut nodes = Vec::new();
    for index in 0..options.nodes {
        nodes.push(Node::start(index, net, options, store.address(), &ledger)?);
    }
    tokio::time::sleep(WARM_UP).await;
    let callers = caller::start(net, options.nodes, &ledger, options.seed);
    let mut injector = injector::Injector {
        nodes,
        store,
        ledger: ledger.clone(),
        version: 1,
        faults: Vec::new(),
    };
    injector.play(&mut rng, options.duration).await;
    injector.clear().await;
    injector.check_recovery(net, RECOVERY).await;
    injector.roll(net).await;
    callers.stop().await;
    let faults = std::mem::take(&mut injector.faults);
    injector.stop().await;
    Ok(ledger.report(options.seed, faults))
}

/// Writes a version: routes to both services, and a marker for it and for the one before.
fn publish(store: &StoreServer, ledger: &Ledger, version: u64) {
    let markers = [marker(version), marker(version.saturating_sub(1))];
    let mut routes = Vec::new();
    for service in SERVICES {
        for idempotent in [true, false] {
            routes.push((prefix(service, idempotent), service, idempotent));
        }
    }
    for marker in markers {
        routes.push((marker, SERVICES[0], true));
    }
    let routes: Vec<Route> = routes
        .iter()
        .map(|(prefix, service, idempotent)| Route {
            prefix,
            service,
            idempotent: *idempotent,
        })
        .collect();
    let config = sample::config(version, HOST, &SERVICES, &routes);
    let (table, key) = sample::CONFIG_ROW;
    store.put(table, key, &config);
    ledger.published(version);
}

fn prefix(service: &str, idempotent: bool) -> String {
    format!("/{service}-{}/", if idempotent { "safe" } else { "once" })
}

fn marker(version: u64) -> String {
    format!("/v{version}/")
}

fn failed(what: impl std::fmt::Display) -> Error {
    Error::Peer(what.to_string())
}
