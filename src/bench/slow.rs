//! Tail latency while some of the targets take ten times as long.

use std::time::Duration;

use crate::bench::fixture;
use crate::bench::load::{self, Kind, Load};
use crate::error::Result;

const SLOTS: u32 = 12;
const SERVICE_TIME: Duration = Duration::from_millis(10);
const SLOWDOWN: u32 = 10;
const CALLS_PER_SECOND: f64 = 2_000.0;
const WARM_UP: Duration = Duration::from_secs(2);
const DURATION: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(2);

/// Prints the latency with 0, 1 and 2 of 6 targets slowed, through the nodes and, for comparison,
/// directly to the targets by round robin.
///
/// # Errors
/// Fails if the mesh does not start.
pub async fn slow() -> Result<()> {
    println!(
        "6 targets, {SLOTS} slots, {SERVICE_TIME:?}, {CALLS_PER_SECOND} calls/s, slowed {SLOWDOWN} times"
    );
    println!("slowed  way     p50 ms  p99 ms  p99.9 ms  in time");
    for slowed_targets in [0, 1, 2] {
        for direct in [true, false] {
            let mesh = fixture::start_six_targets(SLOTS, SERVICE_TIME).await?;
            let callers = fixture::callers(&mesh, direct);
            let mut load = Load {
                callers,
                kinds: vec![Kind {
                    path: "/read".into(),
                    has_key: false,
                    share: 1.0,
                }],
                rate: CALLS_PER_SECOND,
                duration: WARM_UP,
                deadline: DEADLINE,
                retry: false,
            };
            load::run(&load).await;
            for target in mesh.targets.iter().flatten().take(slowed_targets) {
                target.slow_down(SLOWDOWN);
            }
            load.duration = DURATION;
            let outcomes = load::run(&load).await;
            let outcome = &outcomes[0];
            println!(
                "{slowed_targets}       {:<6}  {:>6.1}  {:>6.1}  {:>8.1}  {:>6.2}%  {}",
                if direct { "direct" } else { "nodes" },
                outcome.quantile_ms(0.5),
                outcome.quantile_ms(0.99),
                outcome.quantile_ms(0.999),
                outcome.in_time_percent(),
                outcome.failures(),
            );
        }
    }
    Ok(())
}
