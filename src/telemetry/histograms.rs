//! Latency histograms by label, such as a tenant, class or route.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of labels with a histogram of their own; further labels share one.
const MAX_LABELS: usize = 256;

/// Quantiles of one histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Number of recorded latencies.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Latency histograms, one for each label.
#[derive(Default)]
pub(crate) struct Histograms {
    by_label: Mutex<BTreeMap<String, Histogram<u64>>>,
}

impl Histograms {
    /// Records a latency under `label`, or under `other` if there are already [`MAX_LABELS`]
    /// labels.
    pub(crate) fn record(&self, label: &str, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut by_label = self.by_label.lock().unwrap_or_else(PoisonError::into_inner);
        let full = by_label.len() >= MAX_LABELS && !by_label.contains_key(label);
        let label = if full { "other" } else { label };
        if let Some(histogram) = by_label.get_mut(label) {
            histogram.saturating_record(latency_us);
            return;
        }
        let created = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        if let Ok(mut histogram) = created {
            histogram.saturating_record(latency_us);
            by_label.insert(label.to_owned(), histogram);
        }
    }

    /// Returns the quantiles of every label.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, Quantiles> {
        let by_label = self.by_label.lock().unwrap_or_else(PoisonError::into_inner);
        by_label
            .iter()
            .map(|(label, histogram)| (label.clone(), Quantiles::of(histogram)))
            .collect()
    }
}

impl Quantiles {
    /// Computes the quantiles of `histogram`, whose values are in microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}
