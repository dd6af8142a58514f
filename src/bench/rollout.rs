//! Convergence: time from approval until a version is in force, bytes, and platform load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::bench::fixture;
use crate::bundle::Version;
use crate::error::Result;
use crate::rollout::Operator;
use crate::standin::{Layout, Mesh, sample_bundle};

const REGIONS: usize = 3;
const CENTERS: usize = 2;
const NODES_PER_CENTER: [usize; 3] = [2, 8, 25];
const ROLLS: u32 = 20;
const DEPARTURES: usize = 5;
const LIMIT: Duration = Duration::from_secs(20);
const IDLE: Duration = Duration::from_secs(5);

/// Prints convergence for 12, 48 and 150 nodes, and once more while lease holders are killed.
///
/// # Errors
/// Fails if a roll does not take hold.
pub async fn rollout() -> Result<()> {
    println!(
        "nodes  rolls  p50 ms  p99 ms  max ms  control B/node/roll  cross-region B/roll  \
         store B/roll  idle reads/s  idle writes/s"
    );
    for nodes_per_center in NODES_PER_CENTER {
        let layout = layout(nodes_per_center);
        let mesh = fixture::started(&layout).await?;
        let idle = idle_load(&mesh).await;
        let before = Bytes::of(&mesh);
        let mut times = Vec::new();
        for roll in 0..ROLLS {
            times.extend(timed_roll(&mesh, roll + 2).await?);
        }
        let bytes = Bytes::of(&mesh).since(&before);
        times.sort_unstable();
        let nodes = mesh.nodes.len() as u64;
        println!(
            "{nodes:>5}  {ROLLS:>5}  {:>6}  {:>6}  {:>6}  {:>19}  {:>19}  {:>12}  {:>12.1}  {:>13.1}",
            quantile(&times, 50).as_millis(),
            quantile(&times, 99).as_millis(),
            quantile(&times, 100).as_millis(),
            bytes.total / nodes / u64::from(ROLLS),
            bytes.crossing / u64::from(ROLLS),
            bytes.store / u64::from(ROLLS),
            idle.reads,
            idle.writes,
        );
        for ((one, other), count) in &bytes.pairs {
            println!(
                "       {one} - {other}: {} control B/roll",
                count / u64::from(ROLLS)
            );
        }
        for (region, count) in &bytes.store_by_region {
            println!(
                "       store - {region}: {} bundle B/roll",
                count / u64::from(ROLLS)
            );
        }
    }
    killed_holders().await?;
    departure().await
}

