//! Named counters: sent through a `cadence` sink, and kept for the admin listener.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cadence::{Counted as _, MetricSink, StatsdClient};

/// A sink that keeps sums in the process; nodes have no list of collectors to send to.
#[derive(Clone, Default)]
struct Memory {
    sums: Arc<Mutex<BTreeMap<String, Arc<AtomicU64>>>>,
}

impl MetricSink for Memory {
    /// Takes a counter in statsd form, `name:value|c`.
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

impl Memory {
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
    memory: Memory,
}

impl Counters {
    pub(crate) fn new() -> Self {
        let memory = Memory::default();
        Self {
            client: StatsdClient::from_sink("bluebellgap", memory.clone()),
            memory,
        }
    }

    /// Adds one to `name`.
    pub(crate) fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `value` to `name`.
    pub(crate) fn add(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        let _ = self.client.count(name, value);
    }

    /// All counters, in name order.
    pub(crate) fn snapshot(&self) -> BTreeMap<String, u64> {
        let sums = self
            .memory
            .sums
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let values = sums.iter();
        values
            .map(|(name, sum)| (name.clone(), sum.load(Ordering::Relaxed)))
            .collect()
    }
}
