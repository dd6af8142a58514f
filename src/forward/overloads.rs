//! When targets of a service in a data centre last refused a request of this node for overload.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of services; all are forgotten when another one is added.
const MAX_SERVICES: usize = 4_096;

type ByDataCenter = HashMap<String, Instant>;

/// Times of the latest overload refusals, by service and data centre.
#[derive(Default)]
pub(super) struct Overloads {
    by_service: Mutex<HashMap<String, ByDataCenter>>,
}

impl Overloads {
    /// Records that a target refused a request.
    pub(super) fn record(&self, service: &str, data_center: &str) {
        let mut by_service = self.lock();
        if by_service.len() >= MAX_SERVICES && !by_service.contains_key(service) {
            by_service.clear();
        }
        let by_data_center = by_service.entry(service.to_owned()).or_default();
        by_data_center.insert(data_center.to_owned(), Instant::now());
    }

    /// Time since the latest refusal.
    pub(super) fn elapsed(&self, service: &str, data_center: &str) -> Option<Duration> {
        let by_service = self.lock();
        let refused_at = by_service.get(service)?.get(data_center)?;
        Some(refused_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ByDataCenter>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
