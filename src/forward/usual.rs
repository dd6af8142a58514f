//! How long the requests of a route usually take.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Share of the newest answer in the average.
const NEWEST_SHARE: f64 = 0.05;
/// Share of the objective assumed before the first answer.
const FIRST_SHARE: f64 = 0.25;
/// Routes that are remembered at most.
const MAX_ROUTES: usize = 4_096;

/// Average run times by route.
#[derive(Default)]
pub(super) struct Usual {
    seconds: Mutex<HashMap<String, f64>>,
}

impl Usual {
    /// Usual run time of a route whose latency objective is `objective`.
    pub(super) fn of(&self, route: &str, objective: Duration) -> Duration {
        let seconds = self.seconds.lock().unwrap_or_else(PoisonError::into_inner);
        seconds
            .get(route)
            .map_or(objective.mul_f64(FIRST_SHARE), |s| {
                Duration::from_secs_f64(*s)
            })
    }

    /// Takes the time that an answer took.
    pub(super) fn note(&self, route: &str, took: Duration) {
        let mut seconds = self.seconds.lock().unwrap_or_else(PoisonError::into_inner);
        let took = took.as_secs_f64();
        if let Some(average) = seconds.get_mut(route) {
            *average += NEWEST_SHARE * (took - *average);
            return;
        }
        if seconds.len() >= MAX_ROUTES {
            seconds.clear();
        }
        seconds.insert(route.to_owned(), took);
    }
}
