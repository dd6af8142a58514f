//! Named counters, incremented through `cadence` and kept in memory for the admin listener.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cadence::{Counted as _, MetricSink, StatsdClient};

/// A sink that sums the counters in memory, because nodes have no metrics collector configured to
/// send them to.
#[derive(Clone, Default)]
struct MemorySink {
    sums: Arc<Mutex<BTreeMap<String, Arc<AtomicU64>>>>,
}

impl MetricSink for MemorySink {
    /// Adds the value of a counter in statsd format, `name:value|c`.
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let parsed = metric.split_once(':').and_then(|(name, rest)| {
            let value = rest.split('|').next()?.parse::<u64>().ok()?;
            Some((name, value))
        });
        if let Some((name, value)) = parsed {
            self.counter(name).fetch_add(value, Ordering::Relaxed);
        }
        Ok(metric.len())
    }
}

impl MemorySink {
    fn counter(&self, name: &str) -> Arc<AtomicU64> {
        let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(counter) = sums.get(name) {
            return counter.clone();
        }
        sums.entry(name.to_owned()).or_default().clone()
    }
}

/// Counters of one node.
pub(crate) struct Counters {
    client: StatsdClient,
    sink: MemorySink,
}

impl Counters {
    pub(crate) fn new() -> Self {
        let sink = MemorySink::default();
        Self {
            client: StatsdClient::from_sink("bluebellgap", sink.clone()),
            sink,
        }
    }

    /// Increments the counter `name`.
    pub(crate) fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `value` to the counter `name`.
    pub(crate) fn add(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        let _ = self.client.count(name, value);
    }

    /// Returns the value of every counter, in name order.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, u64> {
        let sums = self
            .sink
            .sums
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        sums.iter()
            .map(|(name, sum)| (name.clone(), sum.load(Ordering::Relaxed)))
            .collect()
    }
}
