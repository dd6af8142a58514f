//! The demonstration: a whole mesh in one process, a second version rolled while calls run.

use std::time::{Duration, Instant};

use crate::bench::fixture;
use crate::bench::load::{self, Kind, Load, Outcomes};
use crate::bundle::Version;
use crate::error::Result;
use crate::standin::{Layout, Mesh, sample_bundle};

const RATE: f64 = 400.0;
const DEADLINE: Duration = Duration::from_secs(2);
const LIMIT: Duration = Duration::from_secs(10);

/// Runs the demonstration with `duration` of load.
///
/// # Errors
/// Fails if a version does not take hold.
pub async fn demo(duration: Duration) -> Result<()> {
    let mut layout = Layout::new(2, 1, 3);
    layout.groups = vec!["depot".into(), "spare".into()];
    println!("platform in memory, 2 regions, 6 nodes, 3 of their targets in the group 'depot'");
    let mesh = fixture::started(&layout).await?;
    println!("version 1 in force on 6 nodes; callers start");
    let load = tokio::spawn(run_load(mesh.caller(0), mesh.caller(3), duration));
    tokio::time::sleep(duration / 3).await;
    let converged = roll_visibly(&mesh).await?;
    let outcomes = load.await.unwrap_or_default();
    println!();
    println!("calls        count  in time  not run  may have run  failed  p50 ms  p99 ms");
    for (name, outcome) in ["read", "book"].iter().zip(&outcomes) {
        print_row(name, outcome);
    }
    println!("convergence of version 2: {} ms", converged.as_millis());
    Ok(())
}

async fn run_load(
    near: crate::standin::Caller,
    far: crate::standin::Caller,
    duration: Duration,
) -> Vec<Outcomes> {
    let kind = |path: &str, keyed, share| Kind {
        path: path.into(),
        keyed,
        share,
    };
    let load = Load {
        callers: vec![near, far],
        kinds: vec![kind("/read/units", false, 0.8), kind("/book", true, 0.2)],
        rate: RATE,
        duration,
        deadline: DEADLINE,
        retry: false,
    };
    load::run(&load).await
}

/// Rolls a second version and prints what takes hold as it happens.
async fn roll_visibly(mesh: &Mesh) -> Result<Duration> {
    let operator = mesh.operator();
    let version = operator.push(&sample_bundle(2), None).await?;
    println!("version {version} pushed as a draft");
    let began = Instant::now();
    operator.approve(version, &mesh.signer).await?;
    println!("version {version} approved; nodes prepare it");
    let mut shown = 0;
    loop {
        let count = in_force(mesh, version);
        if count != shown {
            println!(
                "{:>5} ms  in force on {count} of 6 nodes",
                began.elapsed().as_millis()
            );
            shown = count;
        }
        if count == mesh.nodes.len() {
            return Ok(began.elapsed());
        }
        if began.elapsed() > LIMIT {
            return Err(crate::Error::State(format!(
                "version {version} did not take hold"
            )));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn in_force(mesh: &Mesh, version: Version) -> usize {
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
