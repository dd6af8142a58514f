//! The project's own program beside each instance, started as the deploy file says.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{exchange, plain};

const PROGRAM: &str = "target/release/bluebellgap";
const START_LIMIT: Duration = Duration::from_secs(20);

/// A free port. It is released for the process that gets it.
pub fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound").port()
}

/// What a machine is: its name and place, its service, the address of its instance and of the store.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    /// Loopback address of the machine for links between nodes; the port is the same on all machines.
    pub ip: String,
    pub mesh: u16,
    pub heartbeats: u16,
    pub callers: u16,
    pub ready: u16,
    pub metrics: u16,
    pub app: u16,
    pub store: u16,
    /// Heartbeat addresses of other machines.
    pub seeds: Vec<String>,
}

impl Machine {
    /// A machine with free ports of its own, and the common port for links.
    pub fn new(number: usize, zone: &str, service: &str, mesh: u16, app: u16, store: u16) -> Self {
        let [heartbeats, callers, ready, metrics] = std::array::from_fn(|_| free_port());
        Self {
            name: format!("sidecar-{zone}-1"),
            zone: zone.into(),
            service: service.into(),
            ip: format!("127.0.0.{}", number + 20),
            mesh,
            heartbeats,
            callers,
            ready,
            metrics,
            app,
            store,
            seeds: Vec::new(),
        }
    }
}

pub struct Node {
    child: Child,
    ready: u16,
}

impl Node {
    /// Starts a node with the template of the deploy file, filled in as for a small deployment.
    pub fn start(folder: &Path, machine: &Machine) -> Self {
        let Machine { name, zone, service, ip, mesh, .. } = machine;
        let seeds: String = machine
            .seeds
            .iter()
            .enumerate()
            .map(|(index, seed)| format!("seed{index} = {seed}\n"))
            .collect();
        let settings = format!(
            "[node]\nid = {name}\nregion = bkk\ndata_center = {zone}\nservice = {service}\n\
             [listen]\ncaller = 127.0.0.1:{}\nmesh = {ip}:{mesh}\n\
             heartbeat = 127.0.0.1:{}\nadmin = 127.0.0.1:{}\n\
             metrics = 127.0.0.1:{}\n\
             [platform]\naddress = 127.0.0.1:{}\n[target]\naddress = 127.0.0.1:{}\n\
             [seeds]\n{seeds}[shutdown]\ngrace_s = 6\n\
             [retries]\nratio = 0.2\nslack = 56\nwindow_s = 10\n",
            machine.callers, machine.heartbeats, machine.ready, machine.metrics, machine.store, machine.app
        );
        let file: PathBuf = folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings).expect("settings written");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .expect("log opened");
        let child = Command::new(PROGRAM)
            .arg("sidecar")
            .env("BLUEBELLGAP_NODE_FILE", &file)
            .env(
                "BLUEBELLGAP_FURTHER_SETTINGS",
                "[limits]\nmemory_mb = 260\nmax_fds = 4100\n[placement]\ncost = on\n",
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program is built");
        Self { child, ready: machine.ready }
    }

    /// Sends SIGTERM, and waits for the process to end; `false` if it doesn't within the limit.
    pub fn stop(&mut self, limit: Duration) -> bool {
        let began = Instant::now();
        let signal = format!("kill -TERM {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &signal]).status();
        while began.elapsed() < limit {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Waits until the node says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < START_LIMIT {
            let answer = exchange(self.ready, &plain("GET", "/ready", ""), Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.word(1) == "200") {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
