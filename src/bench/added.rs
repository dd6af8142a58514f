//! Latency that the caller's node and the target's node add to a call.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::bench::fixture;
use crate::error::Result;
use crate::standin::{Caller, Layout, TargetOptions};

const CALLS: u32 = 20_000;
const WARM_UP_CALLS: u32 = 2_000;
const MAX_LATENCY_NANOS: u64 = 10_000_000_000;
/// Time for the nodes to stop choosing a closed target.
const CLOSE_DELAY: Duration = Duration::from_secs(2);

/// Prints the latency of sequential calls, directly to a target and through two nodes.
///
/// # Errors
/// Fails if the mesh does not start.
pub async fn added() -> Result<()> {
    let mut layout = Layout::new(1, 1, 2);
    layout.target = Some(TargetOptions {
        service_time: Duration::ZERO,
        ..TargetOptions::default()
    });
    let mut mesh = fixture::start_mesh(&layout).await?;
    // The target beside the caller's node is closed, so that every call goes through both nodes.
    let caller = mesh.caller(0);
    if let Some(target) = mesh.targets[0].as_mut() {
        target.close();
    }
    tokio::time::sleep(CLOSE_DELAY).await;
    let direct_caller = mesh.targets[1]
        .as_ref()
        .map(|target| Caller::new(target.address()));
    let direct = measure(&direct_caller.unwrap_or_else(|| caller.clone())).await;
    let through_nodes = measure(&caller).await;
    println!("{CALLS} calls, one at a time    p50 us  p90 us  p99 us");
    let print_row = |name: &str, p50: u64, p90: u64, p99: u64| {
        println!("{name:<26} {p50:>6}  {p90:>6}  {p99:>6}");
    };
    let quantile_us = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) / 1_000;
    print_row(
        "direct",
        quantile_us(&direct, 0.5),
        quantile_us(&direct, 0.9),
        quantile_us(&direct, 0.99),
    );
    print_row(
        "through two nodes",
        quantile_us(&through_nodes, 0.5),
        quantile_us(&through_nodes, 0.9),
        quantile_us(&through_nodes, 0.99),
    );
    let added = |q: f64| quantile_us(&through_nodes, q).saturating_sub(quantile_us(&direct, q));
    print_row("added", added(0.5), added(0.9), added(0.99));
    Ok(())
}

async fn measure(caller: &Caller) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_NANOS, 3).expect("valid bounds");
    for number in 0..WARM_UP_CALLS + CALLS {
        let sent_at = Instant::now();
        let answer = caller.get("/read/unit").await;
        let latency_nanos =
            u64::try_from(sent_at.elapsed().as_nanos()).unwrap_or(MAX_LATENCY_NANOS);
        if number >= WARM_UP_CALLS && answer.is_success() {
            histogram.saturating_record(latency_nanos);
        }
    }
    histogram
}
