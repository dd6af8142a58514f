//! Expected run time of a request before it runs, learned from the run times of similar ones.
//!
//! Answers routes whose requests need very different amounts of work. The memory is bounded
//! whatever requests arrive; a few runs that took far longer than usual hardly move an estimate; an
//! unknown request gets the estimate of its route.

use std::time::{Duration, Instant};

use crate::overload::shape::{LEVELS, Shape};

/// Sets and ways of the table: 4,096 shapes, about 230 KB. A shape can only be in one set, where it
/// replaces the one that was learned from least recently.
const SETS: usize = 512;
const WAYS: usize = 8;
/// Samples that an estimate remembers. With 40, a step in the run times is followed within 40
/// requests, and a single one moves the mean by at most 2.5 % of its clipped deviation.
const MAX_SAMPLES: f64 = 40.0;
/// Time in which half of the samples are forgotten, so that the estimate of a shape that was seldom
/// seen returns to that of its route.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Samples of a finer level that weigh as much as the estimate of the coarser one.
const PRIOR_SAMPLES: f64 = 3.0;
/// Distance from the mean, in spreads, to which a sample is clipped. Of run times of which 3 % are 7
/// times as long, it leaves less than 5 % of error in the mean.
const CLIP_SPREADS: f64 = 3.0;
/// Smallest spread relative to the mean, so that the mean can always move.
const MIN_SPREAD: f64 = 0.1;
/// Samples clipped one after the other on the same side after which the estimate starts anew: the
/// mix has changed. Of run times of which 3 % are outliers, it happens once in 40 million.
const MAX_CLIPPED: i32 = 5;
/// Spread that is assumed of the first sample, relative to it.
const INITIAL_SPREAD: f64 = 0.5;
/// Speed of the fastest targets relative to the usual one, with a reserve for errors.
const MAX_SPEED: f64 = 2.0;

/// Expected run time at a target of the usual speed, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Mean.
    pub mean: f64,
    /// Mean deviation from the mean.
    pub spread: f64,
}

impl Estimate {
    /// Mean as a duration.
    pub(crate) fn run(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Run time that hardly any request falls below, at the fastest target.
    pub(crate) fn shortest_run(&self) -> Duration {
        Duration::from_secs_f64((self.mean - self.spread).max(0.0) / MAX_SPEED)
    }
}

/// What is known of the run times of one shape.
#[derive(Clone, Copy, Debug)]
struct Statistic {
    key: u64,
    estimate: Estimate,
    samples: f64,
    learned_at: Instant,
    /// Samples clipped since the last one that was not: above the mean if positive.
    clipped: i32,
}

impl Statistic {
    fn first(key: u64, seconds: f64, now: Instant) -> Self {
        Self {
            key,
            estimate: Estimate {
                mean: seconds,
                spread: seconds * INITIAL_SPREAD,
            },
            samples: 1.0,
            learned_at: now,
            clipped: 0,
        }
    }

    /// Samples that are not forgotten yet.
    fn samples(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.learned_at);
        self.samples * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn learn(&mut self, seconds: f64, now: Instant) {
        let samples = self.samples(now).min(MAX_SAMPLES - 1.0);
        let weight = 1.0 / (samples + 1.0);
        let Estimate { mean, spread } = &mut self.estimate;
        let reach = CLIP_SPREADS * spread.max(*mean * MIN_SPREAD);
        let deviation = seconds - *mean;
        self.clipped = match deviation {
            above if above > reach => self.clipped.max(0) + 1,
            below if below < -reach => self.clipped.min(0) - 1,
            _ => 0,
        };
        if self.clipped.abs() >= MAX_CLIPPED {
            *self = Self::first(self.key, seconds, now);
            return;
        }
        let deviation = deviation.clamp(-reach, reach);
        *mean += weight * deviation;
        *spread += weight * (deviation.abs() - *spread);
        self.samples = samples + 1.0;
        self.learned_at = now;
    }
}

/// Expected run times of requests by their shapes.
#[derive(Debug)]
pub(crate) struct Estimator {
    sets: Vec<[Option<Statistic>; WAYS]>,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            sets: vec![[None; WAYS]; SETS],
        }
    }
}

impl Estimator {
    /// Expected run time of a request. Each level of its shape counts as far as it has samples;
    /// `fallback` is the estimate for a route without any.
    pub(crate) fn estimate(&self, shape: &Shape, fallback: Duration, now: Instant) -> Estimate {
        let fallback = fallback.as_secs_f64();
        let mut estimate = Estimate {
            mean: fallback,
            spread: fallback * INITIAL_SPREAD,
        };
        for key in shape.0 {
            let set = &self.sets[set_of(key)];
            let Some(known) = set.iter().flatten().find(|known| known.key == key) else {
                break;
            };
            let samples = known.samples(now);
            let weight = samples / (samples + PRIOR_SAMPLES);
            estimate.mean += weight * (known.estimate.mean - estimate.mean);
            estimate.spread += weight * (known.estimate.spread - estimate.spread);
        }
        estimate
    }

    /// Learns the run time of a request, converted to a target of the usual speed.
    pub(crate) fn learn(&mut self, shape: &Shape, run: Duration, now: Instant) {
        let seconds = run.as_secs_f64();
        let keys: [u64; LEVELS] = shape.0;
        for key in keys {
            let set = &mut self.sets[set_of(key)];
            let known = set.iter_mut().flatten().find(|known| known.key == key);
            if let Some(known) = known {
                known.learn(seconds, now);
                continue;
            }
            let oldest = set
                .iter_mut()
                .min_by_key(|entry| entry.map(|known| known.learned_at));
            if let Some(oldest) = oldest {
                *oldest = Some(Statistic::first(key, seconds, now));
            }
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the remainder is below the number of sets"
)]
fn set_of(key: u64) -> usize {
    (key % SETS as u64) as usize
}
