//! A node of the soak: its process, its target and the relays around it.

use std::fs::File;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::error::{Error, Result};
use crate::soak::checker::Checker;
use crate::soak::relay::Relay;
use crate::soak::target::Target;
use crate::soak::{DATA_CENTERS, Endpoint, Options, PORTS, SERVICES, Subnet};

/// Time within which a process has to exit after SIGTERM.
pub(super) const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);
/// Time for a new process to install its signal handlers on a busy machine.
const HANDLER_SETUP_TIME: Duration = Duration::from_millis(300);

/// A node with its process, target and relays.
pub(super) struct Node {
    pub name: String,
    pub index: u8,
    /// In front of the node's mesh listener.
    pub mesh_relay: Relay,
    /// From the node to the store.
    pub store_relay: Relay,
    /// From the node to its target.
    pub target_relay: Relay,
    pub target: Target,
    options: Options,
    child: Option<Child>,
    spawned_at: Instant,
}

impl Node {
    pub(super) fn start(
        index: u8,
        subnet: Subnet,
        options: &Options,
        store: SocketAddr,
        checker: &Arc<Checker>,
    ) -> Result<Self> {
        let address = |endpoint, port| subnet.address(index, endpoint, port);
        let service = SERVICES[usize::from(index) % SERVICES.len()];
        let name = format!("n{index}");
        let mesh = address(Endpoint::Node, PORTS.mesh);
        let target = address(Endpoint::Target, PORTS.target);
        let heartbeat = address(Endpoint::Node, PORTS.heartbeat);
        let mut node = Self {
            mesh_relay: Relay::start(address(Endpoint::MeshRelay, PORTS.mesh), mesh)?,
            store_relay: Relay::start(address(Endpoint::StoreRelay, PORTS.store), store)?,
            target_relay: Relay::start(address(Endpoint::TargetRelay, PORTS.target), target)?,
            target: Target::start(service, target, heartbeat, checker)?,
            options: options.clone(),
            child: None,
            spawned_at: Instant::now(),
            name,
            index,
        };
        let settings = render_settings(&node.name, index, service, subnet);
        std::fs::write(node.file("ini"), settings)?;
        node.spawn()?;
        Ok(node)
    }

    fn file(&self, extension: &str) -> std::path::PathBuf {
        self.options
            .folder
            .join(format!("{}.{extension}", self.name))
    }

    /// Starts the process unless it runs already: overlapping faults may each end with a start.
    pub(super) fn spawn(&mut self) -> Result<()> {
        if let Some(child) = &mut self.child
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file("log"))?;
        let child = Command::new(&self.options.program)
            .arg("sidecar")
            .arg("--settings")
            .arg(self.file("ini"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.spawned_at = Instant::now();
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub(super) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id.try_into().ok()?));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends a signal that the process handles, after the time that a new process needs to install
    /// its handlers. Until then it serves no requests, and the signal would terminate it.
    pub(super) async fn signal_after_startup(&self, signal: Signal) {
        tokio::time::sleep(HANDLER_SETUP_TIME.saturating_sub(self.spawned_at.elapsed())).await;
        self.signal(signal);
    }

    /// Kills the process and waits for its exit.
    pub(super) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM and waits for the process to exit.
    ///
    /// Fails unless it exits successfully within [`SHUTDOWN_GRACE`]; it is killed in that case.
    pub(super) async fn terminate(&mut self) -> Result<()> {
        self.signal_after_startup(Signal::TERM).await;
        let Some(child) = self.child.as_mut() else {
            return Ok(());
        };
        let exit = tokio::time::timeout(SHUTDOWN_GRACE, child.wait()).await;
        let clean = matches!(&exit, Ok(Ok(status)) if status.success());
        self.kill().await;
        if clean {
            return Ok(());
        }
        Err(Error::Peer(format!(
            "{} did not exit cleanly after SIGTERM: {exit:?}",
            self.name
        )))
    }
}

/// Settings file of a node. Its peers, the store and the target are reached through relays.
fn render_settings(name: &str, index: u8, service: &str, subnet: Subnet) -> String {
    let (data_center, region) = DATA_CENTERS[usize::from(index) % DATA_CENTERS.len()];
    let listener = |port| subnet.address(index, Endpoint::Node, port);
    // A sidecar connects to the seed's IP address on its own mesh port, whatever port is given.
    let seed = subnet.address(0, Endpoint::MeshRelay, PORTS.heartbeat);
    format!(
        "[node]\nid = {name}\nregion = {region}\ndata_center = {data_center}\nservice = {service}\n\
         [listen]\ncaller = {}\nmesh = {}\nadvertise = {}\nheartbeat = {}\nadmin = {}\n\
         [platform]\naddress = {}\n[target]\naddress = {}\n[seeds]\nfirst = {seed}\n\
         [shutdown]\nnotice_s = 1\ngrace_s = {}\n",
        listener(PORTS.caller),
        listener(PORTS.mesh),
        subnet.address(index, Endpoint::MeshRelay, PORTS.mesh),
        listener(PORTS.heartbeat),
        listener(PORTS.admin),
        subnet.address(index, Endpoint::StoreRelay, PORTS.store),
        subnet.address(index, Endpoint::TargetRelay, PORTS.target),
        SHUTDOWN_GRACE.as_secs(),
    )
}
