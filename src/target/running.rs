//! The requests that run at the target, by id, so that the calls which the target makes for them
//! are recognised.

use std::collections::HashMap;
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
    by_id: Mutex<HashMap<String, Parent>>,
}

impl Running {
    /// Lists a request until the guard is dropped.
    pub(super) fn add(self: &Arc<Self>, request_id: &str, parent: Parent) -> RunningGuard {
        self.lock().insert(request_id.to_owned(), parent);
        RunningGuard {
            running: self.clone(),
            request_id: request_id.to_owned(),
        }
    }

    /// The running request with this id.
    pub(super) fn find(&self, request_id: &str) -> Option<Parent> {
        self.lock().get(request_id).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Parent>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lists a running request until it is dropped.
pub(super) struct RunningGuard {
    running: Arc<Running>,
    request_id: String,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.running.lock().remove(&self.request_id);
    }
}
