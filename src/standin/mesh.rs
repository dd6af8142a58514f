//! A whole mesh in one process, on loopback: a platform, nodes and their targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::bundle::{Bundle, Signer, Trust, Version};
use crate::error::{Error, Result};
use crate::node::Node;
use crate::rollout::Operator;
use crate::settings::{Settings, TargetSettings, Timing};
use crate::standin::{Caller, MemoryPlatform, Target, TargetOptions};

const OPERATOR: &str = "alice";
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A region and its data centres.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Names of its data centres.
    pub data_centers: Vec<String>,
}

/// What a [`Mesh`] consists of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Regions with their data centres.
    pub regions: Vec<Region>,
    /// Target groups, assigned round robin to the nodes' targets.
    pub groups: Vec<String>,
    /// Nodes in each data centre.
    pub nodes_per_data_center: usize,
    /// Behaviour of the targets; with `None`, nodes have no target.
    pub target: Option<TargetOptions>,
    /// Intervals and timeouts of the nodes.
    pub timing: Timing,
}

impl Layout {
    /// `regions` regions with `data_centers` data centres each, and a target beside each node, all
    /// in the group `depot`.
    #[must_use]
    pub fn new(regions: usize, data_centers: usize, nodes_per_data_center: usize) -> Self {
        let region = |number: usize| Region {
            name: format!("region-{number}"),
            data_centers: (0..data_centers)
                .map(|data_center| format!("region-{number}-{data_center}"))
                .collect(),
        };
        Self {
            regions: (0..regions).map(region).collect(),
            groups: vec!["depot".into()],
            nodes_per_data_center,
            target: Some(TargetOptions::default()),
            timing: Timing::default(),
        }
    }
}

/// A running mesh.
pub struct Mesh {
    /// The platform.
    pub platform: Arc<MemoryPlatform>,
    /// Nodes; `None` while a node is stopped.
    pub nodes: Vec<Option<Node>>,
    /// Settings by the index of their node, for restarts.
    pub settings: Vec<Settings>,
    /// Targets by the index of their node.
    pub targets: Vec<Option<Target>>,
    /// The operator's key.
    pub signer: Signer,
}

