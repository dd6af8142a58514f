//! Cost of the control plane by number of nodes, for `docs/CAPACITY.md`.

use std::time::Duration;

use crate::bench::fixture;
use crate::error::Result;
use crate::standin::{Layout, Mesh, sample_bundle};

const NODES: [usize; 5] = [10, 25, 50, 100, 150];
const IDLE_WINDOW: Duration = Duration::from_secs(10);
const ROLLOUTS: u32 = 10;
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(20);
/// Time for the traffic of the start and the first rollout to end before the idle cost is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Unit of the processor times in `/proc/self/stat`: 100 ticks a second.
const MILLIS_PER_TICK: f64 = 10.0;

/// Prints processor time, memory and control bytes per node, and the registrar's bytes and the
/// platform's load, for one data centre of several sizes. Idle cost is per second, rollout cost per
/// rollout.
///
/// # Errors
/// Fails if the mesh does not start, or if a version is not in force on all nodes within the limit.
pub async fn control() -> Result<()> {
    println!(
        "nodes  idle cpu ms/s/node  idle B/s/node  registrar B/s  reads/s  writes/s  \
         roll cpu ms/node  roll B/node  KB/node"
    );
    let empty_kb = resident_kb();
    for nodes in NODES {
        let mut layout = Layout::new(1, 1, nodes);
        layout.target = None;
        let mesh = fixture::start_mesh(&layout).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let node_count = f64::from(u32::try_from(nodes).unwrap_or(1));
        let seconds = IDLE_WINDOW.as_secs_f64();
        let before = Usage::of(&mesh);
        tokio::time::sleep(IDLE_WINDOW).await;
        let idle = Usage::of(&mesh).since(&before);
        let before = Usage::of(&mesh);
        for rollout in 0..ROLLOUTS {
            let version = mesh.roll_out(&sample_bundle(rollout + 2)).await?;
            mesh.wait_until_in_force(version, CONVERGENCE_LIMIT).await?;
        }
        let rollouts = Usage::of(&mesh).since(&before);
        let node_rollouts = node_count * f64::from(ROLLOUTS);
        println!(
            "{nodes:>5}  {:>18.2}  {:>13.0}  {:>13.0}  {:>7.1}  {:>8.1}  {:>16.2}  {:>11.0}  {:>7.0}",
            idle.cpu_ms / seconds / node_count,
            idle.bytes / seconds / node_count,
            idle.registrar_bytes / seconds,
            idle.reads / seconds,
            idle.writes / seconds,
            rollouts.cpu_ms / node_rollouts,
            rollouts.bytes / node_rollouts,
            (resident_kb() - empty_kb) / node_count,
        );
    }
    Ok(())
}

/// Resources used since the start of the process.
struct Usage {
    cpu_ms: f64,
    bytes: f64,
    registrar_bytes: f64,
    reads: f64,
    writes: f64,
}

impl Usage {
    fn of(mesh: &Mesh) -> Self {
        let bytes = |node: &crate::Node| node.control_bytes().values().sum::<u64>();
        let nodes = || mesh.nodes.iter().flatten();
        let registrars = nodes().filter(|node| node.is_registrar());
        Self {
            cpu_ms: cpu_ms(),
            bytes: to_f64(nodes().map(bytes).sum()),
            registrar_bytes: to_f64(registrars.map(bytes).sum()),
            reads: to_f64(mesh.platform.reads()),
            writes: to_f64(mesh.platform.writes()),
        }
    }

    fn since(&self, before: &Self) -> Self {
        Self {
            cpu_ms: self.cpu_ms - before.cpu_ms,
            bytes: self.bytes - before.bytes,
            registrar_bytes: self.registrar_bytes - before.registrar_bytes,
            reads: self.reads - before.reads,
            writes: self.writes - before.writes,
        }
    }
}

/// `number` as a float, at most `u32::MAX`.
fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Processor time of this process so far, in milliseconds.
fn cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    // `utime` and `stime`, fields 14 and 15 of the line; index 0 is field 3, after the name.
    let (user, system) = (fields.get(11), fields.get(12));
    (user.unwrap_or(&0.0) + system.unwrap_or(&0.0)) * MILLIS_PER_TICK
}

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident_line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kilobytes = resident_line.split_whitespace().nth(1);
    kilobytes
        .and_then(|number| number.parse().ok())
        .unwrap_or(0.0)
}
