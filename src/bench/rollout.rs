//! Convergence of rollouts: time from approval until a version is in force, bytes sent, and load on
//! the platform.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::bench::fixture;
use crate::bundle::Version;
use crate::error::Result;
use crate::rollout::Operator;
use crate::standin::{Layout, Mesh, sample_bundle};

const REGIONS: usize = 3;
const DATA_CENTERS_PER_REGION: usize = 2;
const NODES_PER_DATA_CENTER: [usize; 3] = [2, 8, 25];
const ROLLOUTS: u32 = 20;
const DEPARTURES: usize = 5;
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(20);
const IDLE_WINDOW: Duration = Duration::from_secs(5);

/// Prints the convergence of rollouts on 12, 48 and 150 nodes, then that on 48 nodes while registrars
/// are killed, and how long all nodes take to detect the departure of a node.
///
/// # Errors
/// Fails if a mesh does not start, or if a version is not in force on all nodes within the limit.
pub async fn rollout() -> Result<()> {
    println!(
        "nodes  rolls  p50 ms  p99 ms  max ms  control B/node/roll  cross-region B/roll  \
         store B/roll  idle reads/s  idle writes/s"
    );
    for nodes_per_data_center in NODES_PER_DATA_CENTER {
        let layout = layout(nodes_per_data_center);
        let mesh = fixture::start_mesh(&layout).await?;
        let idle = idle_platform_load(&mesh).await;
        let before = Traffic::of(&mesh);
        let mut times = Vec::new();
        for rollout in 0..ROLLOUTS {
            times.extend(measure_rollout(&mesh, rollout + 2).await?);
        }
        let traffic = Traffic::of(&mesh).since(&before);
        times.sort_unstable();
        let nodes = mesh.nodes.len() as u64;
        println!(
            "{nodes:>5}  {ROLLOUTS:>5}  {:>6}  {:>6}  {:>6}  {:>19}  {:>19}  {:>12}  {:>12.1}  {:>13.1}",
            quantile(&times, 50).as_millis(),
            quantile(&times, 99).as_millis(),
            quantile(&times, 100).as_millis(),
            traffic.total / nodes / u64::from(ROLLOUTS),
            traffic.cross_region / u64::from(ROLLOUTS),
            traffic.store / u64::from(ROLLOUTS),
            idle.reads,
            idle.writes,
        );
        for ((first, second), bytes) in &traffic.by_region_pair {
            println!(
                "       {first} - {second}: {} control B/roll",
                bytes / u64::from(ROLLOUTS)
            );
        }
        for (region, bytes) in &traffic.store_by_region {
            println!(
                "       store - {region}: {} bundle B/roll",
                bytes / u64::from(ROLLOUTS)
            );
        }
    }
    measure_registrar_loss().await?;
    measure_departures().await
}

