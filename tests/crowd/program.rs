//! The two kinds of nodes: their platforms, their settings and the configuration that they serve.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use async_trait::async_trait;
use bluebellgap::bundle::{Bundle, Signer};
use bluebellgap::rollout::Operator;
use bluebellgap::standin::{MemoryPlatform, PlatformServer, StoreServer};
use serde_json::{Value, json};

use crate::client::HOST;
use crate::mesh::{
    ADMIN_PORT, CALLER_PORT, CONTROL_PORT, HEARTBEAT_PORT, Limits, MESH_PORT, METRICS_PORT,
    TARGET_PORT,
};

const SERVICES: [&str; 2] = ["near", "far"];
const OPERATOR: &str = "alice";
/// Requests that a node of the product's own mesh runs at its target at a time. Fewer than its
/// connections, which are a quarter of the descriptors.
const SLOTS: usize = 48;

/// A node and the target beside it.
pub struct Place {
    pub index: u8,
    pub name: &'static str,
}

impl Place {
    /// Address of this process's mesh; runs at the same time use others.
    pub fn address(&self, port: u16) -> SocketAddr {
        let range = u8::try_from(std::process::id() % 200).unwrap() + 20;
        SocketAddr::from((Ipv4Addr::new(127, 233, range, self.index), port))
    }
}

/// A kind of node.
#[async_trait]
pub trait Program: Send {
    /// Subcommand that runs a node.
    fn command(&self) -> &'static str;

    /// Starts the platform and puts the configuration there.
    async fn start(&mut self, limits: Limits);

    /// Settings of one node.
    fn settings(&self, place: &Place, limits: Limits) -> String;
}

/// Nodes on a platform with a store and heartbeats.
#[derive(Default)]
pub struct Sidecar(Option<StoreServer>);

#[async_trait]
impl Program for Sidecar {
    fn command(&self) -> &'static str {
        "sidecar"
    }

    async fn start(&mut self, limits: Limits) {
        let store = StoreServer::start().await.unwrap();
        store.put("op", "config", &configuration(limits.body_bytes));
        self.0 = Some(store);
    }

    fn settings(&self, place: &Place, limits: Limits) -> String {
        let name = place.name;
        let store = self.0.as_ref().unwrap().address();
        let listener = |port| place.address(port);
        format!(
            "[node]\nid = {name}\nregion = r\ndata_center = d\nservice = {name}\n\
             [listen]\ncaller = {}\nmesh = {}\nheartbeat = {}\nadmin = {}\nmetrics = {}\n\
             [platform]\naddress = {store}\n[target]\naddress = {}\n\
             [limits]\nmemory_mb = {}\nmax_fds = {}\n",
            listener(CALLER_PORT),
            listener(MESH_PORT),
            listener(HEARTBEAT_PORT),
            listener(ADMIN_PORT),
            listener(METRICS_PORT),
            listener(TARGET_PORT),
            limits.memory_mb,
            limits.max_fds,
        )
    }
}

/// Routes to both services, with times that a busy machine keeps.
fn configuration(max_body_bytes: usize) -> String {
    let mut resources: Vec<Value> = Vec::new();
    for service in SERVICES {
        resources.push(json!({"KindOf": "Services", "Metadata": {"Name": service}, "Spec": {}}));
        resources.push(
            json!({"KindOf": "Routes", "Metadata": {"Name": service}, "Spec": {
            "Host": HOST, "Prefix": format!("/{service}/"), "Type": "safe", "TimeoutS": 20,
            "GoalS": 15, "Priority": 1, "Attempts": 1, "Service": service}}),
        );
    }
    resources.push(json!({"KindOf": "Limits", "Metadata": {}, "Spec": {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": max_body_bytes, "HeaderTimeoutS": 30,
        "IdleTimeoutS": 30}}));
    json!({"Version": 1, "Resources": resources}).to_string()
}

/// Nodes of the product's own mesh, with signed bundles.
pub struct Node {
    signer: Signer,
    platform: Option<PlatformServer>,
}

impl Default for Node {
    fn default() -> Self {
        Self {
            signer: Signer::generate(OPERATOR),
            platform: None,
        }
    }
}

#[async_trait]
impl Program for Node {
    fn command(&self) -> &'static str {
        "node"
    }

    async fn start(&mut self, _: Limits) {
        let platform = MemoryPlatform::new();
        let operator = Operator::new(platform.handle(), OPERATOR);
        let version = operator.push(&bundle(), None).await.unwrap();
        operator.approve(version, &self.signer).await.unwrap();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.platform = Some(PlatformServer::start(any_port, platform).unwrap());
    }

    fn settings(&self, place: &Place, limits: Limits) -> String {
        let name = place.name;
        let platform = self.platform.as_ref().unwrap().address();
        let key = self.signer.public_key();
        let listener = |port| place.address(port);
        format!(
            "[node]\nid = {name}\nregion = r\ndata_center = d\n\
             [listen]\ncaller = {}\nmesh = {}\ncontrol = {}\nadmin = {}\n\
             [platform]\naddress = {platform}\n[operators]\n{OPERATOR} = {key}\n\
             [target]\ngroup = {name}\naddress = {}\nslots = {SLOTS}\n\
             [limits]\nbody_bytes = {}\nresponse_bytes = {}\nmemory_mb = {}\nmax_fds = {}\n",
            listener(CALLER_PORT),
            listener(MESH_PORT),
            listener(CONTROL_PORT),
            listener(ADMIN_PORT),
            listener(TARGET_PORT),
            limits.body_bytes,
            limits.body_bytes,
            limits.memory_mb,
            limits.max_fds,
        )
    }
}

/// Routes to both services, idempotent ones and ones that are not, with times that a busy machine
/// keeps.
fn bundle() -> Bundle {
    let mut text = "[bundle]\nname = crowd\n[class short]\nkind = short\n".to_owned();
    for service in SERVICES {
        let _ = write!(
            text,
            "[group {service}]\n[service {service}]\ngroup = {service}\n\
             [route {service}]\npath = /{service}\nservice = {service}\nclass = short\n\
             idempotent = yes\ntimeout_ms = 20000\n\
             [route {service}-once]\npath = /once/{service}\nservice = {service}\n\
             class = short\nidempotent = no\ntimeout_ms = 20000\n"
        );
    }
    Bundle::read(&text).unwrap()
}
