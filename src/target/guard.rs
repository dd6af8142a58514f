//! What a request holds while it is at the target; given back when dropped.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use crate::target::meter::Meter;

/// Requests at the target or waiting for it.
#[derive(Default)]
pub(super) struct Counter {
    running: AtomicU32,
    repeated: AtomicU32,
    idle: Notify,
}

impl Counter {
    /// Counts a request until the guard is dropped.
    pub(super) fn enter(self: &Arc<Self>, repeated: bool) -> Counted {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.repeated
            .fetch_add(u32::from(repeated), Ordering::Relaxed);
        Counted {
            counter: self.clone(),
            repeated,
        }
    }

    /// Share of repeats.
    pub(super) fn repeated_share(&self) -> f64 {
        let running = self.running.load(Ordering::Relaxed);
        let repeated = self.repeated.load(Ordering::Relaxed);
        f64::from(repeated) / f64::from(running.max(1))
    }

    /// Waits until there is none.
    pub(super) async fn none(&self) {
        loop {
            let notified = self.idle.notified();
            if self.running.load(Ordering::Relaxed) == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// A request that is counted.
pub(super) struct Counted {
    counter: Arc<Counter>,
    repeated: bool,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.counter
            .repeated
            .fetch_sub(u32::from(self.repeated), Ordering::Relaxed);
        if self.counter.running.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.counter.idle.notify_waiters();
        }
    }
}

/// One run at the target, which counts as cancelled unless it is ended.
pub(super) struct Run {
    meter: Arc<Mutex<Meter>>,
    number: u64,
}

impl Run {
    pub(super) fn new(meter: &Arc<Mutex<Meter>>, expected: Duration) -> Self {
        let number = lock(meter).begin(expected);
        Self {
            meter: meter.clone(),
            number,
        }
    }

    /// Ends the run; `failed` is `None` if it tells nothing about the target.
    pub(super) fn end(self, failed: Option<bool>) {
        lock(&self.meter).end(self.number, failed);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.meter).end(self.number, None);
    }
}

fn lock(meter: &Mutex<Meter>) -> std::sync::MutexGuard<'_, Meter> {
    meter.lock().unwrap_or_else(PoisonError::into_inner)
}
