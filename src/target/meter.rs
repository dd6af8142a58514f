//! What a node measures of its target: run times, slowness and failures.

use std::time::{Duration, Instant};

use std::collections::HashMap;

/// Share of the newest run in the averages.
const NEWEST_SHARE: f64 = 0.1;
/// Run time assumed before the first run.
const FIRST_RUN: Duration = Duration::from_millis(150);
/// Runs whose progress is needed before they count towards slowness.
const MIN_RUNNING: usize = 3;
/// Bounds of the slowness, so that one run cannot move the average without limit.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);

/// Averages over the runs of one target.
#[derive(Debug)]
pub(super) struct Meter {
    run_ms: f64,
    slowness: f64,
    failing: f64,
    running: HashMap<u64, (Instant, Duration)>,
    next: u64,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            run_ms: FIRST_RUN.as_secs_f64() * 1e3,
            slowness: 1.0,
            failing: 0.0,
            running: HashMap::new(),
            next: 0,
        }
    }
}

impl Meter {
    /// Notes that a request begins whose route usually takes `expected`.
    pub(super) fn begin(&mut self, expected: Duration) -> u64 {
        self.next += 1;
        self.running.insert(self.next, (Instant::now(), expected));
        self.next
    }

    /// Notes the end of a run; `failed` is `None` if it tells nothing about the target.
    pub(super) fn end(&mut self, run: u64, failed: Option<bool>) {
        let Some((began, expected)) = self.running.remove(&run) else {
            return;
        };
        let Some(failed) = failed else { return };
        self.failing += NEWEST_SHARE * (f64::from(u8::from(failed)) - self.failing);
        if failed {
            return;
        }
        let took = began.elapsed();
        self.run_ms += NEWEST_SHARE * (took.as_secs_f64() * 1e3 - self.run_ms);
        self.slowness += NEWEST_SHARE * (ratio(took, expected) - self.slowness);
    }

    /// Average run time.
    pub(super) fn run(&self) -> Duration {
        Duration::from_secs_f64(self.run_ms / 1e3)
    }

    /// Average run time in milliseconds.
    pub(super) fn run_ms(&self) -> f64 {
        self.run_ms
    }

    /// Share of failed runs.
    pub(super) fn failing(&self) -> f64 {
        self.failing
    }

    /// Run times relative to what is usual. Runs that are still at work count as soon as half of
    /// them have taken longer than the average.
    pub(super) fn slowness(&self) -> f64 {
        if self.running.len() < MIN_RUNNING {
            return self.slowness;
        }
        let running = self.running.values();
        let mut ratios: Vec<f64> = running
            .map(|(began, expected)| ratio(began.elapsed(), *expected))
            .collect();
        ratios.sort_by(f64::total_cmp);
        self.slowness.max(ratios[ratios.len() / 2])
    }

    /// Forgets everything: another target stands beside the node.
    pub(super) fn reset(&mut self) {
        *self = Self {
            next: self.next,
            ..Self::default()
        };
    }
}

fn ratio(took: Duration, expected: Duration) -> f64 {
    let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
    ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
}
