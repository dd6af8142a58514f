//! Moving averages over the runs at the target: run time, slowness and failure ratio.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::overload::backlog;
use crate::overload::speed::Speed;

/// Weight of the newest run in the exponential moving averages.
const NEWEST_RUN_WEIGHT: f64 = 0.1;
/// Initial value of the average run time.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(150);
/// Routes with an average run time. All averages are dropped when another route is added.
const MAX_ROUTES: usize = 1_024;
/// Number of unfinished runs from which on they count towards the slowness.
const MIN_RUNNING_FOR_SLOWNESS: usize = 3;
/// Bounds of the slowness of one run, so that it cannot move the average without limit.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);
/// Runs over which the speed of the target is learned.
const SPEED_RUNS: u32 = 50;
/// How much longer than expected the unfinished runs must take before a target is taken for slow.
/// Among the unfinished ones, those that take long are more frequent than among all.
const UNFINISHED_FACTOR: f64 = 3.0;

/// Averages over the runs of one target.
#[derive(Debug)]
pub(super) struct Meter {
    run_ms: f64,
    /// Run time relative to the expected one.
    slowness: f64,
    failure_ratio: f64,
    /// Run times of the successful runs relative to the expected ones, weighted by their length.
    speed: Speed,
    /// Average run time in milliseconds, by route.
    run_ms_by_route: HashMap<String, f64>,
    /// Unfinished runs, by run number.
    unfinished_runs: HashMap<u64, UnfinishedRun>,
    last_number: u64,
}

#[derive(Debug)]
struct UnfinishedRun {
    route: String,
    began: Instant,
    expected: Duration,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            run_ms: INITIAL_RUN_TIME.as_secs_f64() * 1e3,
            slowness: 1.0,
            failure_ratio: 0.0,
            speed: Speed::new(SPEED_RUNS),
            run_ms_by_route: HashMap::new(),
            unfinished_runs: HashMap::new(),
            last_number: 0,
        }
    }
}

impl Meter {
    /// Records the start of a run that is expected to take `expected`; returns the run's number.
    pub(super) fn begin(&mut self, route: &str, expected: Duration) -> u64 {
        self.last_number += 1;
        let run = UnfinishedRun {
            route: route.to_owned(),
            began: Instant::now(),
            expected,
        };
        self.unfinished_runs.insert(self.last_number, run);
        self.last_number
    }

    /// Records the end of a run. `failed` is `None` if the outcome says nothing about the target,
    /// as when the caller cancelled the request. A failed run changes only the failure ratio. Returns
    /// the time that a successful run would have taken at a target of the usual speed.
    pub(super) fn end(&mut self, number: u64, failed: Option<bool>) -> Option<Duration> {
        let run = self.unfinished_runs.remove(&number)?;
        let failed = failed?;
        self.failure_ratio +=
            NEWEST_RUN_WEIGHT * (f64::from(u8::from(failed)) - self.failure_ratio);
        if failed {
            return None;
        }
        let took = run.began.elapsed();
        let at_usual_speed = took.div_f64(self.speed.slowness());
        self.speed.learn(took, run.expected);
        let took_ms = took.as_secs_f64() * 1e3;
        self.run_ms += NEWEST_RUN_WEIGHT * (took_ms - self.run_ms);
        self.slowness += NEWEST_RUN_WEIGHT * (slowness_of(took, run.expected) - self.slowness);
        let is_known = self.run_ms_by_route.contains_key(&run.route);
        if self.run_ms_by_route.len() >= MAX_ROUTES && !is_known {
            self.run_ms_by_route.clear();
        }
        let average = self.run_ms_by_route.entry(run.route).or_insert(took_ms);
        *average += NEWEST_RUN_WEIGHT * (took_ms - *average);
        Some(at_usual_speed)
    }

    /// Expected run time of a request of a route: the average of the successful runs, or, before the
    /// first, the `expected` one over all targets times the slowness of this one.
    pub(super) fn expected_run(&self, route: &str, expected: Duration) -> Duration {
        let average = self.run_ms_by_route.get(route);
        average.map_or_else(
            || expected.mul_f64(self.slowness()),
            |ms| Duration::from_secs_f64(ms / 1e3),
        )
    }

    /// Average run time of the successful runs.
    pub(super) fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.run_ms / 1e3)
    }

    /// Average run time of the successful runs, in milliseconds.
    pub(super) fn run_ms(&self) -> f64 {
        self.run_ms
    }

    /// Share of failed runs.
    pub(super) fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Run time relative to the expected one: the average over the successful runs, or the median
    /// over the unfinished ones if that is higher, so that a target that hangs is noticed before
    /// its runs end.
    pub(super) fn slowness(&self) -> f64 {
        if self.unfinished_runs.len() < MIN_RUNNING_FOR_SLOWNESS {
            return self.slowness;
        }
        let unfinished_runs = self.unfinished_runs.values();
        let mut slowness: Vec<f64> = unfinished_runs
            .map(|run| slowness_of(run.began.elapsed(), run.expected))
            .collect();
        slowness.sort_by(f64::total_cmp);
        self.slowness.max(slowness[slowness.len() / 2])
    }

    /// Run time relative to the expected one, where the expected times are those of single requests:
    /// over the successful runs, or over the unfinished ones if those take far longer.
    pub(super) fn slowness_by_work(&self) -> f64 {
        let slowness = self.speed.slowness();
        if self.unfinished_runs.len() < MIN_RUNNING_FOR_SLOWNESS {
            return slowness;
        }
        let unfinished = self.unfinished_runs.values();
        let (elapsed, expected) = unfinished.fold((0.0, 0.0), |(elapsed, expected), run| {
            (
                elapsed + run.began.elapsed().as_secs_f64(),
                expected + run.expected.as_secs_f64(),
            )
        });
        let unfinished = elapsed / expected.max(1e-3) / UNFINISHED_FACTOR;
        slowness.max(unfinished.min(SLOWNESS_RANGE.1))
    }

    /// Run time that is left of the unfinished runs.
    pub(super) fn work_left(&self) -> Duration {
        let slowness = self.speed.slowness();
        let left = |run: &UnfinishedRun| {
            backlog::remaining(run.expected.mul_f64(slowness), run.began.elapsed())
        };
        self.unfinished_runs.values().map(left).sum()
    }

    /// Resets the averages, because another target runs beside the node. Run numbers go on, so that
    /// ends of earlier runs are ignored.
    pub(super) fn reset(&mut self) {
        *self = Self {
            last_number: self.last_number,
            ..Self::default()
        };
    }
}

/// Run time relative to the expected one, within [`SLOWNESS_RANGE`].
fn slowness_of(took: Duration, expected: Duration) -> f64 {
    let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
    ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
}
