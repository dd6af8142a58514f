//! Counters and log lines of limits that were reached.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::telemetry::Counters;

/// Shortest time between two log lines about one limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts how often each limit was reached, and logs it at most once per [`LOG_INTERVAL`].
pub(crate) struct Limits {
    counters: Arc<Counters>,
    logged: Mutex<HashMap<&'static str, Logged>>,
}

/// Last log line about one limit.
struct Logged {
    at: Instant,
    /// Times that the limit was reached since.
    unlogged: u64,
}

impl Limits {
    pub(crate) fn new(counters: Arc<Counters>) -> Arc<Self> {
        Arc::new(Self {
            counters,
            logged: Mutex::default(),
        })
    }

    /// Records that a limit was reached.
    pub(crate) fn record(&self, limit: &'static str) {
        self.counters.count(&format!("limit.{limit}"));
        if let Some(times) = self.times_to_log(limit, Instant::now()) {
            log::warn!(event = "limit_reached", limit = limit, times = times; "a limit was reached");
        }
    }

    /// Number of times that the limit was reached since the last log line, this time included, if a
    /// line is due.
    fn times_to_log(&self, limit: &'static str, now: Instant) -> Option<u64> {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        match logged.get_mut(limit) {
            Some(last) if now.saturating_duration_since(last.at) < LOG_INTERVAL => {
                last.unlogged += 1;
                None
            }
            Some(last) => {
                last.at = now;
                Some(std::mem::take(&mut last.unlogged) + 1)
            }
            None => {
                logged.insert(
                    limit,
                    Logged {
                        at: now,
                        unlogged: 0,
                    },
                );
                Some(1)
            }
        }
    }
}

#[cfg(test)]
mod tests;
