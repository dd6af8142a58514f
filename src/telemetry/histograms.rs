//! Latency histograms by tenant and by class.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const HIGHEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const MAX_LABELS: usize = 256;

/// Quantiles of one histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Half of the values are at most this.
    pub p50_us: u64,
    /// 99 in 100 values are at most this.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

/// Histograms by label.
#[derive(Default)]
pub(crate) struct Histograms {
    by_label: Mutex<BTreeMap<String, Histogram<u64>>>,
}

impl Histograms {
    /// Records a latency under `label`; labels beyond a bound are recorded as `other`.
    pub(crate) fn record(&self, label: &str, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_MICROS);
        let mut by_label = self.by_label.lock().unwrap_or_else(PoisonError::into_inner);
        let full = by_label.len() >= MAX_LABELS && !by_label.contains_key(label);
        let label = if full { "other" } else { label };
        if let Some(histogram) = by_label.get_mut(label) {
            histogram.saturating_record(micros);
            return;
        }
        let created = Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS);
        if let Ok(mut histogram) = created {
            histogram.saturating_record(micros);
            by_label.insert(label.to_owned(), histogram);
        }
    }

    /// Quantiles by label.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, Quantiles> {
        let by_label = self.by_label.lock().unwrap_or_else(PoisonError::into_inner);
        let entries = by_label.iter();
        entries
            .map(|(label, h)| (label.clone(), Quantiles::of(h)))
            .collect()
    }
}

impl Quantiles {
    /// Quantiles of `histogram`, whose values are microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}
