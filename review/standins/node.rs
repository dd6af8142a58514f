//! Starts and stops the project's sidecar with the command and the template of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::relay::{self, Cut};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Time between the end of a process and its restart by the platform.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `GraceS` of the sheets: SIGTERM is followed by SIGKILL after it.
pub const GRACE: Duration = Duration::from_secs(6);

/// A machine of the deployment: the sidecar's process and its addresses.
pub struct Node {
    pub name: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    /// Address at which the machine's instance listens.
    pub app: SocketAddr,
    command: Vec<String>,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

/// Port `port` of machine `number` of this script. Each script has loopback addresses of its own, so
/// that scripts which run at the same time don't collide.
pub fn address(number: u8, port: u16) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 16 + high % 128, low, number], port))
}

/// Words of `run` in the deploy file.
fn run_command() -> Vec<String> {
    let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("run = "));
    let words = line.and_then(|line| line.split('"').nth(1));
    let words = words.expect("a command in the deploy file").split(' ');
    words.map(str::to_owned).collect()
}

impl Node {
    /// Writes the settings of a machine and starts its process.
    pub fn start(name: &str, zone: &str, service: &str, store: SocketAddr, folder: &Path) -> Self {
        Self::start_with(name, zone, service, store, folder, None)
    }

    /// The same, with a proxy in front of the port at which other nodes connect.
    pub fn start_behind_relay(
        name: &str,
        zone: &str,
        service: &str,
        store: SocketAddr,
        folder: &Path,
        cut: &Arc<Cut>,
    ) -> Self {
        Self::start_with(name, zone, service, store, folder, Some(cut))
    }

    fn start_with(
        name: &str,
        zone: &str,
        service: &str,
        store: SocketAddr,
        folder: &Path,
        cut: Option<&Arc<Cut>>,
    ) -> Self {
        static LAST_NUMBER: AtomicU8 = AtomicU8::new(0);
        let number = LAST_NUMBER.fetch_add(1, Ordering::SeqCst) + 1;
        let inbound = address(number, 8300);
        let metrics = address(number, 7620);
        let mut node = Self {
            name: name.to_owned(),
            outbound: address(number, 8304),
            control: address(number, 8306),
            ready: address(number, 8302),
            app: address(number, 8301),
            command: run_command(),
            settings: folder.join(format!("{name}.settings")),
            folder: folder.to_owned(),
            child: None,
        };
        let template = fs::read_to_string("deploy/sidecar.ini").expect("the settings template");
        let seeds = template.split("{{#Seeds}}").nth(1).unwrap_or_default();
        let seeds = seeds.split("{{/Seeds}}").next().unwrap_or_default();
        let seeds = format!("{{{{#Seeds}}}}{seeds}{{{{/Seeds}}}}");
        let region = zone.split('-').next().unwrap_or_default();
        let fields = [
            (seeds.as_str(), String::new()),
            ("{{NodeName}}", name.to_owned()),
            ("{{Region}}", region.to_owned()),
            ("{{Zone}}", zone.to_owned()),
            ("{{Service}}", service.to_owned()),
            ("{{Listen.Outbound}}", node.outbound.to_string()),
            ("{{Listen.Inbound}}", inbound.to_string()),
            ("{{Listen.Control}}", node.control.to_string()),
            ("{{Listen.Ready}}", node.ready.to_string()),
            ("{{Ip}}:{{PortRange.0}}", metrics.to_string()),
            ("{{Platform.Address}}", store.to_string()),
            ("{{AppAddr}}", node.app.to_string()),
            ("{{Bounds.GraceS}}", GRACE.as_secs().to_string()),
            ("{{Bounds.RetryRatio}}", "0.2".to_owned()),
            ("{{Bounds.RetrySlack}}", "56".to_owned()),
            ("{{Bounds.RetryWindowS}}", "10".to_owned()),
        ];
        let filled = fields.iter().fold(template, |text, (placeholder, value)| {
            text.replace(placeholder, value)
        });
        let filled = match cut {
            Some(cut) => {
                let advertised = address(number, 7621);
                relay::start(advertised, inbound, name, cut);
                let mesh = format!("mesh = {inbound}\n");
                filled.replace(&mesh, &format!("{mesh}advertise = {advertised}\n"))
            }
            None => filled,
        };
        fs::write(&node.settings, filled).expect("a writable folder");
        node.spawn();
        node
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("a writable folder");
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .env("BLUEBELLGAP_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a writable folder"))
            .stderr(log);
        let child = command.spawn().expect("the program of the deploy file");
        let pids = self.folder.join("pids");
        let known = fs::read_to_string(&pids).unwrap_or_default();
        let _ = fs::write(&pids, format!("{known}{}\n", child.id()));
        self.child = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid().and_then(|pid| i32::try_from(pid).ok()) {
            // SAFETY: sends a signal to a process that this program started and has not reaped.
            unsafe { kill(pid, signal) };
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Waits for the end of the process after a SIGTERM, kills it at the end of the grace time, and
    /// starts it again.
    pub fn finish_restart(&mut self, terminated: Instant) {
        if let Some(mut child) = self.child.take() {
            while matches!(child.try_wait(), Ok(None)) && terminated.elapsed() < GRACE {
                thread::sleep(Duration::from_millis(10));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
        thread::sleep(RESTART_DELAY);
        self.spawn();
    }

    /// Whether the process runs and answers `GET /ready` with 200.
    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET /ready", &[], b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Resident memory of the process in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let status = self.pid().map(|pid| format!("/proc/{pid}/status"));
        let text = status.and_then(|path| fs::read_to_string(path).ok());
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all machines are ready.
pub fn wait_until_ready(nodes: &[&Node], limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if nodes.iter().all(|node| node.is_ready()) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
