//! The requests that run at the target, by id, so that the calls which the target makes for them
//! are recognised.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A running request for which the target makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Parent {
    /// Whether an earlier attempt of the request may have reached a target.
    pub repeated: bool,
}

/// Requests that run at the target.
#[derive(Default)]
pub(super) struct Running {
    by_id: Mutex<HashMap<String, Attempt>>,
    attempts: AtomicU64,
}

/// The latest attempt of a request. An earlier one may still end after it began.
#[derive(Clone, Copy)]
struct Attempt {
    number: u64,
    parent: Parent,
}

impl Running {
    /// Lists a request until the guard is dropped.
    pub(super) fn add(self: &Arc<Self>, request_id: &str, parent: Parent) -> RunningGuard {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = Attempt { number, parent };
        self.lock().insert(request_id.to_owned(), attempt);
        RunningGuard {
            running: self.clone(),
            request_id: request_id.to_owned(),
            number,
        }
    }

    /// The running request with this id.
    pub(super) fn find(&self, request_id: &str) -> Option<Parent> {
        let by_id = self.lock();
        by_id.get(request_id).map(|attempt| attempt.parent)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Attempt>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lists an attempt of a running request until it is dropped.
pub(super) struct RunningGuard {
    running: Arc<Running>,
    request_id: String,
    number: u64,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut by_id = self.running.lock();
        let latest = by_id.get(&self.request_id);
        if latest.is_some_and(|attempt| attempt.number == self.number) {
            by_id.remove(&self.request_id);
        }
    }
}

#[cfg(test)]
mod tests;
