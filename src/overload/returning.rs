//! How long ago the caller of a request first asked, and when a refused one should return.
//!
//! Answers callers who return after a refusal while a crest lasts: their objective counts from their
//! first attempt. Taken for fresh, they would get half of the slots, and miss it all the same.

use std::time::Duration;

/// Weights of a sample above and below the usual time. The usual time stays near the upper end, so
/// that the requests of returning callers, which leave less time, hardly lower it.
const RISE_WEIGHT: f64 = 0.05;
const FALL_WEIGHT: f64 = 0.002;
/// Largest sample relative to the timeout of the route, so that one caller cannot move the usual time
/// far.
const MAX_SAMPLE_TIMEOUTS: u32 = 2;
/// Share of the usual time below which a difference is not an age, but ordinary variation.
const MIN_AGE_SHARE: f64 = 0.05;

/// Bounds of the time after which a refused caller is asked to return, before it is spread.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Share of that time over which callers refused at the same moment are spread.
const RETRY_SPREAD: f64 = 0.3;

/// Time after which a refused caller should return, if a slot is expected after `expected_wait`.
/// `spread`, from 0 to 1, is drawn for each refusal.
pub(crate) fn retry_after(expected_wait: Duration, spread: f64) -> Duration {
    let expected = expected_wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    expected.mul_f64(1.0 + RETRY_SPREAD * (spread - 0.5))
}

/// Time that the callers of one route usually give their requests, learned from what they state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualTime {
    seconds: Option<f64>,
}

impl UsualTime {
    /// Takes the time that a caller gives its request into account; returns how long ago that caller
    /// is estimated to have asked first.
    pub(crate) fn estimate_age(&mut self, time: Duration, route_timeout: Duration) -> Duration {
        let sample = time.min(route_timeout * MAX_SAMPLE_TIMEOUTS).as_secs_f64();
        let usual = self.seconds.get_or_insert(sample);
        let weight = if sample > *usual {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        *usual += weight * (sample - *usual);
        let age = *usual - sample;
        if age < *usual * MIN_AGE_SHARE {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(age)
    }
}
