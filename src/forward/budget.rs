//! This node's share of a retry budget that all nodes of the mesh have in common.
//!
//! Over all nodes and any window of time, a service may get retries (hedges included) up to a ratio
//! of its requests plus a fixed slack. Nodes don't coordinate: each applies the ratio to its own
//! requests and uses an equal share of the slack, but at least [`MIN_NODE_SLACK_RETRIES`].

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Share of the budget that nodes spend on retries of their own. The rest is headroom for the
/// requests that targets make to other services while they run a retry, which are counted but
/// cannot be withheld, and for nodes that have restarted and whose counts are therefore too low.
const SPENDABLE_SHARE: f64 = 0.55;
/// Least slack that a node uses, in retries. With many nodes an equal share could be less than one
/// retry, and a node with few requests could never retry. With more nodes than the slack has
/// retries, all nodes together may exceed the budget.
const MIN_NODE_SLACK_RETRIES: f64 = 1.0;

/// Limits of the retry budget of a service, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries of one service in the window, oldest first.
#[derive(Default)]
struct Counts {
    requests: VecDeque<Instant>,
    /// Retries sent by this node.
    retries: VecDeque<Instant>,
    /// Requests that a target may have made while it ran a retry, each with the probability of
    /// that.
    caused_by_retries: VecDeque<(Instant, f64)>,
}

/// This node's share of the retry budget, by service.
pub(super) struct Budget {
    limits: Limits,
    counts: Mutex<HashMap<String, Counts>>,
}

impl Budget {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            counts: Mutex::default(),
        }
    }

    /// Counts a request to a service. `retry_probability` is the probability that a target made it
    /// while it ran a retry.
    pub(super) fn record_request(&self, service: &str, retry_probability: f64) {
        let mut counts = self.lock();
        let counts = service_counts(&mut counts, service);
        counts.evict_expired(self.limits.window);
        counts.requests.push_back(Instant::now());
        if retry_probability > 0.0 {
            counts
                .caused_by_retries
                .push_back((Instant::now(), retry_probability));
        }
    }

    /// Withdraws one retry from the budget that `nodes` nodes share. Returns `false` if none is
    /// left.
    pub(super) fn withdraw(&self, service: &str, nodes: usize) -> bool {
        let mut counts = self.lock();
        let counts = service_counts(&mut counts, service);
        counts.evict_expired(self.limits.window);
        if counts.spent() + 1.0 > self.allowed(counts, nodes) {
            return false;
        }
        counts.retries.push_back(Instant::now());
        true
    }

    /// Number of retries that this node may still send in the current window.
    pub(super) fn remaining(&self, service: &str, nodes: usize) -> f64 {
        let mut counts = self.lock();
        let counts = service_counts(&mut counts, service);
        counts.evict_expired(self.limits.window);
        self.allowed(counts, nodes) - counts.spent()
    }

    /// Number of retries that this node may send in the current window.
    fn allowed(&self, counts: &Counts, nodes: usize) -> f64 {
        let slack = SPENDABLE_SHARE * self.limits.slack / to_f64(nodes.max(1));
        let by_ratio = SPENDABLE_SHARE * self.limits.ratio * to_f64(counts.requests.len());
        by_ratio + slack.max(MIN_NODE_SLACK_RETRIES)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Counts>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn service_counts<'a>(counts: &'a mut HashMap<String, Counts>, service: &str) -> &'a mut Counts {
    if !counts.contains_key(service) {
        counts.insert(service.to_owned(), Counts::default());
    }
    counts.entry(service.to_owned()).or_default()
}

impl Counts {
    /// Drops what is older than the window.
    fn evict_expired(&mut self, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| at.elapsed() > window) {
                times.pop_front();
            }
        }
        let is_expired = |(at, _): &(Instant, f64)| at.elapsed() > window;
        while self.caused_by_retries.front().is_some_and(is_expired) {
            self.caused_by_retries.pop_front();
        }
    }

    /// Retries in the window: those sent by this node, and the expected number of requests that
    /// retries caused.
    fn spent(&self) -> f64 {
        let caused_by_retries: f64 = self
            .caused_by_retries
            .iter()
            .map(|(_, probability)| probability)
            .sum();
        to_f64(self.retries.len()) + caused_by_retries
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