/// Measures how long a departing target stays in any node's choice.
async fn departure() -> Result<()> {
    let layout = Layout::new(REGIONS, CENTERS, 8);
    let mut mesh = fixture::started(&layout).await?;
    let all = mesh.nodes.len();
    let mut slowest = Vec::new();
    for index in 0..DEPARTURES {
        let Some(node) = mesh.nodes[index].take() else {
            continue;
        };
        let began = Instant::now();
        let left = tokio::spawn(node.leave());
        let gone = |mesh: &Mesh| {
            let mut nodes = mesh.nodes.iter().flatten();
            nodes.all(|node| node.serving_targets("depot") < all - index)
        };
        while !gone(&mesh) && began.elapsed() < LIMIT {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        slowest.push(began.elapsed().as_millis());
        let _ = left.await;
    }
    println!("48 nodes, departures known on the last node after {slowest:?} ms (target 3000)");
    Ok(())
}

/// Kills two registrars right after each approval.
async fn killed_holders() -> Result<()> {
    let mut mesh = fixture::started(&layout(8)).await?;
    let mut slowest = Vec::new();
    for roll in 0..5 {
        let holders: Vec<usize> = (0..mesh.nodes.len())
            .filter(|index| {
                mesh.nodes[*index]
                    .as_ref()
                    .is_some_and(crate::Node::is_registrar)
            })
            .take(2)
            .collect();
        let (operator, version) = pushed(&mesh, 100 + roll).await?;
        let began = Instant::now();
        operator.approve(version, &mesh.signer).await?;
        for index in &holders {
            mesh.kill(*index);
        }
        mesh.converged(version, LIMIT).await?;
        slowest.push(began.elapsed());
        for index in holders {
            mesh.restart(index)?;
        }
        mesh.acquainted(LIMIT).await?;
    }
    let slowest: Vec<u128> = slowest.iter().map(Duration::as_millis).collect();
    println!("48 nodes, two registrars killed after approval: last survivor after {slowest:?} ms");
    Ok(())
}

fn layout(nodes_per_center: usize) -> Layout {
    let mut layout = Layout::new(REGIONS, CENTERS, nodes_per_center);
    layout.target = None;
    layout
}

async fn pushed(mesh: &Mesh, marker: u32) -> Result<(Operator, Version)> {
    let operator = mesh.operator();
    let version = operator.push(&sample_bundle(marker), None).await?;
    Ok((operator, version))
}

async fn timed_roll(mesh: &Mesh, marker: u32) -> Result<Vec<Duration>> {
    let (operator, version) = pushed(mesh, marker).await?;
    operator.approve(version, &mesh.signer).await?;
    mesh.converged(version, LIMIT).await
}

struct Idle {
    reads: f64,
    writes: f64,
}

async fn idle_load(mesh: &Mesh) -> Idle {
    let before = (mesh.memory.reads(), mesh.memory.writes());
    tokio::time::sleep(IDLE).await;
    let rate = |before: u64, after: u64| {
        f64::from(u32::try_from(after - before).unwrap_or(u32::MAX)) / IDLE.as_secs_f64()
    };
    Idle {
        reads: rate(before.0, mesh.memory.reads()),
        writes: rate(before.1, mesh.memory.writes()),
    }
}

/// Sums over all nodes.
struct Bytes {
    total: u64,
    crossing: u64,
    store: u64,
    /// Control bytes by the two regions of a pair, in name order.
    pairs: BTreeMap<(String, String), u64>,
    /// Bundle bytes from the object store by reading region.
    store_by_region: BTreeMap<String, u64>,
}

impl Bytes {
    fn of(mesh: &Mesh) -> Self {
        let mut bytes = Self {
            total: 0,
            crossing: 0,
            store: 0,
            pairs: BTreeMap::new(),
            store_by_region: BTreeMap::new(),
        };
        for (node, settings) in mesh.nodes.iter().zip(&mesh.settings) {
            let Some(node) = node else { continue };
            let by_region: BTreeMap<String, u64> = node.control_bytes();
            bytes.total += by_region.values().sum::<u64>();
            let foreign = by_region
                .iter()
                .filter(|(region, _)| !region.is_empty() && **region != settings.region);
            for (region, count) in foreign {
                let (one, other) = (region.min(&settings.region), region.max(&settings.region));
                *bytes.pairs.entry((one.clone(), other.clone())).or_default() += count;
            }
            bytes.crossing = bytes.pairs.values().sum();
            bytes.store += node.store_bytes();
            let read = bytes.store_by_region.entry(settings.region.clone());
            *read.or_default() += node.store_bytes();
        }
        bytes
    }

    fn since(&self, before: &Self) -> Self {
        Self {
            total: self.total - before.total,
            crossing: self.crossing - before.crossing,
            store: self.store - before.store,
            pairs: difference(&self.pairs, &before.pairs),
            store_by_region: difference(&self.store_by_region, &before.store_by_region),
        }
    }
}

fn difference<K: Ord + Clone>(
    after: &BTreeMap<K, u64>,
    before: &BTreeMap<K, u64>,
) -> BTreeMap<K, u64> {
    let since = |key: &K, count: &u64| count - before.get(key).unwrap_or(&0);
    let entries = after.iter();
    entries
        .map(|(key, count)| (key.clone(), since(key, count)))
        .collect()
}

/// A quantile of sorted times; `percent` is 0 to 100.
fn quantile(sorted: &[Duration], percent: usize) -> Duration {
    sorted[(sorted.len() - 1) * percent / 100]
}
