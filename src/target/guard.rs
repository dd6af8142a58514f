//! Guards that a request holds while it waits for the target or runs there: one counts the request,
//! the other measures its run. Dropping them ends both.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use crate::target::meter::Meter;

/// Counts the requests that are at the target or wait for it.
#[derive(Default)]
pub(super) struct Counter {
    total: AtomicU32,
    /// Requests of which an earlier attempt may have reached a target.
    repeated: AtomicU32,
    reached_zero: Notify,
}

impl Counter {
    /// Counts a request until the guard is dropped.
    pub(super) fn count(self: &Arc<Self>, repeated: bool) -> CounterGuard {
        self.total.fetch_add(1, Ordering::Relaxed);
        self.repeated
            .fetch_add(u32::from(repeated), Ordering::Relaxed);
        CounterGuard {
            counter: self.clone(),
            repeated,
        }
    }

    /// Share of repeats among the counted requests.
    pub(super) fn repeated_share(&self) -> f64 {
        let total = self.total.load(Ordering::Relaxed);
        let repeated = self.repeated.load(Ordering::Relaxed);
        f64::from(repeated) / f64::from(total.max(1))
    }

    /// Waits until no request is counted.
    pub(super) async fn wait_until_zero(&self) {
        loop {
            let notified = self.reached_zero.notified();
            if self.total.load(Ordering::Relaxed) == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Counts one request until it is dropped.
pub(super) struct CounterGuard {
    counter: Arc<Counter>,
    repeated: bool,
}

impl Drop for CounterGuard {
    fn drop(&mut self) {
        self.counter
            .repeated
            .fetch_sub(u32::from(self.repeated), Ordering::Relaxed);
        if self.counter.total.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.counter.reached_zero.notify_waiters();
        }
    }
}

/// A run at the target that the meter measures; counts as cancelled if dropped before [`Run::end`].
pub(super) struct Run {
    meter: Arc<Mutex<Meter>>,
    number: u64,
}

impl Run {
    pub(super) fn new(meter: &Arc<Mutex<Meter>>, route: &str, expected: Duration) -> Self {
        let number = lock(meter).begin(route, expected);
        Self {
            meter: meter.clone(),
            number,
        }
    }

    /// Ends the run; `failed` is `None` if the outcome says nothing about the target. Returns the
    /// time that a successful run would have taken at a target of the usual speed.
    pub(super) fn end(self, failed: Option<bool>) -> Option<Duration> {
        lock(&self.meter).end(self.number, failed)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // Has no effect after `Run::end`: the meter ignores runs that have already ended.
        lock(&self.meter).end(self.number, None);
    }
}

fn lock(meter: &Mutex<Meter>) -> std::sync::MutexGuard<'_, Meter> {
    meter.lock().unwrap_or_else(PoisonError::into_inner)
}
