//! How much longer requests take than expected, as a ratio of sums.
//!
//! Answers targets of different speed whose requests differ in their run times: an average of the
//! ratios of single runs would follow the short ones, whose ratios vary most.

use std::time::Duration;

/// Samples of the expected ratio, 1, that are assumed from the start. They keep the speeds of all
/// targets from drifting together with the estimates that are learned from them.
const PRIOR_SAMPLES: f64 = 3.0;
/// Longest sample, in expected times.
const MAX_SAMPLE: f64 = 10.0;
/// Bounds of the ratio.
const RANGE: (f64, f64) = (0.1, 20.0);

/// Aged sums of measured and expected times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    window: f64,
    measured: f64,
    expected: f64,
    samples: f64,
}

impl Speed {
    /// Remembers about `window` samples.
    pub(crate) fn new(window: u32) -> Self {
        Self {
            window: f64::from(window.max(1)),
            measured: 0.0,
            expected: 0.0,
            samples: 0.0,
        }
    }

    /// Adds a sample.
    pub(crate) fn learn(&mut self, measured: Duration, expected: Duration) {
        let kept = 1.0 - 1.0 / self.window;
        let expected = expected.as_secs_f64().max(1e-4);
        let measured = measured.as_secs_f64().min(expected * MAX_SAMPLE);
        self.measured = self.measured * kept + measured;
        self.expected = self.expected * kept + expected;
        self.samples = self.samples * kept + 1.0;
    }

    /// Measured times relative to the expected ones; 1 without samples.
    pub(crate) fn slowness(&self) -> f64 {
        if self.samples < 1.0 {
            return 1.0;
        }
        let prior = PRIOR_SAMPLES * self.expected / self.samples;
        ((self.measured + prior) / (self.expected + prior)).clamp(RANGE.0, RANGE.1)
    }
}
