//! The demonstration: a whole mesh in one process, with a rollout of a second version under load.

use std::time::{Duration, Instant};

use crate::bench::fixture;
use crate::bench::load::{self, Kind, Load, Outcomes};
use crate::bundle::Version;
use crate::error::Result;
use crate::standin::{Caller, Layout, Mesh, sample_bundle};

const CALLS_PER_SECOND: f64 = 400.0;
const DEADLINE: Duration = Duration::from_secs(2);
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(10);

/// Runs the demonstration with load for `duration`; a third into it, the rollout begins.
///
/// # Errors
/// Fails if a version is not in force on all nodes within the limit.
pub async fn demo(duration: Duration) -> Result<()> {
    let mut layout = Layout::new(2, 1, 3);
    layout.groups = vec!["depot".into(), "spare".into()];
    println!("platform in memory, 2 regions, 6 nodes, 3 of their targets in the group 'depot'");
    let mesh = fixture::start_mesh(&layout).await?;
    println!("version 1 in force on 6 nodes; callers start");
    let load = tokio::spawn(run_load(vec![mesh.caller(0), mesh.caller(3)], duration));
    tokio::time::sleep(duration / 3).await;
    let convergence = roll_out_with_progress(&mesh).await?;
    let outcomes = load.await.unwrap_or_default();
    println!();
    println!("calls        count  in time  not run  may have run  failed  p50 ms  p99 ms");
    for (name, outcome) in ["read", "book"].iter().zip(&outcomes) {
        print_row(name, outcome);
    }
    println!("convergence of version 2: {} ms", convergence.as_millis());
    Ok(())
}

async fn run_load(callers: Vec<Caller>, duration: Duration) -> Vec<Outcomes> {
    let kind = |path: &str, has_key, share| Kind {
        path: path.into(),
        has_key,
        share,
    };
    let load = Load {
        callers,
        kinds: vec![kind("/read/units", false, 0.8), kind("/book", true, 0.2)],
        rate: CALLS_PER_SECOND,
        duration,
        deadline: DEADLINE,
        retry: false,
    };
    load::run(&load).await
}

/// Rolls out a second version and prints on how many nodes it is in force whenever that changes.
/// Returns the time from before the approval until it is in force on all nodes.
async fn roll_out_with_progress(mesh: &Mesh) -> Result<Duration> {
    let operator = mesh.operator();
    let version = operator.push(&sample_bundle(2), None).await?;
    println!("version {version} pushed as a draft");
    let began = Instant::now();
    operator.approve(version, &mesh.signer).await?;
    println!("version {version} approved; nodes prepare it");
    let mut printed_count = 0;
    loop {
        let count = nodes_in_force(mesh, version);
        if count != printed_count {
            println!(
                "{:>5} ms  in force on {count} of 6 nodes",
                began.elapsed().as_millis()
            );
            printed_count = count;
        }
        if count == mesh.nodes.len() {
            return Ok(began.elapsed());
        }
        if began.elapsed() > CONVERGENCE_LIMIT {
            return Err(crate::Error::State(format!(
                "version {version} is not in force on all nodes after {CONVERGENCE_LIMIT:?}"
            )));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Number of nodes that have `version` or a higher one in force.
fn nodes_in_force(mesh: &Mesh, version: Version) -> usize {
    let nodes = mesh.nodes.iter().flatten();
    nodes.filter(|node| node.version() >= version).count()
}

fn print_row(name: &str, outcome: &Outcomes) {
    println!(
        "{name:<8} {:>9}  {:>6.1}%  {:>7}  {:>12}  {:>6}  {:>6.2}  {:>6.2}",
        outcome.calls,
        outcome.in_time_percent(),
        outcome.not_run,
        outcome.may_have_run,
        outcome.failed,
        outcome.quantile_ms(0.5),
        outcome.quantile_ms(0.99),
    );
}
