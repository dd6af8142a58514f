//! Cost of control work against the number of nodes, for `docs/CAPACITY.md`.

use std::time::Duration;

use crate::bench::fixture;
use crate::error::Result;
use crate::standin::{Layout, Mesh, sample_bundle};

const NODES: [usize; 5] = [10, 25, 50, 100, 150];
const WINDOW: Duration = Duration::from_secs(10);
const ROLLS: u32 = 10;
const LIMIT: Duration = Duration::from_secs(20);
const MILLIS_PER_TICK: f64 = 10.0;

/// Prints, for one data centre of several sizes, processor time, memory, bytes and platform load
/// per node, idle and per roll.
///
/// # Errors
/// Fails if a roll does not take hold.
pub async fn control() -> Result<()> {
    println!(
        "nodes  idle cpu ms/s/node  idle B/s/node  registrar B/s  reads/s  writes/s  \
         roll cpu ms/node  roll B/node  KB/node"
    );
    let empty_kb = resident_kb();
    for nodes in NODES {
        let mut layout = Layout::new(1, 1, nodes);
        layout.target = None;
        let mesh = fixture::started(&layout).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let count = f64::from(u32::try_from(nodes).unwrap_or(1));
        let seconds = WINDOW.as_secs_f64();
        let before = Sample::of(&mesh);
        tokio::time::sleep(WINDOW).await;
        let idle = Sample::of(&mesh).since(&before);
        let before = Sample::of(&mesh);
        for roll in 0..ROLLS {
            let version = mesh.roll(&sample_bundle(roll + 2)).await?;
            mesh.converged(version, LIMIT).await?;
        }
        let rolls = Sample::of(&mesh).since(&before);
        let per_roll = count * f64::from(ROLLS);
        println!(
            "{nodes:>5}  {:>18.2}  {:>13.0}  {:>13.0}  {:>7.1}  {:>8.1}  {:>16.2}  {:>11.0}  {:>7.0}",
            idle.cpu_ms / seconds / count,
            idle.bytes / seconds / count,
            idle.registrar_bytes / seconds,
            idle.reads / seconds,
            idle.writes / seconds,
            rolls.cpu_ms / per_roll,
            rolls.bytes / per_roll,
            (resident_kb() - empty_kb) / count,
        );
    }
    Ok(())
}

struct Sample {
    cpu_ms: f64,
    bytes: f64,
    registrar_bytes: f64,
    reads: f64,
    writes: f64,
}

impl Sample {
    fn of(mesh: &Mesh) -> Self {
        let bytes = |node: &crate::Node| node.control_bytes().values().sum::<u64>();
        let nodes = || mesh.nodes.iter().flatten();
        let registrars = nodes().filter(|node| node.is_registrar());
        Self {
            cpu_ms: cpu_ms(),
            bytes: float(nodes().map(bytes).sum()),
            registrar_bytes: float(registrars.map(bytes).sum()),
            reads: float(mesh.memory.reads()),
            writes: float(mesh.memory.writes()),
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

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Processor time of this process so far, in milliseconds.
fn cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0.0))
        .collect();
    let (user, system) = (fields.get(11), fields.get(12));
    (user.unwrap_or(&0.0) + system.unwrap_or(&0.0)) * MILLIS_PER_TICK
}

/// Memory of this process, in kilobytes.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let number = line.split_whitespace().nth(1);
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
