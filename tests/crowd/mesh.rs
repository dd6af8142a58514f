//! Nodes in separate processes, a platform and a target beside each node.

use std::ffi::OsString;
use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::client;
use crate::program::{Place, Program};
use crate::target;

/// Environment variable with the path of another build of the program to check.
const OTHER_BUILD: &str = "BLUEBELLGAP_CROWD_PROGRAM";
/// Ports of a node's listeners and of the target beside it.
pub const CALLER_PORT: u16 = 7_201;
pub const MESH_PORT: u16 = 7_202;
pub const HEARTBEAT_PORT: u16 = 7_203;
pub const ADMIN_PORT: u16 = 7_204;
pub const TARGET_PORT: u16 = 7_205;
pub const CONTROL_PORT: u16 = 7_206;
pub const METRICS_PORT: u16 = 7_207;
/// Lines of each node's log that are printed for a case that fails.
const LOG_LINES: usize = 40;
/// Interval at which descriptors are counted while a crowd is connected.
const COUNT_PERIOD: Duration = Duration::from_millis(200);

/// Time in which a node that lives has to answer an ordinary request, however busy the machine is.
const ANSWER_LIMIT: Duration = Duration::from_secs(40);
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Body of an ordinary request.
const ORDINARY_BODY: [u8; 1_000] = [b'y'; 1_000];

/// What a node may use.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Memory that the node's settings allow, in MB.
    pub memory_mb: usize,
    /// Descriptors that the node's settings allow.
    pub max_fds: usize,
    /// Bound on the peak memory that the test measures, in bytes. Higher than the settings allow,
    /// because programs that are built without optimisation are larger.
    pub max_resident: usize,
}

/// A running node; killed on drop.
struct Node {
    name: &'static str,
    child: Child,
    /// Address for callers.
    callers: SocketAddr,
    /// Address for operators.
    admin: SocketAddr,
    /// Most descriptors that were counted.
    descriptors: usize,
}

pub struct Mesh {
    limits: Limits,
    nodes: Vec<Node>,
    _program: Box<dyn Program>,
    _targets: JoinSet<()>,
    folder: tempfile::TempDir,
}

impl Mesh {
    /// Starts a mesh and waits until an ordinary request is answered over each route. Its nodes are
    /// `near`, `far` and those of `more_entries`. Clients use all but `far`.
    pub async fn start(
        case: &str,
        mut program: Box<dyn Program>,
        more_entries: &[&'static str],
        limits: Limits,
    ) -> Self {
        let folder = tempfile::tempdir().unwrap();
        program.start(limits).await;
        let path = std::env::var_os(OTHER_BUILD);
        let path = path.unwrap_or_else(|| OsString::from(env!("CARGO_BIN_EXE_bluebellgap")));
        let mut nodes = Vec::new();
        let mut targets = JoinSet::new();
        for (index, name) in (1..).zip(["near", "far"].iter().chain(more_entries)) {
            let place = Place { index, name };
            let (target, heartbeat) = (place.address(TARGET_PORT), place.address(HEARTBEAT_PORT));
            target::start(&mut targets, name, target, heartbeat);
            let file = folder.path().join(format!("{name}.ini"));
            std::fs::write(&file, program.settings(&place, limits)).unwrap();
            let log = File::create(folder.path().join(format!("{name}.log"))).unwrap();
            let child = Command::new(&path)
                .args([program.command(), "--settings", file.to_str().unwrap()])
                .stdin(Stdio::null())
                .stdout(log.try_clone().unwrap())
                .stderr(log)
                .spawn()
                .unwrap();
            nodes.push(Node {
                name,
                child,
                callers: place.address(CALLER_PORT),
                admin: place.address(ADMIN_PORT),
                descriptors: 0,
            });
        }
        let mesh = Self {
            limits,
            nodes,
            _program: program,
            _targets: targets,
            folder,
        };
        for path in ["/near/", "/far/"] {
            assert!(mesh.answers(path).await, "{case}: no start over {path}");
        }
        eprintln!("{case}: at the start {}", mesh.usage());
        mesh
    }

    /// Addresses at which the clients send their requests.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.nodes.iter().filter(|node| node.name != "far");
        entries.map(|node| node.callers).collect()
    }

    /// Counts descriptors for `time`.
    pub async fn count_descriptors(&mut self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time {
            for node in &mut self.nodes {
                node.descriptors = node.descriptors.max(node.open_descriptors());
            }
            tokio::time::sleep(COUNT_PERIOD).await;
        }
    }

    /// Checks that all nodes live and stayed within the bounds, and that ordinary requests and health
    /// checks are answered.
    pub async fn check(&mut self, case: &str) -> Result<(), String> {
        self.count_descriptors(COUNT_PERIOD).await;
        let answered = [self.answers("/near/").await, self.answers("/far/").await];
        let ready = self.are_ready().await;
        eprintln!("{case}: {}; answered {answered:?}", self.usage());
        for node in &mut self.nodes {
            if let Ok(Some(status)) = node.child.try_wait() {
                return Err(format!("{} ended: {status}", node.name));
            }
            let resident = node.peak_memory();
            if resident > self.limits.max_resident {
                return Err(format!("{} used {resident} bytes", node.name));
            }
            let descriptors = node.descriptors.max(node.open_descriptors());
            if descriptors > self.limits.max_fds {
                return Err(format!("{} had {descriptors} descriptors", node.name));
            }
        }
        if !ready {
            return Err("not all nodes say that they are ready".into());
        }
        if answered != [true, true] {
            return Err(format!("ordinary requests answered: {answered:?}"));
        }
        Ok(())
    }

    /// Whether all nodes answer that they are ready.
    async fn are_ready(&self) -> bool {
        let started = Instant::now();
        for node in &self.nodes {
            while client::check_health(node.admin).await != Some(200) {
                if started.elapsed() > ANSWER_LIMIT {
                    return false;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        true
    }

    /// Whether an ordinary request is answered. Like other clients, it is sent again if it is refused.
    async fn answers(&self, path: &str) -> bool {
        let started = Instant::now();
        while started.elapsed() < ANSWER_LIMIT {
            if client::request(self.nodes[0].callers, path, &ORDINARY_BODY).await == Some(200) {
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Prints the last lines that each node logged, and its status.
    pub async fn print_logs(&self) {
        for node in &self.nodes {
            for line in client::status(node.admin).await.lines() {
                eprintln!("{}: {line}", node.name);
            }
            let log = self.folder.path().join(format!("{}.log", node.name));
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let lines: Vec<_> = text.lines().rev().take(LOG_LINES).collect();
            for line in lines.into_iter().rev() {
                eprintln!("{}: {line}", node.name);
            }
        }
    }

    fn usage(&self) -> String {
        let usage = self.nodes.iter().map(|node| {
            format!(
                "{} {} kB, {} descriptors",
                node.name,
                node.peak_memory() / 1_000,
                node.descriptors.max(node.open_descriptors())
            )
        });
        usage.collect::<Vec<_>>().join("; ")
    }
}

impl Node {
    /// Peak of the resident memory in bytes; 0 if the process has ended.
    fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0_usize) * 1024
    }

    /// Number of open descriptors.
    fn open_descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.map_or(0, Iterator::count)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
