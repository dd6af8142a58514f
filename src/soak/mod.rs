//! A randomized soak test: real node processes on loopback, faults injected from outside, and
//! checks of what callers and targets observe.
//!
//! Faults and the callers' choices are drawn from the seed, so the same seed draws the same faults
//! in the same order. The run itself is in real time, which decides how many faults are drawn, and
//! which are skipped because an earlier one at the same node is still active. Signals go only to
//! processes that the soak started.

mod caller;
mod checker;
mod injector;
mod node;
mod relay;
mod target;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::error::Result;
use crate::platform::sample::{self, Route, Tenant};
use crate::soak::checker::Checker;
use crate::soak::node::Node;
use crate::standin::StoreServer;

/// Host of all routes.
const HOST: &str = "soak.example";
/// Services of the mesh; nodes are assigned to them round-robin.
const SERVICES: [&str; 2] = ["alpha", "beta"];
/// Tenants of the mesh; requests are assigned to them by their ids.
const TENANTS: [Tenant; 2] = [
    Tenant {
        name: "north",
        key: "key-of-north",
    },
    Tenant {
        name: "south",
        key: "key-of-south",
    },
];
/// Data centres with their regions; nodes are assigned to them round-robin.
const DATA_CENTERS: [(&str, &str); 3] =
    [("east-a", "east"), ("east-b", "east"), ("west-a", "west")];
/// Time for the mesh to start before the first fault.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the last fault within which every node has to serve every route again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Node index that gives the store its address; runs use far lower indices for nodes.
const STORE_INDEX: u8 = 200;
/// Listener ports, the same for every node: nodes differ by IP address.
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

/// Parameters of a soak run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Length of the phase in which faults are injected.
    pub duration: Duration,
    /// Number of nodes, each with its own target.
    pub nodes: u8,
    /// Path of the `bluebellgap` binary.
    pub program: PathBuf,
    /// Folder for the settings and logs of the nodes.
    pub folder: PathBuf,
}

/// Result of a soak run.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Violated invariants, each with its evidence.
    pub violations: Vec<String>,
}

/// The loopback range `127.x.0.0/16` of one run; holds `x`.
#[derive(Clone, Copy, Debug)]
struct Subnet(u8);

/// A component of a node with an IP address of its own; the discriminant sets the last octet.
#[derive(Clone, Copy, Debug)]
enum Endpoint {
    /// The node itself.
    Node,
    /// Relay in front of the node's mesh listener.
    MeshRelay,
    /// Relay from the node to the store.
    StoreRelay,
    /// Relay from the node to its target.
    TargetRelay,
    /// The node's target.
    Target,
}

impl Subnet {
    /// Picks a range that concurrent runs in this or another process are unlikely to use.
    fn for_seed(seed: u64) -> Self {
        let offset = (u64::from(std::process::id()) + seed) % 211;
        Self(20 + u8::try_from(offset).unwrap_or_default())
    }

    fn address(self, node: u8, endpoint: Endpoint, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.0, node + 1, endpoint as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}

/// Runs the soak with one seed.
///
/// # Errors
/// Fails if the mesh cannot be started. Violated invariants are no error; the report lists them.
pub async fn run(options: &Options) -> Result<Report> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let subnet = Subnet::for_seed(options.seed);
    let store = Arc::new(StoreServer::start_at(subnet.address(
        STORE_INDEX,
        Endpoint::Node,
        PORTS.store,
    ))?);
    let checker = Arc::new(Checker::default());
    std::fs::create_dir_all(&options.folder)?;
    publish(&store, &checker, 1);
    let mut nodes = Vec::new();
    for index in 0..options.nodes {
        nodes.push(Node::start(
            index,
            subnet,
            options,
            store.address(),
            &checker,
        )?);
    }
    tokio::time::sleep(WARM_UP).await;
    let callers = caller::start(subnet, options.nodes, &checker, options.seed);
    let mut injector = injector::Injector {
        nodes,
        store,
        checker: checker.clone(),
        version: 1,
        faults: Vec::new(),
    };
    injector.inject_faults(&mut rng, options.duration).await;
    injector.clear_faults().await;
    injector.check_recovery(subnet, RECOVERY_LIMIT).await;
    injector.rolling_restart(subnet).await;
    callers.stop().await;
    let faults = std::mem::take(&mut injector.faults);
    injector.stop().await;
    Ok(checker.report(options.seed, faults))
}

/// Publishes a configuration: routes to both services, and marker routes for this version and the
/// one before, by which a prober detects the version that a node has in force.
fn publish(store: &StoreServer, checker: &Checker, version: u64) {
    let markers = [
        marker_prefix(version),
        marker_prefix(version.saturating_sub(1)),
    ];
    let mut routes = Vec::new();
    for service in SERVICES {
        for idempotent in [true, false] {
            routes.push((route_prefix(service, idempotent), service, idempotent));
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
    let config = sample::config(version, HOST, &SERVICES, &routes, &TENANTS);
    let (table, key) = sample::CONFIG_ROW;
    store.put(table, key, &config);
    checker.set_newest_version(version);
}

/// Path prefix of a service's idempotent or non-idempotent route.
fn route_prefix(service: &str, idempotent: bool) -> String {
    format!("/{service}-{}/", if idempotent { "safe" } else { "once" })
}

/// Path prefix of a version's marker route.
fn marker_prefix(version: u64) -> String {
    format!("/v{version}/")
}

/// Tenant to which the request with this id belongs.
fn tenant_of(request_id: &str) -> Tenant<'static> {
    TENANTS[request_id.bytes().map(usize::from).sum::<usize>() % TENANTS.len()]
}
