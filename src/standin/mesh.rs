//! A whole mesh in one process, on loopback: platform, targets and nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::bundle::{Bundle, Signer, Trust, Version};
use crate::error::{Error, Result};
use crate::node::Node;
use crate::rollout::Operator;
use crate::settings::{Settings, TargetSettings, Timing};
use crate::standin::{Caller, Memory, Target, TargetOptions};

const OPERATOR: &str = "alice";
const POLL: Duration = Duration::from_millis(5);

/// A region and its data centres.
#[derive(Clone, Debug)]
pub struct Place {
    /// Region.
    pub region: String,
    /// Data centres.
    pub data_centers: Vec<String>,
}

/// What a mesh consists of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Regions with their data centres.
    pub places: Vec<Place>,
    /// Target groups; every node has a target of one of them, in turn.
    pub groups: Vec<String>,
    /// Nodes in each data centre.
    pub nodes_per_center: usize,
    /// Behaviour of the targets; nodes have no target where absent.
    pub target: Option<TargetOptions>,
    /// Periods and bounds of the nodes.
    pub timing: Timing,
}

impl Layout {
    /// `regions` regions with `centers` data centres each.
    #[must_use]
    pub fn new(regions: usize, centers: usize, nodes_per_center: usize) -> Self {
        let place = |region: usize| Place {
            region: format!("region-{region}"),
            data_centers: (0..centers)
                .map(|c| format!("region-{region}-{c}"))
                .collect(),
        };
        Self {
            places: (0..regions).map(place).collect(),
            groups: vec!["depot".into()],
            nodes_per_center,
            target: Some(TargetOptions::default()),
            timing: Timing::default(),
        }
    }
}

/// A running mesh.
pub struct Mesh {
    /// The platform.
    pub memory: Arc<Memory>,
    /// Nodes by index; `None` once stopped.
    pub nodes: Vec<Option<Node>>,
    /// Settings of the nodes, for starting them again.
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
            memory: Memory::new(),
            nodes: Vec::new(),
            settings: Vec::new(),
            targets: Vec::new(),
            signer,
        };
        for place in &layout.places {
            for center in &place.data_centers {
                for number in 0..layout.nodes_per_center {
                    let name = format!("{center}-n{number}");
                    let mut settings = Settings::local(&name, &place.region, center, trust.clone());
                    settings.timing = layout.timing;
                    mesh.add(settings, layout)?;
                }
            }
        }
        Ok(mesh)
    }

    fn add(&mut self, mut settings: Settings, layout: &Layout) -> Result<()> {
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
        let node = Node::start(settings.clone(), self.memory.platform())?;
        self.nodes.push(Some(node));
        self.settings.push(settings);
        self.targets.push(target);
        Ok(())
    }

    /// Stops a node at once, as a crash would.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Starts a stopped node again, on new ports.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub fn restart(&mut self, index: usize) -> Result<()> {
        let settings = self.settings[index].clone();
        let node = Node::start(settings, self.memory.platform())?;
        self.nodes[index] = Some(node);
        Ok(())
    }

    /// The operator at the platform.
    #[must_use]
    pub fn operator(&self) -> Operator {
        Operator::new(self.memory.platform(), OPERATOR)
    }

    /// A running node.
    ///
    /// # Panics
    /// Panics if the node is stopped.
    #[must_use]
    pub fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().expect("the node is running")
    }

    /// A caller of a running node.
    #[must_use]
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.node(index).addresses().caller)
    }

    /// Pushes and approves a bundle.
    ///
    /// # Errors
    /// As [`Operator::push`] and [`Operator::approve`].
    pub async fn roll(&self, bundle: &Bundle) -> Result<Version> {
        let operator = self.operator();
        let version = operator.push(bundle, None).await?;
        operator.approve(version, &self.signer).await
    }

    /// Waits until every running node has `version` or a higher one in force; returns the time
    /// that each needed, in ascending order.
    ///
    /// # Errors
    /// [`Error::State`] names the first node that did not follow within `limit`.
    pub async fn converged(&self, version: Version, limit: Duration) -> Result<Vec<Duration>> {
        let began = Instant::now();
        let mut times = Vec::new();
        let mut behind: Vec<&Node> = self.nodes.iter().flatten().collect();
        while !behind.is_empty() {
            behind.retain(|node| {
                let done = node.version() >= version;
                if done {
                    times.push(began.elapsed());
                }
                !done
            });
            if began.elapsed() > limit {
                let count = behind.len();
                let message = format!("{count} nodes have not version {version} in force");
                return Err(Error::State(message));
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(times)
    }

    /// Waits until every running node knows of all running nodes.
    ///
    /// # Errors
    /// [`Error::State`] if that takes longer than `limit`.
    pub async fn acquainted(&self, limit: Duration) -> Result<()> {
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
                    "known members: {:?} of {running}",
                    counts.collect::<Vec<_>>()
                );
                return Err(Error::State(message));
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }
}

/// A bundle with one short idempotent route `/read`, one short route `/book` that is not, and one
/// long route `/carve` that is not, all to the group `depot`. `marker` makes its digest differ.
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
