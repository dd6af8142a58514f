//! Counts of the answers of one version on one route.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Shortest latency that is told from shorter ones; latencies are compared by their logarithms.
const MIN_LATENCY: Duration = Duration::from_millis(1);

/// Answers of one version on one route. Those without `total` in their names decay, so that a fault
/// that begins late is not hidden by the good answers before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Tally {
    /// Answers and lost requests.
    pub answers: f64,
    /// Failures and lost requests among them.
    pub bad: f64,
    /// Answers whose latency counts.
    pub timed: f64,
    /// Sum of the natural logarithms of their latencies in seconds. Logarithms make the comparison
    /// robust where requests of one route differ widely in their work.
    pub log_sum: f64,
    /// Sum of the squares of these logarithms.
    pub log_squares: f64,
    /// Answers and lost requests since the beginning.
    pub total: u64,
    /// Failures and lost requests since the beginning.
    pub total_bad: u64,
}

impl Tally {
    /// Counts an answer, or a request without one.
    pub(crate) fn record(&mut self, bad: bool, latency: Option<Duration>) {
        self.answers += 1.0;
        self.total += 1;
        if bad {
            self.bad += 1.0;
            self.total_bad += 1;
        }
        if let Some(latency) = latency {
            let log = latency.max(MIN_LATENCY).as_secs_f64().ln();
            self.timed += 1.0;
            self.log_sum += log;
            self.log_squares += log * log;
        }
    }

    /// Multiplies the counts that decay by `factor`.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.answers *= factor;
        self.bad *= factor;
        self.timed *= factor;
        self.log_sum *= factor;
        self.log_squares *= factor;
    }

    /// Adds the counts of others.
    pub(crate) fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_squares += other.log_squares;
        self.total += other.total;
        self.total_bad += other.total_bad;
    }

    /// Mean of the logarithms of the latencies, and the square of its standard error. `None` with
    /// fewer than `least` latencies.
    pub(crate) fn mean_log(&self, least: f64, min_variance: f64) -> Option<(f64, f64)> {
        if self.timed < least {
            return None;
        }
        let mean = self.log_sum / self.timed;
        let variance = self.log_squares / self.timed - mean * mean;
        Some((mean, variance.max(min_variance) / self.timed))
    }
}