/// Prints how long after the start of a node's departure the last other node stops choosing the
/// target beside it.
async fn measure_departures() -> Result<()> {
    let layout = Layout::new(REGIONS, DATA_CENTERS_PER_REGION, 8);
    let mut mesh = fixture::start_mesh(&layout).await?;
    let node_count = mesh.nodes.len();
    let mut departure_millis = Vec::new();
    for index in 0..DEPARTURES {
        let Some(node) = mesh.nodes[index].take() else {
            continue;
        };
        let began = Instant::now();
        let departure = tokio::spawn(node.leave());
        let known_to_all = |mesh: &Mesh| {
            let mut nodes = mesh.nodes.iter().flatten();
            nodes.all(|node| node.serving_targets("depot") < node_count - index)
        };
        while !known_to_all(&mesh) && began.elapsed() < CONVERGENCE_LIMIT {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        departure_millis.push(began.elapsed().as_millis());
        let _ = departure.await;
    }
    println!(
        "48 nodes, departures known on the last node after {departure_millis:?} ms (target 3000)"
    );
    Ok(())
}

/// Prints the convergence of rollouts where two registrars are killed right after the approval.
async fn measure_registrar_loss() -> Result<()> {
    let mut mesh = fixture::start_mesh(&layout(8)).await?;
    let mut convergence = Vec::new();
    for rollout in 0..5 {
        let registrars: Vec<usize> = (0..mesh.nodes.len())
            .filter(|index| {
                mesh.nodes[*index]
                    .as_ref()
                    .is_some_and(crate::Node::is_registrar)
            })
            .take(2)
            .collect();
        let (operator, version) = push_sample(&mesh, 100 + rollout).await?;
        let began = Instant::now();
        operator.approve(version, &mesh.signer).await?;
        for index in &registrars {
            mesh.kill(*index);
        }
        mesh.wait_until_in_force(version, CONVERGENCE_LIMIT).await?;
        convergence.push(began.elapsed());
        for index in registrars {
            mesh.restart(index)?;
        }
        mesh.wait_for_members(CONVERGENCE_LIMIT).await?;
    }
    let millis: Vec<u128> = convergence.iter().map(Duration::as_millis).collect();
    println!("48 nodes, two registrars killed after approval: last survivor after {millis:?} ms");
    Ok(())
}

fn layout(nodes_per_data_center: usize) -> Layout {
    let mut layout = Layout::new(REGIONS, DATA_CENTERS_PER_REGION, nodes_per_data_center);
    layout.target = None;
    layout
}

/// Pushes a sample bundle as a draft.
async fn push_sample(mesh: &Mesh, marker: u32) -> Result<(Operator, Version)> {
    let operator = mesh.operator();
    let version = operator.push(&sample_bundle(marker), None).await?;
    Ok((operator, version))
}

/// Rolls out a sample bundle; returns the time from approval until it was in force, of each node.
async fn measure_rollout(mesh: &Mesh, marker: u32) -> Result<Vec<Duration>> {
    let (operator, version) = push_sample(mesh, marker).await?;
    operator.approve(version, &mesh.signer).await?;
    mesh.wait_until_in_force(version, CONVERGENCE_LIMIT).await
}

/// Calls to the platform per second.
struct PlatformLoad {
    reads: f64,
    writes: f64,
}

async fn idle_platform_load(mesh: &Mesh) -> PlatformLoad {
    let before = (mesh.platform.reads(), mesh.platform.writes());
    tokio::time::sleep(IDLE_WINDOW).await;
    let rate = |before: u64, after: u64| {
        f64::from(u32::try_from(after - before).unwrap_or(u32::MAX)) / IDLE_WINDOW.as_secs_f64()
    };
    PlatformLoad {
        reads: rate(before.0, mesh.platform.reads()),
        writes: rate(before.1, mesh.platform.writes()),
    }
}

/// Bytes exchanged so far, summed over all running nodes.
struct Traffic {
    /// Control bytes.
    total: u64,
    /// Control bytes between regions.
    cross_region: u64,
    /// Bundle bytes from the object store.
    store: u64,
    /// Control bytes between two regions, by their names in order.
    by_region_pair: BTreeMap<(String, String), u64>,
    /// Bundle bytes from the object store by reading region.
    store_by_region: BTreeMap<String, u64>,
}

impl Traffic {
    fn of(mesh: &Mesh) -> Self {
        let mut traffic = Self {
            total: 0,
            cross_region: 0,
            store: 0,
            by_region_pair: BTreeMap::new(),
            store_by_region: BTreeMap::new(),
        };
        for (node, settings) in mesh.nodes.iter().zip(&mesh.settings) {
            let Some(node) = node else { continue };
            let by_region: BTreeMap<String, u64> = node.control_bytes();
            traffic.total += by_region.values().sum::<u64>();
            // An empty name stands for peers whose region is unknown.
            let other_regions = by_region
                .iter()
                .filter(|(region, _)| !region.is_empty() && **region != settings.region);
            for (region, bytes) in other_regions {
                let (first, second) = (region.min(&settings.region), region.max(&settings.region));
                let pair = (first.clone(), second.clone());
                *traffic.by_region_pair.entry(pair).or_default() += bytes;
            }
            traffic.cross_region = traffic.by_region_pair.values().sum();
            traffic.store += node.store_bytes();
            let store_bytes = traffic.store_by_region.entry(settings.region.clone());
            *store_bytes.or_default() += node.store_bytes();
        }
        traffic
    }

    fn since(&self, before: &Self) -> Self {
        Self {
            total: self.total - before.total,
            cross_region: self.cross_region - before.cross_region,
            store: self.store - before.store,
            by_region_pair: difference(&self.by_region_pair, &before.by_region_pair),
            store_by_region: difference(&self.store_by_region, &before.store_by_region),
        }
    }
}

/// Entries of `after`, less those of `before`.
fn difference<K: Ord + Clone>(
    after: &BTreeMap<K, u64>,
    before: &BTreeMap<K, u64>,
) -> BTreeMap<K, u64> {
    let since = |key: &K, bytes: &u64| bytes - before.get(key).unwrap_or(&0);
    let entries = after.iter();
    entries
        .map(|(key, bytes)| (key.clone(), since(key, bytes)))
        .collect()
}

/// The quantile at `percent`, from 0 to 100, of times in ascending order.
fn quantile(sorted: &[Duration], percent: usize) -> Duration {
    sorted[(sorted.len() - 1) * percent / 100]
}
