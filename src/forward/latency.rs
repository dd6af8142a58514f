//! Averages by route: the latency of successful requests, and the time that callers give theirs.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::overload::returning::UsualTime;

/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Share of the latency objective that is assumed until the first sample.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.25;
/// Maximum number of routes with an average. All averages are dropped when another route is added.
const MAX_ROUTES: usize = 4_096;

/// Average latencies by route.
#[derive(Default)]
pub(super) struct Averages {
    /// Average latency in seconds, by route name.
    seconds: Mutex<HashMap<String, f64>>,
}

impl Averages {
    /// Average latency of a route, or a share of its latency objective before the first sample.
    pub(super) fn get(&self, route: &str, objective: Duration) -> Duration {
        let seconds = self.seconds.lock().unwrap_or_else(PoisonError::into_inner);
        seconds
            .get(route)
            .map_or(objective.mul_f64(INITIAL_OBJECTIVE_SHARE), |s| {
                Duration::from_secs_f64(*s)
            })
    }

    /// Adds a sample to the average of a route.
    pub(super) fn record(&self, route: &str, latency: Duration) {
        let mut seconds = self.seconds.lock().unwrap_or_else(PoisonError::into_inner);
        let sample = latency.as_secs_f64();
        if let Some(average) = seconds.get_mut(route) {
            *average += SAMPLE_WEIGHT * (sample - *average);
            return;
        }
        if seconds.len() >= MAX_ROUTES {
            seconds.clear();
        }
        seconds.insert(route.to_owned(), sample);
    }
}

/// Times that callers usually give their requests, by route.
#[derive(Default)]
pub(super) struct UsualTimes {
    by_route: Mutex<HashMap<String, UsualTime>>,
}

impl UsualTimes {
    /// Estimates how long ago the caller of a request that it gives `time` first asked.
    pub(super) fn estimate_age(
        &self,
        route: &str,
        time: Duration,
        route_timeout: Duration,
    ) -> Duration {
        let mut by_route = self.by_route.lock().unwrap_or_else(PoisonError::into_inner);
        if by_route.len() >= MAX_ROUTES && !by_route.contains_key(route) {
            by_route.clear();
        }
        let usual = by_route.entry(route.to_owned()).or_default();
        usual.estimate_age(time, route_timeout)
    }
}