impl Mesh {
    /// Starts the platform, the targets and the nodes. Must be called inside a `tokio` runtime.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub fn start(layout: &Layout) -> Result<Self> {
        let signer = Signer::generate(OPERATOR);
        let trust = Trust::new(1).with(OPERATOR, signer.public_key());
        let mut mesh = Self {
            platform: MemoryPlatform::new(),
            nodes: Vec::new(),
            settings: Vec::new(),
            targets: Vec::new(),
            signer,
        };
        for region in &layout.regions {
            for data_center in &region.data_centers {
                for number in 0..layout.nodes_per_data_center {
                    let name = format!("{data_center}-n{number}");
                    let mut settings =
                        Settings::local(&name, &region.name, data_center, trust.clone());
                    settings.timing = layout.timing;
                    mesh.add_node(settings, layout)?;
                }
            }
        }
        Ok(mesh)
    }

    fn add_node(&mut self, mut settings: Settings, layout: &Layout) -> Result<()> {
        let group = &layout.groups[self.nodes.len() % layout.groups.len()];
        let target = match &layout.target {
            Some(options) => {
                let mut options = options.clone();
                options.name.clone_from(&settings.node);
                Some(Target::start(any_port(), options)?)
            }
            None => None,
        };
        if let (Some(target), Some(options)) = (&target, &layout.target) {
            settings.target = Some(TargetSettings {
                group: group.clone(),
                address: target.address(),
                slots: options.slots,
                connections: options.slots,
            });
        }
        let node = Node::start(settings.clone(), self.platform.handle())?;
        self.nodes.push(Some(node));
        self.settings.push(settings);
        self.targets.push(target);
        Ok(())
    }

    /// Stops a node without announcing its departure. Unlike in a crash, requests in flight may
    /// still be answered.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Restarts a stopped node, on new ports.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub fn restart(&mut self, index: usize) -> Result<()> {
        let settings = self.settings[index].clone();
        let node = Node::start(settings, self.platform.handle())?;
        self.nodes[index] = Some(node);
        Ok(())
    }

    /// A client of the platform that acts as the operator whose key is [`Self::signer`].
    #[must_use]
    pub fn operator(&self) -> Operator {
        Operator::new(self.platform.handle(), OPERATOR)
    }

    /// A running node.
    ///
    /// # Panics
    /// Panics if the node is stopped.
    #[must_use]
    pub fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().expect("the node is running")
    }

    /// A caller that sends its requests to a running node.
    #[must_use]
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.node(index).addresses().caller)
    }

    /// Rolls out a bundle: pushes it as a new version and approves that.
    ///
    /// # Errors
    /// As [`Operator::push`] and [`Operator::approve`].
    pub async fn roll_out(&self, bundle: &Bundle) -> Result<Version> {
        let operator = self.operator();
        let version = operator.push(bundle, None).await?;
        operator.approve(version, &self.signer).await
    }

    /// Waits until every running node has `version` or a higher one in force; returns the time
    /// that each node took, in ascending order.
    ///
    /// # Errors
    /// [`Error::State`] with the number of nodes that don't have it in force within `limit`.
    pub async fn wait_until_in_force(
        &self,
        version: Version,
        limit: Duration,
    ) -> Result<Vec<Duration>> {
        let began = Instant::now();
        let mut durations = Vec::new();
        let mut pending: Vec<&Node> = self.nodes.iter().flatten().collect();
        while !pending.is_empty() {
            pending.retain(|node| {
                let in_force = node.version() >= version;
                if in_force {
                    durations.push(began.elapsed());
                }
                !in_force
            });
            if began.elapsed() > limit {
                let count = pending.len();
                let message =
                    format!("version {version} is not in force on {count} nodes after {limit:?}");
                return Err(Error::State(message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(durations)
    }

    /// Waits until every running node knows as many members as there are running nodes.
    ///
    /// # Errors
    /// [`Error::State`] if that takes longer than `limit`.
    pub async fn wait_for_members(&self, limit: Duration) -> Result<()> {
        let began = Instant::now();
        let running = self.nodes.iter().flatten().count();
        while self
            .nodes
            .iter()
            .flatten()
            .any(|node| node.known_members() != running)
        {
            if began.elapsed() > limit {
                let counts = self.nodes.iter().flatten().map(Node::known_members);
                let message = format!(
                    "nodes know {:?} members instead of {running} after {limit:?}",
                    counts.collect::<Vec<_>>()
                );
                return Err(Error::State(message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// A bundle with four routes to the group `depot`:
///
/// - `/read`: short and idempotent
/// - `/batch`: long and idempotent
/// - `/book`: short and not idempotent
/// - `/carve`: long and not idempotent
///
/// `marker` goes into the bundle's name, so that bundles with different markers have different
/// digests.
///
/// # Panics
/// Panics if the built-in text is not a valid bundle.
#[must_use]
pub fn sample_bundle(marker: u32) -> Bundle {
    let text = format!(
        "[bundle]\nname = sample-{marker}\n\
         [tenant default]\nweight = 1\n\
         [class short]\nkind = short\n[class long]\nkind = long\n\
         [group depot]\nreserved_short_percent = 25\n\
         [service depot]\ngroup = depot\n\
         [route read]\npath = /read\nservice = depot\nclass = short\nidempotent = yes\n\
         [route batch]\npath = /batch\nservice = depot\nclass = long\nidempotent = yes\n\
         timeout_ms = 30000\n\
         [route book]\npath = /book\nservice = depot\nclass = short\nidempotent = no\n\
         [route carve]\npath = /carve\nservice = depot\nclass = long\nidempotent = no\n\
         timeout_ms = 30000\n"
    );
    Bundle::read(&text).expect("the sample bundle is valid")
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
